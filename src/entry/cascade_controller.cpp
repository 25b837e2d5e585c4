#include "entry/cascade_controller.hpp"

#include "base/hash.hpp"

namespace marjorambeam
{

result<cascade_pick> cascade_controller::choose(
    config_snapshot const& config, contract const& c,
    prompt_features const& features, std::size_t entries, steady_time now)
{
    std::vector<cascade_stage> const stages = stages_of(config, c);
    if (stages.empty())
    {
        return fail(
            error_kind::model_not_allowed,
            "the contract allows no model with an active version");
    }
    request_kind const kind = kind_of(features);
    cascade_choice const choice = choose_stage(
        states_[c.customer], stages, limits_of(c, entries), kind, now, random_);
    return cascade_pick{c.customer,         kind,
                        choice.stage,       stages[choice.stage].model,
                        choice.should_rate, explain(choice, stages)};
}

void cascade_controller::record_rating(
    cascade_pick const& pick, std::string_view version_id, double rating)
{
    auto const it = states_.find(pick.customer);
    if (it == states_.end())
        return;
    marjorambeam::record_rating(
        it->second, pick.kind, pick.stage, hash64(version_id), rating);
}

} // namespace marjorambeam
