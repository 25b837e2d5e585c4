// Distributed rate and spending limits of customers, shared by all entries.
//
// Example, at an entry:
//   admission_decision d = admit(state, limits, cost, view);
//   if (d.should_request)
//       call_peer(owner, "allowance", make_request(state, limits, cost, view));
//   // admitted: run it. refused: respond now. waits: call admit() again when
//   // the grant arrives (accept_grant) or `grant_timeout` after the request.
//   settle(state, cost, actual); // when the true cost is known
//   if (auto report = make_report(state, view)) // about every 200 ms
//       call_peer(owner, "allowance", *report);
//
// Example, at the owner:
//   allowance_grant g = grant(owner_state, limits, request, now, wall_now);
//
// The owner of a customer is the live entry with the largest rendezvous
// weight. It keeps the buckets and hands out batches, which entries use within
// a lease of about 1 s and return when unused. While the owner is unreachable,
// slow or has only just become the owner, each entry uses the allowance divided
// by the number of live entries.
//
// Bound on overrun. With rate R, burst B and lease L, all entries together
// admit in any period T at most R * (T + 2L) + B while the owner stays: a batch
// is used within L, and its unused part is returned within another L or is
// discarded. While entries can't reach the owner, their fallback shares add at
// most R * T + B, plus one request per entry whose share is smaller than one
// request; this use is reported to the next owner, which charges it. A request
// larger than the full burst is admitted when the bucket is full and leaves a
// debt. Costs are corrected at the owner once the true cost is known, so the
// bound holds for actual tokens plus the estimate errors of the requests in
// flight. Spending exceeds the limit of a day by at most the estimate errors of
// the requests in flight, plus one batch per entry when the owner fails:
// entries report to each owner the largest total that they received from any
// owner.
//
// Plain data and free functions. Functions that take a state are not
// thread-safe on the same state; the others are thread-safe.
#pragma once

#include "base/time.hpp"
#include "config/document.hpp"
#include "error/error.hpp"

#include <cereal/types/string.hpp>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace marjorambeam
{

constexpr duration grant_lease = std::chrono::seconds(1);
// An owner that takes longer counts as slow. A round trip between zones of a
// region takes about 1 ms.
constexpr duration grant_timeout = std::chrono::milliseconds(20);
// Time on the fallback share before requests to a slow owner resume.
constexpr duration owner_backoff = std::chrono::milliseconds(500);
// Minimum denial time; limits one entry to 200 allowance requests per second
// for a customer above its rate.
constexpr duration min_denial_time = std::chrono::milliseconds(5);
// How long an entry refuses locally after the spending limit was reached;
// other entries may return unused batches in the meantime.
constexpr duration spend_denial_time = std::chrono::seconds(1);
// An entry with several requests per lease prefetches batches; one with fewer
// requests fetches the cost of each request. A prefetch starts when the batch
// falls below this fraction of recent use or the lease ends within this time.
constexpr double prefetch_threshold = 0.3;
constexpr duration prefetch_time = std::chrono::milliseconds(200);

// Limits of one customer, from its contract.
struct allowance
{
    double requests_per_second = 10;
    double tokens_per_second = 10000;
    double burst_seconds = 2;
    micro_credits spend_limit_per_day = 0; // 0: no limit
};

// Returns the limits that the contract sets.
allowance allowance_of(contract const& c);

// Cost of one request, estimated or actual.
struct request_cost
{
    double tokens = 0;
    micro_credits spend = 0;
};

// Estimates the cost of a chat request: 4 bytes of prompt count as one token,
// and all of `max_tokens` are assumed to be generated.
request_cost estimate_cost(
    std::size_t prompt_bytes, std::int64_t max_tokens, version const& v);

// Amounts of requests, tokens and money.
struct amounts
{
    double requests = 0;
    double tokens = 0;
    micro_credits spend = 0;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(requests, tokens, spend);
    }
};

// Body of a peer_call named `allowance`.
struct allowance_request
{
    std::string customer;
    std::string entry;
    amounts needed; // minimum useful grant; all zero in a report
    amounts wanted;
    amounts returned;     // granted, unused when the lease ended
    amounts unreported;   // use outside of batches; negative: overestimated
    std::int64_t day = 0; // days since the epoch, UTC
    // Largest total of the day received from an owner.
    micro_credits known_spent = 0;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(customer, entry, needed, wanted, returned, unreported, day,
           known_spent);
    }
};

