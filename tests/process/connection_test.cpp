// Connections that go silent.
#include "process_fleet.hpp"

#include <catch2/catch.hpp>

using namespace marjorambeam;
using namespace std::chrono_literals;

// Guards against requests that wait on a connection that passes no bytes any
// more, against one that is answered twice after it was given up, and against
// an agent that stays unused afterwards (I7, section 5.9).
TEST_CASE("a silent connection is replaced within 3 s")
{
    // Takes longer than the silence limit, so that the agent has to notice the
    // silence as well and stop the engine.
    constexpr int tokens = 1500;
    upstream_plan const engine{
        .has_relay = true, .flags = {"--token-interval-us", "3000"}};
    process_fleet fleet({.upstreams = {engine, engine}});
    auto const call = fleet.ask(0, {.prompt = "long", .tokens = tokens});
    REQUIRE(fleet.wait([&] { return call->body.size() > 4000; }, 5s));
    int const number = fleet.count("engine-0", "started") > 0 ? 0 : 1;
    std::string const relay = "relay-" + std::to_string(number);
    std::string const used = "engine-" + std::to_string(number);
    fleet.put(fleet.url(relay) + "/faults", {{"silence_existing", true}});
    steady_time const silent_at = steady_now();
    std::string const lost =
        "agent_connections_lost_total{reason=\"connection_silent\"";
    REQUIRE(fleet.wait([&] { return fleet.metric("entry-0", lost) >= 1; }, 5s));
    // Ticks of 250 ms, and the load of the machine.
    CHECK(to_seconds(steady_now() - silent_at) < 3.5);

    fleet.finish(call, 15s);
    CHECK(call->is_whole());
    CHECK(
        call->text() ==
        fleet_answer(call->header("x-model-version"), "long", tokens));
    CHECK(call->body.find("[DONE]") == call->body.rfind("[DONE]"));
    CHECK(fleet.wait([&] { return fleet.count(used, "cancelled") == 1; }, 5s));

    // With the other upstream out, requests need a new connection here.
    std::string const other = "upstream-" + std::to_string(1 - number);
    REQUIRE(fleet.run_ctl({"upstream", "out", other}) == 0);
    std::uint64_t const before = fleet.count(used, "finished");
    CHECK(fleet.wait(
        [&]
        {
            auto const next = fleet.ask(0, {.prompt = "short", .tokens = 2});
            bool const is_answered = fleet.finish(next, 5s)->is_whole();
            CHECK(is_answered);
            return fleet.count(used, "finished") > before;
        },
        5s));
    CHECK(fleet.count(relay, "accepted") > fleet.count(relay, "silenced"));
    CHECK(fleet.count(relay, "silenced") >= 1);
}
