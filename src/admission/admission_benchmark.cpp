#include "admission/admission.hpp"

#include <benchmark/benchmark.h>

namespace marjorambeam
{
namespace
{

// A decision covered by a local batch, as for nearly all requests.
void admit_from_batch(benchmark::State& state)
{
    entry_allowance s;
    allowance const limits{1e6, 1e9, 2, 1000000};
    admission_view view{
        steady_time(std::chrono::hours(1)), wall_time(std::chrono::hours(1)),
        350};
    std::int64_t admitted = 0;
    for (auto _ : state)
    {
        s.left = {1e6, 1e9, 1000000};
        s.lease_end = view.now + grant_lease;
        view.now += duration(10);
        admission_decision const d = admit(s, limits, {500, 3}, view);
        admitted += d.outcome == admission_outcome::admitted ? 1 : 0;
    }
    benchmark::DoNotOptimize(admitted);
}
BENCHMARK(admit_from_batch);

// A local refusal while the customer is denied: the cost that a customer at ten
// times its rate imposes on the entry.
void refuse_denied(benchmark::State& state)
{
    entry_allowance s;
    allowance const limits;
    admission_view const view{
        steady_time(std::chrono::hours(1)), wall_time(std::chrono::hours(1)),
        350};
    s.denied_until = view.now + std::chrono::hours(1);
    for (auto _ : state)
    {
        admission_decision d = admit(s, limits, {500, 3}, view);
        benchmark::DoNotOptimize(d);
    }
}
BENCHMARK(refuse_denied);

// Request, grant and acceptance without serialization.
void request_from_owner(benchmark::State& state)
{
    entry_allowance s;
    owner_allowance owner;
    allowance const limits{1e6, 1e9, 2, 0};
    admission_view view{
        steady_time(std::chrono::hours(1)), wall_time(std::chrono::hours(1)),
        350};
    for (auto _ : state)
    {
        view.now += std::chrono::milliseconds(1);
        allowance_request const r = make_request(s, limits, {500, 3}, view);
        accept_grant(
            s, grant(owner, limits, r, steady_time{}, view.now, view.wall),
            view);
    }
}
BENCHMARK(request_from_owner);

} // namespace
} // namespace marjorambeam
