#include "entry/admission_controller.hpp"

#include "entry/entry_test_support.hpp"

using namespace marjorambeam;
using namespace marjorambeam::test;

namespace
{

// A client that sends the next request as soon as it receives a response.
struct closed_loop_client
{
    closed_loop_client(entry_fleet& f, std::string k)
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
                    are_refusals_correct &=
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
    bool are_refusals_correct = true;
    std::int64_t longest_retry_ms = 0;
    bool is_stopped = false;
};

// Limits of the customer stor. max_admitted is the bound R * (T + 2L) + B of
// src/admission/admission.hpp.
constexpr double rate = 50;
constexpr double burst = 25;
double max_admitted(double seconds)
{
    return rate * (seconds + 2 * to_seconds(grant_lease)) + burst;
}

} // namespace

// Guards against entries that each grant the full allowance: three of them
// would admit 375 requests in 2 s.
TEST_CASE("an allowance holds across entries")
{
    entry_fleet f(3);
    closed_loop_client p(f, "stor");
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
    CHECK(p.admitted <= max_admitted(seconds));
    CHECK(p.admitted >= 0.9 * rate * seconds);
    CHECK(p.are_refusals_correct);
    CHECK(p.longest_retry_ms <= 1000 * burst / rate);
}

// Guards against entries that refuse everything, block, or admit without limit
// while the owner of the customer is unreachable.
TEST_CASE("each entry enforces its share while the owner is unreachable")
{
    entry_fleet f(3);
    std::vector<std::string> const names = f.names();
    f.kill(names[allowance_owner("stor", names)]);
    closed_loop_client p(f, "stor");
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
    CHECK(p.admitted <= max_admitted(seconds) + rate * seconds + burst);
    // Two entries with at least a third of the rate each.
    CHECK(p.admitted >= 0.9 * rate * seconds * 2 / 3);
    double lost = 0;
    for (auto const& [name, e] : f.entries)
        lost += e->state().cluster.counters.counter(
            "admission_questions_total", "lost");
    CHECK(lost >= 1);
}

// Guards against refusals of a small customer caused by the load of a larger
// one.
TEST_CASE("a customer is admitted while another exceeds its allowance")
{
    entry_fleet f(2);
    closed_loop_client large(f, "stor");
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

// Guards against a spending limit that each entry applies separately, and a
// refusal whose retry time is not the start of the next day.
TEST_CASE("a spending limit holds across entries")
{
    entry_fleet f(2);
    // One request is estimated at 1 token of prompt and 2 tokens for 10 each.
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

// Guards against a malformed message of a peer that ends the process or
// invalidates a grant.
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
