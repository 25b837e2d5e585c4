#include "gateway/request_run.hpp"

#include "base/hash.hpp"
#include "gateway/model_choice.hpp"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace marjorambeam
{
namespace
{

using std::chrono::milliseconds;

// Requests that may be at one plain upstream for each of its slots; the rest
// of its queue is left to gateways whose view is older.
constexpr std::uint32_t plain_requests_per_slot = 3;
// Refusals by upstreams that have not run the request don't count as attempts
// of its route; this bounds them.
constexpr std::uint32_t max_free_sends = 3;
// Time below which another attempt can't succeed.
constexpr duration min_attempt_time = milliseconds(20);
// Time for a connection to be established; a reachable upstream needs a few
// milliseconds.
constexpr duration connect_patience = milliseconds(400);
// A silent upstream is given up when it has sent nothing on any connection for
// this long; its other streams would show life.
constexpr duration silent_for = milliseconds(1200);
constexpr duration check_period = milliseconds(200);
// Unsent bytes of a stream from which its upstream is not read any more.
constexpr std::size_t pause_at_bytes = std::size_t{64} << 10U;
constexpr duration shortest_retry_after = milliseconds(100);

// Spreads callers that were refused together over a time.
duration spread(duration d, std::uint64_t hash)
{
    double const part = 0.6 + 0.8 * static_cast<double>(hash % 1000) / 1000.0;
    return from_seconds(to_seconds(d) * part);
}

std::string retry_after_text(duration d)
{
    std::array<char, 24> buf{};
    std::snprintf(buf.data(), buf.size(), "%.3f", to_seconds(d));
    return buf.data();
}

std::string in_ms(duration d)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(d).count());
}

// The parts of a prompt that other requests share decide where it is read; the
// last one is the request's own.
std::string affinity_key(gateway_request const& r)
{
    if (r.prompt.size() < 2)
        return {};
    return r.prompt[r.prompt.size() - 2].id;
}

error_kind kind_of(choice_failure f)
{
    switch (f)
    {
    case choice_failure::full:
        return error_kind::queue_full;
    case choice_failure::cold:
        return error_kind::upstream_cold;
    case choice_failure::unreachable:
        return error_kind::connection_lost;
    default:
        return error_kind::no_upstream;
    }
}

} // namespace

request_run::request_run(
    run_context& context, std::shared_ptr<client_connection> client,
    std::shared_ptr<gateway_config const> config, gateway_route const& route,
    organisation const* owner, gateway_request&& request, steady_time now)
    : context_(context)
    , client_(std::move(client))
    , config_(std::move(config))
    , route_(route)
    , organisation_(owner == nullptr ? std::string() : owner->name)
    , request_(std::move(request))
    , priority_(
          owner != nullptr && owner->priority >= 0 ? owner->priority
                                                   : route.priority)
    , started_(now)
    , deadline_(now + route.timeout)
    , hash_(hash64(
          request_.session.empty() ? request_.attempt_id : request_.session))
    , deadline_timer_(context.loop, [this] { on_deadline(); })
    , attempt_timer_(context.loop, [this] { on_attempt_timeout(); })
{
    if (request_.remaining)
        deadline_ = std::min(deadline_, now + *request_.remaining);
    service_ = pick_service(route_, hash_ >> 20U);
    affinity_ = affinity_key(request_);
    fingerprint_ =
        request_fingerprint(request_.target, organisation_, request_.body);
    if (request_.resume_after)
        events_.start_after(*request_.resume_after);
}

gateway_service const* request_run::service() const
{
    return find_service(*config_, service_);
}

bool request_run::is_engine() const
{
    gateway_service const* const s = service();
    return s != nullptr && s->is_engine;
}

duration request_run::remaining(steady_time now) const
{
    return deadline_ - now;
}

extra_attempts& request_run::budget()
{
    return context_.state.attempts[service_];
}

bool request_run::has_budget(extra_reason reason, steady_time now)
{
    return may_send_again(
        budget(), context_.state.settings.extra_attempts,
        context_.state.gateways.size(), reason, now);
}

