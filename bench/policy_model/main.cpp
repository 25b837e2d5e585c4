// Prints the latency of each policy at Sømfast's sizes, and whether routing
// reaches its targets: p99 at most half of round robin's and within 1.3 times
// of the oracle's.
#include "bench/policy_model/model.hpp"

#include <cstdio>

using namespace marjorambeam;

int main()
{
    std::printf("load  policy         p50 s   p99 s  mean s  requests  far\n");
    for (double load : {0.3, 0.5, 0.7})
    {
        double p99[4] = {};
        for (policy p :
             {policy::routed, policy::round_robin, policy::least_loaded,
              policy::oracle})
        {
            model_result const r = run_latency({.load = load}, p);
            p99[static_cast<int>(p)] = r.p99;
            std::printf(
                "%.1f   %-12.*s %7.2f %7.2f %7.2f %9llu %4.2f\n", load,
                static_cast<int>(to_string(p).size()), to_string(p).data(),
                r.p50, r.p99, r.mean,
                static_cast<unsigned long long>(r.requests),
                static_cast<double>(r.far) / static_cast<double>(r.requests));
        }
        std::printf(
            "%.1f   p99 of round robin: %.2f (target 0.5), of the oracle: "
            "%.2f (target 1.3)\n",
            load, p99[0] / p99[1], p99[0] / p99[3]);
    }
}
