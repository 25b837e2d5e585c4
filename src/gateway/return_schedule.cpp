#include "gateway/return_schedule.hpp"

#include "gateway/waiting_order.hpp"

#include <algorithm>
#include <cmath>
#include <optional>
#include <span>

namespace marjorambeam
{
namespace
{

// Share of its remaining time up to which a caller honours a retry time.
constexpr int honoured_part = 3;
// Steps before that of a refusal whose places count too. The gateway that
// refused may have been some places behind this one, and its callers wait as
// told all the same. Older places say little about that time.
constexpr std::int64_t max_steps_back = 2;
// Part of the wait for that place up to which a caller counts as early. At the
// begin of a surge, there are no places before, and those of two gateways
// differ by a large part of the wait.
constexpr int early_part = 2;
// The longest retry time that Retry-After may state, see longest_retry_after.
constexpr duration max_until_room = std::chrono::hours(1);

std::size_t class_of_priority(int priority)
{
    return static_cast<std::size_t>(
        std::clamp(priority, 0, static_cast<int>(return_priorities) - 1));
}

std::int64_t step_of(steady_time t)
{
    return t.time_since_epoch() / return_history_step;
}

std::size_t slot_of(std::int64_t step)
{
    return static_cast<std::size_t>(step) % return_history;
}

// The time between places of this gateway, or zero if the rate is unknown.
duration place_distance(return_query const& q)
{
    if (!std::isfinite(q.rate) || q.rate <= 0)
        return duration{0};
    double const seconds =
        static_cast<double>(std::max<std::size_t>(q.gateways, 1)) / q.rate;
    if (seconds >= to_seconds(max_place))
        return max_place;
    return std::max(from_seconds(seconds), duration{1});
}

// The places of the service, or null if there are too many services.
service_places* find_or_add(
    return_schedule& schedule, std::string_view service, steady_time now)
{
    auto const it = schedule.services.find(service);
    if (it != schedule.services.end())
        return &it->second;
    if (schedule.services.size() >= max_return_services)
    {
        std::erase_if(
            schedule.services,
            [now](auto const& s)
            {
                return std::all_of(
                    s.second.begin(), s.second.end(),
                    [now](priority_places const& p) { return p.next <= now; });
            });
        if (schedule.services.size() >= max_return_services)
            return nullptr;
    }
    return &schedule.services.try_emplace(std::string(service)).first->second;
}

// Distance of the places of callers that came early, in places. These callers
// do not use the place that they had, so theirs come on top of the others. A
// fifth of the rate keeps the sum within 20% above it, whoever is taken for one
// of them. Moving the others' places instead would put the callers of the
// gateways that they happen to come to behind those of other gateways.
constexpr int early_place_ratio = 5;

// Distance by which a caller that came early is put behind the places of this
// gateway, because those of other gateways may be later. Two gateways that
// refuse at random differ by the square root of twice the number of places.
duration early_distance(duration ahead, duration distance)
{
    double const places = to_seconds(ahead) / to_seconds(distance);
    return from_seconds((1 + std::sqrt(2 * places)) * to_seconds(distance));
}

// Takes a place at or after `base` if there is one up to `limit`.
bool take_place(
    std::span<priority_places> from, bool is_early, steady_time base,
    steady_time limit, duration distance, steady_time& place)
{
    priority_places& own = from.front();
    place = std::max(base, own.next);
    if (is_early)
        place = std::max(
            place + early_distance(place - base, distance), own.next_early);
    if (place > limit)
        return false;
    if (is_early)
    {
        own.next_early = place + early_place_ratio * distance;
        return true;
    }
    for (priority_places& p : from)
        p.next = std::min(std::max(p.next, base), base + max_place) + distance;
    return true;
}

void record_given(priority_places& p, steady_time place, steady_time now)
{
    std::int64_t const step = step_of(now);
    given_place& g = p.given[slot_of(step)];
    g = {step, g.step == step ? std::min(g.earliest, place) : place};
}

} // namespace

duration
place_for(return_schedule& schedule, return_query const& q, steady_time now)
{
    duration const until_room =
        std::clamp(q.until_room, duration{0}, max_until_room);
    service_places* const places = find_or_add(schedule, q.service, now);
    if (places == nullptr)
        return until_room;
    std::span<priority_places> const from =
        std::span(*places).subspan(class_of_priority(q.priority));
    steady_time place = now + until_room;
    duration const distance = place_distance(q);
    if (distance > duration{0})
    {
        steady_time const base =
            place + from_seconds(schedule.phase * to_seconds(distance));
        steady_time const limit =
            now + std::min(
                      {q.remaining / honoured_part, q.remaining - q.expected,
                       max_place});
        steady_time taken{};
        if (!take_place(from, q.is_early, base, limit, distance, taken))
            place = std::max(place, limit);
        else
        {
            place = taken;
            if (!q.is_early)
                record_given(from.front(), place, now);
        }
    }
    return place - now;
}

bool seems_early(
    return_schedule const& schedule, std::string_view service, int priority,
    duration since_refusal, steady_time now)
{
    auto const it = schedule.services.find(service);
    if (it == schedule.services.end() || since_refusal < min_returned_time)
        return false;
    priority_places const& p = it->second[class_of_priority(priority)];
    std::int64_t const step = step_of(now - since_refusal);
    std::optional<steady_time> earliest;
    for (std::int64_t s = step; s >= step - max_steps_back; --s)
    {
        given_place const& g = p.given[slot_of(s)];
        if (g.step == s)
            earliest = std::min(earliest.value_or(g.earliest), g.earliest);
    }
    steady_time const refused = now - since_refusal;
    return earliest && since_refusal < (*earliest - refused) / early_part;
}

} // namespace marjorambeam
