#include "config_edit/document_change.hpp"
#include "entry/entry_test_support.hpp"
#include "fakes/rating_service/fake_rating_service.hpp"

namespace marjorambeam::test
{
namespace
{

void use_short_periods(entry_settings& s)
{
    s.rollout.period = milliseconds(20);
    s.rollout.step_time = milliseconds(50);
    s.rollout.lease = {
        .lifetime = milliseconds(600),
        .renew_after = milliseconds(100),
        .clock_difference = milliseconds(100),
        .max_drift = milliseconds(50),
        .retry_after = milliseconds(20),
        .poll_after = milliseconds(50)};
    s.rating.poll_period = milliseconds(20);
    s.rating.rollout_ratings_per_second = 1000;
}

version const& version_at(entry_fleet& f, std::string const& entry)
{
    return f.entries.at(entry)->state().cluster.config->versions.at(
        "tagger@v2");
}

// Adds a batch of evidence at each remaining entry; ratings vary by 0.1.
void add_evidence(
    entry_fleet& f, std::string const& version, int requests, int ratings,
    double quality)
{
    for (auto const& [name, e] : f.entries)
    {
        for (int i = 0; i < requests; ++i)
            e->rollouts().record_attempt(version, false);
        for (int i = 0; i < ratings; ++i)
            e->rollouts().record_rating(version, quality + (i % 3 - 1) * 0.1);
    }
}

// Adds good evidence until v2 has at least `share`; returns whether it does.
bool reaches_share(entry_fleet& f, std::string const& entry, double share)
{
    loop_timer feed(
        f.loop, [&] { add_evidence(f, "tagger@v2", 100, 20, 0.8); });
    feed.start_every(milliseconds(10));
    return f.run_until([&] { return version_at(f, entry).share >= share; });
}

std::string holder_of(entry_fleet& f)
{
    std::string out;
    for (auto const& [name, e] : f.entries)
    {
        if (e->rollouts().is_lease_holder())
            out += name;
    }
    return out;
}

generation last_generation(entry_fleet& f)
{
    object_store store(f.http, f.api.url());
    std::optional<generation> out;
    std::uint64_t const number =
        f.entries.begin()->second->state().cluster.config->number;
    store.get(
        generations_kind, generation_name(number),
        [&](result<stored_object> const& r)
        {
            REQUIRE(r);
            out = parse_generation(number, r->value).value();
        });
    REQUIRE(f.run_until([&] { return out.has_value(); }));
    return *out;
}

} // namespace

// Guards against a bad version that keeps receiving traffic until an operator
// notices, and against entries that still choose it after the halt.
TEST_CASE("a rolling version with low ratings is halted without an operator")
{
    entry_fleet f(2, use_short_periods);
    f.ratings.set_quality("tagger@v2", 0.3);
    f.change(
        {f.version_edit("v2", "rolling", 0.5, 10),
         f.contract_edit("havbris", 5000, 2)});
    int sent = 0;
    int ended = 0;
    auto const send = [&]
    {
        for (int i = 0; i < 10; ++i, ++sent)
        {
            f.post(
                sent % 2 == 0 ? "e0" : "e1", "havbris", "",
                [&](caller_response const& a)
                {
                    ++ended;
                    CAPTURE(a.error_kind);
                    CHECK(a.status == 200);
                });
        }
        REQUIRE(f.run_until([&] { return ended == sent; }));
    };
    auto const is_halted = [&](char const* entry)
    { return version_at(f, entry).state == version_state::withdrawn; };
    while (sent < 3000 && !(is_halted("e0") && is_halted("e1")))
        send();
    REQUIRE(is_halted("e0"));
    REQUIRE(is_halted("e1"));
    CHECK(last_generation(f).author.starts_with("rollout, fencing"));
    for (int i = 0; i < 20; ++i)
        CHECK(
            f.post_and_wait(i % 2 == 0 ? "e0" : "e1", "havbris").version ==
            "tagger@v1");
}

// Guards against a rollout that never ends, against a version that degrades
// at share 1 and is not halted, and against an evaluator that overrides an
// operator who restarts the rollout after a fix.
TEST_CASE("a good version reaches share 1 and is halted when it degrades")
{
    entry_fleet f(2, use_short_periods);
    f.change({f.version_edit("v2", "rolling", 0, 10)});
    add_evidence(f, "tagger@v1", 5000, 300, 0.8);
    REQUIRE(reaches_share(f, "e0", 1));
    CHECK(version_at(f, "e0").state == version_state::rolling);
    loop_timer feed(f.loop, [&] { add_evidence(f, "tagger@v2", 10, 5, 0.4); });
    feed.start_every(milliseconds(10));
    CHECK(f.run_until(
        [&] { return version_at(f, "e0").state == version_state::withdrawn; }));
    feed.stop();
    f.change({f.version_edit("v2", "rolling", 0, 10)});
    CHECK(reaches_share(f, "e0", 0.04));
    CHECK(version_at(f, "e0").state == version_state::rolling);
}

// Guards against a rollout that stalls when the lease holder terminates, and
// against two entries that evaluate it concurrently.
TEST_CASE(
    "another entry takes over the rollout when the lease holder terminates")
{
    entry_fleet f(2, use_short_periods);
    f.change({f.version_edit("v2", "rolling", 0, 10)});
    REQUIRE(f.run_until([&] { return !holder_of(f).empty(); }));
    std::string const first = holder_of(f);
    REQUIRE(first.size() == 2);
    std::string const second = first == "e0" ? "e1" : "e0";
    add_evidence(f, "tagger@v1", 5000, 300, 0.8);
    REQUIRE(reaches_share(f, second, 0.04));
    f.kill(first);
    add_evidence(f, "tagger@v1", 5000, 300, 0.8);
    REQUIRE(reaches_share(f, second, 1));
    CHECK(holder_of(f) == second);
}

// Guards against callers that receive a withdrawal error for a request in
// flight to the rolling version, although the active version could serve it.
TEST_CASE(
    "a request in flight to a withdrawn version is sent to another version")
{
    entry_fleet f(1);
    f.change({f.version_edit("v2", "rolling", 1, 10)});
    f.withdraw_at_agent();
    std::optional<caller_response> out;
    f.post("e0", "havbris", "", [&](caller_response a) { out = std::move(a); });
    metrics const& counters = f.entries.at("e0")->state().cluster.counters;
    REQUIRE(f.run_until(
        [&] { return counters.counter("versions_chosen_again_total") == 1; }));
    CHECK_FALSE(out);
    f.change({f.version_edit("v2", "withdrawn", 0, 10)});
    REQUIRE(f.run_until([&] { return out.has_value(); }));
    CHECK(out->status == 200);
    CHECK(out->version == "tagger@v1");
    // A version named by the caller is refused immediately.
    f.model = "tagger@v2";
    CHECK(f.post_and_wait("e0", "havbris").error_kind == "version_withdrawn");
}

// Guards against a lease holder that is paused before its write and resumes
// after its lease expired, or after the version was changed by another entry or
// an operator.
TEST_CASE("a decision is not written after lease loss or a conflicting edit")
{
    entry_fleet f(1);
    f.change({f.version_edit("v2", "rolling", 0.04, 10)});
    config_snapshot const old = *f.entries.at("e0")->state().cluster.config;
    object_store store(f.http, f.api.url());
    generation late{.edit_id = "late", .author = "rollout"};
    late.edits = change_version(old, "tagger@v2", "rolling", 0.2).value();
    auto const write = [&](bool may_act)
    {
        generation_writer writer(f.loop, store, [=] { return may_act; });
        std::optional<result<std::uint64_t>> out;
        writer.start(
            old, late, steady_now() + std::chrono::seconds(5),
            [&](edit_state const& end) { out = end.outcome; });
        REQUIRE(f.run_until([&] { return out.has_value(); }));
        return out->error().kind;
    };
    std::uint64_t const before = store.writes();
    CHECK(write(false) == error_kind::cancelled);
    CHECK(store.writes() == before);
    f.change({f.version_edit("v2", "withdrawn", 0, 10)});
    CHECK(write(true) == error_kind::conflict);
    CHECK(version_at(f, "e0").state == version_state::withdrawn);
}

// Guards against requests that wait for an unavailable rating service or fail
// with it, and against responses that accumulate for it.
TEST_CASE("requests use declared quality while the rating service is down")
{
    entry_fleet f(1, use_short_periods);
    f.ratings.set_faults({.is_down = true});
    f.change(
        {f.version_edit("v2", "rolling", 0.5, 10),
         f.contract_edit("havbris", 5000, 2, R"("explore_rate":1,)")});
    f.model = "auto";
    for (int i = 0; i < 30; ++i)
        REQUIRE(f.post_and_wait("e0", "havbris").status == 200);
    metrics const& counters = f.entries.at("e0")->state().cluster.counters;
    CHECK(counters.counter("ratings_sent_total") > 0);
    CHECK(counters.counter("ratings_received_total") == 0);
    CHECK(f.run_until(
        [&] { return f.entries.at("e0")->ratings().pending() == 0; }));
}

} // namespace marjorambeam::test
