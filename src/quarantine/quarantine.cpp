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
    bool const is_valid =
        r && r->state <= fingerprint_state::cleared && r->remaining_ms >= 0;
    if (!is_valid)
        return fail(error_kind::frame_corrupt, "crash_report is damaged");
    return r;
}

quarantine_table::quarantine_table(quarantine_limits limits)
    : limits_(limits)
{
}

quarantine_table::entry_record*
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
    records_.erase(found->second);
    by_fingerprint_.erase(found);
}

void quarantine_table::evict_if_full()
{
    if (by_fingerprint_.size() < limits_.fingerprints)
        return;
    auto const suspect = std::find_if(
        records_.rbegin(), records_.rend(),
        [](entry_record const& it)
        { return it.state == fingerprint_state::suspect; });
    erase(
        suspect == records_.rend() ? records_.back().fingerprint
                                   : suspect->fingerprint);
}

void quarantine_table::insert_or_replace(
    std::uint64_t fingerprint, fingerprint_state state, steady_time until)
{
    erase(fingerprint);
    evict_if_full();
    records_.push_front({fingerprint, state, until});
    by_fingerprint_[fingerprint] = records_.begin();
}

run_permission
quarantine_table::evaluate(std::uint64_t fingerprint, steady_time now)
{
    entry_record const* it = find(fingerprint, now);
    if (it == nullptr)
        return {};
    if (it->state == fingerprint_state::suspect)
        return {.run_alone = true};
    error e = make_error(
        error_kind::quarantined, "requests like this one crash upstreams");
    e.retry_after = it->until - now;
    return {.refusal = std::move(e)};
}

crash_report
quarantine_table::set_quarantined(std::uint64_t fingerprint, steady_time now)
{
    insert_or_replace(
        fingerprint, fingerprint_state::quarantined, now + limits_.quarantine);
    return {
        fingerprint, fingerprint_state::quarantined, to_ms(limits_.quarantine)};
}

std::vector<crash_report> quarantine_table::on_crash(
    std::span<std::uint64_t const> in_flight, bool was_alone, steady_time now)
{
    std::set<std::uint64_t> const all(in_flight.begin(), in_flight.end());
    std::vector<std::uint64_t> known;
    for (std::uint64_t const it : all)
    {
        entry_record const* found = find(it, now);
        if (found != nullptr && found->state == fingerprint_state::suspect)
            known.push_back(it);
    }
    if (was_alone && all.size() == 1)
        return {set_quarantined(*all.begin(), now)};
    if (known.size() == 1)
        return {set_quarantined(known[0], now)};
    // Each suspect runs alone next, which identifies the one that crashes.
    if (!known.empty())
        return {};
    std::vector<crash_report> reports;
    for (std::uint64_t const it : all)
    {
        if (find(it, now) != nullptr)
            continue; // quarantined after it was sent
        insert_or_replace(
            it, fingerprint_state::suspect, now + limits_.suspect_retention);
        reports.push_back({it, fingerprint_state::suspect, 0});
    }
    return reports;
}

std::optional<crash_report>
quarantine_table::on_finished(std::uint64_t fingerprint)
{
    auto const found = by_fingerprint_.find(fingerprint);
    bool const is_suspect = found != by_fingerprint_.end() &&
                            found->second->state == fingerprint_state::suspect;
    if (!is_suspect)
        return std::nullopt;
    erase(fingerprint);
    return crash_report{fingerprint, fingerprint_state::cleared, 0};
}

void quarantine_table::merge(crash_report const& r, steady_time now)
{
    entry_record const* known = find(r.fingerprint, now);
    bool const is_quarantined =
        known != nullptr && known->state == fingerprint_state::quarantined;
    switch (r.state)
    {
    case fingerprint_state::cleared:
        (void)on_finished(r.fingerprint);
        break;
    case fingerprint_state::suspect:
        if (known == nullptr)
            insert_or_replace(
                r.fingerprint, fingerprint_state::suspect,
                now + limits_.suspect_retention);
        break;
    case fingerprint_state::quarantined:
    {
        // Bounds the effect of a corrupt or malicious report.
        duration const left = std::min<duration>(
            std::chrono::milliseconds(
                std::min(r.remaining_ms, to_ms(limits_.quarantine))),
            limits_.quarantine);
        if (!is_quarantined || now + left > known->until)
            insert_or_replace(
                r.fingerprint, fingerprint_state::quarantined, now + left);
        break;
    }
    }
}

std::size_t quarantine_table::suspects() const
{
    return records_.size() - quarantined();
}

std::size_t quarantine_table::quarantined() const
{
    return static_cast<std::size_t>(std::count_if(
        records_.begin(), records_.end(),
        [](entry_record const& it)
        { return it.state == fingerprint_state::quarantined; }));
}

} // namespace marjorambeam
