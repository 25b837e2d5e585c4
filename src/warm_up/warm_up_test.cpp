#include "warm_up/warm_up.hpp"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <rapidcheck.h>

using namespace marjorambeam;

namespace
{

// RapidCheck draws a seed at random unless this is set before its first use.
[[maybe_unused]] bool const has_fixed_seed =
    setenv("RC_PARAMS", "seed=1 max_success=500", 0) == 0;

constexpr duration fast = std::chrono::milliseconds(10);
constexpr duration slow = std::chrono::milliseconds(50);

warm_up_state warmed_up()
{
    warm_up_state s;
    set_bounds(s, {.cold = 2, .warm = 16, .has_reports = true});
    record_report(s, {.sender = 1, .is_cold = false});
    for (int i = 0; i < 500; ++i)
        record_success(s, fast);
    return s;
}

} // namespace

// Guards against a cold upstream that is loaded before it reports that it is
// warm, and against one that never reaches its warm limit.
TEST_CASE("the limit grows with successes once the upstream is warm")
{
    warm_up_state s;
    set_bounds(s, {.cold = 2, .warm = 16, .has_reports = true});
    for (int i = 0; i < 100; ++i)
        record_success(s, fast);
    CHECK(current_limit(s) == 2);
    record_report(s, {.sender = 1, .is_cold = true});
    record_success(s, fast);
    CHECK(current_limit(s) == 2);
    record_report(s, {.sender = 1, .is_cold = false});
    for (int i = 0; i < 130; ++i)
        record_success(s, fast);
    CHECK(current_limit(s) == 16);
    CHECK_FALSE(is_cold(s));
    set_bounds(s, {.cold = 1, .warm = 4, .has_reports = true});
    CHECK(current_limit(s) == 4);
}

// Guards against sending the load of a warm upstream to one that has restarted,
// crashed or reported that it is cold.
TEST_CASE("a restart, a cold report and a crash reset the limit")
{
    warm_up_state s = warmed_up();
    CHECK(current_limit(s) == 16);
    CHECK(record_report(s, {.sender = 2, .is_cold = false}));
    CHECK(current_limit(s) == 2);
    record_success(s, fast); // the report may lag behind the restart
    CHECK(current_limit(s) == 2);
    s = warmed_up();
    CHECK_FALSE(record_report(s, {.sender = 1, .is_cold = true}));
    CHECK(current_limit(s) == 2);
    s = warmed_up();
    reset_to_cold(s);
    CHECK(current_limit(s) == 2);
}

// Guards against a capacity loss after a single slow response, and against a
// cold upstream that is not detected by its response times.
TEST_CASE("three slow first tokens in a row mean a cold upstream")
{
    warm_up_state s = warmed_up();
    CHECK_FALSE(record_success(s, slow));
    CHECK_FALSE(record_success(s, slow));
    CHECK_FALSE(record_success(s, fast));
    CHECK(current_limit(s) == 16);
    record_success(s, slow);
    record_success(s, slow);
    CHECK(record_success(s, slow));
    CHECK(current_limit(s) == 2);
}

// Guards against a limit that stays at the cold bound indefinitely when an
// upstream becomes permanently slower.
TEST_CASE("a permanent change of speed updates the median")
{
    warm_up_state s = warmed_up();
    for (int i = 0; i < 200; ++i)
    {
        record_success(s, slow);
        record_report(s, {.sender = 1, .is_cold = false});
    }
    CHECK(current_limit(s) > 10);
    CHECK(warm_median(s) == slow);
}

// Guards against a limit outside the declared bounds after any history.
TEST_CASE("the limit stays within its bounds")
{
    CHECK(rc::check(
        "any sequence of events",
        []
        {
            warm_up_state s;
            set_bounds(s, {.cold = 2, .warm = 9, .has_reports = true});
            for (int i = *rc::gen::inRange(0, 300); i > 0; --i)
            {
                int const what = *rc::gen::inRange(0, 12);
                if (what == 0)
                    reset_to_cold(s);
                else if (what == 1)
                    record_report(
                        s, {.sender = *rc::gen::inRange<incarnation>(1, 3),
                            .is_cold = *rc::gen::arbitrary<bool>()});
                else
                    record_success(s, duration(*rc::gen::inRange(1, 100)));
                RC_ASSERT(current_limit(s) >= 2U);
                RC_ASSERT(current_limit(s) <= 9U);
            }
        }));
}
