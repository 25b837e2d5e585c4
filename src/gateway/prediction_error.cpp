#include "gateway/prediction_error.hpp"

#include <algorithm>
#include <cmath>

namespace marjorambeam
{
namespace
{

// Decay per sample: the last hundred samples count, some seconds of a loaded
// service at one gateway.
constexpr float sample_decay = 0.99F;
constexpr double buckets_per_power = 4;
constexpr double smallest_power = -6;
constexpr duration resolution = std::chrono::milliseconds(1);
constexpr duration longest_time = std::chrono::hours(1);

// The prior is a triangle around a ratio of one, over this many buckets to
// either side, with the weight of ten samples.
constexpr double prior_half_width = 14;
constexpr double prior_samples = 10;

double prior_weight(std::size_t bucket)
{
    double const distance =
        std::abs(static_cast<double>(bucket) + 0.5 - error_buckets / 2.0);
    return prior_samples * std::max(0.0, prior_half_width - distance) /
           (prior_half_width * prior_half_width);
}

bool is_expired(prediction_error const& e, steady_time now)
{
    return now - e.updated_at > prediction_error_ttl;
}

bool is_sound(duration d)
{
    return d >= duration{0} && d <= longest_time;
}

} // namespace

void record_error(
    prediction_error& e, duration predicted, duration seen, duration floor,
    steady_time now)
{
    if (!is_sound(predicted) || !is_sound(seen))
        return;
    if (is_expired(e, now))
        e = {};
    duration const least = std::clamp(floor, resolution, longest_time);
    double const ratio = to_seconds(std::max(seen, least)) /
                         to_seconds(std::max(predicted, least));
    double const place =
        std::floor((std::log2(ratio) - smallest_power) * buckets_per_power);
    auto const bucket = static_cast<std::size_t>(
        std::clamp(place, 0.0, static_cast<double>(error_buckets - 1)));
    for (float& w : e.weights)
        w *= sample_decay;
    e.weights[bucket] += 1;
    e.samples = e.samples * sample_decay + 1;
    e.updated_at = now;
}

bool has_recent_errors(prediction_error const& e, steady_time now)
{
    return e.samples > 0 && !is_expired(e, now);
}

double error_ratio(prediction_error const& e, double fraction, steady_time now)
{
    bool const has_samples = !is_expired(e, now);
    double left = fraction * ((has_samples ? e.samples : 0) + prior_samples);
    double power = smallest_power;
    for (std::size_t i = 0; i < error_buckets; ++i)
    {
        double const weight =
            (has_samples ? e.weights[i] : 0) + prior_weight(i);
        if (weight > 0)
        {
            double const part = std::min(left / weight, 1.0);
            power = smallest_power +
                    (static_cast<double>(i) + part) / buckets_per_power;
            if (left <= weight)
                break;
        }
        left -= weight;
    }
    return std::exp2(power);
}

duration scale_prediction(
    prediction_error const& e, duration predicted, double fraction,
    steady_time now)
{
    return from_seconds(to_seconds(predicted) * error_ratio(e, fraction, now));
}

} // namespace marjorambeam
