// Decides which larger model, if any, replaces the response of a smaller one,
// by the time at which its response would end and the delay that it puts on
// other requests.
//
// Example:
//   model_choice_query q{.escalation = {.models = 3, .current = 0,
//                                       .confidence = 30}};
//   q.candidates = candidates; // largest first, or one after the other
//   q.until_deadline = std::chrono::seconds(12);
//   q.target = std::chrono::seconds(3);
//   model_choice const c = choose_model(q);
//   if (c.model) ask(*c.model); else count("spared", name_of(c.reason));
//   if (may_ask_smaller(c.reason)) consider(next_smaller_candidate);
//
// Without load and predictions, the choice is that of model_escalation.hpp. No
// I/O. Thread-safe.
#pragma once

#include "base/time.hpp"
#include "gateway/completion_estimate.hpp"
#include "gateway/model_escalation.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace marjorambeam
{

// A larger model at the engine that would be selected for it.
struct model_candidate
{
    std::size_t model = 0;
    larger_model_delay delay; // `left` is the time until the target
    completion_prediction completion;
    // Time that the engine reads its prompt, and the requests that run or wait
    // there: each of them stands still for that time.
    duration own_time{0};
    double requests = 0;
};

struct model_choice_query
{
    escalation_query escalation;
    // Largest first. Those that are not larger than the current model are
    // skipped.
    std::span<model_candidate const> candidates;
    duration until_deadline = duration::max(); // max(): none
    duration target{0}; // of the route, from arrival to the first event
};

enum class model_choice_reason : std::uint8_t
{
    chosen,
    confident,     // the response reports enough confidence, or none
    no_candidate,  // no larger model, or no engine for it
    no_attempts,   // the limits allow no other attempt
    cannot_end,    // a larger model's response would not end in time
    queue,         // it would delay other requests too much
    late_to_target // it would begin too late for the target
};

struct model_choice
{
    std::optional<std::size_t> model; // nothing: keep the response
    model_choice_reason reason = model_choice_reason::chosen;
};

// Factor on the likely time of a response, which must end before the deadline.
// It covers the time from the last event to the caller.
constexpr double end_margin = 1.1;
// Delay that a larger model's response puts on the other requests at its
// engine, as a sum over them and relative to the target. Up to the first bound
// it costs them little, as they come once in a while; from the second one on,
// it takes more time from others than any single answer can give.
constexpr double free_delay_of_others = 1.5;
constexpr double max_delay_of_others = 5;
// Part of the required confidence from which a response is kept rather than
// replaced by that of a model between it and the largest, which improves fewer
// responses.
constexpr double middle_model_gain = 0.7;

// Returns the model to ask next, or nothing and the reason. Thread-safe.
model_choice choose_model(model_choice_query const& q);

// Returns whether the next smaller model is considered after one that is spared
// for `reason`: if its response would end too late, or delay others too much.
// Thread-safe.
bool may_ask_smaller(model_choice_reason reason);

// Returns whether a response likely ends within `left`; true if that is
// unknown. Thread-safe.
bool can_end_within(completion_prediction const& p, duration left);

// Returns the delay that a candidate puts on other requests, relative to the
// target. Thread-safe.
double delay_of_others(model_candidate const& c, duration target);

// Returns the label of a reason in metrics, such as "cannot_end". Thread-safe.
std::string_view name_of(model_choice_reason reason);

} // namespace marjorambeam
