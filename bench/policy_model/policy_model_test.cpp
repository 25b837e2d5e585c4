#include "bench/policy_model/model.hpp"

#include <catch2/catch.hpp>

using namespace marjorambeam;

// Guards against routing that loses its advantage over round robin or falls
// behind exact knowledge of the queues. The bounds are those of the design
// page, section 1.7.
TEST_CASE("latency targets hold at each load")
{
    for (double load : {0.3, 0.5, 0.7})
    {
        for (std::uint64_t seed = 1; seed <= 5; ++seed)
        {
            model_settings const settings{.load = load, .seed = seed};
            double const routed = run_latency(settings, policy::routed).p99;
            double const turn = run_latency(settings, policy::round_robin).p99;
            double const exact = run_latency(settings, policy::oracle).p99;
            CAPTURE(load, seed, routed, turn, exact);
            CHECK(routed <= 0.5 * turn);
            CHECK(routed <= 1.3 * exact);
        }
    }
}

// Guards against prefix affinity that costs more than the targets allow when
// no prefix is cached anywhere.
TEST_CASE("affinity without any cache keeps the latency targets")
{
    model_settings const settings{.load = 0.5, .has_prefixes = true};
    double const routed = run_latency(settings, policy::routed).p99;
    CHECK(routed <= 0.5 * run_latency(settings, policy::round_robin).p99);
    CHECK(routed <= 1.3 * run_latency(settings, policy::oracle).p99);
}
