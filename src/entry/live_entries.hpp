// The set of live entries, over which customers and sessions are partitioned.
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

    // Contains only this entry at first. `cluster` must outlive this; `is_live`
    // returns whether a peer is live.
    live_entries(
        cluster_state const& cluster, liveness_predicate is_live,
        steady_time now)
        : cluster_(cluster)
        , is_live_(std::move(is_live))
        , names_{cluster.identity.instance}
        , last_removal_at_(now)
    {
    }

    // Recomputes the set. It is cached because a request must not iterate over
    // all known daemons.
    void refresh(steady_time now);

    // Returns the sorted names, never empty. This entry is included, except
    // while it shuts down and others are live. Refreshes the set first when
    // peers were added or removed, because an entry that has just started must
    // not act as if it were alone. The span is valid until the next call or
    // refresh().
    std::span<std::string const> names()
    {
        if (cluster_.peers.size() != known_peers_)
            refresh(steady_now());
        return names_;
    }
    // Returns whether `name` is this entry.
    bool is_self(std::string_view name) const
    {
        return name == cluster_.identity.instance;
    }
    // Returns when an entry was last removed from the set, or the time of
    // construction.
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
