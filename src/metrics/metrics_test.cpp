#include "metrics/metrics.hpp"

#include <catch2/catch.hpp>

using namespace marjorambeam;

// Guards against refusals that are not told apart by reason.
TEST_CASE("counters are kept per reason and rendered")
{
    metrics m;
    m.count("refusals_total", "rate_limited");
    m.count("refusals_total", "rate_limited");
    m.count("refusals_total", "queue_full");
    CHECK(m.counter("refusals_total", "rate_limited") == 2);
    CHECK(m.counter("refusals_total", "isolated") == 0);
    CHECK(
        m.render().find(
            "marjorambeam_refusals_total{reason=\"queue_full\"} 1\n") !=
        std::string::npos);
}

// Guards against quantiles that are far off on a plain distribution.
TEST_CASE("quantiles of a uniform distribution are close")
{
    metrics m;
    for (int i = 0; i < 10000; ++i)
        m.observe("latency_seconds", "", (i * 7919 % 10000) / 10000.0);
    CHECK(m.quantile("latency_seconds", "", 0.5) == Approx(0.5).margin(0.02));
    CHECK(m.quantile("latency_seconds", "", 0.99) == Approx(0.99).margin(0.01));
}
