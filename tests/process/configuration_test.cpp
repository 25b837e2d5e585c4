// Edits under load, with an object API that fails.
#include "steady_load.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace marjorambeam;
using namespace std::chrono_literals;
using nlohmann::json;

namespace
{

std::vector<std::string> const none;
constexpr int exit_conflict = 4;
constexpr int exit_unavailable = 5;

upstream_plan engine_in(std::string const& zone)
{
    return {.zone = zone, .flags = {"--token-interval-us", "1000"}};
}

bool is_in_force(process_fleet& fleet, std::uint64_t generation)
{
    return std::all_of(
        fleet.daemons().begin(), fleet.daemons().end(),
        [&](auto const& it) { return fleet.generation(it) >= generation; });
}

// Runs a change and returns the time when it was accepted.
steady_time change(process_fleet& fleet, std::vector<std::string> const& words)
{
    REQUIRE(fleet.run_ctl(words) == 0);
    return steady_now();
}

// Under load, checks that no request starts at the engines later than 3 s
// after `accepted_at`.
void check_no_starts(
    process_fleet& fleet, steady_load& load, steady_time accepted_at,
    std::vector<std::string> const& engines)
{
    REQUIRE(fleet.wait([&] { return steady_now() > accepted_at + 3s; }, 4s));
    std::vector<std::uint64_t> before;
    before.reserve(engines.size());
    for (std::string const& it : engines)
        before.push_back(fleet.count(it, "started"));
    std::size_t const answered = load.answered();
    REQUIRE(fleet.wait([&] { return load.answered() >= answered + 200; }, 10s));
    for (std::size_t i = 0; i < engines.size(); ++i)
        CHECK(fleet.count(engines[i], "started") == before[i]);
}

void check_starts_again(
    process_fleet& fleet, std::vector<std::string> const& engines)
{
    auto starts = [&]
    {
        std::uint64_t sum = 0;
        for (std::string const& it : engines)
            sum += fleet.count(it, "started");
        return sum;
    };
    std::uint64_t const before = starts();
    CHECK(fleet.wait([&] { return starts() > before; }, 7s));
}

void check_nothing_lost(steady_load& load)
{
    CHECK(load.finish(10s));
    CHECK(load.wrong().empty());
    CHECK(load.failed_tries() == none);
}

} // namespace

// Guards against work that depends on the object API, against edits that seem
// to be accepted while it is down, and against an edit that is not in force
// everywhere within 7 s afterwards (I12).
TEST_CASE("an outage of the object API stops edits only")
{
    process_fleet fleet(
        {.entries = 2,
         .upstreams = {engine_in("zone-1"), engine_in("zone-1")}});
    steady_load load(
        fleet, {.concurrency = 4, .entries = 2, .call = {.tokens = 20}});
    std::string const faults = fleet.url("object-api") + "/faults";
    fleet.put(faults, {{"down", true}});
    steady_time const down_at = steady_now();
    std::uint64_t const before = fleet.generation("entry-0");
    CHECK(
        fleet.run_ctl(
            {"--timeout-ms", "2000", "upstream", "out", "upstream-0"}) ==
        exit_unavailable);
    REQUIRE(fleet.wait([&] { return steady_now() > down_at + 20s; }, 21s));
    for (std::string const& it : fleet.daemons())
        CHECK(fleet.generation(it) == before);
    std::size_t const answered = load.answered();
    CHECK(fleet.wait([&] { return load.answered() >= answered + 20; }, 2s));

    fleet.put(faults, {{"down", false}});
    steady_time const accepted_at =
        change(fleet, {"upstream", "out", "upstream-0"});
    CHECK(fleet.wait([&] { return is_in_force(fleet, before + 1); }, 7s));
    CHECK(to_seconds(steady_now() - accepted_at) < 7);
    check_nothing_lost(load);
}

// Guards against work in an availability zone that was taken out (I6), and
// against requests that are lost when it leaves or returns.
TEST_CASE("an availability zone is taken out and brought back under load")
{
    process_fleet fleet(
        {.entries = 2,
         .upstreams =
             {engine_in("zone-1"), engine_in("zone-2"), engine_in("zone-2")},
         .entry_zones = {"zone-1", "zone-2"}});
    steady_load load(
        fleet, {.concurrency = 12, .entries = 2, .call = {.tokens = 20}});
    REQUIRE(fleet.wait(
        [&]
        {
            return fleet.count("engine-1", "started") +
                       fleet.count("engine-2", "started") >
                   0;
        },
        5s));
    steady_time const accepted_at = change(fleet, {"zone", "out", "zone-2"});
    check_no_starts(fleet, load, accepted_at, {"engine-1", "engine-2"});
    change(fleet, {"zone", "in", "zone-2"});
    check_starts_again(fleet, {"engine-1", "engine-2"});
    check_nothing_lost(load);
}

