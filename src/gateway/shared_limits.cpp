#include "gateway/shared_limits.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <cmath>

namespace marjorambeam
{

bool has_retry_budget(
    retry_budget_usage& b, retry_budget_limits const& limits,
    std::size_t gateways, extra_attempt_reason reason, steady_time now)
{
    double const requests = static_cast<double>(b.requests.count(now));
    double const extras = static_cast<double>(b.extras.count(now));
    double const share =
        limits.allowance * allowance_safety_factor /
        static_cast<double>(std::max<std::size_t>(gateways, 1));
    double const reserved =
        reason == extra_attempt_reason::larger_model ? failure_reserve : 0;
    double const ratio =
        std::max(limits.ratio * ratio_safety_factor - reserved, 0.0);
    return extras + 1 <= ratio * requests + share;
}

std::size_t cold_share(
    cold_limits const& limits, std::string_view upstream, std::string_view self,
    std::span<std::string const> gateways)
{
    std::size_t const sharers =
        std::clamp<std::size_t>(gateways.size(), 1, max_cold_sharers);
    double const total =
        (limits.per_second * limits.factor + limits.tolerance) *
        cold_safety_factor;
    if (gateways.size() > sharers)
    {
        auto const order = rendezvous_order(upstream, gateways, sharers);
        bool const is_sharer = std::any_of(
            order.begin(), order.end(),
            [&](std::size_t it) { return gateways[it] == self; });
        if (!is_sharer)
            return 0;
    }
    return static_cast<std::size_t>(
        std::floor(total / static_cast<double>(sharers)));
}

} // namespace marjorambeam
