// Bounds what a reading of another instance's clock means by the clock of this
// one, whatever the delays of the messages between them.
//
// Example:
//   observe_latest(clock, {report.clock, now});
//   if (auto sent = send_time_of(state.reports, echo.sequence))
//       observe_earliest(clock, {echo.received, *sent});
//   if (auto as_of = earliest(clock, report.clock - age))
//       confirm_config(state, *as_of);
//
// Two observations suffice. A message that carries a reading was written before
// it was read here, which bounds the reading from above. A message of this
// instance was received after it was sent, so that the peer's reading at the
// receipt, which the peer tells later, is bounded from below by the time of
// sending. Delays make bounds wide, never wrong, and the best observation of a
// process holds for all its readings, apart from the drift of the clocks.
//
// Plain data and functions without I/O. Not thread-safe.
#pragma once

#include "base/time.hpp"

#include <array>
#include <cstdint>
#include <optional>

namespace marjorambeam
{

// Reading of another instance's clock: its time since boot.
using peer_reading = duration;

// Relative rate of two clocks that are being adjusted at the same time.
constexpr std::int64_t max_drift_per_thousand = 2;

// A reading of a peer's clock and a time of this instance's.
struct clock_observation
{
    peer_reading peer{0};
    steady_time own{};
};

// The best observations of one process.
struct peer_clock
{
    std::optional<clock_observation> earliest; // `peer` was not before `own`
    std::optional<clock_observation> latest;   // `peer` was not after `own`
};

// Records that the peer's clock showed `o.peer` at `o.own` or later. Not
// thread-safe.
void observe_earliest(peer_clock& c, clock_observation const& o);

// Records that the peer's clock showed `o.peer` at `o.own` or before. Not
// thread-safe.
void observe_latest(peer_clock& c, clock_observation const& o);

// Returns a time that is not after the one at which the peer's clock showed
// `r`; nothing before the peer has answered a message. Not thread-safe.
std::optional<steady_time> earliest(peer_clock const& c, peer_reading r);

// Returns a time that is not before the one at which the peer's clock showed
// `r`; nothing before the first message of the peer. Not thread-safe.
std::optional<steady_time> latest(peer_clock const& c, peer_reading r);

// When the latest messages of a sequence were sent.
struct sent_messages
{
    std::uint64_t count = 0;
    std::array<steady_time, 256> at{};
};

// Numbers the next message, sent at `now` or later. Returns its number, from 1.
// Not thread-safe.
std::uint64_t record_sent(sent_messages& m, steady_time now);

// Returns when message `number` was sent, or nothing if it was not sent or is
// too old to tell. Not thread-safe.
std::optional<steady_time>
send_time_of(sent_messages const& m, std::uint64_t number);

} // namespace marjorambeam
