#include "gateway/crash_evidence.hpp"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <random>
#include <rapidcheck.h>
#include <set>

using namespace marjorambeam;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr steady_time start{seconds(50)};
// Share of requests that are lost in crashes on a day with some.
constexpr double usual_share = 0.015;

enum part : std::uint64_t
{
    first = 1,
    second,
    deadly,
    other_deadly,
    others = 100
};

// A baseline of many requests, of which this share was lost.
crash_baseline baseline(double share)
{
    constexpr double requests = 1e6;
    return {.lost = share * requests, .answered = (1 - share) * requests};
}

// Evidence of crashes that are a second apart.
struct crash_story
{
    crash_evidence e;
    steady_time now = start;
    std::uint64_t last_crash = 0;
    std::uint64_t last_request = 0;

    request_traits
    request(std::vector<std::uint64_t> parts, std::uint64_t organisation = 9)
    {
        return {++last_request, organisation, std::move(parts)};
    }
    // Of requests whose answers had begun.
    void crash(std::vector<request_traits> const& suspects)
    {
        now += seconds(1);
        crash_again(suspects);
    }
    // At the same moment as the crash before.
    void crash_again(std::vector<request_traits> const& suspects)
    {
        ++last_crash;
        for (request_traits const& it : suspects)
            add_suspect(it, true);
    }
    // To the last crash.
    void add_suspect(request_traits const& r, bool has_begun)
    {
        crash_suspect const s{r, has_begun};
        record_crash(e, last_crash, now, {&s, 1});
    }
    void answer(std::vector<std::uint64_t> parts)
    {
        record_survival(e, request(std::move(parts)), now);
    }
    part_findings findings(double share = usual_share) const
    {
        return judge_parts(e, baseline(share), now);
    }
    std::vector<std::uint64_t> guilty(double share = usual_share) const
    {
        std::vector<std::uint64_t> parts;
        for (part_finding const& it : findings(share).guilty)
            parts.push_back(it.part);
        return parts;
    }
};

using parts = std::vector<std::uint64_t>;

bool contains(parts const& all, std::uint64_t part)
{
    return std::find(all.begin(), all.end(), part) != all.end();
}

} // namespace

// Guards against a request that crashes one upstream after another.
TEST_CASE("A request reaches the crash limit at its third crash")
{
    crash_evidence e;
    request_traits const r{.request = 1};
    for (char const* it : {"a", "b", "c"})
    {
        CHECK_FALSE(reaches_crash_limit(e, 1));
        CHECK(may_repeat(e, r) == (std::string_view(it) != "c"));
        record_suspicion(e, {{.traits = r}, it, 5, start});
        CHECK(confirm_crash(e, it, start + seconds(2)).size() == 1);
    }
    CHECK(reaches_crash_limit(e, 1));
    CHECK(e.unreported_crashes.size() == 3);
    expire_crashes(e, start + crash_record_ttl + seconds(10));
    CHECK_FALSE(reaches_crash_limit(e, 1));
    CHECK(e.requests.empty());
}

// Guards against a request that crashes upstreams for ever, as the crashes of
// others displace the record of its own.
TEST_CASE("Requests reach the crash limit among many that crash upstreams")
{
    constexpr std::uint64_t requests = 200;
    crash_evidence e;
    std::uint64_t crash = 0;
    for (std::size_t round = 0; round < crash_limit; ++round)
    {
        for (std::uint64_t r = 1; r <= requests; ++r)
        {
            CHECK_FALSE(reaches_crash_limit(e, r));
            crash_suspect const s{{.request = r}, true};
            // One that waits is no suspect beside it.
            crash_suspect const waiting{{.request = requests + 1}, false};
            record_crash(e, ++crash, start + seconds(crash), {&s, 1});
            record_crash(e, crash, start + seconds(crash), {&waiting, 1});
        }
    }
    for (std::uint64_t r = 1; r <= requests; ++r)
        CHECK(reaches_crash_limit(e, r));
    CHECK(may_repeat(e, {.request = requests + 1}));
    expire_crashes(e, start + seconds(crash) + 2 * crash_record_ttl);
    CHECK(e.requests.empty());
}

