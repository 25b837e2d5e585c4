#include "agent/agent_state.hpp"

#include <catch2/catch.hpp>

using namespace marjorambeam;

// Guards against an upstream that looks slow because its limit is low: entries
// would send it nothing, and without responses its limit could not grow.
TEST_CASE("the reported speed does not depend on the limit")
{
    cluster_state cluster;
    agent_state state(cluster, {});
    state.tokens_per_slot_second = 50;
    set_bounds(state.warm_up, {.cold = 1, .warm = 16});
    for (double const limit : {1.0, 16.0})
    {
        state.warm_up.limit = limit;
        REQUIRE(current_load(state).tokens_per_second == 50);
    }
}
