// Concurrency limit of an upstream while it warms up.
//
// Example:
//   warm_up_state s;
//   set_bounds(s, {.cold = 1, .warm = 16});
//   if (running < current_limit(s))
//       run_next();
//   record_success(s, std::chrono::milliseconds(40));
//   record_report(s, {.sender = incarnation, .is_cold = false});
//
// The limit starts at the cold bound and grows with successes up to the warm
// bound. A crash, a restart or slow first tokens return it to the cold bound.
// Performs no I/O; not thread-safe.
#pragma once

#include "base/id.hpp"
#include "base/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace marjorambeam
{

// Concurrency limits declared in the upstream's configuration document.
struct warm_up_bounds
{
    std::uint32_t cold = 1; // at least 1
    std::uint32_t warm = 16;
    // Whether the upstream reports its warm-up state. If so, the limit does not
    // grow before the upstream reports that it is warm.
    bool has_reports = false;
};

// Warm-up state reported by the upstream.
struct upstream_report
{
    incarnation sender = 0;
    bool is_cold = false;
};

// A first token slower than this times the warm median counts as slow.
constexpr int slow_first_token_factor = 4;
// Consecutive slow first tokens after which the upstream counts as cold.
constexpr int max_slow_in_row = 3;
// Number of samples for the warm median. After this many consecutive slow first
// tokens without a report of a cold state, the upstream counts as permanently
// slower and the samples are discarded; otherwise the limit would stay at the
// cold bound.
constexpr std::size_t first_token_samples = 31;

struct warm_up_state
{
    warm_up_bounds bounds;
    double limit = 1;
    incarnation upstream = 0; // of the last report; 0 before the first
    bool reports_cold = true;
    int slow_in_row = 0;
    // The latest first-token times measured while warm.
    std::array<duration, first_token_samples> samples{};
    std::size_t samples_seen = 0;
    std::uint64_t resets = 0;
};

// Sets the bounds and clamps the limit to them. A cold bound of zero is raised
// to one, and a warm bound below the cold bound to the cold bound.
void set_bounds(warm_up_state& s, warm_up_bounds bounds);

// Returns the number of requests that may run at once, at least one.
std::uint32_t current_limit(warm_up_state const& s);

// Whether the limit is below the warm bound or the upstream reports that it is
// cold.
bool is_cold(warm_up_state const& s);

// Returns the median of the latest warm first-token times, or zero when there
// are none.
duration warm_median(warm_up_state const& s);

// Records a successful response and its time to first token. Returns true when
// this resets the limit from above the cold bound because too many first tokens
// in a row were slow.
bool record_success(warm_up_state& s, duration first_token);

// Records a report. A changed incarnation (a restart) or a change to cold
// resets the limit. Returns true on a restart.
bool record_report(warm_up_state& s, upstream_report report);

// Resets the limit to the cold bound, for example after a crash. With
// `has_reports` it does not grow again before the next report of a warm state.
void reset_to_cold(warm_up_state& s);

} // namespace marjorambeam
