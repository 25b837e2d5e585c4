// Decides which requests a gateway that is being stopped still serves, and when
// it ends the rest.
//
// Example:
//   stop_plan const plan = make_stop_plan(drain_started, drain_time);
//   if (now < plan.serve_until && can_end_in_time(plan, work, now))
//       serve();
//
// Plain data and pure functions; thread-safe.
#pragma once

#include "base/time.hpp"

namespace marjorambeam
{

// When the phases of a planned stop end.
struct stop_plan
{
    // Later requests are refused. The load balancer probes once per second and
    // needs two failures to send no more.
    steady_time serve_until{};
    // What is still active is ended, so that its callers receive an error.
    steady_time abort_at{};
    // The process ends, whatever is left to send.
    steady_time exit_at{};
};

// Returns the phases of a stop that began at `started` and after `grace` ends
// with the process being killed. Precondition: `grace` is not negative.
stop_plan make_stop_plan(steady_time started, duration grace);

// A request that comes during a stop.
struct stopping_work
{
    duration remaining{0}; // until its deadline
    duration target{0};    // usual time to its response, or to its first event
    bool may_repeat = false; // its caller may send it again if it is cut
};

// Whether the request can be expected to end before it would be cut. Work that
// may not be repeated has to be certain to.
bool can_end_in_time(
    stop_plan const& plan, stopping_work const& work, steady_time now);

} // namespace marjorambeam
