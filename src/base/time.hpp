// Time types used by every part.
//
// Example:
//   steady_time now = steady_now();
//   steady_time deadline = now + std::chrono::seconds(3);
//
// Functions that decide take the present time as an argument; only the event
// loops and main functions call steady_now() and wall_now().
#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>
#include <string>

namespace marjorambeam
{

using duration = std::chrono::microseconds;
using steady_time =
    std::chrono::time_point<std::chrono::steady_clock, duration>;
using wall_time = std::chrono::time_point<std::chrono::system_clock, duration>;

// Returns the monotonic time of this instance. Thread-safe.
inline steady_time steady_now()
{
    return std::chrono::time_point_cast<duration>(
        std::chrono::steady_clock::now());
}

// Returns the time since the instance booted, which goes on while the instance
// is suspended, unlike steady_now(). Thread-safe.
inline steady_time boot_now()
{
    timespec t{};
    clock_gettime(CLOCK_BOOTTIME, &t);
    return steady_time(
        std::chrono::duration_cast<duration>(std::chrono::seconds(t.tv_sec)) +
        std::chrono::duration_cast<duration>(
            std::chrono::nanoseconds(t.tv_nsec)));
}

// Returns the wall clock of this instance. Thread-safe.
inline wall_time wall_now()
{
    return std::chrono::time_point_cast<duration>(
        std::chrono::system_clock::now());
}

// Returns milliseconds since the Unix epoch. Thread-safe.
inline std::int64_t to_unix_ms(wall_time t)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               t.time_since_epoch())
        .count();
}

// Returns the wall time `ms` milliseconds after the Unix epoch. Thread-safe.
inline wall_time from_unix_ms(std::int64_t ms)
{
    return wall_time(duration(std::chrono::milliseconds(ms)));
}

// Returns `d` in seconds, with fractions. Thread-safe.
inline double to_seconds(duration d)
{
    return std::chrono::duration<double>(d).count();
}

// Returns `d` in whole milliseconds, such as "1500". Thread-safe.
inline std::string in_ms(duration d)
{
    return std::to_string(
        std::chrono::duration_cast<std::chrono::milliseconds>(d).count());
}

// Returns `seconds` as a duration. Thread-safe.
inline duration from_seconds(double seconds)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

} // namespace marjorambeam
