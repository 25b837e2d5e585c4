// Says where a request would go now, and why, without sending it.
//
// Example:
//   gateway_request r{.attempt_id = "where-1", .target = "/chat/v1/x"};
//   placement_explanation const e =
//       explain_placement(state, {}, r, now, unix_ms);
//   if (e.outcome == placement_outcome::sent) show(e.upstreams);
//
// The decision is made by the functions that decide about real requests
// (request_placement.hpp), for one that arrives now and has not been sent
// before. Nothing is changed: no token, place, count or session is used. No
// I/O. Not thread-safe.
#pragma once

#include "gateway/gateway_state.hpp"
#include "gateway/request_placement.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambeam
{

// Requests that wait at this gateway, by service.
struct queued_requests
{
    std::size_t waiting = 0;       // for an upstream
    std::size_t limit_waiters = 0; // for a token of a request limit
    // Those that wait for an upstream under overload control.
    std::vector<waiting_request> requests;
};
using queued_by_service = std::map<std::string, queued_requests, std::less<>>;

// Upstreams that are listed; a large service has more. Those that were
// considered come first.
constexpr std::size_t max_explained_upstreams = 64;

enum class placement_outcome : std::uint8_t
{
    sent,
    waits, // no upstream is available yet
    refused,
    held // the gateway starts and holds requests until it is ready
};

// Returns "sent", "waits", "refused" or "held". Thread-safe.
std::string_view to_string(placement_outcome o);
// Returns the name of the verdict, such as "more_costly". Thread-safe.
std::string_view to_string(selection_verdict v);

// What is known of one upstream of the service.
struct explained_upstream
{
    std::string id;
    std::string zone;
    std::string version;
    selection_verdict verdict = selection_verdict::more_costly;
    double requests = 0; // estimated there
    std::uint32_t slots = 0;
    double cost = 0; // of a considered one
    bool is_considered = false;
    double failure_rate = 0;
    std::optional<duration> report_age; // of its load; nothing: none
    // Until the first event of a considered engine, or until a plain upstream
    // can start the request. Nothing: unknown.
    std::optional<duration> expected;
    // Of a plain service under overload control.
    std::optional<duration> service_time;
    bool has_free_slot = false;
};

// When the response likely ends, from now.
struct explained_end
{
    duration likely{0};
    duration early{0};
    duration late{0};
};

struct placement_explanation
{
    placement_outcome outcome = placement_outcome::refused;
    std::optional<error_kind> refusal; // the kind a caller would get
    std::string reason;                // of a wait or a refusal
    std::int64_t config_version = 0;   // 0: no configuration
    std::string route;                 // empty: unknown
    std::string service;
    std::string organisation;
    int priority = 0;
    std::string model;
    std::vector<std::string> models; // of the route, smallest first
    bool is_engine = false;
    bool is_overload_controlled = false;
    std::size_t waiting = 0; // requests of the service at this gateway
    std::vector<explained_upstream> upstreams;
    std::size_t listed = 0; // upstreams of the service, also those left out
    std::map<std::string_view, std::size_t> verdicts; // counts over all
    std::string chosen;                               // id; empty: none
    duration until_deadline{0};
    std::optional<explained_end> end; // nothing: unknown
    duration max_wait{0};             // at the gateway, if it waits
    duration retry_after{0};          // of a refusal
};

// Explains a request that arrives at `now`, when the wall clock shows
// `unix_ms`. Its body and headers are not used. If its model is one of the
// route's, the request is placed as one for that model; others are placed for
// the model that they would run on first. The result holds no key.
placement_explanation explain_placement(
    gateway_state const& s, queued_by_service const& queued,
    gateway_request const& r, steady_time now, std::int64_t unix_ms);

} // namespace marjorambeam
