#include "gateway/error_gauges.hpp"

#include <catch2/catch.hpp>
#include <memory>
#include <string>

using namespace marjorambeam;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against errors of the estimates that nobody can read while callers
// compete for engines and for plain services: streams that take 1.5 times as
// long as predicted, and waits that take twice as long.
TEST_CASE("the errors of the estimates are gauges per service")
{
    steady_time const now{seconds(1000)};
    gateway_state s;
    auto const c = std::make_shared<gateway_config>();
    c->services = {{.name = "pool"}, {.name = "orders"}, {.name = "idle"}};
    s.config = c;
    for (int i = 0; i < 500; ++i)
    {
        record_completion(
            s.completions, "pool", milliseconds(1000), milliseconds(1500));
        record_error(
            s.start_errors["orders"], milliseconds(100), milliseconds(200),
            milliseconds(10), now);
    }
    record_completion(
        s.completions, "removed", milliseconds(1000), milliseconds(1500));
    auto const value = [&](std::string const& gauge)
    {
        std::string const page = s.counters.render();
        std::string const start = "marjorambeam_" + gauge + "\"} ";
        auto const at = page.find(start);
        return at == std::string::npos
                   ? 0
                   : std::stod(page.substr(at + start.size()));
    };
    set_error_gauges(s, now);
    CHECK(value("completion_error_p10{service=\"pool") > 1.4);
    CHECK(
        value("completion_error_p50{service=\"pool") ==
        Approx(1.5).epsilon(0.05));
    // Percentiles are within a bin of the histogram, which ends at 1.65 here.
    CHECK(value("completion_error_p90{service=\"pool") < 1.65);
    CHECK(value("start_error_p50{service=\"orders") == Approx(2).epsilon(0.2));
    std::string const page = s.counters.render();
    for (char const* absent :
         {"idle", "removed", "completion_error_p50{service=\"orders"})
        CHECK(page.find(absent) == std::string::npos);
    // Waits of a minute ago say nothing about now.
    set_error_gauges(s, now + seconds(60));
    CHECK(value("start_error_p50{service=\"orders") == 0);
    CHECK(value("completion_error_p50{service=\"pool") > 1.4);
}
