// The blackboard of the gateway: what its controllers read and write.
//
// Example:
//   gateway_state s{.settings = settings};
//   store_controller store(loop, s, ...);   // writes config, upstreams
//   peer_controller peers(loop, s, ...);    // writes the loads of others
//   request_controller requests(loop, s, ...);
//
// Plain data. Not thread-safe; one per event loop.
#pragma once

#include "base/id.hpp"
#include "base/time.hpp"
#include "gateway/crash_attribution.hpp"
#include "gateway/gateway_config.hpp"
#include "gateway/session_pins.hpp"
#include "gateway/shared_limits.hpp"
#include "gateway/state_relay.hpp"
#include "gateway/upstream_table.hpp"
#include "gateway/version_rollout.hpp"
#include "metrics/metrics.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace marjorambeam
{

// What the deployment sets for one gateway.
struct gateway_settings
{
    std::string instance;
    std::string zone;
    std::string client_address;    // callers connect here
    std::string readiness_address; // the load balancer asks here
    std::string peer_address;      // datagrams of other gateways
    std::string store_address;     // IP address and port of the object store
    std::string metrics_address;   // empty: none
    std::size_t max_connections = 3000;
    duration drain_time = std::chrono::seconds(8);
    // A key that was taken away must not be served for longer than this.
    std::optional<duration> key_bound;
    retry_budget_limits retry_budget_usage;
    double cold_factor = 1;
    double cold_tolerance = 0;

    bool operator==(gateway_settings const&) const = default;
};

// A roll-out of a service with what is known of it.
struct rollout_progress
{
    version_rollout order;
    steady_time first_seen{}; // by any gateway, as far as is known
    bool is_known_bad = false;
    canary_counts trial;
    version_evidence own;
    std::map<std::string, version_evidence, std::less<>> peers;
};

// A reader's copy of one kind of objects, as it tells of it.
struct peer_copy
{
    std::uint64_t digest = 0;
    std::uint64_t revision = 0; // of the store, as of which it is whole
    std::uint64_t settled = 0;  // see record_fetch()
};

// Another gateway.
struct gateway_peer
{
    std::string address;
    steady_time heard_at{};
    incarnation lifetime = 0;
    incarnation last_lifetime = 0; // the one before
    std::uint64_t sequence = 0;    // of its latest report
    bool is_reader = false;        // reads the store for others
    bool has_store = true;         // has not lost it
    bool is_stopping = false;
    steady_time store_heard{}; // when the store last answered it
    std::array<peer_copy, state_kind_count> copies{};
    std::map<std::uint32_t, peer_load> loads; // by upstream_state::number
};

// This gateway's copy of one kind of objects, compared with the readers'.
struct local_copy
{
    bool is_listed = false;
    std::uint64_t digest = 0;
    std::uint64_t revision = 0; // of the store, as of which it is whole
    std::optional<steady_time> differs_since;
};

struct gateway_state
{
    gateway_settings settings;
    incarnation self = 0;
    std::shared_ptr<gateway_config const> config; // null before the first
    bool has_upstreams = false;                   // the list was read
    upstream_table upstreams;
    std::map<std::string, rollout_progress, std::less<>> shifts; // by service
    std::map<std::string, std::string, std::less<>> default_versions;
    std::map<std::string, gateway_peer, std::less<>> peers;
    std::vector<std::string> gateways; // registered names, this one included
    bool is_reader = true; // reads the store by itself, see reader_election.hpp
    std::optional<steady_time> reader_heard; // a reader was last heard
    std::optional<steady_time> chosen_since;
    std::array<local_copy, state_kind_count> kinds{};
    std::uint64_t reports_sent = 0;
    bool is_report_due = false; // others are to hear something at once
    // The store vouches for the configuration as of this time.
    std::optional<steady_time> config_confirmed;
    // A peer has had a newer configuration since then.
    std::optional<steady_time> config_behind;
    std::optional<steady_time> store_heard; // last answer of the store
    // The store was seen, here or by a peer, to have dropped its history.
    std::optional<steady_time> history_dropped;
    bool is_store_lost = false;
    steady_time store_lost{}; // begin of the last loss of the store
    steady_time store_back{}; // its end
    // Another gateway kept the store during the last loss, so that what
    // changed meanwhile was not the work of an outage.
    bool has_peer_store_access = false;
    // A reader was unsure of missing entries until then.
    steady_time uncertain_until{};
    std::map<std::string, retry_budget_usage, std::less<>>
        attempts; // by service
    crash_attribution blame;
    session_pins sessions;
    std::optional<steady_time> drain_started;
    steady_time started{};
    metrics counters;
};

// A peer that was heard this recently is alive and can hold a duty; longer
// in a fleet whose gateways report seldom, see live_window().
constexpr duration live_peer_window = std::chrono::milliseconds(1500);

// Notes that the configuration in force was the newest one at `as_of`.
void confirm_config(gateway_state& s, steady_time as_of);

// Whether keyed requests may be served: the store has vouched for the keys
// recently enough, to this gateway or to another one.
bool are_keys_fresh(gateway_state const& s, steady_time now);

// How long this gateway has had the store without a loss; nothing while it
// is lost.
std::optional<duration>
store_available_for(gateway_state const& s, steady_time now);

// What another gateway tells of its store.
struct peer_store_status
{
    duration kept{0};  // time without a loss that it noticed
    duration heard{0}; // time since the last answer
};

// Notes what another gateway tells of its store.
void record_peer_store(
    gateway_state& s, peer_store_status const& p, steady_time now);

// Notes that a watch of this gateway or of a peer found its history gone at
// `at`. What several watches see of one drop counts once.
void record_history_dropped(gateway_state& s, steady_time at);

// How long a watch of the configuration waits. Its answers vouch for the
// configuration of all gateways, which hear of it in reports.
duration config_wait(gateway_state const& s);

// Part of the key bound that is used. The rest covers the time that another
// gateway's word takes.
constexpr double key_bound_safety_factor = 0.9;

// Whether entries that are missing from a list may have lapsed because the
// store was away, and be back in a moment.
bool is_list_uncertain(gateway_state const& s, steady_time now);

// For how much longer that may be so; zero when it is not.
duration list_uncertainty_left(gateway_state const& s, steady_time now);

// Upstreams whose entries lapsed while the store was away register again
// within two seconds of its return.
constexpr duration reregistration_grace = std::chrono::milliseconds(2000);

// Whether this gateway has just started and has yet to read what it needs.
bool is_starting(gateway_state const& s, steady_time now);

// Whether the load balancer may send new connections here.
bool is_ready(gateway_state const& s, steady_time now);

// How many requests this gateway may send to a cold upstream per second.
std::size_t cold_share_of(gateway_state const& s, upstream_state const& u);

// Evidence of a roll-out over all gateways.
version_evidence pooled_evidence(rollout_progress const& t);

// Time since the order of a roll-out was first seen by any gateway.
duration elapsed_of(rollout_progress const& t, steady_time now);

// Which versions of `service` a request may run on. `session` is empty when it
// has none; `hash` is uniform.
version_rule version_rule_of(
    gateway_state const& s, std::string_view service,
    std::string const& session, std::uint64_t hash, steady_time now);

} // namespace marjorambeam
