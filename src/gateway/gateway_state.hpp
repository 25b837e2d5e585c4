// The state of a gateway, which its controllers share.
//
// Example:
//   gateway_state s{.settings = settings};
//   store_controller store(loop, s, ...);   // writes config, upstreams
//   peer_controller peers(loop, s, ...);    // writes the loads of peers
//   request_controller requests(loop, s, ...);
//
// Plain data; one per event loop. Neither the state nor the functions below are
// thread-safe.
#pragma once

#include "base/id.hpp"
#include "base/time.hpp"
#include "gateway/completion_estimate.hpp"
#include "gateway/crash_evidence.hpp"
#include "gateway/gateway_config.hpp"
#include "gateway/load_admission.hpp"
#include "gateway/part_quarantine.hpp"
#include "gateway/peer_clock.hpp"
#include "gateway/prediction_error.hpp"
#include "gateway/rate_window.hpp"
#include "gateway/return_schedule.hpp"
#include "gateway/room_cache.hpp"
#include "gateway/session_pins.hpp"
#include "gateway/shared_limits.hpp"
#include "gateway/start_interval.hpp"
#include "gateway/state_relay.hpp"
#include "gateway/upstream_table.hpp"
#include "gateway/version_rollout.hpp"
#include "gateway/waiting_order.hpp"
#include "metrics/metrics.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace marjorambeam
{

// Whether services are under overload control, see overload_control.hpp.
enum class overload_control_mode : std::uint8_t
{
    automatic, // those whose deployment or upstreams call for it
    on,
    off
};

// Settings of one gateway, from its deployment.
struct gateway_settings
{
    std::string instance;
    std::string zone;
    std::string client_address;    // callers connect here
    std::string readiness_address; // readiness probes of the load balancer
    std::string peer_address;      // datagrams of other gateways
    std::string store_address;     // IP address and port of the object store
    std::string metrics_address;   // empty: none
    std::size_t max_connections = 3000;
    // That the process may use; a part of it bounds what requests and responses
    // hold.
    std::size_t memory_bytes = std::size_t{260} << 20U;
    duration drain_time = std::chrono::seconds(8);
    // A revoked key must not be served for longer than this.
    std::optional<duration> key_bound;
    retry_budget_limits retry_budget;
    double cold_factor = 1;
    double cold_tolerance = 0;
    overload_control_mode overload_control = overload_control_mode::automatic;
    bool wants_overload_control = false; // the deployment asks for it

    bool operator==(gateway_settings const&) const = default;
};

// The status of a rollout that the store holds.
struct stored_rollout_status
{
    version_rollout_state state = version_rollout_state::ordered;
    std::string target;
    bool takes_all = false;
};

// A rollout of a service, with the evidence for and against its target.
struct rollout_progress
{
    version_rollout order; // in force
    stored_rollout_status stored;
    steady_time first_seen{};              // by any gateway that reported it
    std::optional<steady_time> full_since; // the target has all requests
    bool is_known_bad = false;
    canary_counts canary;
    version_evidence own;
    std::map<std::string, version_evidence, std::less<>> peers;
};

// A peer's copy of one kind of objects, as it reports it.
struct peer_copy
{
    std::uint64_t digest = 0;
    store_position position;         // as of which it is complete
    store_position asked_position;   // when a fetch was last sent
    store_position fetched_position; // when the last answered one was sent
};

// Another gateway.
struct gateway_peer
{
    std::string address;
    steady_time last_received_at{};
    incarnation incarnation_id = 0;
    incarnation previous_incarnation_id = 0; // the one before
    std::uint64_t sequence = 0;              // of its latest report
    steady_time sequence_received_at{};      // when that report was read
    peer_clock clock;                        // of the process that sent it
    bool is_reader = false;                  // reads the store for others
    bool has_store = true;                   // can reach the store
    bool is_stopping = false;
    std::int64_t config_version = 0;      // that it last reported
    steady_time last_store_response_at{}; // last response of the store to it
    std::array<peer_copy, state_kind_count> copies{};
    std::map<std::uint32_t, peer_load> loads; // by upstream_state::number
    // Process and number of its latest crash report.
    incarnation crash_incarnation_id = 0;
    std::uint64_t crash_sequence = 0;
    // Process that was told which requests are refused, see
    // due_refusal_reports().
    incarnation told_incarnation_id = 0;
    int refusal_sends_left = 0;
    steady_time next_refusal_send{};
};

// The gateways among which limits are shared, see refresh_limit_shares().
struct limit_view_state
{
    std::uint64_t digest = 0;
    steady_time changed_at{};
    steady_time refreshed_at{};
    std::size_t live = 0;
    std::size_t possible = 0;
};

// An upstream that is gone, in an incarnation.
struct gone_upstream
{
    std::int64_t started_unix_ms = 0;
    steady_time at{};
};

// The era of the store, see store_era.hpp.
struct store_era_state
{
    std::uint64_t number = 0; // that its responses name; 0: none yet
    // When this gateway heard that the store came back from an older copy.
    std::optional<steady_time> begun;
    std::int64_t config_version = 0;        // in force at that moment; 0: none
    std::int64_t listed_config_version = 0; // in the store since
    bool is_settled = true; // what was not written again has been removed
    // A gateway that starts in an era of which the store holds no record does
    // not serve until then, because the store may lack the newest.
    std::optional<steady_time> waits_until;
    // The record of this era: not known yet, to be written, or there.
    std::optional<bool> is_recorded;
    // The latest confirmation of the configuration while that is not known.
    std::optional<steady_time> unverified;
    std::map<std::string, gone_upstream, std::less<>> gone; // by id
};

// A crash that is still to be reported to the other gateways.
struct outgoing_crash
{
    upstream_crash crash;
    int sends_left = 0;
    steady_time next{};
};

// Services that call for overload control, see overload_control.hpp.
struct overload_control_state
{
    // Whose upstreams reported the pace of their machines.
    std::set<std::string, std::less<>> paced_services;
    std::set<std::string, std::less<>> logged_services;
};

// Why a copy has to be read from the store, see copy_fetch.hpp.
enum class lag_reason : std::uint8_t
{
    none,
    differs,     // from a reader's newer copy
    earlier_era, // than a reader's copy
    paused       // relayed changes may be lost, because the process did not run
};

struct copy_lag
{
    lag_reason reason = lag_reason::none;
    std::string peer; // whose copy is newer
    std::optional<steady_time> since;
    int failures = 0; // fetches that failed since
};

// This gateway's copy of one kind of objects, compared with the readers'.
struct local_copy
{
    bool is_listed = false;
    std::uint64_t digest = 0;
    store_position position; // as of which it is complete
    std::optional<steady_time> differs_since;
    std::optional<steady_time> missed_relays_at; // end of a process pause
    copy_lag lag;
    std::optional<steady_time> fetch_sent_at; // not answered yet
    steady_time next_fetch{};                 // earliest time
};

struct gateway_state
{
    gateway_settings settings;
    incarnation self = 0;
    std::shared_ptr<gateway_config const> config; // null until the first one
    bool has_upstreams = false;                   // the list has been read
    upstream_table upstreams;
    limit_view_state limit_view;
    std::map<std::string, rollout_progress, std::less<>> rollouts; // by service
    std::map<std::string, std::string, std::less<>> default_versions;
    std::map<std::string, gateway_peer, std::less<>> peers;
    std::vector<std::string> gateways; // registered names, this one included
    bool is_reader = true; // reads the store itself, see reader_election.hpp
    steady_time reading_since{}; // when it last became a reader
    std::optional<steady_time> last_reader_report_at; // last report of a reader
    std::optional<steady_time> elected_since;         // without interruption
    std::array<local_copy, state_kind_count> kinds{};
    sent_messages reports;
    bool is_report_due = false; // a report is to be sent immediately
    // The configuration was confirmed by the store as of this time.
    std::optional<steady_time> config_confirmed;
    // Since when a peer has had a newer configuration.
    std::optional<steady_time> config_behind_since;
    std::optional<steady_time>
        last_store_response_at; // last response of the store
    // When this gateway or a peer saw that the store had dropped its history.
    std::optional<steady_time> history_dropped;
    store_era_state era;
    bool is_store_lost = false;
    steady_time outage_started_at{}; // start of the last store outage
    steady_time outage_ended_at{};   // its end
    // Another gateway could reach the store during the last outage seen here,
    // so that changes meanwhile were not caused by an outage of the store.
    bool has_peer_store_access = false;
    // Until when a reader was uncertain about missing entries.
    steady_time uncertain_until{};
    std::map<std::string, retry_budget_usage, std::less<>>
        attempts; // by service
    // Callers refused because all upstreams were at their request limits.
    rate_window limited_refusals{std::chrono::seconds(1)};
    timing_baselines timings; // of versions that are not on trial
    crash_evidence crashes;
    part_quarantine quarantine;
    std::vector<outgoing_crash> outgoing_crashes;
    steady_time next_survivals{}; // reported, unless they are urgent
    steady_time next_judgement{}; // of parts, without new evidence
    std::uint64_t crash_reports_sent = 0;
    session_pins sessions;
    overload_control_state overload;
    completion_estimates completions;
    service_times service_times_by_name;
    room_cache rooms;          // of plain services under overload control
    start_intervals intervals; // of the same
    std::map<std::string, prediction_error, std::less<>> start_errors;
    service_shares shares; // of organisations
    return_schedule returns;
    admission_counts admissions;
    // Completed requests of engine services under overload control.
    std::map<std::string, rate_window, std::less<>> engine_completions;
    // Prompts sent to the engines of services under overload control.
    std::map<std::string, prompt_mix, std::less<>> prompt_mixes;
    std::optional<steady_time> drain_started;
    steady_time started{};
    metrics counters;
};

// A peer that reported this recently is alive and can be elected; longer in a
// fleet whose gateways report less often, see live_window().
constexpr duration live_peer_window = std::chrono::milliseconds(1500);

// Records that the active configuration was the newest one at `as_of`. An
// earlier time than the recorded one has no effect. Not thread-safe.
void confirm_config(gateway_state& s, steady_time as_of);

// Returns whether keyed requests may be served: the store confirmed the keys
// recently enough, to this gateway or to another one. Not thread-safe.
bool are_keys_fresh(gateway_state const& s, steady_time now);

// Returns how long the store has been available to this gateway without an
// outage; nothing during one. Not thread-safe.
std::optional<duration>
store_available_for(gateway_state const& s, steady_time now);

// What another gateway reports about its access to the store.
struct peer_store_status
{
    steady_time available_since{};  // without an outage that it noticed, or
                                    // earlier
    steady_time last_response_at{}; // of the store to it, or later
};

// Records what another gateway reports about its access to the store. Not
// thread-safe.
void record_peer_store(gateway_state& s, peer_store_status const& p);

// Records that a watch of this gateway or of a peer found its history dropped
// at `at`. One drop that several watches see counts once. Not thread-safe.
void record_history_dropped(gateway_state& s, steady_time at);

// Returns how long a watch of the configuration waits. Its responses confirm
// the configuration for all gateways, which learn of it from reports. Not
// thread-safe.
duration config_wait(gateway_state const& s);

// Part of the key bound that is used. The rest is for the way of a request from
// this check to its upstream.
constexpr double key_bound_safety_factor = 0.9;

// Returns whether entries missing from a list may have expired because the
// store was unavailable, and may soon return. Not thread-safe.
bool is_list_uncertain(gateway_state const& s, steady_time now);

// Returns for how much longer the list is uncertain; zero if it is not. Not
// thread-safe.
duration list_uncertainty_left(gateway_state const& s, steady_time now);

// Upstreams whose entries expired while the store was unavailable register
// again within two seconds of its return.
constexpr duration reregistration_grace = std::chrono::milliseconds(2000);

// Returns whether this gateway has just started and the store may lack objects
// that were lost when it came back from an older copy. Not thread-safe.
bool waits_for_lost_objects(gateway_state const& s, steady_time now);

// Returns whether this gateway has just started and still lacks its first
// reads. Not thread-safe.
bool is_starting(gateway_state const& s, steady_time now);

// Returns whether the load balancer may send new connections here. Not
// thread-safe.
bool is_ready(gateway_state const& s, steady_time now);

// Returns how many requests this gateway may send to a cold upstream per
// second. Not thread-safe.
std::size_t cold_share_of(gateway_state const& s, upstream_state const& u);

// Returns the evidence of a rollout pooled over all gateways. Not thread-safe.
version_evidence pooled_evidence(rollout_progress const& t);

// Returns the time since any gateway first saw the order of a rollout. Not
// thread-safe.
duration elapsed_of(rollout_progress const& t, steady_time now);

// Returns the versions of `service` that a request may run on. `session` is
// empty if it has none; `hash` is uniform. The views in the result are valid
// until the rollouts or default versions of `s` change. Not thread-safe.
version_rule version_rule_of(
    gateway_state const& s, std::string_view service,
    std::string const& session, std::uint64_t hash, steady_time now);

} // namespace marjorambeam
