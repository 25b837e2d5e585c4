#include "gateway/service_room.hpp"

#include <algorithm>
#include <cmath>

namespace marjorambeam
{
namespace
{

constexpr double usual_pace = 100;
// A pace outside these bounds is faulty; it counts as not reported.
constexpr std::uint32_t least_pace = 10;
constexpr std::uint32_t most_pace = 5000;
// Decay of the sums per sample. An upstream's follows a change within some ten
// requests; the service's is a prior and may be slower.
constexpr double upstream_decay = 0.9;
constexpr double service_decay = 0.98;
// Weight, in samples, of the prior that an upstream is as fast as the others.
constexpr double prior_samples = 3;
// Fewer samples of a service make no estimate. Their weight does not matter:
// under overload all of them have little.
constexpr std::uint32_t min_samples = 3;
constexpr duration longest_sample = std::chrono::hours(1);
// Longer waits are all the same, and a duration cannot hold any.
constexpr duration longest_wait = std::chrono::hours(1);
// From the shortest pause after a refusal beyond the longest one.
constexpr std::uint32_t max_doublings = 4;

double pace_factor(machine_pace const& p)
{
    bool const is_sound = p.percent >= least_pace && p.percent <= most_pace &&
                          p.age <= max_room_report_age;
    return is_sound ? p.percent / usual_pace : 1;
}

machine_pace pace_of(upstream_view const& v, steady_time now)
{
    return {.percent = v.pace_percent, .age = now - v.reported_at};
}

bool is_fresh(upstream_view const& v, steady_time now)
{
    return v.report && now - v.reported_at <= max_room_report_age;
}

// The registered slots, or else the reported ones, or 1.
double
slots_of(std::uint32_t registered, std::optional<upstream_load_report> const& r)
{
    return std::max(registered == 0 && r ? r->slots : registered, 1U);
}

// The reported slots, which follow the load, or else the registered ones, or 1.
double reported_slots_of(
    std::uint32_t registered, std::optional<upstream_load_report> const& r)
{
    return std::max(r && r->slots > 0 ? r->slots : registered, 1U);
}

double reported_requests(upstream_load_report const& r)
{
    return static_cast<double>(r.running) + static_cast<double>(r.waiting);
}

// The larger of the counted requests and those that the upstream reports.
double requests_at(upstream_view const& v, steady_time now)
{
    if (!is_fresh(v, now))
        return v.requests;
    return std::max(v.requests, reported_requests(*v.report));
}

// Requests that must end before one more can start.
double ahead_of_start(double requests, double slots)
{
    return std::max(0.0, requests - slots + 1);
}

void add_sample(
    service_time& t, double decay, double took_us, double weight,
    steady_time now)
{
    if (now - t.updated_at > service_time_ttl)
        t = {};
    t.took_us = t.took_us * decay + took_us * weight;
    t.weight = t.weight * decay + weight;
    t.samples = std::min(t.samples + 1, min_samples);
    t.updated_at = now;
}

duration until_full_ends(upstream_room const& room, steady_time now)
{
    return std::max(duration{0}, room.full_until - now);
}

duration
start_at(upstream_view const& v, duration service_time, steady_time now)
{
    double const slots = slots_of(v.slots, v.report);
    double const ahead = ahead_of_start(requests_at(v, now), slots);
    return std::max(
        from_seconds(std::min(
            ahead / slots * to_seconds(service_time),
            to_seconds(longest_wait))),
        until_full_ends(*v.room, now));
}

} // namespace

void record_service_time(
    upstream_room& room, service_time& prior, service_sample const& s,
    steady_time now)
{
    room.consecutive_refusals = 0;
    bool const is_sound = s.took > duration{0} && s.took <= longest_sample &&
                          std::isfinite(s.requests) && s.requests >= 0;
    if (!is_sound)
        return;
    // A slot becomes free every 1 / slots service times. The more requests have
    // to end first, the more the counts of peers distort the sample.
    //
    // Counts are late, and requests are sent to the upstreams that seem idle,
    // so that the counts are too small on average; in a model of 120 gateways
    // the service time was learned as three times as long. What the response
    // reports corrects that.
    double const slots = slots_of(s.slots, s.reported);
    double const after =
        s.reported ? reported_requests(*s.reported) : s.requests;
    // Otherwise a queue that formed behind the request counts as its wait; one
    // made the service time 11.6 ms in place of 60.
    if (std::abs(after - s.requests) > slots)
        return;
    double const others = std::max(s.requests, after);
    double const times = 1 + ahead_of_start(others, slots) / slots;
    double const took_us =
        static_cast<double>(s.took.count()) / times / pace_factor(s.pace);
    add_sample(room.learned, upstream_decay, took_us, 1 / times, now);
    add_sample(prior, service_decay, took_us, 1 / times, now);
}

void record_full(
    upstream_room& room, service_time const& prior, full_refusal const& r,
    steady_time now)
{
    double const slots = reported_slots_of(r.slots, r.reported);
    double const waiting =
        r.reported ? r.reported->waiting : std::max(0.0, r.requests - slots);
    duration const service_time =
        expected_service_time(room, prior, r.pace, now).value_or(duration{0});
    // Clamped before the conversion; counts in a report have no bound.
    double const shrunk_s = std::min(
        waiting / 4 / slots * to_seconds(service_time),
        to_seconds(max_full_time));
    // Many gateways that return one after another may keep the queue full.
    if (r.sent_at >= room.full_until)
        ++room.consecutive_refusals;
    std::uint32_t const doublings =
        std::min(std::max(room.consecutive_refusals, 1U) - 1, max_doublings);
    duration const pause = std::clamp(
        std::max(from_seconds(shrunk_s), min_full_time) * (1U << doublings),
        min_full_time, max_full_time);
    double const part = static_cast<double>(r.hash % 1024) / 1024;
    duration const spread = from_seconds(to_seconds(pause) / 2 * part);
    room.refused_at = now;
    room.full_until = std::max(
        room.full_until, now + std::min(pause + spread, max_full_time));
}

bool is_full(upstream_room const& room, steady_time now)
{
    bool const is_tried = room.consecutive_refusals > 0 &&
                          room.sent_at >= room.full_until &&
                          now - room.sent_at < max_full_time;
    return now < room.full_until || is_tried;
}

std::optional<duration> expected_service_time(
    upstream_room const& room, service_time const& prior,
    machine_pace const& pace, steady_time now)
{
    if (prior.samples < min_samples ||
        now - prior.updated_at > service_time_ttl)
        return std::nullopt;
    double const common = prior.took_us / prior.weight;
    bool const is_recent = now - room.learned.updated_at <= service_time_ttl;
    service_time const own = is_recent ? room.learned : service_time{};
    double const took_us =
        (own.took_us + common * prior_samples) / (own.weight + prior_samples);
    return duration(static_cast<duration::rep>(took_us * pace_factor(pace)));
}

bool has_free_slot(upstream_view const& v, steady_time now)
{
    return is_fresh(v, now) && v.report->waiting == 0 &&
           v.report->running < v.report->slots &&
           v.reported_at > v.room->refused_at;
}

room_estimate estimate_room(
    std::span<upstream_view const> views, service_time const& prior,
    steady_time now)
{
    room_estimate best;
    double starts_per_second = 0;
    for (upstream_view const& v : views)
    {
        best.has_free_slot = best.has_free_slot || has_free_slot(v, now);
        std::optional<duration> const service_time =
            expected_service_time(*v.room, prior, pace_of(v, now), now);
        if (!service_time)
            continue; // of all, since the prior is common
        duration const start = start_at(v, *service_time, now);
        duration const end = start + *service_time;
        best.until_end = best.is_known ? std::min(best.until_end, end) : end;
        if (!best.is_known || start < best.until_start)
        {
            best.until_start = start;
            best.service_time = *service_time;
        }
        best.shortest_service_time =
            best.is_known ? std::min(best.shortest_service_time, *service_time)
                          : *service_time;
        best.is_known = true;
        starts_per_second += slots_of(v.slots, v.report) /
                             std::max(to_seconds(*service_time), 1e-6);
    }
    if (best.is_known)
        best.start_interval = from_seconds(1 / starts_per_second);
    return best;
}

bool can_afford_wait(
    upstream_view const& v, service_time const& prior, duration affordable,
    steady_time now)
{
    if (has_free_slot(v, now))
        return true;
    if (is_full(*v.room, now))
        return false;
    std::optional<duration> const service_time =
        expected_service_time(*v.room, prior, pace_of(v, now), now);
    if (!service_time)
        return true;
    double const slots = reported_slots_of(v.slots, v.report);
    // Without a fresh report, what gateways count is the best that is known.
    double const waiting = is_fresh(v, now)
                               ? v.report->waiting
                               : std::max(v.requests + 1 - slots, 0.0);
    return waiting / slots * to_seconds(*service_time) <=
           to_seconds(affordable);
}

bool may_send(
    upstream_view const& v, service_time const& prior, send_query const& q,
    steady_time now)
{
    if (q.refusals < max_full_refusals)
        return can_afford_wait(v, prior, q.affordable, now);
    return has_free_slot(v, now) &&
           (q.has_refused || now - v.reported_at <= max_offer_report_age);
}

} // namespace marjorambeam