void request_run::start(steady_time now)
{
    auto const self = shared_from_this();
    std::weak_ptr<request_run> const weak = weak_from_this();
    client_->on_leave(
        [weak]
        {
            if (auto const run = weak.lock())
                run->on_leave();
        });
    budget().requests.add(now);
    if (auto const it = context_.state.shifts.find(service_);
        it != context_.state.shifts.end())
    {
        ++it->second.trial.requests;
        it->second.trial.without_session += request_.session.empty() ? 1 : 0;
    }
    deadline_timer_.start(std::max(remaining(now), duration{0}));
    if (is_blamed(context_.state.blame, fingerprint_, now))
    {
        context_.state.counters.count("refusals_total", "quarantined");
        give_up(error_kind::upstream_crashed, run_state::not_run, now);
        return;
    }
    set_model(first_model(
        {.models = route_.models.size(),
         .is_resumed = request_.resume_after.has_value()}));
    wait_until_ = now + longest_wait();
    if (send(now) == send_outcome::none)
        wait_or_refuse(now);
}

choice_question request_run::question(version_rule const& rule) const
{
    gateway_service const* const s = service();
    choice_question q;
    q.service = service_;
    q.only_version = rule.only;
    q.never_version = rule.never;
    q.zone = context_.state.settings.zone;
    q.tried = attempts_.tried;
    q.work = work_;
    q.prefers_few = rule.may_leave;
    q.is_engine = s != nullptr && s->is_engine;
    if (q.is_engine)
        q.affinity = affinity_;
    q.cold_share = [](void const* state, upstream_state const& u)
    { return cold_share_of(*static_cast<gateway_state const*>(state), u); };
    q.context = &context_.state;
    return q;
}

upstream_choice request_run::choose(steady_time now)
{
    version_rule const rule =
        version_rule_of(context_.state, service_, request_.session, hash_, now);
    choice_question q = question(rule);
    upstream_choice c = choose_upstream(context_.state.upstreams, q, now);
    if (!c.chosen && rule.may_leave)
    {
        // The new version has nobody free; the others serve its share.
        q = question({.never = rule.only});
        c = choose_upstream(context_.state.upstreams, q, now);
    }
    if (!c.chosen && !attempts_.tried.empty() && is_repeatable(route_))
    {
        q.tried = {};
        c = choose_upstream(context_.state.upstreams, q, now);
    }
    return c;
}

request_run::send_outcome request_run::send(steady_time now)
{
    if (remaining(now) < min_attempt_time)
        return send_outcome::none;
    upstream_choice const c = choose(now);
    if (!c.chosen)
    {
        attempts_.last_failure = to_string(kind_of(c.failure));
        return send_outcome::none;
    }
    return dispatch(c.chosen, now) ? send_outcome::sent : send_outcome::none;
}

bool request_run::dispatch(std::shared_ptr<upstream_state> u, steady_time now)
{
    connection_ = context_.pool.take(u, is_repeatable(route_), now);
    if (!connection_)
        return false;
    upstream_ = std::move(u);
    upstream_->requests += 1;
    work_left_ = work_.total();
    upstream_->work += work_left_;
    work_before_ = upstream_->work + upstream_->peers.work - work_.decode;
    if (now < upstream_->cold_until)
        upstream_->cold_sends.add(now);
    if (attempts_.arrivals > 0)
        budget().extras.add(now);
    ++attempts_.arrivals;
    ++attempts_.sends;
    attempts_.tried.push_back(upstream_->info.id);
    note_session(
        context_.state.sessions, request_.session, upstream_->info.version,
        now);
    sent_ = now;
    last_event_ = now;
    is_event_stream_ = false;
    body_.clear();
    std::optional<std::uint64_t> const after = events_.last_id();
    std::string const bytes = context_.protocol.encode_call(
        request_, {.upstream_id = upstream_->info.id,
                   .organisation = organisation_,
                   .model = route_.models.empty()
                                ? std::string_view(request_.model)
                                : std::string_view(route_.models[model_]),
                   .remaining = remaining(now),
                   .resume_after = after,
                   .urgency = priority_});
    std::weak_ptr<request_run> const weak = weak_from_this();
    auto guarded = [weak](auto member)
    {
        return [weak, member](auto&&... args)
        {
            if (auto const run = weak.lock())
                ((*run).*member)(std::forward<decltype(args)>(args)...);
        };
    };
    connection_->send(
        bytes, request_.attempt_id, request_.method == "HEAD",
        context_.protocol.decode_answer,
        {.on_head = guarded(&request_run::on_head),
         .on_body = guarded(&request_run::on_body),
         .on_whole = guarded(&request_run::on_whole),
         .on_broken = guarded(&request_run::on_broken)});
    watch_attempt();
    return true;
}

void request_run::watch_attempt()
{
    attempt_timer_.start(std::min(check_period, route_.target / 2));
}

