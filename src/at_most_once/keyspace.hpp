// Ownership of the partitions of a service's key space: who may admit
// non-idempotent requests, and from which key time on.
//
// Example:
//   std::uint32_t p = partition_of(customer, service, key);
//   keyspace_plan plan = plan_keyspace(states[p], stored[p], self, clock, {});
//   if (plan.step == keyspace_step::acquire)
//       write(plan.record); // then on_lease_written(states[p], ...)
//   if (may_admit(states[p], clock, {}))
//       ...; // the deduplication window decides about the key
//
// Why no key runs twice: an owner admits a key only before its lease ends and
// only when the key's time is at most `max_future_ms` ahead of its clock, so
// each key that it admits has a time before the lease's end plus
// `max_future_ms`. That is the next owner's bound, whatever either clock shows.
//
// All functions are thread-safe and perform no I/O.
#pragma once

#include "base/id.hpp"
#include "base/time.hpp"
#include "error/error.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace marjorambeam
{

constexpr std::uint32_t keyspace_partitions = 16;

// Kind of the ownership objects in the object API.
constexpr std::string_view keyspace_kind = "keyspaces";

// Bounds of the protocol, in milliseconds.
struct at_most_once_limits
{
    std::int64_t lease_duration_ms = 60'000;
    std::int64_t renew_interval_ms = 20'000; // after the last renewal
    std::int64_t window_ms = 600'000;        // retention of outcomes
    // A key's time may be ahead of the clock by at most this.
    std::int64_t max_future_ms = 2'000;
    std::int64_t max_clock_skew_ms = 2'000; // between any two clocks
    // Wall and steady clock drifting apart by more than this is a clock step.
    std::int64_t max_clock_drift_ms = 1'000;
    std::int64_t rank_delay_ms = 1'000; // per place behind the preferred owner
    // How long a released partition is reserved.
    std::int64_t reservation_ms = 5'000;
    // Counted from when the preferred owner became live.
    std::int64_t handover_delay_ms = 10'000;
};

// Both clocks of this instance at one moment.
struct clock_reading
{
    std::int64_t wall_ms = 0; // Unix time
    std::int64_t steady_ms = 0;
};

clock_reading make_clock_reading(wall_time wall, steady_time steady);

// Returns the partition of a key. A key is scoped by customer and service.
std::uint32_t partition_of(
    std::string_view customer, std::string_view service, std::string_view key);

// Returns the name of a partition's object, "SERVICE.PP".
std::string keyspace_name(std::string_view service, std::uint32_t partition);

// The value of a partition's object.
struct keyspace_record
{
    std::string owner;        // name of the upstream; empty when released
    std::string address;      // on which the owner's agent listens
    incarnation process = 0;  // of the owner's agent
    std::string reserved_for; // upstream that a released partition waits for
    std::uint64_t epoch = 0;
    std::int64_t lease_end_ms = 0; // by the owner's wall clock
    std::int64_t bound_ms = 0;     // keys of earlier times are refused

    bool operator==(keyspace_record const&) const = default;
};

std::string to_json(keyspace_record const& r);

// Error: bad_document.
result<keyspace_record> parse_keyspace_record(std::string_view json);

// What a process knows about its own lease on a partition.
struct partition_state
{
    bool is_owner = false;
    bool is_releasing = false; // admits nothing more
    std::uint64_t epoch = 0;
    std::int64_t lease_end_ms = 0;        // by the wall clock
    std::int64_t lease_end_steady_ms = 0; // by the steady clock
    std::int64_t bound_ms = 0;            // keys of earlier times are refused
    std::int64_t max_admitted_ms = 0;  // latest key time admitted, in any epoch
    std::int64_t clock_base_ms = 0;    // wall less steady at the last renewal
    std::int64_t vacant_since_ms = -1; // by the steady clock; -1: is owned
};

// Whether wall and steady clock have drifted apart since the last renewal.
bool has_clock_step(
    partition_state const& s, clock_reading now,
    at_most_once_limits const& limits);

// Whether the process holds a valid lease and may admit keys.
bool may_admit(
    partition_state const& s, clock_reading now,
    at_most_once_limits const& limits);

// A process that may own a partition.
struct keyspace_candidate
{
    std::string upstream;
    std::string address; // bound by this process
    incarnation process = 0;
    std::size_t rank = 0; // by rendezvous hashing among the live upstreams
};

enum class keyspace_step : std::uint8_t
{
    wait,
    acquire, // write the record; on success on_lease_written()
    renew,   // write the record; on success on_lease_written()
    release, // write the record; on success drop_ownership()
    drop     // the lease is lost: drop_ownership()
};

struct keyspace_plan
{
    keyspace_step step = keyspace_step::wait;
    keyspace_record record; // to write on condition that nothing has changed
};

// Returns what to do about a partition, given its object as last read (nothing
// when there is none). `reserved_for` names the upstream for which a partition
// is released, or is empty.
keyspace_plan plan_keyspace(
    partition_state const& s, std::optional<keyspace_record> const& stored,
    keyspace_candidate const& self, clock_reading now,
    at_most_once_limits const& limits, std::string_view reserved_for = {});

// Records since when the partition has had no owner. Call it after each read of
// the object, before plan_keyspace().
void update_vacancy(
    partition_state& s, std::optional<keyspace_record> const& stored,
    clock_reading now);

// Applies an acquisition or renewal that the store has confirmed; `sent` is the
// clock reading that its plan was made with. Ignored when it renews an epoch
// that has been dropped since.
void on_lease_written(
    partition_state& s, keyspace_record const& written, clock_reading sent);

// Ends the ownership immediately.
void drop_ownership(partition_state& s);

// Stops admission, the first step of a handover; the release follows.
void begin_release(partition_state& s);

} // namespace marjorambeam
