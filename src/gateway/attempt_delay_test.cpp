#include "gateway/attempt_delay.hpp"

#include "gateway/upstream_table.hpp"

#include <catch2/catch.hpp>

using namespace marjorambeam;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr attempt_bounds stream_bounds{
    .target = milliseconds(2000), .gap_target = milliseconds(300)};
constexpr attempt_bounds plain_bounds{
    .target = milliseconds(400), .is_plain_idempotent = true};
constexpr replacement_options all_well{
    .is_repeatable = true,
    .has_attempts = true,
    .has_budget = true,
    .has_upstream = true,
    .can_end_in_time = true};

} // namespace

// Guards against sound attempts that are given up, and against stalled ones
// that are waited for because a byte comes now and then.
TEST_CASE("A delay is told by what the upstream sent last")
{
    attempt_progress p{
        .since_sent = seconds(9),
        .since_received = milliseconds(5),
        .is_event_stream = true};
    CHECK(delay_of(p, stream_bounds) == attempt_delay::none); // queued there
    p.since_event = milliseconds(450);
    CHECK(delay_of(p, stream_bounds) == attempt_delay::none);
    p.since_event = milliseconds(451);
    CHECK(delay_of(p, stream_bounds) == attempt_delay::stalled);
    p.since_received = milliseconds(1201);
    CHECK(delay_of(p, stream_bounds) == attempt_delay::silent);
    p.since_event.reset();
    CHECK(delay_of(p, stream_bounds) == attempt_delay::none);

    p = {.since_sent = milliseconds(600), .since_received = milliseconds(600)};
    CHECK(delay_of(p, plain_bounds) == attempt_delay::none);
    p.since_sent = milliseconds(601);
    CHECK(delay_of(p, plain_bounds) == attempt_delay::overdue);
    p = {.since_sent = milliseconds(2001), .since_received = seconds(2)};
    CHECK(delay_of(p, stream_bounds) == attempt_delay::silent);
    p.since_received = milliseconds(1200);
    CHECK(delay_of(p, stream_bounds) == attempt_delay::none);
}

// Guards against an attempt that is given up although nothing can replace it.
TEST_CASE("An attempt goes on unless another one can be sent")
{
    CHECK(reason_to_wait(all_well) == wait_reason::none);
    replacement_options o = all_well;
    o.has_upstream = false;
    CHECK(reason_to_wait(o) == wait_reason::no_upstream);
    o = all_well;
    o.can_end_in_time = false;
    CHECK(reason_to_wait(o) == wait_reason::stopping);
    o = all_well;
    o.has_budget = false;
    CHECK(reason_to_wait(o) == wait_reason::no_budget);
    o = all_well;
    o.has_attempts = false;
    CHECK(reason_to_wait(o) == wait_reason::no_attempts);
    o = all_well;
    o.is_repeatable = false;
    CHECK(reason_to_wait(o) == wait_reason::not_repeatable);
}

// Guards against an upstream that is avoided for the longer the more streams
// see the same silence.
TEST_CASE("A silence that several attempts notice counts once")
{
    steady_time const t{seconds(100)};
    upstream_state u;
    u.last_received_at = t;
    CHECK(record_silence(u, t - seconds(3), t + milliseconds(1300)));
    for (int i = 0; i < 6; ++i)
        CHECK_FALSE(
            record_silence(u, t - seconds(i), t + milliseconds(1310 + i)));
    CHECK(u.consecutive_failures == 1);
    CHECK(u.ejected_until == t + milliseconds(1300) + ejection_time(1));
    // An attempt that was sent since, or a byte since, is new evidence.
    CHECK(record_silence(u, t + milliseconds(1400), t + milliseconds(2700)));
    CHECK(u.consecutive_failures == 2);
    u.last_received_at = t + seconds(4);
    CHECK(record_silence(u, t - seconds(3), t + milliseconds(5300)));
}
