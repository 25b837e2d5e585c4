// Keeps an exception inside the callback that it left.
//
// Example:
//   if (!guarded_call("connection", [&] { read_available(); }))
//       close();
//
// The line is drawn where a library calls us: around each event of a
// connection, a listener, a timer and a datagram, each request to an HTTP
// server and each response to an HTTP client. Behind it, the connection or the
// work that threw is given up; what the others hold is untouched. Errors that
// are expected are values and never come here.
//
// Not thread-safe.
#pragma once

#include "log/log.hpp"

#include <cstdint>
#include <exception>
#include <string>
#include <string_view>

namespace marjorambeam
{

// Exceptions that guarded calls have kept, since the start. Tests and the soak
// fail when there are any that they don't expect.
std::uint64_t failed_callbacks();

// The part and reason of the latest one; empty if there is none.
std::string const& last_failed_callback();

// Logs and counts the failure of a callback.
void report_failed_callback(std::string_view part, std::string_view why);

// Calls `f` and returns whether it returned. An exception is logged and
// counted.
template <class Function>
bool guarded_call(std::string_view part, Function&& f)
{
    try
    {
        f();
        return true;
    }
    catch (std::exception const& e)
    {
        report_failed_callback(part, e.what());
    }
    catch (...)
    {
        report_failed_callback(part, "an exception of an unknown type");
    }
    return false;
}

} // namespace marjorambeam
