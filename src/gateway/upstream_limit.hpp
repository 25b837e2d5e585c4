// Request limits that upstreams name in their responses.
//
// Example:
//   limit_word& word = notice.limit;
//   if (record_response_limit(word, response.limit_per_second, sent, now))
//       log(word);
//
// A limit bounds the requests that all gateways together send per second. It
// applies to one incarnation of the upstream and for as long as its responses
// name it. Plain data and free functions without I/O. Not thread-safe.
#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <optional>

namespace marjorambeam
{

// What is known of the limit of an upstream.
struct limit_word
{
    std::uint64_t change = 0;         // number of the change; 0: no limit yet
    std::optional<double> per_second; // nothing: it names no limit
    steady_time learned_at{};         // by this gateway
};

// Records the limit in a response to a request sent at `sent`. Returns whether
// the word changed. Responses may overtake one another: a request that was sent
// before the present word was learned may have been answered before it too, so
// that its response can only lower the limit. Not thread-safe.
bool record_response_limit(
    limit_word& word, std::optional<double> per_second, steady_time sent,
    steady_time now);

} // namespace marjorambeam
