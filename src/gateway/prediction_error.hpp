// Learns the error of a prediction of times: a decaying histogram of the
// logarithm of observed over predicted time.
//
// Example:
//   prediction_error e;
//   record_error(e, predicted, seen, service_time, now);
//   duration const early = scale_prediction(e, predicted, 0.1, now);
//
// A prior with the weight of ten samples applies from the start: one time in
// ten is about a quarter of its prediction or less, one in ten about four times
// as long or more.
// Plain data and free functions without I/O. Not thread-safe.
#pragma once

#include "base/time.hpp"

#include <array>
#include <cstddef>

namespace marjorambeam
{

// Buckets of a quarter of a power of two each, from 1/64 to 64.
constexpr std::size_t error_buckets = 48;

// Without samples for this long only the prior applies.
constexpr duration prediction_error_ttl = std::chrono::seconds(30);

struct prediction_error
{
    std::array<float, error_buckets> weights{}; // decayed counts
    double samples = 0;                         // their sum
    steady_time updated_at{};
};

// Records a prediction and what was seen. Times below `floor`, such as one
// service time, and below a millisecond count as that, because the ratio of
// such times says nothing about long ones. Ignores times that are negative or
// longer than an hour. Not thread-safe.
void record_error(
    prediction_error& e, duration predicted, duration seen, duration floor,
    steady_time now);

// Returns whether there are samples that have not expired. Thread-safe.
bool has_recent_errors(prediction_error const& e, steady_time now);

// Returns the ratio of observed to predicted time that the part `fraction` of
// the samples do not exceed, between 1/64 and 64. Precondition: `fraction` is
// from 0 to 1. Not thread-safe.
double error_ratio(prediction_error const& e, double fraction, steady_time now);

// Returns `predicted` times error_ratio(). Not thread-safe.
duration scale_prediction(
    prediction_error const& e, duration predicted, double fraction,
    steady_time now);

} // namespace marjorambeam
