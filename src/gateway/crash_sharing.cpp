#include "gateway/crash_sharing.hpp"

#include "gateway/reader_election.hpp"
#include "wire/value.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace marjorambeam
{
namespace
{

using std::chrono::milliseconds;

// Space in a datagram of 1400 bytes, after the fields of report and frame.
constexpr std::size_t max_report_bytes = 1100;
// Encoded sizes, in bytes.
constexpr std::size_t crash_bytes = 24;
constexpr std::size_t suspect_bytes = 25; // without its parts
constexpr std::size_t part_bytes = 8;
constexpr std::size_t survivals_bytes = 12;
constexpr std::size_t refusal_bytes = 24 + 8 * crash_limit;
constexpr std::size_t refusals_per_report = max_report_bytes / refusal_bytes;
// A report of a crash that is older was delayed and says nothing of its time.
constexpr std::int64_t max_report_age_ms = 60'000;

// Splits what is to be reported over as many reports as it takes.
class report_writer
{
public:
    report_writer(gateway_state& s, steady_time now)
        : state_(s)
        , now_(now)
    {
    }

    void add(upstream_crash const& c)
    {
        bool is_open = false;
        for (auto const& [t, has_begun] : c.suspects)
        {
            std::size_t const n = suspect_bytes + part_bytes * t.parts.size();
            if (reserve(n + crash_bytes) || !is_open)
            {
                std::int64_t const age =
                    std::chrono::duration_cast<milliseconds>(now_ - c.at)
                        .count();
                reports_.back().crashes.push_back({c.id, age, {}});
                used_ += crash_bytes;
            }
            is_open = true;
            reports_.back().crashes.back().suspects.push_back(
                {t.request, t.organisation, t.parts, has_begun});
            used_ += n;
        }
    }

    void add(std::uint64_t part, std::uint32_t survivals)
    {
        reserve(survivals_bytes);
        reports_.back().survivals.push_back({part, survivals});
        used_ += survivals_bytes;
    }

    std::vector<crash_report> take()
    {
        return std::move(reports_);
    }

private:
    // Begins another report if the last one has no room. Returns whether it
    // did.
    bool reserve(std::size_t n)
    {
        if (!reports_.empty() && used_ + n <= max_report_bytes)
            return false;
        crash_report& r = reports_.emplace_back();
        r.sender = state_.settings.instance;
        r.incarnation_id = state_.self;
        r.sequence = ++state_.crash_reports_sent;
        used_ = 0;
        return true;
    }

    gateway_state& state_;
    steady_time now_;
    std::vector<crash_report> reports_;
    std::size_t used_ = 0;
};

bool has_urgent_survivals(crash_evidence const& e)
{
    return std::any_of(
        e.unreported_survivals.begin(), e.unreported_survivals.end(),
        [&](auto const& it)
        {
            auto const part = e.parts.find(it.first);
            return part != e.parts.end() &&
                   part->second.crashes.size() >= crashes_until_suspected &&
                   part->second.survivals <= urgent_survivals;
        });
}

// Number of live gateways whose names come first.
int rank_of(gateway_state const& s, steady_time now)
{
    return static_cast<int>(std::count_if(
        s.peers.begin(), s.peers.end(),
        [&](auto const& it) {
            return it.first < s.settings.instance && is_live(s, it.second, now);
        }));
}

// Whether the report is newer than all of its sender that were applied.
bool record_sequence(gateway_peer& p, crash_report const& r)
{
    if (p.crash_incarnation_id != r.incarnation_id)
    {
        p.crash_incarnation_id = r.incarnation_id;
        p.crash_sequence = 0;
    }
    if (r.sequence <= p.crash_sequence)
        return false;
    p.crash_sequence = r.sequence;
    return true;
}

} // namespace

std::vector<crash_report> due_crash_reports(gateway_state& s, steady_time now)
{
    crash_evidence& e = s.crashes;
    for (upstream_crash& it : std::exchange(e.unreported_crashes, {}))
        s.outgoing_crashes.push_back({std::move(it), sends_per_crash, now});
    report_writer w(s, now);
    for (outgoing_crash& it : s.outgoing_crashes)
    {
        if (now < it.next)
            continue;
        w.add(it.crash);
        --it.sends_left;
        it.next = now + crash_resend_period;
    }
    std::erase_if(
        s.outgoing_crashes,
        [](outgoing_crash const& it) { return it.sends_left == 0; });
    bool const sends_survivals =
        !e.unreported_survivals.empty() &&
        (now >= s.next_survivals || has_urgent_survivals(e));
    if (!sends_survivals)
        return w.take();
    s.next_survivals = now + report_period(s.peers.size(), false);
    for (auto const& [part, n] : std::exchange(e.unreported_survivals, {}))
        w.add(part, n);
    return w.take();
}

quarantine_changes
judge_crashes(gateway_state& s, steady_time now, std::int64_t unix_ms)
{
    // Some parts are judged by time, too.
    bool const is_due = s.crashes.has_changed ||
                        (!s.crashes.crashes.empty() && now >= s.next_judgement);
    if (!is_due)
        return {};
    s.crashes.has_changed = false;
    s.next_judgement = now + judgement_period;
    crash_baseline const b = baseline_of(s.crashes, s.peers.size() + 1, now);
    return apply_findings(
        s.quarantine, judge_parts(s.crashes, b, now), now, unix_ms);
}

bool is_turn_to_store(
    gateway_state const& s, quarantine_entry const& entry, steady_time now)
{
    duration const turn =
        store_entry_after + store_entry_stagger * rank_of(s, now);
    return !entry.is_stored && now >= entry.since + turn;
}

bool is_turn_to_remove(gateway_state const& s, steady_time now)
{
    return rank_of(s, now) == 0;
}

applied_crash_report
apply_crash_report(gateway_state& s, crash_report const& r, steady_time now)
{
    auto const peer = s.peers.find(r.sender);
    if (peer == s.peers.end())
        return {};
    applied_crash_report applied{.is_known_sender = true};
    for (reported_crash const& c : r.crashes)
    {
        std::vector<crash_suspect> suspects;
        suspects.reserve(c.suspects.size());
        for (reported_suspect const& it : c.suspects)
            suspects.push_back(
                {{it.request, it.organisation, it.parts}, it.has_begun});
        duration const age = milliseconds(
            std::clamp<std::int64_t>(c.age_ms, 0, max_report_age_ms));
        record_crash(s.crashes, c.id, now - age, suspects);
        std::vector<crash_suspicion> own = confirm_crash(s.crashes, c.id, now);
        std::move(
            own.begin(), own.end(), std::back_inserter(applied.confirmed));
    }
    if (!record_sequence(peer->second, r))
        return applied;
    for (reported_survivals const& it : r.survivals)
        record_reported_survivals(s.crashes, it.part, it.count);
    return applied;
}

std::vector<refusal_report>
due_refusal_reports(gateway_state const& s, gateway_peer& to, steady_time now)
{
    if (to.told_incarnation_id != to.incarnation_id)
    {
        to.told_incarnation_id = to.incarnation_id;
        to.refusal_sends_left =
            rank_of(s, now) < refusal_senders ? sends_per_crash : 0;
        to.next_refusal_send = now;
    }
    if (to.refusal_sends_left == 0 || now < to.next_refusal_send)
        return {};
    --to.refusal_sends_left;
    to.next_refusal_send = now + crash_resend_period;
    std::vector<refusal_report> reports;
    for (refused_request const& it :
         refused_requests(s.crashes, max_told_refusals))
    {
        bool const has_room =
            !reports.empty() &&
            reports.back().refused.size() < refusals_per_report;
        refusal_report& r = has_room ? reports.back() : reports.emplace_back();
        r.sender = s.settings.instance;
        auto const age =
            std::chrono::duration_cast<milliseconds>(now - it.latest);
        r.refused.push_back({it.request, it.crashes, age.count()});
    }
    return reports;
}

bool apply_refusal_report(
    gateway_state& s, refusal_report const& r, steady_time now)
{
    if (!s.peers.contains(r.sender))
        return false;
    constexpr std::int64_t max_age_ms =
        std::chrono::duration_cast<milliseconds>(crash_record_ttl).count();
    for (reported_refusal const& it : r.refused)
    {
        auto const age =
            milliseconds(std::clamp<std::int64_t>(it.age_ms, 0, max_age_ms));
        record_refused_request(s.crashes, {it.request, it.crashes, now - age});
    }
    return true;
}

peer_call to_call(refusal_report const& r)
{
    return {.name = std::string(refusal_report_call), .body = encode_value(r)};
}

result<refusal_report> decode_refusal_report(peer_call const& call)
{
    result<refusal_report> r =
        decode_value<refusal_report>(call.body, trailing_bytes::ignored);
    bool const is_valid = r && std::all_of(
                                   r->refused.begin(), r->refused.end(),
                                   [](reported_refusal const& it) {
                                       return it.crashes.size() <= crash_limit;
                                   });
    if (r && !is_valid)
        return fail(error_kind::frame_corrupt, "too many crashes of a request");
    return r;
}

peer_call to_call(crash_report const& r)
{
    return {.name = std::string(crash_report_call), .body = encode_value(r)};
}

result<crash_report> decode_crash_report(peer_call const& call)
{
    return decode_value<crash_report>(call.body, trailing_bytes::ignored);
}

} // namespace marjorambeam
