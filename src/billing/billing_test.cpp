#include "billing/ledger_poster.hpp"
#include "billing/usage_batcher.hpp"
#include "event_loop/event_loop.hpp"
#include "fakes/object_api/fake_object_api.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <random>
#include <rapidcheck.h>

using namespace marjorambeam;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

// RapidCheck draws a seed at random unless this is set before its first use.
[[maybe_unused]] bool const has_fixed_seed =
    setenv("RC_PARAMS", "seed=1", 0) == 0;

constexpr incarnation self = 0xabc;

usage_record make_record(std::string id, process_role poster)
{
    usage_record r;
    r.request_id = std::move(id);
    r.customer = "havbris";
    r.target = "seam@v1";
    r.poster = poster;
    r.stages.push_back(
        {.target = "seam@v1",
         .tokens_in = 10,
         .tokens_out = 3,
         .price_in = 2,
         .price_out = 5});
    return r;
}

usage_record entry_record(std::string id)
{
    return make_record(std::move(id), process_role::entry);
}

rc::Gen<usage_record> any_record()
{
    return rc::gen::exec(
        []()
        {
            usage_record r = make_record(
                "r" + std::to_string(*rc::gen::inRange(0, 5)),
                *rc::gen::arbitrary<bool>() ? process_role::entry
                                            : process_role::agent);
            r.is_whole = *rc::gen::arbitrary<bool>();
            r.attempts = *rc::gen::inRange(1, 4);
            r.stages[0].tokens_out = *rc::gen::inRange<std::uint64_t>(0, 9);
            return r;
        });
}

error store_error(error_kind kind, run_state run)
{
    error e = make_error(kind, "test");
    e.run = run;
    return e;
}

} // namespace

// Guards against a wrong price, a truncated response that is charged, and an
// amount that wraps around.
TEST_CASE("the cost is tokens by price, zero when truncated, and never wraps")
{
    usage_record r = entry_record("r1");
    REQUIRE(cost_of(r) == 35);
    service s;
    s.price = 7;
    r.stages.push_back(service_stage(s));
    REQUIRE(cost_of(r) == 42);
    r.is_whole = false;
    REQUIRE(cost_of(r) == 0);
    r.is_whole = true;
    r.stages[0].price_in = INT64_MAX;
    r.stages[0].tokens_in = UINT64_MAX;
    REQUIRE(cost_of(r) == INT64_MAX);
    version v;
    v.price_in = 3;
    v.price_out = 4;
    REQUIRE(model_stage(v).price_in == 3);
    REQUIRE(model_stage(v).price_out == 4);
}

// Guards against a bill that depends on the order or number of copies of the
// segments, or that has two lines for a request.
TEST_CASE("a bill has one line per request id in whatever order")
{
    CHECK(rc::check(
        []()
        {
            auto const records =
                *rc::gen::container<std::vector<usage_record>>(any_record());
            bill a;
            bill b;
            std::vector<std::string> segments;
            for (std::size_t i = 0; i < records.size(); ++i)
                segments.push_back(make_segment(1, i, {&records[i], 1}).text);
            for (auto const& it : segments)
                RC_ASSERT(a.add(it).has_value());
            std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
            auto shuffled = segments;
            shuffled.insert(shuffled.end(), segments.begin(), segments.end());
            std::shuffle(shuffled.begin(), shuffled.end(), random);
            for (auto const& it : shuffled)
                RC_ASSERT(b.add(it).has_value());
            RC_ASSERT(a.lines() == b.lines());
            RC_ASSERT(a.totals() == b.totals());
            for (auto const& it : records)
            {
                auto const& line = a.lines().at(it.request_id);
                RC_ASSERT(
                    line.poster == process_role::entry ||
                    it.poster == process_role::agent);
                RC_ASSERT(!supersedes(it, line));
            }
        }));
}

// Guards against a damaged segment that is billed in part, and totals that
// mix customers or charge truncated responses.
TEST_CASE("totals are per customer and damaged segments add nothing")
{
    bill b;
    usage_record truncated = entry_record("r2");
    truncated.is_whole = false;
    usage_record other = entry_record("r3");
    other.customer = "fjord";
    std::vector<usage_record> const all{entry_record("r1"), truncated, other};
    ledger_segment const s = make_segment(self, 1, all);
    REQUIRE(s.name == "0000000000000abc.0000000001");
    REQUIRE_FALSE(b.add(s.text.substr(0, s.text.size() - 2)));
    REQUIRE(b.lines().empty());
    REQUIRE(b.add(s.text));
    REQUIRE(b.total("havbris") == customer_total{2, 1, 20, 6, 35});
    REQUIRE(b.total("fjord") == customer_total{1, 0, 10, 3, 35});
    REQUIRE(b.totals().size() == 2);
    REQUIRE(*decode_records(encode_records(all)) == all);
}

// Guards against a write rate above the capacity of the store, and long delays
// of records under low load.
TEST_CASE("segments are due after 1 s when quiet and 10 s when busy")
{
    steady_time const t{};
    usage_batcher quiet(self);
    quiet.add(entry_record("r1"));
    REQUIRE_FALSE(quiet.next_segment(t));
    REQUIRE_FALSE(quiet.next_segment(t + milliseconds(999)));
    REQUIRE(quiet.next_segment(t + seconds(1)));
    usage_batcher busy(self);
    for (int i = 0; i < 100; ++i)
        busy.add(entry_record("r" + std::to_string(i)));
    REQUIRE_FALSE(busy.next_segment(t));
    REQUIRE_FALSE(busy.next_segment(t + milliseconds(9999)));
    REQUIRE(busy.next_segment(t + seconds(10)));
    busy.add(entry_record("late"));
    busy.flush();
    REQUIRE_FALSE(busy.next_segment(t + seconds(10)));
    busy.on_created();
    REQUIRE(busy.next_segment(t + seconds(10)));
}

