#include "config_edit/config_edit.hpp"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <rapidcheck.h>
#include <set>

using namespace marjorambeam;

namespace
{

// RapidCheck reads its parameters once, before the first property.
bool const has_seed =
    setenv("RC_PARAMS", "seed=20261204 max_success=1000", 0) == 0;

document_edit zone_edit(std::string const& name, std::string const& state)
{
    return {
        document_kind::availability_zone, name,
        R"({"region":"trondelag","state":")" + state + R"("})"};
}

generation make_edit(
    std::string const& id, std::string const& zone, std::string const& state)
{
    return {0, id, "ops", 1, {zone_edit(zone, state)}};
}

steady_time at_ms(int ms)
{
    return steady_time(std::chrono::milliseconds(ms));
}

edit_state begin(generation g)
{
    return begin_edit(config_snapshot(), std::move(g), at_ms(10000));
}

error store_error(run_state run)
{
    error e = make_error(error_kind::store_unavailable, "no answer");
    e.run = run;
    return e;
}

result<void> fails(error e)
{
    return tl::unexpected<error>(std::move(e));
}

result<generation> read_fails(error e)
{
    return tl::unexpected<error>(std::move(e));
}

// A store whose writes can be lost, refused or delayed past their answer.
struct model_store
{
    std::map<std::uint64_t, generation> accepted;
    std::vector<generation> in_flight; // unanswered; may still take effect

    bool put(generation const& g)
    {
        return accepted.emplace(g.number, g).second;
    }
    result<generation> get(std::uint64_t number) const
    {
        auto const it = accepted.find(number);
        if (it == accepted.end())
            return fail(error_kind::not_found, "");
        return it->second;
    }
    // Lets one of the delayed writes take effect, if it still can.
    void land(std::size_t i)
    {
        if (in_flight.empty())
            return;
        i %= in_flight.size();
        put(in_flight[i]);
        in_flight.erase(in_flight.begin() + static_cast<std::ptrdiff_t>(i));
    }
};

// Answers a create with one of the faults.
result<void> create(model_store& store, generation const& g, int fault)
{
    if (fault == 1) // refused
        return fails(store_error(run_state::not_run));
    if (fault == 2) // the answer is lost, the effect comes later or never
    {
        store.in_flight.push_back(g);
        return fails(store_error(run_state::unknown));
    }
    if (fault == 3)
        return fails(make_error(error_kind::store_rate_limited, ""));
    bool const is_created = store.put(g);
    if (fault == 4) // the answer is lost after the effect
        return fails(store_error(run_state::unknown));
    if (!is_created)
        return fails(make_error(error_kind::conflict, ""));
    return {};
}

edit_state step(model_store& store, edit_state s, int fault, steady_time now)
{
    if (s.next == edit_action::create)
    {
        result<void> const answer = create(store, s.proposal, fault);
        return after_create(std::move(s), answer, now);
    }
    result<generation> const answer =
        fault == 1 || fault == 2 ? read_fails(store_error(run_state::not_run))
                                 : store.get(s.proposal.number);
    return after_read_back(std::move(s), answer, now);
}

std::vector<std::uint64_t>
numbers_of(model_store const& store, std::string const& edit_id)
{
    std::vector<std::uint64_t> numbers;
    for (auto const& [number, g] : store.accepted)
    {
        if (g.edit_id == edit_id)
            numbers.push_back(number);
    }
    return numbers;
}

} // namespace

// Guards against an edit that is lost, applied twice, reported as accepted or
// refused against the truth, or written over another's edit of the same
// document that it had not seen, in any order of three editors' steps with
// answers lost at each of them.
TEST_CASE("racing editors with lost answers report what happened")
{
    REQUIRE(has_seed);
    bool const holds = rc::check(
        "racing editors",
        []
        {
            model_store store;
            std::vector<edit_state> editors;
            for (int i = 0; i < 3; ++i)
            {
                std::string const zone = *rc::gen::inRange(0, 2) ? "a" : "b";
                editors.push_back(begin_edit(
                    config_snapshot(),
                    make_edit("edit-" + std::to_string(i), zone, "in"),
                    at_ms(*rc::gen::inRange(0, 3000))));
            }
            for (int ms = 0; ms < 20000; ms += 250)
            {
                edit_state& s = editors[*rc::gen::inRange<std::size_t>(0, 3)];
                if (s.next != edit_action::finish)
                {
                    int const fault = *rc::gen::inRange(0, 8);
                    s = step(store, std::move(s), fault, at_ms(ms));
                }
                if (*rc::gen::inRange(0, 4) == 0)
                    store.land(*rc::gen::inRange<std::size_t>(0, 8));
            }
            for (edit_state& s : editors)
            {
                while (s.next != edit_action::finish)
                    s = step(store, std::move(s), 0, at_ms(20000));
            }
            while (!store.in_flight.empty())
                store.land(0);
            for (edit_state const& s : editors)
            {
                auto const at = numbers_of(store, s.proposal.edit_id);
                RC_ASSERT(at.size() <= 1U);
                if (s.outcome)
                {
                    RC_ASSERT(at.size() == 1U && at[0] == *s.outcome);
                    for (auto const& [number, g] : store.accepted)
                        RC_ASSERT(
                            number >= *s.outcome ||
                            !touch_same_document(g, s.proposal));
                }
                else if (s.outcome.error().run == run_state::not_run)
                {
                    RC_ASSERT(at.empty());
                }
            }
        });
    CHECK(holds);
}

