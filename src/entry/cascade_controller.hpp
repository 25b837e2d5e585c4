// Chooses the model for requests to "auto" and updates its estimates from
// ratings.
//
// Example:
//   cascade_controller cascades;
//   result<cascade_pick> p = cascades.choose(config, c, features, 4, now);
//   // When the rating of the response arrives:
//   cascades.record_rating(*p, "tagger@v1", 0.9);
//
// Used on the loop's thread only; not thread-safe.
#pragma once

#include "cascade/cascade.hpp"

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>

namespace marjorambeam
{

// A chosen model, with the data needed to record its rating.
struct cascade_pick
{
    std::string customer;
    request_kind kind = 0;
    std::size_t stage = 0;
    std::string model;
    bool should_rate = false;
    std::string reason;
};

class cascade_controller
{
public:
    // `seed` seeds the random number generator for exploration.
    explicit cascade_controller(std::uint64_t seed)
        : random_(seed)
    {
    }

    // Chooses the model of one request; the rating budget is divided by
    // `entries`, the number of live entries.
    // Error: model_not_allowed when the contract allows no model with an
    // active version.
    result<cascade_pick> choose(
        config_snapshot const& config, contract const& c,
        prompt_features const& features, std::size_t entries, steady_time now);

    // Records the rating of a response of `version_id` ("model@version").
    void record_rating(
        cascade_pick const& pick, std::string_view version_id, double rating);

private:
    std::map<std::string, cascade_state, std::less<>> states_; // by customer
    std::mt19937_64 random_;
};

} // namespace marjorambeam