enum class grant_state : std::uint8_t
{
    granted,
    rate_limited,
    spend_limited,
    not_owner // not the owner, or not for long enough: use the fallback share
};

// Reply to `allowance_request`.
struct allowance_grant
{
    std::string customer;
    grant_state state = grant_state::granted;
    amounts given; // the refused amounts when limited
    std::int64_t lease_us = 0;
    std::int64_t retry_after_us = 0; // exact, when limited
    std::int64_t day = 0;
    micro_credits known_spent = 0;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(customer, state, given, lease_us, retry_after_us, day, known_spent);
    }
};

// A level that refills at a rate up to a capacity; below zero it is a debt.
struct bucket
{
    double level = 0;
    steady_time updated{};
    bool is_started = false;
};

// State of one customer at its owner.
struct owner_allowance
{
    bucket requests;
    bucket tokens;
    steady_time owned_since{};
    std::int64_t day = 0;
    micro_credits spent = 0; // handed out on `day` and not returned
};

// State of one customer at an entry.
struct entry_allowance
{
    amounts left; // of the batches
    steady_time lease_end{};
    amounts unreported; // see allowance_request
    amounts in_flight;  // the same, in the outstanding request
    std::optional<steady_time> requested_at; // of the outstanding request
    steady_time use_fallback_share_until{};
    steady_time denied_until{}; // refused locally
    steady_time denied_retry{}; // retry time sent to callers
    amounts denied;             // smaller requests may be sent to the owner
    error_kind denied_kind = error_kind::rate_limited;
    amounts recent; // decayed over one lease
    steady_time recent_updated{};
    bucket fallback_requests;
    bucket fallback_tokens;
    // Spending from the fallback share that was not yet reported to an owner.
    micro_credits fallback_spent = 0;
    std::int64_t day = 0;
    micro_credits known_spent = 0;
};

// Time and membership inputs of a decision.
struct admission_view
{
    steady_time now{};
    wall_time wall{};
    std::size_t live_entries = 1; // including this one
};

enum class admission_outcome : std::uint8_t
{
    admitted,
    refused,
    waits // for the grant, at most until `requested_at` plus `grant_timeout`
};

struct admission_decision
{
    admission_outcome outcome = admission_outcome::refused;
    bool should_request = false; // send make_request() to the owner now
    error_kind refusal = error_kind::rate_limited;
    duration retry_after{0}; // when the same request would pass
};

// Returns the index of the owner among the live entries. Precondition:
// `live_entries` is not empty.
std::size_t allowance_owner(
    std::string_view customer, std::span<std::string const> live_entries);

// Decides on one request and deducts its cost when it is admitted. A
// `view.live_entries` of 0 counts as 1.
admission_decision admit(
    entry_allowance& s, allowance const& limits, request_cost cost,
    admission_view const& view);

// Builds the request to the owner for `cost` and marks it as outstanding. It
// includes the unused part of an expired lease and corrections. The caller
// fills in customer and entry.
allowance_request make_request(
    entry_allowance& s, allowance const& limits, request_cost cost,
    admission_view const& view);

// Builds a request without needed amounts that reports unused and unreported
// amounts, if there are any and no request is outstanding. The owner responds
// to it as well.
std::optional<allowance_request>
make_report(entry_allowance& s, admission_view const& view);

// Applies the owner's reply.
void accept_grant(
    entry_allowance& s, allowance_grant const& g, admission_view const& view);

// Records that the owner did not respond: its connection closed or the call
// timed out.
void record_owner_failure(entry_allowance& s, steady_time now);

// Replaces the estimated cost of an admitted request by the actual cost.
void settle(entry_allowance& s, request_cost estimate, request_cost actual);

// Handles an allowance request at the owner. `owner_since` is the last time
// that an entry left the live set, or the start of this entry;
// a state without history starts with the refill since then. The caller removes
// the states of customers that it no longer owns.
allowance_grant grant(
    owner_allowance& s, allowance const& limits, allowance_request const& r,
    steady_time owner_since, steady_time now, wall_time wall);

} // namespace marjorambeam
