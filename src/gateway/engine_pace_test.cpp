#include "gateway/engine_pace.hpp"

#include <catch2/catch.hpp>
#include <cmath>
#include <limits>

using namespace marjorambeam;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr steady_time start{seconds(100)};
constexpr event_time_line line{.idle = 0.04, .per_request = 0.004};

// A stream beside four others of which each event takes `pace` times as long as
// expected. Returns its end.
steady_time run(engine_event_pace& p, double pace, int events, steady_time now)
{
    duration const gap = from_seconds(0.06 * pace);
    for (int i = 0; i < events; ++i)
    {
        now += gap;
        record_event_pace(p, line, 5, gap, 1, now);
    }
    return now;
}

completion_estimates learned()
{
    completion_estimates all;
    for (int i = 0; i < 300; ++i)
    {
        double const n = 1 + i % 40;
        record_event_time(
            all, "pool", 0, n, from_seconds(0.04 + 0.004 * n), start);
    }
    return all;
}

completion_query query()
{
    return {
        .service = "pool",
        .route = "chat",
        .models = 1,
        .hinted_tokens = 101,
        .requests = 5,
        .now = start};
}

} // namespace

// Guards against responses that are placed at slow engines: half of the engines
// take three times as long for ten seconds (125 of 9,688 requests ended at the
// deadline).
TEST_CASE("An engine that becomes three times slower is known by one response")
{
    engine_event_pace p;
    CHECK(event_pace_of(p, start) == 1);
    steady_time t = run(p, 1, 100, start);
    CHECK(event_pace_of(p, t) == Approx(1));
    t = run(p, 3, 30, t);
    CHECK(event_pace_of(p, t) > 1.5);
    t = run(p, 1, 100, t);
    CHECK(event_pace_of(p, t) < 1.2);
}

// Guards against an engine that is avoided for good because nothing is sent
// there that would show its recovery.
TEST_CASE("An engine without samples is as fast as the others after seconds")
{
    engine_event_pace p;
    steady_time const t = run(p, 4, 100, start);
    CHECK(event_pace_of(p, t) > 2);
    CHECK(event_pace_of(p, t + seconds(12)) < 1.2);
    CHECK(event_pace_of(p, t + std::chrono::hours(1)) == Approx(1));
}

// Guards against one stall of a minute, as after lost packets, that makes an
// engine look slow, and against invalid samples.
TEST_CASE("A stall counts as ten events and invalid samples do not count")
{
    engine_event_pace p;
    steady_time const t = run(p, 1, 60, start);
    record_event_pace(p, line, 5, seconds(60), 1, t);
    CHECK(event_pace_of(p, t) < 1.15);
    engine_event_pace const before = p;
    double const nan = std::numeric_limits<double>::quiet_NaN();
    record_event_pace(p, line, 5, duration{0}, 1, t);
    record_event_pace(p, line, 5, std::chrono::hours(2), 1, t);
    record_event_pace(p, line, nan, milliseconds(60), 1, t);
    record_event_pace(p, line, 0, milliseconds(60), 1, t);
    record_event_pace(p, line, 5, milliseconds(60), 0, t);
    record_event_pace(p, {}, 5, milliseconds(60), 1, t);
    CHECK(p.events == before.events);
    CHECK(p.seen_s == before.seen_s);
}

// Guards against a pace that holds the load at the engine, which the prediction
// counts already.
TEST_CASE("A full engine of the usual pace is not slow")
{
    engine_event_pace p;
    for (int i = 1; i <= 40; ++i)
        record_event_pace(
            p, line, 40, from_seconds(0.2), 1, start + i * milliseconds(200));
    CHECK(event_pace_of(p, start + seconds(8)) == Approx(1));
}

// Guards against a line other than that of the prediction, and against a pace
// that scales the wait for the first event.
TEST_CASE("The pace scales the time per event of a prediction")
{
    completion_estimates const all = learned();
    completion_query q = query();
    q.first_event = seconds(2);
    auto const l = expected_event_line(all, q);
    REQUIRE(l);
    CHECK(l->idle == Approx(0.04).epsilon(0.02));
    CHECK(l->per_request == Approx(0.004).epsilon(0.02));
    double const usual = to_seconds(predict_completion(all, q).likely);
    q.pace = 3;
    CHECK(
        to_seconds(predict_completion(all, q).likely) - 2 ==
        Approx(3 * (usual - 2)).epsilon(0.001));
    q.pace = std::numeric_limits<double>::infinity();
    CHECK(to_seconds(predict_completion(all, q).likely) == Approx(usual));
    CHECK_FALSE(expected_event_line({}, q));
}
