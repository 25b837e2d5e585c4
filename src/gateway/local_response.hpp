// Responses that the gateway generates itself, without an upstream.
//
// Example:
//   local_response const a = make_local_response(protocol, e, id);
//   client->respond(a.head, a.body);
//
// Thread-safe.
#pragma once

#include "error/error.hpp"
#include "gateway/request_protocol.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace marjorambeam
{

struct local_response
{
    response_head head;
    std::string body;
};

// Makes the response to a request that failed with `e`. Status 503 is reserved
// for requests that have not run, so that callers may safely retry them.
local_response make_local_response(
    request_protocol const& protocol, error const& e,
    std::string_view attempt_id);

// Returns `d` scaled by 0.6 to 1.4, so that callers that were refused together
// do not retry together. Precondition: `hash` is uniformly distributed.
duration spread(duration d, std::uint64_t hash);

} // namespace marjorambeam