// Guards against refusing harmless requests because upstreams reset connections
// without a crash.
TEST_CASE("A broken connection without a crash is not attributed")
{
    crash_evidence e;
    for (char const* it : {"a", "b", "c", "d"})
        record_suspicion(e, {{.traits = {.request = 1}}, it, 5, start});
    CHECK(may_repeat(e, {.request = 1}));
    CHECK(confirm_crash(e, "a", start + crash_suspicion_ttl + seconds(1))
              .empty());
    CHECK(e.unreported_crashes.empty());
}

// Guards against blame for a connection that was reset by an upstream which
// went on to answer others, and crashed later.
TEST_CASE("An answer ends earlier suspicions of its upstream")
{
    crash_evidence e;
    for (char const* it : {"a", "b"})
        record_suspicion(e, {{.traits = {.request = 1}}, it, 5, start});
    steady_time const later = start + seconds(1);
    record_sign_of_life(e, "a", 4, later);
    record_sign_of_life(e, "b", 5, start + read_delay / 2);
    CHECK(e.suspicions.size() == 2);
    record_sign_of_life(e, "a", 5, later);
    record_suspicion(e, {{.traits = {.request = 2}}, "a", 5, later});
    CHECK(confirm_crash(e, "a", later).size() == 1);
    CHECK(confirm_crash(e, "b", later).size() == 1);
}

// Guards against sound parts that are refused when a zone ends whose upstreams
// had reset connections before: each reset counted as a crash of its own.
TEST_CASE("A connection that is accepted after a break ends the suspicion")
{
    bool const is_accepted = GENERATE(false, true);
    CAPTURE(is_accepted);
    crash_evidence e;
    std::array<char const*, 5> const zone{"a", "b", "c", "d", "e"};
    steady_time at = start;
    std::uint64_t request = 0;
    for (char const* const it : zone)
    {
        request_traits const r{.request = ++request, .parts = {9}};
        record_suspicion(e, {{.traits = r}, it, 5, at});
        record_accepted_connection(e, it, 4, at); // another incarnation
        if (is_accepted)
            record_accepted_connection(e, it, 5, at);
        at += milliseconds(500);
    }
    for (char const* const it : zone)
        confirm_crash(e, it, at);
    part_findings const found = judge_parts(e, {}, at + seconds(3));
    CHECK(found.guilty.size() == (is_accepted ? 0 : 1));
}

// Guards against a deadly part that goes unseen because the gateway drops the
// answer, to ask a larger model, before the upstream crashes on it, and against
// blame for answers that were dropped long before.
TEST_CASE("An answer dropped just before a crash is suspected of it")
{
    crash_evidence e;
    auto suspicion = [](std::uint64_t request, steady_time at, bool was_dropped)
    {
        return crash_suspicion{
            .suspect = {{.request = request}, true},
            .upstream = "a",
            .upstream_started_ms = 5,
            .at = at,
            .was_dropped = was_dropped};
    };
    bool const is_seen_here = GENERATE(false, true);
    CAPTURE(is_seen_here);
    steady_time const crashed = start + seconds(3);
    record_suspicion(e, suspicion(1, crashed - milliseconds(100), true));
    record_suspicion(
        e, suspicion(2, crashed - 2 * dropped_answer_window, true));
    record_suspicion(e, suspicion(3, crashed + milliseconds(400), true));
    if (is_seen_here)
        record_suspicion(e, suspicion(4, crashed, false));
    else
        record_crash(e, crash_id("a", 5), crashed, {});
    std::vector<crash_suspicion> const confirmed =
        is_seen_here
            ? confirm_crash(e, "a", crashed + milliseconds(500))
            : confirm_crash(e, crash_id("a", 5), crashed + milliseconds(500));
    std::set<std::uint64_t> requests;
    for (crash_suspicion const& it : confirmed)
        requests.insert(it.suspect.traits.request);
    CHECK(
        requests == (is_seen_here ? std::set<std::uint64_t>{1, 4}
                                  : std::set<std::uint64_t>{1}));
    CHECK(e.suspicions.empty());
}

// Guards against counting a crash twice when several gateways report it, and
// against keeping the record of a request that was answered later.
TEST_CASE("A crash counts once and an answer clears the request's record")
{
    crash_evidence e;
    request_traits const t{.request = 1, .parts = {deadly}};
    std::vector<crash_suspect> const r{{.traits = t}};
    record_crash(e, crash_id("a", 50), start, r);
    record_crash(e, crash_id("a", 50), start, r);
    CHECK(may_repeat(e, t));
    CHECK(e.parts.at(deadly).crashes.size() == 1);
    record_crash(e, crash_id("a", 51), start, r);
    CHECK_FALSE(may_repeat(e, t));
    record_survival(e, t, start);
    CHECK(may_repeat(e, t));
}

