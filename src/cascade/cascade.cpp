#include "cascade/cascade.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <optional>

namespace marjorambeam
{
namespace
{

constexpr double seconds_per_hour = 3600;
// Assumed generated tokens per prompt token when prices are compared.
constexpr double output_token_ratio = 0.5;
// Lower bound on the variance of ratings, because a few equal ratings would
// otherwise yield a confidence interval of zero width.
constexpr double min_variance = 0.01;
// Fraction of the maximum budget that is reserved for exploration.
constexpr double exploration_reserve = 0.5;

struct estimate
{
    double quality = 0;
    double error = 0; // standard error
};

double variance_of(stage_stats const& stats)
{
    if (stats.ratings == 0)
        return min_variance;
    double const raw = stats.rating_sum / stats.ratings;
    return std::max(
        min_variance, stats.rating_squares / stats.ratings - raw * raw);
}

// Estimates the quality from the ratings and the declared quality.
estimate blended_estimate(stage_stats const& stats, cascade_stage const& stage)
{
    double const n = stats.ratings + declared_quality_weight;
    double const m =
        (stats.rating_sum + declared_quality_weight * stage.declared_quality) /
        n;
    return {m, std::sqrt(variance_of(stats) / n)};
}

// Estimates the quality from the ratings only. Precondition: `stats.ratings` is
// positive.
estimate ratings_estimate(stage_stats const& stats)
{
    return {
        stats.rating_sum / stats.ratings,
        std::sqrt(variance_of(stats) / stats.ratings)};
}

double budget_limit(cascade_limits const& limits)
{
    return std::max(1.0, limits.ratings_per_hour * max_budget_hours);
}

void refill_budget(
    cascade_state& s, cascade_limits const& limits, steady_time now)
{
    if (!s.is_started)
    {
        s.is_started = true;
        s.updated = now;
        s.budget = limits.ratings_per_hour > 0 ? 1 : 0;
        return;
    }
    double const dt = std::max(0.0, to_seconds(now - s.updated));
    s.budget = std::min(
        budget_limit(limits),
        s.budget + dt * limits.ratings_per_hour / seconds_per_hour);
    s.updated = std::max(s.updated, now);
}

// Returns the statistics of `kind`, reset for stages whose version changed.
std::span<stage_stats> stats_of(
    cascade_state& s, std::span<cascade_stage const> stages, request_kind kind)
{
    if (s.stage_count != stages.size())
    {
        s.stage_count = stages.size();
        s.stats_by_stage.assign(stages.size() * request_kind_count, {});
    }
    std::span<stage_stats> const stats_by_stage =
        std::span(s.stats_by_stage)
            .subspan(kind * stages.size(), stages.size());
    for (std::size_t i = 0; i < stages.size(); ++i)
    {
        if (stats_by_stage[i].version_hash != stages[i].version_hash)
            stats_by_stage[i] = {.version_hash = stages[i].version_hash};
    }
    return stats_by_stage;
}

// Returns the next cheaper stage that is uncertain and may be explored.
std::optional<std::size_t> find_stage_to_explore(
    std::span<stage_stats> stats_by_stage,
    std::span<cascade_stage const> stages, double floor, std::size_t chosen,
    steady_time now)
{
    for (std::size_t i = chosen; i-- > 0;)
    {
        stage_stats& stats = stats_by_stage[i];
        if (classify_stage(stats, stages[i], floor) != stage_state::uncertain)
            continue;
        if (now - stats.last_rating_request > pending_timeout)
            stats.pending = 0;
        if (stats.pending < max_pending)
            return i;
    }
    return std::nullopt;
}

void request_rating(cascade_state& s, stage_stats& stats, steady_time now)
{
    s.budget -= 1;
    ++stats.pending;
    stats.last_rating_request = now;
}

double price_of(version const& v)
{
    return static_cast<double>(v.price_in) +
           output_token_ratio * static_cast<double>(v.price_out);
}

version const* active_version(
    config_snapshot const& config, contract const& c, std::string_view model)
{
    version const* found = nullptr;
    for (auto const& [id, v] : config.versions)
    {
        if (v.model == model && v.state == version_state::active &&
            is_permitted(c, v))
            found = &v;
    }
    return found;
}

} // namespace

std::vector<cascade_stage>
stages_of(config_snapshot const& config, contract const& c)
{
    std::vector<std::string> models = c.cascade;
    if (models.empty())
    {
        for (model_permission const& it : c.models)
            models.push_back(it.model);
    }
    std::vector<cascade_stage> stages;
    for (std::string const& model : models)
    {
        version const* v = active_version(config, c, model);
        if (v != nullptr)
            stages.push_back(
                {model, hash64(v->id()), price_of(*v), v->quality});
    }
    if (c.cascade.empty())
        std::stable_sort(
            stages.begin(), stages.end(),
            [](cascade_stage const& a, cascade_stage const& b)
            { return a.price < b.price; });
    return stages;
}

cascade_limits limits_of(contract const& c, std::size_t live_entries)
{
    auto const n = static_cast<double>(std::max<std::size_t>(1, live_entries));
    return {
        c.quality_floor, c.explore_rate,
        static_cast<double>(c.ratings_per_hour) / n};
}

stage_state classify_stage(
    stage_stats const& stats, cascade_stage const& stage, double quality_floor)
{
    if (stats.ratings < min_ratings)
        return stage.declared_quality >= quality_floor ? stage_state::sufficient
                                                       : stage_state::uncertain;
    estimate const e = ratings_estimate(stats);
    // Hysteresis: without it, rating noise near the bound makes requests
    // alternate between this stage and a more expensive one.
    double const margin = stats.was_sufficient ? 0 : sufficient_margin;
    if (e.quality - margin * e.error >= quality_floor)
        return stage_state::sufficient;
    if (e.quality + insufficient_margin * e.error < quality_floor)
        return stage_state::insufficient;
    return stage_state::uncertain;
}

cascade_choice choose_stage(
    cascade_state& s, std::span<cascade_stage const> stages,
    cascade_limits const& limits, request_kind kind, steady_time now,
    std::mt19937_64& random)
{
    refill_budget(s, limits, now);
    std::span<stage_stats> const stats_by_stage = stats_of(s, stages, kind);
    for (std::size_t i = 0; i < stages.size(); ++i)
        stats_by_stage[i].was_sufficient =
            stats_by_stage[i].ratings >= min_ratings &&
            classify_stage(
                stats_by_stage[i], stages[i], limits.quality_floor) ==
                stage_state::sufficient;
    std::uniform_real_distribution<double> uniform(0, 1);
    cascade_choice c;
    c.stage = stages.size();
    for (std::size_t i = 0; i < stages.size() && c.stage == stages.size(); ++i)
    {
        if (classify_stage(
                stats_by_stage[i], stages[i], limits.quality_floor) !=
            stage_state::sufficient)
            continue;
        c.stage = i;
        c.reason = stats_by_stage[i].ratings < min_ratings
                       ? cascade_reason::declared
                       : cascade_reason::by_ratings;
    }
    if (c.stage == stages.size())
    {
        c.reason = cascade_reason::best_known;
        c.is_below_floor = true;
        c.stage = 0;
        for (std::size_t i = 1; i < stages.size(); ++i)
        {
            if (blended_estimate(stats_by_stage[i], stages[i]).quality >=
                blended_estimate(stats_by_stage[c.stage], stages[c.stage])
                    .quality)
                c.stage = i;
        }
    }
    if (s.budget >= 1 && uniform(random) < limits.explore_rate)
    {
        std::optional<std::size_t> const other = find_stage_to_explore(
            stats_by_stage, stages, limits.quality_floor, c.stage, now);
        if (other)
        {
            c.stage = *other;
            c.reason = cascade_reason::exploring;
            c.is_below_floor = false;
            c.should_rate = true;
        }
    }
    if (!c.should_rate &&
        s.budget >= 1 + exploration_reserve * budget_limit(limits))
        c.should_rate = true;
    if (c.should_rate)
        request_rating(s, stats_by_stage[c.stage], now);
    c.estimate =
        blended_estimate(stats_by_stage[c.stage], stages[c.stage]).quality;
    return c;
}

void record_rating(
    cascade_state& s, request_kind kind, std::size_t stage,
    std::uint64_t version_hash, double rating)
{
    if (stage >= s.stage_count || kind >= request_kind_count)
        return;
    stage_stats& stats = s.stats_by_stage[kind * s.stage_count + stage];
    if (stats.version_hash != version_hash)
        return;
    if (stats.pending > 0)
        --stats.pending;
    double const r = std::clamp(rating, 0.0, 1.0);
    double const keep = 1 - 1 / effective_rating_count;
    stats.ratings = stats.ratings * keep + 1;
    stats.rating_sum = stats.rating_sum * keep + r;
    stats.rating_squares = stats.rating_squares * keep + r * r;
}

std::string
explain(cascade_choice const& c, std::span<cascade_stage const> stages)
{
    constexpr std::array<std::string_view, 4> reasons{
        "by declared quality", "sufficient by ratings",
        "exploring a cheaper model", "no model is known to be sufficient"};
    std::array<char, 48> quality{};
    std::snprintf(
        quality.data(), quality.size(), " (quality about %.2f)", c.estimate);
    return "cascade: " + stages[c.stage].model + ", " +
           std::string(reasons.at(static_cast<std::size_t>(c.reason))) +
           quality.data();
}

} // namespace marjorambeam
