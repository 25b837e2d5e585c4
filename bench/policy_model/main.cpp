// policy_measures [NAME [SEED]]: runs one measure, or all, with one seed or
// each of its seeds. Exit codes: 0 all bounds reached, 1 not, 2 usage.
#include "bench/policy_model/measure.hpp"

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <string_view>

using namespace marjorambeam;

namespace
{

struct named_measure
{
    std::string_view name;
    measure (*run)(seed_list const&);
    seed_list seeds;
};

int run(int argc, char** argv)
{
    std::vector<named_measure> const all{
        {"cost", measure_cost, {1, 2, 3, 4, 5}},
        {"exposure", measure_exposure, {1, 2, 3, 4, 5}},
        {"small_customer", measure_small_customer, {1, 2, 3, 4, 5}},
        {"zone", measure_zone, {1, 2, 3, 4, 5}},
        {"overload", measure_overload, {1, 2, 3, 4, 5}},
        {"latency", measure_latency, {1, 2, 3, 4, 5}},
        {"config", measure_config, {1, 2}}};
    std::string_view const name = argc > 1 ? argv[1] : "";
    bool has_passed = true;
    bool has_run = false;
    for (named_measure const& it : all)
    {
        if (!name.empty() && it.name != name)
            continue;
        seed_list seeds = it.seeds;
        if (argc > 2)
            seeds = {std::strtoull(argv[2], nullptr, 10)};
        has_passed &= it.run(seeds).print();
        has_run = true;
    }
    if (has_run)
        return has_passed ? 0 : 1;
    std::fprintf(stderr, "usage: policy_measures [NAME [SEED]]; NAME is");
    for (named_measure const& it : all)
        std::fprintf(stderr, " %s", std::string(it.name).c_str());
    std::fprintf(stderr, "\n");
    return 2;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return run(argc, argv);
    }
    catch (std::exception const& e)
    {
        std::fprintf(stderr, "policy_measures: %s\n", e.what());
        return 2;
    }
}
