#include "http_stream/retry_after.hpp"

#include <catch2/catch.hpp>
#include <string>

using namespace marjorambeam;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against an upstream that is asked too soon.
TEST_CASE("a time to come back is in seconds, fractions too, or a date")
{
    std::string const date = "Fri, 04 Dec 2026 12:00:00 GMT";
    CHECK(parse_retry_after("2", "") == duration(seconds(2)));
    CHECK(parse_retry_after("0", "") == duration(0));
    CHECK(parse_retry_after("0.25", "") == duration(milliseconds(250)));
    CHECK(
        parse_retry_after("Fri, 04 Dec 2026 12:00:07 GMT", date) ==
        duration(seconds(7)));
    CHECK(parse_retry_after("3600", "") == longest_retry_after);
}

// Guards against an upstream that gets nothing for ever, or a crash.
TEST_CASE("nonsense for a time to come back is no time")
{
    std::string const date = "Fri, 04 Dec 2026 12:00:00 GMT";
    for (std::string const value :
         {"", " ", "-1", "-0.5", "soon", "nan", "inf", "1e9999", "1e3", "0x10",
          "1;2", "1 2", "3601", "99999999999999999999",
          "Fri, 04 Dec 2026 11:59:59 GMT", "Fri, 04 Dec 2027 12:00:00 GMT",
          "Fri, 99 Dec 2026 12:00:00 GMT"})
    {
        CAPTURE(value);
        CHECK_FALSE(parse_retry_after(value, date));
    }
    CHECK_FALSE(parse_retry_after("Fri, 04 Dec 2026 12:00:07 GMT", ""));
    CHECK_FALSE(parse_retry_after("Fri, 04 Dec 2026 12:00:07 GMT", "?"));
}
