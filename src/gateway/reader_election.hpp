// Which gateways ask the platform's store, and which hear of it from them.
//
// Example:
//   if (is_elected_reader(state, now)) watch_the_store();
//   for (std::string const& address : relay_targets(state, now))
//       send(address, change);
//
// Every call to the store is priced and its rates grow more slowly than the
// fleet, so that a few readers keep watches and pass changes on. Everybody
// chooses the readers by the same rank among the gateways that it hears; two
// that hear different ones have a reader more, never one less than themselves.
// No I/O. Not thread-safe.
#pragma once

#include "gateway/gateway_state.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace marjorambeam
{

// Gateways that read the store. With several, one that is frozen or cut off is
// not missed.
constexpr std::size_t store_readers = 4;
// Readers that pass changes on to the same gateway, so that a lost datagram
// costs no call.
constexpr std::size_t relays_per_gateway = 2;

// Time between the reports of a gateway. Its cost to each that hears them stays
// the same when there are more of them; readers vouch for the store and report
// at least as often as that needs. Thread-safe.
duration report_period(std::size_t peers, bool is_reader);

// A peer that was heard within this time is alive. Thread-safe.
duration live_window(std::size_t peers, bool is_reader);

// Whether `p` is alive.
bool is_live(gateway_state const& s, gateway_peer const& p, steady_time now);

// Whether `p` reads the store and was answered lately.
bool is_live_reader(
    gateway_state const& s, gateway_peer const& p, steady_time now);

// Whether this gateway is one of the readers by its rank.
bool is_elected_reader(gateway_state const& s, steady_time now);

// Decides whether this gateway reads the store: it is chosen, or no reader has
// been heard for a moment. Updates `s.is_reader` and `s.reader_heard`.
void update_role(gateway_state& s, steady_time now);

// Whether the configuration is to be asked for at once: this reader is the one
// that renews the word on it, nobody's word is fresh, or a peer has had a newer
// one for longer than a watch needs. Nobody asks for want of a word while the
// store is known to be away.
bool must_fetch_config(gateway_state const& s, steady_time now);

// Whether this gateway is one of those that ask often for the store's return
// while nobody has it.
bool is_prober(gateway_state const& s, steady_time now);

// Addresses of the peers to which this gateway passes changes on.
// Precondition: it is a reader.
std::vector<std::string> relay_targets(gateway_state const& s, steady_time now);

// Whether the copy of `kind` has differed from a reader's for longer than a
// relayed change needs; notes the begin of the difference.
bool is_behind(gateway_state& s, state_kind kind, steady_time now);

// Notes that the store was asked for `kind`: what differs from a reader still
// is that reader's delay.
void record_fetch(gateway_state& s, state_kind kind);

} // namespace marjorambeam
