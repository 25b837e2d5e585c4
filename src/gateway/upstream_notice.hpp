// What an upstream reports about itself in a response: that it is draining,
// that it requests a pause, or how many requests per second it accepts.
//
// Example:
//   upstream_notices all;
//   record_draining(all, "i-7", started_unix_ms, now);
//   upstream_notice const* n = find_notice(all, "i-7", started_unix_ms);
//   if (n != nullptr && n->is_draining) skip_it();
//
// A notice applies to one incarnation of the upstream, also while it is not
// listed. Only the gateway that received it uses it; it is not relayed. Plain
// data and free functions without I/O. Not thread-safe.
#pragma once

#include "base/time.hpp"
#include "gateway/upstream_limit.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace marjorambeam
{

struct upstream_notice
{
    std::int64_t started_unix_ms = 0; // identifies the incarnation
    steady_time updated_at{};
    bool is_draining = false;
    steady_time paused_until{}; // end of the requested pause
    steady_time resumes_at{};   // no requests before, see record_pause()
    known_limit limit;
    limit_gate gate; // in use while `limit` names a number
};

using upstream_notices = std::map<std::string, upstream_notice, std::less<>>;

// Maximum number of notices, including those of removed upstreams; nearly twice
// the upstreams of the largest fleet.
constexpr std::size_t max_notices = 4096;
// Gateways resume at different times within this interval after a pause.
constexpr duration resume_spread = std::chrono::milliseconds(250);
// A gateway ramps up to its full load within this time after it resumes.
constexpr duration resume_ramp = std::chrono::seconds(1);

// Returns the notice about this incarnation of the upstream, or null. The
// pointer is valid until the notice is removed. Not thread-safe.
upstream_notice const* find_notice(
    upstream_notices const& all, std::string_view id,
    std::int64_t started_unix_ms);

// Records that the upstream is draining. Returns whether that is new. Ignores
// an earlier incarnation than the known one. Not thread-safe.
bool record_draining(
    upstream_notices& all, std::string_view id, std::int64_t started_unix_ms,
    steady_time now);

// Records that the upstream requests a pause of `pause`. Returns whether it
// ends later than the one before. Ignores an earlier incarnation than the known
// one. `hash` is uniform over gateways. Not thread-safe.
bool record_pause(
    upstream_notices& all, std::string_view id, std::int64_t started_unix_ms,
    duration pause, std::uint64_t hash, steady_time now);

// Records the request limit in a response of the upstream, or that it names
// none; see record_response_limit(). Returns the limit if it changed, else
// null. The pointer is valid until the notice is removed. Not thread-safe.
known_limit const* record_limit(
    upstream_notices& all, std::string_view id, std::int64_t started_unix_ms,
    std::optional<double> per_second, steady_time sent, steady_time now);

// Merges what a peer knows of the limit of this incarnation; see
// merge_known_limit(). // Returns whether it changed. Not thread-safe.
bool merge_limit(
    upstream_notices& all, std::string_view id, std::int64_t started_unix_ms,
    known_limit const& peer, steady_time now);

// Returns the gate of the upstream's request limit, or null if it names none.
// `n` may be null. Thread-safe.
limit_gate const* gate_of(upstream_notice const* n);

// Returns how many requests of this gateway may run at the upstream at `now`:
// none during a pause, a growing part of its `slots` during the ramp after it,
// and any number from then on. Thread-safe.
std::uint32_t allowed_requests(
    upstream_notice const& n, std::uint32_t slots, steady_time now);

} // namespace marjorambeam
