#include "gateway/start_interval.hpp"

#include <algorithm>
#include <cmath>

namespace marjorambeam
{
namespace
{

// With fewer, the mean may be off by more than half.
constexpr double min_starts = 5;

} // namespace

void record_start(start_interval& i)
{
    if (i.has_waiting)
        i.starts += 1;
}

void record_turn(start_interval& i, bool has_waiting, steady_time now)
{
    if (i.has_waiting)
    {
        double const passed = std::max(0.0, to_seconds(now - i.turn_at));
        double const kept =
            std::exp(-passed / to_seconds(start_interval_decay));
        i.waited_s = i.waited_s * kept + passed;
        i.starts *= kept;
    }
    i.has_waiting = has_waiting;
    i.turn_at = now;
}

duration start_interval_of(start_interval const& i)
{
    return i.starts < min_starts ? duration{0}
                                 : from_seconds(i.waited_s / i.starts);
}

} // namespace marjorambeam
