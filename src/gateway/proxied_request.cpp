#include "gateway/proxied_request.hpp"

#include "base/hash.hpp"
#include "gateway/local_response.hpp"
#include "gateway/model_escalation.hpp"
#include "gateway/overload_control.hpp"

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

// A request that this many full upstreams refused goes where a slot is free, so
// that it is not offered to all of them in turn.
constexpr std::uint32_t max_full_refusals = 2;

// Upstreams that start, or whose entries expired, are listed within a second
// or two.
constexpr duration retry_when_listed = std::chrono::seconds(1);

// Prefix affinity: the last part of a prompt is specific to the request, so the
// part before it identifies the shared prefix.
std::string affinity_key(gateway_request const& r)
{
    if (r.prompt.size() < 2)
        return {};
    return r.prompt[r.prompt.size() - 2].id;
}

request_traits
traits_of(gateway_request const& r, std::string_view organisation)
{
    request_traits t;
    std::vector<std::string_view> ids;
    ids.reserve(r.prompt.size());
    for (prompt_part const& it : r.prompt)
        ids.emplace_back(it.id);
    t.request = request_fingerprint(
        {.target = r.target,
         .organisation = organisation,
         .body = r.body,
         .prompt = ids});
    if (!organisation.empty())
        t.organisation = part_key(organisation);
    // The last part is the request's own.
    std::size_t const shared = r.prompt.empty() ? 0 : r.prompt.size() - 1;
    for (std::size_t i = shared - std::min(shared, max_judged_parts);
         i < shared; ++i)
        t.parts.push_back(part_key(r.prompt[i].id));
    return t;
}

error_kind to_error_kind(selection_failure f)
{
    switch (f)
    {
    case selection_failure::full:
        return error_kind::queue_full;
    case selection_failure::cold:
        return error_kind::upstream_cold;
    case selection_failure::paused:
        return error_kind::upstream_paused;
    case selection_failure::limited:
        return error_kind::upstream_limited;
    case selection_failure::unreachable:
        return error_kind::connection_lost;
    default:
        return error_kind::no_upstream;
    }
}

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
    , priority_(
          owner != nullptr && owner->priority >= 0 ? owner->priority
                                                   : route.priority)
    , unread_(unread)
    , started_(now - unread)
    , deadline_(started_ + route.timeout)
    , hash_(hash64(
          request_.session.empty() ? request_.attempt_id : request_.session))
    , deadline_timer_(context.loop, [this] { on_deadline(); })
    , attempt_timer_(context.loop, [this] { on_attempt_timeout(); })
{
    if (request_.remaining)
        deadline_ = std::min(deadline_, started_ + *request_.remaining);
    service_ = pick_service(route_, hash_ >> 20U);
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

upstream_query
proxied_request::make_query(version_rule const& rule, steady_time now) const
{
    gateway_service const* const s = service();
    upstream_query q;
    q.service = service_;
    q.only_version = rule.only;
    q.never_version = rule.never;
    q.zone = context_.state.settings.zone;
    q.work = work_;
    q.affordable_wait = affordable_wait(now);
    q.needs_free_slot = attempts_.refusals >= max_full_refusals;
    q.prefers_consolidation = rule.prefers_consolidation;
    q.is_engine = s != nullptr && s->is_engine;
    if (q.is_engine)
        q.affinity = affinity_;
    if (is_overload_controlled())
    {
        if (q.is_engine)
        {
            q.mix = &context_.state.prompt_mixes[service_];
            q.forecast = response_forecast_now(now);
        }
        else
            q.room_prior = &context_.state.service_times_by_name[service_];
    }
    q.seed = hash64(request_.attempt_id, attempts_.sends);
    q.cold_share = [](void const* state, upstream_state const& u)
    { return cold_share_of(*static_cast<gateway_state const*>(state), u); };
    q.context = &context_.state;
    return q;
}

upstream_selection proxied_request::select_except(
    std::span<std::string const> excluded, steady_time now)
{
    version_rule const rule =
        version_rule_of(context_.state, service_, request_.session, hash_, now);
    upstream_query q = make_query(rule, now);
    q.tried = excluded;
    upstream_selection c = select_upstream(context_.state.upstreams, q, now);
    if (!c.chosen && rule.may_fall_back)
    {
        // The new version has no free upstream; the other versions serve its
        // share.
        q = make_query({.never = rule.only}, now);
        q.tried = excluded;
        c = select_upstream(context_.state.upstreams, q, now);
    }
    return c;
}

// Prefers upstreams that were not tried, then those before the latest one.
upstream_selection proxied_request::select_next_upstream(steady_time now)
{
    std::span<std::string const> const tried = attempts_.tried;
    upstream_selection c = select_except(tried, now);
    if (!c.chosen && tried.size() > 1 && is_repeatable(route_))
        c = select_except(tried.last(1), now);
    if (!c.chosen && !tried.empty() && is_repeatable(route_))
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
    result<std::shared_ptr<upstream_connection>> taken =
        context_.pool.take(c.chosen, is_repeatable(route_), now);
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
                   .urgency = priority_});
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
    double const pace = model_pace(model_, route_.models.size());
    double shared = 0;
    for (std::size_t i = 0; i + 1 < request_.prompt.size(); ++i)
        shared += request_.prompt[i].tokens;
    work_.prefill = pace * request_.prompt_tokens;
    work_.shared = pace * shared;
    work_.decode = pace * output_token_work * request_.max_output_tokens;
}

