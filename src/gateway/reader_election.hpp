// Elects the gateways that read the platform's store for the whole fleet.
//
// Example:
//   if (is_elected_reader(state, now)) watch_the_store();
//   for (std::string const& address : relay_targets(state, now))
//       send(address, change);
//
// Every call to the store is priced and its rate limits grow more slowly than
// the fleet, so that a few readers keep watches and relay changes. Every
// gateway ranks the gateways that it receives reports from in the same way.
// Gateways with different views elect additional readers, and one that receives
// no reports reads the store itself. No I/O. Not thread-safe.
#pragma once

#include "gateway/gateway_state.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace marjorambeam
{

// Number of gateways that read the store. Several tolerate one that is frozen
// or partitioned.
constexpr std::size_t store_readers = 4;
// Readers that relay changes to the same gateway, so that a lost datagram costs
// no call to the store.
constexpr std::size_t relays_per_gateway = 2;

// Returns the time between the reports of a gateway. It grows with the fleet,
// so that the cost to each receiver stays constant; readers report at least as
// often as their confirmations of the configuration require. Thread-safe.
duration report_period(std::size_t peers, bool is_reader);

// Returns within what time a peer must have reported to count as alive.
// Thread-safe.
duration live_window(std::size_t peers, bool is_reader);

// Returns whether `p` has reported within the live window. Not thread-safe.
bool is_live(gateway_state const& s, gateway_peer const& p, steady_time now);

// Returns whether `p` is alive, reads the store and has had a recent response
// from it. Not thread-safe.
bool is_live_reader(
    gateway_state const& s, gateway_peer const& p, steady_time now);

// Returns whether this gateway is elected as a reader by its rank. Not
// thread-safe.
bool is_elected_reader(gateway_state const& s, steady_time now);

// Decides whether this gateway reads the store: it is elected, or no reader has
// reported recently. Updates `s.is_reader`, `s.reading_since`,
// `s.elected_since` and `s.last_reader_report_at`. Not thread-safe.
void update_role(gateway_state& s, steady_time now);

// Returns whether the store has responded to this gateway since it last became
// a reader, and is not lost. Not thread-safe.
bool has_store_responded(gateway_state const& s);

// Returns whether this gateway's watches follow the store: it is a reader, and
// the store has responded since. Until then it needs the changes that other
// readers relay. Not thread-safe.
bool is_reading(gateway_state const& s);

// Returns whether to fetch the configuration now: it is this reader's turn to
// renew the confirmation, no confirmation is fresh, or a peer has had a newer
// configuration for longer than a watch takes. A stale confirmation causes no
// fetch while the store is known to be unavailable. Not thread-safe.
bool must_fetch_config(gateway_state const& s, steady_time now);

// Returns whether this gateway is one of those that probe often for the store's
// return while no gateway can reach it. Not thread-safe.
bool is_prober(gateway_state const& s, steady_time now);

// Returns the time between two probes of a store that this gateway takes for
// lost while it is no reader. Short enough that the gateway reads the store
// again within the time after which it counts as in contact; longer for most
// gateways while the store is lost to several. Not thread-safe.
duration store_probe_interval(gateway_state const& s, steady_time now);

// Returns the addresses of the peers to which this gateway relays changes.
// Precondition: it is a reader. Not thread-safe.
std::vector<std::string> relay_targets(gateway_state const& s, steady_time now);

} // namespace marjorambeam
