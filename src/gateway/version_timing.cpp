#include "gateway/version_timing.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <string>

namespace marjorambeam
{
namespace
{

// Excess of the logarithms of both kinds together at which a version is slow:
// one that takes twice as long for half of its requests reaches 0.7.
constexpr double slow_excess = 0.4;
// A version is not slow if its excess stays below this by clear_errors.
constexpr double clear_excess = 0.3;
// With many samples, a version with less excess is unlikely to be slow.
constexpr double unlikely_excess = 0.25;
// Standard errors by which the excess of a slow version exceeds zero, with few
// and with many first events.
constexpr double few_sure_errors = 4;
constexpr double sure_errors = 3;
constexpr double clear_errors = 2.5;
constexpr double min_samples = 16;
constexpr double min_gap_samples = 8;
constexpr double many_samples = 50;
// With so many first events, a smaller excess is enough.
constexpr double ample_samples = 300;
constexpr double small_slow_excess = 0.25;
// Larger ratios count as this one: a cache miss delays a first event by more
// than a slow version does.
constexpr double max_log_ratio = 1.2;
// Added to both times of a comparison. Times below it vary with the load of the
// machine and with how recently a connection was used, and no caller notices: a
// good version was reverted for 150 us more.
constexpr duration timing_resolution = std::chrono::milliseconds(1);

// Squared standard error of the mean.
double squared_error(timing_sums const& s)
{
    if (s.count < 2)
        return std::numeric_limits<double>::infinity();
    double const mean = s.sum / s.count;
    double const variance = s.sum_of_squares / s.count - mean * mean;
    return std::max(variance, 0.0) / (s.count - 1);
}

bool has_gaps(version_timing const& t)
{
    return t.event_gap.count >= min_gap_samples;
}

// Excess of both kinds, and its standard error.
struct excess
{
    double mean = 0;
    double error = 0;
};

excess excess_of(version_timing const& t)
{
    double error = squared_error(t.first_event);
    double mean = mean_of(t.first_event);
    if (has_gaps(t))
    {
        mean += mean_of(t.event_gap);
        error += squared_error(t.event_gap);
    }
    return {mean, std::sqrt(error)};
}

// Loads within a factor of two are alike.
std::uint64_t load_level(timing_class const& c)
{
    return static_cast<std::uint64_t>(std::log2(1 + c.load));
}

std::uint64_t key_of(timing_class const& c, std::uint64_t level)
{
    std::uint64_t const numbers =
        level << 16U | c.model << 8U | static_cast<std::uint64_t>(c.kind);
    return hash64(c.route, hash64(c.service, numbers));
}

double log_of(duration took)
{
    return std::log(static_cast<double>((took + timing_resolution).count()));
}

// Mean of the class at a load level; nothing if it has too few samples.
std::optional<double>
mean_at(timing_baselines const& all, timing_class const& c, std::uint64_t level)
{
    auto const it = all.find(key_of(c, level));
    if (it == all.end() || it->second.count < min_baseline_samples)
        return std::nullopt;
    return it->second.mean;
}

} // namespace

void add_to_baseline(
    timing_baselines& all, timing_class const& c, duration took)
{
    std::uint64_t const key = key_of(c, load_level(c));
    if (all.size() >= max_timing_classes && !all.contains(key))
        return;
    timing_baseline& b = all[key];
    b.count = std::min(b.count + 1, max_baseline_samples);
    b.mean += (log_of(took) - b.mean) / b.count;
}

std::optional<double> compare_with_baseline(
    timing_baselines const& all, timing_class const& c, duration took)
{
    std::uint64_t const level = load_level(c);
    if (auto const mean = mean_at(all, c, level))
        return log_of(took) - *mean;
    auto const less = mean_at(all, c, level - 1);
    auto const more = mean_at(all, c, level + 1);
    if (!less || !more)
        return std::nullopt;
    return log_of(took) - (*less + *more) / 2;
}

void add_sample(timing_sums& s, double log_ratio)
{
    double const ratio = std::clamp(log_ratio, -max_log_ratio, max_log_ratio);
    s.count += 1;
    s.sum += ratio;
    s.sum_of_squares += ratio * ratio;
}

void add_timing(version_timing& t, version_timing const& other)
{
    auto add = [](timing_sums& a, timing_sums const& b)
    {
        a.count += b.count;
        a.sum += b.sum;
        a.sum_of_squares += b.sum_of_squares;
    };
    add(t.first_event, other.first_event);
    add(t.event_gap, other.event_gap);
}

double mean_of(timing_sums const& s)
{
    return s.count > 0 ? s.sum / s.count : 0;
}

bool is_slow(version_timing const& t)
{
    if (t.first_event.count < min_samples)
        return false;
    excess const e = excess_of(t);
    if (t.first_event.count >= ample_samples && e.mean > small_slow_excess &&
        e.mean > few_sure_errors * e.error)
        return true;
    double const errors =
        t.first_event.count < many_samples ? few_sure_errors : sure_errors;
    return e.mean > slow_excess && e.mean > errors * e.error;
}

bool is_more_likely_slow(version_timing const& t)
{
    return t.first_event.count >= min_samples &&
           excess_of(t).mean > slow_excess;
}

bool is_surely_not_slow(version_timing const& t)
{
    if (t.first_event.count < min_samples || !has_gaps(t))
        return false;
    excess const e = excess_of(t);
    return e.mean + clear_errors * e.error < clear_excess;
}

bool is_unlikely_slow(version_timing const& t)
{
    return t.first_event.count >= many_samples &&
           excess_of(t).mean < unlikely_excess;
}

} // namespace marjorambeam
