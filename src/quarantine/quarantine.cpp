#include "quarantine/quarantine.hpp"

#include "wire/value.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace marjorambeam
{
namespace
{

std::int64_t to_ms(duration d)
{
    return std::chrono::ceil<std::chrono::milliseconds>(d).count();
}

} // namespace

std::string encode_crash_report(crash_report const& r)
{
    return encode_value(r);
}

result<crash_report> decode_crash_report(std::string_view body)
{
    result<crash_report> r = decode_value<crash_report>(body);
    bool const is_whole =
        r && r->standing <= crash_standing::cleared && r->remaining_ms >= 0;
    if (!is_whole)
        return fail(error_kind::frame_corrupt, "crash_report is damaged");
    return r;
}

quarantine_table::quarantine_table(quarantine_limits limits)
    : limits_(limits)
{
}

quarantine_table::row*
quarantine_table::find(std::uint64_t fingerprint, steady_time now)
{
    auto const found = by_fingerprint_.find(fingerprint);
    if (found == by_fingerprint_.end())
        return nullptr;
    if (now < found->second->until)
        return &*found->second;
    erase(fingerprint);
    return nullptr;
}

void quarantine_table::erase(std::uint64_t fingerprint)
{
    auto const found = by_fingerprint_.find(fingerprint);
    if (found == by_fingerprint_.end())
        return;
    rows_.erase(found->second);
    by_fingerprint_.erase(found);
}

void quarantine_table::make_room()
{
    if (by_fingerprint_.size() < limits_.fingerprints)
        return;
    auto const suspect = std::find_if(
        rows_.rbegin(), rows_.rend(),
        [](row const& it) { return it.standing == crash_standing::suspect; });
    erase(
        suspect == rows_.rend() ? rows_.back().fingerprint
                                : suspect->fingerprint);
}

void quarantine_table::put(
    std::uint64_t fingerprint, crash_standing standing, steady_time until)
{
    erase(fingerprint);
    make_room();
    rows_.push_front({fingerprint, standing, until});
    by_fingerprint_[fingerprint] = rows_.begin();
}

run_permission
quarantine_table::judge(std::uint64_t fingerprint, steady_time now)
{
    row const* it = find(fingerprint, now);
    if (it == nullptr)
        return {};
    if (it->standing == crash_standing::suspect)
        return {.run_alone = true};
    error e = make_error(
        error_kind::quarantined, "requests like this one crash upstreams");
    e.retry_after = it->until - now;
    return {.refusal = std::move(e)};
}

crash_report
quarantine_table::set_quarantined(std::uint64_t fingerprint, steady_time now)
{
    put(fingerprint, crash_standing::quarantined, now + limits_.quarantine);
    return {
        fingerprint, crash_standing::quarantined, to_ms(limits_.quarantine)};
}

std::vector<crash_report> quarantine_table::on_crash(
    std::span<std::uint64_t const> in_flight, bool was_alone, steady_time now)
{
    std::set<std::uint64_t> const all(in_flight.begin(), in_flight.end());
    std::vector<std::uint64_t> known;
    for (std::uint64_t const it : all)
    {
        row const* found = find(it, now);
        if (found != nullptr && found->standing == crash_standing::suspect)
            known.push_back(it);
    }
    if (was_alone && all.size() == 1)
        return {set_quarantined(*all.begin(), now)};
    if (known.size() == 1)
        return {set_quarantined(known[0], now)};
    // Each of several suspects runs alone next, which tells them apart.
    if (!known.empty())
        return {};
    std::vector<crash_report> reports;
    for (std::uint64_t const it : all)
    {
        if (find(it, now) != nullptr)
            continue; // quarantined since it was sent
        put(it, crash_standing::suspect, now + limits_.suspicion);
        reports.push_back({it, crash_standing::suspect, 0});
    }
    return reports;
}

std::optional<crash_report>
quarantine_table::on_finished(std::uint64_t fingerprint)
{
    auto const found = by_fingerprint_.find(fingerprint);
    bool const is_suspect = found != by_fingerprint_.end() &&
                            found->second->standing == crash_standing::suspect;
    if (!is_suspect)
        return std::nullopt;
    erase(fingerprint);
    return crash_report{fingerprint, crash_standing::cleared, 0};
}

void quarantine_table::merge(crash_report const& r, steady_time now)
{
    row const* known = find(r.fingerprint, now);
    bool const is_quarantined =
        known != nullptr && known->standing == crash_standing::quarantined;
    switch (r.standing)
    {
    case crash_standing::cleared:
        (void)on_finished(r.fingerprint);
        break;
    case crash_standing::suspect:
        if (known == nullptr)
            put(r.fingerprint, crash_standing::suspect,
                now + limits_.suspicion);
        break;
    case crash_standing::quarantined:
    {
        // A damaged or hostile report can't hold a request back for longer.
        duration const left = std::min<duration>(
            std::chrono::milliseconds(
                std::min(r.remaining_ms, to_ms(limits_.quarantine))),
            limits_.quarantine);
        if (!is_quarantined || now + left > known->until)
            put(r.fingerprint, crash_standing::quarantined, now + left);
        break;
    }
    }
}

std::size_t quarantine_table::suspects() const
{
    return rows_.size() - quarantined();
}

std::size_t quarantine_table::quarantined() const
{
    return static_cast<std::size_t>(std::count_if(
        rows_.begin(), rows_.end(),
        [](row const& it)
        { return it.standing == crash_standing::quarantined; }));
}

} // namespace marjorambeam
