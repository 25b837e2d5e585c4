// What gateways believe while the store comes back from an older copy.
//
// Example:
//   switch (check_era(state, era_of(reply), now))
//   {
//   case era_check::current: use(reply); break;
//   case era_check::outdated: ask_again(); break;
//   case era_check::begun: list_all_objects(); break;
//   }
//
// Such a store has lost what was written since the copy was made, and names
// another era in its responses. The operator and the upstreams write theirs
// again within a moment; so do the gateways, which also write a record of the
// era when the moment is over, for those that start later. Until then what is
// known stays in force, and nothing that the store lacks counts as removed.
// No I/O. Functions that take a gateway_state are not thread-safe.
#pragma once

#include "gateway/gateway_state.hpp"

#include <cstdint>
#include <string_view>

namespace marjorambeam
{

// What was lost is written again within this time after the store is back.
constexpr duration rewrite_grace = std::chrono::milliseconds(2000);
// Entries of upstreams that are gone expire within this time.
constexpr duration gone_entry_ttl = std::chrono::seconds(6);
// Upstreams that are gone, which an older copy may still list.
constexpr std::size_t max_gone_upstreams = 2048;

enum class era_check : std::uint8_t
{
    current,
    outdated, // the response was given in an earlier era
    begun     // it is the first of a later one
};

// Checks a response of the store by the era it names (0: none), and records a
// later one. Not thread-safe.
era_check check_era(gateway_state& s, std::uint64_t era, steady_time now);

// Takes the answer to whether the store holds a record of its era. A gateway
// that has just started and finds none waits. Not thread-safe.
void record_era_lookup(gateway_state& s, bool is_recorded, steady_time now);

// Whether this gateway, the first one by name, is to write the record of the
// era, as what was lost has been written again. Not thread-safe.
bool is_record_due(gateway_state const& s, steady_time now);

// Whether objects that the store lacks may be written again. Not thread-safe.
bool is_rewriting(gateway_state const& s, steady_time now);

// Records the version of the configuration that the store holds. Not
// thread-safe.
void record_listed_config(gateway_state& s, std::int64_t version);

// Takes a response of the store, complete as of `as_of`, as a confirmation of
// the configuration in force if it is one. It counts later if it is not known
// yet whether the store has come back from an older copy. Not thread-safe.
void record_confirmation(gateway_state& s, steady_time as_of, steady_time now);

// Whether a response of the store, complete as of `as_of`, shows that the
// configuration in force is the newest: not while the store may lack a newer
// one, holds an older one, or a live peer has a newer one. Not thread-safe.
bool is_confirmation(
    gateway_state const& s, steady_time as_of, steady_time now);

// Records that an upstream is gone, in an incarnation. Not thread-safe.
void record_gone_upstream(
    gateway_state& s, upstream_info const& u, steady_time now);

// Whether the entry of an upstream is one that a later entry has replaced, or
// of an incarnation that is gone: it comes from an older copy. Not thread-safe.
bool is_outdated_entry(
    gateway_state const& s, upstream_info const& u, steady_time now);

// Takes a rollout's order and status from the store. Once the store
// has come back from an older copy, progress towards the same target is kept,
// and is to be written again. Not thread-safe.
void take_order(
    gateway_state const& s, rollout_progress& t, version_rollout order);

} // namespace marjorambeam
