// The part of request_run that passes an upstream's answer on.
#include "base/hash.hpp"
#include "gateway/model_escalation.hpp"
#include "gateway/request_run.hpp"

#include <algorithm>
#include <utility>

namespace marjorambeam
{
namespace
{

// Unsent bytes of a stream from which its upstream is not read any more.
constexpr std::size_t pause_at_bytes = std::size_t{64} << 10U;
// A plain answer is held until it is whole, so that another one can be
// requested for; services on the platform answer with a few kilobytes.
constexpr std::size_t max_plain_answer_bytes = std::size_t{8} << 20U;
// After a start the loads that other gateways have put on upstreams are not
// known yet, so that upstreams would look slow.
constexpr duration loads_unknown = std::chrono::milliseconds(1000);

} // namespace

void request_run::on_head(http_response_head&& head)
{
    steady_time const now = boot_now();
    upstream_answer const a = context_.protocol.decode_answer(head);
    if (a.load)
    {
        upstream_->own_load = *a.load;
        upstream_->load_reported_at = now;
    }
    if (upstream_->failures_in_row > 0)
        context_.log.write(
            log_event::upstream_reachable,
            {{"upstream", upstream_->info.id},
             {"started_ms", std::to_string(upstream_->info.started_unix_ms)},
             {"failures", std::to_string(upstream_->failures_in_row)}});
    record_response(*upstream_, now);
    note_words(a, now);
    is_event_stream_ = false;
    if (a.is_other_instance || (a.has_not_run && a.status >= 400))
    {
        on_refused_by_upstream(a);
        return;
    }
    ran_ = run_state::ran;
    if (sent_ - context_.state.started > loads_unknown)
        record_first_event(
            context_.state.upstreams, *upstream_, work_before_, now - sent_);
    drop_work(work_.prefill);
    if (ask_larger_model(a, now))
        return;
    bool const is_success = a.status / 100 == 2;
    if (is_success && !a.is_signed)
    {
        fail_attempt(error_kind::answer_corrupt, true, "no receipt", now);
        return;
    }
    head_ = std::move(head);
    is_event_stream_ = is_success && route_.kind == route_kind::streaming;
    if (is_event_stream_)
        start_answer(std::move(head_));
}

// The connection has checked that the answer is this attempt's. A success
// without a receipt is damaged, and another instance speaks for itself only.
void request_run::note_words(upstream_answer const& a, steady_time now)
{
    bool const is_damaged = a.status / 100 == 2 && !a.is_signed;
    if (a.is_other_instance || is_damaged)
        return;
    upstream_info const& u = upstream_->info;
    upstream_notices& all = context_.state.upstreams.notices;
    metrics& m = context_.state.counters;
    std::string const lifetime = std::to_string(u.started_unix_ms);
    if (a.is_leaving && record_draining(all, u.id, u.started_unix_ms, now))
    {
        m.count("upstream_notices_total", "leaving");
        context_.log.write(
            log_event::upstream_says_leaving,
            {{"upstream", u.id}, {"started_ms", lifetime}});
    }
    if (a.has_bad_pause)
    {
        m.count("upstream_notices_total", "bad_pause");
        context_.log.write(
            log_event::upstream_pause_bad,
            {{"upstream", u.id}, {"started_ms", lifetime}});
    }
    std::uint64_t const hash = hash64(context_.state.settings.instance);
    if (a.pause &&
        record_pause(all, u.id, u.started_unix_ms, *a.pause, hash, now))
    {
        m.count("upstream_notices_total", "pause");
        context_.log.write(
            log_event::upstream_asks_pause, {{"upstream", u.id},
                                             {"started_ms", lifetime},
                                             {"pause_ms", in_ms(*a.pause)}});
    }
}

void request_run::on_refused_by_upstream(upstream_answer const& a)
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

bool request_run::ask_larger_model(upstream_answer const& a, steady_time now)
{
    if (has_answer_head_ || a.status / 100 != 2 || route_.models.empty() ||
        events_.last_id())
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
    std::size_t const present = model_;
    set_model(*next);
    upstream_selection const c = choose(now);
    larger_model_delay const t{
        .expected = c.expected,
        .queued = c.queued,
        .left = started_ + route_.target - now};
    if (!c.chosen || !is_worth_escalating(q, t))
    {
        set_model(present);
        context_.state.counters.count("larger_model_spared_total", "", scope());
        return false;
    }
    context_.state.counters.count("larger_model_total", "", scope());
    context_.log.write(
        log_event::larger_model_asked,
        {{"request_id", request_.attempt_id},
         {"confidence", std::to_string(a.confidence.value_or(0))},
         {"upstream", upstream_->info.id},
         {"next_upstream", c.chosen->info.id},
         {"expected_ms", in_ms(t.expected)},
         {"left_ms", in_ms(t.left)},
         {"extras", std::to_string(budget().extras.count(now))},
         {"requests", std::to_string(budget().requests.count(now))}});
    ++attempts_.runs;
    release();
    if (!dispatch(c, now))
    {
        wait_until_ = now + longest_wait();
        wait_or_refuse(now);
    }
    return true;
}

void request_run::start_answer(http_response_head&& head)
{
    if (has_answer_head_)
        return; // resumed: the first upstream's head stays
    has_answer_head_ = true;
    client_->start_stream({head.status, std::move(head.headers)});
    std::weak_ptr<request_run> const weak = weak_from_this();
    client_->on_drained(
        [weak]
        {
            auto const run = weak.lock();
            if (run && run->connection_)
                run->connection_->pause(false);
        });
}

void request_run::on_body(std::string&& bytes)
{
    steady_time const now = boot_now();
    if (!is_event_stream_)
    {
        body_.append(bytes);
        if (body_.size() > max_plain_answer_bytes)
            fail_attempt(error_kind::answer_corrupt, true, "too long", now);
        return;
    }
    std::uint64_t const before = events_.events();
    std::string const whole = events_.put(bytes);
    if (events_.has_gap() || events_.is_too_long())
    {
        fail_attempt(
            error_kind::answer_corrupt, true,
            events_.has_gap() ? "events missing" : "event too long", now);
        return;
    }
    if (whole.empty())
        return;
    bool const has_event = events_.events() > before;
    if (has_event && first_event_ == steady_time{})
        first_event_ = now;
    if (has_event)
        last_event_ = now;
    client_->write(whole);
    note_passed();
    if (client_->unsent() > pause_at_bytes && connection_)
        connection_->pause(true);
}

void request_run::on_whole()
{
    steady_time const now = boot_now();
    if (is_event_stream_)
    {
        if (events_.has_partial())
        {
            fail_attempt(error_kind::answer_cut, true, "ends in an event", now);
            return;
        }
        judge_version(attempt_outcome::good);
        record_outcome(*upstream_, false, now);
        record_complete_response(context_.state.blame, fingerprint_);
        std::shared_ptr<upstream_connection> const c =
            std::exchange(connection_, nullptr);
        release();
        context_.pool.give_back(c, now);
        client_->end_stream();
        finish(log_event::request_served, "whole", 200, now);
        return;
    }
    deliver_whole(now);
}

void request_run::deliver_whole(steady_time now)
{
    bool const is_failure = head_.status >= 500;
    judge_version(
        is_failure ? attempt_outcome::error_answer : attempt_outcome::good);
    record_outcome(*upstream_, is_failure, now);
    std::shared_ptr<upstream_connection> const c =
        std::exchange(connection_, nullptr);
    release();
    context_.pool.give_back(c, now);
    if (is_failure && route_.kind != route_kind::non_idempotent)
    {
        ++attempts_.runs;
        if (may_retry(true, now) && send(now) == send_outcome::sent)
            return;
    }
    if (has_answer_head_)
    {
        give_up(error_kind::upstream_failed, run_state::ran, now);
        return;
    }
    if (!is_failure)
        record_complete_response(context_.state.blame, fingerprint_);
    client_->respond({head_.status, std::move(head_.headers)}, body_);
    note_passed();
    finish(log_event::request_served, "whole", head_.status, now);
}

// Notes the time since the loop woke up for the upstream's bytes.
void request_run::note_passed()
{
    if (pass_through_ == nullptr)
        pass_through_ =
            &context_.state.counters.histogram("pass_through_seconds", scope());
    pass_through_->add(std::max(ev_time() - context_.loop.now(), 0.0));
}

void request_run::judge_version(attempt_outcome outcome)
{
    auto const it = context_.state.shifts.find(service_);
    if (it == context_.state.shifts.end() || !upstream_)
        return;
    rollout_progress& t = it->second;
    record_attempt(t.order, t.own, upstream_->info.version, outcome);
}

} // namespace marjorambeam
