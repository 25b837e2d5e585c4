#include "gateway/store_era.hpp"

#include <catch2/catch.hpp>

using namespace marjorambeam;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr steady_time now{seconds(1000)};

gateway_state state_in_era_2(std::int64_t config_version)
{
    gateway_state s;
    gateway_config c;
    c.version = config_version;
    s.config = std::make_shared<gateway_config const>(c);
    CHECK(check_era(s, 1, now - seconds(60)) == era_check::current);
    CHECK(check_era(s, 2, now) == era_check::begun);
    return s;
}

upstream_info upstream(std::int64_t started_ms)
{
    upstream_info u;
    u.id = "u1";
    u.started_unix_ms = started_ms;
    return u;
}

version_rollout
order_of(std::uint64_t revision, version_rollout_state state, bool takes_all)
{
    version_rollout o;
    o.service = "read";
    o.target = "v2";
    o.revision = revision;
    o.state = state;
    o.state_target = state == version_rollout_state::ordered ? "" : "v2";
    o.takes_all = takes_all;
    return o;
}

} // namespace

// Guards against an answer of the era before, late or from a stale replica,
// that is used after one of this era, and against a start that counts as one.
TEST_CASE("Responses of an earlier era are not used")
{
    gateway_state s;
    CHECK(check_era(s, 0, now) == era_check::current);
    CHECK(check_era(s, 3, now) == era_check::current);
    CHECK_FALSE(s.era.begun);
    CHECK(check_era(s, 4, now) == era_check::begun);
    CHECK(check_era(s, 4, now) == era_check::current);
    CHECK(check_era(s, 3, now) == era_check::outdated);
    CHECK(check_era(s, 0, now) == era_check::current);
    CHECK(s.era.begun == now);
    CHECK(check_era(s, 6, now + seconds(9)) == era_check::begun);
    CHECK(s.era.begun == now + seconds(9));
}

// Guards against upstreams that are dropped after an outage that was too short
// to be noticed.
TEST_CASE("Missing entries are uncertain when an era begins")
{
    gateway_state s = state_in_era_2(1);
    CHECK(is_list_uncertain(s, now + rewrite_grace - milliseconds(1)));
    CHECK_FALSE(is_list_uncertain(s, now + rewrite_grace));
    CHECK(is_rewriting(s, now + rewrite_grace - milliseconds(1)));
    CHECK_FALSE(is_rewriting(s, now + rewrite_grace));
}

// Guards against a withdrawn key that is confirmed by a configuration from
// before its withdrawal.
TEST_CASE("An older copy of the configuration confirms nothing")
{
    gateway_state s = state_in_era_2(7);
    steady_time const settled = now + rewrite_grace;
    record_listed_config(s, 7);
    CHECK_FALSE(is_confirmation(s, settled - milliseconds(1), settled));
    CHECK(is_confirmation(s, settled, settled));
    // The store still holds an older one than this gateway.
    record_listed_config(s, 5);
    CHECK_FALSE(is_confirmation(s, settled, settled));
    record_listed_config(s, 7);
    // Another gateway has heard of a newer one.
    gateway_peer& p = s.peers["b"];
    p.last_received_at = settled;
    p.config_version = 9;
    CHECK_FALSE(is_confirmation(s, settled, settled));
    CHECK(is_confirmation(s, settled, settled + seconds(60))); // it is gone
    p.config_version = 7;
    CHECK(is_confirmation(s, settled, settled));
    // A later version can't come from the older copy.
    gateway_config c;
    c.version = 8;
    s.config = std::make_shared<gateway_config const>(c);
    record_listed_config(s, 8);
    CHECK(is_confirmation(s, now + milliseconds(1), now + milliseconds(2)));
}

// Guards against work for upstreams that are gone, and that an older copy of
// the store lists again.
TEST_CASE("An older copy brings no upstream back")
{
    gateway_state s;
    check_era(s, 1, now - seconds(60));
    record_gone_upstream(s, upstream(5), now - seconds(3));
    CHECK_FALSE(is_outdated_entry(s, upstream(5), now)); // it registered again
    check_era(s, 2, now);
    CHECK(is_outdated_entry(s, upstream(5), now));
    CHECK(is_outdated_entry(s, upstream(4), now));
    CHECK_FALSE(is_outdated_entry(s, upstream(6), now));
    CHECK_FALSE(is_outdated_entry(s, upstream(5), now + gone_entry_ttl));
    // An earlier incarnation than the one that serves.
    auto const u = std::make_shared<upstream_state>();
    u->info = upstream(8);
    s.upstreams.by_id["u1"] = u;
    CHECK(is_outdated_entry(s, upstream(7), now));
    CHECK_FALSE(is_outdated_entry(s, upstream(8), now));
    for (std::size_t i = 0; i < max_gone_upstreams + 10; ++i)
    {
        upstream_info more = upstream(1);
        more.id = std::to_string(i);
        record_gone_upstream(s, more, now);
    }
    CHECK(s.era.gone.size() == max_gone_upstreams);
}

