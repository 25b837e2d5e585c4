// Compares the response times of a rollout's target with those of the version
// it replaces.
//
// Example:
//   std::optional<double> d = compare_with_baseline(baselines, c, took);
//   if (is_target && d) add_sample(timing.first_event, *d);
//   else if (!is_target) add_to_baseline(baselines, c, took);
//   if (is_slow(timing)) revert();
//
// Times are compared as logarithms within a class of similar attempts: the same
// route, model and load of the upstream. Differences well below a millisecond
// do not count. A version that is slow for a part of its requests raises the
// mean. Sums of several gateways add up. Plain data and free functions without
// I/O. Not thread-safe, except where a function says so.
#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace marjorambeam
{

// Sums of samples: logarithms of a time relative to the baseline.
struct timing_sums
{
    double count = 0;
    double sum = 0;
    double sum_of_squares = 0;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(count, sum, sum_of_squares);
    }
};

// Response times of the target of a rollout, relative to the other versions.
struct version_timing
{
    timing_sums first_event; // time until the response begins
    timing_sums event_gap;   // mean time between the events of a stream

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(first_event, event_gap);
    }
};

// Running mean of the logarithms of a class.
struct timing_baseline
{
    double count = 0;
    double mean = 0;
};

// By class and load. Holds max_timing_classes at most.
using timing_baselines = std::unordered_map<std::uint64_t, timing_baseline>;

constexpr std::size_t max_timing_classes = 2000;
// Samples that a class needs before others are compared with it.
constexpr double min_baseline_samples = 3;
// Weight of the past in a running mean, in samples.
constexpr double max_baseline_samples = 200;

// What is measured.
enum class timing_kind : std::uint8_t
{
    first_event,
    event_gap
};

// Attempts that are comparable.
struct timing_class
{
    std::string_view service;
    std::string_view route;
    std::size_t model = 0;
    double load = 0; // requests at the upstream
    timing_kind kind = timing_kind::first_event;
};

// Adds a time of a version that is not the target of a rollout. Precondition:
// `took` is positive. Not thread-safe.
void add_to_baseline(
    timing_baselines& all, timing_class const& c, duration took);

// Returns the logarithm of the ratio of `took` to the baseline of the class, or
// to the middle of those of the next lower and higher load, each with a
// millisecond added; nothing if these have too few samples. Precondition:
// `took` is positive. Thread-safe.
std::optional<double> compare_with_baseline(
    timing_baselines const& all, timing_class const& c, duration took);

// Adds one sample. Not thread-safe.
void add_sample(timing_sums& s, double log_ratio);

// Adds the sums of another gateway. Not thread-safe.
void add_timing(version_timing& t, version_timing const& other);

// Returns whether the samples show that the target is slower. Thread-safe.
bool is_slow(version_timing const& t);

// Returns whether the samples suffice to rule out that it is slower.
// Thread-safe.
bool is_surely_not_slow(version_timing const& t);

// Returns whether the samples, few or many, show the excess of a slow version.
// Thread-safe.
bool is_more_likely_slow(version_timing const& t);

// Returns whether there are many samples and they show little excess.
// Thread-safe.
bool is_unlikely_slow(version_timing const& t);

// Returns the mean of the samples; zero if there are none. Thread-safe.
double mean_of(timing_sums const& s);

} // namespace marjorambeam
