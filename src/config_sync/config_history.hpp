// The configuration generations that a daemon has applied, with the texts that
// its peers may still need.
//
// Example:
//   config_history h;
//   apply_outcome o = apply_received(h, std::move(received), limits);
//   if (o.applied > 0)
//       state.config = h.current;
//   connection->send(make_pull_response(h, pull.after, limits));
//
// Generations are applied in order of their numbers, regardless of source and
// order of arrival; the generation in force never decreases. Performs no I/O.
// Functions are not thread-safe on the same history.
#pragma once

#include "config/generation.hpp"
#include "wire/message.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace marjorambeam
{

struct history_limits
{
    // Texts kept for peers. A quarter of the 64 MB that a daemon may use for
    // control data.
    std::size_t max_text_bytes = std::size_t{16} << 20U;
    // Limits of the generations that arrived before their predecessors.
    std::size_t max_pending = 2 * checkpoint_interval;
    std::size_t max_pending_bytes = std::size_t{8} << 20U;
    // Texts of the generations in one response. A checkpoint (up to 1 MB, the
    // limit of the store) is added; a frame holds up to 8 MiB.
    std::size_t max_response_bytes = std::size_t{4} << 20U;
    std::size_t max_refused_kept = 100; // reasons shown in status
};

struct config_history
{
    std::shared_ptr<config_snapshot const> current =
        std::make_shared<config_snapshot>();
    // The last two checkpoints; `base` is the older one. Texts start after it.
    std::uint64_t base = 0;
    std::string base_text; // empty for generation 0
    std::uint64_t newest = 0;
    std::string newest_text;
    std::map<std::uint64_t, std::string> texts; // base + 1 to current
    std::size_t text_bytes = 0;
    std::map<std::uint64_t, std::string> pending; // predecessors are missing
    std::size_t pending_bytes = 0;
};

struct apply_outcome
{
    std::uint64_t applied = 0;      // generations applied
    std::uint64_t refused = 0;      // of these, refused as invalid
    bool has_gap = false;           // later generations wait for a missing one
    bool is_bad_checkpoint = false; // the snapshot could not be read
};

// Adds the generations that a peer or the store sent and applies all that are
// next in order.
apply_outcome apply_received(
    config_history& h, config_generations received,
    history_limits const& limits);

// Returns as many of the generations after `after` as fit or, when their texts
// are no longer kept, the newest checkpoint and those that follow it. Empty
// when no newer generation is in force. The receiver repeats the pull until the
// response is empty.
config_generations make_pull_response(
    config_history const& h, std::uint64_t after, history_limits const& limits);

} // namespace marjorambeam
