#include "gateway/planned_stop.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace marjorambeam;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against requests that are taken after the gateway has begun to end
// what is active, whatever the grace.
TEST_CASE("the phases of a stop follow each other")
{
    rc::check(
        "any grace",
        []
        {
            steady_time const t0{seconds(100)};
            duration const grace = milliseconds(*rc::gen::inRange(100, 60'000));
            stop_plan const p = make_stop_plan(t0, grace);
            RC_ASSERT(t0 < p.serve_until);
            RC_ASSERT(p.serve_until < p.abort_at);
            RC_ASSERT(p.abort_at < p.exit_at);
            RC_ASSERT(p.exit_at < t0 + grace);
        });
}

// Guards against work that may not be repeated and is cut, and against callers
// who are refused although their work would end in time.
TEST_CASE("work that may not be repeated has to end before the stop")
{
    steady_time const t0{seconds(100)};
    stop_plan const p = make_stop_plan(t0, seconds(8));
    stopping_work const once{
        .remaining = milliseconds(1500), .target = milliseconds(100)};
    CHECK(can_end_in_time(p, once, t0 + seconds(3)));
    CHECK_FALSE(can_end_in_time(p, once, t0 + seconds(6)));
    stopping_work const stream{
        .remaining = seconds(20),
        .target = milliseconds(2000),
        .may_repeat = true};
    CHECK(can_end_in_time(p, stream, t0 + seconds(3)));
    CHECK_FALSE(can_end_in_time(p, stream, t0 + milliseconds(3500)));
}
