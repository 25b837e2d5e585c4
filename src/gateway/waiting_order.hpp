// Orders the requests that wait at a gateway for an upstream.
//
// Example:
//   for (std::uint32_t i : order_waiting(requests, shares, now))
//       if (dispatch(requests[i]))
//           record_dispatch(shares, requests[i], now);
//
// The order is by priority, then by the share that the organisation has had,
// then by the time until the request must start, see docs/design/order.md.
// Within a service and priority, organisations share by start-time fair
// queueing, with a tolerance of one request.
//
// Plain data and pure functions; functions on the same shares are not
// thread-safe.
#pragma once

#include "base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambeam
{

// A request that waits, or one that is sent. The views are borrowed.
struct waiting_request
{
    int priority = 0;              // 0 is the most urgent
    std::string_view organisation; // empty for anonymous callers
    std::string_view service;
    steady_time arrived{};
    // For the response, or for its first event; the deadline if not set.
    steady_time target_at{};
    steady_time deadline{}; // for the end of the response
    // Time from the start until the response, or until its first event.
    duration expected{0};
    // Time from the start until the end; `expected` if that is longer.
    duration expected_end{0};
    // In one unit per service, such as tokens or requests. Counts as 1 if not
    // positive and finite, and as at most 100 times the mean.
    double work = 1;
    bool came_back = false; // was refused before, see seems_returned()
};

// What one organisation has had of a service at one priority.
struct organisation_share
{
    double finish = 0; // virtual finish of its last dispatched request
    // When it last had a request that was dispatched or waited.
    steady_time used{};
};

// The shares of all organisations at one service and priority.
struct priority_shares
{
    double virtual_time = 0;
    double mean_work = 0;      // of the dispatched requests; 0: none yet
    std::uint32_t samples = 0; // in the mean, up to a bound
    std::map<std::string, organisation_share, std::less<>> organisations;
};

// The shares at all services. Memory is bounded by the organisations that had a
// request within share_lifetime, for each service and priority.
struct service_shares
{
    steady_time next_removal{}; // of idle organisations
    std::map<std::string, std::map<int, priority_shares>, std::less<>> services;
};

// Time without a dispatched or waiting request after which an organisation is
// forgotten, with its lead over its share. It is the longest time that requests
// wait (max_queue_wait of fair_queue): no request is left of the backlog in
// which the lead arose. While the organisation has requests, its lead stays: a
// dispatch may be followed by a longer time in which nothing is dispatched.
constexpr duration share_lifetime = std::chrono::seconds(10);

// Returns the positions in `requests` in the order in which they are to be
// dispatched, and notes in `shares` that their organisations have requests.
// Takes O(n log n) time and a fixed number of allocations.
std::vector<std::uint32_t> order_waiting(
    std::span<waiting_request const> requests, service_shares& shares,
    steady_time now);

// Records that the request was sent to an upstream, whether or not it waited.
// Preconditions: `now` never decreases.
void record_dispatch(
    service_shares& shares, waiting_request const& r, steady_time now);

// Time used on arrival from which a request counts as one that came back. New
// ones have used the time on the way: 4.5 ms between availability zones, more
// if packets are lost.
constexpr duration min_returned_time = std::chrono::milliseconds(50);

// Returns whether a request was most likely refused before: it arrived with
// less time than its route gives. `remaining` is what its caller stated.
// Thread-safe.
bool seems_returned(duration remaining, duration route_timeout);

// Returns the urgency with which an engine is to run a request: 0 (first) to 9.
// `priorities` are those in use in the configuration, ascending and without
// duplicates; each has a part of the range. Within it, a request with less
// slack (time until it must start to meet its target) is more urgent, and one
// that can't meet its target any more comes last. `target` is the time the
// route gives. A less urgent priority never gets a smaller number than a more
// urgent one, also if it is not among `priorities`. Thread-safe.
int engine_urgency(
    int priority, std::span<int const> priorities, duration slack,
    duration target);

} // namespace marjorambeam
