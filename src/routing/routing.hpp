// Selects the model version and the upstream for one attempt.
//
// Example:
//   auto v = choose_version(table, contract, "tagger", pin, draw);
//   route_request r{.pool = v->pool, .tokens = 300, .tried = tried};
//   route_choice c = choose_upstream(table, r, now, random);
//   if (c.upstream == no_index)
//       refuse(error_kind::no_upstream);
//   record_sent(table, c.upstream);
//   trace(explain(table, c));
//
// Decisions do not allocate memory; explain() does. Not thread-safe.
#pragma once

#include "routing/routing_table.hpp"

#include "error/error.hpp"

#include <array>
#include <cstdint>
#include <random>
#include <span>
#include <string>
#include <string_view>

namespace marjorambeam
{

// Candidates sampled at random in a zone (power of two choices).
constexpr std::size_t sampled_candidates = 2;
// In a list of at most this many members, all are compared. With three members
// per zone, p99 in bench/policy_model was 1.25 times that of exact load
// knowledge when two were sampled, and 1.14 times when all were compared.
constexpr std::size_t max_exhaustive_candidates = 4;
// Upstreams preferred for one prompt prefix. Two, so that a frequent prefix has
// a second cached copy before it spills over to other upstreams.
constexpr std::size_t affinity_candidates = 2;
// Fraction of the time to first token that a cached prefix saves.
constexpr double cached_prefix_saving = 0.5;
// Cost of a cross-zone request: a round trip and its added failure risk.
constexpr double cross_zone_penalty_seconds = 0.002;
// Slowdown of a response in a full batch that load reports do not show yet.
constexpr double batch_slowdown = 0.3;

// A version and its pool. `pool` is `no_index` when nothing serves it.
struct version_choice
{
    version const* document = nullptr; // valid as long as the table
    pool_index pool = no_index;
    std::string_view reason; // "pinned", "rolling share", "active", ...
};

// Chooses the version for a request to `model`, which is the name of a model
// or "model@version". `pin` is the "model@version" of the session, or empty;
// a pin takes precedence. `draw` is uniform in [0, 1) and determines whether a
// rolling version receives the request. Errors: not_found, model_not_allowed,
// version_withdrawn, session_invalid (pinned to another model or version).
result<version_choice> choose_version(
    routing_table const& t, contract const& c, std::string_view model,
    std::string_view pin, double draw);

struct route_request
{
    pool_index pool = no_index;
    std::uint64_t prefix_hash = 0;         // 0: no affinity
    double tokens = 100;                   // expected to be generated
    std::span<upstream_index const> tried; // not chosen again
};

enum class route_reason : std::uint8_t
{
    none,       // no upstream is available
    least_time, // shortest expected time of the candidates
    prefix,     // shortest with the saving of a cached prefix
    spill_over, // in another zone; the own zone has no free candidate
    last_resort // all have failed recently or are cold and full:
                // the agent queues or refuses
};

// Returns a description for operators. Thread-safe.
std::string_view to_string(route_reason r);

struct route_candidate
{
    upstream_index upstream = no_index;
    float seconds = 0; // expected time, with zone penalty and prefix saving
    bool is_remote = false;
    bool is_preferred = false;
};

struct route_choice
{
    upstream_index upstream = no_index;
    route_reason reason = route_reason::none;
    std::uint8_t count = 0; // candidates that were compared
    std::array<
        route_candidate, 2 * max_exhaustive_candidates + affinity_candidates>
        candidates{};
};

// Returns the expected time from now to the end of a response of `tokens`
// tokens. Precondition: `a.limit` is positive. Thread-safe.
double expected_seconds(
    upstream_status const& s, pool_average const& a, double tokens,
    steady_time now);

// Chooses the upstream for one attempt. Precondition: the indexes in `r` belong
// to this table. A caller that has to remember upstreams while the table is
// rebuilt stores their names.
route_choice choose_upstream(
    routing_table const& t, route_request const& r, steady_time now,
    std::mt19937_64& random);

// Describes the candidates of a decision and the reason for the choice.
// Precondition: `c` was chosen from this table.
std::string explain(routing_table const& t, route_choice const& c);

} // namespace marjorambeam