duration proxied_request::max_queue_time(steady_time now) const
{
    // With a known service time, what can't end in time is refused by the
    // estimate. The rest waits for half of its time at most, so that its caller
    // has the other half for coming back.
    if (!has_response_head_ && expected_service_time(now) > duration{0})
        return std::max((deadline_ - started_) / 2, route_.target / 2);
    duration const target =
        has_response_head_ ? route_.gap_target : route_.target;
    return std::min(target / 2, (deadline_ - started_) / 4);
}

// Returns whether no upstream can become available before the request is
// refused. Claims a token if another gateway may have one.
bool proxied_request::cannot_succeed(steady_time now)
{
    upstream_selection const& c = last_selection_;
    if (c.failure == selection_failure::draining || has_overload_refusal(now))
        return true;
    steady_time available_at = c.resumes_at;
    if (c.failure == selection_failure::limited)
    {
        if (!c.claimable.empty())
            context_.limits.claim_token(c.claimable, now);
        if (c.is_contended && available_at > now)
            return true;
        available_at = take_limit_slot(available_at);
    }
    else if (c.failure != selection_failure::paused)
    {
        return false;
    }
    return available_at > std::min(wait_until_, deadline_);
}

// Puts the request behind those that wait for the same shares of limits, and
// returns when its token is expected; `next` is when the next one is.
steady_time proxied_request::take_limit_slot(steady_time next)
{
    if (limit_slot_ || last_selection_.share_per_second <= 0)
        return next;
    std::size_t& waiters = context_.limit_waiters[service_];
    auto const ahead = static_cast<double>(waiters);
    limit_slot_ = std::make_unique<counted_waiter>(waiters);
    return next + from_seconds(ahead / last_selection_.share_per_second);
}

void proxied_request::queue_or_refuse(steady_time now)
{
    // During a stop another gateway serves what has not run.
    bool const can_move = context_.state.drain_started && !has_response_head_ &&
                          ran_ == run_state::not_run;
    bool const may_wait = now < wait_until_ && now < deadline_ && !can_move &&
                          !cannot_succeed(now);
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
    bool const has_specific_failure =
        attempts_.last_failure == error_kind::queue_full ||
        attempts_.last_failure == error_kind::upstream_cold ||
        attempts_.last_failure == error_kind::upstream_limited ||
        attempts_.last_failure == error_kind::upstream_paused;
    error_kind const kind =
        has_specific_failure ? attempts_.last_failure : error_kind::no_upstream;
    if (kind == error_kind::upstream_limited)
        context_.state.limited_refusals.add(now);
    if (has_response_head_ || ran_ != run_state::not_run)
        give_up(error_kind::upstream_failed, ran_, now);
    else
        refuse(kind, retry_after_for(kind, now), now);
}

duration
proxied_request::retry_after_for(error_kind kind, steady_time now) const
{
    std::uint64_t const hash = hash_ >> 8U;
    if (kind == error_kind::no_upstream)
        return spread(retry_when_listed, hash);
    if (room_at_)
        return *room_at_;
    duration const base_delay =
        spread(std::max(route_.target / 4, min_retry_after), hash);
    if (kind == error_kind::upstream_paused && last_selection_.resumes_at > now)
        return last_selection_.resumes_at - now + base_delay;
    if (kind == error_kind::upstream_limited)
        return base_delay +
               limit_backoff(
                   {.until_next = last_selection_.resumes_at - now,
                    .limits_per_second = last_selection_.limit_per_second,
                    .gateways = context_.state.limit_view.live,
                    .refused = context_.state.limited_refusals.count(now)},
                   hash_ >> 24U);
    return base_delay;
}

bool proxied_request::retry_selection(steady_time now)
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
    send_outcome const o = send(now);
    if (o == send_outcome::none)
        queue_or_refuse(now);
    else
        is_waiting_ = false;
    return is_waiting_ && !is_done_;
}

} // namespace marjorambeam
