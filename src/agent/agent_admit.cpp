// Admission of attempts by the agent controller.
#include "agent/admission.hpp"
#include "agent/agent_controller.hpp"

#include <algorithm>

namespace marjorambeam
{
namespace
{

// One day; more could overflow the clock's range.
constexpr std::int64_t max_deadline_ms = 86'400'000;

} // namespace

void agent_controller::on_work(std::uint64_t connection, work_request&& r)
{
    state_.cluster.counters.count("work_requests_total");
    if (find(connection, r.request_id, r.attempt) != nullptr)
    {
        state_.cluster.counters.count("work_requests_repeated_total");
        return;
    }
    steady_time const now = steady_now();
    auto owned = std::make_unique<attempt>();
    attempt& a = *owned;
    a.id = ++state_.last_attempt;
    a.connection = connection;
    a.received = now;
    a.deadline = now + std::chrono::milliseconds(
                           std::min(r.deadline_ms, max_deadline_ms));
    a.request = std::move(r);
    state_.attempts_by_name[{
        connection, a.request.request_id, a.request.attempt}] = a.id;
    state_.attempts[a.id] = std::move(owned);
    ++attempts_of_[connection];
    consider(a, now);
    dispatch(now);
}

void agent_controller::consider(attempt& a, steady_time now)
{
    if (std::optional<error> e = check_readiness(state_, a.request))
        return refuse(a, *e);
    if (a.request.generation > state_.cluster.config->number)
    {
        a.phase = attempt_phase::parked;
        if (now - a.received >= state_.settings.park_time)
        {
            refuse(
                a, make_error(
                       error_kind::generation_stale,
                       "the agent has not learnt generation " +
                           std::to_string(a.request.generation)));
        }
        return;
    }
    if (std::optional<error> e = check_permission(state_, a.request))
        return refuse(a, *e);
    a.config = state_.cluster.config;
    a.admitted = wall_now();
    if (a.request.is_idempotent || !hooks_.reserve)
        return enqueue(a, now);
    reserve(a, now);
}

void agent_controller::reserve(attempt& a, steady_time)
{
    std::uint64_t const id = a.id;
    a.phase = attempt_phase::reserving;
    hooks_.reserve(
        a.request, [this, id, r = a.request](once_decision const& d)
        { on_decision(id, r, d); });
    auto const it = state_.attempts.find(id);
    // The entry expects an answer within a second, and the reservation may
    // have to wait for the object API.
    if (it != state_.attempts.end() &&
        it->second->phase == attempt_phase::reserving)
        accept(*it->second);
}

void agent_controller::on_decision(
    std::uint64_t id, work_request const& r, once_decision const& d)
{
    auto const it = state_.attempts.find(id);
    if (it == state_.attempts.end())
    {
        // Cancelled in the meantime: the key is free again.
        if (d.action == once_action::run && hooks_.complete)
            hooks_.complete(r, {.run = run_state::not_run});
        return;
    }
    attempt& a = *it->second;
    steady_time const now = steady_now();
    if (d.action == once_action::refuse)
        return refuse(a, d.why, d.owner);
    if (d.action == once_action::replay)
        return replay(a, d.response);
    a.is_reserved = true;
    enqueue(a, now);
    dispatch(now);
}

void agent_controller::enqueue(attempt& a, steady_time now)
{
    work_request const& r = a.request;
    auto const& contracts = state_.cluster.config->contracts;
    auto const c = contracts.find(r.customer);
    std::uint32_t const weight =
        c == contracts.end() ? r.weight : c->second.weight;
    queue_entry entry{
        .id = a.id,
        .customer = r.customer,
        .weight = std::max(weight, 1U),
        .cost = std::max<std::uint64_t>(r.token_cost, 1),
        .deadline = a.deadline};
    result<void> const queued =
        state_.queue.push(std::move(entry), limits_for(state_, r), now);
    if (!queued)
        return refuse(a, queued.error());
    a.phase = attempt_phase::queued;
    accept(a);
}

void agent_controller::accept(attempt& a)
{
    if (a.is_accepted)
        return;
    a.is_accepted = true;
    connections_.send(
        a.connection, work_accepted{
                          .request_id = a.request.request_id,
                          .attempt = a.request.attempt,
                          .load = current_load(state_)});
}

void agent_controller::check_parked(steady_time now)
{
    std::vector<std::uint64_t> parked;
    for (auto const& [id, a] : state_.attempts)
    {
        if (a->phase == attempt_phase::parked)
            parked.push_back(id);
    }
    for (std::uint64_t const id : parked)
    {
        auto const it = state_.attempts.find(id);
        if (it != state_.attempts.end())
            consider(*it->second, now);
    }
}

} // namespace marjorambeam
