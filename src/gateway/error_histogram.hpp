// Learns the error of predicted times: a decayed histogram of the logarithm of
// observed over predicted time.
//
// Example:
//   error_histogram h;
//   add_error(h, std::log(seen / predicted));
//   add_least_error(h, std::log(took_so_far / predicted)); // it was cut off
//   double const median = std::exp(quantile(h, 0.5));
//
// Plain data and free functions without I/O. Not thread-safe, except where a
// function says so.
#pragma once

#include <array>
#include <cstddef>

namespace marjorambeam
{

// Errors beyond the first and last bin, a factor of 20, count in these.
struct error_histogram
{
    static constexpr std::size_t bins = 60;
    static constexpr double width = 0.1; // of a bin; they are centred on 0
    std::array<double, bins> counts{};
    double total = 0;
};

// Records one error.
void add_error(error_histogram& h, double log_error);

// Records an error of which only the least value is known. It counts in the
// bins from there on, in the proportions of the errors that were recorded
// there.
void add_least_error(error_histogram& h, double least_log_error);

// Returns the logarithm of the error of which the part `p` is below; for 0 and
// 1 the limits of the bins with samples. Precondition: the histogram has
// samples. Thread-safe while no function records.
double quantile(error_histogram const& h, double p);

} // namespace marjorambeam
