#include "agent/agent_controller.hpp"

#include <algorithm>

namespace marjorambeam
{

agent_controller::agent_controller(
    ev::loop_ref loop, agent_state& state, agent_hooks hooks)
    : state_(state)
    , hooks_(std::move(hooks))
    , log_("agent")
    , client_(loop)
    , calls_(
          client_, state,
          {.on_bytes = [this](attempt& a, std::string_view b)
           { on_bytes(a, b); },
           .on_ended = [this](attempt& a, result<http_reply> r)
           { on_ended(a, std::move(r)); },
           .on_report = [this](upstream_report r) { on_report(r); },
           .on_unreachable = [this] { on_unreachable(); }})
    , connections_(
          loop, state,
          {.on_work = [this](std::uint64_t c, work_request&& r)
           { on_work(c, std::move(r)); },
           .on_cancel = [this](std::uint64_t c, cancel const& m)
           { on_cancel(c, m); },
           .on_closed = [this](std::uint64_t c) { on_connection_closed(c); },
           .on_process_gone =
               [this](incarnation process)
           {
               if (hooks_.on_entry_gone)
                   hooks_.on_entry_gone(process);
           },
           .on_other = [this](auto const& c, message const& m)
           { on_other(c, m); },
           .on_generation =
               [this](std::string_view instance, std::uint64_t generation)
           {
               if (hooks_.on_generation)
                   hooks_.on_generation(instance, generation);
           },
           .has_work = [this](std::uint64_t c) { return has_work(c); }})
{
    refresh_bounds(state_);
}

void agent_controller::tick(steady_time now)
{
    check_parked(now);
    check_running(now);
    dispatch(now);
    connections_.tick(now);
    calls_.tick(now);
}

void agent_controller::begin_shutdown(steady_time now)
{
    if (state_.cluster.is_shutting_down)
        return;
    state_.cluster.is_shutting_down = true;
    log_.write(
        log_event::shutdown_began,
        {{"attempts", std::to_string(state_.attempts.size())}});
    check_parked(now); // not admitted yet, so refused
}

bool agent_controller::is_drained() const
{
    return state_.attempts.empty() && connections_.unsent_bytes() == 0;
}

std::size_t agent_controller::cut_all(steady_time now)
{
    std::size_t cut = 0;
    while (!state_.attempts.empty())
    {
        attempt& a = *state_.attempts.begin()->second;
        log_.write(
            log_event::request_cut, {{"request_id", a.request.request_id}});
        error e =
            make_error(error_kind::shutting_down, "the agent had to stop");
        ++cut;
        if (a.phase == attempt_phase::running)
        {
            e.run = run_state::unknown;
            stop_running(a, e);
            continue;
        }
        state_.queue.cancel(a.id);
        fail_attempt(a, e);
    }
    connections_.tick(now);
    return cut;
}

void agent_controller::on_cancel(std::uint64_t connection, cancel const& c)
{
    attempt* const a = find(connection, c.request_id, c.attempt);
    if (a == nullptr)
        return;
    state_.cluster.counters.count("cancels_total");
    error e = make_error(error_kind::cancelled, "the entry cancelled");
    if (a->phase == attempt_phase::running)
    {
        // A call that must not repeat runs to its end and is recorded.
        if (a->request.is_idempotent)
            stop_running(*a, e);
    }
    else
    {
        e.run = run_state::not_run;
        state_.queue.cancel(a->id);
        fail_attempt(*a, e);
    }
    dispatch(steady_now());
}

void agent_controller::on_connection_closed(std::uint64_t connection)
{
    std::vector<std::uint64_t> lost;
    for (auto const& [id, a] : state_.attempts)
    {
        if (a->connection == connection)
            lost.push_back(id);
    }
    error e = make_error(error_kind::cancelled, "the entry is gone");
    for (std::uint64_t const id : lost)
    {
        attempt& a = *state_.attempts.find(id)->second;
        if (a.phase != attempt_phase::running)
        {
            e.run = run_state::not_run;
            state_.queue.cancel(id);
            fail_attempt(a, e);
        }
        else if (a.request.is_idempotent)
        {
            e.run = run_state::unknown;
            stop_running(a, e);
        }
        else
        {
            a.is_reported = true; // nobody is left to tell
        }
    }
    dispatch(steady_now());
}

void agent_controller::on_other(
    std::shared_ptr<frame_connection> const& connection, message const& m)
{
    if (auto const* settled = std::get_if<usage_settled>(&m))
    {
        if (hooks_.on_usage_settled)
            hooks_.on_usage_settled(settled->request_ids);
        return;
    }
    if (!hooks_.on_message || !hooks_.on_message(connection, m))
        state_.cluster.counters.count("messages_ignored_total");
}

bool agent_controller::has_work(std::uint64_t connection) const
{
    return attempts_of_.contains(connection);
}

attempt* agent_controller::find(
    std::uint64_t connection, std::string const& request_id,
    std::uint32_t number)
{
    auto const it =
        state_.attempts_by_name.find({connection, request_id, number});
    if (it == state_.attempts_by_name.end())
        return nullptr;
    return state_.attempts.find(it->second)->second.get();
}

} // namespace marjorambeam
