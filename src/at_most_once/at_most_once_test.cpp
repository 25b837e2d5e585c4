#include "at_most_once/deduplication_window.hpp"
#include "at_most_once/keyspace_lease_manager.hpp"
#include "event_loop/event_loop.hpp"
#include "fakes/object_api/fake_object_api.hpp"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <rapidcheck.h>
#include <set>

using namespace marjorambeam;

namespace
{

// RapidCheck draws a seed at random unless this is set before its first use.
[[maybe_unused]] bool const has_fixed_seed =
    setenv("RC_PARAMS", "seed=1", 0) == 0;

constexpr std::int64_t start_ms = 1'750'000'000'000;
constexpr at_most_once_limits limits;

clock_reading at(std::int64_t ms)
{
    return {start_ms + ms, ms};
}

partition_state owner_state()
{
    partition_state s;
    on_lease_written(
        s, {.process = 1, .epoch = 1, .lease_end_ms = start_ms + 60'000},
        at(0));
    return s;
}

key_request with_time(std::int64_t ms, std::uint64_t n = 1)
{
    return {"havbris", "line-control", make_uuid7(start_ms + ms, n), 7};
}

key_request without_time()
{
    return {"havbris", "line-control", "order-17", 7};
}

error_kind refused(key_admission const& a)
{
    REQUIRE(a.step == key_step::refuse);
    return a.refusal.kind;
}

} // namespace

// Guards against an owner that admits with a lease that is over by either
// clock, or after its wall clock was set.
TEST_CASE("an owner admits only with a valid lease and a steady clock")
{
    partition_state s = owner_state();
    REQUIRE(may_admit(s, at(59'999), limits));
    REQUIRE_FALSE(may_admit(s, at(60'000), limits));
    REQUIRE(may_admit(s, {start_ms + 1000, 0}, limits));
    REQUIRE_FALSE(may_admit(s, {start_ms + 1001, 0}, limits));
    REQUIRE_FALSE(may_admit(s, {start_ms, 1001}, limits));
    begin_release(s);
    REQUIRE_FALSE(may_admit(s, at(0), limits));
}

// Guards against a bound that lets a key of the previous owner run again, and
// against a partition that stays without an owner longer than it has to.
TEST_CASE("a partition is renewed, taken and released within its bounds")
{
    keyspace_candidate const self{"lc-1", "127.0.0.1:1", 1, 0};
    keyspace_candidate other{"lc-2", "127.0.0.2:1", 2, 1};
    partition_state s;
    keyspace_record r = plan_keyspace(s, {}, self, at(0), limits).record;
    on_lease_written(s, r, at(0));
    using step = keyspace_step;
    auto const plan = [&](partition_state const& p, auto const& who, auto ms)
    { return plan_keyspace(p, r, who, at(ms), limits); };
    REQUIRE(plan(s, self, 19'999).step == step::wait);
    REQUIRE(plan(s, self, 20'000).step == step::renew);
    partition_state fresh;
    REQUIRE(plan(fresh, other, 62'999).step == step::wait);
    keyspace_plan const taken = plan(fresh, other, 63'000);
    REQUIRE(taken.step == step::acquire);
    REQUIRE(taken.record.epoch == 2);
    REQUIRE(taken.record.bound_ms == start_ms + 62'000);
    keyspace_candidate again = self;
    again.process = 3;
    REQUIRE(plan(fresh, again, 5).record.bound_ms == start_ms + 4'006);
    REQUIRE(plan(fresh, again, 59'000).record.bound_ms == start_ms + 62'000);
    s.max_admitted_ms = start_ms + 10;
    begin_release(s);
    keyspace_plan const released =
        plan_keyspace(s, r, self, at(50), limits, "lc-2");
    REQUIRE(released.step == step::release);
    r = released.record;
    REQUIRE(r.bound_ms == start_ms + 11);
    update_vacancy(fresh, r, at(60));
    REQUIRE(plan(fresh, other, 1'060).step == step::acquire);
    REQUIRE(plan(fresh, self, 5'059).step == step::wait);
    REQUIRE(plan(fresh, self, 5'060).step == step::acquire);
    REQUIRE(*parse_keyspace_record(to_json(r)) == r);
    REQUIRE_FALSE(parse_keyspace_record("{}"));
}

// Guards against a key that runs twice, runs for another request, or is
// refused with a wrong kind.
TEST_CASE("a key with a time runs once and its recorded response is replayed")
{
    partition_state s = owner_state();
    s.bound_ms = start_ms - 5'000;
    deduplication_window w(1);
    key_request const r = with_time(0);
    REQUIRE(w.admit(s, r, true, at(0)).step == key_step::run);
    REQUIRE(refused(w.admit(s, r, true, at(1))) == error_kind::key_in_progress);
    key_request changed = r;
    changed.fingerprint = 8;
    REQUIRE(
        refused(w.admit(s, changed, true, at(1))) == error_kind::key_reused);
    w.complete(r, {201, "text/plain", "done"});
    key_admission const a = w.admit(s, r, true, at(2));
    REQUIRE(a.step == key_step::replay);
    REQUIRE(a.outcome->status == 201);
    REQUIRE(a.outcome->body == "done");
    REQUIRE(
        refused(w.admit(s, with_time(-5'001), true, at(0))) ==
        error_kind::key_expired);
    REQUIRE(
        refused(w.admit(s, with_time(2'001), true, at(0))) ==
        error_kind::key_time_invalid);
    REQUIRE(
        refused(w.admit(s, with_time(60'000), true, at(60'000))) ==
        error_kind::not_keyspace_owner);
}

// Guards against a run state that claims more than is known.
TEST_CASE("unknown, withdrawn and large outcomes")
{
    partition_state s = owner_state();
    deduplication_window w(1, {.body_bytes = 4});
    w.admit(s, with_time(0), true, at(0));
    w.complete_unknown(with_time(0));
    key_admission a = w.admit(s, with_time(0), true, at(0));
    REQUIRE(refused(a) == error_kind::key_outcome_unknown);
    REQUIRE(a.refusal.run == run_state::unknown);
    w.admit(s, with_time(1), true, at(0));
    w.complete_not_run(with_time(1));
    REQUIRE(w.admit(s, with_time(1), true, at(0)).step == key_step::run);
    w.complete(with_time(1), {200, "", "12345"});
    a = w.admit(s, with_time(1), true, at(0));
    REQUIRE(refused(a) == error_kind::key_outcome_unknown);
    REQUIRE(a.refusal.run == run_state::ran);
}

// Guards against a key without a time that runs before it is reserved, or for
// a reservation that isn't this attempt's.
TEST_CASE("a key without a time is reserved in the store first")
{
    partition_state s = owner_state();
    deduplication_window w(1);
    key_request const r = without_time();
    REQUIRE(
        refused(w.admit(s, r, false, at(0))) ==
        error_kind::keyspace_unavailable);
    key_admission const first = w.admit(s, r, true, at(0));
    REQUIRE(first.step == key_step::reserve);
    REQUIRE(refused(w.admit(s, r, true, at(0))) == error_kind::key_in_progress);
    result<void> const lost = fail(error_kind::store_unavailable, "lost");
    result<void> const taken = fail(error_kind::conflict, "taken");
    key_admission a = w.on_reservation_created(r, lost);
    REQUIRE(refused(a) == error_kind::keyspace_unavailable);
    REQUIRE(a.refusal.run == run_state::not_run);
    REQUIRE(w.admit(s, r, true, at(1)).step == key_step::reserve);
    REQUIRE(
        w.on_reservation_created(r, taken).step == key_step::read_reservation);
    REQUIRE(
        w.on_reservation_read(r, first.reservation_value).step ==
        key_step::run);
    deduplication_window other(2);
    other.admit(s, r, true, at(2));
    other.on_reservation_created(r, taken);
    a = other.on_reservation_read(r, first.reservation_value);
    REQUIRE(refused(a) == error_kind::key_outcome_unknown);
    key_request changed = r;
    changed.fingerprint = 8;
    other.admit(s, changed, true, at(2));
    other.on_reservation_created(changed, taken);
    a = other.on_reservation_read(changed, first.reservation_value);
    REQUIRE(refused(a) == error_kind::key_reused);
}

// Guards against a window that grows without bound, or runs a key again after
// its removal.
TEST_CASE("no order of admissions, ends and times runs a key twice")
{
    CHECK(rc::check(
        []()
        {
            at_most_once_limits const times{.window_ms = 5'000};
            deduplication_window w(
                1, {.times = times, .keys = 4, .total_bytes = 8});
            partition_state s = owner_state();
            std::set<std::uint64_t> ran;
            std::int64_t ms = 0;
            auto const steps =
                *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 40));
            for (int const step : steps)
            {
                auto const n = static_cast<std::uint64_t>(step % 8);
                key_request const r =
                    with_time(static_cast<std::int64_t>(n) * 1'500, n);
                if (step < 16)
                {
                    if (w.admit(s, r, true, at(ms)).step == key_step::run)
                        RC_ASSERT(ran.insert(n).second);
                }
                else if (step < 24)
                    w.complete(r, {200, "", "body"});
                else if (step < 30)
                    w.complete_unknown(r);
                else
                    ms += 700;
                RC_ASSERT(w.size() <= 4U);
                RC_ASSERT(w.recorded_bytes() <= 8U);
            }
        }));
}

// Guards against two owners, lost partitions after lost responses, and a
// handover that never ends, over a real connection.
TEST_CASE(
    "two lease managers share the partitions and one takes over from the other")
{
    ev::dynamic_loop loop;
    fake_object_api api(loop, {.writes_per_second = 0, .reads_per_second = 0});
    http_client client(loop);
    object_store store(client, api.url());
    keyspace_lease_manager a(store, "lc", {"a", "127.0.0.1:1", 1});
    keyspace_lease_manager b(store, "lc", {"b", "127.0.0.1:2", 2});
    std::vector<std::string> live{"a", "b"};
    std::int64_t ms = 0;
    bool has_two_owners = false;
    std::function<bool()> is_done;
    loop_timer ticker(
        loop,
        [&]
        {
            ms += 100;
            a.tick(at(ms), live);
            b.tick(at(ms), live);
            for (std::uint32_t p = 0; p < keyspace_partitions; ++p)
                has_two_owners |= may_admit(a.state(p), at(ms), limits) &&
                                  may_admit(b.state(p), at(ms), limits);
            if (is_done() || ms > 300'000)
                loop.break_loop(ev::ALL);
        });
    ticker.start_every(std::chrono::milliseconds(1));
    api.set_faults({.lose_every_nth = 3});
    is_done = [&] { return a.owned() + b.owned() == keyspace_partitions; };
    loop.run();
    REQUIRE(is_done());
    REQUIRE(a.owned() > 0);
    REQUIRE(b.owned() > 0);
    a.begin_shutdown();
    is_done = [&] { return b.owned() == keyspace_partitions; };
    loop.run();
    REQUIRE(is_done());
    REQUIRE(a.owned() == 0);
    REQUIRE(b.owner(0) == "b");
    REQUIRE(b.is_store_available());
    REQUIRE_FALSE(has_two_owners);
}
