#include "routing/routing.hpp"

#include <benchmark/benchmark.h>

namespace marjorambeam
{
namespace
{

constexpr int upstream_count = 2300;
constexpr int entry_count = 350;
constexpr int zone_count = 8;

// 2,300 upstreams of one version in 8 zones, seen by one of 350 entries.
struct routing_fixture
{
    std::shared_ptr<config_snapshot> config =
        std::make_shared<config_snapshot>();
    std::vector<agent_view> agents;
    std::vector<entry_view> entries;
    routing_table t;
    steady_time now{std::chrono::hours(1)};
    std::mt19937_64 random{3};
    contract c{.customer = "c", .models = {{"m", {}}}};

    routing_fixture()
    {
        config->versions["m@v1"] = {"m", "v1"};
        for (int i = 0; i < zone_count; ++i)
        {
            std::string const zone = "z" + std::to_string(i);
            config->zones[zone] = {zone, "r", service_state::in};
        }
        for (int i = 0; i < upstream_count; ++i)
        {
            std::string const name = "w" + std::to_string(i);
            config->upstreams[name] = {
                name,
                upstream_kind::engine,
                "z" + std::to_string(i % zone_count),
                {"m@v1"}};
            agents.push_back({name, "i-" + name, false});
        }
        for (int i = 0; i < entry_count; ++i)
            entries.push_back(
                {"e" + std::to_string(i),
                 "z" + std::to_string(i % zone_count)});
        t = build(nullptr);
        for (upstream_index u = 0; u < t.slots.size(); ++u)
            record_load(
                t, u,
                {.running = static_cast<std::uint32_t>(random() % 12),
                 .limit = 16,
                 .tokens_per_second = 20.0 + static_cast<double>(u % 3) * 20,
                 .first_token_seconds = 0.1},
                now);
    }

    routing_table build(routing_table const* previous) const
    {
        return build_routing_table(
            {config, agents, entries, "e0", "z0"}, previous);
    }
};

void decide(benchmark::State& state)
{
    routing_fixture w;
    for (auto _ : state)
    {
        route_choice c = choose_upstream(w.t, {.pool = 0}, w.now, w.random);
        benchmark::DoNotOptimize(c);
    }
}
BENCHMARK(decide);

void decide_with_prefix(benchmark::State& state)
{
    routing_fixture w;
    std::uint64_t prefix = 0;
    for (auto _ : state)
    {
        route_choice c = choose_upstream(
            w.t, {.pool = 0, .prefix_hash = ++prefix}, w.now, w.random);
        benchmark::DoNotOptimize(c);
    }
}
BENCHMARK(decide_with_prefix);

void decide_with_version(benchmark::State& state)
{
    routing_fixture w;
    for (auto _ : state)
    {
        result<version_choice> const v = choose_version(w.t, w.c, "m", "", 0.5);
        route_choice c =
            choose_upstream(w.t, {.pool = v->pool}, w.now, w.random);
        benchmark::DoNotOptimize(c);
    }
}
BENCHMARK(decide_with_version);

// Baseline: selects the next upstream in turn, regardless of load.
void round_robin(benchmark::State& state)
{
    routing_fixture w;
    std::size_t next = 0;
    for (auto _ : state)
    {
        next = next + 1 == w.t.status.size() ? 0 : next + 1;
        benchmark::DoNotOptimize(w.t.status[next].is_routable);
    }
}
BENCHMARK(round_robin);

// Baseline: scans all upstreams and selects the least loaded one.
void least_loaded_scan(benchmark::State& state)
{
    routing_fixture w;
    for (auto _ : state)
    {
        upstream_index best = 0;
        for (upstream_index u = 1; u < w.t.status.size(); ++u)
        {
            upstream_status const& s = w.t.status[u];
            if (s.is_routable && s.reported + s.sent_since_report <
                                     w.t.status[best].reported +
                                         w.t.status[best].sent_since_report)
                best = u;
        }
        benchmark::DoNotOptimize(best);
    }
}
BENCHMARK(least_loaded_scan);

void build_after_config_change(benchmark::State& state)
{
    routing_fixture w;
    for (auto _ : state)
        benchmark::DoNotOptimize(w.build(&w.t));
}
BENCHMARK(build_after_config_change);

void build_after_entry_change(benchmark::State& state)
{
    routing_fixture w;
    for (auto _ : state)
        benchmark::DoNotOptimize(w.build(nullptr));
}
BENCHMARK(build_after_entry_change);

} // namespace
} // namespace marjorambeam
