#include "gateway/crash_attribution.hpp"

#include "base/hash.hpp"

#include <algorithm>

namespace marjorambeam
{
namespace
{

void evict_oldest(crash_attribution& b)
{
    auto const oldest = std::min_element(
        b.by_fingerprint.begin(), b.by_fingerprint.end(),
        [](auto const& x, auto const& y)
        { return x.second.last < y.second.last; });
    if (oldest != b.by_fingerprint.end())
        b.by_fingerprint.erase(oldest);
}

} // namespace

std::uint64_t request_fingerprint(
    std::string_view target, std::string_view organisation,
    std::string_view body)
{
    return hash64(body, hash64(organisation, hash64(target)));
}

bool reaches_crash_limit(
    crash_attribution& b, std::uint64_t fingerprint, steady_time now)
{
    auto const it = b.by_fingerprint.find(fingerprint);
    if (it == b.by_fingerprint.end())
        return false;
    if (now - it->second.last > crash_record_ttl)
    {
        b.by_fingerprint.erase(it);
        return false;
    }
    return it->second.crashes.size() >= crash_limit;
}

void record_suspicion(crash_attribution& b, crash_suspicion const& s)
{
    std::erase_if(
        b.suspicions, [&](crash_suspicion const& it)
        { return s.at - it.at > crash_suspicion_ttl; });
    b.suspicions.push_back(s);
}

void confirm_crash(
    crash_attribution& b, std::string_view upstream, steady_time now)
{
    for (crash_suspicion const& it : b.suspicions)
    {
        if (it.upstream != upstream || now - it.at > crash_suspicion_ttl)
            continue;
        std::string const name =
            it.upstream + "/" + std::to_string(it.upstream_started_ms);
        if (record_crash(b, it.fingerprint, name, now))
            b.to_report.push_back(
                {it.fingerprint, name, it.request_id, it.parts, it.events});
    }
    std::erase_if(
        b.suspicions,
        [&](crash_suspicion const& it) { return it.upstream == upstream; });
}

bool record_crash(
    crash_attribution& b, std::uint64_t fingerprint, std::string_view upstream,
    steady_time now)
{
    if (b.by_fingerprint.size() >= max_crash_records &&
        !b.by_fingerprint.contains(fingerprint))
        evict_oldest(b);
    crash_record& r = b.by_fingerprint[fingerprint];
    r.last = now;
    return r.crashes.emplace(upstream).second;
}

bool record_complete_response(crash_attribution& b, std::uint64_t fingerprint)
{
    return b.by_fingerprint.erase(fingerprint) > 0;
}

} // namespace marjorambeam
