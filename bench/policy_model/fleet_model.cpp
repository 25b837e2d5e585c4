#include "bench/policy_model/fleet_model.hpp"

#include "bench/policy_model/fleet_simulation.hpp"
#include "bench/policy_model/measure.hpp"

#include <algorithm>

namespace marjorambeam
{

double capacity_of(fleet_settings const& s)
{
    double sum = 0;
    for (double speed : s.speeds)
    {
        agent_settings a = s.agent;
        a.speed = speed;
        sum += agent_model::capacity(a);
    }
    return sum * static_cast<double>(s.zones);
}

double mean_tokens()
{
    double sum = internal::prompt_tokens;
    for (internal::request_class const& it : internal::classes)
        sum += it.share * it.tokens;
    return sum;
}

fleet_result run_fleet(fleet_settings const& s)
{
    return internal::fleet_simulation(s).run();
}

period_figures figures_of(
    fleet_result const& r, double from, double until,
    std::optional<std::size_t> customer)
{
    period_figures f;
    std::vector<double> seconds;
    double sent = 0;
    for (fleet_answer const& it : r.answers)
    {
        if (customer && it.customer != *customer)
            continue;
        bool const is_answered = it.kind == answer_kind::answered;
        if (is_answered && it.end >= from && it.end < until)
            f.tokens += it.tokens;
        if (it.arrival < from || it.arrival >= until)
            continue;
        f.count += 1;
        f.refused += it.kind == answer_kind::refused ? 1 : 0;
        sent += it.attempts > 0 ? 1 : 0;
        f.attempts += it.attempts;
        if (is_answered)
            seconds.push_back(it.end - it.arrival);
    }
    f.answered = static_cast<double>(seconds.size()) / std::max(1.0, f.count);
    f.attempts /= std::max(1.0, sent);
    f.p50 = quantile(seconds, 0.5);
    f.p95 = quantile(seconds, 0.95);
    return f;
}

} // namespace marjorambeam
