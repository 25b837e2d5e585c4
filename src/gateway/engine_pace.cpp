#include "gateway/engine_pace.hpp"

#include "gateway/model_choice.hpp"

#include <algorithm>
#include <cmath>

namespace marjorambeam
{
namespace
{

constexpr duration longest_event_time = std::chrono::hours(1);
// Requests at which the line is read; the distance keeps the slope exact
// although times are in whole microseconds.
constexpr double low_requests = 1;
constexpr double high_requests = 1001;

// What is left of the sums at `now`.
double decay_at(engine_event_pace const& p, steady_time now)
{
    double const age = to_seconds(std::max(now - p.updated, duration{0}));
    return std::exp(-age / to_seconds(event_pace_decay));
}

} // namespace

std::optional<event_time_line>
expected_event_line(completion_estimates const& all, completion_query const& q)
{
    completion_query at = q;
    at.pace = 1;
    at.requests = low_requests;
    auto const low = expected_event_time(all, at);
    at.requests = high_requests;
    auto const high = expected_event_time(all, at);
    if (!low || !high)
        return std::nullopt;
    double const slope = std::max(
        to_seconds(*high - *low) / (high_requests - low_requests), 0.0);
    return event_time_line{
        .idle = std::max(to_seconds(*low) - slope * low_requests, 0.0),
        .per_request = slope};
}

void record_event_pace(
    engine_event_pace& p, event_time_line const& line, double requests,
    duration took, std::uint64_t events, steady_time now)
{
    if (took <= duration{0} || took > longest_event_time || events == 0 ||
        !(requests >= 1) || !std::isfinite(requests))
        return;
    auto const n = static_cast<double>(events);
    double const expected = (line.idle + line.per_request * requests) * n;
    if (!(expected > 0) || !std::isfinite(expected))
        return;
    double const left = decay_at(p, now);
    double const seen = std::min(to_seconds(took), max_event_pace * expected);
    p.seen_s = p.seen_s * left + seen;
    p.expected_s = p.expected_s * left + expected;
    p.events = p.events * left + n;
    p.updated = std::max(p.updated, now);
}

double event_pace_of(engine_event_pace const& p, steady_time now)
{
    if (p.events <= 0)
        return 1;
    // The prior consists of events that are as long as those seen.
    double const prior = prior_pace_events * p.expected_s / p.events;
    double const left = decay_at(p, now);
    return (p.seen_s * left + prior) / (p.expected_s * left + prior);
}

std::optional<response_forecast> forecast_response(
    completion_estimates const& all, completion_query const& q,
    std::uint64_t received, duration left)
{
    auto const line = expected_event_line(all, q);
    auto const events = expected_events(all, q);
    if (!line || !events)
        return std::nullopt;
    return response_forecast{
        .events = std::max(*events - static_cast<double>(received) - 1, 0.0),
        .line = *line,
        .left_s = to_seconds(left)};
}

double expected_end(
    response_forecast const& f, double first_event_s, double requests,
    double pace)
{
    return std::max(first_event_s, 0.0) +
           f.events * (f.line.idle + f.line.per_request * requests) * pace;
}

bool ends_in_time(response_forecast const& f, double end_s)
{
    return end_s * end_margin <= f.left_s;
}

} // namespace marjorambeam
