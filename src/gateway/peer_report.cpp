#include "gateway/peer_report.hpp"

#include "base/hash.hpp"

#include <cereal/archives/portable_binary.hpp>
#include <sstream>
#include <unordered_map>

namespace marjorambeam
{
namespace
{

template <class T>
peer_call encode(std::string_view name, T const& body)
{
    std::ostringstream out;
    cereal::PortableBinaryOutputArchive archive(out);
    archive(body);
    return {.name = std::string(name), .body = out.str()};
}

template <class T>
result<T> decode(peer_call const& call)
{
    try
    {
        std::istringstream in(call.body);
        cereal::PortableBinaryInputArchive archive(in);
        T body;
        archive(body);
        return body;
    }
    catch (std::exception const& e)
    {
        return fail(error_kind::frame_corrupt, e.what());
    }
}

void sum_loads(gateway_state& s)
{
    for (auto const& [id, u] : s.upstreams.by_id)
        u->peers = {};
    std::unordered_map<std::uint32_t, upstream_state*> by_number;
    for (auto const& [id, u] : s.upstreams.by_id)
        by_number[u->number] = u.get();
    for (auto const& [name, p] : s.peers)
    {
        for (auto const& [number, load] : p.loads)
        {
            auto const it = by_number.find(number);
            if (it == by_number.end())
                continue;
            it->second->peers.requests += load.requests;
            it->second->peers.work += load.work;
        }
    }
}

} // namespace

std::uint32_t upstream_number(std::string_view id)
{
    return static_cast<std::uint32_t>(hash64(id));
}

gateway_report make_report(gateway_state const& s, steady_time now)
{
    gateway_report r;
    r.sender = s.settings.instance;
    if (s.config && s.config_confirmed)
    {
        r.config_version = s.config->version;
        r.config_age_ms = (now - *s.config_confirmed).count() / 1000 + 1;
    }
    if (auto const kept = store_kept_for(s, now))
        r.store_kept_ms = kept->count() / 1000;
    if (s.store_heard)
        r.store_heard_ms = (now - *s.store_heard).count() / 1000 + 1;
    if (s.history_dropped)
        r.history_dropped_ms = (now - *s.history_dropped).count() / 1000;
    for (auto const& [id, u] : s.upstreams.by_id)
    {
        if (u->requests > 0)
            r.loads.push_back(
                {u->number, static_cast<std::uint16_t>(u->requests),
                 static_cast<float>(u->work)});
    }
    for (auto const& [service, t] : s.shifts)
    {
        duration const elapsed = elapsed_of(t, now);
        r.shifts.push_back(
            {service, t.order.target, elapsed.count() / 1000, t.own});
    }
    return r;
}

void apply_report(
    gateway_state& s, gateway_report const& r, bool is_prompt, steady_time now)
{
    auto const peer = s.peers.find(r.sender);
    if (peer == s.peers.end())
        return;
    if (is_prompt && r.config_age_ms >= 0 && s.config &&
        s.config->version == r.config_version)
        confirm_config(s, now - std::chrono::milliseconds(r.config_age_ms));
    if (is_prompt && r.store_kept_ms >= 0 && r.store_heard_ms >= 0)
        note_peer_store(
            s,
            {.kept = std::chrono::milliseconds(r.store_kept_ms),
             .heard = std::chrono::milliseconds(r.store_heard_ms)},
            now);
    if (is_prompt && r.history_dropped_ms >= 0)
        note_history_dropped(
            s, now - std::chrono::milliseconds(r.history_dropped_ms));
    if (s.config && r.config_version > s.config->version && !s.config_behind)
        s.config_behind = now;
    peer->second.heard_at = now;
    peer->second.loads.clear();
    for (reported_load const& it : r.loads)
        peer->second.loads[it.upstream] = {it.requests, it.work};
    sum_loads(s);
    for (reported_shift const& it : r.shifts)
    {
        auto const t = s.shifts.find(it.service);
        if (t == s.shifts.end() || t->second.order.target != it.target)
            continue;
        t->second.peers[r.sender] = it.evidence;
        duration const elapsed = std::chrono::milliseconds(it.elapsed_ms);
        if (elapsed > now - t->second.first_seen)
            t->second.first_seen = now - elapsed;
    }
}

void expire_reports(gateway_state& s, steady_time now)
{
    bool has_expired = false;
    for (auto& [name, p] : s.peers)
    {
        if (p.loads.empty() || now - p.heard_at < report_memory)
            continue;
        p.loads.clear();
        has_expired = true;
    }
    if (has_expired)
        sum_loads(s);
}

peer_call to_call(gateway_report const& r)
{
    return encode(gateway_report_call, r);
}

peer_call to_call(upstream_break const& b)
{
    return encode(upstream_break_call, b);
}

result<gateway_report> report_of(peer_call const& call)
{
    return decode<gateway_report>(call);
}

result<upstream_break> break_of(peer_call const& call)
{
    return decode<upstream_break>(call);
}

} // namespace marjorambeam
