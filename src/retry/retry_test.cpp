#include "retry/retry.hpp"

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

using namespace marjorambeam;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

failed_attempt make_attempt(error_kind kind, run_state run)
{
    failed_attempt q;
    q.kind = kind;
    q.run = run;
    q.remaining = seconds(10);
    return q;
}

} // namespace

// Guards against a retry storm that prolongs the overload of a pool.
TEST_CASE("retries stay within a tenth of the admitted requests")
{
    retry_budget b;
    steady_time now{seconds(100)};
    int retries = 0;
    constexpr int requests = 100000;
    for (int i = 0; i < requests; ++i)
    {
        now += milliseconds(1);
        on_admitted(b, now);
        failed_attempt const q =
            make_attempt(error_kind::queue_full, run_state::not_run);
        if (decide_retry(b, q).action != retry_action::give_up)
            ++retries;
    }
    REQUIRE(retries <= requests * retry_ratio + min_retry_burst);
    REQUIRE(retries >= requests * retry_ratio * 0.99);
}

// Guards against losing the requests in flight when a zone of four fails:
// their retries come at once, not spread over time.
TEST_CASE("the budget covers a quarter of the requests in flight")
{
    retry_budget b;
    steady_time now{seconds(100)};
    for (int i = 0; i < 6000; ++i)
    {
        now += milliseconds(10);
        on_admitted(b, now);
    }
    // 100 requests/s of 4 s each are 400 in flight, 100 of them in the zone.
    for (int i = 0; i < 100; ++i)
    {
        failed_attempt const q =
            make_attempt(error_kind::connection_lost, run_state::unknown);
        REQUIRE(decide_retry(b, q).action == retry_action::retry_elsewhere);
    }
}

// Guards against executing a charge or an adjustment twice (I9), including when
// an attempt before the last may have run.
TEST_CASE("non-idempotent work that may have run is not retried")
{
    retry_budget b;
    for (run_state run : {run_state::unknown, run_state::ran})
    {
        failed_attempt q = make_attempt(error_kind::connection_lost, run);
        q.is_idempotent = false;
        retry_decision d = decide_retry(b, q);
        REQUIRE(d.action == retry_action::give_up);
        REQUIRE(d.reason == retry_reason::given_up_may_have_run);
        REQUIRE(d.run == run);
        q = make_attempt(error_kind::queue_full, run_state::not_run);
        q.is_idempotent = false;
        q.earlier_run = run;
        REQUIRE(decide_retry(b, q).action == retry_action::give_up);
        q.earlier_run = run_state::not_run;
        REQUIRE(decide_retry(b, q).action == retry_action::retry_elsewhere);
    }
}

// Guards against a final refusal that says "not run" although an earlier
// attempt may have run (I8).
TEST_CASE("the final response combines the run states of all attempts")
{
    retry_budget b;
    failed_attempt q = make_attempt(error_kind::queue_full, run_state::not_run);
    q.earlier_run = run_state::unknown;
    q.attempts = max_attempts;
    retry_decision const d = decide_retry(b, q);
    REQUIRE(d.action == retry_action::give_up);
    REQUIRE(d.reason == retry_reason::given_up_attempts);
    REQUIRE(d.run == run_state::unknown);
}

// Guards against holding a request until its deadline although no further
// attempt can finish in time.
TEST_CASE("a request that can't finish in time fails immediately")
{
    retry_budget b;
    failed_attempt q =
        make_attempt(error_kind::upstream_silent, run_state::unknown);
    q.remaining = milliseconds(100);
    q.expected_time = milliseconds(400);
    q.retry_after = seconds(7);
    retry_decision const d = decide_retry(b, q);
    REQUIRE(d.action == retry_action::give_up);
    REQUIRE(d.reason == retry_reason::given_up_deadline);
    REQUIRE(d.retry_after == seconds(7));
    q.expected_time = duration(0);
    q.has_untried_upstream = false;
    REQUIRE(decide_retry(b, q).reason == retry_reason::given_up_no_upstream);
}

// Guards against sending a caller part of one response followed by the start of
// another, and against truncating a stream that can be resumed.
TEST_CASE("an interrupted response is resumed or ended, never restarted")
{
    retry_budget b;
    failed_attempt q =
        make_attempt(error_kind::upstream_crashed, run_state::ran);
    q.has_delivered = true;
    REQUIRE(decide_retry(b, q).action == retry_action::resume_stream);
    q.can_resume = false;
    REQUIRE(decide_retry(b, q).action == retry_action::give_up);
}

// Guards against retrying requests that can never succeed, and against a final
// refusal without a retry-after time.
TEST_CASE("final kinds are given up and retryable kinds carry a time")
{
    retry_budget b;
    for (error_answer const& row : all_error_answers())
    {
        failed_attempt q = make_attempt(row.kind, row.run);
        if (row.advice == retry_advice::never)
        {
            bool const is_final =
                decide_retry(b, q).reason == retry_reason::given_up_final;
            CAPTURE(row.name);
            REQUIRE(is_final);
            continue;
        }
        q.attempts = max_attempts;
        REQUIRE(decide_retry(b, q).retry_after > duration(0));
    }
}

// Guards against failing a request because one agent's upstream is down while
// others serve the same version.
TEST_CASE("a refusal because the agent's upstream is down is retried")
{
    retry_budget b;
    failed_attempt q =
        make_attempt(error_kind::no_upstream, run_state::not_run);
    REQUIRE(decide_retry(b, q).action == retry_action::retry_elsewhere);
    q.has_untried_upstream = false;
    REQUIRE(decide_retry(b, q).action == retry_action::give_up);
}

// Guards against a zone taken out of service that uses up the budget needed for
// real failures.
TEST_CASE("a refusal for being out of service costs no budget")
{
    retry_budget b;
    b.tokens = 0;
    failed_attempt q =
        make_attempt(error_kind::upstream_out, run_state::not_run);
    REQUIRE(decide_retry(b, q).action == retry_action::retry_elsewhere);
    q = make_attempt(error_kind::queue_full, run_state::not_run);
    REQUIRE(decide_retry(b, q).reason == retry_reason::given_up_budget);
}

// Guards against a retry reason missing from the operations page.
TEST_CASE("the operations page explains each retry reason")
{
    std::ifstream in("OPERATIONS.md"); // copied by CMakeLists.txt
    std::stringstream page;
    page << in.rdbuf();
    for (int i = 0; i <= static_cast<int>(retry_reason::given_up_no_upstream);
         ++i)
    {
        std::string const row =
            "| `" + std::string(to_string(static_cast<retry_reason>(i))) +
            "` | ";
        INFO(row);
        CHECK(page.str().find(row) != std::string::npos);
    }
}
