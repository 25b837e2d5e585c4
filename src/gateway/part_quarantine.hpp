// Parts of prompts that are not sent to upstreams, because they crash them.
//
// Example:
//   quarantine_changes c = apply_findings(q, judge_parts(...), now);
//   if (quarantine_entry const* it = find_quarantine(q, traits))
//       refuse(quarantine_retry_after(*it, unix_now));
//
// An entry is made from evidence (crash_evidence.hpp) and kept in the store, so
// that it outlives all gateways. It covers the requests of one organisation
// while only its requests have crashed upstreams: nobody can have the parts of
// others refused by crashing upstreams with requests of its own. An entry ends
// when another part explains its crashes, when an operator removes it from the
// store, or when a request that is let through on trial is answered. Trials are
// claimed by a conditional write, so that all gateways together make few.
//
// No I/O. Functions that take a part_quarantine are not thread-safe.
#pragma once

#include "base/time.hpp"
#include "gateway/crash_evidence.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambeam
{

// Which requests an entry covers.
struct quarantine_key
{
    std::uint64_t part = 0;
    std::uint64_t organisation = 0; // 0: all

    auto operator<=>(quarantine_key const&) const = default;
};

// An entry as the store keeps it.
struct stored_quarantine
{
    quarantine_key key;
    std::int64_t since_unix_ms = 0;
    std::uint32_t trials = 0;            // claimed so far
    std::int64_t next_trial_unix_ms = 0; // by the wall clock

    bool operator==(stored_quarantine const&) const = default;
};

struct quarantine_entry
{
    stored_quarantine document;
    part_finding finding; // zeros if the evidence was not seen here
    steady_time since{};  // known here
    bool is_stored = false;
    std::uint64_t revision = 0; // of the stored object
    std::string version;        // of the upstreams when it was first asked for
    // A request may be sent on trial until then.
    std::optional<steady_time> trial_until;
    steady_time next_write{}; // of the store
};

struct part_quarantine
{
    std::map<quarantine_key, quarantine_entry> entries;
    std::vector<std::uint64_t> suspected; // sorted, see part_findings
};

// Beyond this many entries the oldest one is dropped.
constexpr std::size_t max_quarantine_entries = 256;
// Requests that all gateways together let through for one entry in all.
constexpr std::uint32_t max_trials = 3;
// Time to the first trial; each further one takes ten times as long.
constexpr duration first_trial_after = std::chrono::minutes(10);
// A claimed trial waits this long for a request.
constexpr duration trial_ttl = std::chrono::minutes(1);
// Bounds of the time after which a refused caller may come back.
constexpr duration min_quarantine_retry = std::chrono::seconds(30);
constexpr duration max_quarantine_retry = std::chrono::minutes(10);

struct quarantine_changes
{
    std::vector<quarantine_key> added;
    std::vector<quarantine_entry> withdrawn;
    // Stored entries that are to be removed from the store.
    std::vector<quarantine_entry> cleared;
};

// Makes entries of guilty parts, and withdraws those against which nothing is
// left. Stored ones stay until they are gone from the store, so that all
// gateways agree. Not thread-safe.
quarantine_changes apply_findings(
    part_quarantine& q, part_findings const& found, steady_time now,
    std::int64_t unix_ms);

// Returns the entry that covers a request, or null. Not thread-safe.
quarantine_entry const*
find_quarantine(part_quarantine const& q, request_traits const& traits);

// Whether the request has a part that may crash upstreams. Not thread-safe.
bool has_suspected_part(part_quarantine const& q, request_traits const& traits);

// Takes an entry of the store, with the revision of its object. Returns whether
// it is new. Not thread-safe.
bool apply_stored(
    part_quarantine& q, stored_quarantine const& s, std::uint64_t revision,
    steady_time now);

// Removes an entry that is no longer in the store. Returns whether there was
// one. Not thread-safe.
bool remove_stored(part_quarantine& q, quarantine_key const& key);

// Whether a trial is due: its time has come, or the upstreams now run another
// version. `version` may be empty. Thread-safe.
bool is_trial_due(
    quarantine_entry const& it, std::int64_t unix_ms, std::string_view version);

// Returns the document that claims the next trial. Precondition: it is due.
// Thread-safe.
stored_quarantine claim_trial(quarantine_entry const& it, std::int64_t unix_ms);

// Uses the trial that this gateway has claimed, if there is one. Not
// thread-safe.
bool take_trial(part_quarantine& q, quarantine_key const& key, steady_time now);

// Returns when a refused caller may come back. Thread-safe.
duration
quarantine_retry_after(quarantine_entry const& it, std::int64_t unix_ms);

// Name of the entry's object in the store. Thread-safe.
std::string name_of(quarantine_key const& key);

} // namespace marjorambeam
