#include "gateway/store_era.hpp"

#include "gateway/reader_election.hpp"

#include <algorithm>
#include <utility>

namespace marjorambeam
{
namespace
{

// Order of the steps of a rollout.
int step_of(version_rollout const& o)
{
    if (o.state_target != o.target)
        return 0;
    switch (o.state)
    {
    case version_rollout_state::completed:
    case version_rollout_state::reverted:
        return 3;
    case version_rollout_state::in_progress:
        return o.takes_all ? 2 : 1;
    default:
        return 0;
    }
}

void begin_era(gateway_state& s, steady_time now)
{
    s.era.begun = now;
    s.era.config_version = s.config ? s.config->version : 0;
    s.era.listed_config_version = 0;
    s.era.is_settled = false;
    s.era.is_recorded = false;
    s.era.unverified.reset();
    s.era.waits_until.reset(); // it has heard of the era before
    // An outage may have been too short to be noticed.
    s.uncertain_until = std::max(s.uncertain_until, now + rewrite_grace);
    for (auto& [service, t] : s.rollouts)
        t.order.revision = 0;
    for (auto& [key, it] : s.quarantine.entries)
    {
        it.is_stored = false;
        it.since = now;
    }
}

} // namespace

era_check check_era(gateway_state& s, std::uint64_t era, steady_time now)
{
    if (era == 0 || era == s.era.number)
        return era_check::current;
    if (era < s.era.number)
        return era_check::outdated;
    bool const is_first = std::exchange(s.era.number, era) == 0;
    if (is_first)
        return era_check::current;
    begin_era(s, now);
    return era_check::begun;
}

void record_era_lookup(gateway_state& s, bool is_recorded, steady_time now)
{
    if (s.era.is_recorded)
        return; // a later era has begun meanwhile
    s.era.is_recorded = is_recorded;
    std::optional<steady_time> const unverified =
        std::exchange(s.era.unverified, {});
    if (is_recorded)
    {
        if (unverified)
            confirm_config(s, *unverified);
        return;
    }
    s.era.begun = now;
    s.era.is_settled = false;
    s.era.waits_until = now + rewrite_grace;
}

bool is_record_due(gateway_state const& s, steady_time now)
{
    bool const is_over = s.era.begun && !is_rewriting(s, now);
    return is_over && s.era.is_recorded == false && !s.is_store_lost &&
           std::none_of(
               s.peers.begin(), s.peers.end(),
               [&](auto const& it) {
                   return it.first < s.settings.instance &&
                          is_live(s, it.second, now);
               });
}

bool is_rewriting(gateway_state const& s, steady_time now)
{
    return s.era.begun && now < *s.era.begun + rewrite_grace;
}

void record_listed_config(gateway_state& s, std::int64_t version)
{
    s.era.listed_config_version = version;
}

void record_confirmation(gateway_state& s, steady_time as_of, steady_time now)
{
    if (!s.era.is_recorded)
        s.era.unverified = std::max(s.era.unverified.value_or(as_of), as_of);
    else if (is_confirmation(s, as_of, now))
        confirm_config(s, as_of);
}

bool is_confirmation(gateway_state const& s, steady_time as_of, steady_time now)
{
    if (!s.era.begun || !s.config)
        return true;
    std::int64_t const version = s.config->version;
    // The first configuration of a gateway may be the older copy's.
    bool const is_rewritten =
        s.era.config_version > 0 && version > s.era.config_version;
    if (as_of < *s.era.begun + rewrite_grace && !is_rewritten)
        return false;
    if (s.era.listed_config_version < version)
        return false;
    return std::none_of(
        s.peers.begin(), s.peers.end(),
        [&](auto const& it) {
            return it.second.config_version > version &&
                   is_live(s, it.second, now);
        });
}

void record_gone_upstream(
    gateway_state& s, upstream_info const& u, steady_time now)
{
    auto& gone = s.era.gone;
    if (gone.size() >= max_gone_upstreams && !gone.contains(u.id))
        gone.erase(std::min_element(
            gone.begin(), gone.end(),
            [](auto const& a, auto const& b)
            { return a.second.at < b.second.at; }));
    gone[u.id] = {u.started_unix_ms, now};
}

bool is_outdated_entry(
    gateway_state const& s, upstream_info const& u, steady_time now)
{
    if (!s.era.begun || now >= *s.era.begun + gone_entry_ttl)
        return false;
    auto const known = s.upstreams.by_id.find(u.id);
    if (known != s.upstreams.by_id.end() &&
        u.started_unix_ms < known->second->info.started_unix_ms)
        return true;
    auto const gone = s.era.gone.find(u.id);
    return gone != s.era.gone.end() && gone->second.at < *s.era.begun &&
           u.started_unix_ms <= gone->second.started_unix_ms;
}

void take_order(
    gateway_state const& s, rollout_progress& t, version_rollout order)
{
    t.stored = {order.state, order.state_target, order.takes_all};
    bool const is_behind = s.era.begun && t.order.target == order.target &&
                           step_of(order) < step_of(t.order);
    if (is_behind)
    {
        order.state = t.order.state;
        order.state_target = t.order.state_target;
        order.takes_all = t.order.takes_all;
    }
    t.order = std::move(order);
}

} // namespace marjorambeam
