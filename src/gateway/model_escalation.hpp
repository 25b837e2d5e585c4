// Decides when a request escalates to a larger, more expensive model.
//
// Example:
//   std::size_t model = first_model(query);
//   ...
//   if (auto larger = escalation_target(query);
//       larger && is_worth_escalating(query, delay)) model = *larger;
//
// A small model responds first. If it reports low confidence, its response is
// discarded before the caller receives any of it, and a larger model runs. No
// I/O. Thread-safe.
#pragma once

#include "base/time.hpp"

#include <cstddef>
#include <optional>

namespace marjorambeam
{

struct escalation_query
{
    std::size_t models = 0;        // smallest first
    std::size_t current = 0;       // index of the responding model
    std::optional<int> confidence; // 0 to 100, of its response
    bool has_attempts = true;      // the limits allow another attempt
    bool is_resumed = false;       // the caller has part of the response
};

// When a larger model's response would begin.
struct larger_model_delay
{
    duration expected{0}; // from now
    duration queued{0};   // part of `expected` spent on other requests
    duration left{0};     // until the latency target
};

// Confidence from which a response is kept even if the larger model is on time.
// Above it, inadequate responses are so rare that escalation costs more than it
// gains.
constexpr int min_confidence = 56;
// The same if the larger model's response would come just in time. An upstream
// that is so far behind also delays the responses to others.
constexpr int min_just_in_time_confidence = 40;
// Ratio of expected delay to time left up to which an upstream is on time.
constexpr double on_time_ratio = 0.95;
// Ratio of expected delay to time left from which nothing escalates.
constexpr double max_delay_ratio = 2.5;

// Ratio of queueing time at the best engine to time left up to which requests
// escalate freely. A larger model's response takes ten times the work, which
// delays everything behind it, so queued engines serve first responses only.
constexpr double min_queue_ratio = 0.1;
// The same ratio from which nothing escalates.
constexpr double max_queue_ratio = 0.4;

// Returns the index of the model to run first. Thread-safe.
std::size_t first_model(escalation_query const& q);

// Returns the index of the model to escalate to, or nothing if the response is
// to be kept or no larger model is left. Thread-safe.
std::optional<std::size_t> escalation_target(escalation_query const& q);

// Returns the confidence from which a response is kept, given the delay of the
// larger model. Thread-safe.
double required_confidence(larger_model_delay const& t);

// Returns whether the response is worth replacing by the larger model's, given
// its delay. Thread-safe.
bool is_worth_escalating(
    escalation_query const& q, larger_model_delay const& t);

// Returns a model's time per token relative to the smallest model.
// Precondition: `model` is less than `models`. Thread-safe.
double model_pace(std::size_t model, std::size_t models);

} // namespace marjorambeam
