// Decides when a gateway that receives relayed changes reads objects from the
// store itself, because its copy of them lacks a change.
//
// Example:
//   update_lag(state, kind, now);
//   if (is_fetch_due(state, kind, now)) {
//       record_fetch_sent(state, kind, now);
//       watch.poll_now();
//   }
//   // Later: record_read(state, kind, sent) or
//   //        record_fetch_failed(state, kind, now)
//
// Relayed changes are datagrams and may be lost, and a reader may not know yet
// that this gateway needs them. A copy is therefore behind until the store has
// answered; a call that fails only sets the time of the next one. A gateway
// that is behind asks while it takes the store for lost, too, so that its copy
// is current once a call that fails, a retry delay and an answer have passed
// since the store can be reached again.
// No I/O. Not thread-safe.
#pragma once

#include "gateway/gateway_state.hpp"

#include <string_view>

namespace marjorambeam
{

// Interval between fetches of one kind.
constexpr duration fetch_interval = std::chrono::milliseconds(1000);
// Least time between a failed fetch and the next one.
constexpr duration fetch_retry_delay = std::chrono::milliseconds(100);

// Returns the name of a reason in logs; "-" for none. Thread-safe.
std::string_view to_string(lag_reason r);

// Returns the name of a kind in logs and metrics. Thread-safe.
std::string_view to_string(state_kind kind);

// Records that this process did not run for a while until `now`, so that
// relayed changes of `kind` may be lost. Precondition: its watch is parked.
void record_missed_relays(gateway_state& s, state_kind kind, steady_time now);

// Compares the copy of `kind` with those that readers report, and records
// whether it is behind, why, since when and whose is newer. A copy is behind if
// it is of an earlier era than a reader's, has differed from a newer one for
// longer than a relayed change takes, or may lack relayed changes.
// Precondition: the copy is listed and its watch is parked.
void update_lag(gateway_state& s, state_kind kind, steady_time now);

// Returns whether to read `kind` from the store now. Precondition: no call for
// it is under way. Its lag is as of the last update_lag().
bool is_fetch_due(gateway_state const& s, state_kind kind, steady_time now);

// Records that a call for the changes of `kind` was sent.
void record_fetch_sent(gateway_state& s, state_kind kind, steady_time now);

// Records that all of `kind` was read that the store had when a call was sent
// at `sent`. If that was the fetch, a difference that remains is due to a delay
// of the readers, until they report a later position.
void record_read(gateway_state& s, state_kind kind, steady_time sent);

// Forgets the lag of a copy whose watch reads the store again. What relays may
// have been missed is kept until the store has answered.
void clear_lag(gateway_state& s, state_kind kind);

// Records that a call for `kind` has failed.
void record_fetch_failed(gateway_state& s, state_kind kind, steady_time now);

// Sets the gauges of the copies that are behind: `copy_behind_seconds` by kind
// and by what the gateway does about it (`asked`, `failed` or `waiting`).
void set_lag_gauges(gateway_state& s, steady_time now);

} // namespace marjorambeam
