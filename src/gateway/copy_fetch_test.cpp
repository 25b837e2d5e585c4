#include "gateway/copy_fetch.hpp"

#include "gateway/peer_report.hpp"
#include "gateway/reader_election.hpp"

#include <catch2/catch.hpp>
#include <string>

using namespace marjorambeam;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr steady_time start{seconds(100)};
constexpr state_kind kind = state_kind::zones;
constexpr auto index_of_kind = static_cast<std::size_t>(kind);

// A gateway that hears a reader, both in virtual time.
struct follower_and_reader
{
    follower_and_reader()
    {
        auto const set_up = [](gateway_state& s, std::string const& name,
                               std::string const& other)
        {
            s.settings.instance = name;
            s.settings.key_bound = seconds(5);
            s.self = name == "g0" ? 1 : 2;
            s.started = start;
            s.peers[other].address = other;
            s.config_confirmed = start;
            for (local_copy& it : s.kinds)
                it.is_listed = true;
        };
        set_up(follower, "g0", "g1");
        set_up(reader, "g1", "g0");
        follower.is_reader = false;
        follower.kinds[index_of_kind].position = {1, 30};
        follower.kinds[index_of_kind].digest = 4;
        set_reader({1, 40}, 5);
    }

    void set_reader(store_position position, std::uint64_t digest)
    {
        reader.kinds[index_of_kind].position = position;
        reader.kinds[index_of_kind].digest = digest;
    }

    // The reader answers a report of the follower, which then compares copies.
    void report_at(steady_time at)
    {
        reader.last_store_response_at = at;
        apply_report(reader, make_report(follower, at), at);
        record_sent(follower.reports, at);
        gateway_report r = make_report(reader, at);
        r.echo = echo_for(reader.peers["g0"], at);
        record_sent(reader.reports, at);
        apply_report(follower, r, at);
        update_lag(follower, kind, at);
    }

    // Reports until the difference has lasted for longer than a relay takes;
    // returns that time.
    steady_time become_behind()
    {
        report_at(start);
        report_at(start + milliseconds(500));
        return start + milliseconds(500);
    }

    copy_lag const& lag() const
    {
        return follower.kinds[index_of_kind].lag;
    }

    gateway_state follower;
    gateway_state reader;
};

} // namespace

// Guards against a gateway that acts on an older state than its readers,
// because the datagram with the change was lost, and against one that
// repeatedly fetches a state because a reader is late.
TEST_CASE("A copy that differs from a newer one is fetched once")
{
    follower_and_reader f;
    gateway_state& a = f.follower;
    f.report_at(start);
    CHECK_FALSE(is_fetch_due(a, kind, start));
    steady_time const sent = start + milliseconds(500);
    f.report_at(sent);
    CHECK(is_fetch_due(a, kind, sent));
    CHECK(f.lag().reason == lag_reason::differs);
    CHECK(f.lag().peer == "g1");
    update_lag(a, state_kind::upstreams, sent);
    CHECK_FALSE(is_fetch_due(a, state_kind::upstreams, sent));
    record_fetch_sent(a, kind, sent);
    record_read(a, kind, sent);
    f.report_at(start + milliseconds(1000));
    f.report_at(start + milliseconds(2500));
    CHECK_FALSE(is_fetch_due(a, kind, start + milliseconds(2500)));
    // A reader's older state causes no fetch.
    a.kinds[index_of_kind].position.revision = 50;
    f.set_reader({1, 40}, 6);
    f.report_at(start + milliseconds(2600));
    f.report_at(start + milliseconds(3100));
    CHECK_FALSE(is_fetch_due(a, kind, start + milliseconds(3100)));
}

// Guards against a gateway that takes what it asked for in vain for fetched, so
// that it sends work into a zone that was evacuated seconds ago.
TEST_CASE("A copy stays behind until the store has answered")
{
    follower_and_reader f;
    gateway_state& a = f.follower;
    steady_time now = f.become_behind();
    for (int i = 0; i < 4; ++i)
    {
        CAPTURE(i);
        REQUIRE(is_fetch_due(a, kind, now));
        record_fetch_sent(a, kind, now);
        f.report_at(now + milliseconds(300));
        REQUIRE_FALSE(is_fetch_due(a, kind, now + milliseconds(300)));
        now += milliseconds(i % 2 == 0 ? 1500 : 10); // silence or a refusal
        record_fetch_failed(a, kind, now);
        CHECK(f.lag().failures == i + 1);
        CHECK(*f.lag().since == start + milliseconds(500));
        now += fetch_interval;
        f.report_at(now);
    }
    record_fetch_sent(a, kind, now);
    record_read(a, kind, now);
    CHECK_FALSE(f.lag().since);
    f.report_at(now + seconds(2));
    CHECK_FALSE(is_fetch_due(a, kind, now + seconds(2)));
}

