#include "gateway/part_quarantine.hpp"

#include <catch2/catch.hpp>

using namespace marjorambeam;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace
{

constexpr steady_time now{seconds(50)};
constexpr std::int64_t unix_now = 1'700'000'000'000;
constexpr std::uint64_t bad = 7;
constexpr std::uint64_t organisation = 3;

std::int64_t later(duration d)
{
    return unix_now + std::chrono::duration_cast<milliseconds>(d).count();
}

part_findings guilty(std::uint64_t part, std::uint64_t of = 0)
{
    part_findings f;
    f.guilty.push_back({.part = part, .organisation = of, .crashes = 3});
    return f;
}

request_traits request(std::uint64_t part, std::uint64_t of = organisation)
{
    return {.request = 1, .organisation = of, .parts = {1, part}};
}

// An entry that the store holds.
part_quarantine stored(std::uint32_t trials = 0)
{
    part_quarantine q;
    stored_quarantine const s{
        .key = {bad, 0},
        .since_unix_ms = unix_now,
        .trials = trials,
        .next_trial_unix_ms = later(first_trial_after)};
    apply_stored(q, s, 12, now);
    return q;
}

} // namespace

// Guards against refusing requests that only share other parts, or are of
// another organisation.
TEST_CASE("An entry covers its part and its organisation")
{
    part_quarantine q;
    CHECK(find_quarantine(q, request(bad)) == nullptr);
    quarantine_changes const c =
        apply_findings(q, guilty(bad, organisation), now, unix_now);
    REQUIRE(c.added.size() == 1);
    CHECK(find_quarantine(q, request(bad)) != nullptr);
    CHECK(find_quarantine(q, request(bad + 1)) == nullptr);
    CHECK(find_quarantine(q, request(bad, organisation + 1)) == nullptr);
    apply_findings(q, guilty(bad), now, unix_now);
    CHECK(find_quarantine(q, request(bad, organisation + 1)) != nullptr);
    CHECK(apply_findings(q, guilty(bad), now, unix_now).added.empty());
    part_findings f;
    f.suspected = {9, 8};
    apply_findings(q, f, now, unix_now);
    CHECK(has_suspected_part(q, request(8)));
    CHECK_FALSE(has_suspected_part(q, request(10)));
}

// Guards against a sound part that stays refused once the guilty one is known,
// and against gateways that disagree about an entry that the store holds.
TEST_CASE("An entry is withdrawn when nothing is left against its part")
{
    part_quarantine q;
    apply_findings(q, guilty(bad), now, unix_now);
    part_findings f;
    f.answered = {bad};
    CHECK(apply_findings(q, f, now, unix_now).withdrawn.size() == 1);
    CHECK(q.entries.empty());
    q = stored();
    quarantine_changes const c = apply_findings(q, f, now, unix_now);
    CHECK(c.withdrawn.empty());
    CHECK(c.cleared.size() == 1);
    CHECK(q.entries.size() == 1);
    CHECK(remove_stored(q, {bad, 0}));
}

// Guards against a caller whose requests crash upstreams again as soon as those
// of others with the same part are answered.
TEST_CASE("An entry for one organisation stands when others are answered")
{
    part_quarantine q;
    apply_findings(q, guilty(bad, organisation), now, unix_now);
    part_findings f;
    f.answered = {bad};
    apply_findings(q, f, now, unix_now);
    CHECK(find_quarantine(q, request(bad)) != nullptr);
    f.explained = {bad};
    apply_findings(q, f, now, unix_now);
    CHECK(find_quarantine(q, request(bad)) == nullptr);
}

// Guards against trials that crash more upstreams than all gateways together
// may in all, and against a mended version that nobody tries.
TEST_CASE("Trials are due after growing times and few in number")
{
    part_quarantine q = stored();
    quarantine_entry& e = q.entries.begin()->second;
    CHECK_FALSE(is_trial_due(e, unix_now, "v1"));
    CHECK(is_trial_due(e, later(first_trial_after), ""));
    e.version = "v1";
    CHECK_FALSE(is_trial_due(e, unix_now, "v1"));
    CHECK(is_trial_due(e, unix_now, "v2"));

    std::int64_t at = later(first_trial_after);
    std::int64_t before = unix_now;
    for (std::uint32_t i = 1; i <= max_trials; ++i)
    {
        stored_quarantine const claimed = claim_trial(e, at);
        CHECK(claimed.trials == i);
        CHECK(claimed.next_trial_unix_ms - at > at - before);
        before = at;
        at = claimed.next_trial_unix_ms;
        apply_stored(q, claimed, 12 + i, now);
        CHECK(e.version.empty());
    }
    e.version = "v1";
    CHECK_FALSE(is_trial_due(e, at, "v2"));
    // An entry that is not in the store can't be claimed.
    part_quarantine local;
    apply_findings(local, guilty(bad), now, unix_now);
    CHECK_FALSE(is_trial_due(
        local.entries.begin()->second, later(first_trial_after), ""));
}

// Guards against two requests that use one trial, and against one that is used
// long after it was claimed.
TEST_CASE("A claimed trial is used once and in time")
{
    part_quarantine q = stored();
    CHECK_FALSE(take_trial(q, {bad, 0}, now));
    quarantine_entry& e = q.entries.begin()->second;
    e.trial_until = now + trial_ttl;
    CHECK_FALSE(is_trial_due(e, later(first_trial_after), ""));
    CHECK(take_trial(q, {bad, 0}, now));
    CHECK_FALSE(take_trial(q, {bad, 0}, now));
    e.trial_until = now + trial_ttl;
    CHECK_FALSE(take_trial(q, {bad, 0}, now + trial_ttl));
}

// Guards against refused callers that come back at once, or never.
TEST_CASE("A refused caller comes back when a trial may be due")
{
    part_quarantine q = stored();
    quarantine_entry const& e = q.entries.begin()->second;
    CHECK(quarantine_retry_after(e, unix_now) == max_quarantine_retry);
    CHECK(
        quarantine_retry_after(e, later(first_trial_after - minutes(2))) ==
        minutes(2));
    CHECK(
        quarantine_retry_after(e, later(first_trial_after + minutes(2))) ==
        min_quarantine_retry);
    // The clock of this gateway has jumped back.
    CHECK(quarantine_retry_after(e, 0) == max_quarantine_retry);
    part_quarantine const tried = stored(max_trials);
    CHECK(
        quarantine_retry_after(tried.entries.begin()->second, unix_now) ==
        max_quarantine_retry);
}

// Guards against unbounded memory use.
TEST_CASE("The oldest entry is dropped beyond the maximum")
{
    part_quarantine q;
    for (std::uint64_t i = 0; i <= max_quarantine_entries; ++i)
        apply_findings(
            q, guilty(i + 1), now + std::chrono::microseconds(i), unix_now);
    CHECK(q.entries.size() == max_quarantine_entries);
    CHECK_FALSE(q.entries.contains({1, 0}));
}
