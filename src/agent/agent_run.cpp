// Running of attempts by the agent controller.
#include "agent/admission.hpp"
#include "agent/agent_controller.hpp"

#include <algorithm>

namespace marjorambeam
{
namespace
{

constexpr int service_unavailable = 503;
// Work with less time left is not begun; its end would be seen at the next
// tick, too late for whoever waits.
constexpr duration min_work_time = std::chrono::milliseconds(20);
constexpr int first_server_error = 500;
// Weight of the latest attempt in the moving averages.
constexpr double average_weight = 0.1;

void add_to_average(double& average, double sample)
{
    average =
        average == 0 ? sample : average + average_weight * (sample - average);
}

} // namespace

bool agent_controller::may_start_next(steady_time now)
{
    queue_entry const* const next = state_.queue.front();
    if (next == nullptr || state_.is_alone || state_.is_upstream_suspect)
        return false;
    std::size_t const used = slots_in_use(state_, now);
    attempt const& a = *state_.attempts.find(next->id)->second;
    // Nothing overtakes a request that must run alone; otherwise a busy
    // upstream would never be empty for it.
    if (a.request.run_alone)
        return used == 0;
    return used < current_limit(state_.warm_up);
}

void agent_controller::dispatch(steady_time now)
{
    refresh_bounds(state_);
    drop_expired(now);
    while (may_start_next(now))
    {
        std::uint64_t const id = state_.queue.pop()->id;
        attempt& a = *state_.attempts.find(id)->second;
        // The configuration may have changed while the request waited.
        if (std::optional<error> e = check_permission(state_, a.request))
            fail_attempt(a, *e);
        else
            start(a, now);
    }
}

void agent_controller::start(attempt& a, steady_time now)
{
    ++state_.running;
    state_.is_alone = a.request.run_alone;
    state_.cluster.counters.observe(
        "queue_seconds", {}, to_seconds(now - a.received));
    calls_.start(a, now);
}

void agent_controller::on_bytes(attempt& a, std::string_view bytes)
{
    a.last_bytes = steady_now();
    if (a.first_token == steady_time{})
        a.first_token = a.last_bytes;
    if (!a.request.is_idempotent && a.kept_body.size() <= max_kept_answer_bytes)
        a.kept_body.append(bytes);
    // A server error of an engine is not an answer; see on_ended.
    bool const is_failure =
        a.request.kind == work_kind::model && a.status >= first_server_error;
    if (!is_failure)
        forward(a, a.answer.take(bytes));
}

void agent_controller::forward(attempt& a, std::string const& bytes)
{
    if (bytes.empty())
        return;
    connections_.send(
        a.connection, answer_chunk{
                          .request_id = a.request.request_id,
                          .attempt = a.request.attempt,
                          .sender = state_.cluster.identity.self,
                          .sequence = a.answer.next_sequence(),
                          .tokens = a.answer.take_new_tokens(),
                          .bytes = bytes});
}

void agent_controller::on_ended(attempt& a, result<http_reply> r)
{
    steady_time const now = steady_now();
    bool const is_model = a.request.kind == work_kind::model;
    if (!r)
    {
        error e = r.error();
        bool const is_unreached = e.run == run_state::not_run;
        bool const is_crash =
            !is_unreached && e.kind != error_kind::answer_corrupt;
        if (is_unreached)
            e.kind = error_kind::no_upstream;
        else if (is_crash)
            e.kind = error_kind::upstream_crashed;
        if (is_crash)
            note_crash();
        fail_attempt(a, e, is_crash);
        if (is_unreached)
            on_unreachable();
    }
    else if (is_model && r->status == service_unavailable)
    {
        // The engine is restarting; this request did not take it down.
        error e = make_error(
            error_kind::upstream_crashed, "the upstream is restarting");
        fail_attempt(a, e);
        on_unreachable();
    }
    else if (is_model && r->status >= first_server_error)
    {
        fail_attempt(
            a, make_error(
                   error_kind::upstream_failed,
                   "the upstream answered " + std::to_string(r->status)));
    }
    else
    {
        end_whole(a, *r, now);
    }
    dispatch(now);
}

void agent_controller::end_whole(
    attempt& a, http_reply const& r, steady_time now)
{
    forward(a, a.answer.finish());
    answer_meter const& m = a.answer;
    auto const type = r.headers.find("content-type");
    std::string const content_type =
        type == r.headers.end() ? std::string() : type->second;
    double const seconds = std::max(to_seconds(now - a.started), 1e-6);
    duration const first = std::max(
        duration(1),
        (a.first_token == steady_time{} ? now : a.first_token) - a.started);
    if (r.status < first_server_error)
    {
        add_to_average(
            state_.tokens_per_slot_second,
            static_cast<double>(
                std::max<std::uint64_t>(a.request.token_cost, 1)) /
                seconds);
        add_to_average(state_.first_token_seconds, to_seconds(first));
        if (record_success(state_.warm_up, first))
            state_.cluster.counters.count("cold_resets_total", "slow");
    }
    connections_.send(
        a.connection, answer_end{
                          .request_id = a.request.request_id,
                          .attempt = a.request.attempt,
                          .sender = state_.cluster.identity.self,
                          .sequence = m.sequence(),
                          .status = r.status,
                          .content_type = content_type,
                          .length = m.length(),
                          .checksum = m.checksum(),
                          .tokens_in = m.tokens_in(),
                          .tokens_out = m.tokens_out(),
                          .load = current_load(state_)});
    state_.cluster.counters.count("answers_total");
    once_outcome outcome{.run = run_state::ran};
    outcome.has_response = a.kept_body.size() <= max_kept_answer_bytes;
    if (outcome.has_response)
        outcome.response = {r.status, content_type, a.kept_body};
    settle(a, outcome, true);
    remove(a);
}

void agent_controller::on_report(upstream_report report)
{
    state_.is_upstream_down = false;
    state_.is_upstream_suspect = false;
    steady_time const before = state_.last_report;
    steady_time const now = steady_now();
    state_.last_report = now;
    if (report.sender == 0)
        return dispatch(now);
    bool const was_warm = !state_.warm_up.reports_cold;
    if (!record_report(state_.warm_up, report))
    {
        if (was_warm && report.is_cold)
            state_.cluster.counters.count("cold_resets_total", "reported");
        dispatch(now);
        return;
    }
    state_.cluster.counters.count("cold_resets_total", "restart");
    log_.write(log_event::upstream_restarted);
    // Attempts that were running at the last report of the old incarnation
    // went down with it. Later ones may be with the new one.
    std::vector<std::uint64_t> lost;
    for (auto const& [id, a] : state_.attempts)
    {
        if (a->phase == attempt_phase::running && a->started < before)
            lost.push_back(id);
    }
    for (std::uint64_t const id : lost)
    {
        stop_running(
            *state_.attempts.find(id)->second,
            make_error(
                error_kind::upstream_crashed, "the upstream has restarted"),
            true);
    }
    dispatch(now);
}

void agent_controller::note_crash()
{
    // Each attempt in flight reports the same crash.
    if (state_.is_upstream_suspect)
        return;
    state_.is_upstream_suspect = true;
    reset_to_cold(state_.warm_up);
    log_.write(log_event::upstream_broke_connection);
    state_.cluster.counters.count("upstream_crashes_total");
}

void agent_controller::on_unreachable()
{
    if (state_.is_upstream_down)
        return;
    state_.is_upstream_down = true;
    reset_to_cold(state_.warm_up);
    log_.write(log_event::upstream_unreachable);
    state_.cluster.counters.count("upstream_down_total");
    // What waits is refused as not run, so that it can run elsewhere at once.
    std::vector<std::uint64_t> waiting;
    for (auto const& [id, a] : state_.attempts)
    {
        if (a->phase == attempt_phase::queued)
            waiting.push_back(id);
    }
    error e = make_error(error_kind::no_upstream, "the upstream is down");
    for (std::uint64_t const id : waiting)
    {
        state_.queue.cancel(id);
        fail_attempt(*state_.attempts.find(id)->second, e);
    }
}

void agent_controller::drop_expired(steady_time now)
{
    error e = make_error(
        error_kind::deadline_exceeded, "the deadline passed in the queue");
    e.run = run_state::not_run;
    for (queue_entry const& it : state_.queue.drop_expired(now + min_work_time))
        fail_attempt(*state_.attempts.find(it.id)->second, e);
}

void agent_controller::check_running(steady_time now)
{
    std::vector<std::uint64_t> running;
    for (auto const& [id, a] : state_.attempts)
    {
        if (a->phase == attempt_phase::running)
            running.push_back(id);
    }
    for (std::uint64_t const id : running)
    {
        attempt& a = *state_.attempts.find(id)->second;
        if (now - a.last_bytes > state_.settings.upstream_silence)
        {
            stop_running(
                a, make_error(
                       error_kind::upstream_silent,
                       "the upstream has sent nothing"));
        }
        else if (now >= a.deadline && !a.is_reported)
        {
            error const e = make_error(
                error_kind::deadline_exceeded,
                "the deadline passed at the upstream");
            if (a.request.is_idempotent)
                stop_running(a, e);
            else
                report_failure(a, e, false); // the call runs to its end
        }
    }
}

} // namespace marjorambeam
