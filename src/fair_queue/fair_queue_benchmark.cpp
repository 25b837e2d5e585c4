// Cost of one push and one pop with a standing backlog, compared with a plain
// FIFO.
#include "fair_queue/fair_queue.hpp"

#include <benchmark/benchmark.h>

using namespace marjorambeam;

namespace
{

constexpr steady_time start{std::chrono::hours(1)};

std::vector<queue_entry> make_entries(std::int64_t customers)
{
    std::vector<queue_entry> out;
    for (std::int64_t i = 0; i < customers; ++i)
    {
        out.push_back(
            {.customer = "customer-" + std::to_string(i),
             .weight = static_cast<std::uint32_t>(1 + i % 4),
             .cost = static_cast<std::uint64_t>(16 + i % 100),
             .deadline = start + std::chrono::seconds(60)});
    }
    return out;
}

void fair_push_pop(benchmark::State& state)
{
    std::vector<queue_entry> const entries = make_entries(state.range(0));
    fair_queue q(1U << 20U);
    queue_limits const limits{
        .max_per_customer = 1U << 20U,
        .tokens_per_second = static_cast<double>(state.range(1))};
    std::uint64_t id = 0;
    auto push = [&]
    {
        queue_entry e = entries[id % entries.size()];
        e.id = ++id;
        benchmark::DoNotOptimize(q.push(std::move(e), limits, start));
    };
    for (int i = 0; i < 1024; ++i)
        push();
    for (auto it : state)
    {
        push();
        benchmark::DoNotOptimize(q.pop());
    }
}

void fifo_push_pop(benchmark::State& state)
{
    std::vector<queue_entry> const entries = make_entries(state.range(0));
    std::deque<queue_entry> q;
    std::uint64_t id = 0;
    auto push = [&]
    {
        queue_entry e = entries[id % entries.size()];
        e.id = ++id;
        q.push_back(std::move(e));
    };
    for (int i = 0; i < 1024; ++i)
        push();
    for (auto it : state)
    {
        push();
        queue_entry const e = std::move(q.front());
        q.pop_front();
        benchmark::DoNotOptimize(e.id);
    }
}

} // namespace

BENCHMARK(fifo_push_pop)->Arg(10)->Arg(100);
// Arguments: number of customers, and tokens per second for the estimated wait
// (0: no estimate).
BENCHMARK(fair_push_pop)
    ->Args({10, 0})
    ->Args({100, 0})
    ->Args({10, 1000000000})
    ->Args({100, 1000000000});
