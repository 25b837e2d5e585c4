#include "http_server/http_server.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace marjorambeam;

// Guards against a refusal that says "come back in 0 ms" when the wait is a
// part of a millisecond; the request would be refused again.
TEST_CASE("the time to come back is rounded up")
{
    error e = make_error(error_kind::rate_limited, "over the allowance");
    e.retry_after = std::chrono::microseconds(400);
    auto const body = nlohmann::json::parse(error_body(e, "r-1"));
    CHECK(body["error"]["retry_after_ms"] == 1);
    e.retry_after = std::chrono::microseconds(2000);
    CHECK(
        nlohmann::json::parse(error_body(e, ""))["error"]["retry_after_ms"] ==
        2);
}
