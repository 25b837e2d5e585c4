#include "rollout/rollout.hpp"

#include <catch2/catch.hpp>
#include <random>

using namespace marjorambeam;
using std::chrono::seconds;

namespace
{

// How the candidate and the active version behave in a simulated rollout.
struct scenario
{
    double loss = 0;       // quality points of the candidate
    double failures = 0;   // additional failures of the candidate
    int bad_after_all = 0; // seconds at share 1 after which `loss` and
                           // `failures` begin; 0: from the start
    double ratings = 0.5;  // part of the candidate's requests that are rated
    double ratings_at_all = 0.1; // the same after the rollout completed
    int requests_per_second = 50;
    int hours = 1;
};

struct outcome
{
    bool is_halted = false;
    bool has_reached_all = false;
    double bad_requests = 0; // on the candidate while it was bad
    std::string reason;
};

outcome simulate(scenario const& sc, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> uniform(0, 1);
    std::normal_distribution<double> rating(0, 0.2);
    rollout_state s;
    outcome out;
    version_counts active;
    version_counts candidate;
    for (int i = 0; i < 500; ++i)
        add_rating(active, 0.8 + rating(random));
    double share = 0;
    int seconds_at_all = 0;
    steady_time now{seconds(1000)};
    for (int i = 0; i < sc.hours * 3600; ++i)
    {
        now += seconds(1);
        seconds_at_all += share >= 1 ? 1 : 0;
        bool const is_bad = seconds_at_all >= sc.bad_after_all;
        for (int k = 0; k < sc.requests_per_second; ++k)
        {
            bool const is_new = uniform(random) < share;
            version_counts& c = is_new ? candidate : active;
            double const extra = is_new && is_bad ? sc.failures : 0;
            add_request(c, uniform(random) < 0.001 + extra);
            out.bad_requests += is_new && is_bad ? 1 : 0;
            // Versions in a rollout are rated first.
            double const wanted = share < 1 ? sc.ratings : sc.ratings_at_all;
            double const part = is_new ? wanted : 0.01;
            if (uniform(random) < part)
                add_rating(
                    c, 0.8 - (is_new && is_bad ? sc.loss : 0) + rating(random));
        }
        rollout_decision const d = evaluate(s, active, candidate, now);
        share = d.share;
        out.has_reached_all |= share >= 1;
        if (d.action == rollout_action::halt)
        {
            out.is_halted = true;
            out.reason = d.reason;
            return out;
        }
    }
    return out;
}

// Returns the fraction of the hour's requests that a bad version received.
double exposure(scenario const& sc, outcome const& out)
{
    return out.bad_requests / (sc.requests_per_second * 3600.0);
}

} // namespace

// Guards against false halts of good rollouts caused by repeated evaluation.
TEST_CASE("at most 1 in 20 good rollouts is halted")
{
    int halted = 0;
    int reached = 0;
    constexpr int runs = 200;
    for (std::uint64_t seed = 1; seed <= runs; ++seed)
    {
        outcome const out =
            simulate({.requests_per_second = 20, .hours = 2}, seed);
        halted += out.is_halted ? 1 : 0;
        reached += out.has_reached_all ? 1 : 0;
    }
    CAPTURE(halted, reached);
    REQUIRE(halted <= runs / 20);
    REQUIRE(reached >= runs * 9 / 10);
}

// Guards against a version that loses 20 points of quality and serves more than
// 1% of the hour's requests.
TEST_CASE("a version that loses quality is halted within the exposure limit")
{
    scenario const sc{.loss = 0.2};
    for (std::uint64_t seed = 1; seed <= 50; ++seed)
    {
        outcome const out = simulate(sc, seed);
        REQUIRE(out.is_halted);
        REQUIRE(exposure(sc, out) <= 0.01);
        REQUIRE(out.reason.find("quality") != std::string::npos);
    }
}

// Guards against advancing a version that crashes on 2% of its requests because
// its ratings are good.
TEST_CASE("a version that crashes is halted within the exposure limit")
{
    scenario const sc{.failures = 0.02};
    for (std::uint64_t seed = 1; seed <= 50; ++seed)
    {
        outcome const out = simulate(sc, seed);
        REQUIRE(out.is_halted);
        REQUIRE(exposure(sc, out) <= 0.01);
        REQUIRE(out.reason.find("failures") != std::string::npos);
    }
}

// Guards against an evaluation that stops when a version receives all traffic,
// and against a long good history that masks a sudden regression.
TEST_CASE("a regression after the rollout has completed halts the version")
{
    for (double loss : {0.0, 0.2})
    {
        scenario sc;
        sc.loss = loss;
        sc.failures = loss > 0 ? 0 : 0.02;
        sc.bad_after_all = 600;
        sc.hours = 2;
        for (std::uint64_t seed = 1; seed <= 20; ++seed)
        {
            outcome const out = simulate(sc, seed);
            CAPTURE(loss, seed, out.reason);
            REQUIRE(out.has_reached_all);
            REQUIRE(out.is_halted);
            REQUIRE(exposure(sc, out) <= 0.01);
        }
    }
}

// Guards against advancing without evidence while the rating service is down.
TEST_CASE("without ratings the share stays at the first step")
{
    scenario const sc{.ratings = 0};
    outcome const out = simulate(sc, 1);
    REQUIRE_FALSE(out.is_halted);
    REQUIRE_FALSE(out.has_reached_all);
    REQUIRE(exposure(sc, out) <= 0.01);
}

// Guards against a new lease holder that restarts a rollout or returns a
// completed one to the first step.
TEST_CASE("a new lease holder resumes the rollout at the current share")
{
    version_counts active;
    for (int i = 0; i < 100; ++i)
        add_rating(active, 0.8);
    for (double share : rollout_shares)
    {
        rollout_state s = resume_rollout(share, {}, steady_time{});
        rollout_decision const d = evaluate(s, active, {}, steady_time{});
        REQUIRE(d.action == rollout_action::hold);
        REQUIRE(d.share == share);
    }
}

// Guards against counting a duplicate or outdated report twice, and against
// losing the evidence of an entry that has restarted.
TEST_CASE("duplicate and outdated evidence reports are counted once")
{
    evidence_pool pool;
    version_counts c;
    add_request(c, true);
    record_evidence(pool, {"m@v2", 1, c});
    record_evidence(pool, {"m@v2", 1, c});
    version_counts const early = c;
    add_request(c, false);
    add_rating(c, 0.5);
    record_evidence(pool, {"m@v2", 1, c});
    record_evidence(pool, {"m@v2", 1, early});
    record_evidence(pool, {"m@v2", 2, early});
    record_evidence(pool, {"m@v1", 2, early});
    version_counts const t = total_counts(pool, "m@v2");
    REQUIRE(t.requests == 3);
    REQUIRE(t.failures == 2);
    REQUIRE(t.ratings == 1);
    REQUIRE(t.rating_sum == 0.5);
}
