#include "entry/entry_test_support.hpp"

namespace marjorambeam::test
{
namespace
{

constexpr char const* crashing = "CRASH-ENGINE please";

} // namespace

// Guards against a request that crashes one upstream after another, through
// retries, resends or a second entry without the first one's reports, and
// against a slow refusal.
TEST_CASE("a crashing request crashes at most two of four upstreams")
{
    entry_fleet f(2);
    f.add_agents(4);
    caller_response const first =
        f.post_and_wait("e0", "havbris", "", crashing);
    CHECK(first.status == 422);
    CHECK(first.error_kind == "quarantined");
    CHECK(first.retry_after_ms > 0);
    CHECK(f.crashes() == 2);
    for (int i = 0; i < 3; ++i)
    {
        for (char const* entry : {"e0", "e1"})
        {
            steady_time const began = steady_now();
            caller_response const again =
                f.post_and_wait(entry, "havbris", "", crashing);
            CHECK(again.error_kind == "quarantined");
            CHECK(steady_now() - began < std::chrono::seconds(1));
        }
    }
    CHECK(f.crashes() == 2);
    CHECK(f.post_and_wait("e1", "havbris").status == 200);
}

// Guards against concurrent trials of one suspect at two entries, each of which
// would crash an upstream.
TEST_CASE("copies of a suspect at two entries run one trial at a time")
{
    entry_fleet f(2);
    f.add_agents(4);
    int ended = 0;
    int innocent = 0;
    auto const on_end = [&](caller_response const& a)
    {
        CHECK(a.error_kind == "quarantined");
        ++ended;
    };
    // The first copy makes the fingerprint a suspect at both entries.
    f.post("e0", "havbris", "", on_end, crashing);
    REQUIRE(f.run_until(
        [&]
        {
            return f.entries.at("e1")->quarantine().table().suspects() > 0 ||
                   f.entries.at("e1")->quarantine().table().quarantined() > 0;
        }));
    for (int i = 0; i < 3; ++i)
    {
        for (char const* entry : {"e0", "e1"})
        {
            f.post(entry, "havbris", "", on_end, crashing);
            f.post(
                entry, "stor", "",
                [&](caller_response const& a)
                {
                    CAPTURE(a.error_kind, a.retry_after_ms);
                    CHECK(a.status == 200);
                    ++innocent;
                },
                "innocent " + std::to_string(i));
        }
    }
    REQUIRE(f.run_until([&] { return ended == 7 && innocent == 6; }));
    CHECK(f.crashes() == 2);
    for (auto const& [name, e] : f.entries)
        CHECK(e->quarantine().table().quarantined() == 1);
}

// Guards against copies of a suspect that run concurrently at one entry or wait
// until their deadline, and against counting one crash twice because it is
// reported twice.
TEST_CASE("copies of a suspect wait for its trial for a bounded time")
{
    using std::chrono::seconds;
    ev::dynamic_loop loop;
    cluster_state cluster;
    cluster.identity.instance = "e0";
    steady_time const t0 = steady_now();
    live_entries live(
        cluster, [](peer const&) { return true; }, t0);
    peer_calls calls(loop, cluster, {});
    quarantine_controller q(cluster, live, calls);
    steady_time const end = t0 + seconds(60);
    CHECK_FALSE(q.evaluate("r-1", 7, end, t0).run_alone);
    q.record_crash("up-1", 7, false, t0);
    q.record_crash("up-1", 7, false, t0 + milliseconds(1));
    CHECK(q.evaluate("r-1", 7, end, t0 + milliseconds(1)).must_wait);
    steady_time const t1 = t0 + milliseconds(50);
    q.tick(t1);
    CHECK(q.table().suspects() == 1);
    CHECK(q.evaluate("r-1", 7, end, t1).run_alone);
    CHECK(q.evaluate("r-2", 7, end, t1).must_wait);
    quarantine_decision const late =
        q.evaluate("r-2", 7, end, t1 + max_trial_wait);
    REQUIRE(late.refusal);
    CHECK(late.refusal->kind == error_kind::quarantined);
    CHECK(late.refusal->retry_after > duration(0));
    q.end_request("r-2", 7);
    q.end_request("r-1", 7);
    CHECK(q.evaluate("r-3", 7, end, t1).run_alone);
    q.record_crash("up-2", 7, true, t1);
    q.end_request("r-3", 7);
    q.tick(t1 + milliseconds(50));
    CHECK(q.evaluate("r-4", 7, end, t1 + seconds(1)).refusal);
    CHECK(q.table().quarantined() == 1);
}

} // namespace marjorambeam::test
