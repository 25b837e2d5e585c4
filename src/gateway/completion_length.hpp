// Predicts the number of events of a response by the caller's hint and the
// lengths that its route had. Part of completion_estimate.hpp, which records
// the lengths and has their structs.
//
// Example:
//   if (auto const l = predict_length(estimates, "chat", 900))
//       events = std::exp(l->mean);
//
// No I/O.
#pragma once

#include "gateway/completion_estimate.hpp"

#include <optional>
#include <string_view>

namespace marjorambeam
{

// Logarithm of a length.
struct length_prediction
{
    double mean = 0;
    double variance = 0;
};

// Returns the length of a response of `route`; nothing if there is neither a
// hint nor enough lengths. `hinted_tokens` is 0 without a hint. Thread-safe
// while no function records.
std::optional<length_prediction> predict_length(
    completion_estimates const& all, std::string_view route,
    double hinted_tokens);

} // namespace marjorambeam
