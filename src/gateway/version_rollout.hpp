// Moves a service's traffic to a new version and judges the version meanwhile.
//
// Example:
//   version_rollout_decision d = decide_version_rollout(order, evidence,
//   elapsed); if (d.state != order.state) write_status(d);
//
// A new version gets a small share of the requests for the first half of the
// time, then all of them if the evidence is good, and the shift is completed
// while there is time left. A bad one is reverted at once. Evidence is pooled
// over all gateways. No I/O. Thread-safe.
#pragma once

#include "base/time.hpp"

#include <cereal/types/string.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace marjorambeam
{

enum class version_rollout_state : std::uint8_t
{
    ordered, // nothing was decided yet
    in_progress,
    completed,
    reverted
};

// An operator's order to move a service to another version.
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

// Counts of one version's answers at one gateway, or at all.
struct answer_counts
{
    std::uint64_t answers = 0;
    std::uint64_t bad = 0; // failed, or far slower than the other version

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(answers, bad);
    }
};

struct version_evidence
{
    answer_counts target;
    answer_counts others;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(target, others);
    }
};

// Share of a target in its first half. A bad version may get 12% of the
// requests on the larger deployments; retries don't divide evenly.
constexpr double canary_share = 0.08;

// Requests of a service since an order, by which its trial is shared out.
struct canary_counts
{
    std::uint64_t requests = 0;
    std::uint64_t without_session = 0;
};

// Probability with which a request is part of the trial. In the first half of
// the time only requests without a session are: a session that goes on at
// another gateway may have begun on the other version there, and must not
// change. `is_first_half` is the rule's, by the time since the order.
double canary_probability(
    canary_counts const& c, bool has_session, bool is_first_half);

// Whether a shift is in the time in which sessions must not change.
bool is_first_half(version_rollout const& order, duration elapsed);

struct version_rollout_decision
{
    version_rollout_state state = version_rollout_state::in_progress;
    bool takes_all = false;
    std::string_view reason;
};

// How an attempt ended, for the judgement of its version.
enum class attempt_outcome : std::uint8_t
{
    good,
    error_answer, // the upstream has answered with an error
    no_answer     // none, or one that is not whole
};

// Notes how an attempt at `version` ended. Attempts without an answer count
// while other versions serve beside the target: upstreams that crash break
// those of whichever version serves, and without others there is no telling.
void record_attempt(
    version_rollout const& order, version_evidence& e, std::string_view version,
    attempt_outcome outcome);

// Whether the target is bad by the evidence.
bool is_bad_version(version_evidence const& e);

// Decides by the pooled evidence and the time since the order. A completed or
// reverted order stays so.
version_rollout_decision decide_version_rollout(
    version_rollout const& order, version_evidence const& e, duration elapsed);

// Which versions a request may run on.
struct version_rule
{
    std::string_view only;  // empty: any
    std::string_view never; // empty: none
    bool may_leave = false; // another version may serve it when `only` is full
};

// Applies an order to one request; `hash` is uniform over requests or
// sessions. `is_known_bad`: this gateway has already judged the target bad.
// `pinned` is the version of the session's last request, or empty; a session
// keeps its version while the target is on trial.
// `trial_part` is the request's canary_probability().
version_rule apply_rollout(
    version_rollout const& order, bool is_known_bad, std::string_view pinned,
    double trial_part, std::uint64_t hash);

} // namespace marjorambeam
