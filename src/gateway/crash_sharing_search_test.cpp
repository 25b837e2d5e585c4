// All orders in which two gateways can hear of crashes, restart and read the
// store.
#include "gateway/crash_sharing.hpp"
#include "state_search/state_search.hpp"

#include <array>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

using namespace marjorambeam;
using std::chrono::seconds;

namespace
{

constexpr steady_time start{seconds(100)};
constexpr std::uint64_t first = 1; // of sound requests, too
constexpr std::uint64_t deadly = 2;
constexpr std::uint64_t most_requests = 9;
constexpr std::array<char const*, 2> names{"a", "b"};

// Which parts of the design are at work; the search must fail without each.
struct guards
{
    bool reports_crashes = true;
    bool reads_store_at_start = true;
};

// What a gateway knows. All crashes are alike, so that their number tells all.
struct known
{
    std::uint64_t crashes = 0;
    bool has_entry = false;  // of the store
    bool has_missed = false; // a report, or what it knew before a restart
    bool has_started_later = false; // than the entry was stored
};

struct fleet
{
    std::array<known, 2> gateways;
    // Crashes whose reports to a gateway are under way.
    std::array<std::uint64_t, 2> reports{};
    std::uint64_t crashes = 0;
    bool is_stored = false;
    std::string fault;
};

// The state of a gateway that has heard of these crashes, a second apart, in
// which sound requests with the first part were answered.
bool refuses(std::size_t i, known const& k)
{
    gateway_state s;
    s.settings.instance = names[i];
    std::vector<crash_suspect> suspects{{}};
    for (std::uint64_t it = 1; it <= k.crashes; ++it)
    {
        suspects.front().traits = {
            .request = it, .organisation = 1, .parts = {first, deadly}};
        steady_time const at = start + seconds(it);
        record_crash(s.crashes, it, at, suspects);
        record_survival(s.crashes, {.request = 99, .parts = {first}}, at);
    }
    if (k.has_entry)
        apply_stored(s.quarantine, {.key = {deadly, 0}}, 1, start);
    judge_crashes(s, start + seconds(20), 0);
    CHECK_FALSE(
        find_quarantine(s.quarantine, {.organisation = 1, .parts = {first}}));
    return find_quarantine(
               s.quarantine, {.organisation = 1, .parts = {first, deadly}}) !=
           nullptr;
}

std::string key_of(fleet const& f)
{
    std::string key = std::to_string(f.crashes) + (f.is_stored ? "s" : "-");
    for (std::size_t i = 0; i < 2; ++i)
    {
        known const& k = f.gateways[i];
        key += k.has_entry ? "|e" : "|-";
        key += k.has_missed ? "m" : "-";
        key += k.has_started_later ? "l" : "-";
        key += std::to_string(k.crashes) + "<" + std::to_string(f.reports[i]);
    }
    return key + f.fault;
}

// A request with the deadly part reaches an engine unless it is refused.
template <class Emit>
void ask(fleet f, std::size_t i, guards const& g, Emit&& emit)
{
    known& k = f.gateways[i];
    if (f.crashes >= most_requests || refuses(i, k))
        return;
    bool const knows_all = !k.has_missed && f.reports[i] == 0;
    if (k.crashes >= crashes_until_guilty || k.has_entry)
        f.fault = "sent what it knew to be deadly";
    else if (knows_all && f.crashes >= crashes_until_guilty)
        f.fault = "sent after five crashes that others saw";
    else if (k.has_started_later)
        f.fault = "sent after a restart";
    ++f.crashes;
    ++k.crashes;
    if (g.reports_crashes)
        ++f.reports[1 - i];
    emit("request", std::move(f));
}

template <class Emit>
void next_steps(fleet const& f, guards const& g, Emit&& emit)
{
    for (std::size_t i = 0; i < 2; ++i)
    {
        ask(f, i, g, emit);
        if (f.reports[i] > 0)
        {
            fleet n = f;
            --n.reports[i];
            ++n.gateways[i].crashes;
            emit("report arrives", n);
            --n.gateways[i].crashes;
            n.gateways[i].has_missed = true;
            emit("report is lost", std::move(n));
        }
        if (!f.is_stored && refuses(i, f.gateways[i]))
        {
            fleet n = f;
            n.is_stored = true;
            n.gateways[i].has_entry = true;
            emit("entry is stored", std::move(n));
        }
        if (f.is_stored && !f.gateways[i].has_entry)
        {
            fleet n = f;
            n.gateways[i].has_entry = true;
            emit("store tells of the entry", std::move(n));
        }
        if (f.gateways[i].crashes > 0)
        {
            fleet n = f;
            n.gateways[i] = {
                .has_entry = f.is_stored && g.reads_store_at_start,
                .has_missed = true,
                .has_started_later = f.is_stored};
            emit("restart", std::move(n));
        }
    }
}

search_result search(guards const& g)
{
    constexpr std::size_t most_states = 1'000'000;
    return search_states(
        fleet{}, key_of,
        [&](fleet const& f, auto&& emit) { next_steps(f, g, emit); },
        [](fleet const& f) { return f.fault; }, most_states);
}

} // namespace

// Guards against an order of reports, losses, restarts and reads of the store
// after which a gateway sends what it should know to be deadly, or refuses the
// part that sound requests share.
TEST_CASE("No order of events lets a gateway forget a deadly part")
{
    search_result const r = search({});
    CAPTURE(r.path, r.states);
    CHECK(r.fault.empty());
    CHECK(r.is_complete);
    CHECK(r.states > 1000);
}

// Guards against a search that would pass without the mechanisms it is about.
TEST_CASE("The search over crash reports fails without each guard")
{
    CHECK_FALSE(search({.reports_crashes = false}).fault.empty());
    CHECK_FALSE(search({.reads_store_at_start = false}).fault.empty());
}
