// Cost of updating the warm-up state per response, compared with a plain
// counter.
#include "warm_up/warm_up.hpp"

#include <benchmark/benchmark.h>

using namespace marjorambeam;

namespace
{

void record_success_and_limit(benchmark::State& state)
{
    warm_up_state s;
    set_bounds(s, {.cold = 2, .warm = 64});
    std::int64_t i = 0;
    for (auto it : state)
    {
        record_success(s, duration(10000 + ++i % 100));
        benchmark::DoNotOptimize(current_limit(s));
    }
}

void plain_counter(benchmark::State& state)
{
    std::uint32_t running = 0;
    for (auto it : state)
    {
        benchmark::DoNotOptimize(++running);
        benchmark::DoNotOptimize(--running);
    }
}

} // namespace

BENCHMARK(plain_counter);
BENCHMARK(record_success_and_limit);
