#include "entry/live_entries.hpp"

#include <algorithm>

namespace marjorambeam
{

void live_entries::refresh(steady_time now)
{
    known_peers_ = cluster_.peers.size();
    std::vector<std::string> names;
    for (auto const& [instance, p] : cluster_.peers)
    {
        if (p.role == process_role::entry && is_live_(p))
            names.push_back(instance);
    }
    if (names.empty() || !cluster_.is_shutting_down)
        names.push_back(cluster_.identity.instance);
    std::sort(names.begin(), names.end());
    bool const keeps_all =
        std::includes(names.begin(), names.end(), names_.begin(), names_.end());
    if (!keeps_all)
        last_removal_at_ = now;
    names_ = std::move(names);
}

} // namespace marjorambeam
