// The measures of section 1.7 that need entries, agents and customers: a small
// customer beside a large one, an availability zone that leaves and returns,
// and a pool that is exhausted.
#include "bench/policy_model/fleet_model.hpp"
#include "bench/policy_model/measure.hpp"

#include <string>

namespace marjorambeam
{
namespace
{

std::string label(std::uint64_t seed, std::string_view name)
{
    return "seed " + std::to_string(seed) + " " + std::string(name);
}

std::function<double(double)> constant(double rate)
{
    return [rate](double) { return rate; };
}

// What a plain proxy does: no bounds, no limits, three attempts at once.
fleet_settings plain(fleet_settings s, policy routing)
{
    s.routing = routing;
    s.agent.has_fair_queue = false;
    s.agent.has_warm_up = false;
    s.has_retry_budget = false;
    s.has_allowances = false;
    return s;
}

// Small customer beside a large one.

constexpr double small_p95_target = 1.25;
constexpr double neighbour_factor = 10;
// The contracts promise the large customer 40% of the capacity, the small one
// a tenth.
constexpr double large_share = 0.4;
constexpr double small_share = 0.1;
constexpr double small_use = 0.6; // of its allowance, on average
// Allowances leave room for requests above the mean.
constexpr double token_margin = 1.5;

fleet_settings customers_beside(std::uint64_t seed)
{
    // Equal upstreams: with unequal ones, a second customer alone would move
    // the first to slower upstreams, whatever is decided.
    fleet_settings s{.seed = seed, .seconds = 900, .speeds = {40, 40, 40}};
    double const capacity = capacity_of(s) / mean_tokens();
    auto const limits = [&](double share)
    {
        double const rate = capacity * share;
        return allowance{
            .requests_per_second = rate,
            .tokens_per_second = rate * mean_tokens() * token_margin,
            .burst_seconds = 5};
    };
    s.customers.push_back(
        {.name = "small",
         .rate = constant(capacity * small_share * small_use),
         .limits = limits(small_share),
         .shaped_burst = 1});
    s.customers.push_back(
        {.name = "large",
         .rate = constant(capacity * large_share * neighbour_factor),
         .limits = limits(large_share),
         .resends = 2});
    return s;
}

// An availability zone leaves and returns.

constexpr double zone_p95_target = 1.5;
constexpr double answered_target = 0.99;
constexpr double zone_load = 0.7;
constexpr double settle_seconds = 60; // while the queues build up
constexpr double out_from = 300;
constexpr double out_until = 600;
constexpr double end_seconds = 900;

fleet_settings zone_settings(std::uint64_t seed)
{
    fleet_settings s{.seed = seed, .seconds = end_seconds};
    s.not_idempotent = 0.05;
    s.fault = zone_fault{seed % s.zones, out_from, out_until};
    double const rate = zone_load * capacity_of(s) / mean_tokens();
    for (int i = 0; i < 5; ++i)
        s.customers.push_back(
            {.name = "c" + std::to_string(i), .rate = constant(rate / 5)});
    return s;
}

struct zone_outcome
{
    period_figures before;
    period_figures during; // from the loss to the end
    double lost = 0;       // without a final response
    double run_twice = 0;  // not idempotent
    double wrong = 0;      // reported as not run, but did run
    double overloads = 0;
};

zone_outcome run_zone(fleet_settings const& s)
{
    fleet_result const r = run_fleet(s);
    zone_outcome o;
    o.before = figures_of(r, settle_seconds, out_from);
    o.during = figures_of(r, out_from, end_seconds);
    o.overloads = static_cast<double>(r.cold_overloads);
    for (fleet_answer const& it : r.answers)
    {
        o.lost += it.end == 0 ? 1 : 0;
        o.run_twice += !it.is_idempotent && it.runs > 1 ? 1 : 0;
        // A request that its caller sent again is a new one to the entry.
        bool const is_wrong = it.kind == answer_kind::refused &&
                              it.run == run_state::not_run && it.runs > 0 &&
                              !it.was_resent;
        o.wrong += is_wrong ? 1 : 0;
    }
    return o;
}

// The whole pool is exhausted.

constexpr double goodput_target = 0.9;
constexpr double retry_target = 1.1; // attempts per request
constexpr double recovery_seconds = 10;
constexpr double usual_load = 0.5;
constexpr double overload = 2; // 100% more than capacity
constexpr double overload_from = 120;
constexpr double overload_until = 420;
constexpr double overload_end = 540;

fleet_settings overload_settings(std::uint64_t seed)
{
    fleet_settings s{.seed = seed, .seconds = overload_end};
    double const rate = capacity_of(s) / mean_tokens() / 4;
    for (int i = 0; i < 4; ++i)
        s.customers.push_back(
            {.name = "c" + std::to_string(i),
             .rate = [rate](double t)
             {
                 bool const is_over = t >= overload_from && t < overload_until;
                 return rate * (is_over ? overload : usual_load);
             }});
    return s;
}

struct overload_outcome
{
    period_figures before;
    period_figures during;
    period_figures after;
    double goodput = 0;
};

overload_outcome run_overload(fleet_settings const& s)
{
    fleet_result const r = run_fleet(s);
    overload_outcome o;
    o.before = figures_of(r, settle_seconds, overload_from);
    o.during = figures_of(r, overload_from, overload_until);
    o.after = figures_of(r, overload_until + recovery_seconds, overload_end);
    o.goodput =
        o.during.tokens / (capacity_of(s) * (overload_until - overload_from));
    return o;
}

} // namespace

measure measure_small_customer(seed_list const& seeds)
{
    measure m("small_customer");
    for (std::uint64_t seed : seeds)
    {
        fleet_settings const s = customers_beside(seed);
        fleet_settings only = s;
        only.customers.pop_back();
        auto const run = [&](std::string_view name, fleet_settings const& f)
        {
            fleet_result const r = run_fleet(f);
            period_figures const small =
                figures_of(r, settle_seconds, f.seconds, 0);
            period_figures const large =
                figures_of(r, settle_seconds, f.seconds, 1);
            m.row(
                label(seed, name),
                {{"p50 s", small.p50},
                 {"p95 s", small.p95},
                 {"refused", small.refused},
                 {"answered", small.answered},
                 {"requests", small.count},
                 {"large answered", large.answered * large.count}});
            return small;
        };
        period_figures const alone = run("alone", only);
        period_figures const beside = run("beside a large one", s);
        run("beside, first in first out", plain(s, policy::routed));
        m.at_most(seed, "refused within allowance", beside.refused, 0);
        m.at_most(
            seed, "p95 to alone", beside.p95 / alone.p95, small_p95_target);
    }
    return m;
}

measure measure_zone(seed_list const& seeds)
{
    measure m("zone");
    for (std::uint64_t seed : seeds)
    {
        fleet_settings const s = zone_settings(seed);
        auto const run = [&](std::string_view name, fleet_settings const& f)
        {
            zone_outcome const o = run_zone(f);
            m.row(
                label(seed, name), {{"p95 before", o.before.p95},
                                    {"p95 after", o.during.p95},
                                    {"answered", o.during.answered},
                                    {"refused", o.during.refused},
                                    {"lost", o.lost},
                                    {"run twice", o.run_twice},
                                    {"wrong not_run", o.wrong},
                                    {"cold over", o.overloads}});
            return o;
        };
        zone_outcome const o = run("routed", s);
        run("round robin", plain(s, policy::round_robin));
        run("least loaded", plain(s, policy::least_loaded));
        m.at_most(seed, "lost", o.lost, 0);
        m.at_most(seed, "run twice", o.run_twice, 0);
        m.at_most(seed, "reported as not run after it ran", o.wrong, 0);
        m.at_least(
            seed, "answered within the deadline", o.during.answered,
            answered_target);
        m.at_most(
            seed, "p95 to before", o.during.p95 / o.before.p95,
            zone_p95_target);
        m.at_most(seed, "cold upstreams above their limit", o.overloads, 0);
    }
    return m;
}

measure measure_overload(seed_list const& seeds)
{
    measure m("overload");
    for (std::uint64_t seed : seeds)
    {
        fleet_settings const s = overload_settings(seed);
        auto const run = [&](std::string_view name, fleet_settings const& f)
        {
            overload_outcome const o = run_overload(f);
            m.row(
                label(seed, name), {{"goodput", o.goodput},
                                    {"answered", o.during.answered},
                                    {"attempts", o.during.attempts},
                                    {"p95 before", o.before.p95},
                                    {"p95 during", o.during.p95},
                                    {"p95 after", o.after.p95},
                                    {"after ok", o.after.answered}});
            return o;
        };
        overload_outcome const o = run("routed", s);
        run("least loaded, retries at once", plain(s, policy::least_loaded));
        m.at_least(seed, "goodput to capacity", o.goodput, goodput_target);
        m.at_most(
            seed, "attempts per request", o.during.attempts, retry_target);
        // Recovered: as within the deadline and as fast as the zone measure
        // demands.
        m.at_least(
            seed, "answered 10 s after", o.after.answered, answered_target);
        m.at_most(
            seed, "p95 10 s after to before", o.after.p95 / o.before.p95,
            zone_p95_target);
    }
    return m;
}

} // namespace marjorambeam
