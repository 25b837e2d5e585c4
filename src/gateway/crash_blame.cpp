#include "gateway/crash_blame.hpp"

#include "base/hash.hpp"

#include <algorithm>

namespace marjorambeam
{
namespace
{

void forget_oldest(crash_blame& b)
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

bool is_blamed(crash_blame& b, std::uint64_t fingerprint, steady_time now)
{
    auto const it = b.by_fingerprint.find(fingerprint);
    if (it == b.by_fingerprint.end())
        return false;
    if (now - it->second.last > blame_memory)
    {
        b.by_fingerprint.erase(it);
        return false;
    }
    return it->second.breaks.size() >= blamed_breaks;
}

void suspect(crash_blame& b, suspicion const& s)
{
    std::erase_if(
        b.suspicions,
        [&](suspicion const& it) { return s.at - it.at > suspicion_memory; });
    b.suspicions.push_back(s);
}

void confirm_crash(crash_blame& b, std::string_view upstream, steady_time now)
{
    for (suspicion const& it : b.suspicions)
    {
        if (it.upstream != upstream || now - it.at > suspicion_memory)
            continue;
        std::string const name =
            it.upstream + "/" + std::to_string(it.upstream_started_ms);
        if (note_break(b, it.fingerprint, name, now))
            b.to_report.push_back({it.fingerprint, name});
    }
    std::erase_if(
        b.suspicions,
        [&](suspicion const& it) { return it.upstream == upstream; });
}

bool note_break(
    crash_blame& b, std::uint64_t fingerprint, std::string_view upstream,
    steady_time now)
{
    if (b.by_fingerprint.size() >= blame_capacity &&
        !b.by_fingerprint.contains(fingerprint))
        forget_oldest(b);
    break_record& r = b.by_fingerprint[fingerprint];
    r.last = now;
    return r.breaks.emplace(upstream).second;
}

bool note_whole(crash_blame& b, std::uint64_t fingerprint)
{
    return b.by_fingerprint.erase(fingerprint) > 0;
}

} // namespace marjorambeam
