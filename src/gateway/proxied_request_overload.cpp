// Overload control in proxied_request: what it asks the estimates, and what it
// records for them.
#include "base/hash.hpp"
#include "gateway/model_choice.hpp"
#include "gateway/overload_control.hpp"
#include "gateway/proxied_request.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace marjorambeam
{

bool proxied_request::is_overload_controlled() const
{
    return marjorambeam::is_overload_controlled(context_.state, service_);
}

// Time that the service takes for a request; zero if it is unknown.
duration proxied_request::expected_service_time(steady_time now) const
{
    auto const it = context_.state.service_times_by_name.find(service_);
    if (is_engine() || it == context_.state.service_times_by_name.end())
        return duration{0};
    return room_of_service(context_.state.upstreams, service_, it->second, now)
        .shortest_service_time;
}

// How long the request may wait at an upstream for a slot.
duration proxied_request::affordable_wait(steady_time now) const
{
    if (is_engine() || !is_overload_controlled())
        return duration{0};
    duration const expected = expected_service_time(now);
    return marjorambeam::affordable_wait(
        expected, started_ + route_.target - now, remaining(now));
}

waiting_request proxied_request::waiting_inputs(steady_time now) const
{
    bool const engine = is_engine();
    duration const expected = expected_service_time(now);
    return {
        .priority = priority_,
        .organisation = organisation_,
        .service = service_,
        .arrived = started_,
        .target_at = started_ + route_.target,
        .deadline = deadline_,
        .expected = expected,
        .expected_end = expected,
        .work = engine ? work_.total() : 1,
        .came_back = request_.remaining &&
                     seems_returned(*request_.remaining, route_.timeout)};
}

// Predicts how the attempt that is sent now goes, so that its error can be
// learned, and counts its work.
void proxied_request::predict_attempt(steady_time now)
{
    gateway_state& s = context_.state;
    record_dispatch(s.shares, waiting_inputs(now), now);
    if (!is_engine())
    {
        upstream_->room.sent_at = now;
        upstream_view const v = view_of(*upstream_, now);
        predicted_start_ = estimate_room(
            std::span(&v, 1), s.service_times_by_name[service_], now);
        return;
    }
    record_prompt(s.prompt_mixes[service_], work_.prefill, now);
    predicted_end_ =
        predict_completion(
            s.completions, completion_query_for(
                               model_, inputs_.load + 1, inputs_.expected, now))
            .likely;
}

// Whether the request can't start and end in time by the estimate of the room,
// as of its last selection, which found none.
bool proxied_request::has_overload_refusal(steady_time now)
{
    if (is_engine() || !is_overload_controlled() ||
        last_selection_.failure != selection_failure::full)
        return false;
    gateway_state& s = context_.state;
    plain_admission const a = decide_plain_admission(
        s, service_, remaining(now), started_ + route_.target - now, now);
    if (a.result.outcome != admission_outcome::refuse)
        return false;
    if (record_refusal(s.admissions, a.room.has_free_slot))
        s.counters.count("refused_with_room_total", "", scope());
    s.counters.count(
        "overload_refusals_total", to_string(a.result.reason), scope());
    return_query q = return_query_of(s, service_, a);
    q.priority = priority_;
    q.remaining = remaining(now);
    q.is_early = is_early_return(now);
    room_at_ = place_for(s.returns, q, now);
    context_.log.write(
        log_event::overload_refused,
        {{"request_id", request_.attempt_id},
         {"service", service_},
         {"reason", std::string(to_string(a.result.reason))},
         {"early_ms", in_ms(a.times.end.early)},
         {"likely_ms", in_ms(a.times.end.likely)},
         {"left_ms", in_ms(remaining(now))},
         {"priority", std::to_string(priority_)},
         {"returned", waiting_inputs(now).came_back ? "yes" : "no"},
         {"retry_after_ms", in_ms(*room_at_)}});
    return true;
}

// Whether the caller was refused before and does not wait as it was told.
bool proxied_request::is_early_return(steady_time now) const
{
    if (!request_.remaining ||
        !seems_returned(*request_.remaining, route_.timeout))
        return false;
    return seems_early(
        context_.state.returns, service_, priority_,
        route_.timeout - *request_.remaining + (now - started_), now);
}

// Learns the room at an upstream of a plain service from its response.
void proxied_request::record_service_response(
    upstream_response const& a, steady_time now)
{
    if (is_engine() || !is_overload_controlled() || a.is_other_instance)
        return;
    service_time& prior = context_.state.service_times_by_name[service_];
    machine_pace pace;
    if (a.load && a.load->machine_pace)
        pace.percent = *a.load->machine_pace;
    if (a.has_not_run)
    {
        // One that asks for a pause gets it by its notice.
        if (a.pause)
            return;
        ++attempts_.refusals;
        record_full(
            upstream_->room, prior,
            {.sent_at = sent_,
             .reported = a.load,
             .requests = inputs_.load,
             .slots = upstream_->info.slots,
             .pace = pace,
             .hash = hash64(request_.attempt_id, attempts_.sends)},
            now);
        return;
    }
    if (predicted_start_.is_known)
        record_error(
            context_.state.start_errors[service_], predicted_start_.until_start,
            std::max(now - sent_ - predicted_start_.service_time, duration{0}),
            predicted_start_.service_time, now);
    record_service_time(
        upstream_->room, prior,
        {.took = now - sent_,
         .requests = inputs_.load,
         .slots = upstream_->info.slots,
         .pace = pace,
         .reported = a.load},
        now);
}

// Keeps the connection of a refusal for reuse: a full upstream resets new ones,
// which would leave the outcome of the next request unknown.
void proxied_request::recycle_connection(http_response_head const& head)
{
    if (!is_overload_controlled() || !head.keep_alive)
        return;
    context_.pool.recycle(std::exchange(connection_, nullptr), boot_now());
}

// Returns whether the response of a larger model at the selected engine is
// worth its time, and that of the others there; else `spared` says why not.
bool proxied_request::is_worth_larger_model(
    escalation_query const& q, upstream_selection const& c,
    larger_model_delay const& t, std::string_view& spared, steady_time now)
{
    gateway_state& s = context_.state;
    if (!is_overload_controlled())
        return is_worth_escalating(q, t);
    double const requests = estimated_requests(*c.chosen, now);
    std::array const candidates{model_candidate{
        .model = model_,
        .delay = t,
        .completion = predict_completion(
            s.completions,
            completion_query_for(model_, requests + 1, c.expected, now)),
        .own_time = c.expected - c.queued,
        .requests = requests}};
    model_choice const choice = choose_model(
        {.escalation = q,
         .candidates = candidates,
         .until_deadline = remaining(now),
         .target = route_.target});
    if (!choice.model)
        spared = name_of(choice.reason);
    return choice.model.has_value();
}

completion_query proxied_request::completion_query_for(
    std::size_t model, double requests, duration first_event,
    steady_time now) const
{
    completion_query q = completion_query_of(request_, route_, service_, model);
    q.requests = requests;
    q.first_event = first_event;
    q.now = now;
    return q;
}

// Learns how long the responses of the current attempt take and how long they
// are. `is_complete` is false for one that was cut off.
void proxied_request::record_stream_end(bool is_complete, steady_time now)
{
    gateway_state& s = context_.state;
    if (!is_engine() || !is_overload_controlled() || attempt_events_ == 0)
        return;
    completion_query const q =
        completion_query_for(model_, 0, duration{0}, now);
    auto const events = static_cast<double>(events_.events());
    if (!is_complete)
    {
        record_cut_length(s.completions, q.route, q.hinted_tokens, events);
        return;
    }
    record_length(s.completions, q.route, q.hinted_tokens, events);
    if (predicted_end_ > duration{0})
    {
        record_completion(s.completions, service_, predicted_end_, now - sent_);
        s.counters.histogram("completion_error", scope())
            .add(to_seconds(now - sent_) / to_seconds(predicted_end_));
    }
}

} // namespace marjorambeam
