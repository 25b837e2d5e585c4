#include "gateway/completion_estimate.hpp"
#include "gateway/model_choice.hpp"

#include <array>
#include <benchmark/benchmark.h>
#include <string>
#include <vector>

namespace marjorambeam
{
namespace
{

using std::chrono::milliseconds;

constexpr steady_time start{std::chrono::seconds(1000)};
constexpr std::size_t models = 3;
constexpr int many_services = 40;
constexpr int many_routes = 400;

std::string route_of(int i)
{
    return "route-" + std::to_string(i);
}

// A gateway with samples of all services, routes and loads.
completion_estimates learned()
{
    completion_estimates all;
    for (int i = 0; i < many_services; ++i)
    {
        std::string const service = "service-" + std::to_string(i);
        for (std::size_t m = 0; m < models; ++m)
        {
            for (int n = 1; n <= 256; ++n)
                record_event_time(
                    all, service, m, n, milliseconds(20 + n), start);
        }
        for (int k = 0; k < 50; ++k)
            record_completion(
                all, service, milliseconds(1000), milliseconds(700 + 20 * k));
    }
    for (int i = 0; i < many_routes; ++i)
    {
        for (int k = 1; k <= 20; ++k)
            record_length(all, route_of(i), 100 * k, 11 * k);
    }
    return all;
}

// What a request pays per candidate model. The target of docs/overload.md is
// 2 microseconds.
void predict_one_completion(benchmark::State& state)
{
    completion_estimates const all = learned();
    std::vector<std::string> routes;
    routes.reserve(many_routes);
    for (int i = 0; i < many_routes; ++i)
        routes.push_back(route_of(i));
    std::size_t i = 0;
    for (auto _ : state)
    {
        completion_prediction p = predict_completion(
            all, {.service = "service-7",
                  .route = routes[i],
                  .model = 2,
                  .models = models,
                  .hinted_tokens = 900,
                  .requests = 43,
                  .first_event = milliseconds(400),
                  .now = start});
        benchmark::DoNotOptimize(p);
        i = (i + 1) % routes.size();
    }
}
BENCHMARK(predict_one_completion);

// What each event of a stream pays.
void record_one_event_time(benchmark::State& state)
{
    completion_estimates all = learned();
    int n = 0;
    for (auto _ : state)
    {
        n = n % 43 + 1;
        record_event_time(all, "service-7", 2, n, milliseconds(20 + n), start);
    }
}
BENCHMARK(record_one_event_time);

// What each response pays at its end.
void record_one_completion(benchmark::State& state)
{
    completion_estimates all = learned();
    for (auto _ : state)
    {
        record_length(all, "route-7", 900, 106);
        record_completion(
            all, "service-7", milliseconds(900), milliseconds(1000));
    }
}
BENCHMARK(record_one_completion);

// Chooses among two larger models at an engine with other requests. The
// predictions are those of predict_one_completion.
void choose_one_model(benchmark::State& state)
{
    completion_prediction const p{
        .is_known = true,
        .likely = milliseconds(8000),
        .early = milliseconds(5000),
        .late = milliseconds(14000)};
    larger_model_delay const t{
        .expected = milliseconds(300),
        .queued = milliseconds(100),
        .left = milliseconds(1500)};
    std::array const candidates{
        model_candidate{
            .model = 2,
            .delay = t,
            .completion = p,
            .own_time = t.expected,
            .requests = 20},
        model_candidate{
            .model = 1,
            .delay = t,
            .completion = p,
            .own_time = t.queued,
            .requests = 20}};
    model_choice_query q{
        .escalation = {.models = models, .confidence = 30},
        .candidates = candidates,
        .until_deadline = milliseconds(12000),
        .target = milliseconds(3000)};
    for (auto _ : state)
    {
        benchmark::DoNotOptimize(q);
        model_choice c = choose_model(q);
        benchmark::DoNotOptimize(c);
    }
}
BENCHMARK(choose_one_model);

} // namespace
} // namespace marjorambeam
