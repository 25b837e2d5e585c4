// Tracks the version on which the last request of each session ran.
//
// Example:
//   std::string_view v = pinned_version(pins, session, now);
//   record_session(pins, session, upstream.version, now);
//
// No I/O. Not thread-safe.
#pragma once

#include "base/time.hpp"

#include <string>
#include <string_view>
#include <unordered_map>

namespace marjorambeam
{

// A session expires this long after its last request. This is twice the gap
// that a deployment allows, because the sender records the end of a request.
constexpr duration session_memory = std::chrono::seconds(15);

struct session_pin
{
    std::string version;
    steady_time last{};
};

struct session_pins
{
    std::unordered_map<std::string, session_pin> by_session;
};

// Returns the version of the session's last request, or an empty view. Valid
// until `p` changes. Not thread-safe.
std::string_view pinned_version(
    session_pins const& p, std::string const& session, steady_time now);

// Records that a request of the session is running, or has ended, on
// `version`. Ignores an empty session. Not thread-safe.
void record_session(
    session_pins& p, std::string const& session, std::string_view version,
    steady_time now);

// Removes expired sessions. Not thread-safe.
void expire_sessions(session_pins& p, steady_time now);

} // namespace marjorambeam
