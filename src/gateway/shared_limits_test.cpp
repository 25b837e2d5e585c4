#include "gateway/shared_limits.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace marjorambeam;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a retry storm: all upstreams fail, every gateway retries as
// often as it may, and one of them restarts meanwhile.
TEST_CASE("Extra attempts of all gateways stay within the shared limit")
{
    retry_budget_limits const limits{.ratio = 0.9, .allowance = 54};
    constexpr std::size_t gateways = 4;
    std::vector<retry_budget_usage> all(
        gateways, retry_budget_usage(limits.window));
    rate_window requests(seconds(10));
    rate_window extras(seconds(10));
    for (int ms = 0; ms < 40000; ms += 10)
    {
        steady_time const now{milliseconds(ms)};
        if (ms == 17000)
            all[0] =
                retry_budget_usage(limits.window); // a restart loses its counts
        std::size_t const g = static_cast<std::size_t>(ms / 10) % gateways;
        if (ms < 20000)
        {
            all[g].requests.add(now);
            requests.add(now);
        }
        for (retry_budget_usage& it : all)
        {
            if (!has_retry_budget(
                    it, limits, gateways, extra_attempt_reason::after_failure,
                    now))
                continue;
            it.extras.add(now);
            extras.add(now);
        }
        double const bound =
            limits.ratio * static_cast<double>(requests.count(now)) +
            limits.allowance;
        // The limit also counts requests of the preceding window. During
        // traffic the bound holds without them.
        if (ms < 20000)
            REQUIRE(static_cast<double>(extras.count(now)) <= bound);
    }
}

// Guards against shares that exceed the limit of a cold upstream in total.
TEST_CASE("Shares of a cold upstream add up to less than its limit")
{
    bool const holds = rc::check(
        []
        {
            cold_limits const limits{
                .per_second = static_cast<double>(*rc::gen::inRange(1, 40)),
                .factor = 1.5,
                .tolerance = 5};
            std::vector<std::string> names;
            int const n = *rc::gen::inRange(1, 40);
            names.reserve(static_cast<std::size_t>(n));
            for (int i = 0; i < n; ++i)
                names.push_back("gateway-" + std::to_string(i));
            std::size_t sum = 0;
            for (std::string const& it : names)
                sum += cold_share(limits, "upstream", it, names);
            RC_ASSERT(
                static_cast<double>(sum) <=
                limits.per_second * limits.factor + limits.tolerance);
        });
    CHECK(holds);
}

// Guards against shares of a cold upstream that are all zero in a large fleet.
TEST_CASE("A cold upstream gets requests from a large fleet")
{
    constexpr int gateways = 31;
    std::vector<std::string> names;
    names.reserve(gateways);
    for (int i = 0; i < gateways; ++i)
        names.push_back("gateway-" + std::to_string(i));
    std::size_t sum = 0;
    for (std::string const& it : names)
        sum += cold_share(
            {.per_second = 14, .factor = 1.5, .tolerance = 5}, "u", it, names);
    CHECK(sum >= 14);
}

// Guards against ignoring the window that the deployment configures.
TEST_CASE("The retry budget uses the window of its limits")
{
    retry_budget_limits const limits{
        .ratio = 1, .allowance = 0, .window = seconds(3)};
    retry_budget_usage b(limits.window);
    for (int i = 0; i < 4; ++i)
        b.requests.add(steady_time{seconds(1)});
    auto may_send = [&](double at_s)
    {
        return has_retry_budget(
            b, limits, 1, extra_attempt_reason::after_failure,
            steady_time{from_seconds(at_s)});
    };
    CHECK(may_send(3.9));
    CHECK_FALSE(may_send(4.1));
}

// Guards against larger models that consume the budget for failed attempts
// (nakhla-keyword-grown, trouble-1: 73 requests refused after one 421).
TEST_CASE("Larger models leave budget for attempts after a failure")
{
    retry_budget_limits const limits{.ratio = 0.9, .allowance = 0};
    retry_budget_usage b(limits.window);
    steady_time const now{seconds(20)};
    for (int i = 0; i < 100; ++i)
        b.requests.add(now);
    int larger = 0;
    while (
        has_retry_budget(b, limits, 4, extra_attempt_reason::larger_model, now))
    {
        b.extras.add(now);
        ++larger;
    }
    int after_failure = 0;
    while (has_retry_budget(
        b, limits, 4, extra_attempt_reason::after_failure, now))
    {
        b.extras.add(now);
        ++after_failure;
    }
    CHECK(after_failure >= 10);
    CHECK(larger + after_failure <= 90);
}
