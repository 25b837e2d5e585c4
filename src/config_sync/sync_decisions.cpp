#include "config_sync/sync_decisions.hpp"

#include <algorithm>

namespace marjorambeam
{
namespace
{

bool is_reachable(peer const& p, membership_rules const& rules, steady_time now)
{
    return !p.address.empty() &&
           condition_of(p, rules, now) != peer_condition::gone;
}

std::size_t
count_reachable(sync_view const& view, sync_rules const& rules, steady_time now)
{
    return static_cast<std::size_t>(std::count_if(
        view.peers.begin(), view.peers.end(),
        [&](auto const& it)
        { return is_reachable(it.second, rules.members, now); }));
}

bool failed_recently(
    sync_state const& s, std::string_view name, sync_rules const& rules,
    steady_time now)
{
    auto const it = s.failed_pulls.find(name);
    return it != s.failed_pulls.end() &&
           now - it->second < rules.retry_peer_after;
}

// Returns a random peer that is ahead or, during startup, has not yet
// responded.
std::string choose_pull_source(
    sync_state const& s, sync_view const& view, sync_rules const& rules,
    random_source& random, steady_time now)
{
    std::vector<std::string_view> names;
    for (auto const& [name, p] : view.peers)
    {
        bool const is_useful =
            p.generation > view.current ||
            (!s.has_config && s.responded_at_start.count(name) == 0);
        if (is_useful && name != view.self &&
            is_reachable(p, rules.members, now) &&
            !failed_recently(s, name, rules, now))
            names.push_back(name);
    }
    if (names.empty())
        return {};
    std::uniform_int_distribution<std::size_t> any(0, names.size() - 1);
    return std::string(names[any(random)]);
}

void update_behind(sync_state& s, sync_view const& view, steady_time now)
{
    s.newest_known = std::max(s.newest_known, view.current);
    if (s.newest_known == view.current)
        s.behind_since = steady_time{};
    else if (s.behind_since == steady_time{})
        s.behind_since = now;
}

void start_pull(
    sync_state& s, sync_view const& view, sync_rules const& rules,
    random_source& random, steady_time now, sync_step& step)
{
    bool const starts_without_store =
        !s.has_config &&
        (s.did_store_fail || now - s.started_at >= rules.first_read_retry);
    if (!s.pulling_from.empty() ||
        (s.newest_known <= view.current && !starts_without_store))
        return;
    s.pulling_from = choose_pull_source(s, view, rules, random, now);
    s.generation_at_pull = view.current;
    step.pull_from = s.pulling_from;
}

// Whether an announced generation could not be pulled from any peer and a read
// of the store is due.
bool is_behind_read_due(
    sync_state& s, sync_view const& view, sync_rules const& rules,
    steady_time now)
{
    constexpr unsigned max_doublings = 5;
    if (s.behind_since == steady_time{} ||
        s.generation_at_first_read != view.current)
    {
        s.behind_reads = 0;
        s.generation_at_first_read = view.current;
    }
    bool const is_behind = s.behind_since != steady_time{} &&
                           now - s.behind_since >= rules.behind_limit;
    duration const wait =
        rules.behind_limit * (1U << std::min(s.behind_reads, max_doublings));
    if (!is_behind || now - s.last_store_read < wait)
        return false;
    ++s.behind_reads;
    return true;
}

bool should_read_store(
    sync_state& s, sync_view const& view, sync_rules const& rules,
    random_source& random, bool is_digest_due, steady_time now)
{
    duration const since = now - s.last_store_read;
    if (!s.has_config)
        return since >= rules.first_read_retry;
    if (view.is_watcher)
        return false;
    bool const is_silent = now - std::max(s.last_peer_contact, s.started_at) >=
                           rules.silence_limit;
    if (is_silent && since >= rules.silence_limit)
        return true;
    if (is_behind_read_due(s, view, rules, now))
        return true;
    if (!is_digest_due ||
        now - std::max(s.last_fleet_store_contact, s.started_at) <
            rules.probe_after)
        return false;
    double const fleet =
        static_cast<double>(count_reachable(view, rules, now) + 1);
    double const probability =
        rules.probes_per_second * to_seconds(rules.digest_period) / fleet;
    return std::uniform_real_distribution<>(0, 1)(random) < probability;
}

void erase_older_than(
    std::map<std::string, steady_time, std::less<>>& times, duration limit,
    steady_time now)
{
    std::erase_if(
        times, [&](auto const& it) { return now - it.second >= limit; });
}

} // namespace

std::vector<std::string> choose_peers(
    sync_view const& view, std::size_t count, membership_rules const& rules,
    random_source& random, steady_time now)
{
    std::vector<std::string_view> names;
    for (auto const& [name, p] : view.peers)
    {
        if (name != view.self && is_reachable(p, rules, now))
            names.push_back(name);
    }
    std::vector<std::string> out;
    for (std::size_t i = 0; i < std::min(count, names.size()); ++i)
    {
        std::uniform_int_distribution<std::size_t> any(i, names.size() - 1);
        std::swap(names[i], names[any(random)]);
        out.emplace_back(names[i]);
    }
    return out;
}

sync_step on_announcement(
    sync_state& s, sync_view const& view, peer_announcement const& announcement,
    sync_rules const& rules, steady_time now)
{
    sync_step step;
    s.last_peer_contact = now;
    if (announcement.store_age >= duration{0})
    {
        s.last_fleet_store_contact =
            std::max(s.last_fleet_store_contact, now - announcement.store_age);
    }
    s.newest_known = std::max(s.newest_known, announcement.generation);
    update_behind(s, view, now);
    auto const peer = view.peers.find(announcement.from);
    bool const has_address =
        peer != view.peers.end() && !peer->second.address.empty();
    if (!has_address)
        return step;
    if (announcement.generation > view.current && s.pulling_from.empty())
    {
        step.pull_from = s.pulling_from = std::string(announcement.from);
        s.generation_at_pull = view.current;
    }
    if (announcement.generation >= view.current)
        return step;
    auto const last = s.notified.find(announcement.from);
    if (last != s.notified.end() && now - last->second < rules.digest_period)
        return step;
    s.notified.insert_or_assign(std::string(announcement.from), now);
    step.notify.emplace_back(announcement.from);
    return step;
}

sync_step on_generation_applied(
    sync_state& s, sync_view const& view, sync_rules const& rules,
    random_source& random, steady_time now)
{
    sync_step step;
    update_behind(s, view, now);
    step.notify =
        choose_peers(view, rules.announce_fanout, rules.members, random, now);
    return step;
}

sync_step on_pull_done(
    sync_state& s, sync_view const& view, bool ok, sync_rules const& rules,
    random_source& random, steady_time now)
{
    sync_step step;
    std::string const from = std::move(s.pulling_from);
    s.pulling_from.clear();
    s.consecutive_failures = ok ? 0 : s.consecutive_failures + 1;
    if (ok)
    {
        s.last_peer_contact = now;
        s.responded_at_start.emplace(from, now);
    }
    // A peer that responds without the generation that it announced is not
    // retried at once.
    auto const peer = view.peers.find(from);
    bool const has_made_no_progress = peer != view.peers.end() &&
                                      peer->second.generation > view.current &&
                                      view.current == s.generation_at_pull;
    if (!ok || has_made_no_progress)
        s.failed_pulls.insert_or_assign(from, now);
    update_behind(s, view, now);
    std::size_t const needed =
        std::min(rules.peers_at_start, count_reachable(view, rules, now));
    bool const have_enough_responded =
        needed > 0 && s.responded_at_start.size() >= needed;
    if (!s.has_config && have_enough_responded &&
        s.newest_known == view.current)
        s.has_config = true;
    start_pull(s, view, rules, random, now, step);
    return step;
}

duration pull_timeout(sync_state const& s, sync_rules const& rules)
{
    constexpr unsigned max_doublings = 10;
    auto const factor = 1U << std::min(s.consecutive_failures, max_doublings);
    return std::min(rules.pull_timeout * factor, rules.max_pull_timeout);
}

void on_store_done(sync_state& s, bool ok, steady_time now)
{
    s.did_store_fail = !ok;
    if (!ok)
        return;
    s.last_store_contact = now;
    s.last_fleet_store_contact = now;
    s.has_config = true;
}

sync_step on_tick(
    sync_state& s, sync_view const& view, sync_rules const& rules,
    random_source& random, steady_time now)
{
    sync_step step;
    update_behind(s, view, now);
    erase_older_than(s.failed_pulls, rules.retry_peer_after, now);
    erase_older_than(s.notified, rules.digest_period, now);
    bool const is_digest_due = now >= s.next_digest;
    if (is_digest_due)
    {
        s.next_digest = std::max(s.next_digest + rules.digest_period, now);
        step.notify =
            choose_peers(view, rules.digest_fanout, rules.members, random, now);
    }
    start_pull(s, view, rules, random, now, step);
    step.read_store =
        should_read_store(s, view, rules, random, is_digest_due, now);
    if (step.read_store)
        s.last_store_read = now;
    return step;
}

bool is_isolated(
    sync_state const& s, sync_view const& view, sync_rules const& rules,
    steady_time now)
{
    steady_time const last =
        std::max({s.started_at, s.last_peer_contact, s.last_store_contact});
    return is_isolated(!view.peers.empty(), last, rules.isolation_limit, now);
}

duration store_age(sync_state const& s, steady_time now)
{
    return s.last_fleet_store_contact == steady_time{}
               ? duration{-1}
               : now - s.last_fleet_store_contact;
}

} // namespace marjorambeam
