// Determines which daemons are live, from the platform's instance list, which
// lags, and from the digests that daemons send.
//
// Example:
//   merge_list(state.peers, *parse_instance_list(body), self, now);
//   merge_digest(state.peers, received_digest, self, now);
//   remove_expired(state.peers, rules, now);
//   if (condition_of(p, rules, now) == peer_condition::live)
//       send_work_to(p);
//
// Pure decisions; the peers are the caller's. All functions are thread-safe as
// long as no two threads use the same peers.
#pragma once

#include "base/time.hpp"
#include "cluster/cluster_state.hpp"
#include "error/error.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace marjorambeam
{

struct membership_rules
{
    // A daemon that the list does not name counts as live this long after its
    // last digest. Longer than the usual lag of the list, because a new daemon
    // sends digests before the list names it.
    duration unlisted_lifetime = std::chrono::seconds(30);
    // A daemon whose address refused a connection counts as gone this long
    // unless a message from it arrives; afterwards the list applies again.
    duration refused_lifetime = std::chrono::seconds(30);
    // Watchers of the store in each region. Three, so that the loss of an
    // instance or a rack leaves one.
    std::size_t watchers_per_region = 3;
};

enum class peer_condition
{
    live,
    leaving, // draining: finishes its work and accepts no new work
    gone
};

// One row of the instance list.
struct listed_peer
{
    std::string instance;
    process_role role = process_role::entry;
    std::string availability_zone;
    std::string upstream;
    std::string address;
    std::string admin;
    bool is_leaving = false;
};

// The result of merging a received digest.
enum class digest_outcome
{
    accepted,
    from_self,               // own datagram
    from_duplicate,          // another process uses this daemon's instance name
    from_earlier_incarnation // a delayed digest of the previous process
};

// Parses the platform's response. Rows that lack a name, role or address are
// left out. Error: bad_document.
result<std::vector<listed_peer>> parse_instance_list(std::string_view json);

// Adds the listed daemons and marks the others as not listed. A digest that is
// more recent than `rules.unlisted_lifetime` overrides the list's address,
// because the list lags. `self` is left out.
void merge_list(
    document_map<peer>& peers, std::vector<listed_peer> const& list,
    std::string_view self, membership_rules const& rules, steady_time now);

// Merges a digest that a daemon sent about itself. A delayed digest of an
// earlier process with the same instance name is ignored.
digest_outcome merge_digest(
    document_map<peer>& peers, digest const& digest_message,
    daemon_identity const& self, steady_time now);

// Records contact with `instance` and the generation that its frame carried;
// unknown instances are ignored.
void record_contact(
    document_map<peer>& peers, std::string_view instance,
    std::uint64_t generation, steady_time now);

// Records that `instance` refused a connection at its address.
void record_refused_connection(
    document_map<peer>& peers, std::string_view instance, steady_time now);

// A peer is gone when it is neither listed nor recently in contact, or when it
// recently refused a connection and has not sent anything since. It is leaving
// when the list or its own digest says so, and live otherwise.
peer_condition
condition_of(peer const& p, membership_rules const& rules, steady_time now);

// Removes peers that are gone and not listed. Returns how many.
std::size_t remove_expired(
    document_map<peer>& peers, membership_rules const& rules, steady_time now);

// Names of live peers, in order.
std::vector<std::string> live_peers(
    document_map<peer> const& peers, membership_rules const& rules,
    steady_time now);

// The region of a zone; a zone without a document is a region of its own.
std::string_view
region_of(document_map<availability_zone> const& zones, std::string_view zone);

// Daemons of this daemon's region that hold a watch on the store: the first
// by rendezvous hash over the live ones, this daemon included.
std::vector<std::string> choose_watchers(
    daemon_identity const& self, document_map<peer> const& peers,
    document_map<availability_zone> const& zones, membership_rules const& rules,
    steady_time now);

// Whether a daemon that knows of peers has received nothing for `limit`.
// `last_contact` is the last contact with the store or any peer, or the
// start of the process. A daemon without peers is never isolated.
bool is_isolated(
    bool knows_peers, steady_time last_contact, duration limit,
    steady_time now);

// Bytes per second that a daemon may read of the instance list. A list of
// 2,650 daemons has about 450 KB; read every 2 s it would take 225 KB/s of the
// 5 KB/s that a daemon may spend on control.
constexpr double list_bytes_per_second = 2000;

// Returns the time between two reads of the instance list: `period`, or longer
// when the list is long. New daemons also announce themselves by digests.
// Thread-safe.
duration instance_list_wait(duration period, std::size_t list_bytes);

} // namespace marjorambeam
