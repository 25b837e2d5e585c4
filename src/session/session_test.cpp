#include "session/session.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <random>
#include <rapidcheck.h>

using namespace marjorambeam;
using std::chrono::hours;

namespace
{

// RapidCheck draws a seed at random unless this is set before its first use.
[[maybe_unused]] bool const has_fixed_seed =
    setenv("RC_PARAMS", "seed=1", 0) == 0;

wall_time const start = from_unix_ms(1750000000000);

session_token sample()
{
    return {"havbris", "seam", "v3", to_unix_ms(start)};
}

session_pin
make_pin(std::string id, std::string version, std::int64_t created_ms)
{
    return {"havbris",          std::move(id), "seam",
            std::move(version), created_ms,    created_ms};
}

} // namespace

// Guards against tokens that a caller can modify, such as its version or
// customer, without invalidating the signature.
TEST_CASE("a modified token is session_invalid")
{
    session_key const key = make_session_key("secret");
    std::string const text = make_session_token(key, sample());
    REQUIRE(text.size() > max_client_session_id_bytes);
    CHECK(rc::check(
        [&]()
        {
            std::string changed = text;
            auto const at = *rc::gen::inRange<std::size_t>(0, text.size());
            switch (*rc::gen::inRange(0, 4))
            {
            case 0:
                changed[at] = *rc::gen::distinctFrom(
                    rc::gen::arbitrary<char>(), text[at]);
                break;
            case 1:
                changed.resize(at);
                break;
            case 2:
                changed.insert(at, 1, *rc::gen::arbitrary<char>());
                break;
            default:
                changed += *rc::gen::arbitrary<char>();
            }
            RC_PRE(changed != text);
            auto const r = read_session_token(key, changed, "havbris", start);
            RC_ASSERT(!r);
            RC_ASSERT(r.error().kind == error_kind::session_invalid);
        }));
}

// Guards against tokens that are accepted for another customer, after they
// expired, or with another fleet's secret.
TEST_CASE("a token is valid for its customer, lifetime and key only")
{
    session_key const key = make_session_key("secret");
    std::string const text = make_session_token(key, sample());
    auto const r = read_session_token(key, text, "havbris", start);
    REQUIRE(r);
    REQUIRE(r->version == "v3");
    REQUIRE(r->model == "seam");
    REQUIRE(r->created_ms == to_unix_ms(start));
    REQUIRE_FALSE(read_session_token(key, text, "fjord", start));
    REQUIRE_FALSE(read_session_token(key, text, "havbris", start + hours(24)));
    REQUIRE_FALSE(
        read_session_token(make_session_key("other"), text, "havbris", start));
}

// Guards against session ids that would corrupt a log line or a header.
TEST_CASE("a session id is limited to 64 visible characters")
{
    REQUIRE(check_client_session_id("cart-17"));
    REQUIRE_FALSE(check_client_session_id(""));
    REQUIRE_FALSE(check_client_session_id("a b"));
    REQUIRE_FALSE(check_client_session_id("a\n"));
    REQUIRE_FALSE(check_client_session_id(std::string(65, 'a')));
}

// Guards against a pin that moves to other owners while both of its owners are
// live, and against two customers with the same id that share a pin.
TEST_CASE("the two owners do not change while they are live")
{
    std::vector<std::string> const all{"e1", "e2", "e3", "e4"};
    auto const owners = pin_owners("havbris", "cart", all);
    REQUIRE(owners.size() == 2);
    std::vector<std::string> fewer = owners;
    REQUIRE(pin_owners("havbris", "cart", fewer) == owners);
    fewer.erase(fewer.begin());
    REQUIRE(pin_owners("havbris", "cart", fewer)[0] == owners[1]);
    REQUIRE(pin_owners("havbris", "cart", {}).empty());
    pin_table t;
    t.find_or_insert(make_pin("cart", "v1", 1), from_unix_ms(1));
    session_pin other = make_pin("cart", "v2", 1);
    other.customer = "fjord";
    REQUIRE(t.find_or_insert(other, from_unix_ms(1))->version == "v2");
}

// Guards against a session that changes its version because a later request
// overwrites its pin.
TEST_CASE("a pin is inserted once and looked up afterwards")
{
    pin_table t;
    session_pin const request = make_pin("cart", "", 0);
    REQUIRE_FALSE(t.find_or_insert(request, start));
    REQUIRE(
        t.find_or_insert(make_pin("cart", "v1", 1), start)->version == "v1");
    REQUIRE(
        t.find_or_insert(make_pin("cart", "v2", 2), start)->version == "v1");
    REQUIRE(t.find_or_insert(request, start)->version == "v1");
}

// Guards against unbounded memory use, and against evicting pins in use before
// unused ones.
TEST_CASE("the table is bounded by capacity and age")
{
    pin_table t(2, hours(1));
    t.find_or_insert(make_pin("a", "v1", 1), start);
    t.find_or_insert(make_pin("b", "v1", 1), start);
    t.find_or_insert(make_pin("a", "", 1), start);
    t.find_or_insert(make_pin("c", "v1", 1), start);
    REQUIRE(t.size() == 2);
    REQUIRE(t.evictions() == 1);
    REQUIRE(t.find_or_insert(make_pin("a", "", 1), start));
    REQUIRE_FALSE(t.find_or_insert(make_pin("b", "", 1), start));
    REQUIRE_FALSE(t.find_or_insert(make_pin("a", "", 1), start + hours(1)));
    REQUIRE(t.size() == 0);
}

// Guards against owners that converge to different pins when copies arrive in
// different orders.
TEST_CASE("merging copies in any order gives the earliest pin")
{
    CHECK(rc::check(
        []()
        {
            auto const times = *rc::gen::nonEmpty(
                rc::gen::container<std::vector<std::int64_t>>(
                    rc::gen::inRange<std::int64_t>(0, 4)));
            std::vector<session_pin> copies;
            for (std::size_t i = 0; i < times.size(); ++i)
                copies.push_back(
                    make_pin("cart", "v" + std::to_string(i % 3), times[i]));
            pin_table a;
            pin_table b;
            for (auto const& it : copies)
                a.merge(it, from_unix_ms(10));
            auto turned = copies;
            std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
            std::shuffle(turned.begin(), turned.end(), random);
            for (auto const& it : turned)
                b.merge(it, from_unix_ms(10));
            RC_ASSERT(a.pins(from_unix_ms(10)) == b.pins(from_unix_ms(10)));
            auto const p = a.pins(from_unix_ms(10)).at(0);
            for (auto const& it : copies)
                RC_ASSERT(!is_earlier_pin(it, p));
        }));
}

// Guards against accepting a corrupt call of a peer as a pin.
TEST_CASE("a pin is decoded unchanged and a damaged one is refused")
{
    session_pin const p = make_pin("cart", "v1", 5);
    std::string const body = encode_session_pin(p);
    REQUIRE(*decode_session_pin(body) == p);
    REQUIRE_FALSE(decode_session_pin(body.substr(1)));
    REQUIRE_FALSE(decode_session_pin(body + "x"));
    REQUIRE_FALSE(decode_session_pin(""));
}
