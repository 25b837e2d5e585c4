#include "agent/agent_state.hpp"

#include <algorithm>

namespace marjorambeam
{

upstream const* own_upstream(agent_state const& s)
{
    auto const& all = s.cluster.config->upstreams;
    auto const it = all.find(s.cluster.identity.upstream);
    return it == all.end() ? nullptr : &it->second;
}

std::size_t slots_in_use(agent_state& s, steady_time now)
{
    std::erase_if(s.settling, [now](steady_time end) { return end <= now; });
    return s.running + s.settling.size();
}

double tokens_per_second(agent_state const& s)
{
    return s.tokens_per_slot_second *
           static_cast<double>(current_limit(s.warm_up));
}

upstream_load current_load(agent_state const& s)
{
    return {
        .running = static_cast<std::uint32_t>(s.running),
        .queued = static_cast<std::uint32_t>(s.queue.size()),
        .limit = current_limit(s.warm_up),
        .warm_limit = s.warm_up.bounds.warm,
        .queued_tokens = s.queue.cost(),
        .tokens_per_second = s.tokens_per_slot_second,
        .first_token_seconds = s.first_token_seconds,
        .is_cold = is_cold(s.warm_up)};
}

void refresh_bounds(agent_state& s)
{
    upstream const* const own = own_upstream(s);
    if (own == nullptr)
        return;
    set_bounds(
        s.warm_up, {.cold = static_cast<std::uint32_t>(own->cold_concurrency),
                    .warm = static_cast<std::uint32_t>(own->warm_concurrency),
                    .has_reports = own->kind == upstream_kind::engine});
}

} // namespace marjorambeam
