// Decides which peers a daemon notifies of configuration generations (gossip),
// from which it pulls them (anti-entropy), and when it reads the store.
//
// Example:
//   sync_view view{self, state.config->number, state.peers, is_watcher};
//   sync_step step = on_announcement(
//       sync, view, {d.instance, d.generation, age}, rules, now);
//   for (std::string const& it : step.notify)
//       send_digest_to(it);
//   if (!step.pull_from.empty())
//       start_pull(step.pull_from);
//
// Performs no I/O; random numbers come from the caller's generator. Functions
// are not thread-safe on the same state or generator.
#pragma once

#include "base/time.hpp"
#include "cluster/cluster_state.hpp"
#include "membership/membership.hpp"

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambeam
{

using random_source = std::mt19937_64;

struct sync_rules
{
    // Peers notified immediately of a new generation.
    std::size_t announce_fanout = 4;
    std::size_t digest_fanout = 2; // peers notified in each period
    duration digest_period = std::chrono::seconds(1);
    // Timeout of each response of the first pull; doubled after each
    // consecutive failure, up to `max_pull_timeout`. Shorter than the 1 s after
    // which TCP retransmits a lost first packet: with 1 s, 350 daemons with 5%
    // loss needed up to 3.0 s, the complete bound for taking a zone out of
    // service.
    duration pull_timeout = std::chrono::milliseconds(300);
    duration max_pull_timeout = std::chrono::seconds(2);
    duration retry_peer_after = std::chrono::seconds(5); // after a failed pull
    // Read the store after this time without contact with any peer.
    duration silence_limit = std::chrono::seconds(5);
    // Read the store after pulls have failed for this long. The interval
    // doubles after each read without progress, up to 32 times the first,
    // because the announced generation may not exist.
    duration behind_limit = std::chrono::seconds(2);
    duration isolation_limit = std::chrono::seconds(10);
    duration first_read_retry = std::chrono::seconds(1);
    // Peers that must respond before a daemon that starts without the store
    // accepts the largest generation among them as current.
    std::size_t peers_at_start = 3;
    // When no known daemon has reached the store for `probe_after`, all
    // watchers may have terminated while the list still contains them. Then
    // each daemon reads the store with a probability that results in
    // `probes_per_second` reads in the fleet, regardless of its size.
    duration probe_after = std::chrono::seconds(6);
    double probes_per_second = 3;
    membership_rules members;
};

struct sync_state
{
    steady_time started_at{};
    steady_time last_peer_contact{}; // last contact with any peer
    // Last response of the store to this daemon.
    steady_time last_store_contact{};
    steady_time last_fleet_store_contact{}; // the same for any known daemon
    steady_time next_digest{};
    steady_time last_store_read{}; // when it was last started
    bool has_config = false;
    bool did_store_fail = false;    // the last read failed
    std::uint64_t newest_known = 0; // largest generation announced
    // When `newest_known` first exceeded the generation in force; zero while it
    // does not.
    steady_time behind_since{};
    unsigned behind_reads = 0; // of the store, without progress
    // Generation in force at the first of these reads.
    std::uint64_t generation_at_first_read = 0;
    std::string pulling_from;             // empty when no pull is in flight
    std::uint64_t generation_at_pull = 0; // generation in force when it started
    unsigned consecutive_failures = 0;    // pulls
    std::map<std::string, steady_time, std::less<>> failed_pulls;
    std::map<std::string, steady_time, std::less<>> notified; // stale peers
    std::map<std::string, steady_time, std::less<>> responded_at_start;
};

// The inputs of the decisions besides `sync_state`.
struct sync_view
{
    std::string_view self;
    std::uint64_t current = 0; // generation in force
    document_map<peer> const& peers;
    bool is_watcher = false; // watches the store and need not read it
};

// Actions for the caller; each may be empty.
struct sync_step
{
    std::vector<std::string> notify; // send a digest to each
    std::string pull_from;           // the caller starts a pull
    bool read_store = false;         // the caller starts a read
};

// A generation that a peer announced in a digest or frame.
struct peer_announcement
{
    std::string_view from;
    std::uint64_t generation = 0;
    duration store_age{-1}; // negative when not included
};

// Returns the names of up to `count` different peers, at random, that are live
// or draining and whose address is known.
std::vector<std::string> choose_peers(
    sync_view const& view, std::size_t count, membership_rules const& rules,
    random_source& random, steady_time now);

// Handles a generation announced by a peer: pulls from the peer when it is
// ahead and notifies it when it is behind, at most once in each period. A peer
// whose address is not known yet is neither pulled from nor notified.
sync_step on_announcement(
    sync_state& s, sync_view const& view, peer_announcement const& announcement,
    sync_rules const& rules, steady_time now);

// Handles an advance of the generation in force to `view.current`.
sync_step on_generation_applied(
    sync_state& s, sync_view const& view, sync_rules const& rules,
    random_source& random, steady_time now);

// Handles the end of the pull in flight; `ok` means that the peer responded.
// Precondition: the response has been applied.
sync_step on_pull_done(
    sync_state& s, sync_view const& view, bool ok, sync_rules const& rules,
    random_source& random, steady_time now);

// Returns the timeout for each response of the pull in flight.
duration pull_timeout(sync_state const& s, sync_rules const& rules);

// Handles a completed read or a response of a watch (`ok`), or a failure of the
// store.
void on_store_done(sync_state& s, bool ok, steady_time now);

// Handles the passing of time. Call it at least once in each digest period.
sync_step on_tick(
    sync_state& s, sync_view const& view, sync_rules const& rules,
    random_source& random, steady_time now);

// Whether this daemon knows peers and has no contact with them or the store.
bool is_isolated(
    sync_state const& s, sync_view const& view, sync_rules const& rules,
    steady_time now);

// Returns the age of the fleet's last known contact with the store, for
// digests; negative for none.
duration store_age(sync_state const& s, steady_time now);

} // namespace marjorambeam
