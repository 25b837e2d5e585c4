#include "gateway/crash_evidence.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

namespace marjorambeam
{
namespace
{

bool has_part(request_traits const& t, std::uint64_t part)
{
    return std::find(t.parts.begin(), t.parts.end(), part) != t.parts.end();
}

template <class Evidence>
auto find_crash(Evidence& e, std::uint64_t id)
{
    auto const it = std::find_if(
        e.crashes.begin(), e.crashes.end(),
        [&](upstream_crash const& c) { return c.id == id; });
    return it == e.crashes.end() ? nullptr : &*it;
}

// Whether the crash counts against those of the entry.
bool is_suspected_of(upstream_crash const& c, crash_entry const& it)
{
    return it.has_begun || !c.has_begun;
}

// Adds a crash of `request`, with the answers since the one before.
void add_crash(
    std::vector<crash_entry>& entries, crash_entry const& added,
    std::uint32_t& survivals)
{
    auto const known = std::find_if(
        entries.begin(), entries.end(),
        [&](crash_entry const& c) { return c.crash == added.crash; });
    if (known == entries.end())
    {
        entries.push_back(added);
        entries.back().survivals = std::exchange(survivals, 0);
        return;
    }
    bool const is_stronger = added.has_begun && !known->has_begun;
    bool const is_equal = added.has_begun == known->has_begun;
    if (is_stronger || (is_equal && added.request < known->request))
        known->request = added.request;
    known->has_begun = known->has_begun || added.has_begun;
}

void add_part_crash(
    crash_evidence& e, std::uint64_t part, crash_entry const& added,
    std::size_t position)
{
    auto const [it, is_new] = e.parts.try_emplace(part);
    part_record& r = it->second;
    if (is_new)
        r.was_answered =
            e.recent_parts.contains(part) || e.earlier_parts.contains(part);
    r.position = std::max(r.position, position);
    add_crash(r.crashes, added, r.survivals);
}

// Removes the crash from the record of a part. Returns whether none is left.
bool remove_part_crash(part_record& r, std::uint64_t crash)
{
    auto const it = std::find_if(
        r.crashes.begin(), r.crashes.end(),
        [&](crash_entry const& c) { return c.crash == crash; });
    if (it == r.crashes.end())
        return r.crashes.empty();
    auto const next = std::next(it);
    (next == r.crashes.end() ? r.survivals : next->survivals) += it->survivals;
    r.crashes.erase(it);
    return r.crashes.empty();
}

void drop_oldest_crash(crash_evidence& e)
{
    upstream_crash const c = std::move(e.crashes.front());
    e.crashes.pop_front();
    e.has_changed = true;
    for (auto const& [t, has_begun] : c.suspects)
    {
        for (std::uint64_t const part : t.parts)
        {
            auto const it = e.parts.find(part);
            if (it != e.parts.end() && remove_part_crash(it->second, c.id))
                e.parts.erase(it);
        }
        auto const r = e.requests.find(t.request);
        if (r == e.requests.end())
            continue;
        std::erase_if(
            r->second.crashes, [&](crash_entry const& it)
            { return it.crash == c.id && !is_suspected_of(c, it); });
        if (r->second.crashes.empty())
            e.requests.erase(r);
    }
}

// Whether the crash counts against its request. Of those whose records were
// dropped, the entries that count are left.
bool counts(crash_evidence const& e, crash_entry const& it)
{
    upstream_crash const* const crash = find_crash(e, it.crash);
    return crash == nullptr || is_suspected_of(*crash, it);
}

std::size_t count_crashes(crash_evidence const& e, request_record const& r)
{
    return static_cast<std::size_t>(std::count_if(
        r.crashes.begin(), r.crashes.end(),
        [&](crash_entry const& it) { return counts(e, it); }));
}

// Drops a record to make room for another: the oldest of a request that is not
// refused, or the oldest of all.
void drop_request_record(crash_evidence& e)
{
    auto const order = [](auto const& it)
    {
        return std::pair(
            it.second.crashes.size() >= crash_limit, it.second.latest);
    };
    e.requests.erase(std::min_element(
        e.requests.begin(), e.requests.end(),
        [&](auto const& a, auto const& b) { return order(a) < order(b); }));
}

void add_request_crash(
    crash_evidence& e, std::uint64_t request, crash_entry const& added,
    steady_time at)
{
    if (e.requests.size() >= max_request_records &&
        !e.requests.contains(request))
        drop_request_record(e);
    request_record& r = e.requests[request];
    std::uint32_t unused = 0;
    add_crash(r.crashes, added, unused);
    r.latest = std::max(r.latest, at);
}

std::size_t crashes_of(crash_evidence const& e, std::uint64_t request)
{
    auto const it = e.requests.find(request);
    return it == e.requests.end() ? 0 : count_crashes(e, it->second);
}

// Whether a dropped answer may have crashed the upstream at `crashed`.
bool is_near(crash_suspicion const& it, steady_time crashed)
{
    return it.at - crashed <= crash_time_error &&
           crashed - it.at <= dropped_answer_window;
}

// Takes the suspicions of one crash, which happened at `crashed` if it is known
// from elsewhere.
template <class Is>
std::vector<crash_suspicion> take_suspicions(
    crash_evidence& e, std::optional<steady_time> crashed, steady_time now,
    Is is_of_crash)
{
    std::vector<crash_suspicion> taken;
    for (crash_suspicion const& it : e.suspicions)
    {
        if (!is_of_crash(it) || it.was_dropped ||
            now - it.at > crash_suspicion_ttl)
            continue;
        crashed = crashed ? std::min(*crashed, it.at) : it.at;
        taken.push_back(it);
    }
    for (crash_suspicion const& it : e.suspicions)
    {
        if (!is_of_crash(it) || !it.was_dropped)
            continue;
        if (crashed ? is_near(it, *crashed)
                    : now - it.at <= dropped_suspicion_ttl)
            taken.push_back(it);
    }
    std::erase_if(e.suspicions, is_of_crash);
    return taken;
}

// Records confirmed suspicions, which are of one crash at most for each
// incarnation, and queues them for the other gateways.
void record_confirmed(
    crash_evidence& e, std::span<crash_suspicion const> confirmed)
{
    for (crash_suspicion const& it : confirmed)
    {
        std::uint64_t const id = crash_id(it.upstream, it.upstream_started_ms);
        record_crash(e, id, it.at, {&it.suspect, 1});
        auto const known = std::find_if(
            e.unreported_crashes.begin(), e.unreported_crashes.end(),
            [&](upstream_crash const& c) { return c.id == id; });
        if (known == e.unreported_crashes.end())
            e.unreported_crashes.push_back({id, it.at, {it.suspect}, false});
        else
            known->suspects.push_back(it.suspect);
    }
}

// The crashes, grouped by what may be one cause.
class crash_groups
{
public:
    explicit crash_groups(std::deque<upstream_crash> const& crashes)
    {
        std::vector<upstream_crash const*> all;
        all.reserve(crashes.size());
        for (upstream_crash const& it : crashes)
            all.push_back(&it);
        std::sort(
            all.begin(), all.end(),
            [](auto const* a, auto const* b)
            { return std::tie(a->at, a->id) < std::tie(b->at, b->id); });
        std::optional<steady_time> start;
        std::size_t group = 0;
        for (upstream_crash const* it : all)
        {
            if (start && it->at - *start > common_cause_window)
                ++group;
            if (!start || group != last_)
                start = it->at;
            last_ = group;
            by_id_[it->id] = {group, it};
        }
    }

