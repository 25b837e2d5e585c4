#include "gateway/start_interval.hpp"

#include <catch2/catch.hpp>

using namespace marjorambeam;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr steady_time start{seconds(1000)};

// Turns of 20 ms from `now`, with a start in each `every`th.
steady_time
run(start_interval& i, int turns, int every, bool has_waiting, steady_time now)
{
    for (int n = 0; n < turns; ++n)
    {
        if (n % every == 0)
            record_start(i);
        now += milliseconds(20);
        record_turn(i, has_waiting, now);
    }
    return now;
}

double interval_ms(start_interval const& i)
{
    return to_seconds(start_interval_of(i)) * 1000;
}

} // namespace

// Guards against a burst after a quiet time in which requests are refused
// because few had arrived before, though there was room for many.
TEST_CASE("Only starts while requests wait tell how many can start")
{
    start_interval i;
    steady_time now = run(i, 500, 50, false, start); // one a second arrives
    CHECK(start_interval_of(i) == duration{0});
    record_turn(i, true, now);
    now = run(i, 4, 1, true, now);
    CHECK(start_interval_of(i) == duration{0}); // too few
    now = run(i, 500, 2, true, now);
    CHECK(interval_ms(i) == Approx(40).epsilon(0.05));
    run(i, 500, 50, false, now); // quiet again
    CHECK(interval_ms(i) == Approx(40).epsilon(0.1));
}

// Guards against requests that are refused by the pace of a time when the
// upstreams were slow.
TEST_CASE("The interval follows a change of the capacity within seconds")
{
    start_interval i;
    record_turn(i, true, start);
    steady_time now = run(i, 500, 4, true, start);
    CHECK(interval_ms(i) == Approx(80).epsilon(0.1));
    run(i, 300, 1, true, now);
    CHECK(interval_ms(i) < 25);
}
