// Calls that may run once only.
#include "base/id.hpp"
#include "process_fleet.hpp"

#include <catch2/catch.hpp>
#include <csignal>

using namespace marjorambeam;
using namespace std::chrono_literals;

namespace
{

upstream_plan const service{.is_service = true};

std::uint64_t executions(process_fleet& fleet, std::string const& key)
{
    std::uint64_t sum = 0;
    for (char const* it : {"service-0", "service-1"})
    {
        auto const counts = fleet.get(fleet.url(it) + "/counts");
        sum += counts["executions"].value(key, std::uint64_t{0});
    }
    return sum;
}

// A refusal is true if it does not deny the execution that has happened.
bool is_truthful(fleet_call const& call)
{
    std::string const run = call.error_field("run");
    return call.status() == 200 || run == "ran" || run == "unknown";
}

void check_runs_once(std::string const& key)
{
    process_fleet fleet({.entries = 2, .upstreams = {service, service}});
    // No agent may own the keyspace at first; such a refusal was not run.
    std::shared_ptr<fleet_call> first;
    REQUIRE(fleet.wait(
        [&]
        {
            first = fleet.call_service(0, "adjust 1", key);
            fleet.finish(first, 10s);
            return first->status() == 200 ||
                   first->error_field("run") != "not_run";
        },
        15s));
    CHECK(first->status() == 200);
    CHECK(executions(fleet, key) == 1);
    auto const again = fleet.call_service(1, "adjust 1", key);
    fleet.finish(again, 10s);
    INFO(again->body);
    CHECK(is_truthful(*again));
    CHECK(executions(fleet, key) == 1);

    bool const is_first =
        fleet.get(fleet.url("service-0") + "/counts")["total"] == 1;
    std::string const owner = is_first ? "agent-0" : "agent-1";
    fleet.process(owner).signal(SIGKILL);
    REQUIRE(fleet.wait(
        [&] { return fleet.process(owner).exit_code().has_value(); }, 2s));
    fleet.start_again(owner);
    for (int entry = 0; entry < 2; ++entry)
    {
        std::shared_ptr<fleet_call> late;
        // Until the restarted agent is known and owns its keys again.
        CHECK(fleet.wait(
            [&]
            {
                late = fleet.call_service(entry, "adjust 1", key);
                fleet.finish(late, 10s);
                std::string const kind = late->error_field("kind");
                return kind != "keyspace_unavailable" &&
                       kind != "no_upstream" && kind != "connection_lost" &&
                       kind != "not_keyspace_owner" && kind != "not_ready";
            },
            10s));
        INFO(late->body);
        CHECK(is_truthful(*late));
        CHECK(executions(fleet, key) == 1);
    }
}

} // namespace

// Guards against a second execution of a seamer adjustment or charge when its
// key arrives at another entry or after the owner's memory is lost, and
// against answers that deny the execution (I8, I9). The key carries its time.
TEST_CASE("a call whose key carries its time runs once")
{
    check_runs_once(make_uuid7(to_unix_ms(wall_now()), 42));
}

// The same for a key that is reserved in the object API.
TEST_CASE("a call with any other key runs once")
{
    check_runs_once("charge-1234");
}
