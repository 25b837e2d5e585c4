#include "entry/service_fleet_test_support.hpp"

using namespace marjorambeam;
using namespace marjorambeam::test;

namespace
{

constexpr micro_credits price = 7;

// Makes the agent post soon after the entry has gone away.
usage_keeper_settings fast_posting()
{
    usage_keeper_settings s;
    s.gone_after = milliseconds(100);
    s.posting.quiet_period = milliseconds(20);
    s.posting.initial_retry_delay = milliseconds(50);
    s.posting.max_retry_delay = milliseconds(50);
    return s;
}

} // namespace

// Guards against a call that is never billed because its entry terminated
// before posting the record (I4).
TEST_CASE("the agent bills a call whose entry has terminated")
{
    service_fleet f(2, 1, fast_posting());
    REQUIRE(f.call("e0", "").status == 200);
    REQUIRE(f.segments() == 0);
    f.end_entry("e0");
    bool const is_posted = f.run_until([&] { return f.segments() == 1; });
    REQUIRE(is_posted);
    bill const b = f.ledger();
    REQUIRE(b.lines().size() == 1);
    CHECK(b.lines().begin()->second.poster == process_role::agent);
    CHECK(b.total("havbris").cost == price);
    bool const is_free =
        f.run_until([&] { return f.agents.at("a0")->state().held_usage == 0; });
    CHECK(is_free);
}

// Guards against a second line when the agent posts before the entry's
// confirmation arrives.
TEST_CASE("a call billed by both entry and agent has one line")
{
    usage_keeper_settings s = fast_posting();
    s.hold_time = milliseconds(1);
    service_fleet f(1, 1, s);
    REQUIRE(f.call("e0", "").status == 200);
    bool const is_posted = f.run_until([&] { return f.segments() == 2; });
    REQUIRE(is_posted);
    bill const b = f.ledger();
    REQUIRE(b.lines().size() == 1);
    CHECK(b.lines().begin()->second.poster == process_role::entry);
    CHECK(b.total("havbris").cost == price);
}

// Guards against agents that retain and post records which the entry has
// already posted, and against a bill line for a replayed response.
TEST_CASE("a settled call and its replay produce one line and no held record")
{
    service_fleet f(2, 1, fast_posting());
    REQUIRE(f.call("e0", "charge-1").status == 200);
    REQUIRE(f.agents.at("a0")->state().held_usage <= 1);
    REQUIRE(f.call("e1", "charge-1").status == 200);
    bool const is_settled = f.run_until(
        [&] {
            return f.segments() > 0 &&
                   f.agents.at("a0")->state().held_usage == 0;
        });
    REQUIRE(is_settled);
    CHECK(f.segments() == 1);
    CHECK(f.ledger().lines().size() == 1);
    CHECK(f.ledger().total("havbris").cost == price);
}

// Guards against records that are dropped while the store is unavailable.
TEST_CASE("no record is lost during a store outage")
{
    usage_keeper_settings s = fast_posting();
    s.hold_time = milliseconds(50);
    service_fleet f(2, 2, s);
    REQUIRE(f.wait_for_owners());
    f.api.set_faults({.down = true});
    constexpr std::size_t calls = 8;
    for (std::size_t i = 0; i < calls; ++i)
        REQUIRE(f.call("e0", "").status == 200);
    f.end_entry("e0");
    // Each agent has tried to post.
    std::uint64_t const refused = f.api.counts().refused_down;
    bool const is_tried = f.run_until(
        [&] { return f.api.counts().refused_down >= refused + 10; });
    REQUIRE(is_tried);
    CHECK(f.segments() == 0);
    f.api.set_faults({});
    bool const is_billed =
        f.run_until([&] { return f.ledger().lines().size() == calls; });
    CHECK(is_billed);
    CHECK(f.ledger().total("havbris").cost == price * calls);
}

// Guards against records that are lost on a graceful shutdown.
TEST_CASE("an agent posts its held records on shutdown")
{
    service_fleet f(1, 1, fast_posting());
    REQUIRE(f.call("e0", "").status == 200);
    agent_daemon& agent = *f.agents.at("a0");
    agent.begin_shutdown();
    bool const is_stopped = f.run_until([&] { return agent.is_stopped(); });
    REQUIRE(is_stopped);
    CHECK(agent.exit_code() == 0);
    CHECK(f.segments() >= 1);
    CHECK(f.ledger().lines().size() == 1);
}

// Guards against usage records lost on a graceful shutdown while the object API
// is down, which would leave the agent's copy as the only one (I4, I11).
TEST_CASE(
    "an entry that shuts down without the store hands its usage records over")
{
    service_fleet f(2, 1);
    REQUIRE(f.call("e0", "").status == 200);
    f.api.set_faults({.down = true});
    entry_daemon& e0 = *f.entries.at("e0");
    e0.begin_shutdown();
    bool const is_over = f.run_until(
        [&]
        {
            return f.entries.at("e1")->state().cluster.counters.render().find(
                       "usage_records_held 1\n") != std::string::npos;
        });
    REQUIRE(is_over);
    f.api.set_faults({});
    bool const is_posted = f.run_until([&] { return f.segments() >= 1; });
    REQUIRE(is_posted);
    bill const b = f.ledger();
    REQUIRE(b.lines().size() == 1);
    CHECK(b.lines().begin()->second.poster == process_role::entry);
    CHECK(b.total("havbris").cost == price);
}
