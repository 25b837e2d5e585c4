#include "gateway/limit_sharing.hpp"

#include "base/hash.hpp"
#include "gateway/reader_election.hpp"
#include "wire/value.hpp"

#include <algorithm>
#include <cmath>

namespace marjorambeam
{
namespace
{

// The live gateways that are not stopping, and the number of possible ones.
struct live_gateways
{
    std::vector<std::string> names;
    std::size_t possible = 0;
};

live_gateways find_live_gateways(gateway_state const& s, steady_time now)
{
    live_gateways g;
    if (!s.drain_started)
    {
        g.names.push_back(s.settings.instance);
        g.possible = 1;
    }
    for (auto const& [name, p] : s.peers)
    {
        if (p.is_stopping)
            continue;
        if (is_live(s, p, now))
            g.names.push_back(name);
        steady_time const heard = std::max(p.last_received_at, s.started);
        if (now - heard < partition_memory)
            ++g.possible;
    }
    return g;
}

std::uint64_t digest_of(live_gateways const& g)
{
    std::uint64_t d = g.possible;
    for (std::string const& it : g.names)
        d = hash64(it, d);
    return d;
}

// Assigns this gateway's share, or the sharer that it claims tokens from.
void assign_share(
    limit_gate& gate, std::string const& upstream, double per_second,
    sharer_view const& view, steady_time opens_at, steady_time now)
{
    std::vector<std::size_t> const sharers =
        limit_sharers(per_second, upstream, view);
    bool const is_sharer = std::any_of(
        sharers.begin(), sharers.end(),
        [&](std::size_t it) { return view.live[it] == view.self; });
    double const share =
        is_sharer ? limit_share(per_second, sharers.size(), view) : 0;
    gate.sharer.clear();
    if (!is_sharer && !sharers.empty())
        gate.sharer = view.live[sharers[hash64(view.self) % sharers.size()]];
    set_share(gate, share, opens_at, now);
}

template <class Message>
result<Message> decode_message(peer_call const& call)
{
    return decode_value<Message>(call.body, trailing_bytes::ignored);
}

bool is_valid(reported_limit const& l)
{
    return l.per_second == reported_limit::no_limit ||
           (std::isfinite(l.per_second) && l.per_second >= 0);
}

} // namespace

std::vector<std::string> refresh_limit_shares(gateway_state& s, steady_time now)
{
    live_gateways const g = find_live_gateways(s, now);
    std::uint64_t const digest = digest_of(g);
    bool const was_paused = now - s.limit_view.refreshed_at > share_ttl;
    if (digest != s.limit_view.digest || was_paused)
    {
        s.limit_view.digest = digest;
        s.limit_view.changed_at = now;
    }
    s.limit_view.refreshed_at = now;
    s.limit_view.live = g.names.size();
    s.limit_view.possible = g.possible;
    // Two gateways whose views differ may both have the share; the one that
    // gains it waits until the other has had the time to notice.
    steady_time const opens_at =
        s.limit_view.changed_at + live_window(s.peers.size(), false);
    sharer_view const view{
        .self = s.settings.instance, .live = g.names, .possible = g.possible};
    std::vector<std::string> changed;
    for (auto& [upstream, n] : s.upstreams.notices)
    {
        limit_gate& gate = n.gate;
        gate.refreshed_at = now;
        if (!n.limit.per_second)
            continue;
        if (was_paused)
            gate.share_per_second = 0;
        std::uint64_t const inputs =
            hash64(std::to_string(*n.limit.per_second), digest);
        if (gate.view == inputs && !was_paused)
            continue;
        gate.view = inputs;
        double const share_before = gate.share_per_second;
        std::string const sharer_before = gate.sharer;
        if (view.live.empty())
            set_share(gate, 0, opens_at, now);
        else
            assign_share(
                gate, upstream, *n.limit.per_second, view, opens_at, now);
        if (gate.share_per_second != share_before ||
            gate.sharer != sharer_before)
            changed.push_back(upstream);
    }
    return changed;
}

std::vector<limit_report>
make_limit_reports(gateway_state const& s, steady_time now)
{
    std::vector<limit_report> all;
    for (auto const& [upstream, n] : s.upstreams.notices)
    {
        known_limit const& known = n.limit;
        bool const is_news =
            known.per_second || now - known.learned_at < limit_end_reported_for;
        if (known.change == 0 || !is_news)
            continue;
        if (all.empty() || all.back().limits.size() == max_reported_limits)
            all.push_back({.sender = s.settings.instance});
        all.back().limits.push_back(
            {upstream, n.started_unix_ms, known.change,
             known.per_second.value_or(reported_limit::no_limit)});
    }
    return all;
}

std::vector<std::string>
apply_limit_report(gateway_state& s, limit_report const& r, steady_time now)
{
    std::vector<std::string> changed;
    if (!s.peers.contains(r.sender))
        return changed;
    for (reported_limit const& it : r.limits)
    {
        auto const u = s.upstreams.by_id.find(it.upstream);
        bool const is_listed =
            u != s.upstreams.by_id.end() &&
            u->second->info.started_unix_ms == it.started_unix_ms;
        if (!is_listed)
            continue;
        known_limit reported{.change = it.change};
        if (it.per_second != reported_limit::no_limit)
            reported.per_second = it.per_second;
        if (merge_limit(
                s.upstreams.notices, it.upstream, it.started_unix_ms, reported,
                now))
            changed.push_back(it.upstream);
    }
    return changed;
}

peer_call to_call(limit_report const& r)
{
    return {.name = std::string(limit_report_call), .body = encode_value(r)};
}

peer_call to_call(limit_claim const& c)
{
    return {.name = std::string(limit_claim_call), .body = encode_value(c)};
}

peer_call to_call(limit_reply const& r)
{
    return {.name = std::string(limit_reply_call), .body = encode_value(r)};
}

result<limit_report> decode_limit_report(peer_call const& call)
{
    result<limit_report> r = decode_message<limit_report>(call);
    bool const is_sound =
        r && std::all_of(r->limits.begin(), r->limits.end(), is_valid);
    if (r && !is_sound)
        return fail(error_kind::frame_corrupt, "a limit is not a number");
    return r;
}

result<limit_claim> decode_limit_claim(peer_call const& call)
{
    return decode_message<limit_claim>(call);
}

result<limit_reply> decode_limit_reply(peer_call const& call)
{
    return decode_message<limit_reply>(call);
}

} // namespace marjorambeam
