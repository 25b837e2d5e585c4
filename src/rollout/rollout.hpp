// Evaluation of a version during and after its rollout.
//
// Example, at the lease holder, about once a second:
//   record_evidence(pool, evidence_from_an_entry);
//   rollout_decision d = evaluate(
//       state, total_counts(pool, "m@v1"), total_counts(pool, "m@v2"), now);
//   if (d.action == rollout_action::halt)
//       withdraw("m@v2", d.reason);
//
// Entries count requests, failures and ratings per version and send the counts
// since their start; the lease holder adds them up. Two sequential tests
// compare the candidate with the active version. They remain valid however
// often they are evaluated:
// - Failures: likelihood ratio of `failure_excess` more failures against the
//   rate of the active version.
// - Quality: a supermartingale for means of ratings in [0, 1] that
//   tests for a loss, bounded by the observed variance (Bennett's inequality).
// Both run over the complete rollout and, as cumulative sums that restart
// at zero, over any recent part of it, also after the version receives all
// traffic.
//
// Error rates. A version as good as the active one is halted with a
// probability of at most `false_halt_rate`, as far as the active version's
// mean and variance are known; rollout_test.cpp measures it. The share
// grows past the first step only when both tests have ruled out a loss of
// `quality_loss` and `failure_excess`, each wrongly with a probability of at
// most `false_accept_rate`. Until then a version receives at most
// `canary_share` of the requests.
//
// A regression that begins after the version receives all traffic is detected
// from the evidence after it began: about 500 to 1000 requests for 2% more
// failures and about 100 ratings for a loss of 20 points. To stay within 1% of
// the hour's requests (36 s), 3 ratings per second have to reach the lease
// holder; with fewer, the exposure is larger in proportion.
//
// Plain data and free functions. Functions that take a pool or state are not
// thread-safe on the same object; the others are thread-safe.
#pragma once

#include "base/id.hpp"
#include "base/time.hpp"

#include <array>
#include <cereal/types/string.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace marjorambeam
{

// Share of the first step. The target is at most 1% of an hour's requests on a
// bad version; the difference covers the requests in flight when it is halted.
constexpr double canary_share = 0.008;
inline constexpr std::array rollout_shares{canary_share, 0.04, 0.2, 1.0};
// At most 1 in 20 good rollouts is halted, over four tests.
constexpr double false_halt_rate = 0.05;
constexpr double false_accept_rate = 0.01;
// The regressions that the tests have to detect.
constexpr double quality_loss = 0.2;
constexpr double failure_excess = 0.02;
// Minimum evidence and time in each step before the next one.
constexpr std::uint64_t min_step_requests = 200;
constexpr std::uint64_t min_step_ratings = 10;
constexpr duration step_time = std::chrono::seconds(30);
// Minimum ratings of the active version at which its mean counts as known.
constexpr std::uint64_t min_active_ratings = 30;

// Counts of one version. They are summed over entries.
struct version_counts
{
    std::uint64_t requests = 0;
    std::uint64_t failures = 0; // crashes and failed responses
    std::uint64_t ratings = 0;
    double rating_sum = 0;
    double rating_squares = 0;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(requests, failures, ratings, rating_sum, rating_squares);
    }
};

// Counts a request. Not thread-safe on the same counts.
void add_request(version_counts& c, bool has_failed);
// Counts a rating from 0 to 1. Not thread-safe on the same counts.
void add_rating(version_counts& c, double rating);
// Returns the counts of both. Thread-safe.
version_counts sum(version_counts const& a, version_counts const& b);
// Returns the counts added since `b`. Precondition: `b` is an earlier state of
// `a`. Thread-safe.
version_counts difference(version_counts const& a, version_counts const& b);

// Body of a peer_call named `rollout_evidence`: all that an entry has counted
// for a version since the entry's start.
struct rollout_evidence
{
    std::string version; // "model@version"
    incarnation entry = 0;
    version_counts counts;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(version, entry, counts);
    }
};

// The latest counts of each entry, including those of entries that have
// terminated.
struct evidence_pool
{
    std::map<std::pair<std::string, incarnation>, version_counts> counts;
};

// Records a report. Duplicate and outdated reports have no effect.
void record_evidence(evidence_pool& pool, rollout_evidence const& e);
// Returns the counts of the version over all entries.
version_counts
total_counts(evidence_pool const& pool, std::string_view version);

enum class rollout_action : std::uint8_t
{
    hold,
    advance, // set the share; 1 makes the version active
    halt     // withdraw the version; the previous one receives all requests
};

struct rollout_decision
{
    rollout_action action = rollout_action::hold;
    double share = 0; // of the candidate after the decision
    std::string reason;
};

// State of the evaluation of one rollout. The first evaluate() starts it.
struct rollout_state
{
    std::size_t step = 0; // index into `rollout_shares`
    bool is_started = false;
    bool is_halted = false;
    steady_time step_started{};
    version_counts counts_at_step_start; // candidate, when the step began
    version_counts last_evaluated;       // candidate, at the last decision
    std::uint64_t batches = 0;
    double recent_quality = 0; // cumulative sums
    double recent_failures = 0;
    duration min_step_time = step_time;
};

// Returns the state for a new lease holder that takes over a rollout at
// `share` (1 when the version receives all traffic). With a default state,
// evaluate() would restart at the first step.
rollout_state
resume_rollout(double share, version_counts const& candidate, steady_time now);

// Decides based on the total counts of the candidate and of the active version
// (of the previous version once the candidate receives all requests).
rollout_decision evaluate(
    rollout_state& s, version_counts const& active,
    version_counts const& candidate, steady_time now);

} // namespace marjorambeam
