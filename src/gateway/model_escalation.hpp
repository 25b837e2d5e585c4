// Chooses among models that differ in cost and quality for one request.
//
// Example:
//   std::size_t at = first_model(route.models.size(), load);
//   ...
//   if (should_ask_larger(at, models, answer.confidence, load)) ++at;
//
// A small model answers first; when its own opinion of the answer is low, the
// answer is dropped before the caller has any of it, and a larger model is
// asked. No I/O. Thread-safe.
#pragma once

#include "base/time.hpp"

#include <cstddef>
#include <optional>

namespace marjorambeam
{

struct escalation_query
{
    std::size_t models = 0;        // smallest first
    std::size_t asked = 0;         // index of the model that answers
    std::optional<int> confidence; // 0 to 100, of its answer
    bool has_attempts = true;      // the limits allow another attempt
    bool is_resumed = false;       // the caller has a part of the answer
};

// When a larger model's answer would begin.
struct larger_model_delay
{
    duration expected{0}; // from now
    duration queued{0};   // part of `expected` that others' work takes
    duration left{0};     // of the target
};

// Confidence from which an answer is kept while the larger model has time.
// Above it, an answer that is too simple is so rare that the larger model costs
// more than it gains.
constexpr int min_confidence = 56;
// The same when the larger model's answer would come just in time. An upstream
// that is so far behind makes the answers of others late as well.
constexpr int min_just_in_time_confidence = 40;
// Part of the time left up to which an upstream is not behind.
constexpr double on_time_ratio = 0.95;
// Times the time left from which no larger model is asked.
constexpr double max_delay_ratio = 2.5;

// Part of the time left that the queue of the best engine may take. A larger
// model's answer takes ten times the work, which all behind it wait for, so
// that engines with a queue are left to first answers.
constexpr double min_queue_ratio = 0.1;
// The same from which no larger model is asked.
constexpr double max_queue_ratio = 0.4;

// Index of the model to ask first.
std::size_t first_model(escalation_query const& q);

// Index of the model that may be asked instead of the one that answers;
// nothing when the answer is to be kept.
std::optional<std::size_t> escalation_target(escalation_query const& q);

// Confidence from which an answer is kept when the larger model's would need
// this time.
double required_confidence(larger_model_delay const& t);

// Whether the larger model is worth its time.
bool is_worth_escalating(
    escalation_query const& q, larger_model_delay const& t);

// Time per token of a model relative to the smallest.
double model_pace(std::size_t model, std::size_t models);

} // namespace marjorambeam