// Ends the use of the present connection and its upstream.
void request_run::release()
{
    attempt_timer_.stop();
    if (connection_)
    {
        connection_->abort();
        connection_.reset();
    }
    if (upstream_)
    {
        upstream_->requests -= std::min(upstream_->requests, 1U);
        drop_work(work_left_);
        upstream_.reset();
    }
}

void request_run::drop_work(double part)
{
    part = std::min(part, work_left_);
    work_left_ -= part;
    upstream_->work = std::max(0.0, upstream_->work - part);
}

void request_run::set_model(std::size_t model)
{
    model_ = model;
    double const pace = model_pace(model_, route_.models.size());
    double shared = 0;
    for (std::size_t i = 0; i + 1 < request_.prompt.size(); ++i)
        shared += request_.prompt[i].tokens;
    work_.prefill = pace * request_.prompt_tokens;
    work_.shared = pace * shared;
    work_.decode = pace * output_token_work * request_.max_output_tokens;
}

duration request_run::longest_wait() const
{
    duration const target =
        has_answer_head_ ? route_.gap_target : route_.target;
    return std::min(target / 2, (deadline_ - started_) / 4);
}

void request_run::wait_or_refuse(steady_time now)
{
    bool const may_wait =
        now < wait_until_ && now < deadline_ && !context_.state.drain_started;
    if (may_wait)
    {
        if (!is_waiting_)
        {
            is_waiting_ = true;
            context_.waiting.push_back(shared_from_this());
        }
        return;
    }
    is_waiting_ = false;
    error_kind kind = error_kind::no_upstream;
    if (attempts_.last_failure == to_string(error_kind::queue_full))
        kind = error_kind::queue_full;
    else if (attempts_.last_failure == to_string(error_kind::upstream_cold))
        kind = error_kind::upstream_cold;
    if (has_answer_head_ || ran_ != run_state::not_run)
        give_up(error_kind::upstream_failed, ran_, now);
    else
        refuse(kind, std::max(route_.target / 4, shortest_retry_after), now);
}

bool request_run::try_again(steady_time now)
{
    if (is_done_ || !is_waiting_)
        return false;
    send_outcome const o = send(now);
    if (o == send_outcome::none)
        wait_or_refuse(now);
    else
        is_waiting_ = false;
    return is_waiting_ && !is_done_;
}

void request_run::on_head(http_response_head&& head)
{
    steady_time const now = boot_now();
    upstream_answer const a = context_.protocol.decode_answer(head);
    if (a.load)
    {
        upstream_->told = *a.load;
        upstream_->told_at = now;
    }
    note_answered(*upstream_, now);
    is_event_stream_ = false;
    if (a.is_other_instance || (a.has_not_run && a.status >= 400))
    {
        on_refused_by_upstream(a);
        return;
    }
    ran_ = run_state::ran;
    note_first_event(*upstream_, work_before_, now - sent_);
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

void request_run::on_refused_by_upstream(upstream_answer const& a)
{
    steady_time const now = boot_now();
    if (a.is_other_instance)
        upstream_->avoid_until = now + std::chrono::seconds(2);
    fail_attempt(
        a.is_other_instance ? error_kind::upstream_out : error_kind::queue_full,
        false, "refused with " + std::to_string(a.status), now);
}

bool request_run::ask_larger_model(upstream_answer const& a, steady_time now)
{
    if (has_answer_head_ || a.status / 100 != 2 || route_.models.empty() ||
        events_.last_id())
        return false;
    model_question const q{
        .models = route_.models.size(),
        .asked = model_,
        .confidence = a.confidence,
        .has_attempts = attempts_.runs + 2 <= route_.attempts &&
                        has_budget(extra_reason::larger_model, now)};
    std::optional<std::size_t> const next = next_model(q);
    if (!next)
        return false;
    std::size_t const present = model_;
    set_model(*next);
    upstream_choice const c = choose(now);
    larger_model_time const t{
        .expected = c.expected, .left = started_ + route_.target - now};
    if (!c.chosen || !is_worth_asking(q, t))
    {
        set_model(present);
        context_.state.counters.count("larger_model_spared_total", route_.name);
        return false;
    }
    context_.state.counters.count("larger_model_total", route_.name);
    ++attempts_.runs;
    release();
    if (!dispatch(c.chosen, now))
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
        return;
    }
    std::string const whole = events_.put(bytes);
    if (events_.has_gap())
    {
        fail_attempt(error_kind::answer_corrupt, true, "events missing", now);
        return;
    }
    if (whole.empty())
        return;
    if (first_event_ == steady_time{})
        first_event_ = now;
    last_event_ = now;
    client_->write(whole);
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
        judge_version(false);
        note_outcome(*upstream_, false, now);
        note_whole(context_.state.blame, fingerprint_);
        std::shared_ptr<upstream_connection> const c =
            std::exchange(connection_, nullptr);
        release();
        context_.pool.give_back(c, now);
        client_->end_stream();
        finish("whole", 200, now);
        return;
    }
    deliver_whole(now);
}

