// Gives refused requests the times at which to come back.
//
// Example:
//   return_schedule schedule{.phase = 3.0 / 24}; // fourth of 24 gateways
//   duration const retry_after = place_for(
//       schedule,
//       {.service = "orders", .priority = 1, .rate = 400, .gateways = 24,
//        .until_room = std::chrono::milliseconds(300),
//        .remaining = std::chrono::seconds(9),
//        .expected = std::chrono::milliseconds(60)},
//       now);
//
// A place is a time, not an entry in memory: it stays valid when the gateway
// that gave it ends. Places of one priority follow one another at this
// gateway's share of the rate (virtual scheduling, as in the generic cell rate
// algorithm), behind those of the same and of more urgent priorities. Places in
// the past are free again. See docs/design/return.md.
//
// Plain data and functions; not thread-safe.
#pragma once

#include "base/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace marjorambeam
{

struct return_query
{
    std::string_view service;
    int priority = 0; // 0 is the most urgent
    // Requests per second that the service can take from returning callers,
    // over all gateways; 0 if unknown.
    double rate = 0;
    std::size_t gateways = 1; // live ones, this one included
    duration until_room{0};   // until the service can take a request
    duration remaining{0};    // until the caller's deadline
    duration expected{0};     // from the start of the request to its end
    bool is_early = false;    // see seems_early()
};

// Priorities with places of their own. Less urgent ones share the last.
constexpr std::size_t return_priorities = 10;
// What is remembered of past refusals: 16 times 200 ms, the longest retry time
// of callers that have 10 s left.
constexpr std::size_t return_history = 16;
constexpr duration return_history_step = std::chrono::milliseconds(200);
// Latest place from now, and largest distance between places. Bounds how long a
// wrong estimate of the rate has an effect. A shorter distance would make the
// sum over many gateways exceed a low rate.
constexpr duration max_place = std::chrono::seconds(30);
// Services with places of their own. Others get the time until there is room.
constexpr std::size_t max_return_services = 256;

// The earliest place that a caller who is not early took in one step of time.
struct given_place
{
    std::int64_t step = -1; // refusal time over return_history_step
    steady_time earliest{};
};

// Places at one priority of a service.
struct priority_places
{
    steady_time next{};       // the next place
    steady_time next_early{}; // the next place of a caller that came early
    std::array<given_place, return_history> given{};
};

using service_places = std::array<priority_places, return_priorities>;

struct return_schedule
{
    // Offset of this gateway's places: its index among the live gateways over
    // their number, so that their places do not coincide. 0 to 1.
    double phase = 0;
    std::map<std::string, service_places, std::less<>> services;
};

// Returns the time after which the refused caller is to come back, and takes
// the place. It is never before there is room. It is at most a third of
// `remaining` (callers don't honour more), at most `remaining` less `expected`
// and at most max_place. If all places up to this limit are taken, it is the
// limit, so that the caller does not pass those with places, and no place is
// taken. If `until_room` is past the limit, or the rate is unknown, it is
// `until_room`. A caller that came early is put behind all places of its
// priority.
duration
place_for(return_schedule& schedule, return_query const& q, steady_time now);

// Returns whether a caller that was refused `since_refusal` ago, judged by the
// time its request has used, waited less than half as long as for the earliest
// place that was taken here then or in the two steps before. False where there
// were none. Ask only for callers for which seems_returned() is true (see
// waiting_order.hpp): it is false if `since_refusal` is less than
// min_returned_time, because new requests have used that much on the way.
bool seems_early(
    return_schedule const& schedule, std::string_view service, int priority,
    duration since_refusal, steady_time now);

} // namespace marjorambeam
