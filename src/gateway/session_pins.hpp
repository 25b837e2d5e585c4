// Remembers on which version the last request of a session ran.
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

// A session whose last request ended longer ago has ended. Twice what a
// deployment allows between two requests, as the end is noted by its sender.
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

// Returns the version of the session's last request; empty when there is none.
std::string_view pinned_version(
    session_pins const& p, std::string const& session, steady_time now);

// Notes that a request of the session runs, or has ended, on `version`. An
// empty session is ignored.
void record_session(
    session_pins& p, std::string const& session, std::string_view version,
    steady_time now);

// Forgets sessions that have ended.
void expire_sessions(session_pins& p, steady_time now);

} // namespace marjorambeam
