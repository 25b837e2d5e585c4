#include "gateway/attempt_delay.hpp"
#include "gateway/buffer_pool.hpp"

#include <benchmark/benchmark.h>

namespace marjorambeam
{
namespace
{

// What each request pays.
void claim_and_return(benchmark::State& state)
{
    buffer_pools p = make_buffer_pools(std::size_t{260} << 20U);
    for (auto _ : state)
    {
        auto claim = try_claim(p.requests, request_buffer_bytes);
        benchmark::DoNotOptimize(claim);
    }
}
BENCHMARK(claim_and_return);

// Grants a claim that waits behind others, by their number.
void grant_the_next(benchmark::State& state)
{
    buffer_pool pool{.capacity = 1};
    std::list<buffer_claim> waiting;
    for (std::int64_t i = 0; i < state.range(0); ++i)
        waiting.emplace_back(pool, 1, std::function<void()>());
    for (auto _ : state)
    {
        waiting.pop_front(); // the one that was granted
        waiting.emplace_back(pool, 1, std::function<void()>());
    }
}
BENCHMARK(grant_the_next)->Arg(10)->Arg(1000);

// Passes over claims that wait for others of their owner, by their number.
void claim_beside_a_faulty_owner(benchmark::State& state)
{
    buffer_pool pool{.capacity = 100};
    std::list<buffer_claim> faulty;
    for (std::int64_t i = 0; i < state.range(0); ++i)
        faulty.emplace_back(pool, 25, std::function<void()>(), "f");
    for (auto _ : state)
    {
        buffer_claim claim(pool, 1, {}, "s");
        benchmark::DoNotOptimize(claim);
    }
}
BENCHMARK(claim_beside_a_faulty_owner)->Arg(10)->Arg(1000);

// What each attempt pays five times a second.
void judge_an_attempt(benchmark::State& state)
{
    attempt_progress p{
        .since_sent = std::chrono::seconds(2),
        .since_received = std::chrono::milliseconds(10),
        .is_event_stream = true,
        .since_event = std::chrono::milliseconds(100)};
    attempt_bounds const bounds{
        .target = std::chrono::seconds(1),
        .gap_target = std::chrono::milliseconds(300)};
    for (auto _ : state)
    {
        benchmark::DoNotOptimize(p);
        attempt_delay d = delay_of(p, bounds);
        benchmark::DoNotOptimize(d);
    }
}
BENCHMARK(judge_an_attempt);

} // namespace
} // namespace marjorambeam
