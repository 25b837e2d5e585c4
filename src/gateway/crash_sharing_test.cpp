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
        {{{.request = 1, .parts = {10, 11}}, true}}};
    b.crashes.unreported_crashes = {c};
    b.crashes.unreported_survivals = {{10, 3}};
    std::vector<crash_report> const sent = due_crash_reports(b, now);
    REQUIRE(sent.size() == 1);
    record_crash(
        a.crashes, c.id, now - seconds(1),
        std::vector<crash_suspect>{{{.request = 2, .parts = {10}}}});
    apply_crash_report(a, decoded(sent.front()), now);
    apply_crash_report(a, decoded(sent.front()), now);
    REQUIRE(a.crashes.crashes.size() == 1);
    CHECK(a.crashes.crashes.front().at == now - seconds(2));
    CHECK(a.crashes.crashes.front().suspects.size() == 2);
    CHECK(a.crashes.parts.at(10).crashes.size() == 1);
    CHECK(a.crashes.parts.at(10).survivals == 3);
    CHECK(a.crashes.crashes.front().has_begun);
}

// Guards against suspicions that wait for this gateway's own detection while
// another one has seen the crash.
TEST_CASE("A reported crash confirms this gateway's suspicions of it")
{
    gateway_state a = state_of("a", "b");
    gateway_state b = state_of("b", "a");
    record_suspicion(
        a.crashes, {{{.request = 1, .parts = {10}}}, "u1", 5, now});
    record_suspicion(
        a.crashes, {{{.request = 2, .parts = {11}}}, "u2", 5, now});
    b.crashes.unreported_crashes = {
        {crash_id("u1", 5), now, {{.traits = {.request = 3}}}}};
    applied_crash_report const applied =
        apply_crash_report(a, due_crash_reports(b, now).front(), now);
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
        c.suspects.push_back({{.request = i, .parts = {1, 2, i}}});
    gateway_state a = state_of("a", "b");
    b.crashes.unreported_crashes = {c};
    for (crash_report const& it : due_crash_reports(b, now))
    {
        CHECK(to_call(it).body.size() < 1300);
        apply_crash_report(a, decoded(it), now);
    }
    CHECK(a.crashes.crashes.front().suspects.size() == max_suspects);
}

// Guards against evidence that a single lost datagram hides from a gateway, and
// against a flood of answers with parts that many requests have.
TEST_CASE("Crashes are sent several times and answers only while they matter")
{
    gateway_state b = state_of("b", "a");
    std::vector<crash_suspect> const r{{{.request = 1, .parts = {10}}}};
    record_suspicion(b.crashes, {r.front(), "u1", 5, now});
    confirm_crash(b.crashes, "u1", now);
    steady_time t = now;
    int sends = 0;
    for (; t < now + seconds(3); t += milliseconds(100))
        sends += static_cast<int>(due_crash_reports(b, t).size());
    CHECK(sends == sends_per_crash);

    // With one crash the answers wait for the period of reports.
    b.next_survivals = t + seconds(1);
    record_survival(b.crashes, {.request = 2, .parts = {10}}, t);
    CHECK(due_crash_reports(b, t).empty());
    // With several, the first answers after the last one don't.
    record_crash(b.crashes, 99, t, r);
    record_survival(b.crashes, {.request = 3, .parts = {10}}, t);
    CHECK(due_crash_reports(b, t).size() == 1);
    for (std::uint64_t i = 0; i < 2UL * urgent_survivals; ++i)
        record_survival(b.crashes, {.request = 4 + i, .parts = {10}}, t);
    CHECK(due_crash_reports(b, t).empty());
    CHECK(due_crash_reports(b, t + seconds(1)).size() == 1);
}

// Guards against hundreds of gateways that write the same entry at once, and
// against an entry that nobody writes because the first one has ended.
TEST_CASE("Gateways store an entry one after the other")
{
    gateway_state b = state_of("b", "a");
    quarantine_entry e{.since = now};
    steady_time const settled = now + store_entry_after;
    b.peers["a"].last_received_at = now;
    CHECK_FALSE(is_turn_to_store(b, e, settled));
    CHECK_FALSE(is_turn_to_remove(b, settled));
    b.peers["a"].last_received_at = now + seconds(1);
    CHECK(is_turn_to_store(b, e, settled + store_entry_stagger));
    b.peers["a"].last_received_at = {};
    CHECK_FALSE(is_turn_to_store(b, e, now));
    CHECK(is_turn_to_store(b, e, settled));
    CHECK(is_turn_to_remove(b, settled));
    e.is_stored = true;
    CHECK_FALSE(is_turn_to_store(b, e, settled + seconds(9)));
}

// Guards against a request that is passed on again by each gateway that has
// started after it was refused elsewhere.
TEST_CASE("A gateway that has started is told which requests are refused")
{
    constexpr std::uint64_t refused = 600;
    gateway_state a = state_of("a", "b");
    gateway_state b = state_of("b", "a");
    std::uint64_t crash = 0;
    for (std::uint64_t r = 1; r <= refused + 1; ++r)
    {
        bool const is_refused = r <= refused;
        for (std::size_t i = 0; i < (is_refused ? crash_limit : 1); ++i)
        {
            crash_suspect const s{{.request = r}, true};
            record_crash(a.crashes, ++crash, now - seconds(9), {&s, 1});
        }
    }
    gateway_peer& to = a.peers["b"];
    CHECK(due_refusal_reports(a, to, now).empty()); // not heard of yet
    to.incarnation_id = 8;
    std::vector<refusal_report> const sent = due_refusal_reports(a, to, now);
    CHECK(due_refusal_reports(a, to, now).empty());
    CHECK(due_refusal_reports(a, to, now + crash_resend_period).size() > 1);
    std::size_t told = 0;
    for (refusal_report const& it : sent)
    {
        peer_call const call = to_call(it);
        CHECK(call.body.size() < 1200);
        result<refusal_report> const r = decode_refusal_report(call);
        REQUIRE(r);
        CHECK(apply_refusal_report(b, *r, now));
        CHECK(apply_refusal_report(b, *r, now)); // adds nothing
        for (reported_refusal const& refusal : r->refused)
            CHECK(reaches_crash_limit(b.crashes, refusal.request));
        told += r->refused.size();
    }
    CHECK(told == max_told_refusals);
    CHECK(b.crashes.requests.size() == max_told_refusals);
    CHECK_FALSE(b.crashes.requests.contains(refused + 1));
    expire_crashes(b.crashes, now + crash_record_ttl);
    CHECK(b.crashes.requests.empty());
}

// Guards against corrupt or foreign datagrams, and against records of any size.
TEST_CASE("A report of refused requests that can't be read is an error")
{
    reported_refusal r{.request = 1, .crashes = {1, 2, 3}, .age_ms = -5};
    peer_call call = to_call(refusal_report{"b", {r}});
    REQUIRE(decode_refusal_report(call));
    call.body.resize(call.body.size() / 2);
    CHECK_FALSE(decode_refusal_report(call));
    r.crashes.resize(crash_limit + 1);
    CHECK_FALSE(decode_refusal_report(to_call(refusal_report{"b", {r}})));
    gateway_state s = state_of("a", "b");
    CHECK_FALSE(apply_refusal_report(s, {"stranger", {r}}, now));
    CHECK(s.crashes.requests.empty());
}
