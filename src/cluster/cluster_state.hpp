// The part of a daemon's blackboard that entries and agents share: the
// configuration in force, the other daemons and this daemon's own condition.
//
// Example:
//   cluster_state state;
//   config_snapshot const& config = *state.config;
//   if (!state.is_ready)
//       refuse(error_kind::not_ready);
//
// Controllers read and write it on the loop's thread; not thread-safe.
#pragma once

#include "base/id.hpp"
#include "base/time.hpp"
#include "config/generation.hpp"
#include "metrics/metrics.hpp"
#include "wire/message.hpp"

#include <memory>
#include <string>

namespace marjorambeam
{

// Another daemon, as far as this one knows.
struct peer
{
    std::string instance;
    process_role role = process_role::entry;
    std::string availability_zone;
    std::string upstream;     // of an agent
    std::string address;      // TCP and UDP
    std::string admin;        // HTTP URL, may be empty
    incarnation sender = 0;   // 0 until heard from
    incarnation previous = 0; // the process before it, 0 for none
    std::uint64_t generation = 0;
    steady_time last_heard{}; // by datagram, frame or answer
    bool is_listed = false;   // by the instance list
    bool is_leaving = false;  // by the instance list or its own word
    bool is_listed_leaving = false;
    bool has_said_leaving = false;
    steady_time last_refused{}; // its address refused a connection
};

// Who this daemon is, from its settings.
struct daemon_identity
{
    std::string instance;
    process_role role = process_role::entry;
    std::string availability_zone;
    std::string upstream; // of an agent
    std::string address;  // TCP and UDP, as others reach it
    incarnation self = 0;
};

struct cluster_state
{
    daemon_identity identity;
    std::shared_ptr<config_snapshot const> config =
        std::make_shared<config_snapshot>();
    document_map<peer> peers; // by instance, without this daemon
    metrics counters;
    steady_time store_seen{}; // last answer from the object API
    steady_time peer_seen{};  // last word from any other daemon
    bool has_config = false;  // learnt from the store or a peer
    // The instance list was read, or there is none to read. Before that an
    // entry would take itself for the only one.
    bool knows_peers = true;
    bool is_isolated = false; // knows of peers, hears neither them nor store
    bool is_shutting_down = false;

    // Whether new work is admitted.
    bool is_ready() const
    {
        return has_config && knows_peers && !is_isolated && !is_shutting_down;
    }
};

} // namespace marjorambeam
