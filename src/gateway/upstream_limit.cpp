#include "gateway/upstream_limit.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace marjorambeam
{
namespace
{

constexpr std::uint64_t spread_steps = 1000;

// The limit as a number; no limit is above all others.
double as_number(std::optional<double> per_second)
{
    return per_second.value_or(std::numeric_limits<double>::infinity());
}

double max_tokens(limit_gate const& g)
{
    return std::max(1.0, g.share_per_second * to_seconds(token_burst));
}

double tokens_at(limit_gate const& g, steady_time now)
{
    steady_time const from = std::max(g.filled_at, g.opens_at);
    double const accrued =
        now > from ? g.share_per_second * to_seconds(now - from) : 0;
    return std::min(g.tokens + accrued, max_tokens(g));
}

bool is_valid(limit_gate const& g, steady_time now)
{
    return g.share_per_second > 0 && now >= g.opens_at &&
           now - g.refreshed_at <= share_ttl;
}

bool has_timed_out(limit_gate const& g, steady_time now)
{
    return now - g.claimed_at > claim_timeout;
}

} // namespace

std::string limit_text(std::optional<double> per_second)
{
    return per_second ? std::to_string(*per_second) : "none";
}

bool record_response_limit(
    known_limit& known, std::optional<double> per_second, steady_time sent,
    steady_time now)
{
    bool const may_be_older = sent < known.learned_at;
    bool const is_lower = as_number(per_second) < as_number(known.per_second);
    if (per_second == known.per_second || (may_be_older && !is_lower))
        return false;
    known = {
        .change = known.change + 1,
        .per_second = per_second,
        .learned_at = now};
    return true;
}

bool merge_known_limit(
    known_limit& known, known_limit const& peer, steady_time now)
{
    bool const is_later =
        peer.change > known.change ||
        (peer.change == known.change &&
         as_number(peer.per_second) < as_number(known.per_second));
    if (!is_later)
        return false;
    known = {
        .change = peer.change,
        .per_second = peer.per_second,
        .learned_at = now};
    return true;
}

std::vector<std::size_t> limit_sharers(
    double per_second, std::string_view upstream, sharer_view const& view)
{
    double const useful = std::floor(per_second / min_share_per_second);
    auto const most = static_cast<double>(view.live.size());
    auto const n = static_cast<std::size_t>(std::clamp(useful, 1.0, most));
    return rendezvous_order(upstream, view.live, n);
}

double
limit_share(double per_second, std::size_t sharers, sharer_view const& view)
{
    auto const live = static_cast<double>(view.live.size());
    auto const possible =
        static_cast<double>(std::max(view.possible, view.live.size()));
    return std::max(per_second, min_limit_per_second) * live / possible /
           static_cast<double>(sharers);
}

void set_share(
    limit_gate& g, double per_second, steady_time opens_at, steady_time now)
{
    if (g.share_per_second > 0)
    {
        g.tokens = tokens_at(g, now);
    }
    else
    {
        g.tokens = 0;
        g.opens_at = opens_at;
    }
    g.filled_at = now;
    g.share_per_second = per_second;
    g.tokens = std::min(g.tokens, max_tokens(g));
}

bool has_token(limit_gate const& g, steady_time now)
{
    if (g.has_granted_token && !has_timed_out(g, now))
        return true;
    return is_valid(g, now) && tokens_at(g, now) >= 1;
}

void take_token(limit_gate& g, steady_time now)
{
    if (g.has_granted_token && !has_timed_out(g, now))
    {
        g.has_granted_token = false;
        return;
    }
    g.tokens = tokens_at(g, now) - 1;
    g.filled_at = now;
}

steady_time next_token_at(limit_gate const& g, steady_time now)
{
    if (has_token(g, now) || may_claim(g, now))
        return now;
    if (g.share_per_second <= 0)
    {
        bool const is_open = g.is_claim_pending && !has_timed_out(g, now);
        return is_open ? now : std::max(g.claimable_at, now);
    }
    double const missing = std::max(1 - tokens_at(g, now), 0.0);
    return std::max(now, g.opens_at) +
           from_seconds(missing / g.share_per_second);
}

bool is_contended(limit_gate const& g, steady_time now)
{
    return now - g.denied_at < claim_contention;
}

bool may_claim(limit_gate const& g, steady_time now)
{
    return g.share_per_second <= 0 && !g.sharer.empty() &&
           now >= g.claimable_at &&
           (!g.is_claim_pending || has_timed_out(g, now));
}

std::uint64_t begin_claim(limit_gate& g, steady_time now)
{
    g.is_claim_pending = true;
    g.has_granted_token = false;
    g.claimed_at = now;
    g.claimable_at = now + claim_retry;
    return ++g.claim;
}

claim_answer answer_claim(limit_gate& g, std::uint64_t hash, steady_time now)
{
    if (g.share_per_second <= 0)
        return {.retry_after = claim_retry};
    if (is_valid(g, now) && tokens_at(g, now) >= 1)
    {
        g.tokens = tokens_at(g, now) - 1;
        g.filled_at = now;
        return {.is_granted = true};
    }
    double const ahead = static_cast<double>(g.denials.count(now));
    g.denials.add(now);
    g.denied_at = now;
    double const part = static_cast<double>(hash % spread_steps) /
                        static_cast<double>(spread_steps);
    duration const until_next = next_token_at(g, now) - now;
    duration const queue =
        from_seconds((1 + ahead) * part / g.share_per_second);
    return {.retry_after = std::min(until_next + queue, max_claim_delay)};
}

bool record_claim_answer(
    limit_gate& g, std::uint64_t number, claim_answer const& a, steady_time now)
{
    if (!g.is_claim_pending || number != g.claim || has_timed_out(g, now))
        return false;
    g.is_claim_pending = false;
    g.has_granted_token = a.is_granted;
    g.claimable_at = a.is_granted ? now : now + a.retry_after;
    return true;
}

duration limit_backoff(limit_refusal const& r, std::uint64_t hash)
{
    double const per_gateway =
        std::max(r.limits_per_second, min_limit_per_second) /
        static_cast<double>(std::max<std::size_t>(r.gateways, 1));
    double const backlog_s = std::min(
        static_cast<double>(r.refused) / per_gateway, to_seconds(max_backoff));
    double const part = static_cast<double>(hash % spread_steps) /
                        static_cast<double>(spread_steps);
    duration const next = std::clamp(r.until_next, duration{0}, max_backoff);
    return next + from_seconds(backlog_s * part);
}

} // namespace marjorambeam
