#include "gateway/peer_report.hpp"

#include "gateway/reader_election.hpp"
#include "wire/value.hpp"

#include <algorithm>
#include <span>
#include <utility>

namespace marjorambeam
{
namespace
{

// Adds a peer's reported load; `sign` is -1 to subtract it.
void add_load(
    upstream_table& b, std::uint32_t number, peer_load const& load, int sign)
{
    auto const it = b.by_number.find(number);
    if (it == b.by_number.end())
        return;
    peer_load& sum = it->second->peers;
    if (sign > 0)
        sum.requests += load.requests;
    else
        sum.requests -= std::min(sum.requests, load.requests);
    sum.work = std::max(sum.work + sign * load.work, 0.0);
}

// Replaces a peer's previous loads without visiting the other peers and
// upstreams: there are hundreds of them, and as many reports per second.
void replace_loads(
    upstream_table& b, gateway_peer& p, std::span<reported_load const> loads)
{
    for (auto const& [number, load] : p.loads)
        add_load(b, number, load, -1);
    p.loads.clear();
    for (reported_load const& it : loads)
    {
        peer_load const load{it.requests, it.work};
        p.loads[it.upstream] = load;
        add_load(b, it.upstream, load, 1);
    }
}

void sum_loads(gateway_state& s)
{
    for (auto const& [id, u] : s.upstreams.by_id)
        u->peers = {};
    for (auto const& [name, p] : s.peers)
    {
        for (auto const& [number, load] : p.loads)
            add_load(s.upstreams, number, load, 1);
    }
}

// Records which incarnation of the instance sent the report. Returns whether it
// is the latest known report.
bool record_incarnation(gateway_peer& p, gateway_report const& r)
{
    if (r.incarnation_id == p.incarnation_id)
    {
        if (r.sequence <= p.sequence)
            return false;
        p.sequence = r.sequence;
        return true;
    }
    if (r.incarnation_id == p.previous_incarnation_id)
        return false;
    p.previous_incarnation_id =
        std::exchange(p.incarnation_id, r.incarnation_id);
    p.sequence = r.sequence;
    return true;
}

void record_reader_state(
    gateway_peer& p, gateway_report const& r, bool is_prompt, steady_time now)
{
    p.is_reader = r.is_reader && r.copies.size() == state_kind_count;
    p.has_store = r.store_available_ms >= 0;
    p.is_stopping = r.is_stopping;
    p.config_version = r.config_version;
    if (is_prompt && r.store_response_age_ms >= 0)
        p.last_store_response_at =
            now - std::chrono::milliseconds(r.store_response_age_ms);
    for (std::size_t i = 0; p.is_reader && i < state_kind_count; ++i)
    {
        p.copies[i].digest = r.copies[i].digest;
        p.copies[i].position = {r.copies[i].era, r.copies[i].revision};
    }
}

constexpr duration min_peer_load_ttl = std::chrono::milliseconds(2500);

} // namespace

duration peer_load_ttl(std::size_t peers)
{
    return std::max(min_peer_load_ttl, live_window(peers, false));
}

gateway_report make_report(gateway_state const& s, steady_time now)
{
    gateway_report r;
    r.sender = s.settings.instance;
    r.incarnation_id = s.self;
    r.sequence = s.reports_sent + 1;
    bool const has_copies = std::all_of(
        s.kinds.begin(), s.kinds.end(),
        [](local_copy const& it) { return it.is_listed; });
    r.is_reader = s.is_reader && !s.is_store_lost && has_copies;
    r.is_stopping = s.drain_started.has_value();
    if (r.is_reader)
    {
        for (local_copy const& it : s.kinds)
            r.copies.push_back(
                {it.digest, it.position.era, it.position.revision});
    }
    if (s.config && s.config_confirmed)
    {
        r.config_version = s.config->version;
        r.config_age_ms = (now - *s.config_confirmed).count() / 1000 + 1;
    }
    if (auto const available = store_available_for(s, now))
        r.store_available_ms = available->count() / 1000;
    if (s.last_store_response_at)
        r.store_response_age_ms =
            (now - *s.last_store_response_at).count() / 1000 + 1;
    if (s.history_dropped)
        r.history_dropped_ms = (now - *s.history_dropped).count() / 1000;
    for (auto const& [id, u] : s.upstreams.by_id)
    {
        if (u->requests > 0)
            r.loads.push_back(
                {u->number, static_cast<std::uint16_t>(u->requests),
                 static_cast<float>(u->work)});
    }
    r.samples = s.upstreams.pending_samples;
    for (auto const& [service, t] : s.rollouts)
    {
        duration const elapsed = elapsed_of(t, now);
        r.rollouts.push_back(
            {service, t.order.target, elapsed.count() / 1000, t.own});
    }
    return r;
}

report_outcome apply_report(
    gateway_state& s, gateway_report const& r, bool is_prompt, steady_time now)
{
    auto const peer = s.peers.find(r.sender);
    if (peer == s.peers.end())
        return report_outcome::unknown_sender;
    if (!record_incarnation(peer->second, r))
        return report_outcome::outdated;
    record_reader_state(peer->second, r, is_prompt, now);
    if (is_prompt && r.config_age_ms >= 0 && s.config &&
        s.config->version == r.config_version)
        confirm_config(s, now - std::chrono::milliseconds(r.config_age_ms));
    if (is_prompt && r.store_available_ms >= 0 && r.store_response_age_ms >= 0)
        record_peer_store(
            s,
            {.available = std::chrono::milliseconds(r.store_available_ms),
             .last_response =
                 std::chrono::milliseconds(r.store_response_age_ms)},
            now);
    if (is_prompt && r.history_dropped_ms >= 0)
        record_history_dropped(
            s, now - std::chrono::milliseconds(r.history_dropped_ms));
    std::int64_t const own_version = s.config ? s.config->version : 0;
    if (r.config_version > own_version && !s.config_behind_since)
        s.config_behind_since = now;
    peer->second.last_received_at = now;
    replace_loads(s.upstreams, peer->second, r.loads);
    for (pace_sample const& it : r.samples)
    {
        auto const u = s.upstreams.by_number.find(it.upstream);
        if (u != s.upstreams.by_number.end())
            add_peer_sample(*u->second, it);
    }
    for (reported_rollout const& it : r.rollouts)
    {
        auto const t = s.rollouts.find(it.service);
        if (t == s.rollouts.end() || t->second.order.target != it.target)
            continue;
        t->second.peers[r.sender] = it.evidence;
        duration const elapsed = std::chrono::milliseconds(it.elapsed_ms);
        if (elapsed > now - t->second.first_seen)
            t->second.first_seen = now - elapsed;
    }
    return report_outcome::applied;
}

void expire_reports(gateway_state& s, steady_time now)
{
    bool has_expired = false;
    for (auto& [name, p] : s.peers)
    {
        if (p.loads.empty() ||
            now - p.last_received_at < peer_load_ttl(s.peers.size()))
            continue;
        p.loads.clear();
        has_expired = true;
    }
    if (has_expired)
        sum_loads(s);
}

peer_call to_call(gateway_report const& r)
{
    return {.name = std::string(gateway_report_call), .body = encode_value(r)};
}

result<gateway_report> decode_report(peer_call const& call)
{
    return decode_value<gateway_report>(call.body, trailing_bytes::ignored);
}

} // namespace marjorambeam
