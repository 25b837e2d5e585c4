#include "gateway/state_relay.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

using namespace marjorambeam;

namespace
{

state_change change_between(std::uint64_t from, std::uint64_t to)
{
    return {
        .sender = "a",
        .incarnation_id = 7,
        .era = 1,
        .before = hash64("", from),
        .after = hash64("", to),
        .from = from,
        .revision = to};
}

relayed_object object_of(int i, std::size_t bytes)
{
    return {
        .name = "u" + std::to_string(i),
        .revision = static_cast<std::uint64_t>(i),
        .specification = std::string(bytes, 'x')};
}

} // namespace

// Guards against a copy that returns to an older state, or counts as complete
// although a change is missing, when datagrams are late, lost or repeated.
TEST_CASE("A change applies only to copies that it makes complete")
{
    state_change const c = change_between(10, 20);
    CHECK(is_applicable(c, c.before, {1, 10}));
    CHECK(is_applicable(c, 1, {1, 10}));
    CHECK(is_applicable(c, 1, {1, 15})); // later than its start
    CHECK_FALSE(is_applicable(c, 1, {1, 9}));
    CHECK(is_applicable(c, c.before, {1, 9})); // no change of the kind since
    CHECK_FALSE(is_applicable(c, c.before, {1, 20}));
    CHECK_FALSE(is_applicable(c, c.before, {1, 25}));
}

// Guards against copies of two eras of the store that are taken for equal,
// because revisions, and digests too, come again.
TEST_CASE("A change does not apply to a copy of another era")
{
    state_change const c = change_between(10, 20);
    for (std::uint64_t const era : {0, 2})
    {
        CHECK_FALSE(is_applicable(c, c.before, {era, 10}));
        CHECK_FALSE(is_applicable(c, 1, {era, 15}));
    }
    CHECK(store_position{2, 1} > store_position{1, 900});
}

// Guards against a change that does not fit into one datagram, as in the
// rollout of a large fleet, whose new upstreams register within a second.
TEST_CASE("A large change is assembled from its parts in any order")
{
    state_change c = change_between(10, 20);
    for (int i = 0; i < 200; ++i)
        c.objects.push_back(object_of(i, 180));
    std::vector<state_change> parts = split_change(c);
    REQUIRE(parts.size() > 20);
    for (state_change const& it : parts)
        CHECK(to_call(it).body.size() < 1330);
    std::mt19937 random(5);
    std::shuffle(parts.begin(), parts.end(), random);
    change_assembler assembly;
    std::optional<state_change> complete;
    for (std::size_t i = 0; i < parts.size(); ++i)
    {
        result<state_change> const read = decode_change(to_call(parts[i]));
        REQUIRE(read);
        CHECK_FALSE(complete);
        state_change copy = *read;
        CHECK_FALSE((i == 3 && assembly.put(state_change(copy)))); // twice
        complete = assembly.put(std::move(copy));
    }
    REQUIRE(complete);
    CHECK(complete->objects.size() == 200);
    CHECK(complete->revision == 20);
}

// Guards against mixing the parts of two changes.
TEST_CASE("Parts of an earlier change are dropped")
{
    state_change first = change_between(10, 20);
    state_change second = change_between(20, 30);
    for (int i = 0; i < 8; ++i)
    {
        first.objects.push_back(object_of(i, 900));
        second.objects.push_back(object_of(i + 100, 900));
    }
    std::vector<state_change> const a = split_change(first);
    std::vector<state_change> const b = split_change(second);
    REQUIRE(a.size() == b.size());
    change_assembler assembly;
    for (std::size_t i = 0; i + 1 < a.size(); ++i)
        CHECK_FALSE(assembly.put(state_change(a[i])));
    CHECK_FALSE(assembly.put(state_change(b.back())));
    CHECK_FALSE(assembly.put(state_change(a.back())));
    std::optional<state_change> complete;
    for (state_change const& it : b)
        complete = assembly.put(state_change(it));
    REQUIRE(complete);
    CHECK(complete->revision == 30);
    for (relayed_object const& it : complete->objects)
        CHECK(it.revision >= 100);
}

// Guards against an object that is too large for a datagram; gateways that
// learn of the reader's state fetch it from the store themselves.
TEST_CASE("A change with an object too large is not relayed")
{
    state_change c = change_between(10, 20);
    c.objects = {object_of(1, 100), object_of(2, 4000)};
    CHECK(split_change(c).empty());
}

// Guards against a process that crashes on a corrupt or foreign datagram.
TEST_CASE("A part of a change that can't be read is an error")
{
    state_change c = change_between(10, 20);
    c.objects = {object_of(1, 100)};
    peer_call const good = to_call(c);
    REQUIRE(decode_change(good));
    std::mt19937 random(11);
    for (int i = 0; i < 20000; ++i)
    {
        peer_call bad = good;
        bad.body[random() % bad.body.size()] = static_cast<char>(random());
        if (i % 3 == 0)
            bad.body.resize(random() % bad.body.size());
        result<state_change> const read = decode_change(bad);
        if (read)
            CHECK(read->kind < state_kind_count);
    }
    c.kind = state_kind_count;
    CHECK_FALSE(decode_change(to_call(c)));
    c.kind = 0;
    c.part = 3;
    CHECK_FALSE(decode_change(to_call(c)));
}
