#include "gateway/waiting_order.hpp"

#include "base/hash.hpp"
#include "fair_queue/start_time_fair_queueing.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace marjorambeam
{
namespace
{

// Number of dispatched requests over which the mean work is taken: a few for
// each of 24 organisations.
constexpr std::uint32_t mean_work_samples = 64;
// A request counts as at most this many times the mean work, and in the mean
// as at least its reciprocal: one wrong figure moves the mean by less than 8%
// (100 to the power of 1/64) and puts its organisation back by 100 requests.
constexpr double max_work_in_means = 100;
// Bound while there is no mean: more tokens than engines accept in a request.
constexpr double max_work = 1e6;
// A request that missed its target goes with those that can meet theirs once
// the time until it must start is shorter than this many times its duration.
constexpr int urgent_start_factor = 2;
// The same for requests whose duration is unknown or very short: five turns of
// the dispatch loop (20 ms), in case others go first in some.
constexpr duration min_urgent_time = std::chrono::milliseconds(100);
// Keeps a large lead within the range of the rank.
constexpr double max_rank = 1e6;
// Leads that differ from a whole number of requests by rounding only.
constexpr double rank_tolerance = 1e-6;
constexpr int engine_urgencies = 10;
// A pass over all organisations is made at most this often, so that its cost
// per dispatched request is small.
constexpr duration removal_interval = std::chrono::seconds(1);

enum class start_class : std::uint8_t
{
    in_time,    // meets its target, or must start soon to end at all
    late,       // misses its target
    unreachable // misses its deadline
};

struct order_key
{
    std::uint64_t flow = 0; // organisation at a service and priority
    int priority = 0;
    start_class when = start_class::in_time;
    bool is_new = false;
    std::uint32_t rank = 0; // whole requests ahead of the share
    steady_time start_by{};
    steady_time arrived{};
    std::uint32_t position = 0;
};

auto order_in_flow(order_key const& k)
{
    return std::tie(
        k.flow, k.when, k.is_new, k.start_by, k.arrived, k.position);
}

auto order_of_all(order_key const& k)
{
    return std::make_tuple(
        k.priority, k.when == start_class::unreachable, k.rank, k.when,
        k.is_new, k.start_by, k.arrived, k.position);
}

// Returns the work as which a request counts; `mean` is 0 if there is none.
double work_of(waiting_request const& r, double mean)
{
    double const work = std::isfinite(r.work) && r.work > 0 ? r.work : 1;
    return std::min(work, mean > 0 ? max_work_in_means * mean : max_work);
}

// Takes the work of a dispatched request into the mean. The geometric mean
// recovers from a wrong first figure within some requests, and a few large
// requests among many small ones hardly raise it.
void add_to_mean(priority_shares& s, double work)
{
    if (s.samples < mean_work_samples)
        ++s.samples;
    if (s.mean_work <= 0)
        s.mean_work = work;
    else
        s.mean_work *= std::pow(
            std::max(work / s.mean_work, 1 / max_work_in_means),
            1.0 / s.samples);
}

order_key
key_of(waiting_request const& r, std::uint32_t position, steady_time now)
{
    order_key k{
        .flow = hash64(
            r.organisation,
            hash64(r.service, static_cast<std::uint64_t>(r.priority))),
        .priority = r.priority,
        .is_new = !r.came_back,
        .arrived = r.arrived,
        .position = position};
    duration const until_end = std::max(r.expected, r.expected_end);
    steady_time const must_start = r.deadline - until_end;
    steady_time const target_at =
        r.target_at == steady_time{} ? r.deadline : r.target_at;
    if (must_start < now)
    {
        k.when = start_class::unreachable;
        k.start_by = r.deadline;
    }
    else if (now + r.expected <= target_at)
    {
        k.start_by = std::min(target_at - r.expected, must_start);
    }
    else if (
        must_start - now <
        std::max(urgent_start_factor * until_end, min_urgent_time))
    {
        k.start_by = must_start;
    }
    else
    {
        k.when = start_class::late;
        k.start_by = r.deadline;
    }
    return k;
}

// Virtual time by which an organisation is ahead of its share. Limits it to
// what one request may count as now: the mean may have come down since, from a
// wrong figure.
double lead_of(priority_shares const& s, organisation_share& o)
{
    if (s.mean_work > 0)
        o.finish = std::min(
            o.finish, s.virtual_time + max_work_in_means * s.mean_work);
    return virtual_start(s.virtual_time, o.finish) - s.virtual_time;
}

priority_shares*
find_shares(service_shares& shares, std::string_view service, int priority)
{
    auto const s = shares.services.find(service);
    if (s == shares.services.end())
        return nullptr;
    auto const p = s->second.find(priority);
    return p == s->second.end() ? nullptr : &p->second;
}

// Ranks the requests of one organisation at a service and priority, which are
// in the order in which it starts them.
void rank_flow(
    std::span<order_key> flow, std::span<waiting_request const> requests,
    service_shares& shares, steady_time now)
{
    waiting_request const& first = requests[flow.front().position];
    priority_shares* const s =
        find_shares(shares, first.service, first.priority);
    double start = 0; // relative to the virtual time
    if (s != nullptr)
    {
        auto const o = s->organisations.find(first.organisation);
        if (o != s->organisations.end())
        {
            start = lead_of(*s, o->second);
            o->second.used = now;
        }
    }
    double const mean =
        s != nullptr && s->mean_work > 0 ? s->mean_work : work_of(first, 0);
    for (order_key& k : flow)
    {
        double const ahead = std::ceil(start / mean - rank_tolerance) - 1;
        k.rank = static_cast<std::uint32_t>(std::clamp(ahead, 0.0, max_rank));
        start = virtual_finish(start, work_of(requests[k.position], mean), 1);
    }
}

// Removes the organisations that are idle, and what is empty without them.
void remove_idle(service_shares& shares, steady_time now)
{
    auto const is_idle = [now](priority_shares const& s)
    {
        return [&s, now](auto const& it)
        {
            return it.second.finish <= s.virtual_time ||
                   now - it.second.used > share_lifetime;
        };
    };
    for (auto& [name, priorities] : shares.services)
    {
        for (auto& [priority, s] : priorities)
            std::erase_if(s.organisations, is_idle(s));
        std::erase_if(
            priorities,
            [](auto const& it) { return it.second.organisations.empty(); });
    }
    std::erase_if(
        shares.services, [](auto const& it) { return it.second.empty(); });
    shares.next_removal = now + removal_interval;
}

} // namespace

std::vector<std::uint32_t> order_waiting(
    std::span<waiting_request const> requests, service_shares& shares,
    steady_time now)
{
    std::vector<order_key> keys;
    keys.reserve(requests.size());
    for (waiting_request const& r : requests)
        keys.push_back(key_of(r, static_cast<std::uint32_t>(keys.size()), now));
    std::sort(
        keys.begin(), keys.end(),
        [](order_key const& a, order_key const& b)
        { return order_in_flow(a) < order_in_flow(b); });
    for (auto it = keys.begin(); it != keys.end();)
    {
        auto const end = std::find_if(
            it, keys.end(),
            [flow = it->flow](order_key const& k) { return k.flow != flow; });
        rank_flow({it, end}, requests, shares, now);
        it = end;
    }
    std::sort(
        keys.begin(), keys.end(),
        [](order_key const& a, order_key const& b)
        { return order_of_all(a) < order_of_all(b); });
    std::vector<std::uint32_t> out;
    out.reserve(keys.size());
    for (order_key const& k : keys)
        out.push_back(k.position);
    return out;
}

void record_dispatch(
    service_shares& shares, waiting_request const& r, steady_time now)
{
    if (now >= shares.next_removal)
        remove_idle(shares, now);
    auto service = shares.services.find(r.service);
    if (service == shares.services.end())
        service = shares.services.try_emplace(std::string(r.service)).first;
    priority_shares& s = service->second[r.priority];
    double const work = work_of(r, s.mean_work);
    add_to_mean(s, work);
    auto o = s.organisations.find(r.organisation);
    if (o == s.organisations.end())
        o = s.organisations.try_emplace(std::string(r.organisation)).first;
    double const start = s.virtual_time + lead_of(s, o->second);
    o->second = {.finish = virtual_finish(start, work, 1), .used = now};
    // Within a rank, requests start in the order of their slack. Virtual time
    // stays one request behind, so that an organisation that is passed by loses
    // nothing of its share.
    s.virtual_time = std::max(s.virtual_time, start - s.mean_work);
}

bool seems_returned(duration remaining, duration route_timeout)
{
    return remaining + min_returned_time <= route_timeout;
}

int engine_urgency(
    int priority, std::span<int const> priorities, duration slack,
    duration target)
{
    auto const count = static_cast<std::int64_t>(priorities.size());
    auto const it =
        std::lower_bound(priorities.begin(), priorities.end(), priority);
    std::int64_t const index = it - priorities.begin();
    // A priority that a configuration removed shares the last number of the
    // next more urgent one.
    if (it == priorities.end() || *it != priority)
        return index == 0 ? 0
                          : static_cast<int>(std::max<std::int64_t>(
                                0, engine_urgencies * index / count - 1));
    std::int64_t const first = engine_urgencies * index / count;
    std::int64_t const size = std::max<std::int64_t>(
        1, engine_urgencies * (index + 1) / count - first);
    if (slack < duration{0} || target <= duration{0})
        return static_cast<int>(first + size - 1);
    std::int64_t const offset = slack >= target ? size : slack * size / target;
    return static_cast<int>(first + std::min(offset, size - 1));
}

} // namespace marjorambeam
