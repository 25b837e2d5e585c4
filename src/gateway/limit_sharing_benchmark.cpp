#include "gateway/limit_sharing.hpp"
#include "limit_fleet/limit_fleet_model.hpp"

#include <benchmark/benchmark.h>

namespace marjorambeam
{
namespace
{

constexpr steady_time start{std::chrono::hours(1)};
constexpr int limited_upstreams = 80; // all engines of a large deployment

// A gateway that has heard all others, before upstreams that name limits.
gateway_state state_of(std::int64_t gateways)
{
    gateway_state s;
    s.settings.instance = "gateway-0";
    s.started = start - std::chrono::hours(1);
    for (std::int64_t i = 1; i < gateways; ++i)
        s.peers["gateway-" + std::to_string(i)].last_received_at = start;
    for (int i = 0; i < limited_upstreams; ++i)
        record_limit(
            s.upstreams.notices, "engine-" + std::to_string(i), 1, 1.0, start,
            start);
    return s;
}

// Recomputes the shares on each tick, by the number of gateways.
void refresh_unchanged_shares(benchmark::State& state)
{
    gateway_state s = state_of(state.range(0));
    for (auto _ : state)
    {
        auto changed = refresh_limit_shares(s, start);
        benchmark::DoNotOptimize(changed);
    }
}
BENCHMARK(refresh_unchanged_shares)->Arg(1)->Arg(4)->Arg(68)->Arg(350);

// The same when a gateway has just stopped or returned.
void refresh_changed_shares(benchmark::State& state)
{
    gateway_state s = state_of(state.range(0));
    bool is_stopping = false;
    for (auto _ : state)
    {
        is_stopping = !is_stopping;
        if (!s.peers.empty())
            s.peers.begin()->second.is_stopping = is_stopping;
        auto changed = refresh_limit_shares(s, start);
        benchmark::DoNotOptimize(changed);
    }
}
BENCHMARK(refresh_changed_shares)->Arg(1)->Arg(4)->Arg(68)->Arg(350);

// Part of a limit of 1 a second that a fleet uses, most requests in 4 s and
// messages about claims per second, in virtual time by the number of gateways.
void use_of_a_limit(benchmark::State& state)
{
    using std::chrono::seconds;
    double used = 0;
    double most = 0;
    double messages = 0;
    double runs = 0;
    for (auto _ : state)
    {
        limit_fleet_model m(
            {.gateways = static_cast<std::size_t>(state.range(0)),
             .demand_per_second = 30});
        m.run_for(seconds(20));
        m.set_limit(1);
        m.run_for(seconds(3));
        steady_time const from = m.now();
        std::size_t const before = m.claim_messages();
        m.run_for(seconds(20));
        used += m.arrival_rate(from);
        most += static_cast<double>(m.max_arrivals(seconds(4), from));
        messages += static_cast<double>(m.claim_messages() - before) / 20;
        runs += 1;
    }
    state.counters["used"] = used / runs;
    state.counters["most_in_4s"] = most / runs;
    state.counters["claim_messages_per_s"] = messages / runs;
}
BENCHMARK(use_of_a_limit)
    ->Arg(1)
    ->Arg(4)
    ->Arg(68)
    ->Arg(350)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

} // namespace
} // namespace marjorambeam
