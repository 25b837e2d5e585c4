#include "gateway/error_gauges.hpp"

#include "gateway/completion_estimate.hpp"
#include "gateway/prediction_error.hpp"

#include <array>
#include <string>

namespace marjorambeam
{
namespace
{

struct named_percentile
{
    char const* completion_name;
    char const* start_name;
    double p;
};

constexpr std::array percentiles{
    named_percentile{"completion_error_p10", "start_error_p10", 0.1},
    named_percentile{"completion_error_p50", "start_error_p50", 0.5},
    named_percentile{"completion_error_p90", "start_error_p90", 0.9}};

} // namespace

void set_error_gauges(gateway_state& s, steady_time now)
{
    for (named_percentile const& it : percentiles)
    {
        s.counters.clear_gauge(it.completion_name);
        s.counters.clear_gauge(it.start_name);
        if (s.config == nullptr)
            continue;
        for (gateway_service const& service : s.config->services)
        {
            std::string const& name = service.name;
            if (auto const error = completion_error(s.completions, name, it.p))
                s.counters.set(it.completion_name, {.service = name}, *error);
            auto const start = s.start_errors.find(name);
            if (start != s.start_errors.end() &&
                has_recent_errors(start->second, now))
                s.counters.set(
                    it.start_name, {.service = name},
                    error_ratio(start->second, it.p, now));
        }
    }
}

} // namespace marjorambeam
