// Cost of the room per request at one of 350 gateways, in front of 2,300
// upstreams of one plain service, in virtual time.
#include "gateway/room_cache.hpp"

#include <benchmark/benchmark.h>

#include <memory>

namespace marjorambeam
{
namespace
{

constexpr std::size_t gateways = 350;
constexpr std::size_t most_upstreams = 2300;
constexpr double requests_per_s = 15'000;

struct fleet
{
    upstream_table table;
    service_time prior;
    room_cache cache;
    steady_time now{std::chrono::hours(1)};

    fleet()
    {
        // Later than any time of the benchmark, so that no sample expires.
        steady_time const updated_at = now + std::chrono::hours(100'000);
        for (std::size_t i = 0; i < most_upstreams; ++i)
        {
            auto u = std::make_shared<upstream_state>();
            u->info = {
                .id = "orders-" + std::to_string(i),
                .service = "orders",
                .zone = "a",
                .slots = 6};
            u->requests = 12;
            u->own_load = {6, 6, 6, 120};
            u->load_reported_at = updated_at;
            record_service_time(
                u->room, prior,
                {.took = std::chrono::milliseconds(60), .slots = 6},
                updated_at);
            put_upstream(table, u);
        }
    }
};

// One pass over the upstreams, without the cache.
void estimate_anew(benchmark::State& state)
{
    fleet f;
    for (auto _ : state)
    {
        f.now += 2 * max_room_age;
        benchmark::DoNotOptimize(
            cached_room(f.cache, f.table, "orders", f.prior, f.now));
    }
}
BENCHMARK(estimate_anew);

// Requests at this gateway's share of the peak that need their service time
// only: none waits. Its look-ups are those of a send, for the selection and the
// waiting order.
void without_waiting(benchmark::State& state)
{
    fleet f;
    duration const interval = from_seconds(gateways / requests_per_s);
    for (auto _ : state)
    {
        f.now += interval;
        for (int i = 0; i < 2; ++i)
            benchmark::DoNotOptimize(cached_service_time(
                f.cache, f.table, "orders", f.prior, f.now));
    }
}
BENCHMARK(without_waiting);

// The time of one request in one turn of the dispatch loop while others wait: a
// decision, and the look-ups for its selection and its place in the order.
void with_waiting(benchmark::State& state)
{
    fleet f;
    std::int64_t left = 0;
    for (auto _ : state)
    {
        if (left-- == 0)
        {
            f.now += std::chrono::milliseconds(20);
            left = state.range(0) - 1;
        }
        for (int i = 0; i < 2; ++i)
            benchmark::DoNotOptimize(cached_service_time(
                f.cache, f.table, "orders", f.prior, f.now));
        benchmark::DoNotOptimize(
            cached_room(f.cache, f.table, "orders", f.prior, f.now));
    }
}
BENCHMARK(with_waiting)->Arg(1)->Arg(10)->Arg(50);

} // namespace
} // namespace marjorambeam
