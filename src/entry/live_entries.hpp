// The live entries, over which customers and sessions are divided.
//
// Example:
//   live_entries live(state.cluster, steady_now());
//   live.refresh([&](peer const& p) { return cluster.is_live(p, now); }, now);
//   std::size_t owner = allowance_owner(customer, live.names());
//
// Used on the loop's thread only; not thread-safe.
#pragma once

#include "base/time.hpp"
#include "cluster/cluster_state.hpp"

#include <functional>
#include <span>
#include <string>
#include <vector>

namespace marjorambeam
{

class live_entries
{
public:
    // Starts with this entry alone. `cluster` outlives this.
    live_entries(cluster_state const& cluster, steady_time now)
        : cluster_(cluster)
        , names_{cluster.identity.instance}
        , left_at_(now)
    {
    }

    // Reads the set anew. It is kept in between, because a request must not
    // visit every known daemon.
    void
    refresh(std::function<bool(peer const&)> const& is_live, steady_time now);

    // In order, with this entry; not empty. This entry is left out while it
    // shuts down and there are others.
    std::span<std::string const> names() const
    {
        return names_;
    }
    bool is_self(std::string_view name) const
    {
        return name == cluster_.identity.instance;
    }
    // The last time that an entry left the set, or the start.
    steady_time left_at() const
    {
        return left_at_;
    }

private:
    cluster_state const& cluster_;
    std::vector<std::string> names_;
    steady_time left_at_;
};

} // namespace marjorambeam
