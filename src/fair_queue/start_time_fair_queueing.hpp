// The arithmetic of start-time fair queueing (Goyal, Vin and Cheng, 1996).
//
// Example:
//   double const start = virtual_start(virtual_time, finish_of_last);
//   double const finish = virtual_finish(start, cost, weight);
//
// Pure functions; thread-safe.
#pragma once

#include <algorithm>

namespace marjorambeam
{

// Returns the virtual time at which the next request of a flow starts, where
// `finish` is that at which its last one finished. A flow that was idle starts
// at the present virtual time and has no credit.
constexpr double virtual_start(double virtual_time, double finish)
{
    return std::max(virtual_time, finish);
}

// Returns the virtual time at which a request that starts at `start` finishes.
// Precondition: `weight` is positive.
constexpr double virtual_finish(double start, double cost, double weight)
{
    return start + cost / weight;
}

} // namespace marjorambeam