void request_run::deliver_whole(steady_time now)
{
    bool const is_failure = head_.status >= 500;
    judge_version(is_failure);
    note_outcome(*upstream_, is_failure, now);
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
        note_whole(context_.state.blame, fingerprint_);
    client_->respond({head_.status, std::move(head_.headers)}, body_);
    finish("whole", head_.status, now);
}

void request_run::judge_version(bool is_bad)
{
    auto const it = context_.state.shifts.find(service_);
    if (it == context_.state.shifts.end() || !upstream_)
        return;
    shift_track& t = it->second;
    answer_counts& c =
        upstream_->info.version == t.order.target ? t.own.target : t.own.others;
    ++c.answers;
    c.bad += is_bad ? 1 : 0;
}

void request_run::on_broken(broken_answer const& why)
{
    steady_time const now = boot_now();
    gateway_service const* const s = service();
    if (why.is_unsent)
    {
        note_unreachable(
            *upstream_, s != nullptr ? s->cold_start : duration{0}, now);
        confirm_crash(context_.state.blame, upstream_->info.id, now);
    }
    fail_attempt(why.kind, !why.is_unsent, why.why, now);
}

bool request_run::may_retry(bool may_have_run, steady_time now)
{
    if (is_done_ || remaining(now) < min_attempt_time)
        return false;
    if (may_have_run && !is_repeatable(route_))
        return false;
    if (attempts_.runs >= route_.attempts ||
        attempts_.sends >= route_.attempts + max_free_sends)
        return false;
    if (is_blamed(context_.state.blame, fingerprint_, now))
        return false;
    return has_budget(extra_reason::after_failure, now);
}

void request_run::fail_attempt(
    error_kind kind, bool may_have_run, std::string const& why, steady_time now)
{
    context_.state.counters.count("attempt_failures_total", to_string(kind));
    context_.log.warning(
        "Attempt failed.", {{"request_id", request_.attempt_id},
                            {"upstream", upstream_->info.id},
                            {"kind", std::string(to_string(kind))},
                            {"why", why},
                            {"after_ms", in_ms(now - sent_)},
                            {"may_have_run", may_have_run ? "yes" : "no"},
                            {"events", std::to_string(events_.events())}});
    note_outcome(*upstream_, true, now);
    bool const is_unreached =
        !may_have_run && kind == error_kind::connection_lost;
    if (is_unreached)
        --attempts_.arrivals;
    if (may_have_run)
    {
        ++attempts_.runs;
        if (ran_ == run_state::not_run)
            ran_ = run_state::unknown;
        bool const is_break = kind == error_kind::connection_lost ||
                              kind == error_kind::answer_cut;
        if (is_break)
            suspect(
                context_.state.blame, {fingerprint_, upstream_->info.id,
                                       upstream_->info.started_unix_ms, now});
        judge_version(true);
    }
    attempts_.last_failure = to_string(kind);
    release();
    events_.restart();
    if (may_retry(may_have_run, now))
    {
        wait_until_ = now + longest_wait();
        if (send(now) == send_outcome::none)
            wait_or_refuse(now);
        return;
    }
    if (ran_ == run_state::not_run)
        refuse(kind, std::max(route_.target / 4, shortest_retry_after), now);
    else
        give_up(kind, ran_, now);
}

void request_run::refuse(error_kind kind, duration retry_after, steady_time now)
{
    error e = make_error(kind, "the request has not run");
    e.run = run_state::not_run;
    e.retry_after = spread(retry_after, hash_ >> 8U);
    answer_error(e, now);
}

void request_run::give_up(error_kind kind, run_state ran, steady_time now)
{
    error e = make_error(kind, "the request has no answer");
    e.run = ran;
    answer_error(e, now);
}

