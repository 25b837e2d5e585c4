#include "gateway/gateway_config.hpp"
#include "gateway/upstream_table.hpp"
#include "http_stream/event_stream.hpp"

#include <benchmark/benchmark.h>

namespace marjorambeam
{
namespace
{

constexpr int many_routes = 400;
constexpr int many_upstreams = 56; // of the largest deployment known

// Finds the route of a request in a large configuration.
void find_route_of_400(benchmark::State& state)
{
    gateway_config c;
    std::vector<std::string> paths;
    for (int i = 0; i < many_routes; ++i)
    {
        std::string const prefix = "/service-" + std::to_string(i) + "/v1/";
        add_route(c, {.name = "r", .host = "api", .prefix = prefix});
        paths.push_back(prefix + "items/7");
    }
    std::size_t i = 0;
    for (auto _ : state)
    {
        gateway_route const* r = find_route(c, "api", paths[i]);
        benchmark::DoNotOptimize(r);
        i = (i + 1) % paths.size();
    }
}
BENCHMARK(find_route_of_400);

upstream_table engines()
{
    upstream_table b;
    for (int i = 0; i < many_upstreams; ++i)
    {
        auto u = std::make_shared<upstream_state>();
        u->info.id = "engine-" + std::to_string(i);
        u->info.service = "pool";
        u->info.slots = 64;
        u->work = 100.0 * i;
        u->pace = {.took_us = 1e6, .work = 1e5, .samples = 10};
        put_upstream(b, u);
    }
    b.pace = {.took_us = 1e7, .work = 1e6, .samples = 100};
    return b;
}

// Selects an engine for a prompt with a shared prefix.
void choose_of_56_engines(benchmark::State& state)
{
    upstream_table b = engines();
    upstream_query q{.service = "pool", .affinity = "part-1"};
    q.is_engine = true;
    q.work = {.prefill = 12000, .decode = 200, .shared = 5000};
    steady_time const now{std::chrono::hours(1)};
    for (auto _ : state)
    {
        upstream_selection c = select_upstream(b, q, now);
        benchmark::DoNotOptimize(c.chosen);
    }
}
BENCHMARK(choose_of_56_engines);

// Processes one event of a stream, from its bytes to the forwarded ones.
void pass_on_event(benchmark::State& state)
{
    event_splitter events;
    std::int64_t id = 0;
    std::string const text(200, 'x');
    for (auto _ : state)
    {
        std::string const event =
            "id: " + std::to_string(id++) + "\ndata: " + text + "\n\n";
        std::string complete_events = events.put(event);
        benchmark::DoNotOptimize(complete_events);
    }
    state.SetBytesProcessed(id * static_cast<std::int64_t>(text.size()));
}
BENCHMARK(pass_on_event);

} // namespace
} // namespace marjorambeam
