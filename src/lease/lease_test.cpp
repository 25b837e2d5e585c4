#include "lease/lease.hpp"

#include "fakes/object_api/fake_object_api.hpp"
#include "lease/lease_keeper.hpp"

#include <array>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <rapidcheck.h>

using namespace marjorambeam;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

// RapidCheck reads its seed from the environment before its first property.
bool const has_seed =
    setenv("RC_PARAMS", "seed=20261204 max_success=500 max_size=200", 0) == 0;

lease_rules const rules;

clock_pair at(duration since, duration skew = duration{0})
{
    duration const start = seconds(1000000);
    return {wall_time(start + since + skew), steady_time(start + since)};
}

// One object with conditional updates.
struct one_object
{
    std::uint64_t revision = 0;
    std::string value;

    lease_reply carry_out(lease_call const& call)
    {
        if (call.kind == lease_call_kind::read && revision == 0)
            return {.kind = error_kind::not_found};
        if (call.kind == lease_call_kind::read)
            return {.is_ok = true, .revision = revision, .value = value};
        if (call.revision != revision)
            return {.kind = error_kind::conflict};
        ++revision;
        value = to_json(call.record);
        return {.is_ok = true, .revision = revision};
    }
};

// Executes all due calls without loss.
void settle(lease_state& s, one_object& o, clock_pair now)
{
    for (int i = 0; i < 5; ++i)
    {
        lease_call const call = next_call(s, now);
        if (call.kind == lease_call_kind::none)
            return;
        on_reply(s, o.carry_out(call), now);
    }
}

} // namespace

// Guards against two holders at once, or a next holder without a larger fencing
// number, when clocks differ, holders are paused and calls are lost or late.
TEST_CASE("at most one process may act, and fencing numbers grow")
{
    REQUIRE(has_seed);
    CHECK(rc::check(
        "one holder",
        [](std::vector<std::uint16_t> const& steps)
        {
            constexpr std::array<int, 3> skew_ms = {-1000, 0, 1000};
            std::array<lease_state, 3> holders = {
                make_lease("a", rules), make_lease("b", rules),
                make_lease("c", rules)};
            std::array<std::optional<lease_call>, 3> late;
            one_object o;
            duration now{0};
            std::size_t last = 3;
            std::uint64_t last_fencing = 0;
            for (std::uint16_t const it : steps)
            {
                std::size_t const i = it % 3;
                now += milliseconds(it / 64U * (it % 5 == 0 ? 20U : 1U));
                clock_pair const mine = at(now, milliseconds(skew_ms[i]));
                lease_state& s = holders[i];
                lease_call const call = next_call(s, mine);
                if (call.kind != lease_call_kind::none)
                {
                    std::uint16_t const fate = it / 3 % 4;
                    // 0: call lost, 1: response lost, 2: applied later,
                    // 3: response received.
                    lease_reply reply{.kind = error_kind::store_unavailable};
                    if (fate == 1 || fate == 3)
                        reply = o.carry_out(call);
                    if (fate == 1)
                        reply = {.kind = error_kind::store_unavailable};
                    if (fate == 2)
                        late[i] = call;
                    on_reply(s, reply, mine);
                }
                if (it % 7 == 0 && late[it / 7 % 3])
                {
                    o.carry_out(*late[it / 7 % 3]);
                    late[it / 7 % 3].reset();
                }
                int acting = 0;
                for (std::size_t j = 0; j < 3; ++j)
                {
                    if (!may_act(holders[j], at(now, milliseconds(skew_ms[j]))))
                        continue;
                    ++acting;
                    RC_ASSERT(holders[j].fencing >= last_fencing);
                    RC_ASSERT(j == last || holders[j].fencing > last_fencing);
                    last = j;
                    last_fencing = holders[j].fencing;
                }
                RC_ASSERT(acting <= 1);
            }
        }));
}

// Guards against a holder that acts after its lease expired during a pause, and
// against a next holder that starts before the lease has ended on any clock.
TEST_CASE("a paused holder does not act and the next holder waits and gets a "
          "larger number")
{
    one_object o;
    lease_state a = make_lease("a", rules);
    lease_state b = make_lease("b", rules);
    settle(a, o, at(seconds(0)));
    REQUIRE(may_act(a, at(seconds(14))));
    CHECK(a.fencing == 1);
    settle(b, o, at(seconds(16)));
    CHECK_FALSE(may_act(b, at(seconds(16))));
    CHECK_FALSE(may_act(a, at(seconds(15))));
    CHECK(a.lost == 1);
    settle(b, o, at(seconds(21)));
    CHECK(may_act(b, at(seconds(21))));
    CHECK(b.fencing == 2);
    settle(a, o, at(seconds(22)));
    CHECK_FALSE(may_act(a, at(seconds(22))));
}

