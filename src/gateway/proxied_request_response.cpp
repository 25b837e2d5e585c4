// Forwarding of upstream responses by proxied_request.
#include "base/hash.hpp"
#include "gateway/overload_control.hpp"
#include "gateway/proxied_request.hpp"

#include <algorithm>
#include <utility>

namespace marjorambeam
{
namespace
{

// Backpressure: the upstream is not read while this many bytes are unsent.
constexpr std::size_t pause_at_bytes = std::size_t{16} << 10U;
// After startup the load from other gateways is unknown, so upstreams would be
// measured as too slow.
constexpr duration load_warm_up = std::chrono::milliseconds(1000);

// Characters of an invalid header in a log line.
constexpr std::size_t max_logged_value = 32;
// The mean time between events is taken over this many, or at the end of a
// stream that has fewer but more than the minimum.
constexpr std::uint64_t gap_events = 6;
constexpr std::uint64_t min_gap_events = 2;
// An upstream that has answered for this long is not crashed by the request.
constexpr duration survival_time = std::chrono::milliseconds(200);

} // namespace

void proxied_request::on_head(http_response_head&& head)
{
    steady_time const now = boot_now();
    upstream_response const a = context_.protocol.decode_response(head);
    if (a.load)
    {
        upstream_->own_load = *a.load;
        upstream_->load_reported_at = now;
    }
    if (upstream_->consecutive_failures > 0)
        context_.log.write(
            log_event::upstream_reachable,
            {{"upstream", upstream_->info.id},
             {"started_ms", std::to_string(upstream_->info.started_unix_ms)},
             {"failures", std::to_string(upstream_->consecutive_failures)}});
    record_response(*upstream_, now);
    record_sign_of_life(
        context_.state.crashes, upstream_->info.id,
        upstream_->info.started_unix_ms, now);
    record_upstream_notices(a, now);
    is_event_stream_ = false;
    record_service_response(a, now);
    if (a.is_other_instance || (a.has_not_run && a.status >= 400))
    {
        recycle_connection(head);
        on_upstream_refusal(a);
        return;
    }
    ran_ = run_state::ran;
    has_attempt_head_ = true;
    if (sent_ - context_.state.started > load_warm_up)
        record_first_event(
            context_.state.upstreams, *upstream_, work_before_first_event_,
            now - sent_);
    if (a.status / 100 == 2)
        record_timing(timing_kind::first_event, now - sent_, now);
    release_work(work_.prefill);
    if (try_larger_model(a, now))
        return;
    bool const is_success = a.status / 100 == 2;
    if (is_success && !a.is_signed)
    {
        fail_attempt(
            error_kind::answer_corrupt, true, "response is not signed", now);
        return;
    }
    head_ = std::move(head);
    is_event_stream_ = is_success && route_.kind == route_kind::streaming;
    bool const is_too_long = head_.length.value_or(0) > max_response_bytes &&
                             request_.method != "HEAD";
    if (is_event_stream_)
        start_response(std::move(head_));
    else if (is_too_long)
        fail_attempt(
            error_kind::answer_corrupt, true,
            "announced length exceeds the buffer limit", now);
}

// The connection has checked that the response belongs to this attempt. A
// success without a signature is corrupt, and notices of another instance do
// not apply to this upstream.
void proxied_request::record_upstream_notices(
    upstream_response const& a, steady_time now)
{
    bool const is_corrupt = a.status / 100 == 2 && !a.is_signed;
    if (a.is_other_instance || is_corrupt)
        return;
    if (a.load)
        record_machine_pace(context_.state, service_, *a.load);
    if (auto const why = overload_control_to_log(context_.state, service_))
        context_.log.write(
            log_event::overload_control_on,
            {{"service", service_}, {"why", std::string(to_string(*why))}});
    upstream_info const& u = upstream_->info;
    upstream_notices& all = context_.state.upstreams.notices;
    metrics& m = context_.state.counters;
    std::string const incarnation = std::to_string(u.started_unix_ms);
    if (a.is_draining && record_draining(all, u.id, u.started_unix_ms, now))
    {
        m.count("upstream_notices_total", "leaving");
        context_.log.write(
            log_event::upstream_says_leaving,
            {{"upstream", u.id}, {"started_ms", incarnation}});
    }
    if (a.has_invalid_pause)
    {
        m.count("upstream_notices_total", "bad_pause");
        context_.log.write(
            log_event::upstream_pause_bad,
            {{"upstream", u.id}, {"started_ms", incarnation}});
    }
    record_upstream_limit(a, now);
    std::uint64_t const hash = hash64(context_.state.settings.instance);
    if (a.pause &&
        record_pause(all, u.id, u.started_unix_ms, *a.pause, hash, now))
    {
        m.count("upstream_notices_total", "pause");
        context_.log.write(
            log_event::upstream_asks_pause, {{"upstream", u.id},
                                             {"started_ms", incarnation},
                                             {"pause_ms", in_ms(*a.pause)}});
    }
}

void proxied_request::record_upstream_limit(
    upstream_response const& a, steady_time now)
{
    upstream_info const& u = upstream_->info;
    upstream_notices& all = context_.state.upstreams.notices;
    metrics& m = context_.state.counters;
    std::string const incarnation = std::to_string(u.started_unix_ms);
    if (!a.invalid_limit.empty())
    {
        m.count("upstream_notices_total", "bad_limit");
        context_.log.write(
            log_event::upstream_limit_bad,
            {{"upstream", u.id},
             {"started_ms", incarnation},
             {"value", a.invalid_limit.substr(0, max_logged_value)}});
        return;
    }
    upstream_notice const* const notice =
        find_notice(all, u.id, u.started_unix_ms);
    std::optional<double> const before =
        notice == nullptr ? std::nullopt : notice->limit.per_second;
    known_limit const* const changed = record_limit(
        all, u.id, u.started_unix_ms, a.limit_per_second, sent_, now);
    if (changed == nullptr)
        return;
    context_.state.is_report_due = true;
    m.count(
        "upstream_notices_total", changed->per_second ? "limit" : "no_limit");
    context_.log.write(
        log_event::upstream_limit_changed,
        {{"upstream", u.id},
         {"started_ms", incarnation},
         {"limit_per_s", limit_text(changed->per_second)},
         {"before", limit_text(before)},
         {"change", std::to_string(changed->change)}});
}

void proxied_request::on_upstream_refusal(upstream_response const& a)
{
    steady_time const now = boot_now();
    if (a.is_other_instance)
        upstream_->ejected_until = now + std::chrono::seconds(2);
    error_kind kind =
        a.pause ? error_kind::upstream_paused : error_kind::queue_full;
    if (a.is_other_instance)
        kind = error_kind::upstream_out;
    fail_attempt(kind, false, "refused with " + std::to_string(a.status), now);
}

bool proxied_request::try_larger_model(
    upstream_response const& a, steady_time now)
{
    if (has_response_head_ || a.status / 100 != 2 || route_.models.empty() ||
        events_.last_id())
        return false;
    if (find_quarantine(context_.state.quarantine, traits_) != nullptr)
        return false;
    escalation_query const q{
        .models = route_.models.size(),
        .current = model_,
        .confidence = a.confidence,
        .has_attempts = attempts_.runs + 2 <= route_.attempts &&
                        has_budget(extra_attempt_reason::larger_model, now)};
    std::optional<std::size_t> const next = escalation_target(q);
    if (!next)
        return false;
    if (end_if_caller_left(now))
        return true;
    std::size_t const current_model = model_;
    upstream_selection c;
    larger_model_delay t;
    std::optional<model_choice_reason> spared; // why the largest one is
    std::shared_ptr<upstream_connection> connection;
    for (std::size_t model = *next; model > current_model; --model)
    {
        set_model(model);
        c = select_next_upstream(now);
        t = {
            .expected = c.expected,
            .queued = c.queued,
            .left = started_ + route_.target - now};
        std::optional<model_choice_reason> reason;
        if (c.chosen && is_worth_larger_model(q, c, t, reason, now))
        {
            connection = take_connection(c, now);
            break;
        }
        if (!spared)
            spared = reason;
        if (!reason || !may_ask_smaller(*reason))
            break;
    }
    if (!connection)
    {
        set_model(current_model);
        context_.state.counters.count(
            "larger_model_spared_total", spared ? name_of(*spared) : "",
            scope());
        return false;
    }
    context_.state.counters.count("larger_model_total", "", scope());
    context_.log.write(
        log_event::larger_model_asked,
        {{"request_id", request_.attempt_id},
         {"confidence", std::to_string(a.confidence.value_or(0))},
         {"model", std::to_string(model_)},
         {"upstream", upstream_->info.id},
         {"next_upstream", c.chosen->info.id},
         {"expected_ms", in_ms(t.expected)},
         {"left_ms", in_ms(t.left)},
         {"extras", std::to_string(budget().extras.count(now))},
         {"requests", std::to_string(budget().requests.count(now))}});
    ++attempts_.runs;
    release();
    dispatch(c, std::move(connection), now);
    return true;
}

void proxied_request::start_response(http_response_head&& head)
{
    if (has_response_head_)
        return; // resumed: the first upstream's head stays
    has_response_head_ = true;
    client_->start_stream({head.status, std::move(head.headers)});
    std::weak_ptr<proxied_request> const weak = weak_from_this();
    client_->on_drained(
        [weak]
        {
            auto const run = weak.lock();
            if (run)
                run->set_pause();
        });
}

// Claims room for a response that is not small. Nothing more is read from the
// upstream until there is.
void proxied_request::claim_response(std::size_t bytes, steady_time now)
{
    if (response_claim_)
        return;
    std::weak_ptr<proxied_request> const weak = weak_from_this();
    response_claim_ = std::make_unique<buffer_claim>(
        context_.pools.responses, bytes,
        [weak]
        {
            if (auto const run = weak.lock())
                run->set_pause();
        },
        upstream_->info.id);
    if (response_claim_->is_granted())
        return;
    context_.state.counters.count("response_waits_total", "", scope());
    context_.log.write(
        log_event::response_held_back,
        {{"request_id", request_.attempt_id},
         {"upstream", upstream_->info.id},
         {"bytes", std::to_string(bytes)},
         {"used", std::to_string(context_.pools.responses.used)},
         {"after_ms", in_ms(now - sent_)}});
}

// Reads from the upstream unless its response waits for room, or its events for
// their caller. A plain response is covered by its claim.
void proxied_request::set_pause()
{
    if (!connection_)
        return;
    bool const waits_for_room =
        response_claim_ && !response_claim_->is_granted();
    bool const waits_for_caller =
        is_event_stream_ && client_->unsent() > pause_at_bytes;
    connection_->pause(waits_for_room || waits_for_caller);
}

void proxied_request::on_body(std::string&& bytes)
{
    steady_time const now = boot_now();
    if (!is_event_stream_)
    {
        if (body_.size() + bytes.size() > max_response_bytes)
        {
            fail_attempt(
                error_kind::answer_corrupt, true,
                "response body exceeds the buffer limit", now);
            return;
        }
        if (body_.size() + bytes.size() > small_body_bytes)
        {
            std::size_t const most = static_cast<std::size_t>(
                head_.length.value_or(max_response_bytes));
            claim_response(most, now);
            // Of one size, as a buffer that grows holds twice of what is in it.
            if (response_claim_->is_granted())
                body_.reserve(most);
            set_pause();
        }
        body_.append(bytes);
        return;
    }
    std::uint64_t const before = events_.events();
    std::string const complete_events = events_.put(bytes);
    if (events_.has_gap() || events_.is_too_long())
    {
        fail_attempt(
            error_kind::answer_corrupt, true,
            events_.has_gap() ? "events missing" : "event too long", now);
        return;
    }
    if (events_.held_bytes() > small_body_bytes)
        claim_response(2 * max_event_bytes, now);
    if (complete_events.empty())
    {
        set_pause();
        return;
    }
    bool const has_event = events_.events() > before;
    if (has_event && first_event_ == steady_time{})
        first_event_ = now;
    if (has_event)
    {
        last_event_ = now;
        record_event_gap(events_.events() - before, now);
        if (now - attempt_first_event_ >= survival_time)
            record_survived_attempt(now);
    }
    client_->write(complete_events);
    record_pass_through_time();
    bool const is_small = events_.held_bytes() <= small_body_bytes &&
                          client_->unsent() <= pause_at_bytes;
    if (is_small)
        response_claim_.reset();
    set_pause();
}

void proxied_request::on_late_response(std::string const& attempt_id)
{
    context_.state.counters.count("late_responses_total", "", scope());
    context_.log.write(
        log_event::late_response_skipped,
        {{"request_id", request_.attempt_id},
         {"upstream", upstream_->info.id},
         {"late_id",
          attempt_id.empty() ? "-" : attempt_id.substr(0, max_logged_value)}});
}

void proxied_request::on_complete()
{
    steady_time const now = boot_now();
    if (is_event_stream_)
    {
        if (events_.has_partial())
        {
            fail_attempt(
                error_kind::answer_cut, true, "stream ends within an event",
                now);
            return;
        }
        record_version_outcome(attempt_outcome::good);
        if (attempt_events_ > min_gap_events && attempt_events_ <= gap_events)
            record_timing(
                timing_kind::event_gap,
                (last_event_ - attempt_first_event_) /
                    static_cast<duration::rep>(attempt_events_ - 1),
                now);
        record_outcome(*upstream_, false, now);
        record_survived_attempt(now);
        record_stream_end(true, now);
        std::shared_ptr<upstream_connection> const c =
            std::exchange(connection_, nullptr);
        release();
        context_.pool.put_back(c, now);
        client_->end_stream();
        finish(log_event::request_served, "whole", 200, now);
        return;
    }
    deliver_complete_response(now);
}

void proxied_request::deliver_complete_response(steady_time now)
{
    bool const is_failure = head_.status >= 500;
    record_version_outcome(
        is_failure ? attempt_outcome::error_response : attempt_outcome::good);
    record_outcome(*upstream_, is_failure, now);
    record_survived_attempt(now);
    std::shared_ptr<upstream_connection> const c =
        std::exchange(connection_, nullptr);
    std::string body = std::move(body_);
    std::unique_ptr<buffer_claim> claim = std::move(response_claim_);
    release();
    context_.pool.put_back(c, now);
    if (is_failure && route_.kind != route_kind::non_idempotent)
    {
        ++attempts_.runs;
        if (may_retry(true, now) && send(now) != send_outcome::none)
            return;
    }
    if (has_response_head_)
    {
        give_up(error_kind::upstream_failed, run_state::ran, now);
        return;
    }
    client_->hold(std::move(claim));
    client_->respond({head_.status, std::move(head_.headers)}, std::move(body));
    record_pass_through_time();
    finish(log_event::request_served, "whole", head_.status, now);
}

// The upstream answers and did not crash when it began to.
void proxied_request::record_survived_attempt(steady_time now)
{
    if (std::exchange(has_survived_, true))
        return;
    record_survival(context_.state.crashes, traits_, now);
    if (trial_)
        context_.quarantine.record_passed_trial(*trial_, now);
}

// Records the time since the loop woke up for the upstream's bytes.
void proxied_request::record_pass_through_time()
{
    if (pass_through_ == nullptr)
        pass_through_ =
            &context_.state.counters.histogram("pass_through_seconds", scope());
    pass_through_->add(std::max(ev_time() - context_.loop.now(), 0.0));
}

void proxied_request::record_version_outcome(attempt_outcome outcome)
{
    auto const it = context_.state.rollouts.find(service_);
    if (it == context_.state.rollouts.end() || !upstream_)
        return;
    rollout_progress& t = it->second;
    record_attempt(t.order, t.own, upstream_->info.version, outcome);
}

// Compares a time of the target of a rollout with the other versions', which
// set the baseline. Cold upstreams of either are slower.
void proxied_request::record_timing(
    timing_kind kind, duration took, steady_time now)
{
    if (now < upstream_->cold_until || took <= duration{0})
        return;
    gateway_state& s = context_.state;
    timing_class const c{
        .service = service_,
        .route = route_.name,
        .model = model_,
        .load = inputs_.load,
        .kind = kind};
    auto const it = s.rollouts.find(service_);
    if (it == s.rollouts.end() ||
        !is_on_trial(it->second.order, upstream_->info.version))
    {
        add_to_baseline(s.timings, c, took);
        return;
    }
    std::optional<double> const ratio =
        compare_with_baseline(s.timings, c, took);
    version_timing& t = it->second.own.timing;
    if (ratio)
        add_sample(
            kind == timing_kind::first_event ? t.first_event : t.event_gap,
            *ratio);
}

void proxied_request::record_event_gap(std::uint64_t events, steady_time now)
{
    if (attempt_events_ == 0)
        attempt_first_event_ = now;
    else if (is_overload_controlled())
    {
        record_engine_pace(events, now);
        record_event_time(
            context_.state.completions, service_, model_, inputs_.load + 1,
            (now - previous_event_) / static_cast<duration::rep>(events), now);
    }
    previous_event_ = now;
    bool const was_open = attempt_events_ <= gap_events;
    attempt_events_ += events;
    if (was_open && attempt_events_ > gap_events)
        record_timing(
            timing_kind::event_gap,
            (now - attempt_first_event_) /
                static_cast<duration::rep>(attempt_events_ - 1),
            now);
}

} // namespace marjorambeam
