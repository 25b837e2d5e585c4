#include "gateway/upstream_notice.hpp"

#include <algorithm>
#include <limits>

namespace marjorambeam
{
namespace
{

constexpr std::uint64_t spread_steps = 1000;

// Returns null for an earlier incarnation than the known one.
upstream_notice* find_or_add_notice(
    upstream_notices& all, std::string_view id, std::int64_t started_unix_ms,
    steady_time now)
{
    auto it = all.find(id);
    if (it == all.end())
    {
        if (all.size() >= max_notices)
            all.erase(std::min_element(
                all.begin(), all.end(),
                [](auto const& a, auto const& b)
                { return a.second.updated_at < b.second.updated_at; }));
        it = all.emplace(std::string(id), upstream_notice{}).first;
    }
    upstream_notice& n = it->second;
    if (started_unix_ms < n.started_unix_ms)
        return nullptr;
    if (n.started_unix_ms != started_unix_ms)
        n = {.started_unix_ms = started_unix_ms};
    n.updated_at = now;
    return &n;
}

} // namespace

upstream_notice const* find_notice(
    upstream_notices const& all, std::string_view id,
    std::int64_t started_unix_ms)
{
    if (all.empty())
        return nullptr;
    auto const it = all.find(id);
    bool const is_found =
        it != all.end() && it->second.started_unix_ms == started_unix_ms;
    return is_found ? &it->second : nullptr;
}

bool record_draining(
    upstream_notices& all, std::string_view id, std::int64_t started_unix_ms,
    steady_time now)
{
    upstream_notice* const n =
        find_or_add_notice(all, id, started_unix_ms, now);
    if (n == nullptr || n->is_draining)
        return false;
    n->is_draining = true;
    return true;
}

bool record_pause(
    upstream_notices& all, std::string_view id, std::int64_t started_unix_ms,
    duration pause, std::uint64_t hash, steady_time now)
{
    upstream_notice* const n =
        find_or_add_notice(all, id, started_unix_ms, now);
    if (n == nullptr || now + pause <= n->paused_until)
        return false;
    n->paused_until = now + pause;
    n->resumes_at =
        n->paused_until + resume_spread *
                              static_cast<duration::rep>(hash % spread_steps) /
                              static_cast<duration::rep>(spread_steps);
    return true;
}

known_limit const* record_limit(
    upstream_notices& all, std::string_view id, std::int64_t started_unix_ms,
    std::optional<double> per_second, steady_time sent, steady_time now)
{
    // Most upstreams never name a limit and need no notice.
    if (!per_second && find_notice(all, id, started_unix_ms) == nullptr)
        return nullptr;
    upstream_notice* const n =
        find_or_add_notice(all, id, started_unix_ms, now);
    if (n == nullptr || !record_response_limit(n->limit, per_second, sent, now))
        return nullptr;
    return &n->limit;
}

bool merge_limit(
    upstream_notices& all, std::string_view id, std::int64_t started_unix_ms,
    known_limit const& peer, steady_time now)
{
    upstream_notice* const n =
        find_or_add_notice(all, id, started_unix_ms, now);
    return n != nullptr && merge_known_limit(n->limit, peer, now);
}

limit_gate const* gate_of(upstream_notice const* n)
{
    return n != nullptr && n->limit.per_second ? &n->gate : nullptr;
}

std::uint32_t
allowed_requests(upstream_notice const& n, std::uint32_t slots, steady_time now)
{
    if (now < n.resumes_at)
        return 0;
    duration const since = now - n.resumes_at;
    if (since >= resume_ramp)
        return std::numeric_limits<std::uint32_t>::max();
    return 1 + static_cast<std::uint32_t>(
                   slots * since.count() / resume_ramp.count());
}

} // namespace marjorambeam
