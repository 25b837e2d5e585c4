// Failures, retries, quarantine and completion in proxied_request.
#include "base/hash.hpp"
#include "base/id.hpp"
#include "gateway/load_admission.hpp"
#include "gateway/local_response.hpp"
#include "gateway/planned_stop.hpp"
#include "gateway/proxied_request.hpp"

#include <algorithm>

namespace marjorambeam
{
namespace
{

using std::chrono::milliseconds;

// Limit on refused sends, which don't count toward the route's attempts because
// the upstream has not run the request.
constexpr std::uint32_t max_free_sends = 3;
// Time for a connection to be established; a reachable upstream needs a few
// milliseconds.
constexpr duration connect_timeout = milliseconds(400);
// Time for a connection to a crashed upstream to be refused, before a request
// that may have crashed it is sent to another one.
constexpr duration evidence_delay = milliseconds(25);

bool is_connection_failure(error_kind kind)
{
    return kind == error_kind::connection_lost ||
           kind == error_kind::answer_cut;
}

std::string to_integer_text(double n)
{
    return std::to_string(static_cast<std::int64_t>(n));
}

} // namespace

void proxied_request::on_response_failure(response_failure const& why)
{
    steady_time const now = boot_now();
    if (why.is_unsent)
    {
        record_unreachable_upstream(*upstream_, now);
        auto const self = shared_from_this();
        context_.quarantine.record_crash_of(upstream_->info.id, now);
        if (is_done_)
            return;
    }
    fail_attempt(why.kind, !why.is_unsent, why.why, now);
}

void proxied_request::record_unreachable_upstream(
    upstream_state& u, steady_time now)
{
    gateway_service const* const s = service();
    record_unreachable(u, s != nullptr ? s->cold_start : duration{0}, now);
    if (u.consecutive_failures > 1)
        return;
    context_.log.write(
        log_event::upstream_unreachable,
        {{"upstream", u.info.id},
         {"service", service_},
         {"started_ms", std::to_string(u.info.started_unix_ms)},
         {"avoid_ms", in_ms(u.ejected_until - now)}});
}

bool proxied_request::may_retry(bool may_have_run, steady_time now)
{
    if (is_done_ || remaining(now) < min_attempt_time)
        return false;
    if (may_have_run && !is_repeatable(route_))
        return false;
    if (attempts_.runs >= route_.attempts ||
        attempts_.sends >= route_.attempts + max_free_sends)
        return false;
    return !is_suspected() &&
           has_budget(extra_attempt_reason::after_failure, now);
}

// Whether the request may crash the upstream that it is sent to.
bool proxied_request::is_suspected() const
{
    return trial_ || !may_repeat(context_.state.crashes, traits_) ||
           has_suspected_part(context_.state.quarantine, traits_);
}

void proxied_request::fail_attempt(
    error_kind kind, bool may_have_run, std::string const& why, steady_time now)
{
    context_.state.counters.count(
        "attempt_failures_total", to_string(kind), scope());
    context_.log.write(
        log_event::attempt_failed,
        {{"request_id", request_.attempt_id},
         {"upstream", upstream_->info.id},
         {"kind", std::string(to_string(kind))},
         {"why", why},
         {"after_ms", in_ms(now - sent_)},
         {"may_have_run", may_have_run ? "yes" : "no"},
         {"events", std::to_string(events_.events())},
         {"load", to_integer_text(inputs_.load)},
         {"load_age_ms", in_ms(inputs_.load_age)},
         {"expected_ms", in_ms(inputs_.expected)},
         {"started_ms", std::to_string(inputs_.started_unix_ms)},
         {"config", std::to_string(config_->version)}});
    // An upstream that requests a backoff is healthy.
    if (kind != error_kind::upstream_paused)
        record_outcome(*upstream_, true, now);
    bool const never_connected =
        !may_have_run && kind == error_kind::connection_lost;
    if (never_connected)
        --attempts_.arrivals;
    if (may_have_run)
    {
        ++attempts_.runs;
        if (ran_ == run_state::not_run)
            ran_ = run_state::unknown;
        record_version_outcome(attempt_outcome::no_response);
    }
    attempts_.last_failure = kind;
    last_selection_ = {};
    std::shared_ptr<upstream_state> const upstream = upstream_;
    if (is_connection_failure(kind))
        has_attempt_head_ = false; // the upstream ended the answer
    release();
    events_.restart();
    bool const is_possible_crash =
        may_have_run && record_possible_crash(upstream, kind, now);
    if (is_done_)
        return;
    bool const awaits_evidence = is_possible_crash && !traits_.parts.empty() &&
                                 may_retry(may_have_run, now);
    if (!awaits_evidence)
    {
        retry_or_give_up(kind, may_have_run, now);
        return;
    }
    suspended_failure_ = kind;
    retry_at_ = now + evidence_delay;
    is_waiting_ = true;
    context_.waiting.push_back(shared_from_this());
}

// Suspects the request if its upstream may have crashed before it had answered
// for long. Precondition: the attempt may have run.
bool proxied_request::record_possible_crash(
    std::shared_ptr<upstream_state> const& upstream, error_kind kind,
    steady_time now)
{
    if (!is_connection_failure(kind) || has_survived_)
        return false;
    auto const self = shared_from_this();
    context_.quarantine.record_broken_attempt(
        upstream,
        {.traits = traits_, .has_begun = kind == error_kind::answer_cut},
        request_, now);
    return true;
}

void proxied_request::retry_or_give_up(
    error_kind kind, bool may_have_run, steady_time now)
{
    if (may_retry(may_have_run, now))
    {
        context_.state.counters.count(
            "retries_total", to_string(kind), scope());
        wait_until_ = now + max_queue_time(now);
        if (send(now) == send_outcome::none)
            queue_or_refuse(now);
        return;
    }
    if (ran_ == run_state::not_run)
        refuse(kind, retry_after_for(kind, now), now);
    else
        give_up(kind, ran_, now);
}

void proxied_request::refuse(
    error_kind kind, duration retry_after, steady_time now)
{
    error e = make_error(kind, "the request has not run");
    e.run = run_state::not_run;
    e.retry_after = retry_after;
    respond_with_error(e, now);
}

void proxied_request::give_up(error_kind kind, run_state ran, steady_time now)
{
    error e = make_error(kind, "no complete response was received");
    e.run = ran;
    respond_with_error(e, now);
}

void proxied_request::respond_with_error(error const& e, steady_time now)
{
    release();
    context_.state.counters.count("refusals_total", to_string(e.kind), scope());
    ran_ = e.run;
    if (has_response_head_)
    {
        client_->abort();
        finish(log_event::request_failed, to_string(e.kind), 0, now);
        return;
    }
    local_response const a =
        make_local_response(context_.protocol, e, request_.attempt_id);
    client_->respond(a.head, a.body);
    finish(log_event::request_failed, to_string(e.kind), a.head.status, now);
}

void proxied_request::on_disconnect()
{
    leave(boot_now());
}

void proxied_request::on_connected()
{
    end_if_caller_left(boot_now());
}

// Ends the request if its caller has left. An attempt that begins in the same
// turn as the caller's end of the connection arrives would be for nobody.
bool proxied_request::end_if_caller_left(steady_time now)
{
    if (!client_->has_caller_left())
        return false;
    auto const self = shared_from_this();
    client_->abort();
    leave(now);
    return true;
}

void proxied_request::leave(steady_time now)
{
    context_.state.counters.count(
        "callers_left_total", attempts_.sends == 0 ? "not_sent" : "sent",
        scope());
    // A caller that waited until its deadline leaves before the timer here, by
    // the way between them.
    if (remaining(now) < min_attempt_time)
        record_stream_end(false, now);
    release();
    finish(log_event::request_left, "caller_left", 0, now);
}

void proxied_request::on_deadline()
{
    steady_time const now = boot_now();
    if (is_done_)
        return;
    record_stream_end(false, now);
    if (ran_ == run_state::not_run && !connection_)
        refuse(
            error_kind::deadline_unreachable,
            spread(min_retry_after, hash_ >> 8U), now);
    else
        give_up(error_kind::deadline_exceeded, run_state::unknown, now);
}

void proxied_request::on_attempt_timeout()
{
    steady_time const now = boot_now();
    if (is_done_ || !connection_)
        return;
    auto const self = shared_from_this();
    if (connection_->extend_for_full_window(remaining(now)))
        context_.state.counters.count("slow_reads_total", "upstream", scope());
    upstream_notice const* const notice =
        find_notice(context_.state.upstreams, *upstream_);
    if (!connection_->is_connected() && notice != nullptr &&
        now < notice->paused_until)
    {
        fail_attempt(
            error_kind::upstream_paused, false, "paused before it was sent",
            now);
        return;
    }
    if (!connection_->is_connected() && now - sent_ > connect_timeout)
    {
        record_unreachable_upstream(*upstream_, now);
        fail_attempt(error_kind::connection_lost, false, "no connection", now);
        return;
    }
    if (connection_->is_paused())
    {
        // It waits for this gateway or for the caller, not the other way round.
        last_event_ = now;
        arm_attempt_timer();
        return;
    }
    std::optional<duration> since_event;
    if (is_event_stream_ && events_.events() > 0)
        since_event = now - last_event_;
    attempt_delay const delay = delay_of(
        {.since_sent = now - sent_,
         .since_received = now - std::max(upstream_->last_received_at, sent_),
         .is_event_stream = is_event_stream_,
         .since_event = since_event},
        {.target = route_.target,
         .gap_target = route_.gap_target,
         .is_plain_idempotent =
             route_.kind == route_kind::idempotent && !is_engine()});
    if (delay != attempt_delay::none)
        on_delay(delay, now);
    else
        arm_attempt_timer();
}

// Lets another upstream take over, or the attempt go on if none can.
void proxied_request::on_delay(attempt_delay delay, steady_time now)
{
    wait_reason const reason = reason_to_wait(replacement_for_current(now));
    if (delay == attempt_delay::silent && is_repeatable(route_))
        record_silence(*upstream_, sent_, now);
    if (reason == wait_reason::none)
    {
        fail_attempt(
            error_kind::upstream_silent, true, std::string(to_string(delay)),
            now);
        return;
    }
    std::pair const waits{delay, reason};
    if (std::exchange(waits_for_, waits) != waits)
    {
        context_.state.counters.count(
            "attempts_kept_total", to_string(reason), scope());
        context_.log.write(
            log_event::attempt_kept,
            {{"request_id", request_.attempt_id},
             {"upstream", upstream_->info.id},
             {"delay", std::string(to_string(delay))},
             {"why", std::string(to_string(reason))},
             {"silent_ms", in_ms(now - upstream_->last_received_at)},
             {"after_ms", in_ms(now - sent_)}});
    }
    arm_attempt_timer();
}

replacement_options proxied_request::replacement_for_current(steady_time now)
{
    replacement_options o{
        .is_repeatable = is_repeatable(route_) && !is_suspected(),
        .has_attempts = attempts_.runs + 1 < route_.attempts &&
                        attempts_.sends < route_.attempts + max_free_sends &&
                        remaining(now) >= min_attempt_time,
        .has_budget = has_budget(extra_attempt_reason::after_failure, now),
        .can_end_in_time = can_end_in_stop(now)};
    if (reason_to_wait(o) != wait_reason::no_upstream)
        return o;
    std::span<std::string const> const tried = attempts_.tried;
    o.has_upstream = select_except(tried.last(1), now).chosen != nullptr;
    return o;
}

// Whether an attempt that is sent now can end before a planned stop cuts it.
bool proxied_request::can_end_in_stop(steady_time now) const
{
    gateway_state const& s = context_.state;
    if (!s.drain_started)
        return true;
    return can_end_in_time(
        make_stop_plan(*s.drain_started, s.settings.drain_time),
        {.remaining = remaining(now),
         .target = route_.target,
         .may_repeat = true},
        now);
}

void proxied_request::abort_request(steady_time now)
{
    if (is_done_)
        return;
    if (ran_ == run_state::not_run && !connection_)
        refuse(
            error_kind::shutting_down, spread(min_retry_after, hash_ >> 8U),
            now);
    else
        give_up(error_kind::upstream_failed, run_state::unknown, now);
}

metric_scope proxied_request::scope() const
{
    return {.route = route_.name, .organisation_class = organisation_class_};
}

void proxied_request::finish(
    log_event event, std::string_view kind, int status, steady_time now)
{
    is_done_ = true;
    is_waiting_ = false;
    limit_slot_.reset();
    deadline_timer_.stop();
    attempt_timer_.stop();
    client_->on_disconnect({});
    metrics& m = context_.state.counters;
    m.count("requests_total", kind, scope());
    if (attempts_.sends > 0 && is_overload_controlled())
        count_admission(event == log_event::request_served, now);
    if (event == log_event::request_served)
    {
        record_engine_completion(now);
        m.histogram("whole_seconds", scope()).add(to_seconds(now - started_));
        if (first_event_ != steady_time{})
            m.histogram("first_event_seconds", scope())
                .add(to_seconds(first_event_ - started_));
    }
    if (logger::is_on(event))
        log_end(event, kind, status, now);
}

// Counts how a request that was sent ended by its target and deadline.
void proxied_request::count_admission(bool is_served, steady_time now)
{
    bool const has_first_event = first_event_ != steady_time{};
    admission_end const end = classify_end(
        is_served, (has_first_event ? first_event_ : now) - started_,
        route_.target, deadline_ - started_);
    record_end(context_.state.admissions, end);
    if (end != admission_end::in_time)
        context_.state.counters.count(
            "admitted_late_total", to_string(end), scope());
}

void proxied_request::log_end(
    log_event event, std::string_view kind, int status, steady_time now)
{
    bool const has_first = first_event_ != steady_time{};
    std::optional<predicted_response> predicted;
    if (attempts_.sends > 0 && is_overload_controlled())
        predicted = predicted_times();
    context_.log.write(
        event,
        {{"request_id", request_.attempt_id},
         {"route", route_.name},
         {"organisation", organisation_.empty() ? "-" : organisation_},
         {"session", request_.session.empty() ? "-" : request_.session},
         {"kind", std::string(kind)},
         {"run", std::string(to_string(ran_))},
         {"status", std::to_string(status)},
         {"upstream", attempts_.tried.empty() ? "-" : attempts_.tried.back()},
         {"sends", std::to_string(attempts_.sends)},
         {"model", std::to_string(model_)},
         {"first_ms", has_first ? in_ms(first_event_ - started_) : "-"},
         {"ms", in_ms(now - started_)},
         {"unread_ms", in_ms(unread_)},
         {"load", to_integer_text(inputs_.load)},
         {"load_age_ms", in_ms(inputs_.load_age)},
         {"expected_ms", in_ms(inputs_.expected)},
         {"sent_ms", attempts_.sends > 0 ? in_ms(sent_ - started_) : "-"},
         {"predicted_start_ms", predicted ? in_ms(predicted->start) : "-"},
         {"predicted_end_ms", predicted ? in_ms(predicted->end) : "-"},
         {"started_ms", std::to_string(inputs_.started_unix_ms)},
         {"extras", std::to_string(budget().extras.count(now))},
         {"requests", std::to_string(budget().requests.count(now))},
         {"config", std::to_string(config_->version)}});
}

// Lets the request through to an upstream although it has a quarantined part,
// if this gateway may try whether the part still crashes upstreams.
void proxied_request::take_trial_if_due(steady_time now)
{
    quarantine_entry const* const e =
        find_quarantine(context_.state.quarantine, traits_);
    if (e == nullptr)
        return;
    quarantine_key const key = e->document.key;
    auto const version = context_.state.default_versions.find(service_);
    context_.quarantine.claim_trial_if_due(
        key,
        version == context_.state.default_versions.end()
            ? std::string_view()
            : std::string_view(version->second),
        now);
    if (take_trial(context_.state.quarantine, key, now))
        trial_ = key;
}

// Refuses the request if it, or a part of its prompt, crashes upstreams.
bool proxied_request::is_refused_by_quarantine(steady_time now)
{
    if (reaches_crash_limit(context_.state.crashes, traits_.request))
    {
        refuse_quarantined("request", 0, max_quarantine_retry, now);
        return true;
    }
    quarantine_entry const* const e =
        trial_ ? nullptr : find_quarantine(context_.state.quarantine, traits_);
    if (e == nullptr)
        return false;
    refuse_quarantined(
        "part", e->document.key.part,
        quarantine_retry_after(*e, to_unix_ms(wall_now())), now);
    return true;
}

void proxied_request::refuse_quarantined(
    std::string_view reason, std::uint64_t part, duration retry_after,
    steady_time now)
{
    context_.state.counters.count("quarantined_total", reason, scope());
    context_.log.write(
        log_event::request_quarantined,
        {{"request_id", request_.attempt_id},
         {"reason", std::string(reason)},
         {"fingerprint", to_hex(traits_.request)},
         {"part", part == 0 ? "-" : to_hex(part)},
         {"run", std::string(to_string(ran_))}});
    if (has_response_head_ || ran_ != run_state::not_run)
        give_up(error_kind::request_quarantined, ran_, now);
    else
        refuse(
            error_kind::request_quarantined, spread(retry_after, hash_ >> 8U),
            now);
}

void proxied_request::abort_if_quarantined(steady_time now)
{
    bool const is_answered =
        connection_ && (has_survived_ || attempt_events_ > 0);
    if (is_done_ || trial_ || is_answered ||
        find_quarantine(context_.state.quarantine, traits_) == nullptr)
        return;
    auto const self = shared_from_this();
    if (connection_ && connection_->is_connected() &&
        ran_ == run_state::not_run)
        ran_ = run_state::unknown;
    is_refused_by_quarantine(now);
}

} // namespace marjorambeam
