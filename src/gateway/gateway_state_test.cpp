#include "gateway/gateway_state.hpp"

#include "gateway/peer_report.hpp"
#include "gateway/reader_election.hpp"

#include <catch2/catch.hpp>
#include <cstdint>

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
    s.settings.key_bound = seconds(5);
    s.peers[peer] = {};
    auto config = std::make_shared<gateway_config>();
    config->version = 3;
    s.config = config;
    return s;
}

// Sends a report of `s` to a peer, through its encoding.
gateway_report report_to(gateway_state& s, gateway_peer const& p, steady_time t)
{
    std::string const report = encode_report(make_report(s, t));
    record_sent(s.reports, t);
    return decode_report(to_call(report, echo_for(p, t))).value();
}

} // namespace

// Guards against a key that works longer than its bound after the last response
// of the store.
TEST_CASE("Keys are fresh only while the store confirms them")
{
    gateway_state s = state_of("a", "b");
    CHECK_FALSE(are_keys_fresh(s, now));
    confirm_config(s, now);
    confirm_config(s, now - seconds(1)); // an older confirmation has no effect
    CHECK(are_keys_fresh(s, now + seconds(4)));
    CHECK_FALSE(are_keys_fresh(s, now + seconds(5)));
    s.settings.key_bound.reset();
    CHECK(are_keys_fresh(s, now + seconds(500)));
}

// Guards against gateways that refuse keys although another one has just had
// them confirmed, and against confirmations of another configuration, from an
// unknown sender, or of a time that nothing bounds.
TEST_CASE("A peer confirms the configuration that it shares")
{
    gateway_state a = state_of("a", "b");
    gateway_state b = state_of("b", "a");
    a.self = 1;
    b.self = 2;
    confirm_config(b, now);
    // A report that echoes nothing may be late by any time.
    gateway_report const unasked =
        report_to(b, b.peers["a"], now + milliseconds(900));
    apply_report(a, unasked, now + milliseconds(900));
    CHECK_FALSE(a.config_confirmed);
    // The other one's age counts from the question that it answers.
    apply_report(
        b, report_to(a, a.peers["b"], now + milliseconds(950)),
        now + milliseconds(960));
    gateway_report const r = report_to(b, b.peers["a"], now + seconds(1));
    apply_report(a, r, now + seconds(9));
    REQUIRE(a.config_confirmed);
    CHECK(*a.config_confirmed <= now);
    CHECK(*a.config_confirmed > now - milliseconds(20));

    gateway_state c = state_of("c", "x");
    apply_report(c, r, now);
    CHECK_FALSE(c.config_confirmed);
    gateway_state d = state_of("d", "b");
    d.self = a.self;
    d.reports = a.reports;
    auto other = std::make_shared<gateway_config>();
    other->version = 2;
    d.config = other;
    apply_report(d, r, now + seconds(1));
    CHECK_FALSE(d.config_confirmed);
}

// Guards against a process that ends with a made-up report: times that no clock
// shows, and an echo that contradicts what was observed before.
TEST_CASE("A report with impossible times changes nothing that others rely on")
{
    gateway_report r{.sender = "b", .incarnation_id = 2, .sequence = 1};
    for (std::int64_t const bad : {INT64_MIN, std::int64_t{-2}, INT64_MAX})
    {
        gateway_report odd = r;
        odd.clock_us = bad;
        CHECK_FALSE(decode_report(to_call(encode_report(odd), {})));
        odd = r;
        odd.history_dropped_ms = bad;
        CHECK_FALSE(decode_report(to_call(encode_report(odd), {})));
        odd = r;
        odd.rollouts = {{.service = "pool", .elapsed_ms = bad}};
        CHECK_FALSE(decode_report(to_call(encode_report(odd), {})));
        CHECK_FALSE(decode_report(
            to_call(encode_report(r), {.addressee = 1, .age_us = bad})));
    }
    gateway_state a = state_of("a", "b");
    a.self = 1;
    record_sent(a.reports, now);
    r.clock_us = 1000;
    REQUIRE(apply_report(a, r, now) == report_outcome::applied);
    // It claims to have had a report long before it was sent.
    r.sequence = 2;
    r.clock_us = duration(seconds(50)).count();
    r.echo = {.addressee = 1, .sequence = 1, .age_us = r.clock_us};
    r.history_dropped_ms = 5;
    r.config_age_ms = 0;
    r.config_version = 3;
    REQUIRE(
        apply_report(a, r, now + milliseconds(1)) == report_outcome::applied);
    CHECK_FALSE(a.config_confirmed);
    REQUIRE(a.history_dropped);
    CHECK(*a.history_dropped <= now + milliseconds(1));
}

