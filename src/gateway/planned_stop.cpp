#include "gateway/planned_stop.hpp"

#include <algorithm>

namespace marjorambeam
{
namespace
{

using std::chrono::milliseconds;

constexpr duration max_serve_time = milliseconds(3000);
// Time for the callers of aborted requests to receive their errors.
constexpr duration abort_margin = milliseconds(600);
// The process ends this long before it is killed.
constexpr duration exit_margin = milliseconds(150);
// Work takes longer than its target now and then.
constexpr int target_factor = 2;

} // namespace

stop_plan make_stop_plan(steady_time started, duration grace)
{
    // A short grace leaves each phase its part.
    steady_time const abort_at =
        started + grace - std::min<duration>(abort_margin, grace / 4);
    return {
        .serve_until = started + std::min<duration>(
                                     max_serve_time, (abort_at - started) / 2),
        .abort_at = abort_at,
        .exit_at =
            started + grace - std::min<duration>(exit_margin, grace / 16)};
}

bool can_end_in_time(
    stop_plan const& plan, stopping_work const& work, steady_time now)
{
    duration const left = plan.abort_at - now;
    duration const needed =
        work.may_repeat ? std::min(work.target * target_factor, work.remaining)
                        : work.remaining;
    return needed < left;
}

} // namespace marjorambeam
