// What decides where a request goes, without the request itself: shared by
// proxied_request, which sends it, and by placement_explanation.hpp, which says
// where one would go.
//
// Example:
//   arrival_decision const a = decide_arrival(state, request, now);
//   if (a.refusal) refuse(*a.refusal, a.retry_after);
//   ...
//   upstream_selection const c = select_for_request(state, inputs, tried, now);
//
// Free functions without I/O that change nothing. Not thread-safe unless stated
// otherwise.
#pragma once

#include "gateway/gateway_state.hpp"
#include "gateway/load_admission.hpp"
#include "gateway/planned_stop.hpp"
#include "gateway/request_protocol.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace marjorambeam
{

// Minimum period over which the retries of refused callers are spread.
constexpr duration min_retry_after = std::chrono::milliseconds(100);

// Returns the phases of the planned stop that has begun, or nothing.
std::optional<stop_plan> stop_plan_of(gateway_state const& s);

// What is decided about a request before an upstream is selected.
struct arrival_decision
{
    std::optional<error_kind> refusal; // nothing: it is served
    duration retry_after{0};           // of the refusal, before jitter
    // Part of the configuration of the state; null if it was refused before
    // it was known, or if no key is needed.
    gateway_route const* route = nullptr;
    organisation const* owner = nullptr;
};

// Resolves the route and the organisation of a request. Precondition:
// !is_starting(s, now).
arrival_decision decide_arrival(
    gateway_state const& s, gateway_request const& r, steady_time now);

// Returns the priority of a request; that of its organisation, if it has one,
// replaces that of its route. `owner` may be null. Thread-safe.
int priority_of(gateway_route const& r, organisation const* owner);

// Returns the uniform value by which the service and the version of a request
// are picked: the same for all requests of a session. Thread-safe.
std::uint64_t placement_hash(gateway_request const& r);

// Returns the service of a request on the route by its placement_hash().
// Precondition: the route has a service. Thread-safe.
std::string const& service_of(gateway_route const& r, std::uint64_t hash);

// Returns the key of the shared part of the prompt, or an empty one. Valid as
// long as the request. Thread-safe.
std::string_view affinity_key(gateway_request const& r);

// Returns the work of a request at the model of this index, of `models`.
// Thread-safe.
request_work work_of_request(
    gateway_request const& r, std::size_t model, std::size_t models);

// Returns what the quarantine knows a request by. Thread-safe.
request_traits
traits_of(gateway_request const& r, std::string_view organisation);

// Returns what completion_estimate.hpp predicts the end of a request by, at an
// engine with `requests`, this one included. Valid as long as the arguments.
// Thread-safe.
completion_query completion_query_of(
    gateway_request const& r, gateway_route const& route,
    std::string_view service, std::size_t model);

// Returns what the end of the response at an engine is predicted from, with
// `received` of its events and `left` until the deadline; nothing without
// overload control. Only for streams, as others have no events that correct the
// prediction. A stream that the caller resumes has an unknown part left.
std::optional<response_forecast> forecast_of_request(
    gateway_state const& s, gateway_request const& r,
    gateway_route const& route, completion_query const& q,
    std::uint64_t received, duration left);

// What the selection of an upstream uses of a request.
struct placement_inputs
{
    std::string_view service;
    std::string_view affinity;
    std::string const* session = nullptr; // not null; may be empty
    std::uint64_t hash = 0;               // see placement_hash()
    std::uint64_t seed = 0;               // differs between sends
    request_work work;
    duration affordable_wait{0};             // of a plain service
    std::span<std::string const> refused_by; // full plain upstreams
    std::optional<response_forecast> forecast;
    bool is_engine = false;
};

// Returns the seed of the send after `sends` others. Thread-safe.
std::uint64_t selection_seed(gateway_request const& r, std::uint32_t sends);

// Selects an upstream by the versions that the request may run on. `excluded`
// are ids. If the version of a rollout has none available, the others are
// asked; `trace`, unless null, then has the verdicts of both.
upstream_selection select_for_request(
    gateway_state const& s, placement_inputs const& p,
    std::span<std::string const> excluded, steady_time now,
    selection_trace* trace = nullptr);

// Returns what was learned of the service; without samples, an empty estimate.
// Valid until the state changes.
service_time const&
service_time_of(gateway_state const& s, std::string_view service);
prediction_error const&
start_error_of(gateway_state const& s, std::string_view service);

// Returns how long a request to a plain service under overload control may wait
// at an upstream for a slot, with `expected` for its service time. One that can
// meet its target has until then. One that can't leaves the queue to those that
// can and takes a free slot, until it must start to end before its deadline.
// Thread-safe.
duration affordable_wait(
    duration expected, duration until_target, duration until_deadline);

// How long a request without an upstream waits at the gateway.
struct queue_time_query
{
    duration target{0}; // of the route, for what comes next
    duration time{0};   // from arrival to deadline
    // A request whose service time is known is refused by the estimate if it
    // can't end in time, unless its response has begun.
    bool is_refused_by_estimate = false;
};

// Returns the longest time that a request waits at the gateway. Thread-safe.
duration max_queue_time(queue_time_query const& q);

// Returns whether no upstream can become available by `give_up_at`. `none` is a
// selection without an upstream, and `waiters` wait for tokens of the limits of
// this service before the request. Thread-safe.
bool is_wait_futile(
    upstream_selection const& none, std::size_t waiters, steady_time give_up_at,
    steady_time now);

// Returns the error with which an attempt fails that found no upstream.
// Thread-safe.
error_kind to_error_kind(selection_failure f);

// Returns the error with which a request is refused whose last attempt failed
// with `failure`. Thread-safe.
error_kind refusal_for(error_kind failure);

// A refusal of a request that has not run.
struct refusal_query
{
    error_kind kind = error_kind::no_upstream;
    duration target{0};               // of the route
    std::uint64_t hash = 0;           // see placement_hash()
    std::optional<duration> place;    // by the return schedule
    std::size_t limited_refusals = 0; // lately, this one included
};

// Returns when the caller of a refused request is to come back. `none` is the
// selection without an upstream.
duration retry_after_refusal(
    gateway_state const& s, upstream_selection const& none,
    refusal_query const& q, steady_time now);

// What overload control decides about a request to a plain service that found
// no upstream.
struct plain_admission
{
    room_estimate room;
    admission_times times; // behind the requests that go first
    admission_result result;
};

struct plain_admission_query
{
    std::size_t before = 0; // requests that go first at this gateway
    duration until_deadline{0};
    duration until_target{0};
};

// Decides whether the request is refused by the estimate of the room.
plain_admission decide_plain_admission(
    gateway_state const& s, std::string_view service, room_estimate const& room,
    plain_admission_query const& q, steady_time now);

// Returns the starts at all upstreams of a service; 0 if unknown. Thread-safe.
double starts_per_second(room_estimate const& room);

// Returns the inputs of the place of a request that `a` refuses, without the
// priority and the time that its caller has.
return_query return_query_of(
    gateway_state const& s, std::string_view service, plain_admission const& a);

} // namespace marjorambeam
