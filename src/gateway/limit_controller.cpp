#include "gateway/limit_controller.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <utility>

namespace marjorambeam
{
namespace
{

// Notice of this incarnation of the upstream, or null.
upstream_notice* find_notice_of(
    gateway_state& s, std::string_view upstream, std::int64_t started_unix_ms)
{
    auto const it = s.upstreams.notices.find(upstream);
    bool const is_found = it != s.upstreams.notices.end() &&
                          it->second.started_unix_ms == started_unix_ms;
    return is_found ? &it->second : nullptr;
}

} // namespace

limit_controller::limit_controller(
    gateway_state& state, datagram_socket& peers,
    std::function<void(steady_time)> on_claim_answer)
    : state_(state)
    , peers_(peers)
    , on_claim_answer_(std::move(on_claim_answer))
{
}

void limit_controller::tick(steady_time now)
{
    for (std::string const& it : refresh_limit_shares(state_, now))
        log_share(it, state_.upstreams.notices.at(it));
}

void limit_controller::log_share(
    std::string const& upstream, upstream_notice const& n)
{
    log_.write(
        log_event::limit_share_changed,
        {{"upstream", upstream},
         {"started_ms", std::to_string(n.started_unix_ms)},
         {"limit_per_s", limit_text(n.limit.per_second)},
         {"share_per_s", limit_text(n.gate.share_per_second)},
         {"sharer", n.gate.sharer.empty() ? "-" : n.gate.sharer},
         {"live", std::to_string(state_.limit_view.live)},
         {"possible", std::to_string(state_.limit_view.possible)}});
}

void limit_controller::set_gauges()
{
    double limits = 0;
    double shares = 0;
    std::size_t upstreams = 0;
    for (auto const& [upstream, n] : state_.upstreams.notices)
    {
        if (!n.limit.per_second)
            continue;
        ++upstreams;
        limits += *n.limit.per_second;
        shares += n.gate.share_per_second;
    }
    metrics& m = state_.counters;
    m.set("limited_upstreams", static_cast<double>(upstreams));
    m.set("limits_per_second", limits);
    m.set("limit_shares_per_second", shares);
}

void limit_controller::send_reports(steady_time now)
{
    for (limit_report const& it : make_limit_reports(state_, now))
    {
        message const m = to_call(it);
        for (auto const& [name, p] : state_.peers)
            peers_.send(p.address, m);
    }
}

void limit_controller::claim_token(std::string_view upstream, steady_time now)
{
    auto const it = state_.upstreams.notices.find(upstream);
    if (it == state_.upstreams.notices.end())
        return;
    upstream_notice& n = it->second;
    auto const peer = state_.peers.find(n.gate.sharer);
    if (peer == state_.peers.end() || !may_claim(n.gate, now))
        return;
    if (n.gate.is_claim_pending)
        state_.counters.count("limit_claims_total", "lost");
    message const m = to_call(limit_claim{
        .sender = state_.settings.instance,
        .upstream = it->first,
        .started_unix_ms = n.started_unix_ms,
        .number = begin_claim(n.gate, now)});
    peers_.send(peer->second.address, m);
}

bool limit_controller::on_message(peer_call const& call, steady_time now)
{
    if (call.name == limit_report_call)
        on_report(call, now);
    else if (call.name == limit_claim_call)
        on_claim(call, now);
    else if (call.name == limit_reply_call)
        on_reply(call, now);
    else
        return false;
    return true;
}

void limit_controller::on_report(peer_call const& call, steady_time now)
{
    result<limit_report> const r = decode_limit_report(call);
    if (!r)
    {
        state_.counters.count("bad_datagrams_total", "limit report");
        return;
    }
    for (std::string const& it : apply_limit_report(state_, *r, now))
    {
        known_limit const& known = state_.upstreams.notices.at(it).limit;
        state_.counters.count(
            "upstream_notices_total",
            known.per_second ? "peer_limit" : "peer_no_limit");
        log_.write(
            log_event::upstream_limit_reported,
            {{"upstream", it},
             {"peer", r->sender},
             {"limit_per_s", limit_text(known.per_second)},
             {"change", std::to_string(known.change)}});
    }
}

void limit_controller::on_claim(peer_call const& call, steady_time now)
{
    result<limit_claim> const c = decode_limit_claim(call);
    auto const peer = c ? state_.peers.find(c->sender) : state_.peers.end();
    if (peer == state_.peers.end())
    {
        state_.counters.count("bad_datagrams_total", "limit claim");
        return;
    }
    upstream_notice* const n =
        find_notice_of(state_, c->upstream, c->started_unix_ms);
    std::uint64_t const hash = hash64(c->sender, c->number);
    claim_answer const a = n == nullptr
                               ? claim_answer{.retry_after = claim_retry}
                               : answer_claim(n->gate, hash, now);
    state_.counters.count(
        "limit_claims_answered_total", a.is_granted ? "granted" : "denied");
    message const m = to_call(limit_reply{
        .upstream = c->upstream,
        .started_unix_ms = c->started_unix_ms,
        .number = c->number,
        .is_granted = a.is_granted,
        .retry_after_ms = a.retry_after.count() / 1000 + 1});
    peers_.send(peer->second.address, m);
}

void limit_controller::on_reply(peer_call const& call, steady_time now)
{
    result<limit_reply> const r = decode_limit_reply(call);
    if (!r)
    {
        state_.counters.count("bad_datagrams_total", "limit reply");
        return;
    }
    upstream_notice* const n =
        find_notice_of(state_, r->upstream, r->started_unix_ms);
    duration const retry_after = std::clamp<duration>(
        std::chrono::milliseconds(r->retry_after_ms), duration{0},
        max_claim_delay);
    bool const is_recorded =
        n != nullptr &&
        record_claim_answer(
            n->gate, r->number,
            {.is_granted = r->is_granted, .retry_after = retry_after}, now);
    if (!is_recorded)
    {
        state_.counters.count("limit_claims_total", "late");
        return;
    }
    state_.counters.count(
        "limit_claims_total", r->is_granted ? "granted" : "denied");
    on_claim_answer_(now);
}

} // namespace marjorambeam
