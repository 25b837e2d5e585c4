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

#include <cstddef>
#include <optional>

namespace marjorambeam
{

struct model_question
{
    std::size_t models = 0; // smallest first
    std::size_t asked = 0;  // index of the model that answers
    std::optional<int> confidence; // 0 to 100, of its answer
    double load = 0;        // work per upstream against what is comfortable
    bool has_attempts = true; // the limits allow another attempt
    bool is_resumed = false;  // the caller has a part of the answer
};

// Confidence from which an answer is kept.
constexpr int min_confidence = 60;

// Index of the model to ask first.
std::size_t first_model(model_question const& q);

// Index of the model to ask instead of the one that answers; nothing when the
// answer is to be kept.
std::optional<std::size_t> next_model(model_question const& q);

// Time per token of a model relative to the smallest.
double model_pace(std::size_t model, std::size_t models);

} // namespace marjorambeam
