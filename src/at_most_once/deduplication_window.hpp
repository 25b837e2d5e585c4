// Deduplication window: the idempotency keys that an owning agent has seen, the
// recorded responses to their requests, and the decision whether a request may
// run.
//
// Example:
//   deduplication_window window(process);
//   key_admission a = window.admit(state, request, true, clock);
//   switch (a.step)
//   {
//   case key_step::run:
//       run_then([&](auto outcome) { window.complete(request, outcome); });
//       break;
//   case key_step::reserve:
//       store.create("executions", a.reservation_name, a.reservation_value,
//           [&](auto r) { act_on(window.on_reservation_created(request, r));
//           });
//       break;
//   case key_step::replay:
//       respond_with(*a.outcome);
//       break;
//   ...
//   }
//
// The run state of a refusal describes the refused request: `not_run` means
// that this request has not reached the upstream and never will. The error kind
// describes an earlier request with the same key: key_in_progress,
// key_outcome_unknown and key_expired leave open whether the key has run.
//
// No I/O. Not thread-safe.
#pragma once

#include "at_most_once/keyspace.hpp"

#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace marjorambeam
{

// Kind of the durable reservations in the object API.
constexpr std::string_view execution_kind = "executions";

// A request that must run at most once.
struct key_request
{
    std::string customer;
    std::string service;
    std::string key;
    std::uint64_t fingerprint = 0; // hash of method, path and body
};

// The recorded response to a request that has run.
struct recorded_outcome
{
    std::int32_t status = 0;
    std::string content_type;
    std::string body;
};

enum class key_phase : std::uint8_t
{
    reserving,  // the create of the durable reservation is in flight
    unreserved, // its outcome is unknown; the request has not run
    running,
    completed,            // with a recorded outcome
    completed_unrecorded, // ran, but its response was too large to be recorded
    unknown               // may have run
};

// What to do with a request.
enum class key_step : std::uint8_t
{
    run,
    reserve,          // create the reservation, then on_reservation_created()
    read_reservation, // read the reservation, then on_reservation_read()
    replay,           // respond with the recorded outcome
    refuse
};

// Input of the stateless admission decision. `known` is the phase of the key in
// the window, or nothing; `key_time_ms` is -1 when the key carries no time;
// `min_key_time_ms` is the time of the latest key removed from the window,
// plus 1.
struct key_admission_input
{
    std::optional<key_phase> known;
    bool is_same_request = true; // fingerprint, when the key is known
    std::int64_t key_time_ms = -1;
    std::int64_t min_key_time_ms = 0;
    bool is_store_available = true;
};

struct key_decision
{
    key_step step = key_step::refuse;
    error_kind kind = error_kind::internal; // when refused
};

// Returns the admission decision for one key. Thread-safe.
key_decision decide_key_admission(
    partition_state const& s, key_admission_input const& q, clock_reading now,
    at_most_once_limits const& limits);

struct key_admission
{
    key_step step = key_step::refuse;
    error refusal;                                   // for refuse
    std::shared_ptr<recorded_outcome const> outcome; // for replay
    std::string reservation_name;  // for reserve, read_reservation
    std::string reservation_value; // for reserve
};

struct deduplication_window_limits
{
    at_most_once_limits times;
    std::size_t keys = 200'000;
    std::size_t body_bytes = 64'000; // of one recorded response
    std::size_t total_bytes = std::size_t{16} << 20U; // of all of them
};

class deduplication_window
{
public:
    // `self` is the process's incarnation.
    explicit deduplication_window(
        incarnation self, deduplication_window_limits limits = {});

    // Decides whether the request may run now, and if so reserves its key in
    // the window. `s` is the state of the key's partition; its latest admitted
    // time is advanced. Keys stay in the window after a change of ownership.
    key_admission admit(
        partition_state& s, key_request const& r, bool is_store_available,
        clock_reading now);

    // Handle the responses of the object API to creating and to reading a
    // reservation. The step is run, read_reservation or refuse. An error of the
    // kind conflict means that the name exists already.
    key_admission
    on_reservation_created(key_request const& r, result<void> const& created);
    key_admission
    on_reservation_read(key_request const& r, result<std::string> const& value);

    // Records the response to a request that was admitted with the step run.
    void complete(key_request const& r, recorded_outcome outcome);

    // Records that the request may have run and that its outcome is unknown.
    void complete_unknown(key_request const& r);

    // Records that the request was admitted but did not reach the upstream, so
    // that its key can be admitted again.
    void complete_not_run(key_request const& r);

    std::size_t size() const
    {
        return keys_.size();
    }
    // Bytes of recorded responses.
    std::size_t recorded_bytes() const
    {
        return recorded_bytes_;
    }

private:
    struct entry
    {
        key_phase phase = key_phase::running;
        std::uint64_t fingerprint = 0;
        std::uint64_t serial = 0;
        std::int64_t time_ms = 0; // of the key, or when it was first seen
        std::shared_ptr<recorded_outcome const> outcome;
    };
    struct seen_key
    {
        std::string id;
        std::uint64_t serial = 0;
    };

    entry* find(key_request const& r);
    void prune(std::int64_t wall_ms);
    void evict_outcomes();
    key_admission start(
        partition_state& s, key_request const& r, key_decision v,
        std::int64_t key_time_ms, clock_reading now);
    void fill_reservation(
        key_admission& a, key_request const& r, entry const& e) const;
    std::string reservation_token(entry const& e) const;

    incarnation self_;
    deduplication_window_limits limits_;
    std::unordered_map<std::string, entry> keys_;
    std::deque<seen_key> order_;    // as first seen, the oldest first
    std::deque<seen_key> recorded_; // with a recorded body, the oldest first
    std::size_t recorded_bytes_ = 0;
    std::uint64_t last_serial_ = 0;
    std::int64_t min_key_time_ms_ = 0;
};

} // namespace marjorambeam
