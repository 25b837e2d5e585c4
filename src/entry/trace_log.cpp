#include "entry/trace_log.hpp"

#include <nlohmann/json.hpp>

namespace marjorambeam
{
namespace
{

// A request that is retried for long must not fill the memory.
constexpr std::size_t max_steps_per_request = 64;

} // namespace

void trace_log::add(
    std::string_view request_id, wall_time now, std::string sentence)
{
    auto const [it, is_new] = steps_.try_emplace(std::string(request_id));
    if (is_new)
    {
        order_.emplace_back(request_id);
        if (order_.size() > capacity_)
        {
            steps_.erase(order_.front());
            order_.pop_front();
        }
    }
    if (it->second.size() < max_steps_per_request)
        it->second.push_back({now, std::move(sentence)});
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
             {"decision", s.sentence}});
    }
    return nlohmann::json{
        {"request_id", request_id}, {"steps", std::move(steps)}}
        .dump();
}

} // namespace marjorambeam
