// Ends of attempts in the agent controller.
#include "agent/agent_controller.hpp"

#include <algorithm>

namespace marjorambeam
{
namespace
{

// How long the slot of a stopped call stays in use: an engine notices a closed
// connection only when it sends the next token, and a cold one that runs too
// many requests crashes.
constexpr duration settle_time = std::chrono::milliseconds(250);

std::int64_t to_ms(duration d)
{
    return std::chrono::ceil<std::chrono::milliseconds>(d).count();
}

} // namespace

void agent_controller::refuse(
    attempt& a, error const& e, std::string const& owner)
{
    // Only a refusal can name the owner of the key. It is sent after the
    // acceptance when the decision about the key took a while.
    if (a.is_accepted && owner.empty())
        return fail_attempt(a, e);
    state_.cluster.counters.count("refusals_total", to_string(e.kind));
    log_.write(
        log_event::attempt_refused,
        {{"request_id", a.request.request_id},
         {"reason", std::string(to_string(e.kind))}});
    connections_.send(
        a.connection, work_refused{
                          .request_id = a.request.request_id,
                          .attempt = a.request.attempt,
                          .kind = e.kind,
                          .run = e.run,
                          .retry_after_ms = to_ms(e.retry_after),
                          .text = e.message,
                          .owner = owner,
                          .load = current_load(state_)});
    settle(a, {.run = run_state::not_run}, false);
    remove(a);
}

void agent_controller::report_failure(attempt& a, error const& e, bool is_crash)
{
    if (a.is_reported)
        return;
    a.is_reported = true;
    state_.cluster.counters.count("failures_total", to_string(e.kind));
    log_.write(
        log_event::attempt_failed, {{"request_id", a.request.request_id},
                                    {"reason", std::string(to_string(e.kind))},
                                    {"run", std::string(to_string(e.run))}});
    connections_.send(
        a.connection, answer_failed{
                          .request_id = a.request.request_id,
                          .attempt = a.request.attempt,
                          .kind = e.kind,
                          .run = e.run,
                          .is_crash = is_crash,
                          .tokens_in = a.answer.tokens_in(),
                          .tokens_out = a.answer.tokens_out(),
                          .text = e.message,
                          .load = current_load(state_)});
}

void agent_controller::fail_attempt(attempt& a, error const& e, bool is_crash)
{
    error reported = e;
    // Bytes of the answer prove that the upstream received the request.
    if (a.answer.length() > 0)
        reported.run = run_state::ran;
    report_failure(a, reported, is_crash);
    settle(a, {.run = reported.run}, false);
    remove(a);
}

void agent_controller::stop_running(attempt& a, error const& e, bool is_crash)
{
    calls_.stop(a);
    if (is_cold(state_.warm_up))
        state_.settling.push_back(steady_now() + settle_time);
    fail_attempt(a, e, is_crash);
}

void agent_controller::replay(attempt& a, once_response const& r)
{
    accept(a);
    forward(a, a.answer.take(r.body));
    connections_.send(
        a.connection, answer_end{
                          .request_id = a.request.request_id,
                          .attempt = a.request.attempt,
                          .sender = state_.cluster.identity.self,
                          .sequence = a.answer.sequence(),
                          .status = r.status,
                          .content_type = r.content_type,
                          .length = a.answer.length(),
                          .checksum = a.answer.checksum(),
                          .is_replay = true,
                          .load = current_load(state_)});
    state_.cluster.counters.count("replays_total");
    remove(a);
}

void agent_controller::settle(
    attempt& a, once_outcome const& outcome, bool is_whole)
{
    if (a.is_reserved && hooks_.complete)
        hooks_.complete(a.request, outcome);
    a.is_reserved = false;
    bool const has_usage =
        a.phase == attempt_phase::running && outcome.run != run_state::not_run;
    if (has_usage && hooks_.on_usage)
    {
        hooks_.on_usage(
            {.request = a.request,
             .config = *a.config,
             .admitted = a.admitted,
             .tokens_in = a.answer.tokens_in(),
             .tokens_out = a.answer.tokens_out(),
             .is_whole = is_whole});
    }
}

void agent_controller::remove(attempt& a)
{
    if (a.phase == attempt_phase::running)
    {
        --state_.running;
        state_.is_alone = false;
    }
    state_.attempts_by_name.erase(
        {a.connection, a.request.request_id, a.request.attempt});
    auto const count = attempts_of_.find(a.connection);
    if (count != attempts_of_.end() && --count->second == 0)
        attempts_of_.erase(count);
    state_.attempts.erase(a.id);
}

} // namespace marjorambeam
