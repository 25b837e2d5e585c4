// The live entries, over which customers and sessions are divided.
//
// Example:
//   live_entries live(state.cluster, is_live, steady_now());
//   live.refresh(steady_now()); // every 100 ms, and when a peer is lost
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
    using liveness_predicate = std::function<bool(peer const&)>;

    // Starts with this entry alone. `cluster` outlives this; `is_live` tells
    // whether a peer counts.
    live_entries(
        cluster_state const& cluster, liveness_predicate is_live,
        steady_time now)
        : cluster_(cluster)
        , is_live_(std::move(is_live))
        , names_{cluster.identity.instance}
        , last_removal_at_(now)
    {
    }

    // Reads the set anew. It is kept in between, because a request must not
    // visit every known daemon.
    void refresh(steady_time now);

    // In order, with this entry; not empty. This entry is left out while it
    // shuts down and there are others. Reads the set anew when peers were
    // added or removed: an entry that has just started must not act as if it
    // were alone.
    std::span<std::string const> names()
    {
        if (cluster_.peers.size() != known_peers_)
            refresh(steady_now());
        return names_;
    }
    bool is_self(std::string_view name) const
    {
        return name == cluster_.identity.instance;
    }
    // The last time that an entry left the set, or the start.
    steady_time last_removal_at() const
    {
        return last_removal_at_;
    }

private:
    cluster_state const& cluster_;
    liveness_predicate is_live_;
    std::size_t known_peers_ = 0; // at the last refresh
    std::vector<std::string> names_;
    steady_time last_removal_at_;
};

} // namespace marjorambeam
