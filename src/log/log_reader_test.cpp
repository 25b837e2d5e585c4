#include "log/log_reader.hpp"

#include <catch2/catch.hpp>

using namespace marjorambeam;

// Guards against values with spaces, quotes or equals signs that shift the
// fields behind them.
TEST_CASE("a line is taken apart into what was written")
{
    auto const line = parse_log_line(
        "2026-Dec-04 07:05:19.123456 edge-1 warning request: Attempt failed. "
        "event=attempt_failed request_id=a1 why=\"a \\\"b\\\\ =c\" empty= "
        "events=7");
    REQUIRE(line);
    CHECK(to_unix_ms(line->time) == 1796367919123);
    CHECK(line->instance == "edge-1");
    CHECK(line->level == "warning");
    CHECK(line->part == "request");
    CHECK(line->sentence == "Attempt failed.");
    CHECK(line->event == "attempt_failed");
    CHECK(line->field("request_id") == "a1");
    CHECK(line->field("why") == "a \"b\\ =c");
    CHECK(line->field("empty").empty());
    CHECK(line->field("events") == "7");
    CHECK(line->field("none").empty());
}

// Guards against output of other programs, or cut lines, taken for ours.
TEST_CASE("lines of another form are not taken apart")
{
    for (char const* it :
         {"", "x", "2026-Dec-04", "2026-Dec-04 07:05:19.1 e info",
          "2026-13-04 07:05:19.1 e info part: S. event=x",
          "2026-Dec-04 07:05:19.1 e info part: S. x=y",
          "2026-Dec-04 07:05:19.1 e info part S. event=x",
          "2026-Dec-04 07:05:19.1 e info part: S. event=x broken"})
        CHECK_FALSE(parse_log_line(it));
    auto const cut = parse_log_line(
        "2026-Dec-04 07:05:19.1 e info part: S. event=x why=\"cut");
    REQUIRE(cut);
    CHECK(cut->field("why") == "cut");
}