// Guards against a change that a reader reports while a fetch is under way and
// that the answer may lack.
TEST_CASE("A fetch counts for what was reported before it")
{
    follower_and_reader f;
    gateway_state& a = f.follower;
    steady_time const sent = f.become_behind();
    record_fetch_sent(a, kind, sent);
    f.set_reader({1, 41}, 7);
    f.report_at(sent + milliseconds(200));
    SECTION("answered")
    {
        record_read(a, kind, sent);
    }
    SECTION("an answer to a call before it")
    {
        record_read(a, kind, sent - milliseconds(1));
        CHECK(a.kinds[index_of_kind].fetch_sent_at);
    }
    f.report_at(sent + milliseconds(1000));
    f.report_at(sent + milliseconds(1500));
    CHECK(is_fetch_due(a, kind, sent + milliseconds(1500)));
}

// Guards against a zone that is evacuated a second time, or any other state
// that comes back, and is taken for the one that was fetched the first time.
TEST_CASE("A state that comes back is fetched again")
{
    follower_and_reader f;
    gateway_state& a = f.follower;
    steady_time now = f.become_behind();
    record_fetch_sent(a, kind, now);
    a.kinds[index_of_kind].digest = 5;
    a.kinds[index_of_kind].position = {1, 40};
    record_read(a, kind, now);
    // A relay takes this copy to another state; the one after it is lost.
    a.kinds[index_of_kind].digest = 4;
    a.kinds[index_of_kind].position = {1, 45};
    f.set_reader({1, 50}, 5);
    now += seconds(10);
    f.report_at(now);
    now += milliseconds(500);
    f.report_at(now);
    CHECK(is_fetch_due(a, kind, now));
}

// Guards against relayed changes that stay lost, because the one call after a
// pause of the process has failed.
TEST_CASE("Relays missed in a pause are fetched until the store has answered")
{
    follower_and_reader f;
    gateway_state& a = f.follower;
    f.set_reader({1, 30}, 4);
    f.report_at(start);
    record_missed_relays(a, kind, start);
    f.report_at(start);
    CHECK(is_fetch_due(a, kind, start));
    CHECK(f.lag().reason == lag_reason::paused);
    record_fetch_sent(a, kind, start);
    record_fetch_failed(a, kind, start + milliseconds(1500));
    f.report_at(start + milliseconds(1600));
    CHECK(is_fetch_due(a, kind, start + milliseconds(1600)));
    // The answer to a call before another pause tells nothing of it.
    record_fetch_sent(a, kind, start + milliseconds(1600));
    record_missed_relays(a, kind, start + milliseconds(1700));
    record_read(a, kind, start + milliseconds(1600));
    f.report_at(start + milliseconds(2700));
    CHECK(is_fetch_due(a, kind, start + milliseconds(2700)));
    record_fetch_sent(a, kind, start + milliseconds(2700));
    record_read(a, kind, start + milliseconds(2700));
    f.report_at(start + milliseconds(4000));
    CHECK_FALSE(is_fetch_due(a, kind, start + milliseconds(4000)));
}

// Guards against a gateway that follows the changes of an era of the store that
// is over, because its revisions are higher, or whose copy happens to be equal.
TEST_CASE("A copy of an earlier era of the store is fetched at once")
{
    follower_and_reader f;
    gateway_state& a = f.follower;
    a.kinds[index_of_kind].position = {1, 900};
    f.set_reader({2, 40}, 4);
    f.report_at(start);
    CHECK(is_fetch_due(a, kind, start));
    CHECK(f.lag().reason == lag_reason::earlier_era);
    record_fetch_sent(a, kind, start);
    record_read(a, kind, start); // of the era before
    f.report_at(start + fetch_interval);
    CHECK(is_fetch_due(a, kind, start + fetch_interval));
    a.kinds[index_of_kind].position = {2, 40};
    f.report_at(start + fetch_interval);
    CHECK_FALSE(is_fetch_due(a, kind, start + fetch_interval));
}

// Guards against a fault that operators can't see.
TEST_CASE("The gauges tell which copy is behind and what is done about it")
{
    follower_and_reader f;
    gateway_state& a = f.follower;
    auto const shows = [&](std::string const& progress, steady_time now)
    {
        set_lag_gauges(a, now);
        std::string const line =
            "copy_behind_seconds{kind=\"zones\",progress=\"" + progress +
            "\"} 1\n";
        return a.counters.render().find(line) != std::string::npos;
    };
    steady_time const since = f.become_behind();
    CHECK(shows("waiting", since + seconds(1)));
    record_fetch_sent(a, kind, since);
    CHECK(shows("asked", since + seconds(1)));
    record_fetch_failed(a, kind, since);
    CHECK(shows("failed", since + seconds(1)));
    clear_lag(a, kind);
    set_lag_gauges(a, since);
    CHECK(a.counters.render().find("copy_behind_seconds") == std::string::npos);
}
