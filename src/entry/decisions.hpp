// What the entry decides for one request, in terms of the decision libraries.
//
// Example:
//   result<void> target = choose_target(state, contract, request);
//   result<std::string> agent = choose_agent(state, request, now);
//
// Used on the loop's thread only; not thread-safe.
#pragma once

#include "entry/entry_state.hpp"
#include "error/error.hpp"

#include <string>
#include <string_view>

namespace marjorambeam
{

// Sets model, version and work.target of a model request from what the caller
// asked for and the contract permits. Errors: model_not_allowed,
// version_withdrawn, no_upstream.
result<void> choose_version(contract const& c, entry_request& r);

// Returns the instance of the agent for the next attempt. Error: no_upstream.
result<std::string>
choose_agent(entry_state const& state, entry_request const& r);

// Why and how a request goes on after an attempt that ended early.
enum class next_step
{
    retry, // whole or from the token delivered
    give_up
};
next_step
after_failure(entry_request const& r, error const& why, steady_time now);

// The estimated token cost of a chat request.
std::uint64_t estimate_tokens(chat_request const& chat);

} // namespace marjorambeam