// Guards against a rollout that goes back with the store: a bad version that is
// tried again, a good one that loses requests after the old one has stopped, a
// status that is never written again.
TEST_CASE("Progress of a rollout does not go back with the store")
{
    using state = version_rollout_state;
    gateway_state s = state_in_era_2(1);
    for (state const last : {state::completed, state::reverted})
    {
        rollout_progress t;
        take_order(s, t, order_of(40, last, true));
        take_order(s, t, order_of(12, state::in_progress, false));
        CHECK(t.order.state == last);
        CHECK(t.order.state_target == "v2");
        CHECK(t.order.revision == 12);
        CHECK(t.stored.state == state::in_progress);
        take_order(s, t, order_of(13, state::ordered, false));
        CHECK(t.order.state == last);
        CHECK(t.stored.target.empty());
    }
    rollout_progress t;
    take_order(s, t, order_of(40, state::in_progress, true));
    take_order(s, t, order_of(12, state::in_progress, false));
    CHECK(t.order.takes_all);
    take_order(s, t, order_of(13, state::reverted, false));
    CHECK(t.order.state == state::reverted);
    // Another target starts anew.
    version_rollout other = order_of(14, state::ordered, false);
    other.target = "v3";
    take_order(s, t, other);
    CHECK(t.order.state == state::ordered);
    // Without an older copy the store is right.
    gateway_state fresh;
    rollout_progress u;
    take_order(fresh, u, order_of(40, state::reverted, false));
    take_order(fresh, u, order_of(41, state::ordered, false));
    CHECK(u.order.state == state::ordered);
}

// Guards against quarantined parts that are let through because the store has
// lost their entries.
TEST_CASE("Quarantined parts are written again in another era")
{
    gateway_state s;
    check_era(s, 1, now - seconds(60));
    quarantine_key const key{77, 0};
    apply_stored(s.quarantine, {.key = key, .trials = 2}, 40, now);
    check_era(s, 2, now);
    REQUIRE(s.quarantine.entries.contains(key));
    CHECK_FALSE(s.quarantine.entries.at(key).is_stored);
    // An older copy of the entry has fewer trials.
    apply_stored(s.quarantine, {.key = key, .trials = 1}, 12, now);
    CHECK(s.quarantine.entries.at(key).document.trials == 2);
    CHECK(s.quarantine.entries.at(key).revision == 12);
}

// Guards against a gateway that starts while the store lacks the newest and
// serves what it holds, and against one that waits without need.
TEST_CASE("A gateway that starts waits unless the era is recorded")
{
    bool const is_recorded = GENERATE(false, true);
    CAPTURE(is_recorded);
    gateway_state s;
    s.settings.instance = "b";
    check_era(s, 2, now);
    record_era_lookup(s, is_recorded, now);
    CHECK(waits_for_lost_objects(s, now) != is_recorded);
    steady_time const later = now + rewrite_grace;
    CHECK_FALSE(waits_for_lost_objects(s, later));
    CHECK_FALSE(is_record_due(s, now));
    CHECK(is_record_due(s, later) != is_recorded);
    // One of them writes the record.
    s.peers["a"].last_received_at = later;
    CHECK_FALSE(is_record_due(s, later));
    // A gateway that serves goes on when another era begins.
    check_era(s, 3, later);
    CHECK_FALSE(waits_for_lost_objects(s, later));
    CHECK(is_record_due(s, later + seconds(60)));
}

// Guards against a gateway that starts while the store comes back from an older
// copy, and serves with the keys of that copy: its first configuration is later
// than none, and it knows no peers (soak, seed 9002).
TEST_CASE("The first configuration of a gateway is not taken as written again")
{
    gateway_config older;
    older.version = 5;
    auto const config = std::make_shared<gateway_config const>(older);
    gateway_state s;
    check_era(s, 1, now - milliseconds(10));
    // The era begins before it has read a configuration.
    REQUIRE(check_era(s, 2, now) == era_check::begun);
    s.config = config;
    record_listed_config(s, 5);
    record_confirmation(s, now + milliseconds(5), now + milliseconds(9));
    CHECK_FALSE(s.config_confirmed);
    steady_time const settled = now + rewrite_grace;
    record_confirmation(s, settled, settled + milliseconds(9));
    CHECK(s.config_confirmed == settled);
}

// Guards against a confirmation that comes before it is known whether the store
// has just come back from an older copy.
TEST_CASE("A confirmation counts once the era of the store is known")
{
    bool const is_recorded = GENERATE(true, false);
    CAPTURE(is_recorded);
    gateway_config older;
    older.version = 5;
    gateway_state s;
    check_era(s, 2, now);
    s.config = std::make_shared<gateway_config const>(older);
    record_listed_config(s, 5);
    record_confirmation(s, now - milliseconds(5), now);
    record_confirmation(s, now - milliseconds(9), now);
    CHECK_FALSE(s.config_confirmed);
    record_era_lookup(s, is_recorded, now + milliseconds(3));
    CHECK(s.config_confirmed.has_value() == is_recorded);
    if (is_recorded)
        CHECK(*s.config_confirmed == now - milliseconds(5));
}
