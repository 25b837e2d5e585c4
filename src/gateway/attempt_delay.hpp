// Judges an attempt whose upstream takes long, and whether another upstream is
// to take over from it.
//
// Example:
//   attempt_delay const d = delay_of(progress, bounds);
//   if (d != attempt_delay::none &&
//       reason_to_wait(options) == wait_reason::none)
//       send_to_another();
//
// An attempt is given up only for another one that can be sent now: a silent
// upstream may go on, and without a replacement its caller would get less.
//
// Plain data and pure functions; thread-safe.
#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace marjorambeam
{

// How far an attempt has come.
struct attempt_progress
{
    duration since_sent{0};
    // Since the upstream sent anything on any connection, or since the attempt
    // was sent if that is later.
    duration since_received{0};
    bool is_event_stream = false;
    std::optional<duration> since_event; // once there was one
};

struct attempt_bounds
{
    duration target{0};     // usual time to the response, or its first event
    duration gap_target{0}; // between events
    // Plain responses that are late were most likely lost; an engine may still
    // have the request in its queue.
    bool is_plain_idempotent = false;
};

enum class attempt_delay : std::uint8_t
{
    none,
    stalled, // the stream makes no events
    overdue, // the response was most likely lost
    silent   // the upstream sends nothing on any connection
};

// Returns what delays the attempt. Thread-safe.
attempt_delay delay_of(attempt_progress const& p, attempt_bounds const& bounds);

// What speaks for another attempt.
struct replacement_options
{
    bool is_repeatable = false;
    bool has_attempts = false; // of the route's
    bool has_budget = false;
    bool has_upstream = false;    // another one is available now
    bool can_end_in_time = false; // before a planned stop would cut it
};

// Why a delayed attempt goes on.
enum class wait_reason : std::uint8_t
{
    none, // it doesn't; another one takes over
    not_repeatable,
    no_attempts,
    no_budget,
    no_upstream,
    stopping
};

// Returns why a delayed attempt goes on. Thread-safe.
wait_reason reason_to_wait(replacement_options const& o);

std::string_view to_string(attempt_delay d);
std::string_view to_string(wait_reason r);

} // namespace marjorambeam
