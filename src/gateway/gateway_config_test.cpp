#include "gateway/gateway_config.hpp"

#include <catch2/catch.hpp>

using namespace marjorambeam;

namespace
{

gateway_config two_routes()
{
    gateway_config c;
    add_route(c, {.name = "short", .host = "h", .prefix = "/a/"});
    add_route(c, {.name = "long", .host = "h", .prefix = "/a/b/"});
    add_route(c, {.name = "other", .host = "i", .prefix = "/"});
    c.organisations.push_back({.name = "o"});
    c.organisation_by_key["k"] = 0;
    return c;
}

} // namespace

// Guards against routing a request by a shorter prefix than the longest match.
TEST_CASE("The longest matching prefix of the host selects the route")
{
    gateway_config const c = two_routes();
    CHECK(find_route(c, "h", "/a/b/c")->name == "long");
    CHECK(find_route(c, "h", "/a/b")->name == "short");
    CHECK(find_route(c, "h:8080", "/a/")->name == "short");
    CHECK(find_route(c, "i", "/any")->name == "other");
    CHECK(find_route(c, "h", "/b/") == nullptr);
    CHECK(find_route(c, "h", "/ab/") == nullptr);
    CHECK(find_route(c, "j", "/a/") == nullptr);
    CHECK(find_route(c, "h", "") == nullptr);
}

// Guards against priorities that are missing or listed twice, so that two of
// them share a part of the engines' range of urgencies.
TEST_CASE("The priorities in use are listed in ascending order, once each")
{
    gateway_config c;
    for (int const it : {5, 0, 5, 2})
        add_route(c, {.name = "r", .priority = it});
    add_priority(c, 2);
    add_priority(c, 1);
    CHECK(c.priorities == std::vector{0, 1, 2, 5});
}

// Guards against accepting a key that no organisation holds.
TEST_CASE("A key identifies its organisation")
{
    gateway_config const c = two_routes();
    REQUIRE(find_organisation(c, "k") != nullptr);
    CHECK(find_organisation(c, "k")->name == "o");
    CHECK(find_organisation(c, "") == nullptr);
    CHECK(find_organisation(c, "x") == nullptr);
}

// Guards against a split whose parts differ from its weights, or that sends to
// a service of weight zero.
TEST_CASE("A traffic split follows its weights")
{
    gateway_route const r{.services = {{"a", 90}, {"none", 0}, {"b", 10}}};
    int b = 0;
    for (std::uint64_t i = 0; i < 1000; ++i)
    {
        std::string const& s = pick_service(r, i);
        CHECK(s != "none");
        b += s == "b" ? 1 : 0;
    }
    CHECK(b == 100);
    CHECK(pick_service({.services = {{"a", 0}}}, 5) == "a");
}

// Guards against repeating a request that must run at most once.
TEST_CASE("Only idempotent and resumable requests are repeatable")
{
    CHECK(is_repeatable({.kind = route_kind::idempotent}));
    CHECK_FALSE(is_repeatable({.kind = route_kind::non_idempotent}));
    CHECK_FALSE(is_repeatable({.kind = route_kind::streaming}));
    CHECK(is_repeatable({.kind = route_kind::streaming, .is_resumable = true}));
}
