// The page /where of the operators' port: a query in the URL, a placement
// explanation in JSON.
//
// Example:
//   placement_page const page = make_placement_page(
//       state, requests.queued(), exchange->request(), now, unix_ms);
//   exchange->respond(page.status, {{"Content-Type", "application/json"}},
//                     page.body);
//
// The key of an organisation comes as `Authorization: Bearer KEY` and is never
// repeated. No I/O. Not thread-safe.
#pragma once

#include "gateway/placement_explanation.hpp"
#include "http_server/http_server.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace marjorambeam
{

// Returns the request that the query describes. `id` becomes its id. Errors:
// bad_request for an unknown parameter, a missing route, a bad number or a key
// in the URL. Thread-safe.
result<gateway_request>
parse_placement_query(http_request const& query, std::string_view id);

// Returns the JSON of an explanation. Times are in milliseconds. Thread-safe.
std::string to_json(placement_explanation const& e);

struct placement_page
{
    int status = 200;
    std::string body;
};

// Answers a query that arrives at `now`, when the wall clock shows `unix_ms`.
// The status is 400 if the query can't be read or names no host where several
// have a route for the path, else 200, also if the request would be refused.
placement_page make_placement_page(
    gateway_state const& s, queued_by_service const& queued,
    http_request const& query, steady_time now, std::int64_t unix_ms);

} // namespace marjorambeam
