// What an upstream says of itself in an answer: that it is leaving, or that it
// wants no requests for a while.
//
// Example:
//   upstream_notices all;
//   record_draining(all, "i-7", started_unix_ms, now);
//   upstream_notice const* n = find_notice(all, "i-7", started_unix_ms);
//   if (n != nullptr && n->is_leaving) skip_it();
//
// A notice holds for one lifetime of the upstream, also while it is not listed.
// It is for the gateway that was told, and is not passed on to others. Plain
// data and free functions without I/O. Not thread-safe.
#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace marjorambeam
{

struct upstream_notice
{
    std::int64_t started_unix_ms = 0; // the lifetime that it is about
    steady_time noted_at{};
    bool is_leaving = false;
    steady_time paused_until{}; // wants nothing before
    steady_time resumes_at{};   // gets nothing before, see record_pause()
};

using upstream_notices = std::map<std::string, upstream_notice, std::less<>>;

// Notices that are kept, those of upstreams that are gone among them; nearly
// twice the upstreams of the largest fleet.
constexpr std::size_t max_notices = 4096;
// Gateways begin again within this time after a pause, not at one moment.
constexpr duration resume_spread = std::chrono::milliseconds(250);
// A gateway reaches its full load within this time after that.
constexpr duration resume_ramp = std::chrono::seconds(1);

// Returns the notice about this lifetime of the upstream, or null.
upstream_notice const* find_notice(
    upstream_notices const& all, std::string_view id,
    std::int64_t started_unix_ms);

// Notes that the upstream leaves; whether that is new.
bool record_draining(
    upstream_notices& all, std::string_view id, std::int64_t started_unix_ms,
    steady_time now);

// Notes that the upstream wants nothing for `pause`; whether that is longer
// than what it has said before. `hash` is uniform over gateways.
bool record_pause(
    upstream_notices& all, std::string_view id, std::int64_t started_unix_ms,
    duration pause, std::uint64_t hash, steady_time now);

// How many requests of this gateway may be at the upstream at `now`: none
// during a pause, more and more of its `slots` after it, and any number then.
std::uint32_t allowed_requests(
    upstream_notice const& n, std::uint32_t slots, steady_time now);

} // namespace marjorambeam
