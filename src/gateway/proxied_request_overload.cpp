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
    gateway_state& s = context_.state;
    auto const it = s.service_times_by_name.find(service_);
    if (is_engine() || it == s.service_times_by_name.end())
        return duration{0};
    return cached_service_time(s.rooms, s.upstreams, service_, it->second, now);
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
        record_start(s.intervals[service_]);
        upstream_view const v = view_of(*upstream_, now);
        predicted_start_ = estimate_room(
            std::span(&v, 1), s.service_times_by_name[service_], now);
        return;
    }
    record_prompt(s.prompt_mixes[service_], work_.prefill, now);
    completion_query q =
        completion_query_for(model_, inputs_.load + 1, inputs_.expected, now);
    q.pace = event_pace_of(upstream_->event_pace, now);
    completion_prediction const end = predict_completion(s.completions, q);
    predicted_end_ = end.likely;
    uncorrected_end_ = end.uncorrected;
    event_line_ = expected_event_line(s.completions, q);
}

// What the end of the response at an engine is predicted from.
std::optional<response_forecast>
proxied_request::response_forecast_now(steady_time now) const
{
    return forecast_of_request(
        context_.state, request_, route_,
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
    upstream_query const q{
        .service = service_,
        .work = work_,
        .forecast = response_forecast_now(now)};
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
    room_at_ = take_place(
        engine_return_rate(now), until_room, times.service_time, now);
    context_.log.write(
        log_event::overload_refused,
        {{"request_id", request_.attempt_id},
         {"service", service_},
         {"reason", std::string(to_string(admission_reason::cannot_end))},
         {"room", "no"},
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

// The priority that the upstream is told. At an engine the slack until the
// first event orders requests of the same priority.
int proxied_request::urgency(steady_time now) const
{
    if (!is_engine() || !is_overload_controlled())
        return priority_;
    return engine_urgency(
        priority_, config_->priorities,
        started_ + route_.target - now - inputs_.expected, route_.target);
}

// Returns how many of the requests that wait for the service go before this
// one.
std::size_t proxied_request::count_waiting_before(steady_time now) const
{
    if (waiting_before_)
        return *waiting_before_;
    std::vector<waiting_request> all{waiting_inputs(now)};
    for (auto const& it : context_.waiting)
    {
        if (it.get() != this && it->service_ == service_)
            all.push_back(it->waiting_inputs(now));
    }
    std::vector<std::uint32_t> const order =
        order_waiting(all, context_.state.shares, now);
    return static_cast<std::size_t>(
        std::find(order.begin(), order.end(), 0U) - order.begin());
}

// Returns until when the request may wait. While the upstreams are full and the
// estimate is known, it is as long as it could still end in time.
steady_time proxied_request::latest_wait(steady_time now) const
{
    bool const is_full = last_selection_.failure == selection_failure::full &&
                         ran_ == run_state::not_run;
    duration const expected = is_full && is_overload_controlled()
                                  ? expected_service_time(now)
                                  : duration{0};
    return expected > duration{0} ? std::max(wait_until_, deadline_ - expected)
                                  : wait_until_;
}

// Whether the request can't start and end in time by the estimate of the room
// and its place among those that wait, as of its last selection, which found no
// room.
bool proxied_request::has_overload_refusal(steady_time now)
{
    if (is_engine() || !is_overload_controlled() ||
        last_selection_.failure != selection_failure::full ||
        ran_ != run_state::not_run)
        return false;
    gateway_state& s = context_.state;
    room_estimate const room = cached_room(
        s.rooms, s.upstreams, service_, s.service_times_by_name[service_], now);
    std::size_t const before = room.is_known ? count_waiting_before(now) : 0;
    plain_admission const a = decide_plain_admission(
        s, service_, room,
        {.before = before,
         .until_deadline = remaining(now),
         .until_target = started_ + route_.target - now},
        now);
    if (room.is_known && !wait_prediction_)
        wait_prediction_ = {.at = now, .times = a.times};
    if (a.result.outcome != admission_outcome::refuse)
        return false;
    bool const has_room = record_refusal(s.admissions, room.has_free_slot);
    if (has_room)
        s.counters.count("refused_with_room_total", "", scope());
    s.counters.count(
        "overload_refusals_total", to_string(a.result.reason), scope());
    room_at_ = take_place(
        starts_per_second(room), a.result.until_room, room.service_time, now);
    context_.log.write(
        log_event::overload_refused,
        {{"request_id", request_.attempt_id},
         {"service", service_},
         {"reason", std::string(to_string(a.result.reason))},
         {"room", has_room ? "yes" : "no"},
         {"until_start_ms", in_ms(room.until_start)},
         {"service_ms", in_ms(room.shortest_service_time)},
         {"before", std::to_string(before)},
         {"interval_ms", in_ms(start_interval_of(s.intervals[service_]))},
         {"early_ms", in_ms(a.times.end.early)},
         {"likely_ms", in_ms(a.times.end.likely)},
         {"left_ms", in_ms(remaining(now))},
         {"priority", std::to_string(priority_)},
         {"returned", waiting_inputs(now).came_back ? "yes" : "no"},
         {"retry_after_ms", in_ms(*room_at_)}});
    return true;
}

// Returns when the refused caller is to come back, see place_for().
duration proxied_request::take_place(
    double rate, duration until_room, duration expected, steady_time now)
{
    gateway_state& s = context_.state;
    s.returns.phase = return_phase(s);
    return place_for(
        s.returns,
        {.service = service_,
         .priority = priority_,
         .rate = rate,
         .gateways = std::max<std::size_t>(s.limit_view.live, 1),
         .until_room = until_room,
         .remaining = remaining(now),
         .expected = expected,
         .is_early = is_early_return(now)},
        now);
}

// Returns how long the notices of the upstreams that refused the request for
// `kind` stay in force.
duration
proxied_request::until_notice_ends(error_kind kind, steady_time now) const
{
    if (kind != error_kind::upstream_paused &&
        kind != error_kind::upstream_limited)
        return duration{0};
    steady_time at = last_selection_.resumes_at;
    // After a refusal that ended the attempts there was no selection.
    upstream_table const& b = context_.state.upstreams;
    auto const last = attempts_.tried.empty()
                          ? b.by_id.end()
                          : b.by_id.find(attempts_.tried.back());
    if (at == steady_time{} && last != b.by_id.end())
    {
        upstream_notice const* const n = find_notice(b, *last->second);
        at = n != nullptr ? n->resumes_at : at;
    }
    return std::max(at - now, duration{0});
}

// Returns the place of a caller that is refused for `kind`, no earlier than the
// notices of the upstreams say; nothing without overload control, or if it is
// not known how fast the service takes requests.
std::optional<duration>
proxied_request::place_after(error_kind kind, steady_time now)
{
    bool const has_places = kind == error_kind::queue_full ||
                            kind == error_kind::upstream_cold ||
                            kind == error_kind::upstream_paused ||
                            kind == error_kind::upstream_limited;
    if (!has_places || !is_overload_controlled())
        return std::nullopt;
    gateway_state& s = context_.state;
    room_estimate room;
    if (!is_engine())
        room = cached_room(
            s.rooms, s.upstreams, service_, s.service_times_by_name[service_],
            now);
    double rate = starts_per_second(room);
    if (double const limit = last_selection_.limit_per_second;
        kind == error_kind::upstream_limited && limit > 0)
        rate = rate > 0 ? std::min(rate, limit) : limit;
    if (rate <= 0)
        return std::nullopt;
    return take_place(
        rate, std::max(room.until_start, until_notice_ends(kind, now)),
        room.service_time, now);
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
    if (has_free_slot(view_of(*upstream_, now), now))
        record_free_slot(context_.state.rooms, service_);
    machine_pace pace;
    if (a.load && a.load->machine_pace)
        pace.percent = *a.load->machine_pace;
    if (a.has_not_run)
    {
        // One that asks for a pause gets it by its notice.
        if (a.pause)
            return;
        std::vector<std::string>& full = attempts_.refused_by;
        if (std::find(full.begin(), full.end(), upstream_->info.id) ==
            full.end())
            full.push_back(upstream_->info.id);
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
    record_start_error(now);
    record_service_time(
        upstream_->room, prior,
        {.took = now - sent_,
         .requests = inputs_.load,
         .slots = upstream_->info.slots,
         .pace = pace,
         .reported = a.load},
        now);
}

// Returns when the response was predicted to start and end, after the request's
// arrival, for the log. Precondition: the request was sent.
std::optional<proxied_request::predicted_response>
proxied_request::predicted_times() const
{
    duration const until_sent = sent_ - started_;
    if (is_engine())
    {
        if (predicted_end_ <= duration{0})
            return std::nullopt;
        return predicted_response{
            until_sent + inputs_.expected, until_sent + predicted_end_};
    }
    if (wait_prediction_)
    {
        duration const until_wait = wait_prediction_->at - started_;
        admission_times const& t = wait_prediction_->times;
        return predicted_response{
            until_wait + t.start.likely, until_wait + t.end.likely};
    }
    if (!predicted_start_.is_known)
        return std::nullopt;
    duration const start = until_sent + predicted_start_.until_start;
    return predicted_response{start, start + predicted_start_.service_time};
}

// Learns the error of the prediction of the start: from when the request had to
// wait at the gateway, or else from when it was sent.
void proxied_request::record_start_error(steady_time now)
{
    if (!predicted_start_.is_known || attempts_.runs > 0)
        return;
    duration const service_time = predicted_start_.service_time;
    duration seen = std::max(now - sent_ - service_time, duration{0});
    duration predicted = predicted_start_.until_start;
    if (wait_prediction_)
    {
        seen += sent_ - wait_prediction_->at;
        predicted = wait_prediction_->times.predicted;
    }
    // Starts without a wait, of which there are many before an overload, say
    // nothing about the error of a long one.
    if (std::max(seen, predicted) > service_time)
        record_error(
            context_.state.start_errors[service_], predicted, seen,
            service_time, now);
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
    larger_model_delay const& t, std::optional<model_choice_reason>& spared,
    steady_time now)
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
        spared = choice.reason;
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
    if (!is_engine() || !is_overload_controlled())
        return;
    record_attempt_error(is_complete, now);
    if (attempt_events_ == 0)
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
}

// Records how wrong the prediction for the current attempt was. A resumed
// stream is left out, as its prediction covers the whole response.
void proxied_request::record_attempt_error(bool is_complete, steady_time now)
{
    gateway_state& s = context_.state;
    bool const is_resumed =
        request_.resume_after || attempt_events_ < events_.events();
    bool const is_empty = is_complete && attempt_events_ == 0;
    if (route_.kind != route_kind::streaming || is_resumed || is_empty ||
        uncorrected_end_ <= duration{0})
        return;
    if (!is_complete)
    {
        if (connection_ && connection_->is_connected())
            record_cut_completion(
                s.completions, service_, uncorrected_end_, now - sent_);
        return;
    }
    record_completion(s.completions, service_, uncorrected_end_, now - sent_);
    s.counters.histogram("completion_error", scope())
        .add(to_seconds(now - sent_) / to_seconds(predicted_end_));
}

} // namespace marjorambeam
