// Counters, gauges and latency quantiles kept by Boost.Accumulators.
//
// Example:
//   metrics m;
//   m.count("refusals_total", "rate_limited");
//   m.observe("first_token_seconds", "", 0.031);
//   std::string page = m.render(); // Prometheus text format
#pragma once

// The accumulators of Boost 1.74 use std::ostringstream without including it.
#include <sstream>

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

// All metrics of one process. Not thread-safe; one per event loop.
class metrics
{
public:
    // Adds `n` to the counter `name` with the label value `reason` (empty for
    // none). `n` must not be negative.
    void
    count(std::string_view name, std::string_view reason = {}, double n = 1);

    // Sets the gauge `name`.
    void set(std::string_view name, double value);

    // Adds one sample to the distribution `name` with the label `reason`.
    void observe(std::string_view name, std::string_view reason, double sample);

    // Returns the value of a counter, zero when it was never counted.
    double counter(std::string_view name, std::string_view reason = {}) const;

    // Returns the estimated quantile of a distribution for `p` among 0.5,
    // 0.95 and 0.99; zero when there is no sample.
    double
    quantile(std::string_view name, std::string_view reason, double p) const;

    // Returns all metrics and the process's CPU time in the Prometheus text
    // format, each name prefixed with "marjorambeam_".
    std::string render() const;

private:
    using key = std::pair<std::string, std::string>;
    using counter_accumulator = boost::accumulators::accumulator_set<
        double, boost::accumulators::stats<boost::accumulators::tag::sum>>;
    using sample_accumulator = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<
            boost::accumulators::tag::count, boost::accumulators::tag::sum,
            boost::accumulators::tag::max,
            boost::accumulators::tag::extended_p_square_quantile>>;

    std::map<key, counter_accumulator, std::less<>> counters_;
    std::map<std::string, double, std::less<>> gauges_;
    std::map<key, sample_accumulator, std::less<>> samples_;
};

} // namespace marjorambeam
