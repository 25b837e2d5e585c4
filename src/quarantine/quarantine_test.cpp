#include "quarantine/quarantine.hpp"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <rapidcheck.h>

using namespace marjorambeam;
using std::chrono::minutes;

namespace
{

// RapidCheck draws a seed at random unless this is set before its first use.
[[maybe_unused]] bool const has_fixed_seed =
    setenv("RC_PARAMS", "seed=1", 0) == 0;

using fingerprints = std::vector<std::uint64_t>;
constexpr steady_time start{};

} // namespace

// Guards against a request that crashes one upstream after another, and
// against a refusal without a retry-after time.
TEST_CASE("a second crash quarantines a fingerprint for 10 min")
{
    quarantine_table t;
    REQUIRE_FALSE(t.evaluate(1, start).run_alone);
    REQUIRE(t.on_crash(fingerprints{1, 2}, false, start).size() == 2);
    REQUIRE(t.evaluate(1, start).run_alone);
    auto const reports = t.on_crash(fingerprints{1}, true, start);
    REQUIRE(
        reports == std::vector<crash_report>{
                       {1, fingerprint_state::quarantined, 600'000}});
    auto const p = t.evaluate(1, start + minutes(4));
    REQUIRE(p.refusal);
    REQUIRE(p.refusal->kind == error_kind::quarantined);
    REQUIRE(p.refusal->run == run_state::not_run);
    REQUIRE(p.refusal->retry_after == minutes(6));
    REQUIRE_FALSE(t.evaluate(1, start + minutes(10)).refusal);
    REQUIRE(t.on_crash(fingerprints{3}, true, start).size() == 1);
    REQUIRE(t.evaluate(3, start).refusal);
}

// Guards against attributing a crash to a request that ran beside a suspect, or
// to a suspect that has since finished without a crash.
TEST_CASE("fingerprints that do not cause a crash are not quarantined")
{
    quarantine_table t;
    t.on_crash(fingerprints{1, 2}, false, start);
    REQUIRE(t.on_finished(2)->state == fingerprint_state::cleared);
    REQUIRE_FALSE(t.evaluate(2, start).run_alone);
    REQUIRE_FALSE(t.on_finished(2));
    t.on_crash(fingerprints{1, 3}, false, start);
    REQUIRE(t.evaluate(1, start).refusal);
    REQUIRE_FALSE(t.evaluate(3, start).run_alone);
    REQUIRE_FALSE(t.on_finished(1));
    REQUIRE(t.evaluate(1, start).refusal);
    // Both were in flight at two upstreams that crashed one after the other.
    t.on_crash(fingerprints{4, 5}, false, start);
    REQUIRE(t.on_crash(fingerprints{4, 5}, false, start).empty());
    REQUIRE(t.evaluate(4, start).run_alone);
    REQUIRE(t.evaluate(5, start).run_alone);
}

// Guards against entries that decide differently on the same fingerprint, and
// against a late or corrupt report that ends or prolongs a quarantine.
TEST_CASE("reports of other entries are merged and never lift a quarantine")
{
    quarantine_table t;
    t.merge({1, fingerprint_state::suspect, 0}, start);
    REQUIRE(t.evaluate(1, start).run_alone);
    t.merge({1, fingerprint_state::quarantined, 1'000'000'000'000}, start);
    REQUIRE(t.evaluate(1, start).refusal->retry_after == minutes(10));
    t.merge({1, fingerprint_state::quarantined, 1}, start);
    t.merge({1, fingerprint_state::suspect, 0}, start);
    t.merge({1, fingerprint_state::cleared, 0}, start);
    REQUIRE(t.evaluate(1, start).refusal->retry_after == minutes(10));
    crash_report const r{7, fingerprint_state::quarantined, 5};
    REQUIRE(*decode_crash_report(encode_crash_report(r)) == r);
    REQUIRE_FALSE(decode_crash_report(encode_crash_report(r) + "x"));
    REQUIRE_FALSE(decode_crash_report(""));
}

// Guards against a table above its capacity, more than two crashes by one
// fingerprint, and a quarantine of others, in any order of requests in which
// suspects run alone.
TEST_CASE("only the crashing fingerprint is quarantined in any interleaving")
{
    CHECK(rc::check(
        []()
        {
            constexpr std::uint64_t culprit = 0;
            quarantine_table t({.fingerprints = 4});
            fingerprints running;
            bool is_alone = false;
            int crashes = 0;
            auto const sent = *rc::gen::container<std::vector<std::uint64_t>>(
                rc::gen::inRange<std::uint64_t>(0, 4));
            for (std::uint64_t const it : sent)
            {
                run_permission const p = t.evaluate(it, start);
                if (p.refusal)
                    continue;
                if (p.run_alone || is_alone || running.size() == 2)
                {
                    for (std::uint64_t const done : running)
                        t.on_finished(done);
                    running.clear();
                }
                is_alone = p.run_alone;
                running.push_back(it);
                if (it == culprit)
                {
                    t.on_crash(running, is_alone, start);
                    running.clear();
                    is_alone = false;
                    ++crashes;
                }
                RC_ASSERT(t.suspects() + t.quarantined() <= 4U);
            }
            RC_ASSERT(crashes <= 2);
            for (std::uint64_t it = 1; it < 4; ++it)
                RC_ASSERT(!t.evaluate(it, start).refusal);
        }));
}
