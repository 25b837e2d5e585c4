#include "state_search/state_search.hpp"

#include <catch2/catch.hpp>

using namespace marjorambeam;

namespace
{

search_result count_to(int last, int forbidden, std::size_t limit)
{
    return search_states(
        0, [](int s) { return std::to_string(s); },
        [last](int s, auto&& emit)
        {
            if (s < last)
                emit("one", s + 1);
            if (s + 1 < last)
                emit("two", s + 2);
        },
        [forbidden](int s) { return std::string(s == forbidden ? "bad" : ""); },
        limit);
}

} // namespace

// Guards against a search that skips states, stops early without saying so,
// or misses a fault.
TEST_CASE(
    "a search visits all states and returns the shortest trace to a fault")
{
    search_result const all = count_to(10, -1, 100);
    REQUIRE(all.is_complete);
    REQUIRE(all.states == 11);
    search_result const bad = count_to(10, 4, 100);
    REQUIRE(bad.fault == "bad");
    REQUIRE(bad.path == std::vector<std::string>{"two", "two"});
    REQUIRE_FALSE(count_to(10, -1, 5).is_complete);
}
