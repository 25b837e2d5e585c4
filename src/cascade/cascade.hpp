// Selects the cheapest model of sufficient quality, based on ratings.
//
// Example:
//   auto stages = stages_of(config, contract);      // once per generation
//   cascade_choice c = choose_stage(
//       state, stages, limits, kind_of(features), now, random);
//   run(stages[c.stage].model);
//   if (c.should_rate)
//       request_rating(...);
//   // if and when the rating arrives:
//   record_rating(state, kind, c.stage, stages[c.stage].version_hash, 0.9);
//
// Per customer and kind of request, each stage of the contract's cascade is
// sufficient, insufficient or uncertain:
// - With `min_ratings` ratings, it is sufficient when the lower confidence
//   bound of their mean reaches the contract's floor and insufficient when
//   the upper bound is below it, and its declared quality is ignored. A
//   sufficient stage stays sufficient until the mean is below the floor.
// - With fewer, it is sufficient when its declared quality reaches the floor.
// A request goes to the cheapest sufficient stage. At the contract's rate it
// explores the next cheaper stage that is uncertain, provided that the response
// can be rated within the budget. An insufficient stage is not chosen. When no
// stage is sufficient, the one with the best estimate is chosen and
// `is_below_floor` is set.
//
// Ratings are limited by the contract's hourly budget, half of which is
// reserved for exploration. A missing rating uses up budget and changes no
// estimate. While many ratings of a stage are outstanding, as in an outage of
// the rating service, it is not explored.
//
// Plain data and free functions. Functions that take a cascade_state are not
// thread-safe on the same state; the others are thread-safe.
#pragma once

#include "base/time.hpp"
#include "config/generation.hpp"
#include "prompt_features/prompt_features.hpp"

#include <cstdint>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambeam
{

// Minimum ratings of a kind and stage at which they replace the declared
// quality.
constexpr double min_ratings = 8;
// The declared quality counts as this many ratings in the estimate that selects
// the best stage when none is sufficient.
constexpr double declared_quality_weight = 2;
// Standard errors by which the mean of the ratings must lie above the floor
// for a stage to be sufficient, and below it to be insufficient. The second is
// larger, because an insufficient stage is not explored again, while an
// uncertain one only costs its share of the explorations.
constexpr double sufficient_margin = 1.0;
constexpr double insufficient_margin = 2.0;
// Old ratings decay exponentially, so that about this many count and a change
// of the model's quality is detected.
constexpr double effective_rating_count = 200;
// Outstanding ratings of a kind and stage above which it is not explored.
constexpr std::uint32_t max_pending = 10;
// A rating that has not arrived after this time does not count as outstanding.
constexpr duration pending_timeout = std::chrono::minutes(5);
// Maximum accumulated budget, in hours of the hourly budget.
constexpr double max_budget_hours = 0.25;

// One model of a cascade with its active version.
struct cascade_stage
{
    std::string model;
    std::uint64_t version_hash = 0; // of "model@version"
    double price = 0;               // comparable between stages
    double declared_quality = 0;
};

// The limits of the contract that apply to this entry.
struct cascade_limits
{
    double quality_floor = 0;
    double explore_rate = 0;
    double ratings_per_hour = 0; // this entry's part of the contract's budget
};

enum class stage_state : std::uint8_t
{
    uncertain,
    sufficient,
    insufficient
};

// Rating statistics of one stage for one kind of request.
struct stage_stats
{
    std::uint64_t version_hash = 0;
    double ratings = 0;
    double rating_sum = 0;
    double rating_squares = 0;
    std::uint32_t pending = 0;
    steady_time last_rating_request{};
    bool was_sufficient = false; // by ratings, at the last choice
};

// Per-customer state of an entry. Its size is bounded by the number of kinds
// and stages.
struct cascade_state
{
    std::vector<stage_stats> stats_by_stage; // for each kind, all stages
    std::size_t stage_count = 0;
    double budget = 0; // accumulated ratings that may be requested
    bool is_started = false;
    steady_time updated{};
};

enum class cascade_reason : std::uint8_t
{
    declared,   // sufficient by declared quality; too few ratings
    by_ratings, // sufficient by ratings
    exploring,  // a cheaper stage whose quality is uncertain
    best_known  // no stage is known to reach the floor
};

struct cascade_choice
{
    std::size_t stage = 0;
    cascade_reason reason = cascade_reason::declared;
    bool should_rate = false;
    bool is_below_floor = false; // not known to reach the floor
    double estimate = 0;         // of the stage's quality, 0 to 1
};

// Returns the stages of a contract by ascending price: its `cascade`, or else
// all permitted models. Models without an active permitted version are omitted.
// Thread-safe.
std::vector<cascade_stage>
stages_of(config_snapshot const& config, contract const& c);

// Returns the contract's limits with the budget divided among the live entries.
// Thread-safe.
cascade_limits limits_of(contract const& c, std::size_t live_entries);

// Chooses the stage for one request and charges a requested rating to the
// budget. Preconditions: `stages` is not empty and
// `kind` is below `request_kind_count`.
cascade_choice choose_stage(
    cascade_state& s, std::span<cascade_stage const> stages,
    cascade_limits const& limits, request_kind kind, steady_time now,
    std::mt19937_64& random);

// Records a rating from 0 to 1 of a response by `version_hash`. Ratings of a
// version other than the current one of the stage are ignored. Precondition:
// `kind` is below `request_kind_count`.
void record_rating(
    cascade_state& s, request_kind kind, std::size_t stage,
    std::uint64_t version_hash, double rating);

// Classifies a stage by its statistics. Thread-safe.
stage_state classify_stage(
    stage_stats const& stats, cascade_stage const& stage, double quality_floor);

// Returns a description of the choice for operators. Precondition: `stages` are
// those that `c` was chosen from. Thread-safe.
std::string
explain(cascade_choice const& c, std::span<cascade_stage const> stages);

} // namespace marjorambeam
