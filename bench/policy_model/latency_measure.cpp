// Latency at Sømfast's sizes: upstreams whose speeds differ by a factor of 3.
#include "bench/policy_model/measure.hpp"
#include "bench/policy_model/model.hpp"

#include <array>

namespace marjorambeam
{

measure measure_latency(seed_list const& seeds)
{
    measure m("latency");
    for (double load : {0.3, 0.5, 0.7})
    {
        for (std::uint64_t seed : seeds)
        {
            std::array<double, 4> p99{};
            std::string const at = "load " + std::to_string(load).substr(0, 3);
            for (policy p :
                 {policy::routed, policy::round_robin, policy::least_loaded,
                  policy::oracle})
            {
                model_result const r =
                    run_latency({.load = load, .seed = seed}, p);
                p99.at(static_cast<std::size_t>(p)) = r.p99;
                m.row(
                    at + " seed " + std::to_string(seed) + " " +
                        std::string(to_string(p)),
                    {{"p50 s", r.p50},
                     {"p99 s", r.p99},
                     {"mean s", r.mean},
                     {"requests", static_cast<double>(r.requests)}});
            }
            m.at_most(seed, at + " p99 to round robin", p99[0] / p99[1], 0.5);
            m.at_most(seed, at + " p99 to oracle", p99[0] / p99[3], 1.3);
        }
    }
    return m;
}

} // namespace marjorambeam
