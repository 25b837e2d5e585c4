// Cost of ordering the waiting requests of one turn of the dispatch loop, which
// runs every 20 ms.
#include "gateway/waiting_order.hpp"

#include <benchmark/benchmark.h>

namespace marjorambeam
{
namespace
{

constexpr steady_time start{std::chrono::hours(1)};
constexpr int organisations = 24;

void order_waiting_of_24(benchmark::State& state)
{
    std::vector<std::string> names;
    names.reserve(organisations);
    for (int i = 0; i < organisations; ++i)
        names.push_back("organisation-" + std::to_string(i));
    service_shares shares;
    std::vector<waiting_request> waiting;
    for (std::int64_t i = 0; i < state.range(0); ++i)
    {
        waiting.push_back(
            {.priority = static_cast<int>(i % 5),
             .organisation =
                 names[static_cast<std::size_t>(i * 7 % organisations)],
             .service = i % 3 == 0 ? "orders" : "summaries",
             .arrived = start + std::chrono::milliseconds(i * 37 % 2000),
             .target_at = start + std::chrono::milliseconds(i * 53 % 5000),
             .deadline = start + std::chrono::milliseconds(i * 71 % 15000),
             .expected = std::chrono::milliseconds(60 + i * 13 % 900),
             .work = static_cast<double>(1 + i % 50),
             .came_back = i % 11 == 0});
        record_dispatch(shares, waiting.back(), start);
    }
    for (auto it : state)
        benchmark::DoNotOptimize(order_waiting(
            waiting, shares, start + std::chrono::milliseconds(1500)));
}
BENCHMARK(order_waiting_of_24)->Arg(50)->Arg(500)->Arg(2000);

void record_one_dispatch(benchmark::State& state)
{
    service_shares shares;
    waiting_request r{.organisation = "a", .service = "orders"};
    steady_time now = start;
    for (auto it : state)
    {
        now += std::chrono::milliseconds(1);
        r.organisation = now.time_since_epoch().count() % 2 == 0 ? "a" : "b";
        record_dispatch(shares, r, now);
    }
}
BENCHMARK(record_one_dispatch);

} // namespace
} // namespace marjorambeam
