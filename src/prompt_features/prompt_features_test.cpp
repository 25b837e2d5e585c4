#include "prompt_features/prompt_features.hpp"

#include <catch2/catch.hpp>
#include <string>

using namespace marjorambeam;

// Guards against an affinity that depends on the user message instead of the
// shared prefix, or that mixes customers.
TEST_CASE("prompts with the same start share their prefix hash")
{
    std::string const start(prefix_bytes, 's');
    auto const a = extract_features("c1", start + "first question");
    auto const b = extract_features("c1", start + "second");
    REQUIRE(a.prefix_hash == b.prefix_hash);
    REQUIRE(a.prefix_hash != 0);
    REQUIRE(a.prefix_hash != extract_features("c2", start).prefix_hash);
    REQUIRE(extract_features("c1", "short").prefix_hash == 0);
}

// Guards against an unbounded number of kinds, which would let callers grow the
// state of the cascade by sending different hints.
TEST_CASE("the kind depends on length and hint and is bounded")
{
    REQUIRE(
        kind_of(extract_features("c", "x")) !=
        kind_of(extract_features("c", std::string(300, 'x'))));
    REQUIRE(
        kind_of(extract_features("c", "x")) !=
        kind_of(extract_features("c", "x", "t")));
    for (int i = 0; i < 1000; ++i)
    {
        auto const n = static_cast<std::size_t>(i) * 1000;
        auto const f =
            extract_features("c", std::string(n, 'x'), std::to_string(i));
        REQUIRE(kind_of(f) < request_kind_count);
    }
}
