// Rolls a service out to a new version and evaluates that version meanwhile.
//
// Example:
//   version_rollout_decision d =
//       decide_version_rollout(order, evidence, elapsed, full_for);
//   if (d.state != order.state) write_status(d);
//
// The new version first gets a small canary share of the requests for half of
// the time limit, then all of them as soon as the evidence rules out that it is
// slower, and the rollout completes before the limit. If the evidence stays
// unclear, both come later, so that a bad version has had few requests by then.
// A bad version is reverted immediately. Evidence
// is pooled over all gateways. Plain data and free functions without I/O, which
// are thread-safe except record_attempt().
#pragma once

#include "base/time.hpp"
#include "gateway/version_timing.hpp"

#include <cereal/types/string.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace marjorambeam
{

enum class version_rollout_state : std::uint8_t
{
    ordered, // no decision yet
    in_progress,
    completed,
    reverted
};

// An operator's order to roll a service out to another version.
struct version_rollout
{
    std::string service;
    std::string target;
    duration time_limit{0};
    std::uint64_t revision = 0; // of the stored order with its status
    version_rollout_state state = version_rollout_state::ordered;
    std::string state_target; // target that `state` belongs to
    bool takes_all = false;   // the target gets all requests
};

// Counts of one version's responses, at one gateway or over all.
struct response_counts
{
    std::uint64_t answers = 0;
    std::uint64_t bad = 0; // failed

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(answers, bad);
    }
};

struct version_evidence
{
    response_counts target;
    response_counts others;
    version_timing timing; // of the target, relative to the others

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(target, others, timing);
    }
};

// Share of the target in the first half. Kept below the 12% of requests that a
// bad version may get on larger deployments, as retries don't divide evenly.
constexpr double canary_share = 0.08;
// Share in the second half until the target takes all, so that there are enough
// responses to compare times.
constexpr double late_canary_share = 0.16;

// Requests of a service since the order; determines the canary probability.
struct canary_counts
{
    std::uint64_t requests = 0;
    std::uint64_t without_session = 0;
};

// Returns the probability that a request goes to the canary. In the first half
// of the time only requests without a session do: a session that continues at
// another gateway may have begun on the other version there, and must not
// change versions. `is_first_half` is the result of is_first_half().
// Thread-safe.
double canary_probability(
    canary_counts const& c, bool has_session, bool is_first_half);

// Returns whether the rollout is in the phase in which sessions must keep their
// version. `elapsed` is the time since the order. Thread-safe.
bool is_first_half(version_rollout const& order, duration elapsed);

struct version_rollout_decision
{
    version_rollout_state state = version_rollout_state::in_progress;
    bool takes_all = false;
    std::string_view reason;
};

// How an attempt ended, for the evaluation of its version.
enum class attempt_outcome : std::uint8_t
{
    good,
    error_response, // the upstream responded with an error
    no_response     // no response, or an incomplete one
};

// Records how an attempt on `version` ended. Attempts without a response count
// while other versions serve beside the target: upstreams that crash break
// those of whichever version serves, and without others there is no baseline.
// Not thread-safe.
void record_attempt(
    version_rollout const& order, version_evidence& e, std::string_view version,
    attempt_outcome outcome);

// Returns whether the responses on `version` are compared with the others', as
// long as it is the target of an undecided rollout. Thread-safe.
bool is_on_trial(version_rollout const& order, std::string_view version);

// Returns whether the evidence shows that the target is bad: it fails more
// often than the other versions, or is slower. Thread-safe.
bool is_bad_version(version_evidence const& e);

// Decides from the pooled evidence, the time since the order, and the time for
// which the target has had all requests. Completed and reverted are final.
// Thread-safe.
version_rollout_decision decide_version_rollout(
    version_rollout const& order, version_evidence const& e, duration elapsed,
    duration full_for);

// Which versions a request may run on.
struct version_rule
{
    std::string_view only;  // empty: any
    std::string_view never; // empty: none
    // Another version may serve the request when `only` is full.
    bool may_fall_back = false;
    // Few upstreams suffice. Not while response times are compared: upstreams
    // differ in speed, and a few may all be slow ones.
    bool prefers_consolidation = false;
};

// Returns the versions that an order allows for one request. `hash` is uniform
// over requests or sessions. `is_known_bad`: this gateway has already found the
// target bad. `pinned` is the version of the session's last request, or empty;
// a session keeps its version while the target is a canary. `canary_part` is
// the request's canary_probability(). The views in the result are valid until
// `order` changes. Thread-safe.
version_rule apply_rollout(
    version_rollout const& order, bool is_known_bad, std::string_view pinned,
    double canary_part, std::uint64_t hash);

} // namespace marjorambeam