// Guards against different requests that share a fingerprint.
TEST_CASE("The fingerprint covers path, organisation, body and prompt")
{
    std::vector<std::string_view> const prompt{"shared", "own"};
    std::vector<std::string_view> const other{"shared", "other"};
    request_contents const r{
        .target = "/a", .organisation = "o", .body = "body", .prompt = prompt};
    std::uint64_t const one = request_fingerprint(r);
    CHECK(one == request_fingerprint({"/a", "o", "body", prompt}));
    CHECK(one != request_fingerprint({"/b", "o", "body", prompt}));
    CHECK(one != request_fingerprint({"/a", "p", "body", prompt}));
    CHECK(one != request_fingerprint({"/a", "o", "bodx", prompt}));
    CHECK(one != request_fingerprint({"/a", "o", "body", other}));
    CHECK(one != request_fingerprint({"/a", "o", "body", {}}));
}

// Guards against unbounded memory use when callers make up parts.
TEST_CASE("Records of crashes, suspects and parts are bounded")
{
    crash_story s;
    for (int i = 0; i < 80; ++i)
    {
        std::vector<request_traits> suspects;
        for (int j = 0; j < 200; ++j)
        {
            parts made_up;
            for (std::uint64_t k = 0; k < 40; ++k)
                made_up.push_back(s.last_request * 100 + k);
            suspects.push_back(s.request(made_up));
        }
        s.crash(suspects);
    }
    CHECK(s.e.crashes.size() <= max_crash_records);
    CHECK(s.e.crashes.back().suspects.size() == max_suspects);
    CHECK(s.e.parts.size() <= max_part_records);
    CHECK(s.e.requests.size() <= max_request_records);
    for (std::size_t i = 0; i < max_suspicions + 10; ++i)
        record_suspicion(s.e, {{.traits = {.request = i}}, "a", 5, start});
    CHECK(s.e.suspicions.size() == max_suspicions);
    expire_crashes(s.e, s.now + crash_record_ttl + seconds(1));
    CHECK(s.e.parts.empty());
    CHECK(s.e.requests.empty());
}

// Guards against a part that crashes upstreams unseen because no two requests
// with it are alike, and against blame for the sound parts beside it.
TEST_CASE("A deadly part is found and the parts that share its crashes are not")
{
    crash_story s;
    for (std::uint64_t i = 0; i < 3; ++i)
    {
        CHECK(s.guilty().empty());
        s.crash(
            {s.request({first, second, deadly}), s.request({first, others + i}),
             s.request({others + 50, others + 60 + i})});
        s.answer({first, others + i});
    }
    part_findings const found = s.findings();
    REQUIRE(found.guilty.size() == 1);
    CHECK(found.guilty.front().part == deadly);
    CHECK(found.guilty.front().crashes == 3);
    CHECK(found.guilty.front().requests == 3);
    // The part before it has only been seen together with it.
    CHECK(contains(found.explained, second));
}

// Guards against sound parts that are taken for deadly because upstreams crash
// often, and against deadly ones that go unnoticed then.
TEST_CASE("More crashes are needed when many requests are lost in crashes")
{
    auto const [share, needed] = GENERATE(
        table<double, int>({{0.005, 3}, {0.03, 4}, {0.1, 5}, {0.4, 5}}));
    CAPTURE(share);
    crash_story s;
    for (int i = 1; i <= needed; ++i)
    {
        CHECK(s.guilty(share).empty());
        s.crash({s.request({first, deadly})});
    }
    CHECK(s.guilty(share) == parts{deadly});
}

// Guards against blame for every popular part when a rack loses power.
TEST_CASE("Crashes at one moment count as one")
{
    crash_story s;
    for (int i = 0; i < 12; ++i)
        s.crash_again({s.request({first, second})});
    CHECK(s.guilty(min_crash_share).empty());
    CHECK(s.findings().suspected.empty());
}

// Guards against a popular part that is refused because it is on every upstream
// that crashes.
TEST_CASE("Answered requests outweigh shared crashes")
{
    constexpr double share = 0.03;
    crash_story s;
    for (int i = 0; i < 40; ++i)
    {
        s.crash({s.request({first}), s.request({first})});
        s.answer({first});
        CHECK(s.guilty(share).empty());
    }
    CHECK(contains(s.findings(share).answered, first));
}

