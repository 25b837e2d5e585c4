// Planned stops under streaming load.
#include "steady_load.hpp"

#include <catch2/catch.hpp>
#include <csignal>

using namespace marjorambeam;
using namespace std::chrono_literals;

namespace
{

upstream_plan const engine{.flags = {"--token-interval-us", "3000"}};

// Stops a daemon under load with a second SIGTERM while it drains, and checks
// that nothing is cut.
void check_graceful_stop(std::string const& name)
{
    process_fleet fleet({.entries = 2, .upstreams = {engine, engine}});
    steady_load load(
        fleet, {.concurrency = 12, .entries = 2, .call = {.tokens = 150}});
    REQUIRE(fleet.wait([&] { return load.answered() >= 12; }, 10s));
    child_process& daemon = fleet.process(name);
    daemon.signal(SIGTERM);
    std::string const status = fleet.url(name, "admin") + "/readyz";
    REQUIRE(fleet.wait(
        [&]
        {
            auto const call = fleet.send({.url = status});
            return fleet.finish(call, 5s)->status() == 503;
        },
        2s));
    CHECK(!daemon.exit_code());
    daemon.signal(SIGTERM);
    REQUIRE(fleet.wait([&] { return daemon.exit_code().has_value(); }, 10s));
    CHECK(*daemon.exit_code() == 0);
    std::size_t const before = load.answered();
    CHECK(fleet.wait([&] { return load.answered() >= before + 24; }, 10s));
    CHECK(load.finish(10s));
    INFO(Catch::Detail::stringify(load.failed_tries()));
    CHECK(load.cut() == 0);
    CHECK(load.wrong().empty());
    for (char const* it : {"engine-0", "engine-1"})
    {
        CHECK(fleet.count(it, "cancelled") == 0);
        CHECK(fleet.count(it, "lost") == 0);
    }
}

} // namespace

// Guards against a planned stop of an entry that cuts streams, ends with
// another exit code or is disturbed by a second SIGTERM (I11).
TEST_CASE("an entry stops gracefully under streaming load")
{
    check_graceful_stop("entry-0");
}

// The same for an agent; requests that arrive meanwhile run elsewhere.
TEST_CASE("an agent stops gracefully under streaming load")
{
    check_graceful_stop("agent-0");
}
