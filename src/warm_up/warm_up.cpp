#include "warm_up/warm_up.hpp"

#include <algorithm>

namespace marjorambeam
{

void set_bounds(warm_up_state& s, warm_up_bounds bounds)
{
    bounds.cold = std::max(bounds.cold, 1U);
    bounds.warm = std::max(bounds.warm, bounds.cold);
    s.bounds = bounds;
    s.limit = std::clamp(
        s.limit, static_cast<double>(bounds.cold),
        static_cast<double>(bounds.warm));
}

std::uint32_t current_limit(warm_up_state const& s)
{
    return static_cast<std::uint32_t>(s.limit);
}

bool is_cold(warm_up_state const& s)
{
    return current_limit(s) < s.bounds.warm ||
           (s.bounds.has_reports && s.reports_cold);
}

duration warm_median(warm_up_state const& s)
{
    std::size_t const n = std::min(s.samples_seen, s.samples.size());
    if (n == 0)
        return duration(0);
    auto sorted = s.samples;
    auto const middle = sorted.begin() + static_cast<std::ptrdiff_t>(n / 2);
    std::nth_element(
        sorted.begin(), middle,
        sorted.begin() + static_cast<std::ptrdiff_t>(n));
    return *middle;
}

bool record_success(warm_up_state& s, duration first_token)
{
    duration const median = warm_median(s);
    bool const is_slow =
        median > duration(0) && first_token > median * slow_first_token_factor;
    if (is_slow)
    {
        ++s.slow_in_row;
        bool const was_warm = s.limit > static_cast<double>(s.bounds.cold);
        if (s.slow_in_row == max_slow_in_row)
            reset_to_cold(s);
        bool const is_new_speed =
            s.slow_in_row >= static_cast<int>(first_token_samples) &&
            !(s.bounds.has_reports && s.reports_cold);
        if (is_new_speed)
            s.samples_seen = 0;
        return was_warm && s.slow_in_row == max_slow_in_row;
    }
    s.slow_in_row = 0;
    if (s.bounds.has_reports && s.reports_cold)
        return false;
    // Grows by one after as many successes as the current limit.
    s.limit =
        std::min(s.limit + 1 / s.limit, static_cast<double>(s.bounds.warm));
    s.samples[s.samples_seen % s.samples.size()] = first_token;
    ++s.samples_seen;
    return false;
}

bool record_report(warm_up_state& s, upstream_report report)
{
    bool const is_restart = s.upstream != 0 && s.upstream != report.sender;
    bool const became_cold = report.is_cold && !s.reports_cold;
    s.upstream = report.sender;
    if (is_restart || became_cold)
    {
        reset_to_cold(s);
        s.slow_in_row = 0;
    }
    // The first report of a new incarnation may still carry the state of the
    // previous one.
    s.reports_cold = report.is_cold || is_restart;
    return is_restart;
}

void reset_to_cold(warm_up_state& s)
{
    s.limit = s.bounds.cold;
    s.reports_cold = true;
    ++s.resets;
}

} // namespace marjorambeam
