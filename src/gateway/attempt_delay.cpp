#include "gateway/attempt_delay.hpp"

#include <algorithm>

namespace marjorambeam
{
namespace
{

// An upstream is silent when it has sent nothing on any connection for this
// long; other streams of a live upstream would have sent something.
constexpr duration silence_timeout = std::chrono::milliseconds(1200);

// What takes longer than its target by half is late.
duration late_after(duration target)
{
    return target * 3 / 2;
}

} // namespace

attempt_delay delay_of(attempt_progress const& p, attempt_bounds const& bounds)
{
    bool const is_silent = p.since_received > silence_timeout;
    // A stream without a first event may be queued at the upstream.
    bool const has_stalled =
        p.since_event && *p.since_event > late_after(bounds.gap_target);
    bool const is_overdue =
        !p.is_event_stream &&
        p.since_sent > std::max(bounds.target, silence_timeout);
    if (is_silent && (is_overdue || has_stalled))
        return attempt_delay::silent;
    if (has_stalled)
        return attempt_delay::stalled;
    if (bounds.is_plain_idempotent && p.since_sent > late_after(bounds.target))
        return is_silent ? attempt_delay::silent : attempt_delay::overdue;
    return attempt_delay::none;
}

wait_reason reason_to_wait(replacement_options const& o)
{
    if (!o.is_repeatable)
        return wait_reason::not_repeatable;
    if (!o.has_attempts)
        return wait_reason::no_attempts;
    if (!o.has_budget)
        return wait_reason::no_budget;
    if (!o.has_upstream)
        return wait_reason::no_upstream;
    return o.can_end_in_time ? wait_reason::none : wait_reason::stopping;
}

std::string_view to_string(attempt_delay d)
{
    switch (d)
    {
    case attempt_delay::stalled:
        return "stalled";
    case attempt_delay::overdue:
        return "overdue";
    case attempt_delay::silent:
        return "silent";
    case attempt_delay::none:
        break;
    }
    return "none";
}

std::string_view to_string(wait_reason r)
{
    switch (r)
    {
    case wait_reason::not_repeatable:
        return "not_repeatable";
    case wait_reason::no_attempts:
        return "no_attempts";
    case wait_reason::no_budget:
        return "no_budget";
    case wait_reason::no_upstream:
        return "no_upstream";
    case wait_reason::stopping:
        return "stopping";
    case wait_reason::none:
        break;
    }
    return "none";
}

} // namespace marjorambeam
