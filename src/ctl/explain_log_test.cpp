#include "ctl/explain_log.hpp"

#include <catch2/catch.hpp>
#include <sstream>

using namespace marjorambeam;

namespace
{

std::string
at(std::string const& time, std::string const& instance,
   std::string const& rest)
{
    return "2026-Dec-04 07:00:" + time + " " + instance + " " + rest + "\n";
}

std::string failed_request()
{
    return at("05.1", "e1",
              "info store: Upstream listed. event=upstream_listed "
              "upstream=u1") +
           at("01.0", "e1",
              "info store: Configuration in force. event=config_in_force "
              "config=12") +
           "some other program\n" +
           at("20.0", "e2",
              "warning store: The store does not answer. event=store_lost") +
           at("20.5", "e1",
              "warning request: Attempt failed. event=attempt_failed "
              "request_id=a1 upstream=u1 kind=connection_lost why=reset "
              "after_ms=5 may_have_run=yes") +
           at("20.6", "e1",
              "warning request: Request failed. event=request_failed "
              "request_id=a1 kind=connection_lost run=unknown status=502 "
              "upstream=u1") +
           at("20.7", "e1",
              "info request: Request served. event=request_served "
              "request_id=a2 kind=whole upstream=u1") +
           at("22.0", "e2",
              "info store: Upstream gone. event=upstream_gone upstream=u1") +
           at("40.0", "e1", "info gateway: Stopped. event=stopped");
}

} // namespace

// Guards against an explanation that leaves out the crash of the upstream,
// because another gateway logged it, or that shows what did not matter.
TEST_CASE("a request is explained with what was believed near it")
{
    std::istringstream log(failed_request());
    log_explanation const x = explain_from_log(log, "a1");
    CHECK(x.skipped == 1);
    REQUIRE(x.lines.size() == 2);
    CHECK(
        x.cause ==
        "Answered with status 502: the connection to the upstream broke. It "
        "may have run, so that it was not sent again. Failed attempts: u1 "
        "after 5 ms: the connection to the upstream broke (reset; it may have "
        "run).");
    REQUIRE(x.context.size() == 2);
    CHECK(x.context[0].event == "config_in_force");
    CHECK(x.context[1].event == "upstream_gone");
}

// Guards against an answer for a request that no line has.
TEST_CASE("an unknown request has no lines")
{
    std::istringstream log(failed_request());
    CHECK(explain_from_log(log, "a3").lines.empty());
}

// Guards against a request whose gateway was killed taken for a served one.
TEST_CASE("a request without an end is told as such")
{
    std::istringstream log(
        at("20.5", "e1",
           "warning request: Attempt failed. event=attempt_failed "
           "request_id=a1 upstream=u1 kind=answer_cut why=closed after_ms=5 "
           "may_have_run=no"));
    log_explanation const x = explain_from_log(log, "a1");
    CHECK(x.cause.starts_with("No end was logged"));
    CHECK(x.cause.find("it has not run") != std::string::npos);
}

// Guards against a refusal by quarantine that is told without the part and what
// it was convicted by.
TEST_CASE("a request with a quarantined part is explained with the verdict")
{
    std::istringstream log(
        at("01.0", "e1",
           "warning quarantine: A part of prompts is quarantined; it crashes "
           "upstreams. event=part_quarantined part=7b crashes=5") +
        at("30.0", "e1",
           "warning quarantine: A request is not sent; it crashes upstreams. "
           "event=request_quarantined request_id=a1 reason=part part=7b") +
        at("30.0", "e1",
           "warning request: Request failed. event=request_failed "
           "request_id=a1 kind=request_quarantined run=not_run status=503"));
    log_explanation const x = explain_from_log(log, "a1");
    CHECK(
        x.cause == "Refused with status 503: it, or a part of its prompt, had "
                   "crashed several upstreams. It has not run.");
    REQUIRE(x.lines.size() == 2);
    REQUIRE(x.context.size() == 1);
    CHECK(x.context.front().event == "part_quarantined");
}

// Guards against a refusal by the gateway's estimate that is explained as one
// of the upstreams, which were not asked.
TEST_CASE("a request refused by overload control is explained by its estimate")
{
    std::istringstream log(
        at("20.5", "e1",
           "warning request: No room. event=overload_refused request_id=a1 "
           "service=orders reason=cannot_end early_ms=850 likely_ms=1400 "
           "left_ms=700 retry_after_ms=200") +
        at("20.5", "e1",
           "warning request: Request failed. event=request_failed "
           "request_id=a1 kind=queue_full run=not_run status=503"));
    CHECK(
        explain_from_log(log, "a1").cause ==
        "Refused with status 503: its gateway had no room for it before its "
        "deadline: at best it would have ended after 850 ms, likely after 1400 "
        "ms, with 700 ms left. It has not run.");
}
