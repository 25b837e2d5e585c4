#include "membership/membership.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace marjorambeam;

namespace
{

membership_rules const rules;
daemon_identity const self{
    .instance = "self", .availability_zone = "hitra", .self = 1};

steady_time at(int seconds)
{
    return steady_time{std::chrono::seconds(1000 + seconds)};
}

digest
make_digest(std::string name, incarnation sender, std::uint64_t generation)
{
    return {
        .sender = sender,
        .instance = std::move(name),
        .availability_zone = "hitra",
        .address = "127.0.0.1:" + std::to_string(sender),
        .generation = generation};
}

listed_peer row(std::string name, bool is_leaving = false)
{
    return {
        .instance = std::move(name),
        .availability_zone = "hitra",
        .address = "127.0.0.1:9",
        .is_leaving = is_leaving};
}

} // namespace

// Guards against a new daemon that stays unknown until the list names it, and
// against a dead one that stays live for ever.
TEST_CASE("a digest makes an unlisted peer live for a bounded time")
{
    document_map<peer> peers;
    merge_digest(peers, make_digest("a", 7, 3), self, at(0));
    merge_list(peers, {}, "self", rules, at(1));
    CHECK(condition_of(peers.at("a"), rules, at(29)) == peer_condition::live);
    CHECK(remove_expired(peers, rules, at(29)) == 0);
    CHECK(condition_of(peers.at("a"), rules, at(30)) == peer_condition::gone);
    CHECK(remove_expired(peers, rules, at(30)) == 1);
}

// Guards against a lagging list that sends traffic to the address of a
// process that was replaced, or hides that a peer leaves.
TEST_CASE("a recent digest overrides the list")
{
    document_map<peer> peers;
    merge_list(peers, {row("a"), row("self")}, "self", rules, at(0));
    CHECK(peers.size() == 1);
    CHECK(condition_of(peers.at("a"), rules, at(0)) == peer_condition::live);
    digest w = make_digest("a", 7, 3);
    w.is_leaving = true;
    merge_digest(peers, w, self, at(1));
    merge_list(peers, {row("a")}, "self", rules, at(2));
    CHECK(peers.at("a").address == "127.0.0.1:7");
    CHECK(condition_of(peers.at("a"), rules, at(2)) == peer_condition::leaving);
    merge_list(peers, {row("a")}, "self", rules, at(40));
    CHECK(peers.at("a").address == "127.0.0.1:9");
    merge_digest(peers, make_digest("a", 8, 3), self, at(41));
    CHECK(condition_of(peers.at("a"), rules, at(41)) == peer_condition::live);
    merge_list(peers, {row("a", true)}, "self", rules, at(42));
    CHECK(
        condition_of(peers.at("a"), rules, at(42)) == peer_condition::leaving);
}

// Guards against late datagrams of a replaced process, and against a second
// process under the same instance name going unnoticed.
TEST_CASE("digests of earlier and duplicate processes are rejected")
{
    document_map<peer> peers;
    merge_digest(peers, make_digest("a", 7, 9), self, at(0));
    merge_digest(peers, make_digest("a", 8, 4), self, at(1));
    CHECK(
        merge_digest(peers, make_digest("a", 7, 9), self, at(2)) ==
        digest_outcome::from_earlier_incarnation);
    CHECK(peers.at("a").generation == 4);
    CHECK(
        merge_digest(peers, make_digest("self", 1, 9), self, at(2)) ==
        digest_outcome::from_self);
    CHECK(
        merge_digest(peers, make_digest("self", 2, 9), self, at(2)) ==
        digest_outcome::from_duplicate);
    CHECK(peers.size() == 1);
}

// Guards against a crashed daemon that stays live while the list lags.
TEST_CASE(
    "a refused connection makes a listed peer gone until the next contact")
{
    document_map<peer> peers;
    merge_list(peers, {row("a")}, "self", rules, at(0));
    record_refused_connection(peers, "a", at(1));
    CHECK(condition_of(peers.at("a"), rules, at(2)) == peer_condition::gone);
    CHECK(condition_of(peers.at("a"), rules, at(31)) == peer_condition::live);
    record_refused_connection(peers, "a", at(32));
    record_contact(peers, "a", 5, at(33));
    CHECK(condition_of(peers.at("a"), rules, at(33)) == peer_condition::live);
    CHECK(live_peers(peers, rules, at(33)).size() == 1);
}

// Guards against watches whose number grows with the fleet, or a region that
// has none.
TEST_CASE("three daemons of each region hold a watch and agree on it")
{
    document_map<availability_zone> zones;
    zones["hitra"] = {.name = "hitra", .region = "north"};
    zones["frosta"] = {.name = "frosta", .region = "north"};
    zones["sfax"] = {.name = "sfax", .region = "south"};
    std::vector<digest> digests;
    for (incarnation i = 1; i <= 30; ++i)
    {
        digest w = make_digest("d" + std::to_string(i), i, 0);
        w.availability_zone = i % 3 == 0   ? "sfax"
                              : i % 3 == 1 ? "hitra"
                                           : "frosta";
        digests.push_back(w);
    }
    std::map<std::string, std::size_t> holders;
    for (digest const& own : digests)
    {
        daemon_identity const id{
            .instance = own.instance,
            .availability_zone = own.availability_zone,
            .self = own.sender};
        document_map<peer> peers;
        for (digest const& w : digests)
            merge_digest(peers, w, id, at(0));
        auto const names = choose_watchers(id, peers, zones, rules, at(1));
        CHECK(names.size() == 3);
        if (std::count(names.begin(), names.end(), own.instance) == 1)
            ++holders[std::string(region_of(zones, own.availability_zone))];
    }
    CHECK(holders["north"] == 3);
    CHECK(holders["south"] == 3);
}

// Guards against an isolated instance that still accepts requests, and against
// a single instance without peers that rejects all requests.
TEST_CASE("a daemon that knows peers and receives nothing is isolated")
{
    duration const limit = std::chrono::seconds(10);
    CHECK_FALSE(is_isolated(true, at(0), limit, at(9)));
    CHECK(is_isolated(true, at(0), limit, at(10)));
    CHECK_FALSE(is_isolated(false, at(0), limit, at(100)));
}

// Guards against one malformed row that hides the whole list.
TEST_CASE("malformed rows of the list are left out")
{
    auto const list = parse_instance_list(
        R"({"instances":[{"name":"a","role":"agent","address":"127.0.0.1:1",)"
        R"("state":"leaving"},{"name":5},7,{"name":"b","role":"x"}]})");
    REQUIRE(list);
    REQUIRE(list->size() == 1);
    CHECK(list->front().is_leaving);
    CHECK_FALSE(parse_instance_list("<html>"));
}

// Guards against reads of a long instance list that take more than the control
// budget of 5 KB/s.
TEST_CASE("a long instance list is read less often")
{
    using namespace std::chrono_literals;
    CHECK(instance_list_wait(2s, 900) == 2s);
    constexpr std::size_t list_bytes_at_2650_daemons = 450'000;
    double const seconds =
        to_seconds(instance_list_wait(2s, list_bytes_at_2650_daemons));
    CHECK(list_bytes_at_2650_daemons / seconds <= 5000);
    CHECK(seconds < 600);
}
