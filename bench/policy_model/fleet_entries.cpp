// Entries and agents: admission, routing, retries and the answers.
#include "bench/policy_model/fleet_simulation.hpp"

#include <algorithm>

namespace marjorambeam::internal
{

void fleet_simulation::consider(std::uint64_t id)
{
    request& r = of(id);
    if (r.is_done)
        return;
    std::size_t const c = r.answer.customer;
    auto const& limits = settings_.customers[c].limits;
    if (!settings_.has_allowances || !limits)
    {
        admit_request(id);
        return;
    }
    customer_state& s = entries_[r.entry].customers[c];
    request_cost const cost{r.charged, 0};
    admission_decision const d = admit(s.allowance, *limits, cost, view());
    if (d.should_request)
        ask(r.entry, c, make_request(s.allowance, *limits, cost, view()));
    if (d.outcome == admission_outcome::waits)
    {
        s.waiters.push_back(id);
        return;
    }
    if (d.outcome == admission_outcome::refused)
    {
        finish(id, answer_kind::refused, d.refusal, run_state::not_run);
        return;
    }
    r.was_admitted = true;
    admit_request(id);
}

void fleet_simulation::ask(std::size_t e, std::size_t c, allowance_request q)
{
    fleet_customer const& customer = settings_.customers[c];
    q.customer = customer.name;
    q.entry = entry_names_[e];
    std::size_t const owner = allowance_owner(customer.name, entry_names_);
    double const way = owner == e ? 0 : one_way_far;
    at(way,
       [this, e, c, owner, way, q]
       {
           allowance_grant const g = grant(
               entries_[owner].customers[c].owned,
               *settings_.customers[c].limits, q, to_steady(-100),
               to_steady(now_), view().wall);
           at(way,
              [this, e, c, g]
              {
                  customer_state& s = entries_[e].customers[c];
                  accept_grant(s.allowance, g, view());
                  for (std::uint64_t id : std::exchange(s.waiters, {}))
                      consider(id);
              });
       });
}

void fleet_simulation::send_reports()
{
    for (std::size_t e = 0; e < entries_.size(); ++e)
    {
        for (std::size_t c = 0; c < settings_.customers.size(); ++c)
        {
            customer_state& s = entries_[e].customers[c];
            if (auto q = make_report(s.allowance, view()))
                ask(e, c, *q);
        }
    }
    if (now_ < settings_.seconds)
        at(report_seconds, [this] { send_reports(); });
}

void fleet_simulation::admit_request(std::uint64_t id)
{
    on_admitted(entries_[of(id).entry].budget, to_steady(now_));
    attempt(id);
}

upstream_index fleet_simulation::choose(request const& r)
{
    entry& e = entries_[r.entry];
    if (settings_.routing == policy::routed)
        return choose_upstream(
                   e.table, {.pool = 0, .tokens = r.estimate, .tried = r.tried},
                   to_steady(now_), decisions_)
            .upstream;
    std::size_t const n = agents_.size();
    std::size_t const first =
        settings_.routing == policy::round_robin ? e.turn++ : decisions_();
    upstream_index best = no_index;
    double least = 0;
    for (std::size_t i = 0; i < n; ++i)
    {
        auto const w = static_cast<upstream_index>((first + i) % n);
        bool const is_tried =
            std::find(r.tried.begin(), r.tried.end(), w) != r.tried.end();
        upstream_status const& s = e.table.status[w];
        if (is_tried || !s.is_routable)
            continue;
        if (settings_.routing == policy::round_robin)
            return w;
        double const known =
            std::max(s.reported + s.sent_since_report, s.outstanding);
        if (best == no_index || known < least)
        {
            best = w;
            least = known;
        }
    }
    return best;
}

void fleet_simulation::attempt(std::uint64_t id)
{
    request& r = of(id);
    if (r.is_done)
        return;
    upstream_index const w = choose(r);
    if (w == no_index)
    {
        finish(id, answer_kind::refused, error_kind::no_upstream, r.earlier);
        return;
    }
    r.worker = w;
    r.is_at_worker = true;
    r.is_accepted = false;
    r.tried.push_back(w);
    ++r.attempts;
    ++r.answer.attempts;
    std::uint32_t const number = ++r.attempt;
    record_sent(entries_[r.entry].table, w);
    at(delay(r.entry, w), [this, id, number] { arrive(id, number); });
    at(unaccepted_seconds,
       [this, id, number]
       {
           if (is_current(id, number) && !of(id).is_accepted)
               fail(id, error_kind::connection_silent, run_state::unknown);
       });
}

bool fleet_simulation::is_current(std::uint64_t id, std::uint32_t number)
{
    request const& r = of(id);
    return !r.is_done && r.is_at_worker && r.attempt == number &&
           entries_[r.entry].is_on;
}

void fleet_simulation::leave_worker(request& r)
{
    r.is_at_worker = false;
    record_done(entries_[r.entry].table, static_cast<upstream_index>(r.worker));
}

void fleet_simulation::fail(
    std::uint64_t id, error_kind kind, run_state run, duration wait)
{
    request& r = of(id);
    entry& e = entries_[r.entry];
    leave_worker(r);
    auto const w = static_cast<upstream_index>(r.worker);
    if (run != run_state::not_run)
        record_failed(e.table, w, to_steady(now_));
    failed_attempt const q{
        .kind = kind,
        .run = run,
        .earlier_run = r.earlier,
        .is_idempotent = r.answer.is_idempotent,
        .attempts = r.attempts,
        .remaining = from_seconds(r.deadline - now_),
        .retry_after = wait,
        .has_untried_upstream = choose(r) != no_index};
    run_state const all = combine(r.earlier, run);
    r.earlier = all;
    bool is_retried = r.attempts < plain_attempts;
    if (settings_.has_retry_budget)
        is_retried = decide_retry(e.budget, q).action != retry_action::give_up;
    if (is_retried)
        attempt(id);
    else
        finish(id, answer_kind::refused, kind, all);
}

void fleet_simulation::send_heartbeats()
{
    for (std::size_t w = 0; w < agents_.size(); ++w)
    {
        for (std::size_t e = 0; e < entries_.size(); ++e)
        {
            if (agents_[w].is_on())
                report(w, e);
        }
    }
    if (now_ < settings_.seconds)
        at(heartbeat_seconds, [this] { send_heartbeats(); });
}

void fleet_simulation::report(std::size_t w, std::size_t e)
{
    at(delay(e, w),
       [this, w, e, load = agents_[w].load()]
       {
           record_load(
               entries_[e].table, static_cast<upstream_index>(w), load,
               to_steady(now_));
       });
}

void fleet_simulation::arrive(std::uint64_t id, std::uint32_t number)
{
    request const& r = of(id);
    std::size_t const w = r.worker;
    bool const is_stale = r.attempt != number || r.is_done;
    if (is_stale || !agents_[w].is_on())
        return;
    model_job const j{
        .id = id,
        .customer = settings_.customers[r.answer.customer].name,
        .weight = settings_.customers[r.answer.customer].weight,
        .estimate = r.estimate,
        .work = r.work,
        .deadline = r.deadline};
    work(w); // brings the agent up to date
    std::optional<error> const refusal = agents_[w].offer(j, now_);
    work(w);
    report(w, r.entry);
    at(delay(r.entry, w),
       [this, id, number, refusal]
       {
           if (!is_current(id, number))
               return;
           of(id).is_accepted = true;
           if (refusal)
               fail(
                   id, refusal->kind, run_state::not_run, refusal->retry_after);
       });
}

void fleet_simulation::work(std::size_t w)
{
    std::vector<job_end> const ended = agents_[w].advance(now_);
    for (std::uint64_t id : agents_[w].take_started())
        ++of(id).answer.runs;
    for (job_end const& it : ended)
    {
        std::uint32_t const number = of(it.job.id).attempt;
        report(w, of(it.job.id).entry);
        at(delay(of(it.job.id).entry, w),
           [this, id = it.job.id, number, kind = it.kind]
           { take_end(id, number, kind); });
    }
    plan_agent(w);
}

void fleet_simulation::take_end(
    std::uint64_t id, std::uint32_t number, end_kind kind)
{
    if (!is_current(id, number))
        return;
    switch (kind)
    {
    case end_kind::done:
        leave_worker(of(id));
        finish(id, answer_kind::answered, {}, run_state::ran);
        return;
    case end_kind::expired:
        fail(id, error_kind::deadline_exceeded, run_state::not_run);
        return;
    case end_kind::crashed:
        fail(id, error_kind::upstream_crashed, run_state::ran);
        return;
    case end_kind::refused:
        fail(id, error_kind::no_upstream, run_state::not_run);
        return;
    }
}

void fleet_simulation::plan_agent(std::size_t w)
{
    double const next = agents_[w].next_event();
    std::uint64_t const plan = ++agent_plans_[w];
    // Without requests in flight the model ends.
    bool const is_over = now_ > settings_.seconds + classes[0].deadline;
    if (next > 1e12 || is_over)
        return;
    at(std::max(0.0, next - now_),
       [this, w, plan]
       {
           if (agent_plans_[w] == plan)
               work(w);
       });
}

} // namespace marjorambeam::internal
