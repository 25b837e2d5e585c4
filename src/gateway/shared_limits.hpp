// Fleet-wide limits, of which each gateway enforces its share.
//
// Example:
//   retry_budget_usage b;
//   b.requests.add(now);
//   if (has_retry_budget(b, limits, gateways, reason, now)) b.extras.add(now);
//
// A share is based on the number of registered gateways, alive or not, so that
// it is too small rather than too large while that number is uncertain. No I/O.
#pragma once

#include "base/time.hpp"
#include "gateway/rate_window.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace marjorambeam
{

// Limits the attempts at a service beyond the first of each request.
struct retry_budget_limits
{
    double ratio = 0;     // of the requests in the window
    double allowance = 0; // in addition, over all gateways
    duration window = std::chrono::seconds(10);

    bool operator==(retry_budget_limits const&) const = default;
};

// Part of `ratio` that is used: windows of gateways are not aligned, and
// a request counts when it is read, which is later than when it was sent.
constexpr double ratio_safety_factor = 0.96;
// Part of `allowance` that is used: a gateway that restarts loses its
// counts, so that the allowance may be used twice within one window.
constexpr double allowance_safety_factor = 0.4;
// Part of the ratio reserved for attempts after a failure; larger models use
// the rest. During faults, one request in ten fails at its first attempt.
constexpr double failure_reserve = 0.12;

// Requests and extra attempts of one gateway for one service. Not thread-safe.
struct retry_budget_usage
{
    explicit retry_budget_usage(duration window)
        : requests(window)
        , extras(window)
    {
    }

    rate_window requests;
    rate_window extras;
};

// Why another attempt is made for a request.
enum class extra_attempt_reason : std::uint8_t
{
    after_failure,
    larger_model
};

// Returns whether one more attempt keeps this gateway within its share.
// Precondition: `gateways` is at least 1, and `now` never decreases. Not
// thread-safe.
bool has_retry_budget(
    retry_budget_usage& b, retry_budget_limits const& limits,
    std::size_t gateways, extra_attempt_reason reason, steady_time now);

// Limits what all gateways may send to one cold upstream in a second.
struct cold_limits
{
    double per_second = 0;
    double factor = 1;
    double tolerance = 0;
};

// Part of the limit that is used: gateways may briefly disagree on their
// number, and requests may arrive later than they were sent.
constexpr double cold_safety_factor = 0.75;
// Maximum number of gateways that share one cold upstream; with more, a share
// would be less than one request per second.
constexpr std::size_t max_cold_sharers = 4;

// Returns how many requests per second `self` may send to the cold upstream;
// zero if other gateways share it. `gateways` holds all registered names,
// including `self`. Thread-safe.
std::size_t cold_share(
    cold_limits const& limits, std::string_view upstream, std::string_view self,
    std::span<std::string const> gateways);

} // namespace marjorambeam
