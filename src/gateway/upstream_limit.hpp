// Request limits that upstreams name in their responses, and the part of a
// limit that a gateway may use.
//
// Example:
//   if (record_response_limit(known, response.limit_per_second, sent, now))
//       report_to_peers(known);
//   auto sharers = limit_sharers(*known.per_second, "i-7", view);
//   set_share(
//       gate, limit_share(*known.per_second, sharers.size(), view), opens_at,
//       now);
//   if (has_token(gate, now)) { take_token(gate, now); send(); }
//
// A limit bounds the requests that all gateways together send per second. It
// applies to one incarnation of the upstream and for as long as its responses
// name it. A few gateways share it, ranked by a hash over the live ones; each
// fills a token bucket at its share. A gateway without a share that has no
// other upstream for a request claims a token from one of the sharers. Plain
// data and free functions without I/O. Not thread-safe, except where a function
// says so.
#pragma once

#include "base/time.hpp"
#include "gateway/rate_window.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambeam
{

// What a gateway knows of the limit of an upstream, which it reports to the
// others. Changes are numbered instead of dated, so that the delay of a report
// does not make an old limit look new.
struct known_limit
{
    std::uint64_t change = 0;         // number of the change; 0: no limit yet
    std::optional<double> per_second; // nothing: it names no limit
    steady_time learned_at{};         // by this gateway
};

// Returns a rate for logs, or "none". Thread-safe.
std::string limit_text(std::optional<double> per_second);

// Records the limit in a response to a request sent at `sent`. Returns whether
// it changed. Responses may overtake one another: a request that was sent
// before the known limit was learned may have been answered before that too, so
// that its response can only lower the limit. Not thread-safe.
bool record_response_limit(
    known_limit& known, std::optional<double> per_second, steady_time sent,
    steady_time now);

// Replaces `known` by the limit that a peer knows if that is a later change; of
// two changes with the same number, the lower limit counts. Returns whether it
// changed. Not thread-safe.
bool merge_known_limit(
    known_limit& known, known_limit const& peer, steady_time now);

// The gateways among which a limit is shared.
struct sharer_view
{
    std::string_view self;
    std::span<std::string const> live; // names of the live ones
    // Gateways that may be sending, live or not: beyond a network partition,
    // others share the same limit.
    std::size_t possible = 1;
};

// Number of gateways that share a limit: as many as get a useful share.
constexpr double min_share_per_second = 2;
// An upstream that accepts fewer requests than this, or none, still gets them
// at this rate, because only its responses tell when the limit changes.
constexpr double min_limit_per_second = 0.1;

// Returns the positions in `view.live` of the gateways that share the limit of
// the upstream, in order of rank. Thread-safe.
std::vector<std::size_t> limit_sharers(
    double per_second, std::string_view upstream, sharer_view const& view);

// Returns the part of the limit that each sharer uses, in requests per second.
// The parts of the gateways on both sides of a partition add up to the limit.
// Thread-safe.
double
limit_share(double per_second, std::size_t sharers, sharer_view const& view);

// While a claim was denied this recently, others compete for the tokens.
constexpr duration claim_contention = std::chrono::seconds(1);

// Bounds the requests of this gateway to one limited upstream.
struct limit_gate
{
    // Share of this gateway; zero if others share the limit.
    double share_per_second = 0;
    double tokens = 0;
    steady_time filled_at{};
    steady_time opens_at{};     // no tokens accrue before
    steady_time refreshed_at{}; // the share is valid for share_ttl from then on
    std::string sharer;         // where this gateway claims tokens
    std::uint64_t view = 0;     // identifies the inputs of the share
    // The claim of a gateway without a share. Its times are those of this
    // gateway's clock, so that no delay of a message extends them.
    std::uint64_t claim = 0; // number of the latest claim
    steady_time claimed_at{};
    bool is_claim_pending = false;
    bool has_granted_token = false;
    steady_time claimable_at{}; // the sharer has no token before
    // Claims of other gateways that this one denied.
    rate_window denials{claim_contention};
    steady_time denied_at{}; // the latest one
};

// A process that was paused for longer does not know whether others use its
// share by now.
constexpr duration share_ttl = std::chrono::milliseconds(500);
// Tokens that a share accrues over this time may be used at once, and at least
// one.
constexpr duration token_burst = std::chrono::seconds(1);
// A claim that is not answered within this time is lost; a granted token is
// valid for as long, counted from the claim.
constexpr duration claim_timeout = std::chrono::milliseconds(150);
// Time to the next claim after a lost one, or when no sharer is known.
constexpr duration claim_retry = std::chrono::milliseconds(500);
// Longest time to the next claim.
constexpr duration max_claim_delay = std::chrono::seconds(10);

// Sets the share of this gateway as of `now`. If it had none, tokens accrue
// from `opens_at` on. Not thread-safe.
void set_share(
    limit_gate& g, double per_second, steady_time opens_at, steady_time now);

// Returns whether this gateway may send one request now. Not thread-safe.
bool has_token(limit_gate const& g, steady_time now);

// Uses one token. Precondition: has_token(g, now). Not thread-safe.
void take_token(limit_gate& g, steady_time now);

// Returns the earliest time at which this gateway may have a token: `now` while
// that is open. Not thread-safe.
steady_time next_token_at(limit_gate const& g, steady_time now);

// Returns whether other gateways compete for the tokens of this one. Its own
// requests then do not wait for tokens, which would leave none for the claims.
// Not thread-safe.
bool is_contended(limit_gate const& g, steady_time now);

// Returns whether a claim may be sent now. Not thread-safe.
bool may_claim(limit_gate const& g, steady_time now);

// Records that a claim is sent, and returns its number. Precondition:
// may_claim(g, now). Not thread-safe.
std::uint64_t begin_claim(limit_gate& g, steady_time now);

// The answer of a sharer to a claim.
struct claim_answer
{
    bool is_granted = false;
    duration retry_after{0}; // if not granted
};

// Decides on a claim of another gateway; `hash` is uniform over claims. Denied
// gateways come back at a rate that the share can serve. Not thread-safe.
claim_answer answer_claim(limit_gate& g, std::uint64_t hash, steady_time now);

// Records the answer to the claim `number`. Returns false, without effect, if
// that claim is not pending or has timed out. Not thread-safe.
bool record_claim_answer(
    limit_gate& g, std::uint64_t number, claim_answer const& a,
    steady_time now);

// Why callers are refused: all upstreams of a service are at their limits.
struct limit_refusal
{
    duration until_next{0};       // until the next token of this gateway
    double limits_per_second = 0; // sum of the upstreams' limits
    std::size_t gateways = 1;     // that serve callers
    std::size_t refused = 1;      // callers of this gateway in the last second
};

// Longest time over which refused callers come back.
constexpr duration max_backoff = std::chrono::seconds(10);

// Returns after what time a refused caller comes back: the time until the next
// token, and a part of the time that the limits take for the callers that were
// refused lately. Callers may come back at any gateway, so that this is the
// time at an average one. `hash` is uniform over callers. Thread-safe.
duration limit_backoff(limit_refusal const& r, std::uint64_t hash);

} // namespace marjorambeam