// Guards against an echo for the process before, whose numbers began anew.
TEST_CASE("An echo counts for the process that sent the report only")
{
    gateway_state a = state_of("a", "b");
    gateway_state b = state_of("b", "a");
    a.self = 1;
    b.self = 2;
    confirm_config(b, now);
    apply_report(b, report_to(a, a.peers["b"], now), now);
    gateway_state again = state_of("a", "b");
    again.self = 3;
    record_sent(again.reports, now + seconds(2));
    apply_report(
        again, report_to(b, b.peers["a"], now + milliseconds(10)),
        now + seconds(2));
    CHECK_FALSE(again.config_confirmed);
}

// Guards against using an upstream for two more seconds after its entry was
// removed while only this gateway was partitioned from the store
// (nakhla-keyword, mix seed 1036747576027, violated DRAIN this way).
TEST_CASE("A list is certain when a peer could reach the store")
{
    gateway_state s = state_of("a", "b");
    s.is_store_lost = true;
    s.outage_started_at = now;
    CHECK(is_list_uncertain(s, now + seconds(3)));
    s.is_store_lost = false;
    s.outage_ended_at = now + seconds(4);
    CHECK(is_list_uncertain(s, now + seconds(5)));
    CHECK_FALSE(is_list_uncertain(s, now + seconds(7)));
    steady_time const responded = now + seconds(5) - milliseconds(10);
    record_peer_store(
        s, {.available_since = now + seconds(3),
            .last_response_at = responded}); // the peer had an outage as well
    CHECK(is_list_uncertain(s, now + seconds(5)));
    record_peer_store(
        s, {.available_since = now - seconds(25),
            .last_response_at = now - seconds(1)});
    CHECK(
        is_list_uncertain(s, now + seconds(5))); // no response since the outage
    record_peer_store(
        s,
        {.available_since = now - seconds(25), .last_response_at = responded});
    CHECK_FALSE(is_list_uncertain(s, now + seconds(5)));
}

// Guards against loads that remain after their gateway has ended.
TEST_CASE("Loads of peers are summed and expire")
{
    gateway_state a = state_of("a", "b");
    gateway_state b = state_of("b", "a");
    for (gateway_state* it : {&a, &b})
    {
        auto u = std::make_shared<upstream_state>();
        u->info.id = std::string("u");
        put_upstream(it->upstreams, u);
    }
    b.upstreams.by_id["u"]->requests = 3;
    b.upstreams.by_id["u"]->work = 500;
    apply_report(a, make_report(b, now), now);
    CHECK(a.upstreams.by_id["u"]->peers.requests == 3);
    CHECK(a.upstreams.by_id["u"]->peers.work == Approx(500));
    expire_reports(a, now + seconds(1));
    CHECK(a.upstreams.by_id["u"]->peers.requests == 3);
    expire_reports(a, now + seconds(5));
    CHECK(a.upstreams.by_id["u"]->peers.requests == 0);
}

// Guards against counting the evidence of a rollout twice or losing it, and
// against a restarted gateway that mistakes an old order for a new one.
TEST_CASE("Evidence of a rollout is pooled")
{
    gateway_state a = state_of("a", "b");
    gateway_state b = state_of("b", "a");
    for (gateway_state* it : {&a, &b})
    {
        rollout_progress t;
        t.order = {.service = "pool", .target = "v2"};
        t.first_seen = now;
        it->rollouts["pool"] = t;
    }
    b.rollouts["pool"].first_seen = now - seconds(9);
    b.rollouts["pool"].own.target = {10, 4};
    a.rollouts["pool"].own.target = {5, 2};
    apply_report(a, make_report(b, now), now);
    apply_report(a, make_report(b, now), now);
    version_evidence const e = pooled_evidence(a.rollouts["pool"]);
    CHECK(e.target.answers == 15);
    CHECK(e.target.bad == 6);
    CHECK(elapsed_of(a.rollouts["pool"], now) >= seconds(9));
}

