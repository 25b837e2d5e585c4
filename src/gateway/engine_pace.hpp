// How long events take at one engine relative to the time that is expected of
// all engines of its service.
//
// Example:
//   auto const line = expected_event_line(estimates, query);
//   ...                                     // at each event of the response
//   if (line)
//       record_event_pace(u.event_pace, *line, requests, since_previous_event,
//                         events, now);
//   query.pace = event_pace_of(u.event_pace, now);
//
//   auto const forecast = forecast_response(estimates, query, 0, left);
//   ...                                     // for each engine
//   double const end_s = expected_end(*forecast, first_event_s, requests,
//   pace); if (ends_in_time(*forecast, end_s)) consider(engine);
//
// Engines share their machines with other work, so that one engine may be some
// times slower than the others for a few seconds. Plain data and free functions
// without I/O. Not thread-safe, except where a function says so.
#pragma once

#include "base/time.hpp"
#include "gateway/completion_estimate.hpp"

#include <cstdint>
#include <optional>

namespace marjorambeam
{

// Exponentially decayed sums over the events of one engine. Sums, because a
// mean of ratios is dominated by the events that were expected to be short.
struct engine_event_pace
{
    double seen_s = 0;
    double expected_s = 0;
    double events = 0;
    steady_time updated{};
};

// Time constant of the decay. Slow phases of engines last for some seconds. A
// gateway of 24 has a stream at an engine of 40 in one third of the time, so
// that a shorter one leaves most engines without samples.
constexpr duration event_pace_decay = std::chrono::seconds(4);
// Weight of the prior that an engine is as fast as expected, in events: those
// of about one response.
constexpr double prior_pace_events = 30;
// A stall counts as at most this many times the expected time.
constexpr double max_event_pace = 10;

// Returns the expected seconds per event over the requests at an engine of the
// usual pace, or nothing if there are too few recent samples. Reads service,
// model, models and now of the query. Thread-safe while no function records.
std::optional<event_time_line>
expected_event_line(completion_estimates const& all, completion_query const& q);

// Records that the latest `events` of a response took `took` together.
// `requests` are those at the engine now, this one included: unlike the line,
// which is used with the requests that are counted at a selection, the pace is
// not to contain the load that came since. Ignores times that are not positive
// or longer than an hour, and counts below one or not finite. Not thread-safe.
void record_event_pace(
    engine_event_pace& p, event_time_line const& line, double requests,
    duration took, std::uint64_t events, steady_time now);

// Returns the pace: 1 as expected, 3 if events take three times as long. It
// returns to 1 without samples. Thread-safe while no function records.
double event_pace_of(engine_event_pace const& p, steady_time now);

// What the end of a response depends on, but for the engine.
struct response_forecast
{
    double events = 0; // after the next one
    event_time_line line;
    double left_s = 0; // until the deadline
};

// Returns the forecast of a response of which `received` events are there, or
// nothing if its length or the time per event are unknown. Reads what
// expected_event_line() and expected_events() read of the query. Thread-safe
// while no function records.
std::optional<response_forecast> forecast_response(
    completion_estimates const& all, completion_query const& q,
    std::uint64_t received, duration left);

// Returns the likely time until the end at an engine, in seconds. It is a
// multiplication, as it is asked for each engine of a selection. `requests` are
// those at the engine, this one included. Thread-safe.
double expected_end(
    response_forecast const& f, double first_event_s, double requests,
    double pace);

// Returns whether an end after `end_s` is in time, with end_margin.
// Thread-safe.
bool ends_in_time(response_forecast const& f, double end_s);

} // namespace marjorambeam
