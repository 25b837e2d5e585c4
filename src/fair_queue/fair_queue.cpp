#include "fair_queue/fair_queue.hpp"

#include "fair_queue/start_time_fair_queueing.hpp"

#include <algorithm>

namespace marjorambeam
{
namespace
{

// Idle flows kept before remove_idle_flows() runs.
constexpr std::size_t max_idle_flows = 256;

} // namespace

fair_queue::fair_queue(std::size_t max_entries)
    : max_entries_(max_entries)
{
}

fair_queue::active_key fair_queue::key_of(flow& f)
{
    return {{f.start, f.number}, &f};
}

void fair_queue::activate(flow& f)
{
    f.start = virtual_start(virtual_time_, f.finish);
    active_.insert(key_of(f));
}

result<void>
fair_queue::push(queue_entry entry, queue_limits const& limits, steady_time now)
{
    duration const wait = estimated_wait(
        entry.customer, entry.weight, entry.cost, limits.tokens_per_second);
    bool const is_full = size() >= max_entries_ ||
                         size_of(entry.customer) >= limits.max_per_customer ||
                         wait > limits.max_wait;
    if (is_full)
    {
        error e = make_error(
            error_kind::queue_full,
            "the queue of customer \"" + entry.customer + "\" is full");
        e.retry_after = std::max(e.retry_after, wait);
        return tl::unexpected<error>(std::move(e));
    }
    if (now + wait >= entry.deadline)
    {
        error e = make_error(
            error_kind::deadline_unreachable,
            "the request would wait past its deadline");
        e.retry_after = std::max(e.retry_after, wait);
        return tl::unexpected<error>(std::move(e));
    }
    if (flows_.size() > active_.size() + max_idle_flows)
        remove_idle_flows();
    auto const [it, is_new] = flows_.try_emplace(entry.customer);
    flow& f = it->second;
    if (is_new)
        f.number = ++flow_count_;
    f.weight = entry.weight;
    f.cost += entry.cost;
    cost_ += entry.cost;
    flow_by_entry_id_[entry.id] = &f;
    deadlines_.emplace(entry.deadline, entry.id);
    f.entries.push_back(std::move(entry));
    if (f.entries.size() == 1)
        activate(f);
    return {};
}

queue_entry const* fair_queue::front() const
{
    if (active_.empty())
        return nullptr;
    return &active_.begin()->second->entries.front();
}

std::optional<queue_entry> fair_queue::pop()
{
    if (active_.empty())
        return std::nullopt;
    flow& f = *active_.begin()->second;
    queue_entry out = f.entries.front();
    virtual_time_ = f.start;
    f.finish = virtual_finish(
        f.start, static_cast<double>(out.cost),
        static_cast<double>(out.weight));
    remove(f, f.entries.begin());
    return out;
}

bool fair_queue::cancel(std::uint64_t id)
{
    auto const found = flow_by_entry_id_.find(id);
    if (found == flow_by_entry_id_.end())
        return false;
    flow& f = *found->second;
    auto const it = std::find_if(
        f.entries.begin(), f.entries.end(),
        [id](queue_entry const& e) { return e.id == id; });
    remove(f, it);
    return true;
}

void fair_queue::remove(flow& f, std::deque<queue_entry>::iterator const& it)
{
    bool const is_first = it == f.entries.begin();
    f.cost -= it->cost;
    cost_ -= it->cost;
    flow_by_entry_id_.erase(it->id);
    deadlines_.erase({it->deadline, it->id});
    if (is_first)
        active_.erase(key_of(f));
    f.entries.erase(it);
    if (is_first && !f.entries.empty())
        activate(f);
}

std::vector<queue_entry> fair_queue::drop_expired(steady_time now)
{
    std::vector<queue_entry> out;
    while (!deadlines_.empty() && deadlines_.begin()->first <= now)
    {
        std::uint64_t const id = deadlines_.begin()->second;
        flow& f = *flow_by_entry_id_.find(id)->second;
        auto const it = std::find_if(
            f.entries.begin(), f.entries.end(),
            [id](queue_entry const& e) { return e.id == id; });
        out.push_back(*it);
        remove(f, it);
    }
    return out;
}

duration fair_queue::estimated_wait(
    std::string_view customer, std::uint32_t weight, std::uint64_t cost,
    double tokens_per_second) const
{
    if (tokens_per_second <= 0)
        return duration(0);
    auto const own = flows_.find(customer);
    double ahead =
        own == flows_.end() ? 0 : static_cast<double>(own->second.cost);
    // While the customer's own work including the new entry is served, each
    // other customer receives its share, at most what it has waiting.
    double const share =
        (ahead + static_cast<double>(cost)) / static_cast<double>(weight);
    for (auto const& [start, f] : active_)
    {
        if (own != flows_.end() && f == &own->second)
            continue;
        ahead += std::min(
            static_cast<double>(f->cost),
            share * static_cast<double>(f->weight));
    }
    return from_seconds(ahead / tokens_per_second);
}

std::size_t fair_queue::size_of(std::string_view customer) const
{
    auto const it = flows_.find(customer);
    return it == flows_.end() ? 0 : it->second.entries.size();
}

void fair_queue::remove_idle_flows()
{
    // A flow whose last finish is ahead of virtual time is kept; otherwise the
    // customer would be served before its turn.
    std::erase_if(
        flows_,
        [this](auto const& it) {
            return it.second.entries.empty() &&
                   it.second.finish <= virtual_time_;
        });
}

} // namespace marjorambeam