// Guards against corrupt or foreign datagrams.
TEST_CASE("A report that can't be read is an error")
{
    peer_call const call = to_call(encode_report({.sender = "a"}), {});
    REQUIRE(decode_report(call));
    for (std::size_t n = 0; n < call.body.size(); ++n)
    {
        peer_call cut = call;
        cut.body.resize(n);
        CHECK_FALSE(decode_report(cut));
    }
}

// Guards against sessions that change version, and against unbounded growth of
// the session table.
TEST_CASE("Sessions keep their version until they expire")
{
    session_pins p;
    record_session(p, std::string(), "v1", now);
    CHECK(p.by_session.empty());
    record_session(p, "s", "v1", now);
    CHECK(pinned_version(p, "s", now + seconds(7)) == "v1");
    CHECK(pinned_version(p, "s", now + session_memory).empty());
    CHECK(pinned_version(p, "t", now).empty());
    expire_sessions(p, now + session_memory);
    CHECK(p.by_session.empty());
}

// Guards against a fleet in which each gateway queries the store as often as if
// it were alone (nakhla-keyword-grown: 2000 calls in a quiet minute), and
// against one in which none does.
TEST_CASE("A few gateways fetch the configuration often")
{
    std::vector<std::string> names;
    names.reserve(31);
    for (int i = 0; i < 31; ++i)
        names.push_back("e" + std::to_string(i));
    auto is_reader_in = [&](std::string const& self, std::size_t dead)
    {
        gateway_state s;
        s.settings.instance = self;
        for (std::size_t i = dead; i < names.size(); ++i)
        {
            if (names[i] != self)
                s.peers[names[i]].last_received_at = now;
        }
        return is_elected_reader(s, now);
    };
    int often = 0;
    for (std::string const& it : names)
        often += is_reader_in(it, 0) ? 1 : 0;
    CHECK(often == 4);
    // Of the remaining ones, the first four by rank take over.
    often = 0;
    for (std::size_t i = 20; i < names.size(); ++i)
        often += is_reader_in(names[i], 20) ? 1 : 0;
    CHECK(often == 4);
    CHECK(is_reader_in("e30", 28));
}

// Guards against a gateway that serves an old configuration, or refuses keys,
// because no reader is left.
TEST_CASE("The configuration is fetched when no confirmation is fresh")
{
    gateway_state s;
    s.settings.key_bound = seconds(5);
    s.config = std::make_shared<gateway_config const>();
    confirm_config(s, now);
    CHECK_FALSE(must_fetch_config(s, now + milliseconds(500)));
    CHECK(must_fetch_config(s, now + milliseconds(1100))); // as a reader
    s.is_reader = false;
    CHECK_FALSE(must_fetch_config(s, now + seconds(3)));
    CHECK(must_fetch_config(s, now + milliseconds(3300)));
    s.is_reader = true;
    s.config_behind_since = now;
    CHECK_FALSE(must_fetch_config(s, now + milliseconds(300)));
    CHECK(must_fetch_config(s, now + milliseconds(500)));
    s.is_store_lost = true; // it is already being fetched
    CHECK_FALSE(must_fetch_config(s, now + milliseconds(500)));
}

// Guards against watches that the store dropped silently while another gateway
// knows (nakhla-keyword, scale-1: a draining upstream was used for two more
// seconds, because its watch received nothing for twenty).
TEST_CASE("A dropped history is reported to the other gateways once")
{
    gateway_state a = state_of("a", "b");
    gateway_state b = state_of("b", "a");
    record_history_dropped(a, now);
    apply_report(
        b, report_to(a, a.peers["b"], now + seconds(1)), now + seconds(1));
    REQUIRE(b.history_dropped);
    steady_time const heard = *b.history_dropped;
    CHECK(heard >= now);
    CHECK(heard < now + milliseconds(5));
    record_history_dropped(b, now + seconds(2)); // the same drop, seen later
    CHECK(*b.history_dropped == heard);
    record_history_dropped(b, now + seconds(4));
    CHECK(*b.history_dropped == now + seconds(4));
}
