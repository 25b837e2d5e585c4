// Counters, gauges, latency histograms and quantiles kept by
// Boost.Accumulators.
//
// Example:
//   metrics m;
//   m.count("refusals_total", "rate_limited");
//   m.count("refusals_total", "no_upstream", {.route = "chat"});
//   m.histogram("whole_seconds", {.route = "chat"}).add(0.031);
//   m.observe("first_token_seconds", "", 0.031);
//   std::string page = m.render(); // Prometheus text format
#pragma once

// The accumulators of Boost 1.74 use std::ostringstream without including it.
#include <sstream>

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace marjorambeam
{

// Whose requests a series counts; empty texts are left out.
struct metric_scope
{
    std::string_view route;
    std::string_view organisation_class;
};

// What a gauge describes; an empty text is left out.
struct gauge_scope
{
    std::string_view service;
    std::string_view kind;     // of objects
    std::string_view progress; // of a repair, such as "asked" or "failed"
};

// Upper bounds in seconds of a histogram's buckets: those of the Prometheus
// clients, with finer ones for the time that a gateway adds and coarser ones
// for whole answers of models.
constexpr std::array latency_buckets{0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025,
                                     0.05,   0.1,   0.25,   0.5,   1.0,  2.5,
                                     5.0,    10.0,  20.0,   60.0};

// Samples of one series by bucket.
class latency_histogram
{
public:
    void add(double seconds);
    // Samples up to the bound of bucket `i`; all for the last one.
    std::uint64_t up_to(std::size_t i) const;
    double sum() const;
    std::uint64_t count() const;

private:
    std::array<std::uint64_t, latency_buckets.size() + 1> buckets_{};
    boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<
            boost::accumulators::tag::count, boost::accumulators::tag::sum>>
        samples_;
};

// Series that one name may have. A configuration may have 400 routes, and
// routes come and go; what is beyond is counted without route and class.
constexpr std::size_t max_series_per_name = 500;

// All metrics of one process. Not thread-safe; one per event loop.
class metrics
{
public:
    // Adds `n` to the counter `name` with the label value `reason` (empty for
    // none). `n` must not be negative.
    void
    count(std::string_view name, std::string_view reason = {}, double n = 1);
    // The same, told apart by scope.
    void count(
        std::string_view name, std::string_view reason,
        metric_scope const& scope);

    // Sets the gauge `name`.
    void set(std::string_view name, double value);
    // The same, told apart by scope. What is beyond max_series_per_name is left
    // out, as gauges of different scopes have no sum.
    void set(std::string_view name, gauge_scope const& scope, double value);
    // Removes the gauge `name` of all scopes.
    void clear_gauge(std::string_view name);

    // Adds one sample to the distribution `name` with the label `reason`.
    void observe(std::string_view name, std::string_view reason, double sample);

    // Returns the histogram `name` of `scope`; the reference stays valid.
    latency_histogram&
    histogram(std::string_view name, metric_scope const& scope);

    // Returns the value of a counter over all scopes, zero when it was never
    // counted.
    double counter(std::string_view name, std::string_view reason = {}) const;

    // Returns the estimated quantile of a distribution for `p` among 0.5,
    // 0.95 and 0.99; zero when there is no sample.
    double
    quantile(std::string_view name, std::string_view reason, double p) const;

    // Returns all metrics and the process's CPU time in the Prometheus text
    // format, each name prefixed with "marjorambeam_".
    std::string render() const;

private:
    // Name and labels. The label `reason` is the first one, so that the series
    // of one reason are neighbours.
    using key = std::pair<std::string, std::string>;
    using counter_accumulator = boost::accumulators::accumulator_set<
        double, boost::accumulators::stats<boost::accumulators::tag::sum>>;
    using sample_accumulator = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<
            boost::accumulators::tag::count, boost::accumulators::tag::sum,
            boost::accumulators::tag::max,
            boost::accumulators::tag::extended_p_square_quantile>>;

    // Labels of `scope`, or none when `name` has all its series.
    std::string bounded_labels(
        std::string_view name, std::string_view reason,
        metric_scope const& scope);

    std::map<key, counter_accumulator, std::less<>> counters_;
    std::map<key, latency_histogram, std::less<>> histograms_;
    std::map<std::string, std::size_t, std::less<>> series_; // with a scope
    std::map<key, double, std::less<>> gauges_;
    std::map<key, sample_accumulator, std::less<>> samples_;
};

} // namespace marjorambeam
