// Decides for the agent whether a non-idempotent call may run, and owns its
// share of the key space of each service that its upstream serves.
//
// Example:
//   once_controller once(cluster, store, agent.address(), is_live);
//   hooks.reserve = [&](work_request const& r, once_handler decide)
//   { once.reserve(r, std::move(decide), clock()); };
//   hooks.complete = [&](work_request const& r, once_outcome const& o)
//   { once.complete(r, o); };
//   once.tick(clock()); // every 20 ms or so
//
// Everything runs on the loop's thread; nothing is thread-safe. Counters in
// `cluster_state::counters`: once_decisions_total by "run", "replay" or the
// error's name; keyspace_partitions_owned and once_keys.
#pragma once

#include "agent/agent_hooks.hpp"
#include "at_most_once/deduplication_window.hpp"
#include "at_most_once/keyspace_lease_manager.hpp"
#include "cluster/cluster_state.hpp"
#include "membership/membership.hpp"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambeam
{

struct once_settings
{
    deduplication_window_limits keys;
    // A call waits this long for a partition without an owner, for instance
    // while the fleet starts. At most what the first call after a start may
    // take.
    duration owner_wait = std::chrono::seconds(2);
    // An agent that knows of no other daemon waits this long before it takes
    // partitions. Without it, all agents that start at once would believe to
    // be alone, and each would write all 16 partitions.
    duration alone_wait = std::chrono::milliseconds(500);
};

class once_controller
{
public:
    using live_test = std::function<bool(peer const&)>;

    // `cluster` and `store` outlive this. `listening` is the address that this
    // process has bound. Precondition: the identity is complete.
    once_controller(
        cluster_state& cluster, object_store& store, std::string_view listening,
        live_test is_live, once_settings settings = {});
    once_controller(once_controller const&) = delete;
    once_controller& operator=(once_controller const&) = delete;
    ~once_controller() = default;

    // Decides on a non-idempotent call; `decide` is called once, now or later.
    // Refusals: not_keyspace_owner with the owner, keyspace_unavailable, and
    // those of deduplication_window; none of them lets the call run.
    void reserve(work_request const& r, once_handler decide, clock_reading now);

    // Takes the end of a call that was told to run.
    void complete(work_request const& r, once_outcome const& outcome);

    // Follows the configuration and the live set, takes, renews and releases
    // partitions, and decides on calls that wait for an owner.
    void tick(clock_reading now);

    // Releases all partitions, for a planned stop. Call after the last
    // admitted call has ended.
    void begin_release();

    // Partitions that this process holds, of all services.
    std::size_t owned() const;

    // Keys that are remembered.
    std::size_t keys() const
    {
        return window_.size();
    }

private:
    struct waiting_call
    {
        key_request request;
        once_handler decide;
        std::int64_t until_ms = 0; // by the steady clock
    };
    struct keyspace
    {
        std::unique_ptr<keyspace_lease_manager> keeper;
        std::vector<std::string> live; // upstreams that serve the service
        bool is_leaving = false;
        bool was_store_up = false;
    };

    bool may_start(clock_reading now);
    std::vector<std::string> own_services() const;
    std::vector<std::string> live_upstreams(std::string_view service) const;
    peer_condition owner_condition(std::string_view upstream) const;
    void follow_services();
    // Returns false when the call has to wait for an owner.
    bool consider(
        key_request const& r, once_handler const& decide, bool may_wait,
        clock_reading now);
    bool redirect(
        keyspace& space, std::uint32_t partition, once_handler const& decide,
        bool may_wait, clock_reading now);
    void
    act(key_request const& r, key_admission const& a,
        once_handler const& decide);
    void create_reservation(
        key_request const& r, key_admission const& a,
        once_handler const& decide);
    void read_reservation(
        key_request const& r, key_admission const& a,
        once_handler const& decide);
    void
    refuse(once_handler const& decide, error why, std::string owner = {}) const;

    cluster_state& cluster_;
    object_store& store_;
    live_test is_live_;
    once_settings settings_;
    keyspace_candidate self_;
    deduplication_window window_;
    std::map<std::string, keyspace, std::less<>> keyspaces_;
    std::list<waiting_call> waiting_;
    std::int64_t configured_at_ms_ = -1; // by the steady clock
    std::int64_t next_follow_ms_ = INT64_MIN;
    std::uint64_t followed_ = 0; // generation
    bool is_releasing_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace marjorambeam
