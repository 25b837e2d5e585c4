#include "entry/service_fleet_test_support.hpp"

using namespace marjorambeam;
using namespace marjorambeam::test;

namespace
{

std::string timed_key(std::uint64_t n)
{
    return make_uuid7(to_unix_ms(wall_now()), n);
}

double redirects(service_fleet const& f, std::string const& entry)
{
    return f.entries.at(entry)->state().cluster.counters.counter(
        "retries_total", "refused_owner");
}

} // namespace

// Guards against a second execution when a caller repeats its call at another
// entry, and against a repetition that doesn't receive the outcome (I9).
TEST_CASE("a key sent to two entries runs once and both receive the outcome")
{
    service_fleet f(2, 3);
    for (std::string const& key : {timed_key(1), std::string("charge-1")})
    {
        std::uint64_t const before = f.executions();
        service_response const first = f.call("e0", key);
        INFO(first.body);
        CHECK(first.status == 200);
        service_response const second = f.call("e1", key);
        INFO(second.body);
        CHECK(second.status == 200);
        CHECK(second.body == first.body);
        CHECK(f.executions() == before + 1);
    }
}

// Guards against two executions of concurrent calls with one key, and against
// a refusal that reports not_run while the other call runs.
TEST_CASE("a key sent to two entries concurrently runs once")
{
    service_fleet f(2, 3);
    REQUIRE(f.wait_for_owners());
    for (auto const& it : f.services)
        it->set_faults({.delay = milliseconds(200)});
    for (std::string const& key : {timed_key(2), std::string("charge-2")})
    {
        std::uint64_t const before = f.executions();
        auto const a = f.send("e0", key);
        auto const b = f.send("e1", key);
        bool const has_both = f.run_until([&] { return *a && *b; });
        REQUIRE(has_both);
        CHECK(f.executions() == before + 1);
        CHECK(((*a)->status == 200) != ((*b)->status == 200));
        service_response const& refused = (*a)->status == 200 ? **b : **a;
        CHECK(refused.kind == "key_in_progress");
        CHECK(refused.run == "unknown");
    }
}

// Guards against a first call after startup that is refused because its key
// has no owner yet, or that waits for the acquisition delays of other ranks.
TEST_CASE("the first call after startup succeeds within two seconds")
{
    for (std::size_t const agents : {1U, 4U})
    {
        service_fleet f(1, agents);
        steady_time const start = steady_now();
        service_response const a = f.call("e0", "");
        INFO(a.body);
        CHECK(a.status == 200);
        CHECK(steady_now() - start < std::chrono::seconds(2));
        REQUIRE(f.wait_for_owners());
        CHECK(steady_now() - start < std::chrono::seconds(3));
    }
}

// Guards against a redirect on every call, which doubles its latency.
TEST_CASE("calls are sent to the owner of their key first")
{
    service_fleet f(1, 4);
    REQUIRE(f.wait_for_owners());
    constexpr std::uint64_t calls = 64;
    for (std::uint64_t i = 0; i < calls; ++i)
        CHECK(f.call("e0", timed_key(i)).status == 200);
    INFO("redirects " << redirects(f, "e0"));
    // Until a partition is handed over to its preferred owner, another agent
    // may own it, which costs the entry one redirect.
    CHECK(redirects(f, "e0") <= keyspace_partitions);
    CHECK(f.executions() == calls);
}

// Guards against a second execution after the owner lost its in-memory records,
// and against a response that reports not_run for the first (I8, I9).
TEST_CASE("a key runs at most once across a restart of its owner")
{
    service_fleet f(1, 1);
    for (std::string const& key : {timed_key(3), std::string("charge-3")})
    {
        std::uint64_t const before = f.executions();
        REQUIRE(f.call("e0", key).status == 200);
        f.restart_agent(0);
        service_response late;
        bool const has_outcome = f.run_until(
            [&]
            {
                late = f.call("e0", key);
                return late.run != "not_run";
            });
        REQUIRE(has_outcome);
        INFO(late.body);
        CHECK(f.executions() == before + 1);
        CHECK(late.status == 409);
        CHECK(late.run == "unknown");
    }
}

