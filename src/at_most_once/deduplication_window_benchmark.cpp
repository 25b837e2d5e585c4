#include "at_most_once/deduplication_window.hpp"

#include <benchmark/benchmark.h>
#include <unordered_map>

using namespace marjorambeam;

namespace
{

constexpr std::int64_t start_ms = 1'750'000'000'000;

std::vector<key_request> make_requests(std::size_t n)
{
    std::vector<key_request> all;
    for (std::size_t i = 0; i < n; ++i)
        all.push_back(
            {"havbris", "line-control",
             make_uuid7(start_ms, i * 0x9e3779b97f4a7c15U), 1});
    return all;
}

void window_look_up(benchmark::State& state)
{
    auto const requests =
        make_requests(static_cast<std::size_t>(state.range(0)));
    deduplication_window window(1);
    partition_state s;
    s.is_owner = true;
    s.lease_end_ms = start_ms + 60'000;
    s.lease_end_steady_ms = 60'000;
    s.clock_base_ms = start_ms;
    clock_reading const now{start_ms, 0};
    for (key_request const& it : requests)
    {
        window.admit(s, it, true, now);
        window.complete(it, {200, "text/plain", "done"});
    }
    std::size_t i = 0;
    for (auto _ : state)
    {
        benchmark::DoNotOptimize(window.admit(s, requests[i], true, now));
        i = i + 1 < requests.size() ? i + 1 : 0;
    }
}

void map_look_up(benchmark::State& state)
{
    auto const requests =
        make_requests(static_cast<std::size_t>(state.range(0)));
    std::unordered_map<std::string, int> map;
    for (key_request const& it : requests)
        map[it.key] = 1;
    std::size_t i = 0;
    for (auto _ : state)
    {
        benchmark::DoNotOptimize(map.find(requests[i].key));
        i = i + 1 < requests.size() ? i + 1 : 0;
    }
}

BENCHMARK(window_look_up)->Arg(1000)->Arg(100000);
BENCHMARK(map_look_up)->Arg(1000)->Arg(100000);

} // namespace
