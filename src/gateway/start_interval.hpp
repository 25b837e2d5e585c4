// Measures the time between the starts of a service's requests at this gateway
// while others wait for theirs.
//
// Example:
//   record_start(intervals["orders"]);                 // one is sent
//   record_turn(intervals["orders"], waiting > 0, now); // dispatch loop
//   duration const d = start_interval_of(intervals["orders"]);
//
// Times in which nothing waits say how many requests arrive, not how many can
// start, and do not count. Plain data and free functions without I/O. Not
// thread-safe.
#pragma once

#include "base/time.hpp"

#include <functional>
#include <map>
#include <string>

namespace marjorambeam
{

// Decayed sums over the time in which requests waited.
struct start_interval
{
    double waited_s = 0;
    double starts = 0;
    bool has_waiting = false; // as of the latest turn
    steady_time turn_at{};    // the latest one
};

using start_intervals = std::map<std::string, start_interval, std::less<>>;

// Time over which the sums decay to 1/e. The capacity that is left to one
// gateway changes within some seconds.
constexpr duration start_interval_decay = std::chrono::seconds(2);

// Records a start. Not thread-safe.
void record_start(start_interval& i);

// Records a turn of the dispatch loop, after which requests still wait or not.
// Precondition: `now` never decreases. Not thread-safe.
void record_turn(start_interval& i, bool has_waiting, steady_time now);

// Returns the mean time between starts while requests waited; zero if there
// were too few. Not thread-safe.
duration start_interval_of(start_interval const& i);

} // namespace marjorambeam
