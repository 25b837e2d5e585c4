#include "gateway/peer_report.hpp"

#include <benchmark/benchmark.h>

namespace marjorambeam
{
namespace
{

constexpr steady_time start{std::chrono::hours(1)};

gateway_state state_of(std::int64_t gateways)
{
    gateway_state s;
    s.settings.instance = "gateway-0";
    s.self = 1;
    for (std::int64_t i = 1; i < gateways; ++i)
    {
        gateway_peer& p = s.peers["gateway-" + std::to_string(i)];
        p.sequence = 1;
        p.incarnation_id = static_cast<incarnation>(i) + 1;
    }
    return s;
}

// Encodes one report and the datagrams with its echoes, by the number of
// gateways.
void send_a_report_to_all(benchmark::State& state)
{
    gateway_state s = state_of(state.range(0));
    for (auto _ : state)
    {
        std::string const report = encode_report(make_report(s, start));
        record_sent(s.reports, start);
        for (auto const& [name, p] : s.peers)
        {
            peer_call call = to_call(report, echo_for(p, start));
            benchmark::DoNotOptimize(call);
        }
    }
}
BENCHMARK(send_a_report_to_all)->Arg(4)->Arg(68)->Arg(350);

// Decodes and applies the report of a peer that answers each of ours.
void apply_an_answer(benchmark::State& state)
{
    gateway_state s = state_of(state.range(0));
    gateway_report r = make_report(s, start);
    r.sender = "gateway-1";
    r.incarnation_id = 2;
    steady_time now = start;
    for (auto _ : state)
    {
        now += std::chrono::milliseconds(150);
        ++r.sequence;
        r.clock_us = now.time_since_epoch().count();
        r.echo = {.addressee = s.self, .sequence = record_sent(s.reports, now)};
        auto outcome = apply_report(s, r, now);
        benchmark::DoNotOptimize(outcome);
    }
}
BENCHMARK(apply_an_answer)->Arg(4)->Arg(350);

} // namespace
} // namespace marjorambeam
