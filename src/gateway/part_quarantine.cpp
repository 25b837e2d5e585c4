#include "gateway/part_quarantine.hpp"

#include "base/id.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace marjorambeam
{
namespace
{

using std::chrono::milliseconds;

constexpr double trial_backoff = 10;

std::int64_t to_ms(duration d)
{
    return std::chrono::duration_cast<milliseconds>(d).count();
}

std::int64_t trial_delay_ms(std::uint32_t trials)
{
    double const factor = std::pow(trial_backoff, trials);
    return static_cast<std::int64_t>(
        static_cast<double>(to_ms(first_trial_after)) * factor);
}

bool is_listed(std::vector<std::uint64_t> const& parts, std::uint64_t part)
{
    return std::find(parts.begin(), parts.end(), part) != parts.end();
}

void drop_oldest(part_quarantine& q)
{
    auto const oldest = std::min_element(
        q.entries.begin(), q.entries.end(),
        [](auto const& a, auto const& b)
        { return a.second.since < b.second.since; });
    if (oldest != q.entries.end())
        q.entries.erase(oldest);
}

quarantine_entry&
insert(part_quarantine& q, quarantine_key const& key, steady_time now)
{
    if (q.entries.size() >= max_quarantine_entries)
        drop_oldest(q);
    quarantine_entry& e = q.entries[key];
    e.document.key = key;
    e.since = now;
    return e;
}

// An entry for one organisation stands even if others' requests with the part
// are answered: its own requests crash upstreams.
bool is_cleared(quarantine_entry const& it, part_findings const& found)
{
    std::uint64_t const part = it.document.key.part;
    return it.document.trials == 0 && (is_listed(found.explained, part) ||
                                       (it.document.key.organisation == 0 &&
                                        is_listed(found.answered, part)));
}

} // namespace

quarantine_changes apply_findings(
    part_quarantine& q, part_findings const& found, steady_time now,
    std::int64_t unix_ms)
{
    quarantine_changes c;
    q.suspected = found.suspected;
    std::sort(q.suspected.begin(), q.suspected.end());
    for (part_finding const& it : found.guilty)
    {
        quarantine_key const key{it.part, it.organisation};
        if (q.entries.contains({it.part, 0}) || q.entries.contains(key))
            continue;
        quarantine_entry& e = insert(q, key, now);
        e.finding = it;
        e.document.since_unix_ms = unix_ms;
        e.document.next_trial_unix_ms = unix_ms + trial_delay_ms(0);
        c.added.push_back(key);
    }
    for (auto it = q.entries.begin(); it != q.entries.end();)
    {
        bool const is_clear = is_cleared(it->second, found);
        if (is_clear && it->second.is_stored)
            c.cleared.push_back(it->second);
        else if (is_clear)
            c.withdrawn.push_back(it->second);
        it = is_clear && !it->second.is_stored ? q.entries.erase(it)
                                               : std::next(it);
    }
    return c;
}

quarantine_entry const*
find_quarantine(part_quarantine const& q, request_traits const& traits)
{
    if (q.entries.empty())
        return nullptr;
    for (std::uint64_t const part : traits.parts)
    {
        for (std::uint64_t const organisation :
             {std::uint64_t{0}, traits.organisation})
        {
            auto const it = q.entries.find({part, organisation});
            if (it != q.entries.end())
                return &it->second;
        }
    }
    return nullptr;
}

bool has_suspected_part(part_quarantine const& q, request_traits const& traits)
{
    return std::any_of(
        traits.parts.begin(), traits.parts.end(),
        [&](std::uint64_t it) {
            return std::binary_search(
                q.suspected.begin(), q.suspected.end(), it);
        });
}

bool apply_stored(
    part_quarantine& q, stored_quarantine const& s, std::uint64_t revision,
    steady_time now)
{
    bool const is_new = !q.entries.contains(s.key);
    quarantine_entry& e = is_new ? insert(q, s.key, now) : q.entries[s.key];
    // After a trial, another one takes a further version or the time.
    if (s.trials != e.document.trials)
        e.version.clear();
    // An older copy of the store has forgotten trials that were made.
    stored_quarantine const known = std::exchange(e.document, s);
    if (!is_new && known.trials > s.trials)
    {
        e.document.trials = known.trials;
        e.document.next_trial_unix_ms = known.next_trial_unix_ms;
    }
    e.is_stored = true;
    e.revision = revision;
    return is_new;
}

bool remove_stored(part_quarantine& q, quarantine_key const& key)
{
    return q.entries.erase(key) > 0;
}

bool is_trial_due(
    quarantine_entry const& it, std::int64_t unix_ms, std::string_view version)
{
    stored_quarantine const& d = it.document;
    if (!it.is_stored || d.trials >= max_trials || it.trial_until)
        return false;
    bool const has_other_version =
        !version.empty() && !it.version.empty() && version != it.version;
    return unix_ms >= d.next_trial_unix_ms || has_other_version;
}

stored_quarantine claim_trial(quarantine_entry const& it, std::int64_t unix_ms)
{
    stored_quarantine s = it.document;
    ++s.trials;
    s.next_trial_unix_ms = unix_ms + trial_delay_ms(s.trials);
    return s;
}

bool take_trial(part_quarantine& q, quarantine_key const& key, steady_time now)
{
    auto const it = q.entries.find(key);
    if (it == q.entries.end() || !it->second.trial_until)
        return false;
    bool const is_in_time = now < *it->second.trial_until;
    it->second.trial_until.reset();
    return is_in_time;
}

duration
quarantine_retry_after(quarantine_entry const& it, std::int64_t unix_ms)
{
    if (it.document.trials >= max_trials)
        return max_quarantine_retry;
    return std::clamp<duration>(
        milliseconds(it.document.next_trial_unix_ms - unix_ms),
        min_quarantine_retry, max_quarantine_retry);
}

std::string name_of(quarantine_key const& key)
{
    std::string name = to_hex(key.part);
    if (key.organisation != 0)
        name.append("-").append(to_hex(key.organisation));
    return name;
}

} // namespace marjorambeam
