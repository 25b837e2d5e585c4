#include "entry/admission_controller.hpp"

#include "entry/entry_test_support.hpp"

using namespace marjorambeam;
using namespace marjorambeam::test;

namespace
{

// A customer that sends the next request as soon as one is answered.
struct pressure
{
    pressure(entry_fleet& f, std::string k)
        : fleet(f)
        , key(std::move(k))
    {
    }

    void start(std::string const& entry)
    {
        ++open;
        fleet.post(
            entry, key, "",
            [this, entry](caller_response const& a)
            {
                --open;
                ++(a.status == 200   ? admitted
                   : a.status == 429 ? limited
                                     : failed);
                if (a.status == 429)
                {
                    is_each_refusal_right &=
                        a.error_kind == "rate_limited" && a.retry_after_ms > 0;
                    longest_retry_ms =
                        std::max(longest_retry_ms, a.retry_after_ms);
                }
                if (!is_stopped)
                    start(entry);
            });
    }
    void stop()
    {
        is_stopped = true;
        REQUIRE(fleet.run_until([&] { return open == 0; }));
    }

    entry_fleet& fleet;
    std::string key;
    int open = 0;
    int admitted = 0;
    int limited = 0;
    int failed = 0;
    bool is_each_refusal_right = true;
    std::int64_t longest_retry_ms = 0;
    bool is_stopped = false;
};

// Of the customer stor, from src/admission/admission.hpp: R * (T + 2L) + B.
constexpr double rate = 50;
constexpr double burst = 25;
double owner_bound(double seconds)
{
    return rate * (seconds + 2 * to_seconds(grant_lease)) + burst;
}

} // namespace

// Guards against entries that each grant the whole allowance: three would
// admit 375 requests in 2 s.
TEST_CASE("an allowance holds across entries")
{
    entry_fleet f(3);
    pressure p(f, "stor");
    steady_time const start = steady_now();
    for (std::string const& it : f.names())
    {
        for (int i = 0; i < 3; ++i)
            p.start(it);
    }
    f.run_for(std::chrono::seconds(2));
    p.stop();
    double const seconds = to_seconds(steady_now() - start);
    INFO("admitted " << p.admitted << " in " << seconds << " s");
    CHECK(p.failed == 0);
    CHECK(p.limited > 0);
    CHECK(p.admitted <= owner_bound(seconds));
    CHECK(p.admitted >= 0.9 * rate * seconds);
    CHECK(p.is_each_refusal_right);
    CHECK(p.longest_retry_ms <= 1000 * burst / rate);
}

// Guards against entries that stop, wait, or admit without limit while the
// owner of the customer is gone.
TEST_CASE("the share of each entry holds while the owner is gone")
{
    entry_fleet f(3);
    std::vector<std::string> const names = f.names();
    f.kill(names[allowance_owner("stor", names)]);
    pressure p(f, "stor");
    steady_time const start = steady_now();
    for (std::string const& it : f.names())
    {
        for (int i = 0; i < 3; ++i)
            p.start(it);
    }
    f.run_for(std::chrono::seconds(1));
    p.stop();
    double const seconds = to_seconds(steady_now() - start);
    INFO("admitted " << p.admitted << " in " << seconds << " s");
    CHECK(p.failed == 0);
    CHECK(p.limited > 0);
    CHECK(p.admitted <= owner_bound(seconds) + rate * seconds + burst);
    // Two entries with at least a third of the rate each.
    CHECK(p.admitted >= 0.9 * rate * seconds * 2 / 3);
    double lost = 0;
    for (auto const& [name, e] : f.entries)
        lost += e->state().cluster.counters.counter(
            "admission_questions_total", "lost");
    CHECK(lost >= 1);
}

// Guards against a customer that pays with refusals for a larger neighbour.
TEST_CASE("a small customer is admitted beside a large one over its allowance")
{
    entry_fleet f(2);
    pressure large(f, "stor");
    for (std::string const& it : f.names())
    {
        for (int i = 0; i < 4; ++i)
            large.start(it);
    }
    for (int i = 0; i < 15; ++i) // 10 of 20 requests/s
    {
        caller_response const a = f.post_and_wait(f.names()[i % 2], "havbris");
        CHECK(a.status == 200);
        f.run_for(milliseconds(100));
    }
    large.stop();
    CHECK(large.limited > 0);
}

// Guards against a spending limit that each entry applies on its own, and a
// refusal that does not tell when the next day begins.
TEST_CASE("a spending limit holds across entries")
{
    entry_fleet f(2);
    // The estimate of one request is 1 token of prompt and 2 for 10 each.
    f.change({entry_fleet::contract_edit(
        "havbris", 20, 2, R"("spend_limit_per_day":100,)")});
    int admitted = 0;
    caller_response last;
    for (int i = 0; i < 12; ++i)
    {
        last = f.post_and_wait(f.names()[i % 2], "havbris");
        admitted += last.status == 200 ? 1 : 0;
    }
    CHECK(admitted >= 3);
    CHECK(admitted <= 5);
    CHECK(last.status == 402);
    CHECK(last.error_kind == "spend_limit_reached");
    CHECK(last.retry_after_ms > 0);
    CHECK(last.retry_after_ms <= std::int64_t{24} * 3600 * 1000);
}

// Guards against a peer's broken message that ends the process or a grant.
TEST_CASE("malformed peer calls are counted and ignored")
{
    entry_fleet f(1);
    entry_daemon& e = *f.entries.at("e0");
    auto const c = frame_connection::connect(f.loop, e.peer_address());
    c->send(hello{.instance = "e9"});
    c->send(peer_call{1, false, "allowance", "no cereal"});
    c->send(peer_call{2, false, "session_pin", "no cereal"});
    c->send(peer_call{3, false, "unheard-of", ""});
    c->send(peer_call{4, true, "allowance", "unasked"});
    metrics const& m = e.state().cluster.counters;
    auto refused = [&](char const* why)
    { return m.counter("peer_calls_refused_total", why); };
    CHECK(f.run_until([&] { return refused("late_reply") == 1; }));
    CHECK(refused("allowance_malformed") == 1);
    CHECK(refused("session_pin_malformed") == 1);
    CHECK(refused("unknown_name") == 1);
    CHECK(c->is_open());
    CHECK(f.post_and_wait("e0", "havbris").status == 200);
}
