// Reads the parts of a caller's request that the entry decides by.
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

// What the router needs to know of a chat-completions body.
struct chat_request
{
    std::string model; // as the caller wrote it: "m", "m@v" or "auto"
    bool is_stream = false;
    std::uint64_t max_tokens = 0; // 0 when the caller did not say
    std::uint64_t prompt_bytes = 0;
    std::string prompt_start; // first bytes, for prefix affinity
};

// Error: bad_request with the field and the reason.
result<chat_request> parse_chat_request(std::string_view body);

// Returns the body with its `model` replaced, as the engine expects it.
// Precondition: parse_chat_request accepted `body`.
std::string with_model(std::string_view body, std::string_view model);

// Name and rest of the target "/v1/services/NAME/PATH?QUERY"; an empty name
// when the target is not of this form.
struct service_path
{
    std::string name;
    std::string rest; // starts with a slash; as the caller escaped it
};
service_path parse_service_path(std::string_view path);

// The key in "Bearer KEY", or empty.
std::string_view bearer_key(std::string_view authorization);

// The deadline a caller asked for in milliseconds, or `fallback_ms` when the
// header is empty. Error: bad_request.
result<std::int64_t>
parse_timeout_ms(std::string_view header, std::int64_t fallback_ms);

} // namespace marjorambeam
