// How a change of the configuration becomes a generation: which call an editor
// makes next, and when it is done. Races are decided by conditional creates
// and lost answers by reading back, never by guessing.
//
// Example:
//   edit_state s = begin_edit(base, proposal, now + std::chrono::seconds(10));
//   while (s.next != edit_action::finish)
//   {
//       wait(s.wait);
//       if (s.next == edit_action::create)
//           s = after_create(std::move(s), create(s.proposal), now());
//       else
//           s = after_read_back(std::move(s), read(s.proposal.number), now());
//   }
//
// Performs no I/O. All functions are thread-safe.
#pragma once

#include "base/time.hpp"
#include "config/generation.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambeam
{

// Kinds of the object API's objects that hold the configuration. A checkpoint
// is named by generation_name of the generation that it includes last.
constexpr std::string_view generations_kind = "generations";
constexpr std::string_view checkpoints_kind = "checkpoints";

// What an editor does next, after `edit_state::wait`.
enum class edit_action : std::uint8_t
{
    create,    // create the proposal's generation
    read_back, // get the generation with the proposal's number
    finish     // `outcome` holds the end
};

// An edit under way.
struct edit_state
{
    config_snapshot base; // the configuration before the proposal
    generation proposal;  // its number is one above the base's
    steady_time give_up_at{};
    edit_action next = edit_action::create;
    duration wait{0};
    // A create of this number had no answer and may yet take effect.
    bool is_unsettled = false;
    // The accepted generation's number. Errors: bad_document; conflict, with
    // the other edit in `other`; body_too_large; store_unavailable and
    // store_rate_limited, which with run state `unknown` mean that the edit
    // may have been accepted and with `not_run` that it was not.
    result<std::uint64_t> outcome = 0;
    std::optional<generation> other;
};

// Starts an edit on `base`; the proposal's number is set here. Finishes with
// bad_document when the result would not be valid.
edit_state
begin_edit(config_snapshot base, generation proposal, steady_time give_up_at);

// Continues after the answer to a create.
edit_state
after_create(edit_state s, result<void> const& answer, steady_time now);

// Continues after the answer to a read of the proposal's number. The answer is
// an error of the store, or bad_document for a generation that can't be read.
edit_state after_read_back(
    edit_state s, result<generation> const& answer, steady_time now);

// Whether the two generations put or delete a common document.
bool touch_same_document(generation const& a, generation const& b);

// Returns the snapshot after generation `from.number + 1`, whose text or
// parse error is `next`. One that can't be read has no contents, but counts.
config_snapshot
advance(config_snapshot const& from, result<generation> const& next);

// Whether an editor writes a checkpoint at generation `now`, when the latest
// is at `last`. A checkpoint that an editor failed to write is made up for by
// the next one.
bool needs_checkpoint(std::uint64_t last, std::uint64_t now);

// Finds the latest of many checkpoints by listing one at a time, because one
// can be 1 MB and they are never deleted. The number of probes grows with the
// logarithm of the number of checkpoints; gaps do no harm.
struct checkpoint_search
{
    std::uint64_t newest = 0; // found so far
    std::uint64_t bound = 0;  // there is none after it, if `has_bound`
    std::uint64_t step = 0;
    bool has_bound = false;
};

// Whether `newest` is the latest checkpoint, or 0 for none.
bool is_done(checkpoint_search const& s);
// The generation after which to list one checkpoint. Precondition: not done.
std::uint64_t next_probe(checkpoint_search const& s);
// Notes the first checkpoint after `probe`, or that there is none.
void note_probe(
    checkpoint_search& s, std::uint64_t probe,
    std::optional<std::uint64_t> found);

} // namespace marjorambeam