// Guards against a popular part that is refused because the answers to requests
// with it are still under way when several upstreams have crashed.
TEST_CASE("A part that was answered before is judged with a delay")
{
    crash_story s;
    for (int i = 0; i < 9; ++i)
        s.answer({first});
    s.now += seconds(1);
    for (int i = 0; i < 5; ++i)
    {
        s.now += milliseconds(300);
        s.crash_again({s.request({first}), s.request({deadly})});
    }
    CHECK(s.guilty() == parts{deadly});
    s.now += answered_part_delay;
    part_findings const found = s.findings();
    // Nothing but the position in the prompt tells them apart.
    CHECK(found.guilty.size() == 1);
}

// Guards against blame for the requests that wait in the queue of an upstream
// while it crashes on another one, whichever gateway reports first.
TEST_CASE("Requests that wait are not suspected beside one that had begun")
{
    bool const begun_is_first = GENERATE(false, true);
    CAPTURE(begun_is_first);
    crash_story s;
    for (int i = 0; i < 3; ++i)
    {
        request_traits const begun = s.request({deadly});
        request_traits const waiting = s.request({others, second});
        s.crash({});
        s.add_suspect(begun_is_first ? begun : waiting, begun_is_first);
        s.add_suspect(begun_is_first ? waiting : begun, !begun_is_first);
    }
    CHECK(s.guilty() == parts{deadly});
    CHECK(may_repeat(s.e, {.request = s.last_request}));
    CHECK(reaches_crash_limit(s.e, 1) == false);
    for (int i = 0; i < 3; ++i)
    {
        s.crash({});
        s.add_suspect(s.request({others, second}), false);
    }
    CHECK(contains(s.guilty(), second));
}

// Guards against a sound part that protects itself for good: it may become
// deadly, as with another version of the upstreams.
TEST_CASE("A part that was answered many times can turn deadly")
{
    crash_story s;
    s.crash({s.request({first, deadly})});
    for (int i = 0; i < 1000; ++i)
        s.answer({first, deadly});
    for (int i = 0; i < 3; ++i)
    {
        CHECK(s.guilty().empty());
        s.crash({s.request({first, deadly})});
        s.answer({first});
    }
    CHECK(s.guilty() == parts{deadly});
}

// Guards against one request that is sent again and again, and makes all parts
// of its prompt guilty.
TEST_CASE("Crashes of a single request do not convict its parts")
{
    crash_story s;
    request_traits const r = s.request({first, second});
    for (int i = 0; i < 8; ++i)
        s.crash({r});
    CHECK(s.guilty().empty());
    CHECK(contains(s.findings().suspected, second));
    s.crash({s.request({first, second})});
    CHECK(s.guilty() == parts{second});
}

// Guards against a sound part that is refused because one request with it was
// repeated and lost in crashes of other causes again.
TEST_CASE("A repeated request adds nothing to the evidence against its parts")
{
    crash_story s;
    request_traits const repeated = s.request({first, second});
    s.crash({repeated});
    s.crash({repeated});
    s.crash({s.request({others, second})});
    CHECK(s.guilty().empty());
    s.crash({s.request({others + 1, second})});
    CHECK(s.guilty() == parts{second});
}

// Guards against the shared beginning of all prompts of a caller that is
// refused in place of the part behind it, about which as much is known.
TEST_CASE("Of parts with the same evidence the last one is guilty")
{
    crash_story s;
    for (int i = 0; i < 3; ++i)
        s.crash({s.request({deadly, second})});
    CHECK(s.guilty() == parts{second});
    // Requests with the first part alone crash too: it was the one.
    s.crash({s.request({deadly, others})});
    CHECK(contains(s.guilty(), deadly));
}

// Guards against a sound part that stays guilty after the deadly one is known.
TEST_CASE("A guilty part explains the crashes of the parts beside it")
{
    crash_story s;
    for (int i = 0; i < 3; ++i)
        s.crash({s.request({first, deadly, second})});
    REQUIRE(s.guilty() == parts{second});
    for (int i = 0; i < 2; ++i)
        s.crash({s.request({first, deadly, others})});
    CHECK(s.guilty() == parts{deadly});
    CHECK(contains(s.findings().explained, second));
}

