#include "config_edit/config_edit.hpp"

#include <algorithm>
#include <utility>

namespace marjorambeam
{
namespace
{

// Time between two calls while the store does not answer.
constexpr duration retry_wait = std::chrono::milliseconds(200);

edit_state finish(edit_state s, result<std::uint64_t> outcome)
{
    s.next = edit_action::finish;
    s.wait = duration(0);
    s.outcome = std::move(outcome);
    return s;
}

edit_state proceed(edit_state s, edit_action next, duration wait = duration(0))
{
    s.next = next;
    s.wait = wait;
    return s;
}

// Ends without knowing more than `is_unsettled` says.
edit_state give_up(edit_state s, error e)
{
    std::string const number = std::to_string(s.proposal.number);
    if (s.is_unsettled)
    {
        e.run = run_state::unknown;
        e.message += "; edit " + s.proposal.edit_id +
                     " may have been accepted as generation " + number;
    }
    else
    {
        e.run = run_state::not_run;
        e.message += "; nothing was changed";
    }
    return finish(std::move(s), tl::unexpected<error>(std::move(e)));
}

// Makes the call again after a while, or ends when there is no time left.
edit_state
try_again(edit_state s, edit_action next, error const& e, steady_time now)
{
    duration const wait = e.kind == error_kind::store_rate_limited
                              ? std::max(retry_wait, e.retry_after)
                              : retry_wait;
    if (now + wait >= s.give_up_at)
        return give_up(std::move(s), e);
    return proceed(std::move(s), next, wait);
}

// Sets the proposal's number and checks the result.
edit_state propose(edit_state s)
{
    s.proposal.number = s.base.number + 1;
    s.is_unsettled = false;
    result<config_snapshot> const next = apply(s.base, s.proposal);
    if (!next)
        return finish(std::move(s), tl::unexpected<error>(next.error()));
    return proceed(std::move(s), edit_action::create);
}

std::string describe_conflict(generation const& mine, generation const& other)
{
    std::string text = "generation " + std::to_string(other.number) + " by " +
                       other.author + " changed";
    char const* separator = " ";
    for (document_edit const& it : other.edits)
    {
        bool const is_common = std::any_of(
            mine.edits.begin(), mine.edits.end(),
            [&](document_edit const& m)
            { return m.kind == it.kind && m.name == it.name; });
        if (!is_common)
            continue;
        text += separator + std::string(to_string(it.kind)) + "/" + it.name;
        separator = ", ";
    }
    return text + " first; nothing was changed";
}

} // namespace

edit_state
begin_edit(config_snapshot base, generation proposal, steady_time give_up_at)
{
    edit_state s;
    s.base = std::move(base);
    s.proposal = std::move(proposal);
    s.give_up_at = give_up_at;
    return propose(std::move(s));
}

edit_state
after_create(edit_state s, result<void> const& answer, steady_time now)
{
    if (answer)
    {
        std::uint64_t const number = s.proposal.number;
        return finish(std::move(s), number);
    }
    error const& e = answer.error();
    switch (e.kind)
    {
    case error_kind::conflict:
        return proceed(std::move(s), edit_action::read_back);
    case error_kind::store_rate_limited:
        return try_again(std::move(s), edit_action::create, e, now);
    case error_kind::store_unavailable:
        break;
    default:
        return finish(std::move(s), tl::unexpected<error>(e));
    }
    if (e.run != run_state::not_run)
    {
        s.is_unsettled = true;
        return proceed(std::move(s), edit_action::read_back);
    }
    if (s.is_unsettled)
        return try_again(std::move(s), edit_action::read_back, e, now);
    return give_up(std::move(s), e);
}

edit_state
after_read_back(edit_state s, result<generation> const& answer, steady_time now)
{
    if (answer && answer->edit_id == s.proposal.edit_id)
    {
        std::uint64_t const number = s.proposal.number;
        return finish(std::move(s), number);
    }
    if (answer && touch_same_document(s.proposal, *answer))
    {
        std::string text = describe_conflict(s.proposal, *answer);
        s.other = *answer;
        return finish(
            std::move(s), fail(error_kind::conflict, std::move(text)));
    }
    bool const is_unreadable =
        !answer && answer.error().kind == error_kind::bad_document;
    if (answer || is_unreadable)
    {
        // The number is taken for good, so an unsettled create of it can
        // have no effect any more.
        s.base = advance(s.base, answer);
        return propose(std::move(s));
    }
    if (answer.error().kind != error_kind::not_found)
    {
        return try_again(
            std::move(s), edit_action::read_back, answer.error(), now);
    }
    // The lost create has not arrived, but may still do so. Creating the same
    // number again settles it: only one of the two can succeed, and a conflict
    // is read back.
    error const lost = make_error(
        error_kind::store_unavailable,
        "the answer was lost and the generation is not there");
    if (now >= s.give_up_at)
        return give_up(std::move(s), lost);
    return proceed(std::move(s), edit_action::create);
}

bool touch_same_document(generation const& a, generation const& b)
{
    return std::any_of(
        a.edits.begin(), a.edits.end(),
        [&](document_edit const& x)
        {
            return std::any_of(
                b.edits.begin(), b.edits.end(),
                [&](document_edit const& y)
                { return x.kind == y.kind && x.name == y.name; });
        });
}

config_snapshot
advance(config_snapshot const& from, result<generation> const& next)
{
    if (next)
        return apply_or_refuse(from, *next);
    config_snapshot kept = from;
    ++kept.number;
    kept.refused[kept.number] = next.error().message;
    return kept;
}

bool needs_checkpoint(std::uint64_t last, std::uint64_t now)
{
    return now >= last + checkpoint_interval;
}

bool is_done(checkpoint_search const& s)
{
    return s.has_bound && s.bound <= s.newest;
}

std::uint64_t next_probe(checkpoint_search const& s)
{
    if (!s.has_bound)
        return s.newest + s.step;
    // Checkpoints are one interval apart or more, so that below this distance
    // there is at most one left.
    if (s.bound - s.newest <= checkpoint_interval)
        return s.newest;
    return s.newest + (s.bound - s.newest) / 2;
}

void note_probe(
    checkpoint_search& s, std::uint64_t probe,
    std::optional<std::uint64_t> found)
{
    if (!found)
    {
        s.has_bound = true;
        s.bound = probe;
        return;
    }
    bool const is_first = s.newest == 0;
    s.newest = *found;
    // The second probe is the one that ends the search in a small store.
    if (!is_first)
        s.step = std::max(2 * s.step, checkpoint_interval);
}

} // namespace marjorambeam
