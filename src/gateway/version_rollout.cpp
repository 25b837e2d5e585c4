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
// It does so after this part although it may be slower. Until the rollout
// completes, it then gets no more requests than a bad version may.
constexpr double late_full_traffic_ratio = 0.82;
// The rollout completes after this part of the time limit. The rest lets
// streams of the old version end and the status write be retried.
constexpr double completion_start_ratio = 0.8;
// The same if the target may be slower, but more likely is not.
constexpr double late_completion_ratio = 0.92;
// Without enough evidence by then, the rollout ends in favour of the target,
// unless it is more likely slower.
constexpr double last_completion_ratio = 1.1;
// In any case the target must have had all requests for this part of the time
// limit, in percent: a slow version shows once its upstreams are loaded.
constexpr duration::rep min_full_percent = 10;
constexpr std::uint64_t share_steps = 10'000;
// Requests after which the share without a session is known.
constexpr std::uint64_t min_canary_requests = 50;

double bad_rate(response_counts const& c)
{
    return c.answers == 0
               ? 0
               : static_cast<double>(c.bad) / static_cast<double>(c.answers);
}

bool fails_more_often(version_evidence const& e)
{
    if (e.target.bad < min_bad)
        return false;
    double const baseline = bad_rate(e.others);
    return bad_rate(e.target) >
           std::max(baseline * bad_factor, baseline + bad_excess);
}

// Returns the part of the time limit after which the rollout completes.
double completion_ratio(version_timing const& t)
{
    if (is_surely_not_slow(t) && is_unlikely_slow(t))
        return completion_start_ratio;
    return is_unlikely_slow(t) ? late_completion_ratio : last_completion_ratio;
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

bool is_on_trial(version_rollout const& order, std::string_view version)
{
    bool const is_completed = order.state_target == order.target &&
                              order.state == version_rollout_state::completed;
    return version == order.target && !is_completed;
}

bool is_bad_version(version_evidence const& e)
{
    return fails_more_often(e) || is_slow(e.timing);
}

version_rollout_decision decide_version_rollout(
    version_rollout const& order, version_evidence const& e, duration elapsed,
    duration full_for)
{
    bool const is_decided = order.state_target == order.target;
    if (is_decided && (order.state == version_rollout_state::completed ||
                       order.state == version_rollout_state::reverted))
        return {
            order.state, order.state == version_rollout_state::completed,
            "decided"};
    if (fails_more_often(e))
        return {version_rollout_state::reverted, false, "bad_answers"};
    double const part =
        to_seconds(elapsed) / std::max(to_seconds(order.time_limit), 0.001);
    bool const is_last = part >= last_completion_ratio;
    if (is_slow(e.timing) || (is_last && is_more_likely_slow(e.timing)))
        return {version_rollout_state::reverted, false, "slow_answers"};
    bool const has_all = is_decided && order.takes_all;
    bool const is_clear = is_surely_not_slow(e.timing);
    bool const has_served =
        full_for >= order.time_limit * min_full_percent / 100;
    if (has_all && has_served && part >= completion_ratio(e.timing))
        return {version_rollout_state::completed, true, "good_answers"};
    bool const has_time =
        part >= (is_clear ? full_traffic_start_ratio : late_full_traffic_ratio);
    if (has_all || (has_time && e.target.answers >= min_responses))
        return {version_rollout_state::in_progress, true, "good_answers"};
    return {version_rollout_state::in_progress, false, "trial"};
}

double
canary_probability(canary_counts const& c, bool has_session, bool is_first_half)
{
    if (!is_first_half)
        return late_canary_share;
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