    std::size_t group_of(std::uint64_t crash) const
    {
        return by_id_.at(crash).group;
    }
    upstream_crash const& crash(std::uint64_t id) const
    {
        return *by_id_.at(id).crash;
    }

private:
    struct grouped
    {
        std::size_t group = 0;
        upstream_crash const* crash = nullptr;
    };
    std::unordered_map<std::uint64_t, grouped> by_id_;
    std::size_t last_ = 0;
};

// The evidence against a part that no guilty part explains.
struct part_judgement
{
    double score = 0;
    std::size_t in_a_row = 0;           // groups of crashes since an answer
    std::size_t explained = 0;          // crashes since an answer
    std::vector<std::uint64_t> crashes; // unexplained, since the score was 0
    std::set<std::uint64_t> requests;   // in them

    void add_survivals(std::uint32_t n)
    {
        if (n == 0)
            return;
        in_a_row = 0;
        explained = 0;
        score = std::max(0.0, score - n * survival_score);
        if (score != 0)
            return;
        crashes.clear();
        requests.clear();
    }
};

part_judgement judge_part(
    part_record const& r, crash_groups const& groups,
    std::set<std::uint64_t> const& explained, double crash_score)
{
    part_judgement j;
    std::set<std::size_t> counted;
    for (crash_entry const& it : r.crashes)
    {
        j.add_survivals(it.survivals);
        if (!is_suspected_of(groups.crash(it.crash), it))
            continue;
        if (explained.contains(it.crash))
        {
            ++j.explained;
            continue;
        }
        j.crashes.push_back(it.crash);
        if (!counted.insert(groups.group_of(it.crash)).second)
            continue;
        if (j.requests.insert(it.request).second)
            j.score += crash_score;
        ++j.in_a_row;
    }
    j.add_survivals(r.survivals);
    return j;
}

struct blamed_requests
{
    std::set<std::uint64_t> requests;
    std::set<std::uint64_t> organisations;
};

blamed_requests blamed_for(
    std::uint64_t part, part_judgement const& j, crash_groups const& groups)
{
    blamed_requests b;
    for (std::uint64_t const id : j.crashes)
    {
        upstream_crash const& c = groups.crash(id);
        for (auto const& [t, has_begun] : c.suspects)
        {
            if (!has_part(t, part) || (c.has_begun && !has_begun))
                continue;
            b.requests.insert(t.request);
            b.organisations.insert(t.organisation);
        }
    }
    return b;
}

bool is_guilty(part_judgement const& j, std::size_t requests)
{
    if (j.explained >= min_companion_crashes && j.in_a_row > 0)
        return j.score >= companion_conviction_score;
    bool const has_several =
        requests >= 2 && j.in_a_row >= crashes_until_suspected;
    return has_several &&
           (j.score >= conviction_score || j.in_a_row >= crashes_until_guilty);
}

} // namespace

std::uint64_t request_fingerprint(request_contents const& r)
{
    std::uint64_t h = hash64(r.body, hash64(r.organisation, hash64(r.target)));
    for (std::string_view const it : r.prompt)
        h = hash64(it, h);
    return h;
}

std::uint64_t part_key(std::string_view id)
{
    return std::max<std::uint64_t>(hash64(id), 1);
}

std::uint64_t crash_id(std::string_view upstream, std::int64_t started_ms)
{
    return hash64(upstream, static_cast<std::uint64_t>(started_ms));
}

void record_suspicion(crash_evidence& e, crash_suspicion&& s)
{
    std::erase_if(
        e.suspicions,
        [&](crash_suspicion const& it)
        {
            return s.at - it.at > (it.was_dropped ? dropped_suspicion_ttl
                                                  : crash_suspicion_ttl);
        });
    if (e.suspicions.size() >= max_suspicions)
        e.suspicions.erase(e.suspicions.begin());
    e.suspicions.push_back(std::move(s));
}

void record_sign_of_life(
    crash_evidence& e, std::string_view upstream, std::int64_t started_ms,
    steady_time now)
{
    std::erase_if(
        e.suspicions,
        [&](crash_suspicion const& it)
        {
            return now - it.at > read_delay && !it.was_dropped &&
                   it.upstream_started_ms == started_ms &&
                   it.upstream == upstream;
        });
}

void record_accepted_connection(
    crash_evidence& e, std::string_view upstream, std::int64_t started_ms,
    steady_time begun)
{
    std::erase_if(
        e.suspicions,
        [&](crash_suspicion const& it)
        {
            return it.at <= begun && !it.was_dropped &&
                   it.upstream_started_ms == started_ms &&
                   it.upstream == upstream;
        });
}

std::vector<crash_suspicion>
confirm_crash(crash_evidence& e, std::string_view upstream, steady_time now)
{
    std::vector<crash_suspicion> confirmed = take_suspicions(
        e, std::nullopt, now,
        [&](crash_suspicion const& it) { return it.upstream == upstream; });
    record_confirmed(e, confirmed);
    return confirmed;
}

std::vector<crash_suspicion>
confirm_crash(crash_evidence& e, std::uint64_t crash, steady_time now)
{
    upstream_crash const* const known = find_crash(e, crash);
    std::vector<crash_suspicion> confirmed = take_suspicions(
        e, known == nullptr ? std::nullopt : std::optional(known->at), now,
        [&](crash_suspicion const& it)
        { return crash_id(it.upstream, it.upstream_started_ms) == crash; });
    record_confirmed(e, confirmed);
    return confirmed;
}

void record_crash(
    crash_evidence& e, std::uint64_t crash, steady_time at,
    std::span<crash_suspect const> suspects)
{
    upstream_crash* c = find_crash(e, crash);
    if (c == nullptr)
    {
        if (e.crashes.size() >= max_crash_records)
            drop_oldest_crash(e);
        c = &e.crashes.emplace_back(upstream_crash{.id = crash, .at = at});
    }
    c->at = std::min(c->at, at);
    for (crash_suspect const& it : suspects)
    {
        request_traits const& t = it.traits;
        bool const is_known = std::any_of(
            c->suspects.begin(), c->suspects.end(),
            [&](crash_suspect const& s)
            { return s.traits.request == t.request; });
        if (is_known || c->suspects.size() >= max_suspects)
            continue;
        e.has_changed = true;
        c->suspects.push_back(it);
        c->has_begun = c->has_begun || it.has_begun;
        crash_entry const added{
            .crash = crash, .has_begun = it.has_begun, .request = t.request};
        add_request_crash(e, t.request, added, at);
        std::size_t const n = std::min(t.parts.size(), max_judged_parts);
        for (std::size_t i = 0; i < n; ++i)
            add_part_crash(e, t.parts[i], added, i);
    }
    while (e.parts.size() > max_part_records && e.crashes.size() > 1)
        drop_oldest_crash(e);
}

void record_survival(
    crash_evidence& e, request_traits const& traits, steady_time now)
{
    e.answered.add(now);
    e.requests.erase(traits.request);
    bool const is_period_over = now - e.recent_since > recent_answer_period ||
                                e.recent_parts.size() >= max_recent_parts;
    if (is_period_over)
    {
        e.earlier_parts = std::exchange(e.recent_parts, {});
        e.recent_since = now;
    }
    e.recent_parts.insert(traits.parts.begin(), traits.parts.end());
    for (std::uint64_t const part : traits.parts)
    {
        auto const it = e.parts.find(part);
        if (it == e.parts.end())
            continue;
        ++it->second.survivals;
        ++e.unreported_survivals[part];
        e.has_changed = true;
    }
}

void record_reported_survivals(
    crash_evidence& e, std::uint64_t part, std::uint32_t n)
{
    auto const it = e.parts.find(part);
    if (it == e.parts.end())
        return;
    it->second.survivals += n;
    e.has_changed = true;
}

bool may_repeat(crash_evidence const& e, request_traits const& traits)
{
    return crashes_of(e, traits.request) < crashes_without_repeat;
}

bool reaches_crash_limit(crash_evidence const& e, std::uint64_t request)
{
    return crashes_of(e, request) >= crash_limit;
}

std::vector<refused_request>
refused_requests(crash_evidence const& e, std::size_t max)
{
    std::vector<refused_request> all;
    for (auto const& [request, r] : e.requests)
    {
        if (count_crashes(e, r) < crash_limit)
            continue;
        refused_request& added =
            all.emplace_back(refused_request{.request = request});
        added.latest = r.latest;
        for (crash_entry const& it : r.crashes)
        {
            if (counts(e, it) && added.crashes.size() < crash_limit)
                added.crashes.push_back(it.crash);
        }
    }
    std::sort(
        all.begin(), all.end(),
        [](refused_request const& a, refused_request const& b)
        { return a.latest > b.latest; });
    all.resize(std::min(all.size(), max));
    return all;
}

void record_refused_request(crash_evidence& e, refused_request const& r)
{
    for (std::uint64_t const it : r.crashes)
        add_request_crash(
            e, r.request,
            {.crash = it, .has_begun = true, .request = r.request}, r.latest);
}

void forget_part(crash_evidence& e, std::uint64_t part)
{
    e.parts.erase(part);
    e.unreported_survivals.erase(part);
    for (upstream_crash& c : e.crashes)
    {
        for (crash_suspect& it : c.suspects)
            std::erase(it.traits.parts, part);
    }
    e.has_changed = true;
}

void expire_crashes(crash_evidence& e, steady_time now)
{
    while (!e.crashes.empty() && now - e.crashes.front().at > crash_record_ttl)
        drop_oldest_crash(e);
    std::erase_if(
        e.requests, [&](auto const& it)
        { return now - it.second.latest > crash_record_ttl; });
}

crash_baseline
baseline_of(crash_evidence& e, std::size_t gateways, steady_time now)
{
    crash_baseline b;
    duration time = min_crash_share_time;
    for (upstream_crash const& c : e.crashes)
    {
        if (now - c.at > crash_share_window)
            continue;
        time = std::max(time, now - c.at);
        for (auto const& [t, has_begun] : c.suspects)
        {
            if (c.has_begun && !has_begun)
                continue;
            ++b.lost;
            for (std::uint64_t const part : t.parts)
                ++b.lost_with[part];
        }
    }
    b.answered = static_cast<double>(e.answered.count(now) * gateways) *
                 to_seconds(time) / to_seconds(crash_share_window);
    return b;
}

double crash_share(crash_baseline const& b, std::uint64_t part)
{
    auto const own = b.lost_with.find(part);
    double const lost =
        b.lost - (own == b.lost_with.end() ? 0 : own->second) + 1;
    return std::clamp(
        lost / (lost + b.answered), min_crash_share, max_crash_share);
}

part_findings
judge_parts(crash_evidence const& e, crash_baseline const& b, steady_time now)
{
    part_findings found;
    crash_groups const groups(e.crashes);
    std::set<std::uint64_t> explained;
    auto const judge = [&](std::uint64_t part, part_record const& r)
    {
        double const crash_score = -std::log(crash_share(b, part));
        return judge_part(r, groups, explained, crash_score);
    };
    std::set<std::uint64_t> convicted;
    for (;;)
    {
        std::optional<part_finding> worst;
        std::size_t worst_position = 0;
        for (auto const& [part, r] : e.parts)
        {
            if (r.crashes.size() < crashes_until_suspected ||
                convicted.contains(part))
                continue;
            part_judgement const j = judge(part, r);
            bool const may_be_worst =
                j.score > 0 &&
                (!worst ||
                 std::tie(j.score, r.position, part) >
                     std::tie(worst->score, worst_position, worst->part));
            if (!may_be_worst)
                continue;
            bool const awaits_answers =
                r.was_answered &&
                now - groups.crash(j.crashes.front()).at < answered_part_delay;
            if (awaits_answers)
                continue;
            blamed_requests const blamed = blamed_for(part, j, groups);
            if (!is_guilty(j, blamed.requests.size()))
                continue;
            worst = part_finding{
                .part = part,
                .organisation = blamed.organisations.size() == 1
                                    ? *blamed.organisations.begin()
                                    : 0,
                .crashes = j.crashes.size(),
                .requests = blamed.requests.size(),
                .score = j.score};
            worst_position = r.position;
        }
        if (!worst)
            break;
        convicted.insert(worst->part);
        for (crash_entry const& it : e.parts.at(worst->part).crashes)
        {
            if (is_suspected_of(groups.crash(it.crash), it))
                explained.insert(it.crash);
        }
        found.guilty.push_back(*worst);
    }
    for (auto const& [part, r] : e.parts)
    {
        if (convicted.contains(part))
            continue;
        part_judgement const j = judge(part, r);
        if (j.in_a_row >= crashes_until_suspected)
            found.suspected.push_back(part);
        else if (j.score == 0)
            (j.explained > 0 ? found.explained : found.answered)
                .push_back(part);
    }
    return found;
}

} // namespace marjorambeam
