#include "rollout/rollout.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace marjorambeam
{
namespace
{

// The permitted error rate is divided equally among the four tests.
constexpr double test_error = false_halt_rate / 4;
// The loss for which the quality test has the most power. Less than
// `quality_loss`, so that smaller losses are detected, too.
constexpr double target_loss = 0.15;
// Lower bound on the active version's failure rate. Lower rates can't be
// distinguished within a rollout.
constexpr double min_failure_rate = 0.002;
// Margins for an underestimated variance and for ratings that have been
// constant so far.
constexpr double variance_margin = 1.2;
constexpr double min_variance = 0.01;
// Standard errors by which the active version's estimates are corrected in
// favour of the candidate.
constexpr double estimate_margin = 1.5;
// Batch k of the cumulative sums may use
// test_error * batch_offset / (k + batch_offset)^2 of the error rate, which
// sums up to at most test_error over all batches.
constexpr double batch_offset = 50;

// Log evidence against and in favour of the candidate.
struct test_values
{
    double against = 0;
    double in_favour = 0;
};

double mean(version_counts const& c)
{
    return c.ratings == 0 ? 0 : c.rating_sum / static_cast<double>(c.ratings);
}

double variance(version_counts const& c)
{
    if (c.ratings < 2)
        return 0;
    double const m = mean(c);
    return std::max(
        0.0, c.rating_squares / static_cast<double>(c.ratings) - m * m);
}

double failure_rate(version_counts const& c)
{
    if (c.requests == 0)
        return min_failure_rate;
    auto const n = static_cast<double>(c.requests);
    double const p = static_cast<double>(c.failures) / n;
    double const margin = estimate_margin * std::sqrt(p * (1 - p) / n);
    return std::clamp(p + margin, min_failure_rate, 0.9);
}

// Log likelihood ratio of the excess against the active version's rate.
double failure_log_ratio(version_counts const& c, double rate)
{
    double const bad = rate + failure_excess;
    auto const failures = static_cast<double>(c.failures);
    auto const rest = static_cast<double>(c.requests - c.failures);
    return failures * std::log(bad / rate) +
           rest * std::log((1 - bad) / (1 - rate));
}

struct quality_reference
{
    double mean = 0; // with the margin in favour of the candidate
    double raw_mean = 0;
    double variance = min_variance;
    bool is_known = false;
};

quality_reference
reference_of(version_counts const& active, version_counts const& candidate)
{
    quality_reference r;
    r.is_known = active.ratings >= min_active_ratings;
    if (!r.is_known)
        return r;
    r.variance = std::max(
        min_variance,
        variance_margin * std::max(variance(active), variance(candidate)));
    r.raw_mean = mean(active);
    r.mean = r.raw_mean -
             estimate_margin *
                 std::sqrt(r.variance / static_cast<double>(active.ratings));
    return r;
}

// Log of the test supermartingale for ratings that lie `target_loss` below
// `reference` (for a sign of 1) or above it (for -1).
double quality_log_evidence(
    version_counts const& c, double reference, double variance, double sign)
{
    double const bet_size = std::log1p(target_loss / variance);
    double const cost = std::expm1(bet_size) - bet_size;
    auto const n = static_cast<double>(c.ratings);
    return sign * bet_size * (n * reference - c.rating_sum) -
           cost * variance * n;
}

std::string format_reason(char const* format, double a, double b)
{
    std::array<char, 160> buf{};
    std::snprintf(buf.data(), buf.size(), format, a, b);
    return buf.data();
}

std::string failure_text(version_counts const& c, double rate)
{
    return format_reason(
        "failures %.4f against %.4f of the active version",
        static_cast<double>(c.failures) /
            std::max(1.0, static_cast<double>(c.requests)),
        rate);
}

rollout_decision halt(rollout_state& s, std::string reason)
{
    s.is_halted = true;
    return {rollout_action::halt, 0, std::move(reason)};
}

double recent_threshold(rollout_state const& s)
{
    double const k = static_cast<double>(s.batches) + batch_offset;
    return std::log(k * k / (batch_offset * test_error));
}

rollout_decision hold(rollout_state const& s, std::string reason)
{
    return {rollout_action::hold, rollout_shares.at(s.step), std::move(reason)};
}

// Advances to the next step if the evidence is sufficient.
rollout_decision try_advance(
    rollout_state& s, version_counts const& candidate,
    quality_reference const& quality, double rate, steady_time now)
{
    if (s.step + 1 == rollout_shares.size())
        return hold(s, "rollout complete, monitoring continues");
    if (!quality.is_known)
        return hold(s, "too few ratings of the active version");
    double const accept = std::log(1 / false_accept_rate);
    if (-failure_log_ratio(candidate, rate) < accept)
        return hold(s, "too few requests to rule out more failures");
    double const worst = quality.raw_mean - quality_loss;
    if (quality_log_evidence(candidate, worst, quality.variance, -1) < accept)
        return hold(s, "too few ratings to rule out a loss of quality");
    version_counts const in_step =
        difference(candidate, s.counts_at_step_start);
    if (in_step.requests < min_step_requests ||
        in_step.ratings < min_step_ratings ||
        now - s.step_started < s.min_step_time)
        return hold(s, "collecting evidence at this share");
    ++s.step;
    s.step_started = now;
    s.counts_at_step_start = candidate;
    double const share = rollout_shares.at(s.step);
    return {
        rollout_action::advance, share,
        format_reason(
            "quality %.3f against %.3f of the active version, failures in "
            "bounds",
            mean(candidate), quality.raw_mean)};
}

} // namespace

void add_request(version_counts& c, bool has_failed)
{
    ++c.requests;
    c.failures += has_failed ? 1 : 0;
}

void add_rating(version_counts& c, double rating)
{
    double const r = std::clamp(rating, 0.0, 1.0);
    ++c.ratings;
    c.rating_sum += r;
    c.rating_squares += r * r;
}

version_counts sum(version_counts const& a, version_counts const& b)
{
    return {
        a.requests + b.requests, a.failures + b.failures, a.ratings + b.ratings,
        a.rating_sum + b.rating_sum, a.rating_squares + b.rating_squares};
}

version_counts difference(version_counts const& a, version_counts const& b)
{
    return {
        a.requests - b.requests, a.failures - b.failures, a.ratings - b.ratings,
        a.rating_sum - b.rating_sum, a.rating_squares - b.rating_squares};
}

void record_evidence(evidence_pool& pool, rollout_evidence const& e)
{
    version_counts& known = pool.counts[{e.version, e.entry}];
    // Counts never decrease, so the larger report is the later one.
    if (e.counts.requests >= known.requests &&
        e.counts.ratings >= known.ratings &&
        e.counts.failures >= known.failures)
        known = e.counts;
}

version_counts total_counts(evidence_pool const& pool, std::string_view version)
{
    version_counts all;
    for (auto const& [key, counts] : pool.counts)
    {
        if (key.first == version)
            all = sum(all, counts);
    }
    return all;
}

rollout_state
resume_rollout(double share, version_counts const& candidate, steady_time now)
{
    rollout_state s;
    while (s.step + 1 < rollout_shares.size() &&
           rollout_shares.at(s.step) < share)
        ++s.step;
    s.is_started = true;
    s.step_started = now;
    s.counts_at_step_start = s.last_evaluated = candidate;
    return s;
}

rollout_decision evaluate(
    rollout_state& s, version_counts const& active,
    version_counts const& candidate, steady_time now)
{
    if (s.is_halted)
        return {rollout_action::halt, 0, "already halted"};
    if (!s.is_started)
    {
        duration const least = s.min_step_time;
        s = resume_rollout(canary_share, candidate, now);
        s.min_step_time = least;
        return {
            rollout_action::advance, canary_share, "first step of the rollout"};
    }
    version_counts const batch = difference(candidate, s.last_evaluated);
    s.last_evaluated = candidate;
    ++s.batches;
    double const rate = failure_rate(active);
    quality_reference const quality = reference_of(active, candidate);
    s.recent_failures =
        std::max(0.0, s.recent_failures + failure_log_ratio(batch, rate));
    double const halt_threshold = std::log(1 / test_error);
    if (failure_log_ratio(candidate, rate) >= halt_threshold)
        return halt(s, failure_text(candidate, rate));
    if (s.recent_failures >= recent_threshold(s))
        return halt(s, "recent " + failure_text(batch, rate));
    if (quality.is_known)
    {
        s.recent_quality = std::max(
            0.0,
            s.recent_quality +
                quality_log_evidence(batch, quality.mean, quality.variance, 1));
        std::string const reason = format_reason(
            "quality %.3f against %.3f of the active version", mean(candidate),
            quality.raw_mean);
        if (quality_log_evidence(
                candidate, quality.mean, quality.variance, 1) >= halt_threshold)
            return halt(s, reason);
        if (s.recent_quality >= recent_threshold(s))
            return halt(s, "recent loss of quality; in total " + reason);
    }
    return try_advance(s, candidate, quality, rate, now);
}

} // namespace marjorambeam
