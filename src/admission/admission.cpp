#include "admission/admission.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <cmath>

namespace marjorambeam
{
namespace
{

constexpr double bytes_per_token = 4;
// A batch covers more than the recent use, so that a growing load does not wait
// for each grant.
constexpr double batch_growth = 1.5;
// Minimum requests per lease at which an entry fetches batches. With fewer, a
// batch saves few allowance requests but holds part of a small allowance that
// the customer's next request may need at another entry.
constexpr double min_batch_requests = 4;
// Fraction of a bucket that one batch may take beyond the needed amount, so
// that some is left for the other entries.
constexpr double max_batch_share = 0.5;
constexpr auto day_length = std::chrono::hours(24);

std::int64_t day_of(wall_time t)
{
    return std::chrono::floor<std::chrono::days>(t).time_since_epoch().count();
}

duration until_next_day(wall_time t)
{
    return std::chrono::floor<std::chrono::days>(t) + day_length - t;
}

double request_capacity(allowance const& a)
{
    return std::max(1.0, a.requests_per_second * a.burst_seconds);
}

double token_capacity(allowance const& a)
{
    return std::max(1.0, a.tokens_per_second * a.burst_seconds);
}

// `initial` is the level of a bucket that was not used before.
void refill(
    bucket& b, double rate, double capacity, double initial, steady_time now)
{
    if (!b.is_started)
    {
        b = bucket{std::min(capacity, initial), now, true};
        return;
    }
    double const dt = std::max(0.0, to_seconds(now - b.updated));
    b.level = std::min(capacity, b.level + rate * dt);
    b.updated = std::max(b.updated, now);
}

// Returns the time until the bucket admits `need`. A need above the capacity is
// admitted by a full bucket.
duration time_until(bucket const& b, double need, double rate, double capacity)
{
    double const missing = std::min(need, capacity) - b.level;
    if (missing <= 0)
        return duration(0);
    if (rate <= 0)
        return std::chrono::hours(1);
    return from_seconds(missing / rate) + duration(1);
}

void record_use(entry_allowance& s, request_cost cost, steady_time now)
{
    double const dt = std::max(0.0, to_seconds(now - s.recent_updated));
    double const keep = dt > 0 ? std::exp(-dt / to_seconds(grant_lease)) : 1;
    s.recent.requests = s.recent.requests * keep + 1;
    s.recent.tokens = s.recent.tokens * keep + cost.tokens;
    s.recent.spend = static_cast<micro_credits>(
        static_cast<double>(s.recent.spend) * keep +
        static_cast<double>(cost.spend));
    s.recent_updated = std::max(s.recent_updated, now);
}

void roll_over_day(entry_allowance& s, wall_time wall)
{
    std::int64_t const today = day_of(wall);
    if (s.day >= today)
        return;
    s.day = today;
    s.left.spend = 0;
    s.unreported.spend = 0;
    s.in_flight.spend = 0;
    s.fallback_spent = 0;
    s.known_spent = 0;
    if (s.denied_kind == error_kind::spend_limit_reached)
        s.denied_until = steady_time{};
}

bool covers(
    entry_allowance const& s, allowance const& limits, request_cost cost)
{
    bool const has_spend =
        limits.spend_limit_per_day == 0 || s.left.spend >= cost.spend;
    return s.left.requests >= 1 && s.left.tokens >= cost.tokens && has_spend;
}

bool uses_batches(entry_allowance const& s)
{
    return s.recent.requests >= min_batch_requests;
}

bool needs_prefetch(entry_allowance const& s, steady_time now)
{
    if (!uses_batches(s))
        return false;
    return s.left.requests < s.recent.requests * prefetch_threshold ||
           s.left.tokens < s.recent.tokens * prefetch_threshold ||
           s.lease_end - now < prefetch_time;
}

bool is_denied(entry_allowance const& s, request_cost cost, steady_time now)
{
    if (now >= s.denied_until)
        return false;
    if (s.denied_kind == error_kind::spend_limit_reached)
        return cost.spend >= s.denied.spend;
    return cost.tokens >= s.denied.tokens;
}

amounts sum(amounts const& a, amounts const& b)
{
    return {a.requests + b.requests, a.tokens + b.tokens, a.spend + b.spend};
}

bool is_zero(amounts const& a)
{
    return a.requests == 0 && a.tokens == 0 && a.spend == 0;
}

admission_decision refuse(error_kind kind, duration retry_after)
{
    return {admission_outcome::refused, false, kind, retry_after};
}

admission_decision admit_from_fallback_share(
    entry_allowance& s, allowance const& limits, request_cost cost,
    admission_view const& view)
{
    auto const n =
        static_cast<double>(std::max<std::size_t>(1, view.live_entries));
    double const request_rate = limits.requests_per_second / n;
    double const token_rate = limits.tokens_per_second / n;
    double const requests = std::max(1.0, request_capacity(limits) / n);
    double const tokens = std::max(1.0, token_capacity(limits) / n);
    refill(s.fallback_requests, request_rate, requests, requests, view.now);
    refill(s.fallback_tokens, token_rate, tokens, tokens, view.now);
    if (limits.spend_limit_per_day > 0)
    {
        micro_credits const rest = limits.spend_limit_per_day - s.known_spent;
        auto const share =
            static_cast<micro_credits>(static_cast<double>(rest) / n);
        if (s.fallback_spent + cost.spend > share)
            return refuse(
                error_kind::spend_limit_reached, until_next_day(view.wall));
    }
    duration const wait = std::max(
        time_until(s.fallback_requests, 1, request_rate, requests),
        time_until(s.fallback_tokens, cost.tokens, token_rate, tokens));
    if (wait > duration(0))
        return refuse(error_kind::rate_limited, wait);
    s.fallback_requests.level -= 1;
    s.fallback_tokens.level -= cost.tokens;
    s.fallback_spent += cost.spend;
    s.unreported = sum(s.unreported, {1, cost.tokens, cost.spend});
    return {admission_outcome::admitted, false, {}, duration(0)};
}

// Takes the unused amounts to return to the owner after the lease. Spending
// does not expire; requests and tokens that are returned late would allow a
// second burst.
amounts release_expired_lease(entry_allowance& s, steady_time now)
{
    if (now < s.lease_end)
        return {};
    amounts unused = s.left;
    if (now - s.lease_end > grant_lease)
        unused = {0, 0, s.left.spend};
    s.left = {};
    return unused;
}

// Fills the fields common to all allowance requests.
allowance_request start_request(entry_allowance& s, admission_view const& view)
{
    roll_over_day(s, view.wall);
    allowance_request r;
    r.returned = release_expired_lease(s, view.now);
    r.unreported = s.unreported;
    s.in_flight = sum(s.in_flight, s.unreported);
    s.unreported = {};
    r.day = s.day;
    r.known_spent = s.known_spent;
    return r;
}

// Raises `wanted` to a batch that covers the recent use.
void extend_to_batch(amounts& wanted, amounts const& recent)
{
    wanted.requests = std::max(wanted.requests, recent.requests * batch_growth);
    wanted.tokens = std::max(wanted.tokens, recent.tokens * batch_growth);
    wanted.spend = std::max(
        wanted.spend, static_cast<micro_credits>(
                          static_cast<double>(recent.spend) * batch_growth));
}

double batch(double needed, double wanted, double level)
{
    return std::max(needed, std::min(wanted, level * max_batch_share));
}

} // namespace

allowance allowance_of(contract const& c)
{
    return {
        c.requests_per_second, c.tokens_per_second, c.burst_seconds,
        c.spend_limit_per_day};
}

request_cost estimate_cost(
    std::size_t prompt_bytes, std::int64_t max_tokens, version const& v)
{
    double const in =
        std::ceil(static_cast<double>(prompt_bytes) / bytes_per_token);
    auto const out = static_cast<double>(std::max<std::int64_t>(0, max_tokens));
    double const spend = in * static_cast<double>(v.price_in) +
                         out * static_cast<double>(v.price_out);
    return {in + out, static_cast<micro_credits>(spend)};
}

std::size_t allowance_owner(
    std::string_view customer, std::span<std::string const> live_entries)
{
    std::size_t best = 0;
    std::uint64_t best_score = 0;
    for (std::size_t i = 0; i < live_entries.size(); ++i)
    {
        std::uint64_t const score = rendezvous_score(customer, live_entries[i]);
        bool const is_better =
            score > best_score ||
            (score == best_score && live_entries[i] < live_entries[best]);
        if (i == 0 || is_better)
        {
            best = i;
            best_score = score;
        }
    }
    return best;
}

admission_decision admit(
    entry_allowance& s, allowance const& limits, request_cost cost,
    admission_view const& view)
{
    steady_time const now = view.now;
    roll_over_day(s, view.wall);
    if (now < s.lease_end && covers(s, limits, cost))
    {
        record_use(s, cost, now);
        s.left.requests -= 1;
        s.left.tokens -= cost.tokens;
        if (limits.spend_limit_per_day > 0)
            s.left.spend -= cost.spend;
        bool const should_request =
            !s.requested_at && now >= s.denied_until && needs_prefetch(s, now);
        return {admission_outcome::admitted, should_request, {}, duration(0)};
    }
    if (is_denied(s, cost, now))
        return refuse(s.denied_kind, s.denied_retry - now);
    if (s.requested_at && now - *s.requested_at >= grant_timeout)
        record_owner_failure(s, now);
    if (now < s.use_fallback_share_until)
    {
        admission_decision d = admit_from_fallback_share(s, limits, cost, view);
        if (d.outcome == admission_outcome::admitted)
            record_use(s, cost, now);
        return d;
    }
    return {
        admission_outcome::waits, !s.requested_at.has_value(), {}, duration(0)};
}

allowance_request make_request(
    entry_allowance& s, allowance const& limits, request_cost cost,
    admission_view const& view)
{
    allowance_request r = start_request(s, view);
    r.needed = {1, cost.tokens, cost.spend};
    r.wanted = r.needed;
    if (uses_batches(s))
        extend_to_batch(r.wanted, s.recent);
    if (limits.spend_limit_per_day == 0)
        r.needed.spend = r.wanted.spend = 0;
    s.requested_at = view.now;
    return r;
}

std::optional<allowance_request>
make_report(entry_allowance& s, admission_view const& view)
{
    if (s.requested_at)
        return std::nullopt;
    allowance_request r = start_request(s, view);
    if (is_zero(r.returned) && is_zero(r.unreported))
        return std::nullopt;
    s.requested_at = view.now;
    return r;
}

void accept_grant(
    entry_allowance& s, allowance_grant const& g, admission_view const& view)
{
    s.requested_at.reset();
    s.in_flight = {};
    roll_over_day(s, view.wall);
    if (g.day == s.day)
    {
        s.known_spent = std::max(s.known_spent, g.known_spent);
        s.fallback_spent = s.unreported.spend;
    }
    switch (g.state)
    {
    case grant_state::granted:
        s.use_fallback_share_until = steady_time{};
        if (g.given.requests <= 0)
            return;
        s.left.requests += g.given.requests;
        s.left.tokens += g.given.tokens;
        if (g.day == s.day)
            s.left.spend += g.given.spend;
        s.lease_end = view.now + duration(g.lease_us);
        s.denied_until = steady_time{};
        return;
    case grant_state::rate_limited:
    case grant_state::spend_limited:
        s.use_fallback_share_until = steady_time{};
        s.denied = g.given;
        s.denied_retry = view.now + duration(g.retry_after_us);
        s.denied_until = s.denied_retry;
        s.denied_kind = error_kind::rate_limited;
        if (g.state == grant_state::spend_limited)
        {
            s.denied_kind = error_kind::spend_limit_reached;
            s.denied_until =
                std::min(s.denied_retry, view.now + spend_denial_time);
        }
        return;
    case grant_state::not_owner:
        s.use_fallback_share_until = view.now + owner_backoff;
        return;
    }
}

void record_owner_failure(entry_allowance& s, steady_time now)
{
    s.requested_at.reset();
    s.unreported = sum(s.unreported, s.in_flight);
    s.in_flight = {};
    s.use_fallback_share_until = now + owner_backoff;
}

void settle(entry_allowance& s, request_cost estimate, request_cost actual)
{
    s.unreported.tokens += actual.tokens - estimate.tokens;
    s.unreported.spend += actual.spend - estimate.spend;
    s.fallback_spent += actual.spend - estimate.spend;
    s.fallback_tokens.level += estimate.tokens - actual.tokens;
}

namespace
{

// Refills the buckets and applies the amounts that the entry reports.
void apply_report(
    owner_allowance& s, allowance const& limits, allowance_request const& r,
    double age, steady_time now)
{
    double const requests = request_capacity(limits);
    double const tokens = token_capacity(limits);
    refill(
        s.requests, limits.requests_per_second, requests,
        limits.requests_per_second * age, now);
    refill(
        s.tokens, limits.tokens_per_second, tokens,
        limits.tokens_per_second * age, now);
    s.requests.level = std::min(
        requests,
        s.requests.level + r.returned.requests - r.unreported.requests);
    s.tokens.level = std::min(
        tokens, s.tokens.level + r.returned.tokens - r.unreported.tokens);
    if (r.day != s.day)
        return;
    s.spent = std::max(s.spent, r.known_spent);
    s.spent += r.unreported.spend - r.returned.spend;
    s.spent = std::max<micro_credits>(0, s.spent);
}

allowance_grant limited(
    allowance_grant g, grant_state state, amounts const& needed, duration wait)
{
    g.state = state;
    g.given = needed;
    g.retry_after_us = std::max(min_denial_time, wait).count();
    return g;
}

} // namespace

allowance_grant grant(
    owner_allowance& s, allowance const& limits, allowance_request const& r,
    steady_time owner_since, steady_time now, wall_time wall)
{
    allowance_grant g;
    g.customer = r.customer;
    g.day = day_of(wall);
    if (s.day < g.day)
    {
        s.day = g.day;
        s.spent = 0;
    }
    if (!s.requests.is_started)
        s.owned_since = owner_since;
    apply_report(s, limits, r, to_seconds(now - s.owned_since), now);
    g.known_spent = s.spent;
    if (now - s.owned_since < grant_lease)
    {
        g.state = grant_state::not_owner;
        return g;
    }
    if (r.needed.requests <= 0)
        return g;
    micro_credits const rest = limits.spend_limit_per_day - s.spent;
    if (limits.spend_limit_per_day > 0 && r.needed.spend > rest)
        return limited(
            g, grant_state::spend_limited, r.needed, until_next_day(wall));
    duration const request_wait = time_until(
        s.requests, r.needed.requests, limits.requests_per_second,
        request_capacity(limits));
    duration const token_wait = time_until(
        s.tokens, r.needed.tokens, limits.tokens_per_second,
        token_capacity(limits));
    if (request_wait > duration(0))
        return limited(
            g, grant_state::rate_limited, {}, // no request of any size passes
            std::max(request_wait, token_wait));
    if (token_wait > duration(0))
        return limited(g, grant_state::rate_limited, r.needed, token_wait);
    g.given.requests =
        batch(r.needed.requests, r.wanted.requests, s.requests.level);
    g.given.tokens = batch(r.needed.tokens, r.wanted.tokens, s.tokens.level);
    if (limits.spend_limit_per_day > 0)
        g.given.spend =
            std::max(r.needed.spend, std::min(r.wanted.spend, rest / 2));
    s.requests.level -= g.given.requests;
    s.tokens.level -= g.given.tokens;
    s.spent += g.given.spend;
    g.known_spent = s.spent;
    g.lease_us = grant_lease.count();
    return g;
}

} // namespace marjorambeam
