// Attributes upstream crashes to the requests that were running on them.
//
// Example:
//   if (reaches_crash_limit(b, fingerprint, now)) refuse();
//   // The connection broke:
//   record_suspicion(b, {fingerprint, upstream, started_ms, now});
//   // The upstream is unreachable or has restarted:
//   confirm_crash(b, upstream, now);
//   // The response was complete:
//   record_complete_response(b, fingerprint);
//
// A request that crashes every upstream it runs on is identified at its third
// crash; a complete response clears its record. A broken connection alone is
// not a crash, since upstreams may reset connections for reasons unrelated to
// any request. No I/O. Functions that take a crash_attribution are not
// thread-safe.
#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace marjorambeam
{

// Crashes after which a request is refused. A limit of two would also refuse a
// request that twice ran next to the one that caused the crash.
constexpr std::size_t crash_limit = 3;
// A record expires after this time without another crash.
constexpr duration crash_record_ttl = std::chrono::minutes(10);
// A crash is detected within this time: the upstream is unreachable, no longer
// listed, or has restarted.
constexpr duration crash_suspicion_ttl = std::chrono::seconds(6);
// Maximum number of records; the oldest is evicted beyond it.
constexpr std::size_t max_crash_records = 10'000;

struct crash_record
{
    std::set<std::string, std::less<>> crashes; // upstream and its start time
    steady_time last{};
};

// An upstream's connection broke while it ran the request.
struct crash_suspicion
{
    std::uint64_t fingerprint = 0;
    std::string upstream;
    std::int64_t upstream_started_ms = 0; // identifies the incarnation
    steady_time at{};
    std::string request_id;
    std::vector<std::string> parts; // shared parts of its prompt, in order
    std::uint64_t events = 0;       // received before the connection broke
};

// A crash to report to the other gateways.
struct confirmed_crash
{
    std::uint64_t fingerprint = 0;
    std::string upstream; // its id and start time
    std::string request_id;
    std::vector<std::string> parts;
    std::uint64_t events = 0;
};

struct crash_attribution
{
    std::unordered_map<std::uint64_t, crash_record> by_fingerprint;
    std::vector<crash_suspicion> suspicions;
    std::vector<confirmed_crash> to_report; // drained by the sender of reports
};

// Returns a hash that identifies a request's contents. Thread-safe.
std::uint64_t request_fingerprint(
    std::string_view target, std::string_view organisation,
    std::string_view body);

// Returns whether the request has caused `crash_limit` crashes and must be
// refused. Removes its record if it has expired. Not thread-safe.
bool reaches_crash_limit(
    crash_attribution& b, std::uint64_t fingerprint, steady_time now);

// Records that the upstream's connection broke while it ran the request.
// Removes expired suspicions. Not thread-safe.
void record_suspicion(crash_attribution& b, crash_suspicion const& s);

// Attributes a crash of the upstream to the requests recently suspected there,
// and adds each new attribution to `to_report`. Not thread-safe.
void confirm_crash(
    crash_attribution& b, std::string_view upstream, steady_time now);

// Records that `upstream` crashed while it ran the request. Returns false if
// this crash was already recorded. Precondition: `upstream` identifies one
// incarnation, as in confirmed_crash. Not thread-safe.
bool record_crash(
    crash_attribution& b, std::uint64_t fingerprint, std::string_view upstream,
    steady_time now);

// Clears the record of a request with a complete response. Returns whether
// there was one. Not thread-safe.
bool record_complete_response(crash_attribution& b, std::uint64_t fingerprint);

} // namespace marjorambeam