// Guards against work at an upstream that was taken out (I10).
TEST_CASE("an upstream is taken out and brought back under load")
{
    process_fleet fleet(
        {.entries = 2,
         .upstreams = {engine_in("zone-1"), engine_in("zone-1")}});
    steady_load load(
        fleet, {.concurrency = 12, .entries = 2, .call = {.tokens = 20}});
    REQUIRE(
        fleet.wait([&] { return fleet.count("engine-1", "started") > 0; }, 5s));
    steady_time const accepted_at =
        change(fleet, {"upstream", "out", "upstream-1"});
    check_no_starts(fleet, load, accepted_at, {"engine-1"});
    change(fleet, {"upstream", "in", "upstream-1"});
    check_starts_again(fleet, {"engine-1"});
    check_nothing_lost(load);
}

// Guards against work for a withdrawn version (I2), and against another
// version in its place where the contract permits no other (I1).
TEST_CASE("a version is withdrawn under load")
{
    process_fleet fleet(
        {.entries = 2,
         .upstreams = {engine_in("zone-1"), engine_in("zone-1")}});
    steady_load load(
        fleet, {.concurrency = 8, .entries = 2, .call = {.tokens = 20}});
    chat_call const call{
        .prompt = "p", .model = "assess", .key = "nordlaks-key"};
    CHECK(
        fleet.finish(fleet.ask(0, call), 5s)->header("x-model-version") ==
        "assess@v2");
    steady_time const accepted_at =
        change(fleet, {"version", "withdraw", "assess@v2"});
    REQUIRE(fleet.wait([&] { return steady_now() > accepted_at + 3s; }, 4s));
    std::size_t const answered = load.answered();
    REQUIRE(fleet.wait([&] { return load.answered() >= answered + 100; }, 10s));
    for (int entry = 0; entry < 2; ++entry)
    {
        auto const refused = fleet.finish(fleet.ask(entry, call), 5s);
        CHECK(refused->error_field("kind") == "version_withdrawn");
        CHECK(refused->error_field("run") == "not_run");
    }
    CHECK(load.finish(10s));
    CHECK(load.wrong().empty());
    CHECK(load.cut() == 0);
    for (load_request const& it : load.done())
    {
        if (it.call->sent_at > accepted_at + 3s)
            CHECK(it.call->header("x-model-version") == "assess@v1");
    }
}

// Guards against a caller that is refused although its contract permits another
// version: the agent has learnt of the withdrawal a moment before the entry.
TEST_CASE("requests for a model go on when one version is withdrawn")
{
    process_fleet fleet(
        {.entries = 2,
         .upstreams = {engine_in("zone-1"), engine_in("zone-1")}});
    steady_load load(
        fleet, {.concurrency = 32, .entries = 2, .call = {.tokens = 2}});
    for (int i = 0; i < 15; ++i)
    {
        change(fleet, {"version", "withdraw", "assess@v2"});
        std::size_t const answered = load.answered();
        REQUIRE(
            fleet.wait([&] { return load.answered() >= answered + 100; }, 5s));
        change(fleet, {"version", "activate", "assess@v2"});
    }
    check_nothing_lost(load);
}

// Guards against an edit that is made twice, or reported as failed, because the
// object API's answer was lost (section 5.1).
TEST_CASE("an edit whose answer is lost is accepted once")
{
    process_fleet fleet({.upstreams = {engine_in("zone-1")}});
    std::uint64_t const before = fleet.generation("entry-0");
    fleet.put(fleet.url("object-api") + "/faults", {{"lose_answers", 1}});
    change(fleet, {"upstream", "out", "upstream-0"});
    auto const history = fleet.ctl({"history"});
    REQUIRE(fleet.wait([&] { return history->exit_code().has_value(); }, 5s));
    json const rows = json::parse(history->output());
    CHECK(rows.size() == before + 1);
    CHECK(rows[0]["generation"] == before + 1);
    CHECK(fleet.count("object-api", "lost_answers") == 1);
}

// Guards against an operator's change that silently replaces another's: the
// slow object API makes both read the same configuration.
TEST_CASE("two racing edits of one document give one conflict")
{
    process_fleet fleet({.upstreams = {engine_in("zone-1")}});
    std::uint64_t const before = fleet.generation("entry-0");
    fleet.put(fleet.url("object-api") + "/faults", {{"delay_ms", 700}});
    auto const a =
        fleet.ctl({"--author", "first", "version", "roll", "tag@v1", "0.1"});
    auto const b =
        fleet.ctl({"--author", "second", "version", "roll", "tag@v1", "0.2"});
    REQUIRE(fleet.wait([&] { return a->exit_code() && b->exit_code(); }, 12s));
    bool const has_a_won = *a->exit_code() == 0;
    child_process& winner = has_a_won ? *a : *b;
    child_process& loser = has_a_won ? *b : *a;
    CHECK(*winner.exit_code() == 0);
    CHECK(*loser.exit_code() == exit_conflict);
    json const shown = json::parse(loser.errors(), nullptr, false);
    REQUIRE(shown.contains("other"));
    CHECK(shown["other"]["author"] == (has_a_won ? "first" : "second"));
    CHECK(shown["other"]["generation"] == before + 1);
    fleet.put(fleet.url("object-api") + "/faults", {{"delay_ms", 0}});
    CHECK(fleet.wait([&] { return is_in_force(fleet, before + 1); }, 7s));
    CHECK(fleet.generation("entry-0") == before + 1);
}
