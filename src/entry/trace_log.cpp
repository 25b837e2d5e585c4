#include "entry/trace_log.hpp"

#include <nlohmann/json.hpp>

namespace marjorambeam
{
namespace
{

// Bounds the memory of a request that is retried for a long time.
constexpr std::size_t max_steps_per_request = 64;

} // namespace

void trace_log::add(
    std::string_view request_id, wall_time now, std::string decision)
{
    auto const [it, is_new] = steps_.try_emplace(std::string(request_id));
    if (is_new)
    {
        request_order_.emplace_back(request_id);
        if (request_order_.size() > capacity_)
        {
            steps_.erase(request_order_.front());
            request_order_.pop_front();
        }
    }
    if (it->second.size() < max_steps_per_request)
        it->second.push_back({now, std::move(decision)});
}

std::string trace_log::to_json(std::string_view request_id) const
{
    auto const it = steps_.find(std::string(request_id));
    if (it == steps_.end())
        return {};
    nlohmann::json steps = nlohmann::json::array();
    for (step const& s : it->second)
    {
        steps.push_back(
            {{"time_us", s.at.time_since_epoch().count()},
             {"decision", s.decision}});
    }
    return nlohmann::json{
        {"request_id", request_id}, {"steps", std::move(steps)}}
        .dump();
}

} // namespace marjorambeam
