// Parses the parts of a caller's request that admission and routing depend on.
//
// Example:
//   result<chat_request> r = parse_chat_request(body);
//   if (!r)
//       respond_error(exchange, r.error(), request_id);
//
// All functions are thread-safe.
#pragma once

#include "error/error.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace marjorambeam
{

// The fields of a chat-completions body that the router uses.
struct chat_request
{
    std::string model; // as the caller wrote it: "m", "m@v" or "auto"
    bool is_stream = false;
    std::uint64_t max_tokens = 0; // 0 when not given
    std::uint64_t prompt_bytes = 0;
    std::string prompt_start; // first bytes, for prefix affinity
};

// Parses a chat-completions body. Error: bad_request with the field and the
// reason.
result<chat_request> parse_chat_request(std::string_view body);

// Returns the body with its `model` replaced, as the engine expects it.
// Precondition: parse_chat_request accepted `body`.
std::string with_model(std::string_view body, std::string_view model);

// Name and rest of a target of the form "/v1/services/NAME/PATH?QUERY"; the
// name is empty for any other target.
struct service_path
{
    std::string name;
    std::string rest; // starts with a slash; as the caller escaped it
};
service_path parse_service_path(std::string_view path);

// Returns the key in "Bearer KEY", or empty.
std::string_view bearer_key(std::string_view authorization);

// Returns the timeout in milliseconds that a caller requested, or `fallback_ms`
// when the header is empty. Error: bad_request.
result<std::int64_t>
parse_timeout_ms(std::string_view header, std::int64_t fallback_ms);

} // namespace marjorambeam
