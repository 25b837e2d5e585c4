#include "gateway/upstream_table.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace marjorambeam
{
namespace
{

using std::chrono::milliseconds;

// An upstream's own load report is used for this long; later the gateways'
// counts are more accurate.
constexpr duration load_report_ttl = milliseconds(300);
// Expected share of a prompt's shared prefix that upstreams have cached, by
// their rank for its key. The second and third get the overflow of the first.
constexpr std::array shared_rank_parts{1.0, 0.6, 0.3};
// Engines considered for a request: those, and random others.
constexpr std::size_t engine_choices = 4;
// Recomputing a cached prefix costs time and money, and evicts other prefixes.
constexpr double shared_worth = 1.5;
// Decay of the sums per sample. The common pace follows an overload within some
// thirty requests, one or two seconds.
constexpr double upstream_pace_decay = 0.9;
constexpr double common_pace_decay = 0.97;
// Weight, in samples, of the prior that an upstream is as fast as the others; a
// gateway of a large fleet has few samples of each.
constexpr double prior_pace_samples = 5;
// Samples below this work reflect the network more than the upstream.
constexpr double min_pace_work = 300;
// No caller waits longer; longer samples are invalid.
constexpr float longest_sample_us = 60e6F;
// Engines of one service differ less in speed; a larger ratio means faulty
// samples.
constexpr double most_pace_ratio = 4;
// Weight of the latest outcome in the failure rate.
constexpr double outcome_weight = 0.4;
// Time constant with which the rate decays, so that an unhealthy upstream is
// retried after two or three seconds.
constexpr double failure_rate_decay_s = 3;
constexpr double max_healthy_failure_rate = 0.5;
// Cost at a failure rate of one: for an engine in units of work, the time to
// rerun a mean request; for a plain service in requests per slot.
constexpr double engine_failure_cost = 20'000;
constexpr double plain_failure_cost = 2;
// Cost of leaving the availability zone, in requests per slot. Crossing zones
// costs less than a millisecond, so it only breaks ties.
constexpr double other_zone_cost = 0.1;
constexpr duration min_ejection_time = milliseconds(250);
constexpr duration max_ejection_time = milliseconds(2000);

struct candidate
{
    std::shared_ptr<upstream_state> upstream;
    double cost = 0;
    double work = 0;         // until the first event
    double end_s = 0;        // likely end of the response, with a forecast
    bool is_holder = false;  // expected to have the shared prefix
    std::uint64_t order = 0; // by which candidates are kept
};

double work_of(upstream_state const& u)
{
    return u.work + u.peers.work;
}

double per_work(work_pace const& p)
{
    return p.took_us / p.work;
}

// Pace relative to that of all engines.
double relative_pace(upstream_table const& b, upstream_state const& u)
{
    double const common = per_work(b.pace);
    double const prior = prior_pace_samples * b.pace.work / b.pace.samples;
    double const own =
        (u.pace.took_us + common * prior) / (u.pace.work + prior);
    return std::clamp(own / common, 1 / most_pace_ratio, most_pace_ratio);
}

// Expected time for work at an engine.
duration
time_of_work(upstream_table const& b, upstream_state const& u, double work)
{
    double const pace = relative_pace(b, u) * per_work(b.pace);
    return duration(static_cast<duration::rep>(work * pace));
}

void add_sample(work_pace& p, double decay, double work, double took_us)
{
    p.took_us = p.took_us * decay + took_us;
    p.work = p.work * decay + work;
    p.samples = p.samples * decay + 1;
}

// Keeps the upstreams expected to have the shared prefix, and a random sample
// of the others. Loads are known late, so that many gateways which all select
// the least loaded upstream overload it; the best of a few is nearly as good.
void sample_candidates(std::vector<candidate>& all, upstream_query const& q)
{
    auto const held = static_cast<std::size_t>(std::count_if(
        all.begin(), all.end(),
        [](candidate const& it) { return it.is_holder; }));
    std::size_t const n = std::max(engine_choices, held + 1);
    if (all.size() <= n)
        return;
    for (candidate& it : all)
        it.order = it.is_holder ? 0 : hash64(it.upstream->info.id, q.seed) | 1U;
    std::nth_element(
        all.begin(), all.begin() + static_cast<std::ptrdiff_t>(n), all.end(),
        [](candidate const& a, candidate const& b)
        { return a.order < b.order; });
    all.resize(n);
}

// Credits the upstreams ranked first for the key with its shared prefix.
void credit_affinity(std::span<candidate> all, upstream_query const& q)
{
    std::array<std::pair<std::uint64_t, candidate*>, shared_rank_parts.size()>
        best{};
    for (candidate& it : all)
    {
        std::pair<std::uint64_t, candidate*> entry{
            rendezvous_score(q.affinity, it.upstream->info.id), &it};
        for (auto& place : best)
        {
            if (place.second == nullptr || entry.first > place.first)
                std::swap(place, entry);
            if (entry.second == nullptr)
                break;
        }
    }
    for (std::size_t i = 0; i < best.size(); ++i)
    {
        if (best[i].second != nullptr)
        {
            double const spared = q.work.shared * shared_rank_parts[i];
            best[i].second->is_holder = true;
            best[i].second->work -= spared;
            best[i].second->cost -= spared * shared_worth;
        }
    }
}

// Keeps the engines at which the response likely ends in time, if there are
// any. Returns whether there are. Before the sample is drawn: four random
// engines of which half are slow are all slow in one case of sixteen.
bool keep_those_in_time(
    upstream_table const& b, std::vector<candidate>& all,
    response_forecast const& f, steady_time now)
{
    double const common_s = per_work(b.pace) / 1e6;
    for (candidate& it : all)
    {
        upstream_state const& u = *it.upstream;
        it.end_s = expected_end(
            f, it.work * common_s * relative_pace(b, u),
            estimated_requests(u, now) + 1, event_pace_of(u.event_pace, now));
    }
    auto const is_late = [&f](candidate const& it)
    { return !ends_in_time(f, it.end_s); };
    if (std::all_of(all.begin(), all.end(), is_late))
        return false;
    all.erase(std::remove_if(all.begin(), all.end(), is_late), all.end());
    return true;
}

// Sets the work before the first event at each engine and keeps those at which
// the response likely ends in time. Returns whether there are any.
bool set_engine_work(
    upstream_table const& b, std::vector<candidate>& all,
    upstream_query const& q, steady_time now)
{
    for (candidate& it : all)
    {
        it.work = work_of(*it.upstream) + q.work.prefill;
        it.cost = it.work;
    }
    if (!q.affinity.empty())
        credit_affinity(all, q);
    return !q.forecast || keep_those_in_time(b, all, *q.forecast, now);
}

void set_engine_costs(
    upstream_table const& b, std::vector<candidate>& all,
    upstream_query const& q, bool is_in_time, steady_time now)
{
    sample_candidates(all, q);
    for (candidate& it : all)
    {
        if (!is_in_time)
        {
            it.cost = it.end_s * (1 + failure_rate(*it.upstream, now));
            continue;
        }
        double const pace = relative_pace(b, *it.upstream);
        it.cost = it.cost > 0 ? it.cost * pace : it.cost / pace;
        it.cost += failure_rate(*it.upstream, now) * engine_failure_cost;
    }
}

void set_plain_costs(
    std::span<candidate> all, upstream_query const& q, steady_time now)
{
    for (candidate& it : all)
    {
        upstream_state const& u = *it.upstream;
        double const slots = std::max<double>(u.info.slots, 1);
        it.cost = (estimated_requests(u, now) + 1) / slots;
        if (u.info.zone != q.zone)
            it.cost += other_zone_cost;
        it.cost += failure_rate(u, now) * plain_failure_cost;
    }
}

bool has_cold_capacity(
    upstream_state const& u, upstream_query const& q, steady_time now)
{
    if (now >= u.cold_until || q.cold_share == nullptr)
        return true;
    return u.cold_sends.peek(now) < q.cold_share(q.context, u);
}

bool has_version(upstream_state const& u, upstream_query const& q)
{
    bool const is_wanted =
        q.only_version.empty() || u.info.version == q.only_version;
    return is_wanted &&
           (q.never_version.empty() || u.info.version != q.never_version);
}

// Keeps the engines for prompts like this one.
void separate_prompts(
    std::vector<candidate>& all, upstream_query const& q, steady_time now)
{
    std::optional<double> const share = short_prompt_share(*q.mix, now);
    std::size_t const n = share ? short_prompt_engines(*share, all.size()) : 0;
    if (n == 0)
        return;
    for (candidate& it : all)
        it.order = separation_rank(it.upstream->info.id);
    auto const border = all.begin() + static_cast<std::ptrdiff_t>(n);
    std::nth_element(
        all.begin(), border, all.end(),
        [](candidate const& a, candidate const& b)
        { return a.order < b.order; });
    if (is_long_prompt(q.work.prefill))
        all.erase(all.begin(), border);
    else
        all.erase(border, all.end());
}

// Whether a plain upstream has no room for the request.
bool lacks_room(
    upstream_state const& u, upstream_query const& q, steady_time now)
{
    if (q.room_prior == nullptr)
        return false;
    bool const has_refused =
        std::find(q.refused_by.begin(), q.refused_by.end(), u.info.id) !=
        q.refused_by.end();
    return !may_send(
        view_of(u, now), *q.room_prior,
        {.affordable = q.affordable_wait,
         .refusals = q.refused_by.size(),
         .has_refused = has_refused},
        now);
}

// Keeps the first quarter of the upstreams in order of id.
void consolidate(std::vector<candidate>& all)
{
    constexpr std::size_t part = 4;
    std::sort(
        all.begin(), all.end(),
        [](candidate const& a, candidate const& b)
        { return a.upstream->info.id < b.upstream->info.id; });
    all.resize((all.size() + part - 1) / part);
}

} // namespace

std::uint32_t upstream_number(std::string_view id)
{
    return static_cast<std::uint32_t>(hash64(id));
}

void put_upstream(upstream_table& b, std::shared_ptr<upstream_state> u)
{
    u->number = upstream_number(u->info.id);
    b.by_number[u->number] = u.get();
    b.by_id[u->info.id] = std::move(u);
    ++b.changes;
}

upstream_map::iterator
erase_upstream(upstream_table& b, upstream_map::iterator it)
{
    auto const numbered = b.by_number.find(it->second->number);
    if (numbered != b.by_number.end() && numbered->second == it->second.get())
        b.by_number.erase(numbered);
    ++b.changes;
    return b.by_id.erase(it);
}

upstream_notice const*
find_notice(upstream_table const& b, upstream_state const& u)
{
    return find_notice(b.notices, u.info.id, u.info.started_unix_ms);
}

bool take_token(upstream_table& b, upstream_state const& u, steady_time now)
{
    if (gate_of(find_notice(b, u)) == nullptr)
        return false;
    take_token(b.notices.find(u.info.id)->second.gate, now);
    return true;
}

namespace
{

bool is_draining(upstream_table const& b, upstream_state const& u)
{
    upstream_notice const* const n = find_notice(b, u);
    return u.info.is_draining || (n != nullptr && n->is_draining);
}

} // namespace

bool is_usable(upstream_table const& b, upstream_state const& u)
{
    return !is_draining(b, u) && !b.evacuated_zones.contains(u.info.zone);
}

upstream_view view_of(upstream_state const& u, steady_time now)
{
    upstream_view v{
        .room = &u.room,
        .requests = estimated_requests(u, now),
        .slots = u.info.slots,
        .pace_percent = u.own_load.machine_pace.value_or(0),
        .reported_at = u.load_reported_at};
    if (u.load_reported_at != steady_time{})
        v.report = u.own_load;
    return v;
}

std::optional<engine_end> earliest_engine_end(
    upstream_table const& b, upstream_query const& q, steady_time now)
{
    std::optional<engine_end> best;
    double best_s = 0;
    double const own = q.work.prefill - q.work.shared;
    for (auto const& [id, u] : b.by_id)
    {
        if (u->info.service != q.service || !is_usable(b, *u) ||
            now < u->ejected_until)
            continue;
        double const s_per_work = relative_pace(b, *u) * per_work(b.pace) / 1e6;
        double const requests = estimated_requests(*u, now) + 1;
        double const pace = event_pace_of(u->event_pace, now);
        double const first_s = (work_of(*u) + own) * s_per_work;
        double const end_s = expected_end(*q.forecast, first_s, requests, pace);
        if (best && end_s >= best_s)
            continue;
        best_s = end_s;
        best = engine_end{
            .first_event = from_seconds(first_s),
            .queued = from_seconds(work_of(*u) * s_per_work),
            .requests = requests,
            .pace = pace};
    }
    return best;
}

bool has_queue(upstream_state const& u, steady_time now)
{
    bool const is_fresh = u.load_reported_at != steady_time{} &&
                          now - u.load_reported_at <= max_room_report_age;
    if (is_fresh)
        return u.own_load.waiting > 0;
    return u.info.slots > 0 && u.requests + u.peers.requests > u.info.slots;
}

double estimated_requests(upstream_state const& u, steady_time now)
{
    double const counted = u.requests + u.peers.requests;
    if (now - u.load_reported_at > load_report_ttl)
        return counted;
    double const own_load = u.own_load.running + u.own_load.waiting;
    return std::max(counted, own_load);
}

namespace
{

void resume_at(upstream_selection& none, steady_time at)
{
    none.resumes_at =
        none.resumes_at == steady_time{} ? at : std::min(none.resumes_at, at);
}

void add_limited(
    upstream_selection& none, std::string const& id, upstream_notice const& n,
    steady_time now)
{
    resume_at(none, next_token_at(n.gate, now));
    none.limit_per_second += n.limit.per_second.value_or(0);
    none.share_per_second += n.gate.share_per_second;
    none.is_contended = none.is_contended || is_contended(n.gate, now);
    if (none.claimable.empty() && may_claim(n.gate, now))
        none.claimable = id;
}

// Why the upstream is not a candidate; more_costly if it is one.
selection_verdict exclusion_of(
    upstream_table const& b, upstream_state const& u, upstream_query const& q,
    upstream_notice const* notice, steady_time now)
{
    if (!has_version(u, q))
        return selection_verdict::other_version;
    if (is_draining(b, u))
        return selection_verdict::draining;
    if (b.evacuated_zones.contains(u.info.zone))
        return selection_verdict::evacuated;
    // A paused upstream that refused a request is worth waiting for.
    if (notice != nullptr && now < notice->resumes_at)
        return selection_verdict::paused;
    if (std::find(q.tried.begin(), q.tried.end(), u.info.id) != q.tried.end())
        return selection_verdict::tried;
    if (now < u.ejected_until)
        return selection_verdict::unreachable;
    if (!has_cold_capacity(u, q, now))
        return selection_verdict::cold;
    limit_gate const* const gate = gate_of(notice);
    if (gate != nullptr && !has_token(*gate, now))
        return selection_verdict::limited;
    if (notice != nullptr &&
        u.requests >= allowed_requests(*notice, u.info.slots, now))
        return selection_verdict::ramping;
    if (lacks_room(u, q, now) ||
        (q.max_requests > 0 && estimated_requests(u, now) >= q.max_requests))
        return selection_verdict::full;
    if (failure_rate(u, now) > max_healthy_failure_rate)
        return selection_verdict::unhealthy;
    return selection_verdict::more_costly;
}

// Adds an excluded upstream to the reasons why none is available.
void add_exclusion(
    upstream_selection& none, selection_verdict why, upstream_state const& u,
    upstream_notice const* notice, steady_time now)
{
    auto at_least = [&](selection_failure f)
    { none.failure = std::min(none.failure, f); };
    switch (why)
    {
    case selection_verdict::draining:
        at_least(selection_failure::draining);
        break;
    case selection_verdict::paused:
        at_least(selection_failure::paused);
        resume_at(none, notice->resumes_at);
        break;
    case selection_verdict::unreachable:
        at_least(selection_failure::unreachable);
        break;
    case selection_verdict::cold:
        at_least(selection_failure::cold);
        break;
    case selection_verdict::limited:
        at_least(selection_failure::limited);
        add_limited(none, u.info.id, *notice, now);
        break;
    case selection_verdict::ramping:
    case selection_verdict::full:
        at_least(selection_failure::full);
        break;
    default:
        break;
    }
}

// Sets the verdict of the upstreams that a step of the selection dropped.
void trace_dropped(
    selection_trace* trace, std::span<candidate const> kept,
    selection_verdict why)
{
    if (trace == nullptr)
        return;
    std::unordered_set<upstream_state const*> kept_states;
    for (candidate const& it : kept)
        kept_states.insert(it.upstream.get());
    for (traced_upstream& it : *trace)
    {
        if (it.verdict == selection_verdict::more_costly &&
            !kept_states.contains(it.upstream))
            it.verdict = why;
    }
}

// Sets the verdict and the inputs of the upstreams that were considered.
void trace_considered(
    selection_trace* trace, upstream_table const& b,
    std::span<candidate const> considered, upstream_selection const& c,
    bool is_engine)
{
    if (trace == nullptr)
        return;
    std::unordered_map<upstream_state const*, candidate const*> by_state;
    for (candidate const& it : considered)
        by_state[it.upstream.get()] = &it;
    for (traced_upstream& it : *trace)
    {
        auto const found = by_state.find(it.upstream);
        if (found == by_state.end())
            continue;
        it.verdict = it.upstream == c.chosen.get()
                         ? selection_verdict::chosen
                         : selection_verdict::more_costly;
        it.cost = found->second->cost;
        if (is_engine)
            it.expected = time_of_work(b, *it.upstream, found->second->work);
    }
}

} // namespace

upstream_selection select_upstream(
    upstream_table const& b, upstream_query const& q, steady_time now,
    selection_trace* trace)
{
    std::vector<candidate> all;
    std::vector<candidate> unhealthy;
    upstream_selection none{.failure = selection_failure::no_upstream};
    if (trace != nullptr)
        trace->clear();
    for (auto const& [id, u] : b.by_id)
    {
        if (u->info.service != q.service)
            continue;
        upstream_notice const* const notice = find_notice(b, *u);
        selection_verdict const why = exclusion_of(b, *u, q, notice, now);
        if (trace != nullptr)
            trace->push_back({.upstream = u.get(), .verdict = why});
        if (why == selection_verdict::more_costly)
            all.push_back({u});
        else if (why == selection_verdict::unhealthy)
            unhealthy.push_back({u});
        else
            add_exclusion(none, why, *u, notice, now);
    }
    if (all.empty())
        all = std::move(unhealthy);
    if (all.empty())
        return none;
    if (q.prefers_consolidation)
    {
        consolidate(all);
        trace_dropped(trace, all, selection_verdict::consolidated);
    }
    if (q.is_engine && q.mix != nullptr)
    {
        separate_prompts(all, q, now);
        trace_dropped(trace, all, selection_verdict::other_prompts);
    }
    bool is_in_time = true;
    if (q.is_engine)
    {
        is_in_time = set_engine_work(b, all, q, now);
        trace_dropped(trace, all, selection_verdict::ends_late);
        set_engine_costs(b, all, q, is_in_time, now);
        trace_dropped(trace, all, selection_verdict::not_sampled);
    }
    else
        set_plain_costs(all, q, now);
    auto const best = std::min_element(
        all.begin(), all.end(),
        [](candidate const& a, candidate const& b) { return a.cost < b.cost; });
    upstream_selection c{
        .chosen = best->upstream,
        .work = best->work,
        .ends_in_time = is_in_time};
    if (q.is_engine)
    {
        c.expected = time_of_work(b, *best->upstream, best->work);
        c.queued = time_of_work(b, *best->upstream, work_of(*best->upstream));
    }
    trace_considered(trace, b, all, c, q.is_engine);
    return c;
}

void record_first_event(
    upstream_table& b, upstream_state& u, double work, duration took)
{
    if (work < min_pace_work)
        return;
    auto const took_us = static_cast<double>(took.count());
    add_sample(u.pace, upstream_pace_decay, work, took_us);
    add_sample(b.pace, common_pace_decay, work, took_us);
    if (b.pending_samples.size() < max_pending_samples)
        b.pending_samples.push_back(
            {u.number, static_cast<float>(work), static_cast<float>(took_us)});
}

void add_peer_sample(upstream_state& u, pace_sample const& s)
{
    bool const is_sound = s.work >= min_pace_work && s.took_us > 0 &&
                          s.took_us < longest_sample_us;
    if (is_sound)
        add_sample(u.pace, upstream_pace_decay, s.work, s.took_us);
}

duration ejection_time(std::uint32_t failures)
{
    std::uint32_t const doublings = std::min(failures, 4U);
    return std::min(
        min_ejection_time * (1U << doublings) / 2, max_ejection_time);
}

bool record_silence(upstream_state& u, steady_time sent, steady_time now)
{
    if (std::max(sent, u.last_received_at) <= u.silence_noticed_at)
        return false;
    u.silence_noticed_at = now;
    u.ejected_until = now + ejection_time(++u.consecutive_failures);
    return true;
}

void record_unreachable(upstream_state& u, duration cold_start, steady_time now)
{
    ++u.consecutive_failures;
    u.ejected_until = now + ejection_time(u.consecutive_failures);
    u.cold_until = std::max(u.cold_until, u.ejected_until + cold_start);
}

double failure_rate(upstream_state const& u, steady_time now)
{
    return u.failure_rate *
           std::exp(
               -to_seconds(now - u.last_outcome_at) / failure_rate_decay_s);
}

void record_outcome(upstream_state& u, bool is_failure, steady_time now)
{
    double const before = failure_rate(u, now);
    u.failure_rate = before + ((is_failure ? 1 : 0) - before) * outcome_weight;
    u.last_outcome_at = now;
}

void record_response(upstream_state& u, steady_time now)
{
    u.consecutive_failures = 0;
    u.last_received_at = now;
}

} // namespace marjorambeam
