#include "routing/routing.hpp"

#include "routing/rendezvous_weight.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace marjorambeam
{
namespace
{

// Random draws before falling back to a scan of the list.
constexpr int max_sample_attempts = 8;
// Makes any remaining backoff outweigh any expected time.
constexpr double backoff_weight = 1e6;

struct candidate_search
{
    routing_table const& t;
    route_request const& r;
    route_pool const& pool;
    steady_time now;
    std::mt19937_64& random;
    route_choice choice;
};

std::uint32_t in_flight(
    upstream_status const& s, pool_average const& a, double limit,
    bool is_known)
{
    std::uint32_t const seen =
        is_known ? s.reported + s.sent_since_report
                 : static_cast<std::uint32_t>(a.utilization * limit);
    return std::max(seen, s.outstanding);
}

bool is_known(upstream_status const& s, steady_time now)
{
    return s.limit > 0 && now - s.load_received_at <= max_load_age;
}

bool is_full(upstream_status const& s, pool_average const& a, steady_time now)
{
    bool const known = is_known(s, now);
    double const limit = known ? s.limit : a.limit;
    return in_flight(s, a, limit, known) >= limit;
}

bool is_tried(candidate_search const& s, upstream_index u)
{
    return std::find(s.r.tried.begin(), s.r.tried.end(), u) != s.r.tried.end();
}

bool is_candidate(candidate_search const& s, upstream_index u)
{
    return std::any_of(
        s.choice.candidates.begin(),
        s.choice.candidates.begin() + s.choice.count,
        [&](route_candidate const& it) { return it.upstream == u; });
}

// Requests are not queued at a cold upstream beyond its limit.
bool is_eligible(candidate_search const& s, upstream_index u)
{
    upstream_status const& status = s.t.status[u];
    if (status.failed_until > s.now || is_tried(s, u))
        return false;
    return !status.is_cold || !is_full(status, s.pool.average, s.now);
}

void add_candidate(
    candidate_search& s, upstream_index u, bool is_remote, bool is_preferred)
{
    upstream_status const& status = s.t.status[u];
    double seconds =
        expected_seconds(status, s.pool.average, s.r.tokens, s.now);
    if (is_remote)
        seconds += cross_zone_penalty_seconds;
    if (is_preferred)
        seconds -= cached_prefix_saving * status.first_token;
    s.choice.candidates[s.choice.count++] = {
        u, static_cast<float>(seconds), is_remote, is_preferred};
}

void add_random(
    candidate_search& s, std::vector<pool_member> const& members,
    bool is_remote)
{
    static_assert(sampled_candidates <= max_exhaustive_candidates);
    if (members.size() <= max_exhaustive_candidates)
    {
        // A random start breaks ties differently at each entry.
        std::size_t const first = members.empty() ? 0 : s.random();
        for (std::size_t i = 0; i < members.size(); ++i)
        {
            upstream_index const u =
                members[(first + i) % members.size()].upstream;
            if (!is_candidate(s, u) && is_eligible(s, u))
                add_candidate(s, u, is_remote, false);
        }
        return;
    }
    std::size_t added = 0;
    for (int i = 0; i < max_sample_attempts && added < sampled_candidates; ++i)
    {
        // The high half of a product maps to a range without a division.
        auto const draw = static_cast<std::uint32_t>(s.random());
        std::size_t const at = (std::uint64_t{draw} * members.size()) >> 32U;
        upstream_index const u = members[at].upstream;
        if (is_candidate(s, u) || !is_eligible(s, u))
            continue;
        add_candidate(s, u, is_remote, false);
        ++added;
    }
    if (added > 0)
        return;
    std::size_t const start = s.random() % members.size();
    for (std::size_t i = 0; i < members.size(); ++i)
    {
        upstream_index const u = members[(start + i) % members.size()].upstream;
        if (is_candidate(s, u) || !is_eligible(s, u))
            continue;
        add_candidate(s, u, is_remote, false);
        return;
    }
}

// Adds the eligible members that score highest for the prefix.
void add_preferred(candidate_search& s, std::vector<pool_member> const& members)
{
    if (s.r.prefix_hash == 0)
        return;
    std::array<upstream_index, affinity_candidates> best{};
    std::array<std::uint64_t, affinity_candidates> score{};
    best.fill(no_index);
    for (pool_member const& it : members)
    {
        std::uint64_t x = rendezvous_weight(it.hash, s.r.prefix_hash);
        if (x <= score.back())
            continue;
        upstream_index u = it.upstream;
        for (std::size_t i = 0; i < best.size(); ++i)
        {
            if (x <= score[i])
                continue;
            std::swap(x, score[i]);
            std::swap(u, best[i]);
        }
    }
    for (upstream_index u : best)
    {
        if (u != no_index && is_eligible(s, u) && !s.t.status[u].is_cold)
            add_candidate(s, u, false, true);
    }
}

bool has_free_candidate(candidate_search const& s)
{
    return std::any_of(
        s.choice.candidates.begin(),
        s.choice.candidates.begin() + s.choice.count,
        [&](route_candidate const& it)
        { return !is_full(s.t.status[it.upstream], s.pool.average, s.now); });
}

// Chooses among all members that were not tried: the one whose failure is
// longest ago, then the one with the shortest expected time.
void choose_last_resort(candidate_search& s)
{
    double best = 0;
    for (auto const* members : {&s.pool.near, &s.pool.far})
    {
        for (pool_member const& it : *members)
        {
            if (is_tried(s, it.upstream))
                continue;
            upstream_status const& status = s.t.status[it.upstream];
            double const backoff =
                std::max(0.0, to_seconds(status.failed_until - s.now));
            double const seconds =
                backoff * backoff_weight +
                expected_seconds(status, s.pool.average, s.r.tokens, s.now);
            if (s.choice.upstream != no_index && seconds >= best)
                continue;
            best = seconds;
            s.choice.upstream = it.upstream;
            s.choice.reason = route_reason::last_resort;
        }
    }
}

version_entry const* find_version(routing_table const& t, std::string_view id)
{
    std::string_view const model = id.substr(0, id.find('@'));
    auto const it = t.models.find(model);
    if (it == t.models.end())
        return nullptr;
    std::string_view const name = id.substr(model.size() + 1);
    auto const found = std::find_if(
        it->second.begin(), it->second.end(),
        [&](version_entry const& e) { return e.document->name == name; });
    return found == it->second.end() ? nullptr : &*found;
}

// Resolves "model@version", as given by the caller or by a session pin.
result<version_choice> choose_requested_version(
    routing_table const& t, contract const& c, std::string_view id, bool is_pin)
{
    version_entry const* e = find_version(t, id);
    // A pinned version that no longer exists was withdrawn.
    if (e == nullptr)
        return fail(
            is_pin ? error_kind::version_withdrawn : error_kind::not_found,
            "version " + std::string(id) + " does not exist");
    if (!is_permitted(c, *e->document))
        return fail(
            error_kind::model_not_allowed,
            "the contract does not permit " + std::string(id));
    if (e->document->state == version_state::withdrawn)
        return fail(
            error_kind::version_withdrawn,
            "version " + std::string(id) + " is withdrawn");
    return version_choice{e->document, e->pool, is_pin ? "pinned" : "named"};
}

} // namespace

std::string_view to_string(route_reason r)
{
    switch (r)
    {
    case route_reason::least_time:
        return "least expected time";
    case route_reason::prefix:
        return "preferred for its prefix";
    case route_reason::spill_over:
        return "spill-over to another availability zone";
    case route_reason::last_resort:
        return "last resort, no other is free of failures";
    case route_reason::none:
        break;
    }
    return "no upstream";
}

result<version_choice> choose_version(
    routing_table const& t, contract const& c, std::string_view model,
    std::string_view pin, double draw)
{
    std::string_view const name = model.substr(0, model.find('@'));
    if (!pin.empty())
    {
        bool const is_same = pin.substr(0, pin.find('@')) == name &&
                             (name.size() == model.size() || model == pin);
        if (!is_same || pin.find('@') == std::string_view::npos)
            return fail(
                error_kind::session_invalid,
                "the session is pinned to " + std::string(pin));
        return choose_requested_version(t, c, pin, true);
    }
    if (name.size() != model.size())
        return choose_requested_version(t, c, model, false);
    auto const it = t.models.find(name);
    if (it == t.models.end())
        return fail(
            error_kind::not_found,
            "model " + std::string(model) + " does not exist");
    version_entry const* active = nullptr;
    version_entry const* rolling = nullptr;
    bool has_withdrawn = false;
    double passed = 0; // sum of the shares of the preceding rolling versions
    for (version_entry const& e : it->second)
    {
        version const& v = *e.document;
        if (!is_permitted(c, v))
            continue;
        has_withdrawn |= v.state == version_state::withdrawn;
        if (v.state == version_state::active)
            active = &e; // the last by name if there are several
        if (v.state != version_state::rolling)
            continue;
        if (rolling == nullptr && draw >= passed && draw < passed + v.share)
            rolling = &e;
        passed += v.share;
    }
    if (rolling != nullptr)
        return version_choice{
            rolling->document, rolling->pool, "rolling share"};
    if (active != nullptr)
        return version_choice{active->document, active->pool, "active"};
    if (has_withdrawn)
        return fail(
            error_kind::version_withdrawn, "all permitted versions of " +
                                               std::string(model) +
                                               " are withdrawn");
    return fail(
        error_kind::model_not_allowed,
        "the contract permits no version in use of " + std::string(model));
}

double expected_seconds(
    upstream_status const& s, pool_average const& a, double tokens,
    steady_time now)
{
    bool const known = is_known(s, now);
    double const limit = known ? s.limit : a.limit;
    // A stale speed is ignored like a stale load; otherwise an upstream that
    // was slow once would never receive the requests that show its recovery.
    bool const has_first = known && s.first_token > 0;
    bool const has_speed = known && s.seconds_per_token > 0;
    double const first = has_first ? s.first_token : a.first_token;
    double const per_token =
        has_speed ? s.seconds_per_token : a.seconds_per_token;
    double const n = in_flight(s, a, limit, known);
    double const service = first + tokens * per_token;
    double const batch_occupancy_penalty =
        std::min(1.0, n / limit) * batch_slowdown;
    double wait = 0;
    if (n + 1 > limit)
        wait = (n + 1 - limit) / limit * service;
    if (known)
        wait = std::max(wait, s.queued_tokens * per_token / limit);
    return service * (1 + batch_occupancy_penalty) + wait;
}

route_choice choose_upstream(
    routing_table const& t, route_request const& r, steady_time now,
    std::mt19937_64& random)
{
    if (r.pool >= t.pools.size())
        return {};
    candidate_search s{t, r, t.pools[r.pool], now, random, {}};
    add_preferred(s, s.pool.near);
    add_random(s, s.pool.near, false);
    if (!has_free_candidate(s))
        add_random(s, s.pool.far, true);
    route_candidate const* best = nullptr;
    for (std::size_t i = 0; i < s.choice.count; ++i)
    {
        route_candidate const& it = s.choice.candidates[i];
        if (best == nullptr || it.seconds < best->seconds)
            best = &it;
    }
    if (best == nullptr)
    {
        choose_last_resort(s);
        return s.choice;
    }
    s.choice.upstream = best->upstream;
    s.choice.reason = route_reason::least_time;
    if (best->is_preferred)
        s.choice.reason = route_reason::prefix;
    if (best->is_remote)
        s.choice.reason = route_reason::spill_over;
    return s.choice;
}

std::string explain(routing_table const& t, route_choice const& c)
{
    std::string out = "candidates:";
    for (std::size_t i = 0; i < c.count; ++i)
    {
        route_candidate const& it = c.candidates[i];
        std::array<char, 32> seconds{};
        std::snprintf(seconds.data(), seconds.size(), " %.3f s", it.seconds);
        upstream_slot const& slot = t.slots[it.upstream];
        out += (i > 0 ? ", " : " ") + slot.name + " (" +
               slot.availability_zone + (it.is_preferred ? ", prefix" : "") +
               seconds.data() + ")";
    }
    if (c.count == 0)
        out += " none";
    out += "; chosen: ";
    out += c.upstream == no_index ? "none" : t.slots[c.upstream].name;
    out += ", ";
    out += to_string(c.reason);
    return out;
}

} // namespace marjorambeam
