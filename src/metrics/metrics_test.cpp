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

// Guards against an engineer who can't tell which route or class of
// organisations was refused.
TEST_CASE("counters are told apart by route and class, and summed over them")
{
    metrics m;
    m.count(
        "refusals_total", "queue_full",
        {.route = "chat", .organisation_class = "priority-1"});
    m.count("refusals_total", "queue_full", {.route = "say \"hi\""});
    m.count("refusals_total", "queue_full_of_air", {.route = "chat"});
    CHECK(m.counter("refusals_total", "queue_full") == 2);
    std::string const page = m.render();
    CHECK(
        page.find("marjorambeam_refusals_total{reason=\"queue_full\",route="
                  "\"chat\",class=\"priority-1\"} 1\n") != std::string::npos);
    CHECK(page.find("route=\"say \\\"hi\\\"\"} 1\n") != std::string::npos);
}

// Guards against histograms whose buckets don't add up.
TEST_CASE("a histogram has fixed cumulative buckets")
{
    metrics m;
    latency_histogram& h = m.histogram("whole_seconds", {.route = "chat"});
    for (double it : {0.0004, 0.03, 0.05, 3.0, 90.0})
        h.add(it);
    std::string const page = m.render();
    for (std::string const line :
         {"_bucket{route=\"chat\",le=\"0.0005\"} 1\n",
          "_bucket{route=\"chat\",le=\"0.05\"} 3\n",
          "_bucket{route=\"chat\",le=\"60\"} 4\n",
          "_bucket{route=\"chat\",le=\"+Inf\"} 5\n",
          "_count{route=\"chat\"} 5\n"})
        CHECK(
            page.find("marjorambeam_whole_seconds" + line) !=
            std::string::npos);
}

// Guards against memory and pages that grow with each route that ever was.
TEST_CASE("series of one name are bounded")
{
    metrics m;
    for (int i = 0; i < 3000; ++i)
    {
        std::string const route = "route-" + std::to_string(i);
        m.count("refusals_total", "queue_full", {.route = route});
        m.histogram("whole_seconds", {.route = route}).add(1);
    }
    CHECK(m.counter("refusals_total", "queue_full") == 3000);
    std::string const page = m.render();
    CHECK(
        page.find(
            "marjorambeam_refusals_total{reason=\"queue_full\"} 2500\n") !=
        std::string::npos);
    CHECK(
        page.find("marjorambeam_whole_seconds_count 2500\n") !=
        std::string::npos);
}

// Guards against gauges of a service that the configuration does not have any
// more, which would keep their last value, and against pages that grow with
// each service that ever was.
TEST_CASE("gauges are told apart by service, cleared and bounded")
{
    metrics m;
    m.set("error", 1);
    m.set("error", {.service = "a"}, 2);
    m.set("error", {.service = "a"}, 3);
    m.set("error_of_others", {.service = "a"}, 4);
    auto const has = [&](std::string const& line)
    { return m.render().find("marjorambeam_" + line) != std::string::npos; };
    CHECK(has("error 1\n"));
    CHECK(has("error{service=\"a\"} 3\n"));
    m.clear_gauge("error");
    CHECK_FALSE(has("error{"));
    CHECK_FALSE(has("error "));
    CHECK(has("error_of_others{service=\"a\"} 4\n"));
    for (int round = 0; round < 2; ++round)
    {
        for (int i = 0; i < 2000; ++i)
            m.set("error", {.service = std::to_string(i)}, i);
        CHECK(has("error{service=\"499\"} 499\n"));
        CHECK_FALSE(has("error{service=\"500\"}"));
        m.clear_gauge("error");
    }
}
