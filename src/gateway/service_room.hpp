// Estimates when the upstreams of a plain service can start another request,
// and where one is not sent.
//
// Example:
//   record_service_time(u.room, times["orders"], sample, now);
//   if (is_refused) record_full(u.room, times["orders"], refusal, now);
//
//   room_estimate const e = estimate_room(views, times["orders"], now);
//   if (may_send(views[i], times["orders"], {.affordable = left}, now))
//   send_to(i);
//
// Plain data and free functions without I/O. Not thread-safe.
#pragma once

#include "base/time.hpp"
#include "gateway/request_protocol.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>

namespace marjorambeam
{

// Decayed sums of service times at the usual pace of a machine.
struct service_time
{
    double took_us = 0; // weighted
    double weight = 0;  // less than 1 for each sample that waited for a slot
    std::uint32_t samples = 0; // not decayed
    steady_time updated_at{};
};

// By service: the prior for its upstreams that have few samples.
using service_times = std::map<std::string, service_time, std::less<>>;

// What a gateway knows of the room at one upstream.
struct upstream_room
{
    service_time learned;
    steady_time refused_at{}; // last refusal because it was full
    steady_time full_until{};
    steady_time sent_at{}; // the last request of this gateway
    // Without a response between, of requests sent after full_until.
    std::uint32_t consecutive_refusals = 0;
};

// How long work takes on a machine, as it reports it; 100 is the usual time.
struct machine_pace
{
    std::uint32_t percent = 0; // 0: not reported
    duration age{0};
};

// Without samples for this long, such as after a disconnection, the service
// time counts as unknown.
constexpr duration service_time_ttl = std::chrono::seconds(30);
// Reports and paces are used up to this age. A machine's load changes many
// times a second.
constexpr duration max_room_report_age = std::chrono::milliseconds(300);
// An upstream that refused a request because it was full gets none for a time
// within these bounds.
constexpr duration min_full_time = std::chrono::milliseconds(20);
constexpr duration max_full_time = std::chrono::milliseconds(250);

// A response that is not a refusal or a failure.
struct service_sample
{
    duration took{0};        // from sending to the response
    double requests = 0;     // others there when it was sent
    std::uint32_t slots = 0; // as registered; 0: those in the report, or 1
    machine_pace pace;       // during the request
    std::optional<upstream_load_report> reported; // in the response
};

// Learns from a response. The part of the time that the request waited for a
// slot is derived from the requests there. Ignores times that are not positive
// or longer than an hour, counts that are negative or not finite, and samples
// whose load at sending and in the response differ by more than the slots. Not
// thread-safe.
void record_service_time(
    upstream_room& room, service_time& prior, service_sample const& s,
    steady_time now);

// A refusal because the upstream was full.
struct full_refusal
{
    steady_time sent_at{}; // the refused request
    std::optional<upstream_load_report> reported;
    double requests = 0;     // estimated there; used without a report
    std::uint32_t slots = 0; // as registered; used without a report
    machine_pace pace;
    std::uint64_t hash = 0; // uniform over gateways and refusals
};

// Marks the upstream as full until its queue can have shrunk by a quarter,
// between min_full_time and max_full_time. Gateways are spread over half of
// that time more, within the maximum, so that they do not all return to the
// upstream at once. Consecutive refusals double the time; those of requests
// that were sent before its end do not, because they tell nothing new. Not
// thread-safe.
void record_full(
    upstream_room& room, service_time const& prior, full_refusal const& r,
    steady_time now);

// Returns whether the upstream counts as full: until `full_until`, and after
// that while the one request that tries it has no response, for max_full_time
// at most. More would need new connections, which a full upstream resets. Not
// thread-safe.
bool is_full(upstream_room const& room, steady_time now);

// What an estimate uses of one upstream. Only usable upstreams have a view.
struct upstream_view
{
    upstream_room const* room = nullptr; // not null
    double requests = 0;                 // see estimated_requests()
    std::uint32_t slots = 0;             // as registered; 0: see report, or 1
    std::optional<upstream_load_report> report;
    std::uint32_t pace_percent = 0; // in that report; 0: none
    steady_time reported_at{};
};

struct room_estimate
{
    bool is_known = false;
    duration until_start{0};  // until an upstream can begin one more request
    duration service_time{0}; // of the request at that upstream
    duration shortest_service_time{0}; // at any of the upstreams
    duration until_end{0};             // the smallest over the upstreams
    duration start_interval{0}; // mean time between starts at all upstreams
    bool has_free_slot = false; // reported within 300 ms, nothing waiting
};

// Returns the service time at the upstream, at its present pace, or nothing if
// there are too few recent samples of the service. Not thread-safe.
std::optional<duration> expected_service_time(
    upstream_room const& room, service_time const& prior,
    machine_pace const& pace, steady_time now);

// Returns whether the upstream reported a free slot at most max_room_report_age
// ago, and nothing waiting, and has not refused a request since. Not
// thread-safe.
bool has_free_slot(upstream_view const& v, steady_time now);

// Estimates when the first of the upstreams can start another request. Unknown
// without upstreams or samples. Not thread-safe.
room_estimate estimate_room(
    std::span<upstream_view const> views, service_time const& prior,
    steady_time now);

// Returns whether a request that can wait for `affordable` until it starts may
// be sent to the upstream: unless the upstream counts as full, or its report of
// at most max_room_report_age ago shows a longer wait for a slot; without such
// a report, unless the counted requests do. True if the service time is unknown
// and the upstream does not count as full. Always true if has_free_slot(); a
// report from before the latest refusal does not count as one. Not thread-safe.
bool can_afford_wait(
    upstream_view const& v, service_time const& prior, duration affordable,
    steady_time now);

// A request that this many full upstreams refused is offered to no further one
// that may be full.
constexpr std::size_t max_full_refusals = 2;
// Age of the report of a free slot that lets such a request try a further
// upstream: a turn of the dispatch loop (20 ms) and its delay. An upstream that
// has just started work does not fill its queue in this time.
constexpr duration max_offer_report_age = std::chrono::milliseconds(25);

// A request that is to be sent.
struct send_query
{
    duration affordable{0};   // until it starts
    std::size_t refusals = 0; // distinct full upstreams that refused it
    bool has_refused = false; // this upstream is one of them
};

// Returns whether the request may be sent to the upstream: if it can afford the
// wait there, see can_afford_wait(). After max_full_refusals it is sent only
// where has_free_slot(): to those that refused it, which have not run it, and
// to a further one if that reported the slot at most max_offer_report_age ago.
// Otherwise a refused request would be offered to all full upstreams in turn.
// Not thread-safe.
bool may_send(
    upstream_view const& v, service_time const& prior, send_query const& q,
    steady_time now);

} // namespace marjorambeam
