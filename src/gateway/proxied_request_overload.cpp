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
namespace
{

// The rate at which callers may come back to engines is that of the requests
// that were completed in this time.
constexpr duration completion_window = std::chrono::seconds(5);

} // namespace

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

// How long the request may wait at an upstream for a slot. One that can meet
// its target has until then. One that can't leaves the queue to those that can
// and takes a free slot, until it must start to end before its deadline.
duration proxied_request::affordable_wait(steady_time now) const
{
    if (is_engine() || !is_overload_controlled())
        return duration{0};
    duration const expected = expected_service_time(now);
    duration const to_target = started_ + route_.target - now - expected;
    if (to_target > duration{0})
        return to_target;
    duration const to_deadline = remaining(now) - expected;
    return to_deadline < 2 * expected ? std::max(to_deadline, duration{0})
                                      : duration{0};
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
    completion_query q =
        completion_query_for(model_, inputs_.load + 1, inputs_.expected, now);
    q.pace = event_pace_of(upstream_->event_pace, now);
    predicted_end_ = predict_completion(s.completions, q).likely;
    event_line_ = expected_event_line(s.completions, q);
}

// What the end of the response at an engine is predicted from. Only for
// streams, as others have no events that correct the prediction. A stream that
// the caller resumes has an unknown part left.
std::optional<response_forecast>
proxied_request::response_forecast_now(steady_time now) const
{
    if (route_.kind != route_kind::streaming || request_.resume_after)
        return std::nullopt;
    return forecast_response(
        context_.state.completions,
        completion_query_for(model_, 1, duration{0}, now), events_.events(),
        remaining(now));
}

// Refuses a request that was not sent yet if its response can't end before its
// deadline at any engine. Returns whether it did. Not while nothing is queued
// at the selected engine, which would serve it at no one's cost.
bool proxied_request::is_refused_by_engines(
    upstream_selection const& c, steady_time now)
{
    if (c.ends_in_time || attempts_.sends > 0 || has_response_head_ ||
        ran_ != run_state::not_run)
        return false;
    gateway_state& s = context_.state;
    upstream_query const q = make_query({}, now);
    auto const earliest =
        q.forecast ? earliest_engine_end(s.upstreams, q, now) : std::nullopt;
    if (!earliest)
        return false;
    completion_query at = completion_query_for(
        model_, earliest->requests, earliest->first_event, now);
    at.pace = earliest->pace;
    completion_prediction const end = predict_completion(s.completions, at);
    admission_times const times = engine_times(earliest->queued, end);
    bool const has_room = !has_queue(*c.chosen, now);
    admission_result const a = decide_admission(
        {.is_known = end.is_known,
         .has_free_slot = has_room,
         .times = times,
         .until_deadline = remaining(now),
         .until_target = started_ + route_.target - now});
    if (a.outcome != admission_outcome::refuse)
        return false;
    if (record_refusal(s.admissions, has_room))
        s.counters.count("refused_with_room_total", "", scope());
    s.counters.count("overload_refusals_total", to_string(a.reason), scope());
    // Where nothing is queued, only the pace of the engines can change.
    refuse_by_engines(times, std::max(a.until_room, min_retry_after), now);
    return true;
}

void proxied_request::refuse_by_engines(
    admission_times const& times, duration until_room, steady_time now)
{
    room_at_ = place_for(
        context_.state.returns,
        {.service = service_,
         .priority = priority_,
         .rate = engine_return_rate(now),
         .gateways = std::max<std::size_t>(context_.state.limit_view.live, 1),
         .until_room = until_room,
         .remaining = remaining(now),
         .expected = times.service_time,
         .is_early = is_early_return(now)},
        now);
    context_.log.write(
        log_event::overload_refused,
        {{"request_id", request_.attempt_id},
         {"service", service_},
         {"reason", std::string(to_string(admission_reason::cannot_end))},
         {"early_ms", in_ms(times.end.early)},
         {"likely_ms", in_ms(times.end.likely)},
         {"left_ms", in_ms(remaining(now))},
         {"priority", std::to_string(priority_)},
         {"returned", waiting_inputs(now).came_back ? "yes" : "no"},
         {"retry_after_ms", in_ms(*room_at_)}});
    refuse(error_kind::queue_full, *room_at_, now);
}

// Requests per second that the engines of the service take over all gateways,
// by those that this one completed; 0 if there were none.
double proxied_request::engine_return_rate(steady_time now) const
{
    auto& all = context_.state.engine_completions;
    auto const it = all.find(service_);
    if (it == all.end())
        return 0;
    std::size_t const live =
        std::max<std::size_t>(context_.state.limit_view.live, 1);
    return static_cast<double>(it->second.count(now) * live) /
           to_seconds(completion_window);
}

void proxied_request::record_engine_completion(steady_time now)
{
    if (!is_engine() || !is_overload_controlled())
        return;
    rate_window& w = context_.state.engine_completions
                         .try_emplace(service_, completion_window)
                         .first->second;
    w.add(now);
    w.count(now); // removes those that have expired
}

// Learns how long events take at the engine of the current attempt relative to
// the others.
void proxied_request::record_engine_pace(std::uint64_t events, steady_time now)
{
    if (event_line_)
        record_event_pace(
            upstream_->event_pace, *event_line_,
            std::max(estimated_requests(*upstream_, now), 1.0),
            now - previous_event_, events, now);
}

// Whether the request can't start and end in time by the estimate of the room,
// as of its last selection, which found none.
bool proxied_request::has_overload_refusal(steady_time now)
{
    if (is_engine() || !is_overload_controlled() ||
        last_selection_.failure != selection_failure::full)
        return false;
    gateway_state& s = context_.state;
    room_estimate const room = room_of_service(
        s.upstreams, service_, s.service_times_by_name[service_], now);
    admission_times const times =
        plain_times(room, s.start_errors[service_], 0, duration{0}, now);
    admission_result const a = decide_admission(
        {.is_known = room.is_known,
         .has_free_slot = room.has_free_slot,
         .times = times,
         .until_deadline = remaining(now),
         .until_target = started_ + route_.target - now});
    if (a.outcome != admission_outcome::refuse)
        return false;
    if (record_refusal(s.admissions, room.has_free_slot))
        s.counters.count("refused_with_room_total", "", scope());
    s.counters.count("overload_refusals_total", to_string(a.reason), scope());
    room_at_ = place_for(
        s.returns,
        {.service = service_,
         .priority = priority_,
         .rate = room.start_interval > duration{0}
                     ? 1 / to_seconds(room.start_interval)
                     : 0,
         .gateways = std::max<std::size_t>(s.limit_view.live, 1),
         .until_room = a.until_room,
         .remaining = remaining(now),
         .expected = room.service_time,
         .is_early = is_early_return(now)},
        now);
    context_.log.write(
        log_event::overload_refused,
        {{"request_id", request_.attempt_id},
         {"service", service_},
         {"reason", std::string(to_string(a.reason))},
         {"early_ms", in_ms(times.end.early)},
         {"likely_ms", in_ms(times.end.likely)},
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
    completion_query at =
        completion_query_for(model_, requests + 1, c.expected, now);
    at.pace = event_pace_of(c.chosen->event_pace, now);
    std::array const candidates{model_candidate{
        .model = model_,
        .delay = t,
        .completion = predict_completion(s.completions, at),
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
    return {
        .service = service_,
        .route = route_.name,
        .model = model,
        .models = route_.models.size(),
        .hinted_tokens = static_cast<double>(std::min(
            request_.hinted_output_tokens, request_.max_output_tokens)),
        .requests = requests,
        .first_event = first_event,
        .now = now};
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
