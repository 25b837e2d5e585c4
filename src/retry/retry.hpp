// Retry budget of an entry and the decision after a failed attempt.
//
// Example:
//   retry_budget budget;
//   on_admitted(budget, now);
//   retry_decision d = decide_retry(budget, attempt);
//   if (d.action == retry_action::give_up)
//       respond(d.kind, d.run, d.retry_after); // immediately
//   else
//       counters.count("retries_total", to_string(d.reason));
//
// Over any period, budgeted retries are at most `retry_ratio` of the requests
// admitted in it, plus the level of the bucket at its start (`budget_limit`).
// Refusals of an agent that did not start the work and that do not indicate
// load (out of service, draining, stale, not the owner of the key) put no load
// on any upstream; they cost no budget and are bounded by `max_attempts` alone.
#pragma once

#include "base/time.hpp"
#include "error/error.hpp"

#include <cstdint>
#include <string_view>

namespace marjorambeam
{

// Retries add at most 10% during an overload of 5 min. The full bucket holds
// the share of `retry_burst_seconds`, a tenth of that time, so the refill is
// lower: 0.09 * (1 + 0.1) = 0.099.
constexpr double retry_ratio = 0.09;
// A new entry may retry this often before it has admitted requests.
constexpr double min_retry_burst = 10;
// The bucket holds the share of this much recent traffic, so that the requests
// in flight in one availability zone of four can be retried when the zone
// fails.
constexpr double retry_burst_seconds = 30;
constexpr std::uint32_t max_attempts = 4;

// Token bucket filled by admitted requests. Plain data, not thread-safe.
struct retry_budget
{
    double tokens = min_retry_burst;
    double recent_requests = 0; // decayed over `retry_burst_seconds`
    steady_time updated{};
};

// Adds the share of one admitted request to the budget. Not thread-safe on the
// same budget.
void on_admitted(retry_budget& b, steady_time now);

// Returns the present capacity of the budget.
double budget_limit(retry_budget const& b);

enum class retry_action : std::uint8_t
{
    retry_elsewhere, // send now to an upstream that was not tried
    resume_stream,   // the same on an upstream of the same version
    give_up          // respond to the caller now
};

// Why a request is retried or given up. The names are stable metric labels.
enum class retry_reason : std::uint8_t
{
    refused_out,
    refused_owner,
    refused_stale,
    refused_busy,
    refused_cold,
    crashed,
    failed,
    silent,
    connection,
    answer_damaged,
    given_up_final,
    given_up_may_have_run,
    given_up_attempts,
    given_up_budget,
    given_up_deadline,
    given_up_no_upstream,
};

// The label of a reason. Thread-safe.
std::string_view to_string(retry_reason r);

// State of a request after a failed attempt.
struct failed_attempt
{
    error_kind kind = error_kind::internal;     // of the failed attempt
    run_state run = run_state::unknown;         // of the failed attempt
    run_state earlier_run = run_state::not_run; // combined, earlier attempts
    bool is_idempotent = true;
    bool has_delivered = false; // the caller has part of the response
    bool can_resume = true;     // the response is a stream that can continue
    std::uint32_t attempts = 1; // including the failed one
    duration remaining{0};      // until the caller's deadline
    duration expected_time{0};  // of another attempt; zero when unknown
    duration retry_after{0};    // advice of the agent, zero for none
    bool has_untried_upstream = true; // routing knows an upstream not yet tried
};

struct retry_decision
{
    retry_action action = retry_action::give_up;
    retry_reason reason = retry_reason::given_up_final;
    // Used for the final response when the request is given up.
    error_kind kind = error_kind::internal;
    run_state run = run_state::unknown; // combined over all attempts
    duration retry_after{0};
};

// Combines the run states of two attempts of a request: it ran if either ran,
// and did not run only if neither may have run. Thread-safe.
run_state combine(run_state a, run_state b);

// Decides what follows a failed attempt and charges the budget for a budgeted
// retry. Retries are sent immediately, never delayed. Not thread-safe on the
// same budget.
retry_decision decide_retry(retry_budget& b, failed_attempt const& q);

} // namespace marjorambeam