// Guards against a segment that the store refuses for its size.
TEST_CASE("a segment is at most 900 KB and a full one is due at once")
{
    usage_batcher p(self);
    std::size_t const n = 5000;
    for (std::size_t i = 0; i < n; ++i)
        p.add(entry_record("r" + std::to_string(i)));
    std::size_t confirmed = 0;
    bill b;
    while (auto s = p.next_segment(steady_time{}))
    {
        REQUIRE(s->text.size() <= max_segment_bytes);
        REQUIRE(b.add(s->text));
        confirmed += p.on_created().size();
    }
    REQUIRE(p.segments() >= 1);
    REQUIRE(confirmed + p.held() == n);
    REQUIRE(b.lines().size() == confirmed);
}

// Guards against lost or doubled usage when responses of the store are lost,
// refused or conflict, in any order.
TEST_CASE("each record is confirmed once and only when it is in the ledger")
{
    CHECK(rc::check(
        []()
        {
            usage_batcher p(self, {.max_retry_delay = seconds(1)});
            std::map<std::string, std::string> store;
            std::set<std::string> added;
            std::set<std::string> confirmed;
            steady_time now{};
            auto const steps =
                *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
            auto const take = [&](std::vector<std::string> const& ids)
            {
                bill b;
                for (auto const& [name, text] : store)
                    RC_ASSERT(b.add(text).has_value());
                for (auto const& it : ids)
                {
                    RC_ASSERT(confirmed.insert(it).second);
                    RC_ASSERT(b.lines().contains(it));
                }
            };
            auto const post = [&](int step)
            {
                now += seconds(10);
                auto const s = p.next_segment(now);
                if (!s)
                    return;
                // 1: the store is down; 2: lost before it took effect; 3: the
                // response is lost.
                bool const is_conflict =
                    step > 2 && !store.emplace(s->name, s->text).second;
                if (is_conflict)
                    take(p.on_failed(
                        store_error(error_kind::conflict, run_state::not_run),
                        now));
                else if (step < 4)
                    take(p.on_failed(
                        store_error(
                            error_kind::store_unavailable,
                            step == 1 ? run_state::not_run
                                      : run_state::unknown),
                        now));
                else
                    take(p.on_created());
            };
            for (int const step : steps)
            {
                if (step == 0)
                {
                    std::string const id = "r" + std::to_string(added.size());
                    added.insert(id);
                    p.add(entry_record(id));
                }
                else
                    post(step);
            }
            while (p.held() > 0)
                post(4);
            RC_ASSERT(confirmed == added);
        }));
}

// Guards against records that are lost when another process's segment has the
// name.
TEST_CASE("a conflict without an earlier post of unknown outcome is not a "
          "confirmation")
{
    usage_batcher p(self);
    p.add(entry_record("r1"));
    p.flush();
    auto const first = p.next_segment(steady_time{});
    REQUIRE(p.on_failed(
                 store_error(error_kind::conflict, run_state::not_run),
                 steady_time{})
                .empty());
    auto const second = p.next_segment(steady_time{});
    REQUIRE(second);
    REQUIRE(second->name != first->name);
    REQUIRE(p.on_created() == std::vector<std::string>{"r1"});
}

// Guards against an agent that never posts the work of a lost entry, or posts
// confirmed records.
TEST_CASE("an agent keeps a record until it is confirmed, orphaned or 60 s old")
{
    steady_time const t{};
    unconfirmed_usage h;
    for (char const* id : {"settled", "orphan", "old"})
        h.hold(
            make_record(id, process_role::agent), id[0] == 'o' ? 1 : 2,
            id[1] == 'l' ? t : t + seconds(30));
    std::vector<std::string> const ids{"settled", "unknown"};
    h.confirmed(ids);
    REQUIRE(h.remove_due(t + seconds(59)).empty());
    auto const old = h.remove_due(t + seconds(60));
    REQUIRE(old.size() == 1);
    REQUIRE(old[0].request_id == "old");
    h.on_entry_lost(3);
    REQUIRE(h.remove_due(t + seconds(61)).empty());
    h.on_entry_lost(1);
    REQUIRE(h.remove_due(t + seconds(61)).size() == 1);
    REQUIRE(h.held() == 0);
}

// Guards against a poster that loses records over a real connection when
// responses are lost or the store is down.
TEST_CASE("the ledger poster survives lost responses and an outage")
{
    ev::dynamic_loop loop;
    fake_object_api api(loop, {});
    http_client client(loop);
    object_store store(client, api.url());
    std::vector<std::string> confirmed;
    ledger_poster p(
        store, self,
        [&](auto const& ids)
        {
            confirmed.insert(confirmed.end(), ids.begin(), ids.end());
            loop.break_loop(ev::ALL);
        });
    steady_time now{};
    int ticks = 0;
    loop_timer ticker(
        loop,
        [&]
        {
            if (++ticks == 20)
                api.set_faults({.lose_answers = 1});
            if (ticks > 2000)
                loop.break_loop(ev::ALL);
            p.tick(now += seconds(1));
        });
    api.set_faults({.down = true});
    p.batcher().add(entry_record("r1"));
    ticker.start_every(milliseconds(1));
    loop.run();
    REQUIRE(confirmed == std::vector<std::string>{"r1"});
    REQUIRE(p.batcher().held() == 0);
    REQUIRE(api.counts().refused_down >= 1);
    REQUIRE(api.counts().lost_answers == 1);
    REQUIRE(api.data().list(ledger_kind, "", 10).objects.size() == 1);
}
