// How many requests an upstream may run at once while it warms up.
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

// Concurrency that the upstream's document declares.
struct warm_up_bounds
{
    std::uint32_t cold = 1; // at least 1
    std::uint32_t warm = 16;
    // Whether the upstream reports its state. Without a report it may still
    // be cold, so the limit does not grow before a report that it is warm.
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
// So many slow first tokens in a row mean a cold upstream.
constexpr int max_slow_in_row = 3;
// Samples of the warm median. After as many slow first tokens in a row, with
// no report of a cold state, the upstream has become permanently slower and the
// median is recomputed; otherwise the limit would stay at the cold bound.
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

// Takes the declared bounds; a change keeps the limit within them. Raises a
// cold bound of zero to one.
void set_bounds(warm_up_state& s, warm_up_bounds bounds);

// Requests that may run now, at least one.
std::uint32_t current_limit(warm_up_state const& s);

// Whether the limit is below the warm bound.
bool is_cold(warm_up_state const& s);

// Median of the latest warm first-token times; zero when there are none.
duration warm_median(warm_up_state const& s);

// Records a successful response, with its time to the first token. Returns
// true when it showed that the upstream is cold, which resets the limit.
bool record_success(warm_up_state& s, duration first_token);

// Records a report. Returns true when the incarnation changed, which resets the
// limit: the upstream has restarted.
bool record_report(warm_up_state& s, upstream_report report);

// Returns the limit to the cold bound after a crash.
void reset_to_cold(warm_up_state& s);

} // namespace marjorambeam