// Guards against a lost answer that is guessed: the generation that is there
// decides, whether it is this edit's or another's.
TEST_CASE("an edit with a lost answer is settled by what is stored")
{
    edit_state s = begin(make_edit("mine", "a", "in"));
    s = after_create(
        std::move(s), fails(store_error(run_state::unknown)), at_ms(0));
    REQUIRE(s.next == edit_action::read_back);
    generation mine = s.proposal;
    CHECK(after_read_back(s, mine, at_ms(1)).outcome == 1U);

    // Not there: the same number again, because the first may yet arrive.
    edit_state again = after_read_back(
        s, read_fails(make_error(error_kind::not_found, "")), at_ms(1));
    CHECK(again.next == edit_action::create);
    CHECK(again.proposal.number == 1);

    // Out of time while it is open: the report says so and names the edit.
    edit_state open = after_read_back(
        s, read_fails(store_error(run_state::not_run)), at_ms(10000));
    REQUIRE(open.next == edit_action::finish);
    CHECK(open.outcome.error().run == run_state::unknown);
    CHECK(
        open.outcome.error().message.find("edit mine may have been accepted") !=
        std::string::npos);
}

// Guards against a loser that overwrites the winner's change, or that is sent
// home although the two changed different documents.
TEST_CASE("the loser of a race rebases or reports the other edit")
{
    edit_state lost = begin(make_edit("mine", "a", "out"));
    lost = after_create(
        std::move(lost), fails(make_error(error_kind::conflict, "")), at_ms(0));
    REQUIRE(lost.next == edit_action::read_back);
    generation other = make_edit("theirs", "a", "in");
    other.number = 1;
    edit_state same = after_read_back(lost, other, at_ms(1));
    CHECK(same.outcome.error().kind == error_kind::conflict);
    REQUIRE(same.other);
    CHECK(same.other->edit_id == "theirs");

    other.edits[0].name = "b";
    edit_state rebased = after_read_back(lost, other, at_ms(1));
    CHECK(rebased.next == edit_action::create);
    CHECK(rebased.proposal.number == 2);
    CHECK(rebased.base.zones.count("b") == 1);

    edit_state unreadable = after_read_back(
        lost, read_fails(make_error(error_kind::bad_document, "x")), at_ms(1));
    CHECK(unreadable.proposal.number == 2);
}

// Guards against a rebase that makes an invalid configuration, such as an
// upstream in an availability zone that the winner has deleted.
TEST_CASE("an edit that the winner's change makes invalid is refused")
{
    config_snapshot base =
        apply_or_refuse(config_snapshot(), make_edit("z", "a", "in"));
    generation const mine{
        0,
        "mine",
        "ops",
        1,
        {{document_kind::upstream, "u1",
          R"({"kind":"engine","zone":"a","serves":[],"state":"in"})"}}};
    edit_state s = begin_edit(base, mine, at_ms(10000));
    REQUIRE(s.next == edit_action::create);
    generation const other{
        s.proposal.number,
        "theirs",
        "ops",
        1,
        {{document_kind::availability_zone, "a", ""}}};
    s = after_read_back(std::move(s), other, at_ms(1));
    CHECK(s.outcome.error().kind == error_kind::bad_document);
}

// Guards against an operator who waits for a store that is down, and against
// an edit that fails because the store asked to slow down.
TEST_CASE("an outage ends an edit at once and a rate limit delays it")
{
    edit_state s = begin(make_edit("mine", "a", "in"));
    edit_state down =
        after_create(s, fails(store_error(run_state::not_run)), at_ms(0));
    CHECK(down.outcome.error().kind == error_kind::store_unavailable);
    CHECK(down.outcome.error().run == run_state::not_run);
    error slow = make_error(error_kind::store_rate_limited, "");
    slow.retry_after = std::chrono::seconds(1);
    edit_state waits = after_create(s, fails(slow), at_ms(0));
    CHECK(waits.next == edit_action::create);
    CHECK(waits.wait == std::chrono::seconds(1));
    CHECK(
        after_create(s, fails(slow), at_ms(9500)).next == edit_action::finish);
}

// Guards against a start from an old checkpoint, and against a search that
// reads all of them.
TEST_CASE("the latest checkpoint is found in few probes")
{
    bool const holds = rc::check(
        "checkpoint search",
        []
        {
            std::set<std::uint64_t> existing;
            std::uint64_t const n = *rc::gen::inRange<std::uint64_t>(0, 6000);
            for (std::uint64_t i = 1; i <= n; ++i)
            {
                if (*rc::gen::inRange(0, 10) != 0 || i == n)
                    existing.insert(i * checkpoint_interval + i % 7);
            }
            checkpoint_search s;
            int probes = 0;
            while (!is_done(s))
            {
                std::uint64_t const probe = next_probe(s);
                auto const it = existing.upper_bound(probe);
                note_probe(
                    s, probe,
                    it == existing.end() ? std::nullopt : std::optional(*it));
                RC_ASSERT(++probes <= 40);
            }
            RC_ASSERT(s.newest == (existing.empty() ? 0 : *existing.rbegin()));
        });
    CHECK(holds);
    CHECK(needs_checkpoint(200, 400));
    CHECK_FALSE(needs_checkpoint(200, 399));
}
