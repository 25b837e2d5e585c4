#include "entry/routing_controller.hpp"

#include <catch2/catch.hpp>

using namespace marjorambeam;

// Guards against no_upstream when an agent became live after the routing table
// was built. In a run of make demo on a busy machine, 2 of 30 requests were
// refused in the 250 ms before the next build.
TEST_CASE("an agent is used as soon as it is live")
{
    entry_state state(10);
    auto config = std::make_shared<config_snapshot>();
    config->number = 1;
    config->zones["hitra"] = {.name = "hitra", .region = "trondelag"};
    config->versions["tag@v1"] = {.model = "tag", .name = "v1"};
    config->upstreams["u1"] = {
        .name = "u1", .availability_zone = "hitra", .serves = {"tag@v1"}};
    state.cluster.config = config;
    state.cluster.identity.availability_zone = "hitra";
    routing_controller routing(
        state, [](peer const&) { return true; }, 1);
    entry_request r;
    r.work.target = "tag@v1";
    CHECK_FALSE(routing.choose(r, steady_now()));
    state.cluster.peers["a1"] = {
        .instance = "a1", .role = process_role::agent, .upstream = "u1"};
    result<route> const to = routing.choose(r, steady_now());
    REQUIRE(to);
    CHECK(to->instance == "a1");
}
