// A lease with a fencing number, stored in one object with conditional updates.
//
// Example:
//   lease_state s = make_lease("entry-1/9f3a", rules);
//   lease_call call = next_call(s, clocks);   // read, create or update
//   // send it, then:
//   on_reply(s, reply, clocks);
//   if (may_act(s, clocks))
//       send_command(command, s.fencing);
//
// Performs no I/O. A holder acts only while the lease is valid by its own
// clocks, counted from before the write that granted it was sent. The next
// holder waits for the end of the lease plus the maximum difference between two
// clocks and uses a larger fencing number. If its own wall clock was stepped
// meanwhile, it instead waits until the object has not changed for that long.
// Functions are not thread-safe on the same state.
#pragma once

#include "base/time.hpp"
#include "error/error.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace marjorambeam
{

struct lease_rules
{
    duration lifetime = std::chrono::seconds(15);
    duration renew_after = std::chrono::seconds(5);
    // Maximum difference between the wall clocks of two instances.
    duration clock_difference = std::chrono::seconds(2);
    // A holder whose wall and steady clocks drift apart by more than this drops
    // the lease, because its end on the wall clock no longer matches the stored
    // one. Must be less than clock_difference.
    duration max_drift = std::chrono::seconds(1);
    duration retry_after = std::chrono::seconds(1); // after a failure
    duration poll_after = std::chrono::seconds(5);  // while not the holder
};

// Both clocks, read together.
struct clock_pair
{
    wall_time wall{};
    steady_time steady{};
};

// Contents of the stored object. A released lease keeps its fencing number and
// has an `until_ms` of 0.
struct lease_record
{
    std::string holder;
    std::uint64_t fencing = 0;
    std::int64_t until_ms = 0; // wall clock of the holder

    bool operator==(lease_record const&) const = default;
};

// Returns the stored form of the record. Thread-safe.
std::string to_json(lease_record const& r);
// Parses the stored form. Error: bad_document. Thread-safe.
result<lease_record> parse_lease(std::string_view text);

enum class lease_call_kind
{
    none, // nothing is due, or a call is in flight
    read,
    create,
    update
};

struct lease_call
{
    lease_call_kind kind = lease_call_kind::none;
    lease_record record;        // to write
    std::uint64_t revision = 0; // for update
};

// The store's response: the object with its revision, or an error.
struct lease_reply
{
    error_kind kind = error_kind::internal; // when `is_ok` is false
    bool is_ok = false;
    std::uint64_t revision = 0;
    std::string value; // of a read
};

struct lease_state
{
    lease_rules rules;
    std::string holder;    // unique to this process
    bool is_wanted = true; // false: release it and do not acquire it
    bool is_held = false;
    std::uint64_t fencing = 0;  // while held
    clock_pair granted_at;      // before the write that granted it was sent
    std::uint64_t revision = 0; // of the last known object, 0 for none
    lease_record observed;      // the last known contents
    clock_pair observed_at;     // when this revision was first observed
    bool is_observation_fresh = false; // read since the last failure
    std::optional<lease_call> in_flight;
    clock_pair sent_at;
    // A write without a response, which a later read may find applied.
    // `unconfirmed_sent_at` was read before the write was sent.
    std::optional<lease_record> unconfirmed;
    clock_pair unconfirmed_sent_at;
    steady_time next_try{};
    std::uint64_t lost = 0; // number of times it was lost while held
};

// Returns the state of a process that does not hold the lease. Precondition:
// `holder` is unique to this process, also among earlier ones.
lease_state make_lease(std::string holder, lease_rules const& rules);

// Returns the next call to the store and marks it as in flight. The kind is
// `none` when nothing is due or a call is in flight.
lease_call next_call(lease_state& s, clock_pair now);

// Handles the response to the call in flight. Precondition: there is one.
void on_reply(lease_state& s, lease_reply const& reply, clock_pair now);

// Whether the holder may act now under `s.fencing`. Drops the lease when it has
// expired or a clock was stepped. Call it before each action, because the
// process may have been paused since the last one.
bool may_act(lease_state& s, clock_pair now);

// Releases the lease. next_call() then writes the release to the store.
void release(lease_state& s, clock_pair now);

// Whether next_call() has nothing more to write after release().
bool is_released(lease_state const& s);

} // namespace marjorambeam
