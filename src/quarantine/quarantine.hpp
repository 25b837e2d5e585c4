// Attribution of upstream crashes to requests by their fingerprint.
//
// Example:
//   quarantine_table table;
//   run_permission p = table.evaluate(fingerprint, now);
//   if (p.refusal)
//       respond_with(*p.refusal); // quarantined, with a retry-after time
//   send(request, p.run_alone);
//   ...
//   for (auto const& it : table.on_crash(in_flight, was_alone, now))
//       broadcast(it); // peer_call "crash_report"
//
// No I/O. Not thread-safe.
#pragma once

#include "base/time.hpp"
#include "error/error.hpp"

#include <cereal/types/string.hpp>
#include <cstdint>
#include <list>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace marjorambeam
{

struct quarantine_limits
{
    duration quarantine = std::chrono::minutes(10);
    // A suspect that is not seen again expires after this time.
    duration suspect_retention = std::chrono::minutes(10);
    std::size_t fingerprints = 10'000;
};

// Name of the peer_call that carries an encoded crash_report.
constexpr std::string_view crash_report_call = "crash_report";

enum class fingerprint_state : std::uint8_t
{
    suspect,
    quarantined,
    cleared
};

// State of a fingerprint as broadcast to the other entries.
struct crash_report
{
    std::uint64_t fingerprint = 0;
    fingerprint_state state = fingerprint_state::suspect;
    std::int64_t remaining_ms = 0; // of the quarantine
    std::string upstream;          // that crashed; may be empty

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(fingerprint, state, remaining_ms, upstream);
    }

    bool operator==(crash_report const&) const = default;
};

// Returns the body of a crash_report call. Thread-safe.
std::string encode_crash_report(crash_report const& r);

// Returns the report in a call's body. Error: frame_corrupt. Thread-safe.
result<crash_report> decode_crash_report(std::string_view body);

// How a request may run.
struct run_permission
{
    std::optional<error> refusal; // `quarantined`, with a retry-after time
    bool run_alone = false; // suspected: no other request at the same time
};

// Suspects and quarantined fingerprints at one entry. The least recently
// changed entry is evicted at capacity, suspects before quarantined ones.
class quarantine_table
{
public:
    explicit quarantine_table(quarantine_limits limits = {});

    // Decides whether and how a request with the fingerprint may run now.
    run_permission evaluate(std::uint64_t fingerprint, steady_time now);

    // An upstream has crashed with these fingerprints in flight, equal ones
    // possibly several times. `was_alone` means that the only one ran alone. A
    // fingerprint that ran alone, or that is the only suspect among them, is
    // quarantined; the crash is not attributed to the others. With several
    // suspects it is not attributed yet; with none, all become suspects.
    // Returns the reports to broadcast to the other entries.
    std::vector<crash_report> on_crash(
        std::span<std::uint64_t const> in_flight, bool was_alone,
        steady_time now);

    // A request has finished without a crash. Returns the report to
    // broadcast if this clears a suspect.
    std::optional<crash_report> on_finished(std::uint64_t fingerprint);

    // Merges another entry's report, which never shortens a quarantine.
    void merge(crash_report const& r, steady_time now);

    std::size_t suspects() const;
    std::size_t quarantined() const;

private:
    struct entry_record
    {
        std::uint64_t fingerprint = 0;
        fingerprint_state state = fingerprint_state::suspect;
        steady_time until{};
    };
    using record_list = std::list<entry_record>;

    entry_record* find(std::uint64_t fingerprint, steady_time now);
    void insert_or_replace(
        std::uint64_t fingerprint, fingerprint_state state, steady_time until);
    void erase(std::uint64_t fingerprint);
    void evict_if_full();
    crash_report set_quarantined(std::uint64_t fingerprint, steady_time now);

    quarantine_limits limits_;
    record_list records_; // most recently changed first
    std::unordered_map<std::uint64_t, record_list::iterator> by_fingerprint_;
};

} // namespace marjorambeam
