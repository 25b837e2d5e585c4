#include "gateway/completion_estimate.hpp"

#include "base/hash.hpp"
#include "gateway/completion_length.hpp"
#include "gateway/estimate_series.hpp"
#include "gateway/model_escalation.hpp"

#include <algorithm>
#include <cmath>

namespace marjorambeam
{
namespace
{

constexpr double max_sample_seconds = 3600;
constexpr double max_predicted_seconds = 24 * 3600.0;
// Weight of a level, in samples: about eight responses of 30 events.
constexpr double max_level_weight = 256;
// A sample reduces the weight of the other levels by one part in this many, so
// that a change of the engines' pace reaches loads that are rare now; 1,000 was
// too slow after a model became three times faster. Levels without samples keep
// the minimum, or an hour at a full batch would leave no slope, but together no
// more than the sum, or they would hold the present level up.
constexpr double other_level_samples = 200;
constexpr double min_level_weight = 8;
constexpr double max_other_levels_weight = 16;
// A stall counts as at most this many times the expected time: one of a minute
// would otherwise move the line for the next hundred responses.
constexpr double max_stall_ratio = 10;
// The same for the first samples of a model, against their median or the line
// of another model. It is smaller, as each of them has more weight.
constexpr double max_first_stall_ratio = 3;
// Weight of the line of another model, in samples.
constexpr double prior_level_weight = 8;
// Weight of the samples from before a pause of max_line_age, in samples. It is
// below min_event_samples, so that they alone make no prediction.
constexpr double outdated_weight = 2;
// Pseudo-samples that keep the shape of the line at loads without samples.
constexpr double shape_weight = 2;
constexpr double shape_requests = 64;
// Without samples of another model, an event takes twice as long with 8
// requests as with none. Decode steps are bound by memory bandwidth, and a part
// grows with the batch.
constexpr event_time_line default_shape{.idle = 1, .per_request = 1.0 / 8};

// Weight of the spread of lengths and event times against recorded errors.
constexpr double prior_error_weight = 30;
// Standard deviation of the logarithm of a response's time per event: engines
// share their machines with other work.
constexpr double event_time_deviation = 0.3;
// Standard deviations from the median to the 90th percentile of a normal.
constexpr double normal_90th = 1.2816;

bool is_valid(duration d)
{
    return d > duration{0} && to_seconds(d) <= max_sample_seconds;
}

std::size_t level_of(double requests)
{
    double const level = 2 * std::log2(std::max(requests, 1.0));
    return static_cast<std::size_t>(
        std::min(level, static_cast<double>(request_levels - 1)));
}

double seconds_at(event_time_line const& l, double requests)
{
    return l.idle + l.per_request * requests;
}

event_time_line scaled(event_time_line const& l, double factor)
{
    return {l.idle * factor, l.per_request * factor};
}

// Sums of weighted least squares of a line.
struct line_sums
{
    double w = 0;
    double x = 0;
    double y = 0;
    double xx = 0;
    double xy = 0;
};

// Errors are relative to the time that is expected at these requests. Relative
// to the point's own time, fast points would outweigh slow ones.
void add_point(
    line_sums& s, event_time_line const& expected, double weight,
    double requests, double seconds)
{
    double const unit = seconds_at(expected, requests);
    double const w = weight / (unit * unit);
    s.w += w;
    s.x += w * requests;
    s.y += w * seconds;
    s.xx += w * requests * requests;
    s.xy += w * requests * seconds;
}

// Line of least squares whose coefficients are not negative.
event_time_line solve(line_sums const& s)
{
    double const determinant = s.w * s.xx - s.x * s.x;
    double const slope = (s.w * s.xy - s.x * s.y) / determinant;
    if (!(slope > 0))
        return {.idle = s.y / s.w};
    double const idle = (s.y - slope * s.x) / s.w;
    if (idle < 0)
        return {.per_request = s.xy / s.xx};
    return {.idle = idle, .per_request = slope};
}

// Line of the samples. Where there are none, it has the shape of `shape`, whose
// scale counts as `scale_weight` samples.
event_time_line
fit(event_time_estimate const& e, event_time_line const& shape,
    double scale_weight)
{
    double ratios = scale_weight;
    double weight = scale_weight;
    for (event_time_level const& l : e.levels)
    {
        if (l.weight <= 0)
            continue;
        ratios += l.weight * l.seconds / seconds_at(shape, l.requests);
        weight += l.weight;
    }
    event_time_line const prior = scaled(shape, ratios / weight);
    line_sums s;
    for (double const x : {1.0, shape_requests})
        add_point(s, prior, shape_weight, x, seconds_at(prior, x));
    for (event_time_level const& l : e.levels)
    {
        if (l.weight > 0)
            add_point(s, prior, l.weight, l.requests, l.seconds);
    }
    return solve(s);
}

bool is_recent(event_time_estimate const& e, steady_time now)
{
    return std::chrono::abs(now - e.updated) <= max_line_age;
}

// An engine that serves a request has at least that one, and a wrong number is
// no reason to predict nothing.
double at_least_one(double requests)
{
    return std::isfinite(requests) ? std::max(requests, 1.0) : 1;
}

// Line of the model with the most samples among the others with recent ones, as
// it would be for the queried model; nothing if none has enough.
std::optional<event_time_line>
line_of_others(service_completion_estimate const& s, completion_query const& q)
{
    if (q.model >= q.models)
        return std::nullopt;
    std::size_t best = q.model;
    double most = min_event_samples;
    for (std::size_t i = 0; i < std::min(s.models.size(), q.models); ++i)
    {
        if (i == q.model || s.models[i].weight < most ||
            !is_recent(s.models[i], q.now))
            continue;
        best = i;
        most = s.models[i].weight;
    }
    if (best == q.model)
        return std::nullopt;
    double const factor =
        model_pace(q.model, q.models) / model_pace(best, q.models);
    return scaled(s.models[best].line, factor);
}

void add_sample(event_time_estimate& e, double requests, double seconds)
{
    event_time_level& own = e.levels[level_of(requests)];
    double others = 0;
    for (event_time_level const& l : e.levels)
        others += &l != &own && l.weight > 0 ? 1 : 0;
    double const least = std::min(
        min_level_weight, max_other_levels_weight / std::max(others, 1.0));
    e.weight = 0;
    for (event_time_level& l : e.levels)
    {
        if (&l != &own && l.weight > least)
            l.weight -= l.weight / other_level_samples;
        e.weight += l.weight;
    }
    double const before = own.weight;
    own.weight = std::min(own.weight + 1, max_level_weight);
    own.requests += (requests - own.requests) / own.weight;
    own.seconds += (seconds - own.seconds) / own.weight;
    e.weight += own.weight - before;
}

void reduce_weight(event_time_estimate& e, double most)
{
    if (e.weight <= most)
        return;
    for (event_time_level& l : e.levels)
        l.weight *= most / e.weight;
    e.weight = most;
}

// Adds one of the first samples. There is no line yet to tell a stall by, so
// that all samples so far are added again, clipped by their median.
void add_first_sample(event_time_estimate& e, double requests, double seconds)
{
    e.first[e.first_count++] = {requests, seconds};
    std::array<double, first_event_samples> ratios{};
    for (std::size_t i = 0; i < e.first_count; ++i)
        ratios[i] =
            e.first[i].seconds / seconds_at(default_shape, e.first[i].requests);
    // Of an even number the lower one, as stalls are longer.
    auto const median =
        ratios.begin() + static_cast<std::ptrdiff_t>((e.first_count - 1) / 2);
    std::nth_element(
        ratios.begin(), median,
        ratios.begin() + static_cast<std::ptrdiff_t>(e.first_count));
    event_time_line const usual =
        scaled(default_shape, max_first_stall_ratio * *median);
    e.levels = {};
    for (std::size_t i = 0; i < e.first_count; ++i)
    {
        event_time_sample const& sample = e.first[i];
        add_sample(
            e, sample.requests,
            std::min(sample.seconds, seconds_at(usual, sample.requests)));
    }
}

// Own samples while there are few, clipped by the line of another model: the
// median of one or two of them may be a stall.
event_time_estimate
clipped(event_time_estimate const& own, event_time_line const& prior)
{
    event_time_estimate e = own;
    if (own.first_count < first_event_samples)
    {
        for (event_time_level& l : e.levels)
            l.seconds = std::min(
                l.seconds,
                max_first_stall_ratio * seconds_at(prior, l.requests));
    }
    return e;
}

std::optional<double>
event_seconds(service_completion_estimate const& s, completion_query const& q)
{
    static event_time_estimate const none{};
    event_time_estimate const& own =
        q.model < s.models.size() && is_recent(s.models[q.model], q.now)
            ? s.models[q.model]
            : none;
    double const requests = at_least_one(q.requests);
    double const pace = q.pace > 0 && std::isfinite(q.pace) ? q.pace : 1;
    if (auto const prior = line_of_others(s, q))
        return pace * seconds_at(
                          fit(clipped(own, *prior), *prior, prior_level_weight),
                          requests);
    if (own.weight < min_event_samples)
        return std::nullopt;
    return pace * seconds_at(own.line, requests);
}

duration predicted_time(double seconds)
{
    return from_seconds(std::clamp(seconds, 0.0, max_predicted_seconds));
}

} // namespace

completion_prediction
predict_completion(completion_estimates const& all, completion_query const& q)
{
    service_completion_estimate const* const s =
        find_entry(all.services, q.service);
    auto const length = predict_length(all, q.route, q.hinted_tokens);
    auto const per_event = s == nullptr ? std::nullopt : event_seconds(*s, q);
    if (!length || !per_event)
        return {};
    double const first = std::max(to_seconds(q.first_event), 0.0);
    double const rest = std::max(std::exp(length->mean) - 1, 0.0) * *per_event;
    double const uncorrected = first + rest;
    double const deviation = std::sqrt(
        length->variance + event_time_deviation * event_time_deviation);
    double const recorded =
        s->errors.total / (s->errors.total + prior_error_weight);
    // Errors of the time to the first event are small beside the others, so the
    // spread that is assumed concerns the time from then on.
    auto at = [&](double p, double deviations)
    {
        double const factor = std::exp(deviations * deviation);
        if (uncorrected <= 0)
            return predicted_time(0);
        double log_error = std::log((first + rest * factor) / uncorrected);
        if (recorded > 0)
            log_error += recorded * (quantile(s->errors, p) - log_error);
        return predicted_time(uncorrected * std::exp(log_error));
    };
    return {
        .is_known = true,
        .likely = at(0.5, 0),
        .early = at(0.1, -normal_90th),
        .late = at(0.9, normal_90th),
        .uncorrected = predicted_time(uncorrected)};
}

std::optional<duration>
expected_event_time(completion_estimates const& all, completion_query const& q)
{
    service_completion_estimate const* const s =
        find_entry(all.services, q.service);
    if (s == nullptr)
        return std::nullopt;
    auto const seconds = event_seconds(*s, q);
    return seconds ? std::optional(predicted_time(*seconds)) : std::nullopt;
}

void record_event_time(
    completion_estimates& all, std::string_view service, std::size_t model,
    double requests, duration per_event, steady_time now)
{
    if (!is_valid(per_event) || !is_valid_count(requests) ||
        model >= max_estimated_models)
        return;
    service_completion_estimate& s =
        entry_of(all.services, hash64(service), ++all.updates);
    if (s.models.size() <= model)
        s.models.resize(model + 1);
    event_time_estimate& e = s.models[model];
    if (!is_recent(e, now))
    {
        if (e.first_count < first_event_samples)
            e = {};
        reduce_weight(e, outdated_weight);
    }
    e.updated = std::max(e.updated, now);
    double const seconds = to_seconds(per_event);
    requests = at_least_one(requests);
    if (e.first_count < first_event_samples)
        add_first_sample(e, requests, seconds);
    else
        add_sample(
            e, requests,
            std::min(seconds, max_stall_ratio * seconds_at(e.line, requests)));
    e.line = fit(e, default_shape, 0);
}

void record_completion(
    completion_estimates& all, std::string_view service, duration predicted,
    duration seen)
{
    if (is_valid(predicted) && is_valid(seen))
        add_error(
            entry_of(all.services, hash64(service), ++all.updates).errors,
            std::log(to_seconds(seen) / to_seconds(predicted)));
}

void record_cut_completion(
    completion_estimates& all, std::string_view service, duration predicted,
    duration seen)
{
    if (is_valid(predicted) && is_valid(seen))
        add_least_error(
            entry_of(all.services, hash64(service), ++all.updates).errors,
            std::log(to_seconds(seen) / to_seconds(predicted)));
}

std::optional<double> completion_error(
    completion_estimates const& all, std::string_view service, double p)
{
    service_completion_estimate const* const s =
        find_entry(all.services, service);
    if (s == nullptr || s->errors.total <= 0)
        return std::nullopt;
    return std::exp(quantile(s->errors, p));
}

} // namespace marjorambeam
