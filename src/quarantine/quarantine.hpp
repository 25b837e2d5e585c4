// Attributes upstream crashes to requests by fingerprint and quarantines the
// fingerprints that cause them.
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
    suspect,     // was in flight during a crash; runs alone until it finishes
    quarantined, // refused until the quarantine ends
    cleared      // finished without a crash; only in reports
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
    bool run_alone = false;       // suspect: no other request at the same time
};

// Suspects and quarantined fingerprints at one entry. The least recently
// changed record is evicted at capacity, suspects before quarantined ones.
// Not thread-safe.
class quarantine_table
{
public:
    // Precondition: `limits.fingerprints` is at least 1.
    explicit quarantine_table(quarantine_limits limits = {});

    // Decides whether and how a request with the fingerprint may run now.
    run_permission evaluate(std::uint64_t fingerprint, steady_time now);

    // Records the crash of an upstream with these fingerprints in flight;
    // duplicates are permitted. `was_alone` states that the only request ran
    // alone. A fingerprint that ran alone, or that is the only suspect among
    // them, is quarantined, and the others stay as they are. With several
    // suspects the crash is not attributed yet; with none, all become suspects.
    // Returns the reports to broadcast to the other entries.
    std::vector<crash_report> on_crash(
        std::span<std::uint64_t const> in_flight, bool was_alone,
        steady_time now);

    // Records that a request finished without a crash. Returns the report to
    // broadcast if this clears a suspect.
    std::optional<crash_report> on_finished(std::uint64_t fingerprint);

    // Merges another entry's report. A report never shortens a quarantine, and
    // `remaining_ms` is limited to this table's quarantine time.
    void merge(crash_report const& r, steady_time now);

    // The number of records in each state, expired ones included until they
    // are looked up or evicted.
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
