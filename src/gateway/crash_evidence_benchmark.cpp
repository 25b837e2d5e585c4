#include "crash_fleet/crash_fleet_model.hpp"
#include "gateway/crash_evidence.hpp"

#include <benchmark/benchmark.h>

namespace marjorambeam
{
namespace
{

constexpr steady_time start{std::chrono::hours(1)};

// Evidence of as many crashes as are kept, each with suspects of many parts.
crash_evidence evidence_of(std::int64_t suspects)
{
    crash_evidence e;
    std::uint64_t request = 0;
    for (std::uint64_t c = 0; c < max_crash_records; ++c)
    {
        std::vector<crash_suspect> all;
        for (std::int64_t i = 0; i < suspects; ++i)
        {
            ++request;
            all.push_back(
                {{.request = request,
                  .organisation = request % 10,
                  .parts = {request % 12, 100 + request % 400, request % 7}}});
        }
        record_crash(e, c, start + std::chrono::seconds(c), all);
    }
    return e;
}

// Judges all parts, by the number of suspects of each crash.
void judge_all_parts(benchmark::State& state)
{
    crash_evidence e = evidence_of(state.range(0));
    for (auto _ : state)
    {
        crash_baseline const b = baseline_of(e, 1, start);
        part_findings found = judge_parts(e, b, start);
        benchmark::DoNotOptimize(found);
    }
}
BENCHMARK(judge_all_parts)->Arg(4)->Arg(32)->Arg(128);

// What each request pays at a gateway with entries.
void look_up_a_request(benchmark::State& state)
{
    part_quarantine q;
    for (std::int64_t i = 0; i < state.range(0); ++i)
        apply_stored(
            q, {.key = {static_cast<std::uint64_t>(i) + 1'000, 0}}, 1, start);
    request_traits const r{.organisation = 1, .parts = {1, 2, 3}};
    for (auto _ : state)
        benchmark::DoNotOptimize(find_quarantine(q, r));
}
BENCHMARK(look_up_a_request)->Arg(0)->Arg(1)->Arg(256);

// A deadly part in one request of fifty, by the number of gateways: crashes
// that it causes, requests later than 3 s after the fifth one, and messages.
void deadly_part_in_a_fleet(benchmark::State& state)
{
    using std::chrono::seconds;
    double crashes = 0;
    double late = 0;
    double messages = 0;
    double repeated = 0;
    double runs = 0;
    for (auto _ : state)
    {
        auto const gateways = static_cast<std::size_t>(state.range(0));
        crash_fleet_model m(
            {.gateways = gateways,
             .engines = 18 + gateways,
             .requests_per_second = 60 + 4.0 * static_cast<double>(gateways)});
        m.run_for(seconds(3));
        m.set_deadly({deadly_part});
        steady_time const from = m.now();
        m.run_for(seconds(10));
        crashes += static_cast<double>(m.caused_crashes());
        late += static_cast<double>(m.late_arrivals(seconds(3)));
        messages += static_cast<double>(m.messages()) / (10.0 * gateways);
        repeated += static_cast<double>(m.sound_since(from).repeated);
        runs += 1;
    }
    state.counters["crashes"] = crashes / runs;
    state.counters["late"] = late / runs;
    state.counters["messages_per_s_and_gateway"] = messages / runs;
    state.counters["sound_repeated"] = repeated / runs;
}
BENCHMARK(deadly_part_in_a_fleet)
    ->Arg(1)
    ->Arg(4)
    ->Arg(68)
    ->Arg(350)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

} // namespace
} // namespace marjorambeam
