#include "gateway/upstream_limit.hpp"

#include "gateway/upstream_notice.hpp"

#include <catch2/catch.hpp>

using namespace marjorambeam;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr steady_time now{seconds(100)};

} // namespace

// Guards against a limit that is kept after the upstream stopped naming it, and
// against one that is not noticed.
TEST_CASE("A limit holds for as long as the upstream names it")
{
    known_limit w;
    CHECK_FALSE(record_response_limit(w, std::nullopt, now, now));
    CHECK(record_response_limit(w, 1.5, now, now + seconds(1)));
    CHECK(w.per_second == 1.5);
    CHECK_FALSE(
        record_response_limit(w, 1.5, now + seconds(1), now + seconds(2)));
    CHECK(record_response_limit(w, 4, now + seconds(2), now + seconds(3)));
    CHECK(record_response_limit(
        w, std::nullopt, now + seconds(3), now + seconds(4)));
    CHECK_FALSE(w.per_second);
    CHECK(w.change == 3);
}

// Guards against a response that was held up on its way and ends or raises a
// limit that the upstream named after it.
TEST_CASE("A response that may be older only lowers a limit")
{
    known_limit w;
    steady_time const learned = now + seconds(1);
    CHECK(record_response_limit(w, 2, now, learned));
    steady_time const sent = learned - milliseconds(1);
    CHECK_FALSE(record_response_limit(w, std::nullopt, sent, now + seconds(9)));
    CHECK_FALSE(record_response_limit(w, 3, sent, now + seconds(9)));
    CHECK(record_response_limit(w, 1, sent, now + seconds(9)));
    CHECK(w.per_second == 1.0);
}

// Guards against a limit that outlives the process that named it, and against
// notices about upstreams that never named one.
TEST_CASE("A limit belongs to one incarnation of the upstream")
{
    upstream_notices all;
    CHECK(record_limit(all, "a", 7, std::nullopt, now, now) == nullptr);
    CHECK(all.empty());
    REQUIRE(record_limit(all, "a", 7, 1, now, now) != nullptr);
    CHECK(record_limit(all, "a", 6, 9, now, now) == nullptr);
    CHECK(find_notice(all, "a", 7)->limit.per_second == 1.0);
    CHECK(record_limit(all, "a", 8, std::nullopt, now, now) == nullptr);
    CHECK(find_notice(all, "a", 8) == nullptr);
    REQUIRE(record_limit(all, "a", 8, 3, now, now) != nullptr);
    CHECK(find_notice(all, "a", 7) == nullptr);
}

// Guards against a crowd of refused callers that comes back at one moment, long
// before the limits can take it, or never.
TEST_CASE("Refused callers come back at the rate of the limits")
{
    limit_refusal const few{
        .until_next = milliseconds(300),
        .limits_per_second = 8,
        .gateways = 4,
        .refused = 4};
    duration last{0};
    for (std::uint64_t i = 0; i < 1000; ++i)
    {
        duration const d = limit_backoff(few, i);
        CHECK(d >= milliseconds(300));
        CHECK(d >= last);
        last = d;
    }
    // Four callers, of whom this gateway's part of the limits takes two a
    // second.
    CHECK(last > milliseconds(2200));
    CHECK(last <= milliseconds(2300));
    limit_refusal const many{
        .until_next = seconds(60), .gateways = 350, .refused = 900};
    CHECK(limit_backoff(many, 999) <= 2 * max_backoff);
}
