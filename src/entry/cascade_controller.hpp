// Chooses the model of requests for "auto" and learns from ratings.
//
// Example:
//   cascade_controller cascades;
//   result<cascade_pick> p = cascades.choose(config, c, features, 4, now);
//   ...when the rating of the answer arrives...
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

// A choice, with what a later rating needs.
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
    // `seed` starts the random choices.
    explicit cascade_controller(std::uint64_t seed)
        : random_(seed)
    {
    }

    // Chooses the model of one request; `entries` shares the rating budget.
    // Error: model_not_allowed when the contract permits no model at all.
    result<cascade_pick> choose(
        config_snapshot const& config, contract const& c,
        prompt_features const& features, std::size_t entries, steady_time now);

    // Takes in the rating of an answer by `version_id` ("model@version").
    void record_rating(
        cascade_pick const& pick, std::string_view version_id, double rating);

private:
    std::map<std::string, cascade_state, std::less<>> states_; // by customer
    std::mt19937_64 random_;
};

} // namespace marjorambeam