// Guards against a holder that keeps acting after its wall clock was set back,
// while for other processes the lease has already expired.
TEST_CASE("a stepped clock ends the lease")
{
    one_object o;
    lease_state a = make_lease("a", rules);
    settle(a, o, at(seconds(0)));
    CHECK(may_act(a, at(seconds(2), milliseconds(900))));
    duration const step = GENERATE(milliseconds(-1100), milliseconds(1100));
    CHECK_FALSE(may_act(a, at(seconds(2), step)));
    CHECK_FALSE(may_act(a, at(seconds(2))));

    lease_state b = make_lease("b", rules);
    settle(b, o, at(seconds(3)));
    settle(b, o, at(seconds(9), seconds(3600)));
    CHECK_FALSE(may_act(b, at(seconds(9), seconds(3600))));
}

// Guards against dropping a lease, or holding it too long, when only the
// response to its renewal was lost.
TEST_CASE("a lost response is resolved by reading the lease")
{
    one_object o;
    lease_state a = make_lease("a", rules);
    settle(a, o, at(seconds(0)));
    lease_call const renewal = next_call(a, at(seconds(5)));
    REQUIRE(renewal.kind == lease_call_kind::update);
    o.carry_out(renewal);
    on_reply(a, {.kind = error_kind::store_unavailable}, at(seconds(6)));
    settle(a, o, at(seconds(8)));
    CHECK(may_act(a, at(seconds(19))));
    CHECK(a.fencing == 1);
    CHECK_FALSE(may_act(a, at(seconds(20))));
}

// Guards against counting the lifetime from a slow response, which would end
// later than the stored lease that others read.
TEST_CASE("a lease counts from before the write was sent")
{
    one_object o;
    lease_state a = make_lease("a", rules);
    on_reply(a, o.carry_out(next_call(a, at(seconds(0)))), at(seconds(0)));
    lease_call const write = next_call(a, at(seconds(0)));
    on_reply(a, o.carry_out(write), at(seconds(6)));
    CHECK(may_act(a, at(seconds(14))));
    CHECK_FALSE(may_act(a, at(seconds(15))));
}

// Guards against a release that resets the fencing number or makes others wait
// until the lease would have expired.
TEST_CASE("a released lease is acquired at once with a larger fencing number")
{
    one_object o;
    lease_state a = make_lease("a", rules);
    settle(a, o, at(seconds(0)));
    release(a, at(seconds(1)));
    CHECK_FALSE(may_act(a, at(seconds(1))));
    CHECK_FALSE(is_released(a));
    settle(a, o, at(seconds(1)));
    CHECK(is_released(a));
    lease_state b = make_lease("b", rules);
    settle(b, o, at(seconds(1)));
    CHECK(may_act(b, at(seconds(1))));
    CHECK(b.fencing == 2);
}

// Guards against a keeper that stops acquiring or renewing after lost responses
// of the store.
TEST_CASE("keepers hand a lease over through the object API")
{
    ev::dynamic_loop loop;
    fake_object_api api(loop, {});
    api.set_faults({.lose_answers = 1});
    http_client http(loop);
    object_store store(http, api.url());
    lease_rules fast;
    fast.retry_after = milliseconds(20);
    fast.poll_after = milliseconds(20);
    lease_keeper a(loop, store, "rollout", "a", fast);
    std::unique_ptr<lease_keeper> b;
    bool was_released = false;
    a.on_change(
        [&](bool is_held)
        {
            if (!is_held)
                return;
            CHECK(a.fencing() == 1);
            b = std::make_unique<lease_keeper>(
                loop, store, "rollout", "b", fast);
            b->on_change([&](bool) { loop.break_loop(ev::ALL); });
            a.release([&] { was_released = true; });
        });
    loop_timer limit(loop, [&] { loop.break_loop(ev::ALL); });
    limit.start(seconds(10));
    loop.run();
    REQUIRE(b);
    CHECK(was_released);
    CHECK(b->may_act());
    CHECK(b->fencing() == 2);
}
