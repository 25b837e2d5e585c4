#include "gateway/completion_length.hpp"

#include "base/hash.hpp"
#include "gateway/estimate_series.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace marjorambeam
{
namespace
{

// Weight of the past in the lengths of a route, in responses.
constexpr double max_length_weight = 64;
// A route starts from the ratio of all routes with the weight of this many
// responses. All routes start from 1 with little weight, as an event may hold
// many tokens.
constexpr double prior_length_weight = 3;
constexpr double prior_ratio_weight = 0.1;
// Standard deviation of the logarithm of a length before there are samples: one
// hint in three is off by more than a factor of two.
constexpr double prior_length_deviation = 0.7;
// Weight, in responses, with which a length is taken to be proportional to the
// hint, and the variance of the logarithms of hints that this assumes.
constexpr double prior_slope_weight = 10;
constexpr double prior_hint_variance = 0.25;
// Bounds on how far a hint counts as off, so that one caller does not spoil the
// estimates of others on its route: in standard deviations of the logarithm of
// events per hinted token, and a factor of five at most. A hint that is further
// off than the last factor is not a count of tokens and is ignored.
constexpr double max_hint_deviations = 2.5;
constexpr double max_log_hint_error = 1.6;
constexpr double max_hint_factor = 1000;
// A response that was cut off is taken to be longer by at most this factor's
// logarithm, as without complete ones nothing bounds its length.
constexpr double max_log_excess = 1;

void add_log(log_estimate& e, double sample, double variance, double max_weight)
{
    e.weight = std::min(e.weight + 1, max_weight);
    double const d = sample - e.mean;
    e.mean += d / e.weight;
    e.variance += (d * (sample - e.mean) + variance - e.variance) / e.weight;
}

void add_hinted(
    hinted_length_estimate& e, double hint, double events, double variance)
{
    e.weight = std::min(e.weight + 1, max_length_weight);
    double const dh = hint - e.hint_mean;
    double const de = events - e.events_mean;
    e.hint_mean += dh / e.weight;
    e.events_mean += de / e.weight;
    e.hint_variance += (dh * (hint - e.hint_mean) - e.hint_variance) / e.weight;
    e.events_variance +=
        (de * (events - e.events_mean) + variance - e.events_variance) /
        e.weight;
    e.covariance += (dh * (events - e.events_mean) - e.covariance) / e.weight;
}

double blended_variance(double variance, double weight)
{
    double const prior = prior_length_deviation * prior_length_deviation;
    double const total = weight + prior_length_weight;
    return (weight * variance + prior_length_weight * prior) / total *
           (1 + 1 / total);
}

// Logarithm of the events per hinted token of a route.
double
log_ratio(completion_estimates const& all, hinted_length_estimate const& e)
{
    double const prior = all.ratio.mean * all.ratio.weight /
                         (all.ratio.weight + prior_ratio_weight);
    return (e.weight * (e.events_mean - e.hint_mean) +
            prior_length_weight * prior) /
           (e.weight + prior_length_weight);
}

// Regression of the events on the hint. Hints that are off by independent
// factors are further from the mean than the lengths, so that the slope is
// below 1; for hints that are right on average it is 1.
length_prediction predict_hinted(
    completion_estimates const& all, hinted_length_estimate const& e,
    double hint)
{
    double const ratio = log_ratio(all, e);
    double const prior = prior_slope_weight * prior_hint_variance;
    double const slope = std::clamp(
        (e.weight * e.covariance + prior) /
            (e.weight * e.hint_variance + prior),
        0.0, 1.0);
    double const residual = e.events_variance - 2 * slope * e.covariance +
                            slope * slope * e.hint_variance;
    double const from_mean = e.weight > 0 ? hint - e.hint_mean : 0;
    return {
        .mean = hint + ratio - (1 - slope) * from_mean,
        .variance = blended_variance(std::max(residual, 0.0), e.weight)};
}

// Whether a hint may count the tokens of a response of so many events; both are
// logarithms.
bool is_token_count(double hint, double events)
{
    return std::abs(events - hint) <= std::log(max_hint_factor);
}

void add_length(
    completion_estimates& all, std::string_view route, double hinted_tokens,
    double log_events, double variance)
{
    route_length_estimate& r =
        entry_of(all.routes, hash64(route), ++all.updates);
    add_log(r.events, log_events, variance, max_length_weight);
    if (!is_valid_count(hinted_tokens))
        return;
    double hint = std::log(hinted_tokens);
    if (!is_token_count(hint, log_events))
        return;
    if (all.ratio.weight >= min_length_samples)
    {
        hinted_length_estimate const& e = r.hinted;
        double const spread =
            e.hint_variance + e.events_variance - 2 * e.covariance;
        double const deviation =
            std::sqrt(blended_variance(std::max(spread, 0.0), e.weight));
        double const most =
            std::min(max_hint_deviations * deviation, max_log_hint_error);
        double const usual = log_events - log_ratio(all, e);
        hint = std::clamp(hint, usual - most, usual + most);
    }
    add_hinted(r.hinted, hint, log_events, variance);
    add_log(all.ratio, log_events - hint, variance, max_length_weight);
}

} // namespace

std::optional<length_prediction> predict_length(
    completion_estimates const& all, std::string_view route,
    double hinted_tokens)
{
    static route_length_estimate const none{};
    route_length_estimate const* const known = find_entry(all.routes, route);
    route_length_estimate const& r = known == nullptr ? none : *known;
    bool const has_lengths = r.events.weight >= min_length_samples;
    if (is_valid_count(hinted_tokens))
    {
        double const hint = std::log(hinted_tokens);
        if (!has_lengths || is_token_count(hint, r.events.mean))
            return predict_hinted(all, r.hinted, hint);
    }
    if (!has_lengths)
        return std::nullopt;
    return length_prediction{
        r.events.mean, blended_variance(r.events.variance, r.events.weight)};
}

std::optional<double>
expected_events(completion_estimates const& all, completion_query const& q)
{
    auto const length = predict_length(all, q.route, q.hinted_tokens);
    return length ? std::optional(std::exp(length->mean)) : std::nullopt;
}

void record_length(
    completion_estimates& all, std::string_view route, double hinted_tokens,
    double events)
{
    if (is_valid_count(events))
        add_length(all, route, hinted_tokens, std::log(events), 0);
}

// Records the mean and variance of the lengths from there on, of a normal
// distribution of the logarithms.
void record_cut_length(
    completion_estimates& all, std::string_view route, double hinted_tokens,
    double events)
{
    if (!is_valid_count(events))
        return;
    double const cut = std::log(events);
    auto const length = predict_length(all, route, hinted_tokens);
    if (!length)
    {
        add_length(all, route, hinted_tokens, cut, 0);
        return;
    }
    double const deviation = std::sqrt(length->variance);
    double const z = (cut - length->mean) / deviation;
    // Density over survival; far out, where both vanish, its limit.
    double const hazard =
        z > 6 ? z + 1 / z
              : std::exp(-z * z / 2) / std::sqrt(2 * std::numbers::pi) /
                    (0.5 * std::erfc(z / std::numbers::sqrt2));
    double const mean =
        std::min(length->mean + deviation * hazard, cut + max_log_excess);
    double const variance =
        length->variance *
        std::clamp(1 + z * hazard - hazard * hazard, 0.0, 1.0);
    add_length(all, route, hinted_tokens, mean, variance);
}

} // namespace marjorambeam
