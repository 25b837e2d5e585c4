#include "gateway/version_rollout.hpp"

#include <algorithm>

namespace marjorambeam
{
namespace
{

// Bad responses required for a verdict; at most 50 are allowed over all
// gateways.
constexpr std::uint64_t min_bad = 5;
// Excess of the target's bad rate over that of the other versions.
constexpr double bad_excess = 0.12;
constexpr double bad_factor = 2.0;
// Responses required before the target takes all requests.
constexpr std::uint64_t min_responses = 25;
// The target may take all requests, and sessions switch to it, after this part
// of the time limit.
constexpr double full_traffic_start_ratio = 0.52;
// The rollout completes after this part of the time limit. The rest lets
// streams of the old version end and the status write be retried.
constexpr double completion_start_ratio = 0.8;
constexpr std::uint64_t share_steps = 10'000;
// Requests after which the share without a session is known.
constexpr std::uint64_t min_canary_requests = 50;

double bad_rate(response_counts const& c)
{
    return c.answers == 0
               ? 0
               : static_cast<double>(c.bad) / static_cast<double>(c.answers);
}

} // namespace

void record_attempt(
    version_rollout const& order, version_evidence& e, std::string_view version,
    attempt_outcome outcome)
{
    bool const has_others =
        order.state_target != order.target || !order.takes_all;
    if (outcome == attempt_outcome::no_response && !has_others)
        return;
    response_counts& c = version == order.target ? e.target : e.others;
    ++c.answers;
    c.bad += outcome == attempt_outcome::good ? 0 : 1;
}

bool is_bad_version(version_evidence const& e)
{
    if (e.target.bad < min_bad)
        return false;
    double const baseline = bad_rate(e.others);
    return bad_rate(e.target) >
           std::max(baseline * bad_factor, baseline + bad_excess);
}

version_rollout_decision decide_version_rollout(
    version_rollout const& order, version_evidence const& e, duration elapsed)
{
    bool const is_decided = order.state_target == order.target;
    if (is_decided && (order.state == version_rollout_state::completed ||
                       order.state == version_rollout_state::reverted))
        return {
            order.state, order.state == version_rollout_state::completed,
            "decided"};
    if (is_bad_version(e))
        return {version_rollout_state::reverted, false, "bad_answers"};
    double const part =
        to_seconds(elapsed) / std::max(to_seconds(order.time_limit), 0.001);
    bool const has_all = is_decided && order.takes_all;
    if (has_all && part >= completion_start_ratio)
        return {version_rollout_state::completed, true, "good_answers"};
    if (has_all ||
        (part >= full_traffic_start_ratio && e.target.answers >= min_responses))
        return {version_rollout_state::in_progress, true, "good_answers"};
    return {version_rollout_state::in_progress, false, "trial"};
}

double
canary_probability(canary_counts const& c, bool has_session, bool is_first_half)
{
    if (!is_first_half)
        return canary_share;
    if (has_session)
        return 0;
    if (c.requests < min_canary_requests)
        return canary_share;
    double const part = static_cast<double>(c.without_session) /
                        static_cast<double>(c.requests);
    return part <= canary_share ? 1.0 : canary_share / part;
}

bool is_first_half(version_rollout const& order, duration elapsed)
{
    return to_seconds(elapsed) <
           to_seconds(order.time_limit) * full_traffic_start_ratio;
}

version_rule apply_rollout(
    version_rollout const& order, bool is_known_bad, std::string_view pinned,
    double canary_part, std::uint64_t hash)
{
    bool const is_decided = order.state_target == order.target;
    if (is_decided && order.state == version_rollout_state::completed)
        return {.only = order.target};
    if (is_known_bad ||
        (is_decided && order.state == version_rollout_state::reverted))
        return {.never = order.target};
    if (is_decided && order.takes_all)
        return {.only = order.target};
    if (!pinned.empty())
        return pinned == order.target ? version_rule{.only = order.target}
                                      : version_rule{.never = order.target};
    if (hash % share_steps <
        static_cast<std::uint64_t>(canary_part * share_steps))
        return {.only = order.target, .may_fall_back = true};
    return {.never = order.target};
}

} // namespace marjorambeam
