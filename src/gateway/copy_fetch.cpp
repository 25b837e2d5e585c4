#include "gateway/copy_fetch.hpp"

#include "gateway/reader_election.hpp"

#include <algorithm>

namespace marjorambeam
{
namespace
{

// A relayed change arrives within this time after the report that announces it.
constexpr duration max_relay_delay = std::chrono::milliseconds(400);

std::size_t index_of(state_kind kind)
{
    return static_cast<std::size_t>(kind);
}

void set_lag(
    copy_lag& lag, lag_reason reason, std::string const& peer, steady_time now)
{
    if (reason == lag_reason::none)
    {
        lag.since.reset();
        lag.failures = 0;
    }
    else if (!lag.since)
    {
        lag.since = now;
    }
    lag.reason = reason;
    lag.peer = peer;
}

} // namespace

std::string_view to_string(lag_reason r)
{
    switch (r)
    {
    case lag_reason::differs:
        return "differs";
    case lag_reason::earlier_era:
        return "earlier_era";
    case lag_reason::paused:
        return "paused";
    default:
        return "-";
    }
}

std::string_view to_string(state_kind kind)
{
    switch (kind)
    {
    case state_kind::upstreams:
        return "upstreams";
    case state_kind::rollouts:
        return "rollouts";
    case state_kind::zones:
        return "zones";
    case state_kind::quarantines:
        return "quarantines";
    default:
        return "gateways";
    }
}

void record_missed_relays(gateway_state& s, state_kind kind, steady_time now)
{
    s.kinds[index_of(kind)].missed_relays_at = now;
}

void update_lag(gateway_state& s, state_kind kind, steady_time now)
{
    std::size_t const i = index_of(kind);
    local_copy& v = s.kinds[i];
    std::string of_newer_era;
    std::string of_other_digest;
    for (auto const& [name, p] : s.peers)
    {
        peer_copy const& c = p.copies[i];
        if (c.position <= v.position || !is_live_reader(s, p, now))
            continue;
        // Digests of two eras tell nothing.
        if (c.position.era > v.position.era)
            of_newer_era = name;
        // The answer to a fetch is newer than what readers reported before it.
        if (c.digest != v.digest && c.position > c.fetched_position)
            of_other_digest = name;
    }
    if (of_other_digest.empty())
        v.differs_since.reset();
    else if (!v.differs_since)
        v.differs_since = now;
    bool const differs =
        v.differs_since && now - *v.differs_since > max_relay_delay;
    if (!of_newer_era.empty()) // its changes are not relayed to this copy
        set_lag(v.lag, lag_reason::earlier_era, of_newer_era, now);
    else if (differs)
        set_lag(v.lag, lag_reason::differs, of_other_digest, now);
    else if (v.missed_relays_at)
        set_lag(v.lag, lag_reason::paused, {}, now);
    else
        set_lag(v.lag, lag_reason::none, {}, now);
}

bool is_fetch_due(gateway_state const& s, state_kind kind, steady_time now)
{
    local_copy const& v = s.kinds[index_of(kind)];
    return v.lag.reason != lag_reason::none && now >= v.next_fetch;
}

void record_fetch_sent(gateway_state& s, state_kind kind, steady_time now)
{
    std::size_t const i = index_of(kind);
    s.kinds[i].fetch_sent_at = now;
    s.kinds[i].next_fetch = now + fetch_interval;
    for (auto& [name, p] : s.peers)
        p.copies[i].asked_position = p.copies[i].position;
}

void record_read(gateway_state& s, state_kind kind, steady_time sent)
{
    std::size_t const i = index_of(kind);
    local_copy& v = s.kinds[i];
    if (v.missed_relays_at && sent >= *v.missed_relays_at)
        v.missed_relays_at.reset();
    if (!v.fetch_sent_at || sent < *v.fetch_sent_at)
        return;
    for (auto& [name, p] : s.peers)
        p.copies[i].fetched_position = p.copies[i].asked_position;
    v.differs_since.reset();
    clear_lag(s, kind);
}

void clear_lag(gateway_state& s, state_kind kind)
{
    local_copy& v = s.kinds[index_of(kind)];
    v.fetch_sent_at.reset();
    v.lag = {};
}

void record_fetch_failed(gateway_state& s, state_kind kind, steady_time now)
{
    local_copy& v = s.kinds[index_of(kind)];
    if (!v.fetch_sent_at)
        return;
    v.fetch_sent_at.reset();
    ++v.lag.failures;
    v.next_fetch = std::max(v.next_fetch, now + fetch_retry_delay);
}

void set_lag_gauges(gateway_state& s, steady_time now)
{
    constexpr std::string_view name = "copy_behind_seconds";
    s.counters.clear_gauge(name);
    for (std::size_t i = 0; i < state_kind_count; ++i)
    {
        local_copy const& v = s.kinds[i];
        if (!v.lag.since)
            continue;
        std::string_view const progress = v.fetch_sent_at      ? "asked"
                                          : v.lag.failures > 0 ? "failed"
                                                               : "waiting";
        s.counters.set(
            name,
            {.kind = to_string(static_cast<state_kind>(i)),
             .progress = progress},
            to_seconds(now - *v.lag.since));
    }
}

} // namespace marjorambeam
