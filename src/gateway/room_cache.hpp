// Keeps the room at the upstreams of each plain service for a short time, so
// that the requests of one turn of the loop share one pass over them.
//
// Example:
//   room_cache rooms;
//   room_estimate const& e =
//       cached_room(rooms, upstreams, "orders", times["orders"], now);
//   record_free_slot(rooms, "orders"); // an upstream reported one
//
// Plain data and free functions without I/O. Not thread-safe.
#pragma once

#include "base/time.hpp"
#include "gateway/service_room.hpp"
#include "gateway/upstream_table.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambeam
{

// Age up to which an estimate is used again. A turn of the dispatch loop is
// 20 ms, and the estimate of a wait changes by less than its error in a quarter
// of that.
constexpr duration max_room_age = std::chrono::milliseconds(5);
// The same for the service time alone, per upstream, if that is longer. A pass
// over more upstreams takes longer, and the shortest of more service times
// changes less.
constexpr duration service_time_age_per_upstream =
    std::chrono::microseconds(100);

struct cached_service_room
{
    room_estimate room;
    steady_time at{};
    // upstream_table::changes of `upstreams`; none: not listed yet.
    std::optional<std::uint64_t> changes;
    std::vector<upstream_state const*> upstreams; // of the service
};

struct room_cache
{
    std::map<std::string, cached_service_room, std::less<>> services;
    std::vector<upstream_view> views; // of the latest pass, for its memory
};

// Returns the room at the usable upstreams of a plain service, as of at most
// max_room_age ago and the present list. Valid until the next call. `b` is the
// same in all calls. Not thread-safe.
room_estimate const& cached_room(
    room_cache& cache, upstream_table const& b, std::string_view service,
    service_time const& prior, steady_time now);

// Returns the shortest service time at the usable upstreams, zero if it is
// unknown; as of max_room_age or service_time_age_per_upstream for each of them
// ago. Not thread-safe.
duration cached_service_time(
    room_cache& cache, upstream_table const& b, std::string_view service,
    service_time const& prior, steady_time now);

// Records that an upstream has reported a free slot, so that no request is
// refused by an estimate from before. Not thread-safe.
void record_free_slot(room_cache& cache, std::string_view service);

} // namespace marjorambeam
