#include "gateway/crash_sharing.hpp"

#include <catch2/catch.hpp>

using namespace marjorambeam;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr steady_time now{seconds(100)};

gateway_state state_of(std::string const& name, std::string const& peer)
{
    gateway_state s;
    s.settings.instance = name;
    s.self = 7;
    s.peers[peer] = {};
    return s;
}

crash_report decoded(crash_report const& r)
{
    result<crash_report> const d = decode_crash_report(to_call(r));
    REQUIRE(d);
    return *d;
}

} // namespace

// Guards against corrupt or foreign datagrams.
TEST_CASE("A crash report that can't be read is an error")
{
    peer_call call = to_call(crash_report{.sender = "a"});
    call.body.resize(call.body.size() / 2);
    CHECK_FALSE(decode_crash_report(call));
    call.body.clear();
    CHECK_FALSE(decode_crash_report(call));
    gateway_state s = state_of("a", "b");
    CHECK_FALSE(
        apply_crash_report(s, {.sender = "stranger"}, now).is_known_sender);
}

// Guards against a crash that counts twice because several gateways report it,
// or one of them several times, and against answers that count twice.
TEST_CASE("Reports of one crash join and a repeated report adds nothing")
{
    gateway_state a = state_of("a", "b");
    gateway_state b = state_of("b", "a");
    upstream_crash const c{
        crash_id("u1", 5),
        now - seconds(2),
        {{.request = 1, .parts = {10, 11}}}};
    std::vector<crash_report> const sent =
        make_crash_reports(b, {&c, 1}, {{10, 3}}, now);
    REQUIRE(sent.size() == 1);
    record_crash(
        a.crashes, c.id, now - seconds(1),
        std::vector<request_traits>{{.request = 2, .parts = {10}}});
    apply_crash_report(a, decoded(sent.front()), now);
    apply_crash_report(a, decoded(sent.front()), now);
    REQUIRE(a.crashes.crashes.size() == 1);
    CHECK(a.crashes.crashes.front().at == now - seconds(2));
    CHECK(a.crashes.crashes.front().suspects.size() == 2);
    CHECK(a.crashes.parts.at(10).crashes.size() == 1);
    CHECK(a.crashes.parts.at(10).survivals == 3);
}

// Guards against suspicions that wait for this gateway's own detection while
// another one has seen the crash.
TEST_CASE("A reported crash confirms this gateway's suspicions of it")
{
    gateway_state a = state_of("a", "b");
    gateway_state b = state_of("b", "a");
    record_suspicion(a.crashes, {{.request = 1, .parts = {10}}, "u1", 5, now});
    record_suspicion(a.crashes, {{.request = 2, .parts = {11}}, "u2", 5, now});
    upstream_crash const c{crash_id("u1", 5), now, {{.request = 3}}};
    crash_report const r = make_crash_reports(b, {&c, 1}, {}, now).front();
    applied_crash_report const applied = apply_crash_report(a, r, now);
    REQUIRE(applied.confirmed.size() == 1);
    CHECK(applied.confirmed.front().upstream == "u1");
    CHECK(a.crashes.unreported_crashes.size() == 1);
    CHECK(a.crashes.suspicions.size() == 1);
}

// Guards against datagrams that the network drops for their size.
TEST_CASE("A crash with many suspects is split into datagrams")
{
    gateway_state b = state_of("b", "a");
    upstream_crash c{1, now, {}};
    for (std::uint64_t i = 1; i <= max_suspects; ++i)
        c.suspects.push_back({.request = i, .parts = {1, 2, i}});
    gateway_state a = state_of("a", "b");
    for (crash_report const& it : make_crash_reports(b, {&c, 1}, {}, now))
    {
        CHECK(to_call(it).body.size() < 1300);
        apply_crash_report(a, decoded(it), now);
    }
    CHECK(a.crashes.crashes.front().suspects.size() == max_suspects);
}
