// The closed list of error kinds and the table from kind to answer.
//
// Example:
//   result<contract> c = find_contract(key);
//   if (!c)
//       return answer_for(c.error().kind).http_status; // 401
#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace marjorambeam
{

// Whether the work of a request reached an upstream.
enum class run_state : std::uint8_t
{
    not_run, // no upstream has received it, and none will
    unknown, // an upstream may have received it
    ran      // an upstream has received it
};

// Every way in which a request, a connection, a document or a call can fail.
// The order is that of the table in error.cpp; names are stable.
enum class error_kind : std::uint8_t
{
    bad_request,
    unauthorized,
    model_not_allowed,
    service_not_allowed,
    not_found,
    method_not_allowed,
    body_too_large,
    header_too_large,
    too_many_connections,
    sender_too_slow,
    idempotency_key_required,
    key_time_invalid,
    key_expired,
    key_in_progress,
    key_reused,
    key_outcome_unknown,
    not_keyspace_owner,
    keyspace_unavailable,
    rate_limited,
    spend_limit_reached,
    queue_full,
    deadline_unreachable,
    deadline_exceeded,
    version_withdrawn,
    session_invalid,
    no_upstream,
    upstream_out,
    availability_zone_out,
    upstream_cold,
    upstream_paused,
    upstream_limited,
    upstream_crashed,
    upstream_failed,
    upstream_silent,
    connection_lost,
    connection_silent,
    answer_corrupt,
    answer_cut,
    frame_too_large,
    frame_corrupt,
    frame_stale,
    protocol_mismatch,
    quarantined,
    request_quarantined,
    generation_stale,
    isolated,
    not_ready,
    shutting_down,
    bad_document,
    conflict,
    store_unavailable,
    store_rate_limited,
    lease_lost,
    fenced,
    bad_setting,
    cancelled,
    internal,
    buffers_full,
};

// Advice to the caller of a request that ended with an error.
enum class retry_advice : std::uint8_t
{
    never,   // the same request will fail again
    later,   // repeat after the time in Retry-After
    same_key // repeat with the same idempotency key
};

// One row of the table from kind to answer.
struct error_answer
{
    error_kind kind;
    std::string_view name; // also the label of the refusal counter
    int http_status;
    run_state run; // when the place of failure does not know better
    retry_advice advice;
    duration retry_after; // zero when there is no advice to come back
};

// Returns the row for `kind`. Thread-safe.
error_answer const& answer_for(error_kind kind);

// Returns all rows in the order of `error_kind`. Thread-safe.
std::span<error_answer const> all_error_answers();

// Returns the stable name of `kind`. Thread-safe.
std::string_view to_string(error_kind kind);

// Returns "not_run", "unknown" or "ran". Thread-safe.
std::string_view to_string(run_state run);

// An error kind with what went wrong in words, and what the place of failure
// knows of the run state and of the time to come back.
struct error
{
    error_kind kind = error_kind::internal;
    std::string message;
    run_state run = run_state::not_run;
    duration retry_after{0};
};

// Returns an error with the table's run state and retry time. Thread-safe.
error make_error(error_kind kind, std::string message);

template <class T>
using result = tl::expected<T, error>;

// Returns the error as the unexpected side of a result. Thread-safe.
inline tl::unexpected<error> fail(error_kind kind, std::string message)
{
    return tl::unexpected<error>(make_error(kind, std::move(message)));
}

} // namespace marjorambeam