// Guards against calls without a key that fail for 4 s after a restart, while
// the owner refuses every key with a timestamp.
TEST_CASE("a call without a key runs immediately after a restart of the owner")
{
    service_fleet f(1, 1);
    REQUIRE(f.call("e0", "").status == 200);
    f.restart_agent(0);
    REQUIRE(f.wait_for_owners());
    steady_time const start = steady_now();
    service_response a;
    bool const has_run = f.run_until(
        [&]
        {
            a = f.call("e0", "");
            return a.status == 200;
        });
    REQUIRE(has_run);
    CHECK(steady_now() - start < std::chrono::seconds(3));
    CHECK(f.executions() == 2);
    auto const& counters = f.entries.at("e0")->state().cluster.counters;
    CHECK(counters.counter("keys_replaced_total", "key_expired") == 1);
}

// Guards against an execution without a durable reservation, and against
// refusals of keys that the owner can evaluate without the object API.
TEST_CASE("a key without a timestamp is refused while the object API is down")
{
    service_fleet f(1, 2);
    REQUIRE(f.wait_for_owners());
    f.api.set_faults({.down = true});
    service_response const a = f.call("e0", "charge-4");
    CHECK(a.status == 503);
    CHECK(a.kind == "keyspace_unavailable");
    CHECK(a.run == "not_run");
    CHECK(f.executions() == 0);
    CHECK(f.call("e0", timed_key(4)).status == 200);
    f.api.set_faults({});
    service_response b;
    bool const has_run = f.run_until(
        [&]
        {
            b = f.call("e0", "charge-4");
            return b.status == 200;
        });
    CHECK(has_run);
    CHECK(f.executions() == 2);
}

// Guards against a lost response of the object API that makes an agent's own
// reservation look like another agent's, or lets the call run twice.
TEST_CASE("a call whose reservation response was lost runs at most once")
{
    service_fleet f(1, 1);
    REQUIRE(f.wait_for_owners());
    f.api.set_faults({.lose_answers = 1});
    service_response const a = f.call("e0", "charge-5");
    CHECK(a.run == "not_run");
    CHECK(f.executions() == 0);
    service_response const b = f.call("e0", "charge-5");
    INFO(b.body);
    CHECK(b.status == 200);
    CHECK(f.executions() == 1);
}

// Guards against returning the outcome of one request for another.
TEST_CASE("a key reused for a different request is refused")
{
    service_fleet f(1, 1);
    std::string const key = timed_key(6);
    REQUIRE(f.call("e0", key).status == 200);
    f.amount = "4";
    service_response const a = f.call("e0", key);
    CHECK(a.kind == "key_reused");
    CHECK(f.executions() == 1);
}

// Guards against a request that is redirected back and forth between agents
// after the owner of its key was lost, and against a refusal that is not final.
TEST_CASE("a key whose owner was lost is refused as not run")
{
    service_fleet f(1, 3);
    REQUIRE(f.wait_for_owners());
    std::string const key = timed_key(7);
    REQUIRE(f.call("e0", key).status == 200);
    std::size_t lost = 0;
    while (f.services[lost]->total() == 0)
        ++lost;
    f.agents.erase("a" + std::to_string(lost));
    steady_time const start = steady_now();
    service_response a = f.call("e0", key);
    INFO(a.body);
    CHECK(a.kind == "keyspace_unavailable");
    CHECK(a.run == "not_run");
    CHECK(steady_now() - start < std::chrono::seconds(3));
    CHECK(f.executions() == 1);
}

// Guards against partitions without an owner until the lease expires after a
// planned shutdown, and against an exit before the admitted call has ended.
TEST_CASE(
    "a planned shutdown completes its calls and hands over its partitions")
{
    service_fleet f(1, 2);
    REQUIRE(f.wait_for_owners());
    for (auto const& it : f.services)
        it->set_faults({.delay = milliseconds(300)});
    std::string const key = timed_key(8);
    auto const first = f.send("e0", key);
    bool const is_running = f.run_until([&] { return f.executions() == 1; });
    REQUIRE(is_running);
    std::string const name = f.services[0]->total() == 1 ? "a0" : "a1";
    agent_daemon& draining = *f.agents.at(name);
    draining.begin_shutdown();
    bool const is_stopped = f.run_until([&] { return draining.is_stopped(); });
    REQUIRE(is_stopped);
    CHECK(draining.exit_code() == 0);
    bool const has_response = f.run_until([&] { return first->has_value(); });
    REQUIRE(has_response);
    CHECK((*first)->status == 200);
    f.agents.erase(name);
    f.list.erase(name);
    REQUIRE(f.wait_for_owners());
    service_response const again = f.call("e0", key);
    CHECK(again.run == "unknown");
    CHECK(f.executions() == 1);
}
