#include "gateway/placement_explanation.hpp"

#include "base/hash.hpp"
#include "gateway/local_response.hpp"
#include "gateway/model_escalation.hpp"
#include "gateway/overload_control.hpp"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

namespace marjorambeam
{
namespace
{

constexpr std::array<std::string_view, 17> verdict_names{
    "chosen",       "more_costly",  "not_sampled", "other_prompts", "ends_late",
    "consolidated", "unhealthy",    "full",        "ramping",       "limited",
    "cold",         "unreachable",  "tried",       "paused",        "evacuated",
    "draining",     "other_version"};
static_assert(
    verdict_names.size() ==
    static_cast<std::size_t>(selection_verdict::other_version) + 1);

// A request whose route and organisation are known.
struct known_request
{
    gateway_request const& request;
    gateway_route const& route;
    std::string_view service;
    std::uint64_t hash = 0;
    std::size_t model = 0;
    bool is_engine = false;
    bool is_overload_controlled = false;
    duration time{0};     // until its deadline
    duration expected{0}; // service time; plain services only
};

void set_refused(
    placement_explanation& e, error_kind kind, std::string_view reason,
    duration retry_after)
{
    e.outcome = placement_outcome::refused;
    e.refusal = kind;
    e.reason = reason;
    e.retry_after = retry_after;
}

std::size_t model_of(gateway_request const& r, gateway_route const& route)
{
    auto const it =
        std::find(route.models.begin(), route.models.end(), r.model);
    if (it != route.models.end())
        return static_cast<std::size_t>(it - route.models.begin());
    return first_model(
        {.models = route.models.size(),
         .is_resumed = r.resume_after.has_value()});
}

// The room of a plain service, without the cache of the requests.
room_estimate
room_at(gateway_state const& s, std::string_view service, steady_time now)
{
    room_cache none;
    return cached_room(
        none, s.upstreams, service, service_time_of(s, service), now);
}

known_request describe(
    gateway_state const& s, gateway_request const& r,
    gateway_route const& route, steady_time now)
{
    known_request k{.request = r, .route = route};
    k.hash = placement_hash(r);
    k.service = service_of(route, k.hash);
    k.model = model_of(r, route);
    gateway_service const* const service = find_service(*s.config, k.service);
    k.is_engine = service != nullptr && service->is_engine;
    k.is_overload_controlled = is_overload_controlled(s, k.service);
    k.time = std::min(route.timeout, r.remaining.value_or(route.timeout));
    if (!k.is_engine)
        k.expected = room_at(s, k.service, now).shortest_service_time;
    return k;
}

upstream_selection select_for(
    gateway_state const& s, known_request const& k, steady_time now,
    selection_trace& trace)
{
    duration wait{0};
    if (!k.is_engine && k.is_overload_controlled)
        wait = affordable_wait(k.expected, k.route.target, k.time);
    completion_query q =
        completion_query_of(k.request, k.route, k.service, k.model);
    q.requests = 1;
    q.now = now;
    return select_for_request(
        s,
        {.service = k.service,
         .affinity = affinity_key(k.request),
         .session = &k.request.session,
         .hash = k.hash,
         .seed = selection_seed(k.request, 0),
         .work = work_of_request(k.request, k.model, k.route.models.size()),
         .affordable_wait = wait,
         .forecast = forecast_of_request(s, k.request, k.route, q, 0, k.time),
         .is_engine = k.is_engine},
        {}, now, &trace);
}

bool is_considered(selection_verdict v)
{
    return v == selection_verdict::chosen ||
           v == selection_verdict::more_costly;
}

explained_upstream explain_upstream(
    gateway_state const& s, known_request const& k, traced_upstream const& t,
    steady_time now)
{
    upstream_state const& u = *t.upstream;
    explained_upstream e{
        .id = u.info.id,
        .zone = u.info.zone,
        .version = u.info.version,
        .verdict = t.verdict,
        .requests = estimated_requests(u, now),
        .slots = u.info.slots,
        .cost = t.cost,
        .is_considered = is_considered(t.verdict),
        .failure_rate = failure_rate(u, now)};
    if (u.load_reported_at != steady_time{})
        e.report_age = now - u.load_reported_at;
    if (k.is_engine && e.is_considered)
        e.expected = t.expected;
    if (!k.is_engine && k.is_overload_controlled)
    {
        upstream_view const v = view_of(u, now);
        room_estimate const room =
            estimate_room(std::span(&v, 1), service_time_of(s, k.service), now);
        e.has_free_slot = room.has_free_slot;
        if (room.is_known)
        {
            e.expected = room.until_start;
            e.service_time = room.service_time;
        }
    }
    return e;
}

void set_upstreams(
    placement_explanation& e, gateway_state const& s, known_request const& k,
    selection_trace trace, steady_time now)
{
    e.listed = trace.size();
    for (traced_upstream const& it : trace)
        ++e.verdicts[to_string(it.verdict)];
    // Ids are in order before, and stay so among equals.
    std::stable_sort(
        trace.begin(), trace.end(),
        [](traced_upstream const& a, traced_upstream const& b) {
            return std::tuple(a.verdict, a.cost) <
                   std::tuple(b.verdict, b.cost);
        });
    trace.resize(std::min(trace.size(), max_explained_upstreams));
    for (traced_upstream const& it : trace)
        e.upstreams.push_back(explain_upstream(s, k, it, now));
}

std::optional<explained_end> predict_end(
    gateway_state const& s, known_request const& k, upstream_selection const& c,
    steady_time now)
{
    if (k.is_engine)
    {
        completion_query q =
            completion_query_of(k.request, k.route, k.service, k.model);
        q.requests = estimated_requests(*c.chosen, now) + 1;
        q.first_event = c.expected;
        q.now = now;
        q.pace = event_pace_of(c.chosen->event_pace, now);
        completion_prediction const p = predict_completion(s.completions, q);
        if (!p.is_known)
            return std::nullopt;
        return explained_end{p.likely, p.early, p.late};
    }
    upstream_view const v = view_of(*c.chosen, now);
    room_estimate const room =
        estimate_room(std::span(&v, 1), service_time_of(s, k.service), now);
    if (!k.is_overload_controlled || !room.is_known)
        return std::nullopt;
    time_range const end =
        plain_times(room, start_error_of(s, k.service), 0, duration{0}, now)
            .end;
    return explained_end{end.likely, end.early, end.late};
}

// Returns the place that overload control would give the request, which it
// refuses; nothing if it does not.
std::optional<duration> overload_place(
    gateway_state const& s, known_request const& k, int priority,
    upstream_selection const& none, std::size_t before, steady_time now)
{
    if (k.is_engine || !k.is_overload_controlled ||
        none.failure != selection_failure::full)
        return std::nullopt;
    plain_admission const a = decide_plain_admission(
        s, k.service, room_at(s, k.service, now),
        {.before = before,
         .until_deadline = k.time,
         .until_target = k.route.target},
        now);
    if (a.result.outcome != admission_outcome::refuse)
        return std::nullopt;
    return_query q = return_query_of(s, k.service, a);
    q.priority = priority;
    q.remaining = k.time;
    // Taking a place changes the schedule; the copy is dropped.
    return_schedule places = s.returns;
    places.phase = return_phase(s);
    return place_for(places, q, now);
}

// Returns how many of the requests that wait for the service would go before
// the request.
std::size_t count_before(
    placement_explanation const& e, gateway_state const& s,
    known_request const& k, std::vector<waiting_request> all, steady_time now)
{
    all.insert(
        all.begin(), {.priority = e.priority,
                      .organisation = e.organisation,
                      .service = k.service,
                      .arrived = now,
                      .target_at = now + k.route.target,
                      .deadline = now + k.time,
                      .expected = k.expected,
                      .expected_end = k.expected,
                      .work = 1,
                      .came_back = seems_returned(k.time, k.route.timeout)});
    service_shares shares = s.shares; // the order notes who waits
    std::vector<std::uint32_t> const order = order_waiting(all, shares, now);
    return static_cast<std::size_t>(
        std::find(order.begin(), order.end(), 0U) - order.begin());
}

// Whether a request without an upstream waits or is refused.
void explain_wait(
    placement_explanation& e, gateway_state const& s, known_request const& k,
    upstream_selection const& none, queued_requests const& queued,
    steady_time now)
{
    e.max_wait = max_queue_time(
        {.target = k.route.target,
         .time = k.time,
         .is_refused_by_estimate = k.expected > duration{0}});
    bool const is_controlled = !k.is_engine && k.is_overload_controlled;
    if (is_controlled && none.failure == selection_failure::full &&
        k.expected > duration{0})
        e.max_wait = std::max(e.max_wait, k.time - k.expected);
    std::size_t const before =
        is_controlled ? count_before(e, s, k, queued.requests, now) : 0;
    error_kind const kind = refusal_for(to_error_kind(none.failure));
    std::optional<duration> const place =
        s.drain_started ? std::nullopt
                        : overload_place(s, k, e.priority, none, before, now);
    steady_time const give_up_at = now + std::min(e.max_wait, k.time);
    if (!s.drain_started && !place && e.max_wait > duration{0} &&
        !is_wait_futile(none, queued.limit_waiters, give_up_at, now))
    {
        e.outcome = placement_outcome::waits;
        e.reason = to_string(kind);
        return;
    }
    // A real refusal counts itself before its retry time is computed.
    std::size_t const refusals = s.limited_refusals.peek(now) + 1;
    set_refused(
        e, kind,
        place ? to_string(admission_reason::cannot_end) : to_string(kind),
        retry_after_refusal(
            s, none,
            {.kind = kind,
             .target = k.route.target,
             .hash = k.hash,
             .place = place,
             .limited_refusals = refusals},
            now));
}

// Returns whether the quarantine refuses the request, and explains that.
bool explain_quarantine(
    placement_explanation& e, gateway_state const& s, known_request const& k,
    steady_time now, std::int64_t unix_ms)
{
    request_traits const traits = traits_of(k.request, e.organisation);
    std::uint64_t const hash = k.hash >> 8U;
    if (reaches_crash_limit(s.crashes, traits.request))
    {
        set_refused(
            e, error_kind::request_quarantined, "request",
            spread(max_quarantine_retry, hash));
        return true;
    }
    quarantine_entry const* const entry = find_quarantine(s.quarantine, traits);
    bool const has_trial =
        entry != nullptr && entry->trial_until && now < *entry->trial_until;
    if (entry == nullptr || has_trial)
        return false;
    set_refused(
        e, error_kind::request_quarantined, "part",
        spread(quarantine_retry_after(*entry, unix_ms), hash));
    return true;
}

} // namespace

std::string_view to_string(placement_outcome o)
{
    switch (o)
    {
    case placement_outcome::sent:
        return "sent";
    case placement_outcome::waits:
        return "waits";
    case placement_outcome::held:
        return "held";
    case placement_outcome::refused:
        break;
    }
    return "refused";
}

std::string_view to_string(selection_verdict v)
{
    return verdict_names[static_cast<std::size_t>(v)];
}

placement_explanation explain_placement(
    gateway_state const& s, queued_by_service const& queued,
    gateway_request const& r, steady_time now, std::int64_t unix_ms)
{
    placement_explanation e;
    e.config_version = s.config ? s.config->version : 0;
    if (is_starting(s, now))
    {
        e.outcome = placement_outcome::held;
        e.reason = "starting";
        return e;
    }
    arrival_decision const d = decide_arrival(s, r, now);
    if (d.route != nullptr)
        e.route = d.route->name;
    if (d.refusal || d.route == nullptr)
    {
        error_kind const kind = d.refusal.value_or(error_kind::not_found);
        set_refused(
            e, kind, to_string(kind),
            spread(d.retry_after, hash64(r.attempt_id)));
        return e;
    }
    known_request const k = describe(s, r, *d.route, now);
    e.service = k.service;
    e.organisation = d.owner == nullptr ? std::string() : d.owner->name;
    e.priority = priority_of(*d.route, d.owner);
    e.models = d.route->models;
    e.model = e.models.empty() ? r.model : e.models[k.model];
    e.is_engine = k.is_engine;
    e.is_overload_controlled = k.is_overload_controlled;
    e.until_deadline = k.time;
    auto const waiting = queued.find(k.service);
    queued_requests const at_gateway =
        waiting == queued.end() ? queued_requests{} : waiting->second;
    e.waiting = at_gateway.waiting;
    selection_trace trace;
    upstream_selection const c = select_for(s, k, now, trace);
    set_upstreams(e, s, k, std::move(trace), now);
    if (explain_quarantine(e, s, k, now, unix_ms))
        return e;
    if (!c.chosen)
    {
        explain_wait(e, s, k, c, at_gateway, now);
        return e;
    }
    e.outcome = placement_outcome::sent;
    e.chosen = c.chosen->info.id;
    e.end = predict_end(s, k, c, now);
    return e;
}

} // namespace marjorambeam
