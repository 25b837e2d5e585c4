// Callers, the instance list and the fault of an availability zone.
#include "bench/policy_model/fleet_simulation.hpp"

#include <algorithm>

namespace marjorambeam::internal
{

void fleet_simulation::build()
{
    auto config = std::make_shared<config_snapshot>();
    for (std::size_t i = 0; i < settings_.zones; ++i)
    {
        std::string const zone = "z" + std::to_string(i);
        config->zones[zone] = {zone, "r", service_state::in};
        entries_.push_back({.zone = zone});
        entries_.back().customers.resize(settings_.customers.size());
        entry_names_.push_back("e" + std::to_string(i));
    }
    for (std::size_t i = 0; i < settings_.zones * settings_.speeds.size(); ++i)
    {
        std::string name = "w";
        name += static_cast<char>('a' + i);
        config->upstreams[name] = {
            name,
            upstream_kind::engine,
            "z" + std::to_string(zone_of(i)),
            {"m@v1"}};
        worker_names_.push_back(name);
        agent_settings a = settings_.agent;
        a.speed = settings_.speeds[i % settings_.speeds.size()];
        agents_.emplace_back(a);
        agent_plans_.push_back(0);
    }
    config_ = config;
    for (std::size_t i = 0; i < settings_.zones; ++i)
        rebuild(i, false);
    for (std::size_t w = 0; w < agents_.size(); ++w)
        plan_agent(w);
    shapers_.resize(settings_.customers.size());
    for (std::size_t i = 0; i < settings_.customers.size(); ++i)
        arrivals_.emplace_back(settings_.seed * 1000 + i);
}

void fleet_simulation::rebuild(std::size_t e, bool is_zone_gone)
{
    std::vector<agent_view> agents;
    for (std::size_t w = 0; w < agents_.size(); ++w)
    {
        if (!is_zone_gone || zone_of(w) != settings_.fault->zone)
            agents.push_back(
                {worker_names_[w], "i-" + worker_names_[w], false});
    }
    std::vector<entry_view> views;
    for (std::size_t i = 0; i < entries_.size(); ++i)
        views.push_back({entry_names_[i], entries_[i].zone});
    entry& it = entries_[e];
    it.table = build_routing_table(
        {config_, agents, views, entry_names_[e], it.zone}, &it.table);
}

void fleet_simulation::plan_arrival(std::size_t c)
{
    double const rate = settings_.customers[c].rate(now_);
    std::exponential_distribution<double> gap(std::max(rate, 1e-3));
    double const wait = gap(arrivals_[c]);
    if (now_ + wait >= settings_.seconds)
        return;
    at(wait,
       [this, c]
       {
           send_new(c);
           plan_arrival(c);
       });
}

void fleet_simulation::send_new(std::size_t c)
{
    std::mt19937_64& random = arrivals_[c];
    double draw = uniform(random);
    std::size_t kind = 0;
    while (kind + 1 < classes.size() && draw >= classes.at(kind).share)
        draw -= classes.at(kind++).share;
    request r;
    r.answer.customer = c;
    r.answer.arrival = now_;
    r.answer.tokens =
        classes.at(kind).tokens * (0.5 + uniform(random)) + prompt_tokens;
    r.work = r.answer.tokens;
    double const error = estimate_error * (2 * uniform(random) - 1);
    r.estimate = r.work * (1 + error);
    r.charged = std::max(r.estimate, r.work);
    r.deadline = now_ + classes.at(kind).deadline;
    r.answer.is_idempotent = uniform(random) >= settings_.not_idempotent;
    r.resends = settings_.customers[c].resends;
    std::uint64_t const draw_entry = random();
    if (!conforms(c, r.charged))
        return;
    start(std::move(r), draw_entry);
}

bool fleet_simulation::conforms(std::size_t c, double tokens)
{
    fleet_customer const& it = settings_.customers[c];
    if (it.shaped_burst <= 0)
        return true;
    shaper& s = shapers_[c];
    double const burst = it.shaped_burst * it.limits->burst_seconds;
    auto const fill = [&](double level, double rate)
    { return std::min(burst * rate, level + (now_ - s.at) * rate); };
    s.requests = fill(s.requests, it.limits->requests_per_second);
    s.tokens = fill(s.tokens, it.limits->tokens_per_second);
    s.at = now_;
    if (s.requests < 1 || s.tokens < tokens)
        return false;
    s.requests -= 1;
    s.tokens -= tokens;
    return true;
}

void fleet_simulation::start(request r, std::uint64_t draw_entry)
{
    std::uint64_t const id = requests_.size() + 1;
    requests_.push_back(std::move(r));
    at(requests_.back().deadline - now_, [this, id] { expire(id); });
    send_to_entry(id, draw_entry);
}

void fleet_simulation::send_to_entry(std::uint64_t id, std::uint64_t draw)
{
    std::vector<std::size_t> known;
    for (std::size_t i = 0; i < entries_.size(); ++i)
    {
        if (entries_[i].is_on || now_ < balancer_until_)
            known.push_back(i);
    }
    request& r = of(id);
    r.entry = known[draw % known.size()];
    if (!entries_[r.entry].is_on)
    {
        // No connection: the load balancer tries another one.
        at(unaccepted_seconds,
           [this, id, draw] { send_to_entry(id, draw + 1); });
        return;
    }
    r.attempts = 0;
    r.tried.clear();
    consider(id);
}

void fleet_simulation::finish(
    std::uint64_t id, answer_kind kind, error_kind why, run_state s)
{
    request& r = of(id);
    if (r.is_done)
        return;
    r.is_done = true;
    r.answer.end = now_;
    r.answer.kind = kind;
    r.answer.why = why;
    r.answer.run = s;
    if (r.was_admitted)
        settle(
            entries_[r.entry].customers[r.answer.customer].allowance,
            {r.charged, 0},
            {kind == answer_kind::answered ? r.answer.tokens : 0, 0});
    if (kind != answer_kind::refused || r.resends == 0)
        return;
    at(settings_.customers[r.answer.customer].resend_seconds,
       [this, id]
       {
           request again = of(id);
           again.is_done = again.was_admitted = false;
           again.answer.arrival = now_;
           again.answer.attempts = 0;
           again.deadline += now_ - of(id).answer.arrival;
           again.attempts = 0;
           again.earlier = run_state::not_run;
           --again.resends;
           start(std::move(again), decisions_());
       });
}

void fleet_simulation::expire(std::uint64_t id)
{
    request& r = of(id);
    if (r.is_done)
        return;
    std::size_t const w = r.worker;
    if (r.is_at_worker)
    {
        leave_worker(r);
        at(delay(r.entry, w),
           [this, id, w]
           {
               agents_[w].cancel(id, now_);
               work(w);
           });
    }
    finish(id, answer_kind::late, error_kind::deadline_exceeded, r.earlier);
}

void fleet_simulation::plan_fault(zone_fault const& f)
{
    at(f.from, [this, f] { leave(f); });
    at(f.from + list_lag_seconds, [this] { rebuild_all(true); });
    at(f.until, [this, f] { come_back(f); });
    // Heartbeats of the returned agents override the list.
    at(f.until + heartbeat_seconds, [this] { rebuild_all(false); });
}

void fleet_simulation::rebuild_all(bool is_zone_gone)
{
    for (std::size_t e = 0; e < entries_.size(); ++e)
        rebuild(e, is_zone_gone);
}

void fleet_simulation::leave(zone_fault const& f)
{
    balancer_until_ = now_ + balancer_lag_seconds;
    entries_[f.zone].is_on = false;
    for (std::size_t w = 0; w < agents_.size(); ++w)
    {
        if (zone_of(w) == f.zone)
            agents_[w].power_off(now_);
    }
    for (std::uint64_t id = 1; id <= requests_.size(); ++id)
    {
        request const& r = of(id);
        if (r.is_done)
            continue;
        if (r.entry == f.zone)
            at(balancer_lag_seconds, [this, id] { resend(id); });
        else if (r.is_at_worker && r.is_accepted && zone_of(r.worker) == f.zone)
            at(silent_seconds,
               [this, id, number = r.attempt]
               {
                   if (is_current(id, number))
                       fail(
                           id, error_kind::connection_silent,
                           run_state::unknown);
               });
    }
}

void fleet_simulation::resend(std::uint64_t id)
{
    request& r = of(id);
    if (r.is_done)
        return;
    ++r.attempt;
    r.is_at_worker = false;
    r.answer.was_resent = true;
    if (r.answer.is_idempotent)
        send_to_entry(id, decisions_());
    else
        finish(
            id, answer_kind::refused, error_kind::connection_lost,
            run_state::unknown);
}

void fleet_simulation::come_back(zone_fault const& f)
{
    entry& e = entries_[f.zone];
    e.is_on = true;
    e.table = {};
    e.budget = {};
    rebuild(f.zone, false);
    for (std::size_t w = 0; w < agents_.size(); ++w)
    {
        if (zone_of(w) != f.zone)
            continue;
        agents_[w].power_on(now_);
        plan_agent(w);
    }
}

} // namespace marjorambeam::internal