void request_run::answer_error(error const& e, steady_time now)
{
    release();
    context_.state.counters.count("refusals_total", to_string(e.kind));
    if (has_answer_head_)
    {
        client_->abort();
        finish(to_string(e.kind), 0, now);
        return;
    }
    answer_head head;
    head.status = answer_for(e.kind).http_status;
    // 503 promises that the request has not run; anything else must not.
    if (e.run == run_state::not_run && head.status >= 500 &&
        e.kind != error_kind::upstream_crashed)
        head.status = 503;
    else if (e.run != run_state::not_run && head.status == 503)
        head.status = 502;
    head.headers = context_.protocol.own_answer_headers(request_.attempt_id);
    if (head.status == 503)
        head.headers.emplace_back(
            "Retry-After", retry_after_text(e.retry_after));
    std::string body = R"({"error":{"kind":")";
    body.append(to_string(e.kind)).append(R"(","run":")");
    body.append(to_string(e.run)).append("\"}}");
    client_->respond(head, body);
    finish(to_string(e.kind), head.status, now);
}

void request_run::on_leave()
{
    steady_time const now = boot_now();
    release();
    context_.state.counters.count("callers_left_total");
    finish("caller_left", 0, now);
}

void request_run::on_deadline()
{
    steady_time const now = boot_now();
    if (is_done_)
        return;
    if (ran_ == run_state::not_run && !connection_)
        refuse(error_kind::deadline_unreachable, shortest_retry_after, now);
    else
        give_up(error_kind::deadline_exceeded, run_state::unknown, now);
}

void request_run::on_attempt_timeout()
{
    steady_time const now = boot_now();
    if (is_done_ || !connection_)
        return;
    auto const self = shared_from_this();
    if (!connection_->is_connected() && now - sent_ > connect_patience)
    {
        gateway_service const* const s = service();
        note_unreachable(
            *upstream_, s != nullptr ? s->cold_start : duration{0}, now);
        fail_attempt(error_kind::connection_lost, false, "no connection", now);
        return;
    }
    bool const is_silent =
        now - std::max(upstream_->heard_at, sent_) > silent_for;
    // A stream that stalls between events is late already; one that waits for
    // its first event may be in a queue.
    bool const has_stalled = is_event_stream_ && events_.events() > 0 &&
                             now - last_event_ > route_.gap_target * 3 / 2;
    bool const is_overdue =
        now - sent_ > std::max(route_.target, silent_for) && !is_event_stream_;
    // A plain answer that is this late was most likely lost; an engine's may
    // wait in its queue.
    bool const is_lost = route_.kind == route_kind::idempotent &&
                         !is_engine() && now - sent_ > route_.target * 3 / 2;
    if ((has_stalled || is_lost || (is_silent && is_overdue)) &&
        is_repeatable(route_) && attempts_.runs + 1 < route_.attempts &&
        has_budget(extra_reason::after_failure, now))
    {
        if (is_silent)
            upstream_->avoid_until =
                now + avoid_time(++upstream_->failures_in_row);
        fail_attempt(
            error_kind::upstream_silent, true, is_silent ? "silent" : "stalled",
            now);
        return;
    }
    watch_attempt();
}

void request_run::cut(steady_time now)
{
    if (is_done_)
        return;
    if (ran_ == run_state::not_run && !connection_)
        refuse(error_kind::shutting_down, shortest_retry_after, now);
    else
        give_up(error_kind::upstream_failed, run_state::unknown, now);
}

void request_run::finish(std::string_view outcome, int status, steady_time now)
{
    is_done_ = true;
    is_waiting_ = false;
    deadline_timer_.stop();
    attempt_timer_.stop();
    client_->on_leave({});
    context_.state.counters.count("requests_total", outcome);
    double const seconds = to_seconds(now - started_);
    context_.state.counters.observe("request_seconds", route_.name, seconds);
    // Under load, lines below a warning are held back first.
    bool const is_well = outcome == "whole" || outcome == "caller_left";
    auto const write = is_well ? &logger::info : &logger::warning;
    (context_.log.*write)(
        "Request ended.",
        {{"request_id", request_.attempt_id},
         {"route", route_.name},
         {"organisation", organisation_},
         {"session", request_.session.empty() ? "-" : request_.session},
         {"outcome", std::string(outcome)},
         {"status", std::to_string(status)},
         {"upstream", attempts_.tried.empty() ? "-" : attempts_.tried.back()},
         {"sends", std::to_string(attempts_.sends)},
         {"model", std::to_string(model_)},
         {"first_ms",
          first_event_ == steady_time{} ? "-" : in_ms(first_event_ - started_)},
         {"ms", in_ms(now - started_)},
         {"config", std::to_string(config_->version)}});
}

} // namespace marjorambeam
