#include "gateway/crash_sharing.hpp"

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
constexpr std::size_t suspect_bytes = 24; // without its parts
constexpr std::size_t part_bytes = 8;
constexpr std::size_t survivals_bytes = 12;
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
        for (request_traits const& t : c.suspects)
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
                {t.request, t.organisation, t.parts});
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

std::vector<crash_report> make_crash_reports(
    gateway_state& s, std::span<upstream_crash const> crashes,
    std::map<std::uint64_t, std::uint32_t> const& survivals, steady_time now)
{
    report_writer w(s, now);
    for (upstream_crash const& it : crashes)
        w.add(it);
    for (auto const& [part, n] : survivals)
        w.add(part, n);
    return w.take();
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
        std::vector<request_traits> suspects;
        for (reported_suspect const& it : c.suspects)
            suspects.push_back({it.request, it.organisation, it.parts});
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

peer_call to_call(crash_report const& r)
{
    return {.name = std::string(crash_report_call), .body = encode_value(r)};
}

result<crash_report> decode_crash_report(peer_call const& call)
{
    return decode_value<crash_report>(call.body, trailing_bytes::ignored);
}

} // namespace marjorambeam