// Guards against a second deadly part that hides behind the first one.
TEST_CASE("Several parts can be deadly at once")
{
    bool const are_together = GENERATE(false, true);
    CAPTURE(are_together);
    crash_story s;
    for (int i = 0; i < 4; ++i)
    {
        if (are_together)
        {
            s.crash({s.request({first, deadly, other_deadly})});
        }
        else
        {
            s.crash({s.request({first, deadly})});
            s.crash({s.request({first, other_deadly})});
        }
        s.answer({first});
    }
    if (are_together)
    {
        // Each explains the crashes of the other until they come apart.
        CHECK(s.guilty() == parts{other_deadly});
        s.crash({s.request({first, deadly})});
        CHECK(s.guilty() == parts{deadly});
        s.crash({s.request({first, other_deadly})});
    }
    CHECK(contains(s.guilty(), deadly));
    CHECK(contains(s.guilty(), other_deadly));
    CHECK(s.guilty().size() == 2);
}

// Guards against a caller that crashes upstreams with the parts of others in
// its prompts, so that theirs are refused.
TEST_CASE("Crashes of one organisation are held against it alone")
{
    constexpr std::uint64_t attacker = 5;
    constexpr std::uint64_t victim = 6;
    crash_story s;
    for (int i = 0; i < 4; ++i)
        s.crash({s.request({second}, attacker)});
    REQUIRE(s.findings().guilty.size() == 1);
    CHECK(s.findings().guilty.front().organisation == attacker);
    // The part is deadly for another one too.
    s.crash({s.request({second}, victim)});
    CHECK(s.findings().guilty.front().organisation == 0);
}

// Guards against evidence that depends on the order in which gateways hear of
// it, so that some of them send what others refuse.
TEST_CASE("Gateways that hear of crashes in any order find the same parts")
{
    CHECK(rc::check(
        "the order of reports does not matter",
        [](std::uint32_t seed)
        {
            std::mt19937 random(seed);
            struct told
            {
                std::uint64_t crash = 0;
                crash_suspect suspect;
            };
            std::vector<told> all;
            std::uint64_t request = 0;
            for (std::uint64_t c = 0; c < 5; ++c)
            {
                all.push_back({c, {{++request, 1, {first, deadly}}}});
                for (int i = 0; i < 3; ++i)
                    all.push_back(
                        {c, {{++request, 1, {first, others + random() % 6}}}});
            }
            auto judge = [&]
            {
                crash_evidence e;
                for (told const& it : all)
                    record_crash(
                        e, it.crash, start + seconds(it.crash),
                        {&it.suspect, 1});
                record_reported_survivals(e, first, 4);
                for (std::uint64_t i = 0; i < 6; ++i)
                    record_reported_survivals(e, others + i, 1);
                parts guilty;
                for (part_finding const& f :
                     judge_parts(e, baseline(usual_share), start + seconds(9))
                         .guilty)
                    guilty.push_back(f.part);
                return guilty;
            };
            parts const before = judge();
            std::shuffle(all.begin(), all.end(), random);
            RC_ASSERT(judge() == before);
            RC_ASSERT(contains(before, deadly));
        }));
}

// Guards against a baseline that a single gateway of a large fleet takes from
// its own few answers, and against a deadly part that makes crashes look common
// and so hides among them.
TEST_CASE("The share of lost requests is that of all requests without the part")
{
    crash_story s;
    for (int i = 0; i < 20; ++i)
        s.answer({others});
    s.crash({s.request({first}), s.request({first, second})});
    // Of one second, two were lost, one more is counted, and two were answered
    // for each gateway.
    auto share = [&](std::size_t gateways, duration later, std::uint64_t part)
    { return crash_share(baseline_of(s.e, gateways, s.now + later), part); };
    CHECK(share(1, duration{0}, others) == Approx(max_crash_share));
    CHECK(share(49, duration{0}, others) == Approx(3.0 / (3 + 98)));
    CHECK(share(49, seconds(4), others) == Approx(3.0 / (3 + 4 * 98)));
    CHECK(share(49, duration{0}, second) == Approx(2.0 / (2 + 98)));
    CHECK(share(49, duration{0}, first) == Approx(1.0 / (1 + 98)));
    // Nothing is known of the time since.
    CHECK(
        share(49, crash_share_window + seconds(1), others) == max_crash_share);
}
