// Counts how often requests with the same contents were at work when their
// upstream broke off.
//
// Example:
//   if (reaches_crash_limit(b, fingerprint, now)) refuse();
//   record_suspicion(b, {fingerprint, upstream, started_ms, now}); // broke off
//   confirm_crash(b, upstream, now);        // and it has gone, or restarted
//   record_complete_response(b, fingerprint);
//
// A request that crashes each upstream that runs it is found by its third
// crash; a whole answer clears it. A connection that breaks is no crash by
// itself: upstreams may reset connections without any request to blame. No
// I/O. Not thread-safe.
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

// Breaks after which a request is refused. With two, a request that was twice
// beside the one to blame would be refused as well.
constexpr std::size_t crash_limit = 3;
// A request that is not sent again is forgotten after this.
constexpr duration crash_record_ttl = std::chrono::minutes(10);
// A crash is noticed within this time, when the upstream can't be reached, is
// not listed any more, or has started anew.
constexpr duration crash_suspicion_ttl = std::chrono::seconds(6);
// Requests remembered; the oldest is forgotten when there are more.
constexpr std::size_t max_crash_records = 10'000;

struct crash_record
{
    std::set<std::string, std::less<>> breaks; // upstream and its start
    steady_time last{};
};

// An upstream's connection broke while it ran the request.
struct crash_suspicion
{
    std::uint64_t fingerprint = 0;
    std::string upstream;
    std::int64_t upstream_started_ms = 0; // tells its lifetimes apart
    steady_time at{};
};

// A crash that the other gateways are to be told.
struct confirmed_crash
{
    std::uint64_t fingerprint = 0;
    std::string upstream;
};

struct crash_attribution
{
    std::unordered_map<std::uint64_t, crash_record> by_fingerprint;
    std::vector<crash_suspicion> suspicions;
    std::vector<confirmed_crash> to_report; // taken by who reports
};

// Returns the number that identifies a request's contents.
std::uint64_t request_fingerprint(
    std::string_view target, std::string_view organisation,
    std::string_view body);

bool reaches_crash_limit(
    crash_attribution& b, std::uint64_t fingerprint, steady_time now);

// Notes that the upstream's connection broke while it ran the request. Drops
// suspicions that are too old.
void record_suspicion(crash_attribution& b, crash_suspicion const& s);

// The upstream has crashed: those suspected of late are to blame.
void confirm_crash(
    crash_attribution& b, std::string_view upstream, steady_time now);

// Notes that `upstream` crashed while it ran the request. Returns false when
// this break was known.
bool record_crash(
    crash_attribution& b, std::uint64_t fingerprint, std::string_view upstream,
    steady_time now);

// Notes a whole answer. Returns true when the request had been suspected.
bool record_complete_response(crash_attribution& b, std::uint64_t fingerprint);

} // namespace marjorambeam
