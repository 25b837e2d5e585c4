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

struct model_question
{
    std::size_t models = 0; // smallest first
    std::size_t asked = 0;  // index of the model that answers
    std::optional<int> confidence; // 0 to 100, of its answer
    bool has_attempts = true; // the limits allow another attempt
    bool is_resumed = false;  // the caller has a part of the answer
};

// When a larger model's answer would begin.
struct larger_model_time
{
    duration expected{0}; // from now
    duration left{0};     // of the target
};

// Confidence from which an answer is kept. Above it, an answer that is too
// simple is so rare that the larger model costs more than it gains.
constexpr int min_confidence = 56;
// The same when the larger model's answer would be late, and so worth only a
// part.
constexpr int min_confidence_if_late = 30;
// An upstream that is so far behind gets no more large work: it would make the
// answers of others late. In times of what is left of the target.
constexpr double hopeless_factor = 3;


// Index of the model to ask first.
std::size_t first_model(model_question const& q);

// Index of the model that may be asked instead of the one that answers;
// nothing when the answer is to be kept.
std::optional<std::size_t> next_model(model_question const& q);

// Whether the larger model is worth its time.
bool is_worth_asking(model_question const& q, larger_model_time const& t);

// Time per token of a model relative to the smallest.
double model_pace(std::size_t model, std::size_t models);

} // namespace marjorambeam
