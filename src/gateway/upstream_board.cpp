#include "gateway/upstream_board.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <cmath>

namespace marjorambeam
{
namespace
{

using std::chrono::milliseconds;

// An upstream's own word on its load is used for this long; later the counts
// of the gateways are nearer to the truth.
constexpr duration told_for = milliseconds(300);
// Load over the mean up to which a prompt's usual upstream is kept. Twice the
// mean would give up much of the balance, the mean itself the cached parts.
constexpr double affinity_slack = 1.3;
// Besides, in units of one request's work, so that few requests don't count as
// imbalance.
constexpr double affinity_extra = 2.0;
// Cost of leaving the availability zone, in requests per slot. Crossing zones
// costs less than a millisecond, so it only decides between equals.
constexpr double other_zone_cost = 0.1;
constexpr duration first_avoid = milliseconds(250);
constexpr duration longest_avoid = milliseconds(2000);

struct candidate
{
    std::shared_ptr<upstream_state> upstream;
    double load = 0;
};

double work_of(upstream_state const& u)
{
    return u.work + u.peers.work;
}

double load_of(
    upstream_state const& u, choice_question const& q, steady_time now)
{
    if (q.is_engine)
        return (work_of(u) + q.weight) * u.slowness;
    double const slots = std::max<double>(u.info.slots, 1);
    double load = (known_requests(u, now) + 1) / slots * u.slowness;
    if (u.info.zone != q.zone)
        load += other_zone_cost;
    return load;
}

bool bears_more(upstream_state& u, choice_question const& q, steady_time now)
{
    if (now >= u.cold_until || q.cold_share == nullptr)
        return true;
    return u.cold_sends.count(now) < q.cold_share(q.context, u);
}

// The upstream of the affinity key whose load is near the mean; null when the
// key has none.
candidate const* pick_by_affinity(
    std::span<candidate const> all, choice_question const& q)
{
    double mean = 0;
    for (candidate const& it : all)
        mean += it.load / static_cast<double>(all.size());
    double const limit = mean * affinity_slack + affinity_extra * q.weight;
    candidate const* best = nullptr;
    std::uint64_t best_score = 0;
    for (candidate const& it : all)
    {
        if (it.load > limit)
            continue;
        std::uint64_t const score =
            rendezvous_score(q.affinity, it.upstream->info.id);
        if (best == nullptr || score > best_score)
        {
            best = &it;
            best_score = score;
        }
    }
    return best;
}

candidate const* pick_least(std::span<candidate const> all)
{
    return &*std::min_element(
        all.begin(), all.end(), [](candidate const& a, candidate const& b)
        { return a.load < b.load; });
}

// Leaves the first part of the upstreams in order of name.
void keep_few(std::vector<candidate>& all)
{
    constexpr std::size_t part = 4;
    std::sort(
        all.begin(), all.end(), [](candidate const& a, candidate const& b)
        { return a.upstream->info.id < b.upstream->info.id; });
    all.resize((all.size() + part - 1) / part);
}

} // namespace

bool is_usable(upstream_board const& b, upstream_state const& u)
{
    return !u.info.is_leaving && !b.zones_out.contains(u.info.zone);
}

double known_requests(upstream_state const& u, steady_time now)
{
    double const counted = u.requests + u.peers.requests;
    if (now - u.told_at > told_for)
        return counted;
    double const told = u.told.running + u.told.waiting;
    return std::max(counted, told);
}

double mean_work(upstream_board const& b, std::string_view service)
{
    double sum = 0;
    double n = 0;
    for (auto const& [id, u] : b.by_id)
    {
        if (u->info.service != service || !is_usable(b, *u))
            continue;
        sum += work_of(*u);
        n += 1;
    }
    return n == 0 ? 0 : sum / n;
}

upstream_choice choose_upstream(
    upstream_board& b, choice_question const& q, steady_time now)
{
    std::vector<candidate> all;
    choice_failure failure = choice_failure::no_upstream;
    auto at_least = [&](choice_failure f) { failure = std::min(failure, f); };
    for (auto const& [id, u] : b.by_id)
    {
        if (u->info.service != q.service || !is_usable(b, *u))
            continue;
        if (!q.only_version.empty() && u->info.version != q.only_version)
            continue;
        if (!q.never_version.empty() && u->info.version == q.never_version)
            continue;
        if (std::find(q.tried.begin(), q.tried.end(), id) != q.tried.end())
            continue;
        if (now < u->avoid_until || u->is_missing)
            at_least(choice_failure::unreachable);
        else if (!bears_more(*u, q, now))
            at_least(choice_failure::cold);
        else if (
            q.max_requests > 0 && known_requests(*u, now) >= q.max_requests)
            at_least(choice_failure::full);
        else
            all.push_back({u, load_of(*u, q, now)});
    }
    if (all.empty())
        return {nullptr, failure};
    if (q.prefers_few)
        keep_few(all);
    candidate const* best = nullptr;
    if (!q.affinity.empty())
        best = pick_by_affinity(all, q);
    if (best == nullptr)
        best = pick_least(all);
    return {best->upstream, choice_failure::none};
}

duration avoid_time(std::uint32_t failures)
{
    std::uint32_t const doublings = std::min(failures, 4U);
    return std::min(first_avoid * (1U << doublings) / 2, longest_avoid);
}

void note_unreachable(upstream_state& u, duration cold_start, steady_time now)
{
    ++u.failures_in_row;
    u.avoid_until = now + avoid_time(u.failures_in_row);
    u.cold_until = std::max(u.cold_until, u.avoid_until + cold_start);
}

void note_answered(upstream_state& u, steady_time now)
{
    u.failures_in_row = 0;
    u.heard_at = now;
}

} // namespace marjorambeam
