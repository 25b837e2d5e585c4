// Decides whether a request is admitted, waits or is refused, by when it can
// start and end.
//
// Example:
//   admission_result const r = decide_admission(
//       {.is_known = room.is_known,
//        .has_free_slot = room.has_free_slot,
//        .times = plain_times(room, error, waiting_before_it, interval, now),
//        .until_deadline = deadline - now, ...});
//   if (r.outcome == admission_outcome::refuse)
//       refuse(retry_after(r.until_room));
//   // Once it starts, seen after its arrival:
//   record_error(error, times.predicted, seen, times.service_time, now);
//
// A refusal is for requests that cannot end in time by the most favourable
// estimate; a wrong one costs the caller an answer that there was room for.
// Plain data and free functions without I/O. Thread-safe, except where a
// function says so.
#pragma once

#include "base/time.hpp"
#include "gateway/completion_estimate.hpp"
#include "gateway/prediction_error.hpp"
#include "gateway/service_room.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace marjorambeam
{

// A time from now: by the 10th percentile of the error, as predicted, and by
// the 90th percentile.
struct time_range
{
    duration early{0};
    duration likely{0};
    duration late{0};
};

struct admission_times
{
    time_range start;
    time_range end;
    duration predicted{0};    // the start without the error
    duration service_time{0}; // the floor when the error is recorded
};

// Returns the mean time between starts that requests which wait at this gateway
// are to expect: `own`, as measured here while requests waited, or that of an
// equal share of all starts, if that is shorter. What this gateway started
// lately may be less than it could have, and a request is not refused for that.
// Zero if `own` is. Precondition: `gateways` is positive. Thread-safe.
duration expected_interval(
    duration own, room_estimate const& room, std::size_t gateways);

// Returns the times of a request to a plain service that starts after
// `waiting_before` others that wait at this gateway. `waiting_interval` is the
// mean time between starts of this gateway's requests; 0: unknown, which counts
// as room.start_interval. The error of the prediction is that of the start; the
// end is one service time later. Thread-safe.
admission_times plain_times(
    room_estimate const& room, prediction_error const& error,
    double waiting_before, duration waiting_interval, steady_time now);

// Returns the times of a request to an engine that starts after `queued` and
// ends by the prediction, whose error is that of the end. Thread-safe.
admission_times engine_times(duration queued, completion_prediction const& end);

enum class admission_outcome : std::uint8_t
{
    admit,
    wait,
    refuse
};

enum class admission_reason : std::uint8_t
{
    free_slot,        // admit: an upstream reported a free slot
    unknown_estimate, // admit, as without overload control
    in_time,          // admit: likely ends before its target
    before_deadline,  // admit: likely ends before its deadline
    uncertain,        // wait: ends before its deadline at best
    cannot_end        // refuse: ends after its deadline at best
};

struct admission_query
{
    bool is_known = false; // the times
    bool has_free_slot = false;
    admission_times times;
    duration until_deadline{0};
    duration until_target{0}; // negative once it has passed; for the reason
};

struct admission_result
{
    admission_outcome outcome = admission_outcome::admit;
    admission_reason reason = admission_reason::unknown_estimate;
    duration until_room{0}; // when an upstream likely has room
};

// Refuses only if the times are known, no free slot was reported, and the early
// end is after the deadline. Otherwise waits if the likely end is after it.
// An admitted request is sent to an upstream with can_afford_wait(), and waits
// while there is none. Thread-safe.
admission_result decide_admission(admission_query const& q);

// How an admitted request ended.
enum class admission_end : std::uint8_t
{
    in_time,
    late,    // after its target
    deadline // at its deadline, without a whole response
};

// Classifies the end of an admitted request. Thread-safe.
admission_end classify_end(
    bool is_complete, duration took, duration target, duration deadline);

struct admission_counts
{
    std::uint64_t in_time = 0;
    std::uint64_t late = 0;
    std::uint64_t deadline = 0;
    std::uint64_t refused = 0;
    std::uint64_t refused_with_room = 0; // must stay 0
};

// Counts the end of an admitted request. Not thread-safe.
void record_end(admission_counts& counts, admission_end end);
// Counts a refusal, and returns whether it was false: `has_free_slot` says
// whether a usable upstream has a free slot by what the gateway knows when the
// refusal is sent. Not thread-safe.
bool record_refusal(admission_counts& counts, bool has_free_slot);

std::string_view to_string(admission_outcome o);
std::string_view to_string(admission_reason r);
std::string_view to_string(admission_end e);

} // namespace marjorambeam
