#include "gateway/error_histogram.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <numeric>

namespace marjorambeam
{
namespace
{

// Weight of the past, in samples.
constexpr double max_error_weight = 256;
// A bin with less is empty, so that the range of the errors forgets one after
// about 1,800 samples.
constexpr double min_count = 0.001;
// Normal distribution that counts as one sample where a least error is
// recorded: the spread of lengths and event times that is assumed at the start.
// Without it, errors above all that were observed would count as small ones.
constexpr double assumed_deviation = 0.75;

double lower_bound_of(std::size_t bin)
{
    double const half = static_cast<double>(error_histogram::bins) / 2;
    return error_histogram::width * (static_cast<double>(bin) - half);
}

std::size_t bin_of(double log_error)
{
    double const half = static_cast<double>(error_histogram::bins) / 2;
    double const last = static_cast<double>(error_histogram::bins - 1);
    return static_cast<std::size_t>(
        std::clamp(log_error / error_histogram::width + half, 0.0, last));
}

double assumed_count(std::size_t bin)
{
    double const z =
        (lower_bound_of(bin) + error_histogram::width / 2) / assumed_deviation;
    constexpr double peak = std::numbers::inv_sqrtpi / std::numbers::sqrt2 *
                            error_histogram::width / assumed_deviation;
    return peak * std::exp(-z * z / 2);
}

void decay(error_histogram& h)
{
    h.total = 0;
    for (double& c : h.counts)
    {
        c *= 1 - 1 / max_error_weight;
        if (c < min_count)
            c = 0;
        h.total += c;
    }
}

} // namespace

void add_error(error_histogram& h, double log_error)
{
    decay(h);
    h.counts[bin_of(log_error)] += 1;
    h.total += 1;
}

void add_least_error(error_histogram& h, double least_log_error)
{
    decay(h);
    std::array<double, error_histogram::bins> parts{};
    std::size_t const first = bin_of(least_log_error);
    for (std::size_t i = first; i < parts.size(); ++i)
        parts[i] = h.counts[i] + assumed_count(i);
    double const sum = std::accumulate(parts.begin(), parts.end(), 0.0);
    for (std::size_t i = first; i < parts.size(); ++i)
        h.counts[i] += parts[i] / sum;
    h.total += 1;
}

double quantile(error_histogram const& h, double p)
{
    double left = std::clamp(p, 0.0, 1.0) * h.total;
    double edge = 0;
    for (std::size_t i = 0; i < h.counts.size(); ++i)
    {
        double const count = h.counts[i];
        if (count <= 0)
            continue;
        edge = lower_bound_of(i) +
               error_histogram::width * std::min(left / count, 1.0);
        if (left <= count)
            break;
        left -= count;
    }
    return edge;
}

} // namespace marjorambeam
