// What the agent calls in the libraries for at-most-once execution, billing
// and the cluster. Every hook may be left empty.
//
// Example:
//   agent_hooks hooks;
//   hooks.on_usage = [&](usage_report const& u) { held_usage.add(u); };
//   hooks.reserve = [&](work_request const& r, once_handler decide)
//   { decide({.action = once_action::run}); };
//
// Called on the loop's thread.
#pragma once

#include "base/time.hpp"
#include "config/generation.hpp"
#include "error/error.hpp"
#include "transport/transport.hpp"
#include "wire/message.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambeam
{

enum class once_action : std::uint8_t
{
    run,
    replay, // the recorded outcome answers the request
    refuse
};

// The response of a non-idempotent call.
struct once_response
{
    int status = 0;
    std::string content_type;
    std::string body;
};

// The decision on a non-idempotent call.
struct once_decision
{
    once_action action = once_action::run;
    once_response response; // for replay
    error why;              // for refuse
    std::string owner;      // upstream that owns the key, if it is known
};

using once_handler = std::function<void(once_decision)>;

// How a reserved call ended.
struct once_outcome
{
    // not_run frees the key; unknown and ran keep it.
    run_state run = run_state::unknown;
    // Whether `response` is the whole answer; false when the answer was lost
    // or longer than `max_kept_answer_bytes`.
    bool has_response = false;
    once_response response;
};

// Longer answers of non-idempotent calls can't be replayed.
constexpr std::size_t max_kept_answer_bytes = std::size_t{256} << 10U;

// One ended attempt that reached the upstream.
struct usage_report
{
    work_request const& request;
    config_snapshot const& config; // in force at admission, for the price
    wall_time admitted{};
    std::uint64_t tokens_in = 0;
    std::uint64_t tokens_out = 0;
    bool is_whole = false; // the answer was received to its end
};

struct agent_hooks
{
    // Decides on a non-idempotent call before it is queued; calls the handler
    // once, from within the hook or later. Empty: every call runs.
    std::function<void(work_request const&, once_handler)> reserve;
    // The end of a call that `reserve` let run.
    std::function<void(work_request const&, once_outcome const&)> complete;
    std::function<void(usage_report const&)> on_usage;
    std::function<void(std::vector<std::string> const&)> on_usage_settled;
    // The last connection of an entry process has ended.
    std::function<void(incarnation entry)> on_entry_gone;
    // A frame of `instance` told the generation that it has in force.
    std::function<void(std::string_view instance, std::uint64_t generation)>
        on_generation;
    // Takes a message that is not about work; false when nobody knows it.
    std::function<bool(
        std::shared_ptr<frame_connection> const&, message const&)>
        on_message;
};

} // namespace marjorambeam
