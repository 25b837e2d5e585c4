// Counts how often requests with the same contents were at work when their
// upstream broke off.
//
// Example:
//   if (is_blamed(b, fingerprint, now)) refuse();
//   note_break(b, fingerprint, upstream, now); // and tell the other gateways
//   note_whole(b, fingerprint);
//
// A request that crashes each upstream that runs it is found by its third
// break; a whole answer clears it. No I/O. Not thread-safe.
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
constexpr std::size_t blamed_breaks = 3;
// A request that is not sent again is forgotten after this.
constexpr duration blame_memory = std::chrono::minutes(10);
// Requests remembered; the oldest is forgotten when there are more.
constexpr std::size_t blame_capacity = 10'000;

struct break_record
{
    std::set<std::string, std::less<>> breaks; // upstream and its start
    steady_time last{};
};

struct crash_blame
{
    std::unordered_map<std::uint64_t, break_record> by_fingerprint;
};

// Returns the number that identifies a request's contents.
std::uint64_t request_fingerprint(
    std::string_view target, std::string_view organisation,
    std::string_view body);

bool is_blamed(crash_blame& b, std::uint64_t fingerprint, steady_time now);

// Notes that `upstream` broke off while it ran the request. Returns false when
// this break was known.
bool note_break(
    crash_blame& b, std::uint64_t fingerprint, std::string_view upstream,
    steady_time now);

// Notes a whole answer. Returns true when the request had been suspected.
bool note_whole(crash_blame& b, std::uint64_t fingerprint);

} // namespace marjorambeam
