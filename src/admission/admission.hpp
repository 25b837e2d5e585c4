// Allowances and spending limits of customers, shared by all entries.
//
// Example, at an entry:
//   admission_decision d = admit(state, limits, cost, view);
//   if (d.should_request)
//       call_peer(owner, "allowance", make_request(state, limits, cost, view));
//   // admitted: run it. refused: answer now. waits: decide again when the
//   // grant arrives (accept_grant) or `grant_timeout` after the question.
//   settle(state, cost, actual); // when the true cost is known
//   if (auto report = make_report(state, view)) // about every 200 ms
//       call_peer(owner, "allowance", *report);
//
// Example, at the owner:
//   allowance_grant g = grant(owner_state, limits, request, now, wall_now);
//
// The owner of a customer is the live entry with the largest rendezvous
// weight. It keeps the buckets and hands out batches, which entries use within
// a lease of about 1 s and return when unused. While the owner is gone, slow or
// has only just become the owner, each entry uses the allowance divided by the
// number of live entries.
//
// Bound on overrun. With rate R, burst B and lease L, all entries together
// admit in any period T at most R * (T + 2L) + B while the owner stays: a batch
// is used within L, and its unused part flows back within another L or is
// forgotten. While entries are without the owner, their shares add at most
// R * T + B, and one request per entry where the share is smaller than that;
// the next owner is told of this use and charges it. A request larger than the
// whole burst is admitted when the bucket is full and leaves a debt. Costs are
// corrected at the owner once the true cost is known, so the bound holds for
// actual tokens plus the estimate errors of the requests in flight. Spending
// exceeds the limit of a day by at most the estimate errors of the requests in
// flight, plus one batch per entry when the owner is lost: entries tell each
// owner the largest total that any owner has told them.
//
// Plain data and free functions, not thread-safe.
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
// Time on the conservative share before a slow owner is asked again.
constexpr duration owner_backoff = std::chrono::milliseconds(500);
// The least time of a denial; bounds the questions of one entry about a
// customer above its rate to 200 per second.
constexpr duration min_denial_time = std::chrono::milliseconds(5);
// How long an entry refuses by itself after the spending limit was reached;
// unused batches of other entries may come back in between.
constexpr duration spend_denial_time = std::chrono::seconds(1);
// An entry with several requests per lease takes batches and asks ahead; one
// with fewer asks for each request what it needs. It asks ahead when its batch
// falls below this part of its recent use or the lease ends within this time.
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

allowance allowance_of(contract const& c);

// What one request takes, estimated or actual.
struct request_cost
{
    double tokens = 0;
    micro_credits spend = 0;
};

// Estimates a chat request: 4 bytes of prompt count as a token, and all of
// `max_tokens` is taken as generated.
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
    amounts needed; // the least that is of use; all zero in a report
    amounts wanted;
    amounts returned;     // granted, unused when the lease ended
    amounts unreported;   // use outside of batches; negative: estimated high
    std::int64_t day = 0; // days since the epoch, UTC
    micro_credits known_spent = 0; // largest total of the day told by an owner

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
    not_owner // not the owner, or not for long enough: use the own share
};

// Reply to `allowance_request`.
struct allowance_grant
{
    std::string customer;
    grant_state state = grant_state::granted;
    amounts given; // what was asked in vain when limited
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

// What an owner keeps for one customer.
struct owner_allowance
{
    bucket requests;
    bucket tokens;
    steady_time owned_since{};
    std::int64_t day = 0;
    micro_credits spent = 0; // handed out on `day` and not returned
};

// What an entry keeps for one customer.
struct entry_allowance
{
    amounts left; // of the batches
    steady_time lease_end{};
    amounts unreported; // see allowance_request
    amounts in_flight;  // the same, in the outstanding question
    std::optional<steady_time> requested_at; // of the outstanding question
    steady_time use_fallback_share_until{};
    steady_time denied_until{}; // refused without a question
    steady_time denied_retry{}; // time to come back as told to callers
    amounts denied;             // requests that need less may ask again
    error_kind denied_kind = error_kind::rate_limited;
    amounts recent; // decayed over one lease
    steady_time recent_updated{};
    bucket fallback_requests; // conservative share
    bucket fallback_tokens;
    micro_credits fallback_spent = 0; // of the share, not yet told to an owner
    std::int64_t day = 0;
    micro_credits known_spent = 0;
};

// The circumstances of a decision.
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

// The index of the owner among the live entries. Precondition: not empty.
std::size_t allowance_owner(
    std::string_view customer, std::span<std::string const> live_entries);

// Decides on one request and takes its cost when it is admitted.
admission_decision admit(
    entry_allowance& s, allowance const& limits, request_cost cost,
    admission_view const& view);

// The question to the owner for `cost`; marks it as outstanding. Unused parts
// of an ended lease and corrections go with it. The caller fills in customer
// and entry.
allowance_request make_request(
    entry_allowance& s, allowance const& limits, request_cost cost,
    admission_view const& view);

// A question that asks for nothing and brings what is unused or unreported,
// when there is any and no question is outstanding. It is answered, too.
std::optional<allowance_request>
make_report(entry_allowance& s, admission_view const& view);

// Takes in the owner's reply.
void accept_grant(
    entry_allowance& s, allowance_grant const& g, admission_view const& view);

// The owner did not answer: its connection ended or the call timed out.
void record_owner_failure(entry_allowance& s, steady_time now);

// Corrects the estimate by the actual cost.
void settle(entry_allowance& s, request_cost estimate, request_cost actual);

// Answers a question at the owner. `owner_since` is the last time that an
// entry left the live set, or the start of this entry; it matters for a state
// without history, which starts with what has flowed in since then. The caller
// drops the states of customers that it no longer owns.
allowance_grant grant(
    owner_allowance& s, allowance const& limits, allowance_request const& r,
    steady_time owner_since, steady_time now, wall_time wall);

} // namespace marjorambeam
