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
// In a list of at most this many members, all members are compared. With two of
// three members per zone, p99 in bench/policy_model was 1.25 times that of
// exact load knowledge, and 1.14 times with all three.
constexpr std::size_t max_exhaustive_candidates = 4;
// Upstreams preferred for one prompt prefix; two, so that a hot
// prefix has a second cached copy before it spills over to other upstreams.
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
// a pin goes first. `draw` is uniform in [0, 1) and decides whether a rolling
// version takes the request. Errors: not_found, model_not_allowed,
// version_withdrawn, session_invalid (pinned to another model).
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
    prefix,     // preferred for the prefix and not slower than the gain
    spill_over, // shorter in another zone; the own zone is full or empty
    last_resort // all have failed recently or are cold and full:
                // the agent queues or refuses
};

std::string_view to_string(route_reason r);

struct route_candidate
{
    upstream_index upstream = no_index;
    float seconds = 0; // expected time to finish, with penalty and gain
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

// The expected time from now to the end of a response of `tokens` tokens.
double expected_seconds(
    upstream_status const& s, pool_average const& a, double tokens,
    steady_time now);

// Chooses the upstream for one attempt. The indexes in `r` belong to this
// table; a caller that keeps them while the table is rebuilt keeps names.
route_choice choose_upstream(
    routing_table const& t, route_request const& r, steady_time now,
    std::mt19937_64& random);

// Describes the candidates of a decision and the reason for the choice.
std::string explain(routing_table const& t, route_choice const& c);

} // namespace marjorambeam
