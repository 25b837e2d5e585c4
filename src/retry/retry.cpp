#include "retry/retry.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <optional>

namespace marjorambeam
{
namespace
{

// Returns the reason for a retry after this kind, or nothing when it is final.
std::optional<retry_reason> reason_after(error_kind kind)
{
    switch (kind)
    {
    case error_kind::upstream_out:
    case error_kind::availability_zone_out:
    case error_kind::shutting_down:
    case error_kind::not_ready:
    case error_kind::isolated:
    case error_kind::no_upstream: // of an agent whose upstream is down
        return retry_reason::refused_out;
    case error_kind::not_keyspace_owner:
        return retry_reason::refused_owner;
    case error_kind::generation_stale:
    case error_kind::protocol_mismatch:
        return retry_reason::refused_stale;
    case error_kind::queue_full:
    case error_kind::upstream_paused:
    case error_kind::upstream_limited:
    case error_kind::deadline_unreachable:
        return retry_reason::refused_busy;
    case error_kind::upstream_cold:
        return retry_reason::refused_cold;
    case error_kind::upstream_crashed:
        return retry_reason::crashed;
    case error_kind::upstream_failed:
    case error_kind::internal:
        return retry_reason::failed;
    case error_kind::upstream_silent:
        return retry_reason::silent;
    case error_kind::connection_lost:
    case error_kind::connection_silent:
        return retry_reason::connection;
    case error_kind::answer_corrupt:
    case error_kind::answer_cut:
    case error_kind::frame_too_large:
    case error_kind::frame_corrupt:
        return retry_reason::answer_damaged;
    default:
        return std::nullopt;
    }
}

bool is_exempt_from_budget(retry_reason r, run_state run)
{
    bool const is_refusal = r == retry_reason::refused_out ||
                            r == retry_reason::refused_owner ||
                            r == retry_reason::refused_stale;
    return is_refusal && run == run_state::not_run;
}

retry_decision
give_up(failed_attempt const& q, run_state run, retry_reason reason)
{
    error_answer const& row = answer_for(q.kind);
    retry_decision d;
    d.reason = reason;
    d.kind = q.kind;
    d.run = run;
    d.retry_after = std::max(row.retry_after, q.retry_after);
    return d;
}

} // namespace

std::string_view to_string(retry_reason r)
{
    constexpr std::array<std::string_view, 16> names{
        "refused_out",
        "refused_owner",
        "refused_stale",
        "refused_busy",
        "refused_cold",
        "crashed",
        "failed",
        "silent",
        "connection",
        "answer_damaged",
        "given_up_final",
        "given_up_may_have_run",
        "given_up_attempts",
        "given_up_budget",
        "given_up_deadline",
        "given_up_no_upstream"};
    return names[static_cast<std::size_t>(r)];
}

double budget_limit(retry_budget const& b)
{
    return std::max(min_retry_burst, retry_ratio * b.recent_requests);
}

void on_admitted(retry_budget& b, steady_time now)
{
    double const dt = std::max(0.0, to_seconds(now - b.updated));
    b.recent_requests =
        b.recent_requests * std::exp(-dt / retry_burst_seconds) + 1;
    b.updated = std::max(b.updated, now);
    b.tokens = std::min(budget_limit(b), b.tokens + retry_ratio);
}

run_state combine(run_state a, run_state b)
{
    if (a == run_state::ran || b == run_state::ran)
        return run_state::ran;
    if (a == run_state::unknown || b == run_state::unknown)
        return run_state::unknown;
    return run_state::not_run;
}

retry_decision decide_retry(retry_budget& b, failed_attempt const& q)
{
    run_state const run = combine(q.earlier_run, q.run);
    std::optional<retry_reason> const reason = reason_after(q.kind);
    if (!reason)
        return give_up(q, run, retry_reason::given_up_final);
    if (!q.is_idempotent && run != run_state::not_run)
        return give_up(q, run, retry_reason::given_up_may_have_run);
    if (q.has_delivered && !q.can_resume)
        return give_up(q, run, retry_reason::given_up_final);
    if (q.attempts >= max_attempts)
        return give_up(q, run, retry_reason::given_up_attempts);
    if (q.remaining <= q.expected_time)
        return give_up(q, run, retry_reason::given_up_deadline);
    if (!q.has_untried_upstream)
        return give_up(q, run, retry_reason::given_up_no_upstream);
    if (!is_exempt_from_budget(*reason, q.run))
    {
        if (b.tokens < 1)
            return give_up(q, run, retry_reason::given_up_budget);
        b.tokens -= 1;
    }
    retry_decision d;
    d.action = q.has_delivered ? retry_action::resume_stream
                               : retry_action::retry_elsewhere;
    d.reason = *reason;
    d.kind = q.kind;
    d.run = run;
    return d;
}

} // namespace marjorambeam
