#include "gateway/proxied_request.hpp"

#include "gateway/model_escalation.hpp"

#include <algorithm>
#include <utility>

namespace marjorambeam
{
namespace
{

using std::chrono::milliseconds;

// Period of the checks for silent and stalled upstreams; bounds the delay of
// their detection.
constexpr duration check_period = milliseconds(200);

// Upstreams that are selected for one send, if connections to those before
// can't be begun.
constexpr std::size_t max_selections = 4;

} // namespace

proxied_request::proxied_request(
    proxied_request_context& context, std::shared_ptr<client_connection> client,
    std::shared_ptr<gateway_config const> config, gateway_route const& route,
    organisation const* owner, gateway_request&& request, duration unread,
    steady_time now)
    : context_(context)
    , client_(std::move(client))
    , config_(std::move(config))
    , route_(route)
    , organisation_(owner == nullptr ? std::string() : owner->name)
    , organisation_class_(class_of(owner))
    , request_(std::move(request))
    , priority_(priority_of(route, owner))
    , unread_(unread)
    , started_(now - unread)
    , deadline_(started_ + route.timeout)
    , hash_(placement_hash(request_))
    , deadline_timer_(context.loop, [this] { on_deadline(); })
    , attempt_timer_(context.loop, [this] { on_attempt_timeout(); })
{
    if (request_.remaining)
        deadline_ = std::min(deadline_, started_ + *request_.remaining);
    service_ = service_of(route_, hash_);
    affinity_ = affinity_key(request_);
    traits_ = traits_of(request_, organisation_);
    if (request_.resume_after)
        events_.start_after(*request_.resume_after);
}

gateway_service const* proxied_request::service() const
{
    return find_service(*config_, service_);
}

bool proxied_request::is_engine() const
{
    gateway_service const* const s = service();
    return s != nullptr && s->is_engine;
}

duration proxied_request::remaining(steady_time now) const
{
    return deadline_ - now;
}

retry_budget_usage& proxied_request::budget()
{
    return context_.state.attempts
        .try_emplace(service_, context_.state.settings.retry_budget.window)
        .first->second;
}

bool proxied_request::has_budget(extra_attempt_reason reason, steady_time now)
{
    return has_retry_budget(
        budget(), context_.state.settings.retry_budget,
        context_.state.gateways.size(), reason, now);
}

void proxied_request::start(steady_time now)
{
    auto const self = shared_from_this();
    std::weak_ptr<proxied_request> const weak = weak_from_this();
    client_->on_disconnect(
        [weak]
        {
            if (auto const run = weak.lock())
                run->on_disconnect();
        });
    budget().requests.add(now);
    if (end_if_caller_left(now))
        return;
    if (auto const it = context_.state.rollouts.find(service_);
        it != context_.state.rollouts.end())
    {
        ++it->second.canary.requests;
        it->second.canary.without_session += request_.session.empty() ? 1 : 0;
    }
    deadline_timer_.start(std::max(remaining(now), duration{0}));
    take_trial_if_due(now);
    set_model(first_model(
        {.models = route_.models.size(),
         .is_resumed = request_.resume_after.has_value()}));
    wait_until_ = now + max_queue_time(now);
    if (send(now) == send_outcome::none)
        queue_or_refuse(now);
}

upstream_selection proxied_request::select_except(
    std::span<std::string const> excluded, steady_time now)
{
    return select_for_request(
        context_.state,
        {.service = service_,
         .affinity = affinity_,
         .session = &request_.session,
         .hash = hash_,
         .seed = selection_seed(request_, attempts_.sends),
         .work = work_,
         .affordable_wait = affordable_wait(now),
         .refused_by = attempts_.refused_by,
         .forecast = response_forecast_now(now),
         .is_engine = is_engine()},
        excluded, now);
}

// Prefers upstreams that were not tried, then those before the latest one. One
// that refused a request has not run it, so that also a request that must not
// be repeated may return there.
upstream_selection proxied_request::select_next_upstream(steady_time now)
{
    std::span<std::string const> const tried = attempts_.tried;
    upstream_selection c = select_except(tried, now);
    if (!c.chosen && tried.size() > 1 && is_repeatable(route_))
        c = select_except(tried.last(1), now);
    bool const may_return = is_repeatable(route_) ||
                            attempts_.refused_by.size() >= max_full_refusals;
    if (!c.chosen && !tried.empty() && may_return)
        c = select_except({}, now);
    return c;
}

proxied_request::send_outcome proxied_request::send(steady_time now)
{
    if (end_if_caller_left(now) || is_refused_by_quarantine(now))
        return send_outcome::finished;
    if (remaining(now) < min_attempt_time)
        return send_outcome::none;
    for (std::size_t i = 0; i < max_selections; ++i)
    {
        upstream_selection const c = select_next_upstream(now);
        if (!c.chosen)
        {
            attempts_.last_failure = to_error_kind(c.failure);
            last_selection_ = c;
            return send_outcome::none;
        }
        if (is_refused_by_engines(c, now))
            return send_outcome::finished;
        // One that can't be reached is avoided by the next selection.
        auto connection = take_connection(c, now);
        if (connection)
        {
            dispatch(c, std::move(connection), now);
            return send_outcome::sent;
        }
    }
    return send_outcome::none;
}

// Returns a connection to the selected upstream, or null if none can be begun.
std::shared_ptr<upstream_connection>
proxied_request::take_connection(upstream_selection const& c, steady_time now)
{
    result<std::shared_ptr<upstream_connection>> taken = context_.pool.take(
        c.chosen,
        {.is_repeatable = is_repeatable(route_),
         .carried_by = attempts_.connections},
        now);
    if (!taken)
    {
        context_.state.counters.count(
            "connections_not_begun_total", to_string(taken.error().kind),
            scope());
        // Lack of a descriptor says nothing about the upstream.
        if (taken.error().kind != error_kind::queue_full)
            record_unreachable_upstream(*c.chosen, now);
        return nullptr;
    }
    return std::move(*taken);
}

void proxied_request::dispatch(
    upstream_selection const& c,
    std::shared_ptr<upstream_connection> connection, steady_time now)
{
    connection_ = std::move(connection);
    upstream_ = c.chosen;
    inputs_ = {
        .load = estimated_requests(*upstream_, now),
        .load_age = now - upstream_->load_reported_at,
        .expected = c.expected,
        .started_unix_ms = upstream_->info.started_unix_ms};
    if (attempts_.sends == 0)
        context_.state.counters.histogram("queue_seconds", scope())
            .add(to_seconds(now - started_));
    predicted_end_ = duration{0};
    event_line_.reset();
    uncorrected_end_ = duration{0};
    if (is_overload_controlled())
        predict_attempt(now);
    upstream_->requests += 1;
    remaining_work_ = work_.total();
    upstream_->work += remaining_work_;
    work_before_first_event_ = c.work;
    if (now < upstream_->cold_until)
        upstream_->cold_sends.add(now);
    limit_slot_.reset();
    use_limit_token(now);
    if (attempts_.arrivals > 0)
        budget().extras.add(now);
    ++attempts_.arrivals;
    ++attempts_.sends;
    attempts_.tried.push_back(upstream_->info.id);
    attempts_.connections.push_back(connection_->number());
    record_session(
        context_.state.sessions, request_.session, upstream_->info.version,
        now);
    sent_ = now;
    last_event_ = now;
    is_event_stream_ = false;
    attempt_events_ = 0;
    has_survived_ = false;
    has_attempt_head_ = false;
    waits_for_ = {};
    std::optional<std::uint64_t> const after = events_.last_id();
    std::string bytes = context_.protocol.encode_request(
        request_, {.upstream_id = upstream_->info.id,
                   .organisation = organisation_,
                   .model = route_.models.empty()
                                ? std::string_view(request_.model)
                                : std::string_view(route_.models[model_]),
                   .remaining = remaining(now),
                   .resume_after = after,
                   .urgency = urgency(now)});
    std::weak_ptr<proxied_request> const weak = weak_from_this();
    auto guarded = [weak](auto member)
    {
        return [weak, member](auto&&... args)
        {
            if (auto const run = weak.lock())
                ((*run).*member)(std::forward<decltype(args)>(args)...);
        };
    };
    connection_->send(
        std::move(bytes), request_.attempt_id, request_.method == "HEAD",
        context_.protocol.decode_response,
        {.on_connected = guarded(&proxied_request::on_connected),
         .on_head = guarded(&proxied_request::on_head),
         .on_body = guarded(&proxied_request::on_body),
         .on_late_response = guarded(&proxied_request::on_late_response),
         .on_complete = guarded(&proxied_request::on_complete),
         .on_response_failure =
             guarded(&proxied_request::on_response_failure)});
    arm_attempt_timer();
}

// Uses a token if the upstream names a request limit, and counts the send by
// the kind of attempt.
void proxied_request::use_limit_token(steady_time now)
{
    if (!take_token(context_.state.upstreams, *upstream_, now))
        return;
    std::string_view const retry = model_ > 0 ? "larger_model" : "repeated";
    context_.state.counters.count(
        "limited_sends_total", attempts_.sends == 0 ? "first" : retry, scope());
}

void proxied_request::arm_attempt_timer()
{
    attempt_timer_.start(std::min(check_period, route_.target / 2));
}

// Releases the current connection and its upstream.
void proxied_request::release()
{
    attempt_timer_.stop();
    std::string().swap(body_); // before another response takes its room
    response_claim_.reset();
    if (connection_)
    {
        if (has_attempt_head_ && !has_survived_)
            context_.quarantine.record_dropped_answer(
                upstream_->info, traits_, boot_now());
        connection_->abort();
        connection_.reset();
    }
    if (upstream_)
    {
        upstream_->requests -= std::min(upstream_->requests, 1U);
        release_work(remaining_work_);
        upstream_.reset();
    }
}

void proxied_request::release_work(double part)
{
    part = std::min(part, remaining_work_);
    remaining_work_ -= part;
    upstream_->work = std::max(0.0, upstream_->work - part);
}

void proxied_request::set_model(std::size_t model)
{
    model_ = model;
    work_ = work_of_request(request_, model_, route_.models.size());
}

duration proxied_request::max_queue_time(steady_time now) const
{
    bool const has_estimate =
        !has_response_head_ && expected_service_time(now) > duration{0};
    return marjorambeam::max_queue_time(
        {.target = has_response_head_ ? route_.gap_target : route_.target,
         .time = deadline_ - started_,
         .is_refused_by_estimate = has_estimate});
}

// Returns whether no upstream can become available before the request is
// refused. Claims a token if another gateway may have one.
bool proxied_request::cannot_succeed(steady_time now)
{
    upstream_selection const& c = last_selection_;
    std::size_t waiters = 0;
    if (c.failure == selection_failure::limited)
    {
        if (!c.claimable.empty())
            context_.limits.claim_token(c.claimable, now);
        waiters = take_limit_slot();
    }
    return is_wait_futile(c, waiters, std::min(wait_until_, deadline_), now);
}

// Puts the request behind those that wait for the same shares of limits, and
// returns how many these are; 0 if it has waited before.
std::size_t proxied_request::take_limit_slot()
{
    if (limit_slot_ || last_selection_.share_per_second <= 0)
        return 0;
    std::size_t& waiters = context_.limit_waiters[service_];
    std::size_t const ahead = waiters;
    limit_slot_ = std::make_unique<counted_waiter>(waiters);
    return ahead;
}

void proxied_request::queue_or_refuse(steady_time now)
{
    // During a stop another gateway serves what has not run.
    bool const can_move = context_.state.drain_started && !has_response_head_ &&
                          ran_ == run_state::not_run;
    bool const may_wait = now < deadline_ && !can_move &&
                          !has_overload_refusal(now) &&
                          now < latest_wait(now) && !cannot_succeed(now);
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
    limit_slot_.reset();
    error_kind const kind = refusal_for(attempts_.last_failure);
    if (kind == error_kind::upstream_limited)
        context_.state.limited_refusals.add(now);
    if (has_response_head_ || ran_ != run_state::not_run)
        give_up(error_kind::upstream_failed, ran_, now);
    else
        refuse(kind, retry_after_for(kind, now), now);
}

duration proxied_request::retry_after_for(error_kind kind, steady_time now)
{
    return retry_after_refusal(
        context_.state, last_selection_,
        {.kind = kind,
         .target = route_.target,
         .hash = hash_,
         .place = room_at_ ? room_at_ : place_after(kind, now),
         .limited_refusals = context_.state.limited_refusals.peek(now)},
        now);
}

bool proxied_request::retry_selection(std::size_t before, steady_time now)
{
    if (is_done_ || !is_waiting_)
        return false;
    if (suspended_failure_)
    {
        if (now < retry_at_)
            return true;
        is_waiting_ = false;
        retry_or_give_up(*std::exchange(suspended_failure_, {}), true, now);
        return false;
    }
    waiting_before_ = before;
    send_outcome const o = send(now);
    if (o == send_outcome::none)
        queue_or_refuse(now);
    else
        is_waiting_ = false;
    waiting_before_.reset();
    return is_waiting_ && !is_done_;
}

} // namespace marjorambeam
