#include "gateway/request_placement.hpp"

#include "base/hash.hpp"
#include "gateway/local_response.hpp"
#include "gateway/model_escalation.hpp"
#include "gateway/overload_control.hpp"

#include <algorithm>
#include <vector>

namespace marjorambeam
{
namespace
{

using std::chrono::milliseconds;

constexpr duration retry_elsewhere = milliseconds(100);
constexpr duration retry_when_ready = milliseconds(400);
// Upstreams that start, or whose entries expired, are listed within a second
// or two.
constexpr duration retry_when_listed = std::chrono::seconds(1);

arrival_decision
refused(error_kind kind, duration retry_after, arrival_decision d = {})
{
    d.refusal = kind;
    d.retry_after = retry_after;
    return d;
}

// Keeps what a first selection said of the upstreams that the second one
// excluded by their version.
void merge_fallback(selection_trace& first, selection_trace const& second)
{
    for (std::size_t i = 0; i < std::min(first.size(), second.size()); ++i)
    {
        if (second[i].verdict != selection_verdict::other_version)
            first[i] = second[i];
    }
}

upstream_query make_query(
    gateway_state const& s, placement_inputs const& p, version_rule const& rule)
{
    upstream_query q;
    q.service = p.service;
    q.only_version = rule.only;
    q.never_version = rule.never;
    q.zone = s.settings.zone;
    q.work = p.work;
    q.affordable_wait = p.affordable_wait;
    q.refused_by = p.refused_by;
    q.prefers_consolidation = rule.prefers_consolidation;
    q.is_engine = p.is_engine;
    if (q.is_engine)
        q.affinity = p.affinity;
    if (is_overload_controlled(s, p.service))
    {
        auto const mix = s.prompt_mixes.find(p.service);
        if (q.is_engine)
            q.forecast = p.forecast;
        if (!q.is_engine)
            q.room_prior = &service_time_of(s, p.service);
        else if (mix != s.prompt_mixes.end())
            q.mix = &mix->second;
    }
    q.seed = p.seed;
    q.cold_share = [](void const* state, upstream_state const& u)
    { return cold_share_of(*static_cast<gateway_state const*>(state), u); };
    q.context = &s;
    return q;
}

} // namespace

std::optional<stop_plan> stop_plan_of(gateway_state const& s)
{
    if (!s.drain_started)
        return std::nullopt;
    return make_stop_plan(*s.drain_started, s.settings.drain_time);
}

arrival_decision decide_arrival(
    gateway_state const& s, gateway_request const& r, steady_time now)
{
    if (!s.config || !s.has_upstreams)
        return refused(error_kind::not_ready, retry_when_ready);
    std::optional<stop_plan> const stop = stop_plan_of(s);
    if (stop && now > stop->serve_until)
        return refused(error_kind::shutting_down, retry_elsewhere);
    gateway_config const& config = *s.config;
    arrival_decision d{.route = find_route(config, r.host, path_of(r.target))};
    bool const may_require_key = d.route != nullptr && !d.route->is_anonymous;
    bool const requires_key = may_require_key && config.requires_keys;
    // An old configuration may lack the route, hold a removed key, or be from
    // before keys were required.
    bool const needs_fresh_config = d.route == nullptr || requires_key ||
                                    (may_require_key && !r.key.empty());
    if (needs_fresh_config && !are_keys_fresh(s, now))
        return refused(error_kind::isolated, retry_when_ready, d);
    if (d.route == nullptr)
        return refused(error_kind::not_found, duration{0}, d);
    duration const time_left =
        std::min(d.route->timeout, r.remaining.value_or(d.route->timeout));
    if (stop && !can_end_in_time(
                    *stop,
                    {.remaining = time_left,
                     .target = d.route->target,
                     .may_repeat = d.route->kind != route_kind::non_idempotent},
                    now))
        return refused(error_kind::shutting_down, retry_elsewhere, d);
    if (requires_key)
        d.owner = find_organisation(config, r.key);
    if (requires_key && d.owner == nullptr)
        return refused(error_kind::unauthorized, duration{0}, d);
    return d;
}

int priority_of(gateway_route const& r, organisation const* owner)
{
    return owner != nullptr && owner->priority >= 0 ? owner->priority
                                                    : r.priority;
}

std::uint64_t placement_hash(gateway_request const& r)
{
    return hash64(r.session.empty() ? r.attempt_id : r.session);
}

std::string const& service_of(gateway_route const& r, std::uint64_t hash)
{
    return pick_service(r, hash >> 20U);
}

// Prefix affinity: the last part of a prompt is specific to the request, so the
// part before it identifies the shared prefix.
std::string_view affinity_key(gateway_request const& r)
{
    if (r.prompt.size() < 2)
        return {};
    return r.prompt[r.prompt.size() - 2].id;
}

request_work
work_of_request(gateway_request const& r, std::size_t model, std::size_t models)
{
    double const pace = model_pace(model, models);
    double shared = 0;
    for (std::size_t i = 0; i + 1 < r.prompt.size(); ++i)
        shared += r.prompt[i].tokens;
    return {
        .prefill = pace * r.prompt_tokens,
        .decode = pace * output_token_work * r.max_output_tokens,
        .shared = pace * shared};
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

completion_query completion_query_of(
    gateway_request const& r, gateway_route const& route,
    std::string_view service, std::size_t model)
{
    return {
        .service = service,
        .route = route.name,
        .model = model,
        .models = route.models.size(),
        .hinted_tokens = static_cast<double>(
            std::min(r.hinted_output_tokens, r.max_output_tokens))};
}

std::optional<response_forecast> forecast_of_request(
    gateway_state const& s, gateway_request const& r,
    gateway_route const& route, completion_query const& q,
    std::uint64_t received, duration left)
{
    if (route.kind != route_kind::streaming || r.resume_after ||
        !is_overload_controlled(s, q.service))
        return std::nullopt;
    return forecast_response(s.completions, q, received, left);
}

std::uint64_t selection_seed(gateway_request const& r, std::uint32_t sends)
{
    return hash64(r.attempt_id, sends);
}

upstream_selection select_for_request(
    gateway_state const& s, placement_inputs const& p,
    std::span<std::string const> excluded, steady_time now,
    selection_trace* trace)
{
    version_rule const rule =
        version_rule_of(s, p.service, *p.session, p.hash, now);
    upstream_query q = make_query(s, p, rule);
    q.tried = excluded;
    upstream_selection c = select_upstream(s.upstreams, q, now, trace);
    if (!c.chosen && rule.may_fall_back)
    {
        // The new version has no free upstream; the other versions serve its
        // share.
        q = make_query(s, p, {.never = rule.only});
        q.tried = excluded;
        selection_trace second;
        c = select_upstream(
            s.upstreams, q, now, trace == nullptr ? nullptr : &second);
        if (trace != nullptr)
            merge_fallback(*trace, second);
    }
    return c;
}

service_time const&
service_time_of(gateway_state const& s, std::string_view service)
{
    static service_time const none;
    auto const it = s.service_times_by_name.find(service);
    return it == s.service_times_by_name.end() ? none : it->second;
}

prediction_error const&
start_error_of(gateway_state const& s, std::string_view service)
{
    static prediction_error const none;
    auto const it = s.start_errors.find(service);
    return it == s.start_errors.end() ? none : it->second;
}

duration affordable_wait(
    duration expected, duration until_target, duration until_deadline)
{
    duration const to_target = until_target - expected;
    if (to_target > duration{0})
        return to_target;
    duration const to_deadline = until_deadline - expected;
    return to_deadline < 2 * expected ? std::max(to_deadline, duration{0})
                                      : duration{0};
}

duration max_queue_time(queue_time_query const& q)
{
    // What can't end in time is refused by the estimate. Where no upstream is
    // reachable, the rest waits for half of its time, so that its caller has
    // the other half for coming back.
    if (q.is_refused_by_estimate)
        return std::max(q.time / 2, q.target / 2);
    return std::min(q.target / 2, q.time / 4);
}

bool is_wait_futile(
    upstream_selection const& none, std::size_t waiters, steady_time give_up_at,
    steady_time now)
{
    switch (none.failure)
    {
    case selection_failure::draining:
        return true;
    case selection_failure::paused:
        return none.resumes_at > give_up_at;
    case selection_failure::limited:
        break;
    default:
        return false;
    }
    if (none.is_contended && none.resumes_at > now)
        return true;
    duration behind{0};
    if (none.share_per_second > 0)
        behind =
            from_seconds(static_cast<double>(waiters) / none.share_per_second);
    return none.resumes_at + behind > give_up_at;
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

error_kind refusal_for(error_kind failure)
{
    bool const is_specific = failure == error_kind::queue_full ||
                             failure == error_kind::upstream_cold ||
                             failure == error_kind::upstream_limited ||
                             failure == error_kind::upstream_paused;
    return is_specific ? failure : error_kind::no_upstream;
}

duration retry_after_refusal(
    gateway_state const& s, upstream_selection const& none,
    refusal_query const& q, steady_time now)
{
    std::uint64_t const hash = q.hash >> 8U;
    if (q.kind == error_kind::no_upstream)
        return spread(retry_when_listed, hash);
    if (q.place)
        return *q.place;
    duration const base_delay =
        spread(std::max(q.target / 4, min_retry_after), hash);
    if (q.kind == error_kind::upstream_paused && none.resumes_at > now)
        return none.resumes_at - now + base_delay;
    if (q.kind == error_kind::upstream_limited)
        return base_delay + limit_backoff(
                                {.until_next = none.resumes_at - now,
                                 .limits_per_second = none.limit_per_second,
                                 .gateways = s.limit_view.live,
                                 .refused = q.limited_refusals},
                                q.hash >> 24U);
    return base_delay;
}

double starts_per_second(room_estimate const& room)
{
    return room.start_interval > duration{0}
               ? 1 / to_seconds(room.start_interval)
               : 0;
}

plain_admission decide_plain_admission(
    gateway_state const& s, std::string_view service, room_estimate const& room,
    plain_admission_query const& q, steady_time now)
{
    auto const interval = s.intervals.find(service);
    duration const own = interval == s.intervals.end()
                             ? duration{0}
                             : start_interval_of(interval->second);
    plain_admission a{.room = room};
    a.times = plain_times(
        room, start_error_of(s, service), static_cast<double>(q.before),
        expected_interval(
            own, room, std::max<std::size_t>(s.limit_view.live, 1)),
        now);
    a.result = decide_admission(
        {.is_known = room.is_known,
         .has_free_slot = room.has_free_slot,
         .times = a.times,
         .until_deadline = q.until_deadline,
         .until_target = q.until_target});
    return a;
}

return_query return_query_of(
    gateway_state const& s, std::string_view service, plain_admission const& a)
{
    return {
        .service = service,
        .rate = starts_per_second(a.room),
        .gateways = std::max<std::size_t>(s.limit_view.live, 1),
        .until_room = a.result.until_room,
        .expected = a.room.service_time};
}

} // namespace marjorambeam
