#include "gateway/gateway_state.hpp"

#include "base/hash.hpp"

#include <algorithm>

namespace marjorambeam
{
namespace
{

// Each response of this watch confirms the keys, so that its wait is short
// relative to the bound for a revoked key; longer in a large fleet, where
// gateways confirm keys for one another.
constexpr duration min_config_wait = std::chrono::milliseconds(1300);
constexpr duration max_config_wait = std::chrono::milliseconds(1800);
constexpr duration config_wait_per_gateway = std::chrono::milliseconds(25);
// No cold sends for this time after a start, so that a gateway that restarts
// within a second does not use its share twice.
constexpr duration cold_send_pause = std::chrono::seconds(1);

// All gateways see one drop of the history within this time.
constexpr duration history_drop_window = std::chrono::seconds(3);
// A gateway that has not read the store by then is unlikely to do so soon.
constexpr duration max_startup_time = std::chrono::seconds(2);

} // namespace

void confirm_config(gateway_state& s, steady_time as_of)
{
    if (!s.config_confirmed || as_of > *s.config_confirmed)
        s.config_confirmed = as_of;
}

bool are_keys_fresh(gateway_state const& s, steady_time now)
{
    if (!s.settings.key_bound)
        return true;
    if (!s.config_confirmed)
        return false;
    double const age = to_seconds(now - *s.config_confirmed);
    return age < to_seconds(*s.settings.key_bound) * key_bound_safety_factor;
}

std::optional<duration>
store_available_for(gateway_state const& s, steady_time now)
{
    if (s.is_store_lost || !s.config_confirmed)
        return std::nullopt;
    return now - std::max(s.started, s.outage_ended_at);
}

void record_peer_store(gateway_state& s, peer_store_status const& p)
{
    // A peer without a response since may not have noticed the outage.
    if (p.available_since < s.outage_started_at &&
        p.last_response_at > s.outage_started_at)
        s.has_peer_store_access = true;
}

void record_history_dropped(gateway_state& s, steady_time at)
{
    if (!s.history_dropped || at > *s.history_dropped + history_drop_window)
        s.history_dropped = at;
}

duration config_wait(gateway_state const& s)
{
    auto const n = static_cast<duration::rep>(s.peers.size() + 1);
    return std::min(
        min_config_wait + config_wait_per_gateway * n, max_config_wait);
}

bool is_list_uncertain(gateway_state const& s, steady_time now)
{
    if (now < s.uncertain_until)
        return true;
    if (s.has_peer_store_access)
        return false;
    return s.is_store_lost || now - s.outage_ended_at < reregistration_grace;
}

duration list_uncertainty_left(gateway_state const& s, steady_time now)
{
    if (!is_list_uncertain(s, now))
        return duration{0};
    duration const own = s.is_store_lost
                             ? duration(reregistration_grace)
                             : s.outage_ended_at + reregistration_grace - now;
    return std::max({own, s.uncertain_until - now, duration{0}});
}

bool waits_for_lost_objects(gateway_state const& s, steady_time now)
{
    return s.era.waits_until && now < *s.era.waits_until;
}

bool is_starting(gateway_state const& s, steady_time now)
{
    bool const has_all =
        s.config && s.has_upstreams && !waits_for_lost_objects(s, now);
    return !has_all && !s.drain_started && now - s.started < max_startup_time;
}

bool is_ready(gateway_state const& s, steady_time now)
{
    return s.config && s.has_upstreams && !s.drain_started &&
           !waits_for_lost_objects(s, now) && are_keys_fresh(s, now);
}

std::size_t cold_share_of(gateway_state const& s, upstream_state const& u)
{
    gateway_service const* const service =
        s.config ? find_service(*s.config, u.info.service) : nullptr;
    if (service == nullptr || service->cold_per_second <= 0)
        return SIZE_MAX;
    if (boot_now() < s.started + cold_send_pause)
        return 0;
    return cold_share(
        {.per_second = service->cold_per_second,
         .factor = s.settings.cold_factor,
         .tolerance = s.settings.cold_tolerance},
        u.info.id, s.settings.instance, s.gateways);
}

version_evidence pooled_evidence(rollout_progress const& t)
{
    version_evidence sum = t.own;
    for (auto const& [name, e] : t.peers)
    {
        sum.target.answers += e.target.answers;
        sum.target.bad += e.target.bad;
        sum.others.answers += e.others.answers;
        sum.others.bad += e.others.bad;
        add_timing(sum.timing, e.timing);
    }
    return sum;
}

duration elapsed_of(rollout_progress const& t, steady_time now)
{
    return now - t.first_seen;
}

version_rule version_rule_of(
    gateway_state const& s, std::string_view service,
    std::string const& session, std::uint64_t hash, steady_time now)
{
    auto const it = s.rollouts.find(service);
    if (it != s.rollouts.end())
    {
        rollout_progress const& t = it->second;
        bool const is_first = is_first_half(t.order, elapsed_of(t, now));
        // Later a session may switch to the target, and all gateways select
        // the same sessions by their hash.
        std::string_view const pinned =
            is_first ? pinned_version(s.sessions, session, now)
                     : std::string_view();
        version_rule rule = apply_rollout(
            t.order, t.is_known_bad, pinned,
            canary_probability(t.canary, !session.empty(), is_first), hash);
        rule.prefers_consolidation = rule.may_fall_back && is_first;
        return rule;
    }
    auto const default_version = s.default_versions.find(service);
    if (default_version == s.default_versions.end())
        return {};
    return {.only = default_version->second};
}

} // namespace marjorambeam
