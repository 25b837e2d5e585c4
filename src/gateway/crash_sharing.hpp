// How gateways exchange evidence of crashes (who was on a crashed upstream, and
// which suspected parts of prompts were answered elsewhere), and act on it.
//
// Example:
//   for (crash_report const& it : due_crash_reports(state, now))
//       send_to_all(to_call(it));
//   apply_crash_report(state, *report, now);
//   quarantine_changes c = judge_crashes(state, now, unix_now);
//
// No I/O. Not thread-safe.
#pragma once

#include "gateway/gateway_state.hpp"
#include "wire/message.hpp"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambeam
{

// Name of the peer_call that carries a crash_report.
constexpr std::string_view crash_report_call = "crash_report_1";

struct reported_suspect
{
    std::uint64_t request = 0; // the fields of crash_suspect
    std::uint64_t organisation = 0;
    std::vector<std::uint64_t> parts;
    bool has_begun = false;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(request, organisation, parts, has_begun);
    }
};

struct reported_crash
{
    std::uint64_t id = 0;    // see crash_id()
    std::int64_t age_ms = 0; // since the connections broke
    std::vector<reported_suspect> suspects;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(id, age_ms, suspects);
    }
};

struct reported_survivals
{
    std::uint64_t part = 0;
    std::uint32_t count = 0; // since the last report

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(part, count);
    }
};

struct crash_report
{
    std::string sender;
    incarnation incarnation_id = 0; // of the sender
    std::uint64_t sequence = 0;     // of the report in it, from 1
    std::vector<reported_crash> crashes;
    std::vector<reported_survivals> survivals;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(sender, incarnation_id, sequence, crashes, survivals);
    }
};

// Name of the peer_call that carries a refusal_report.
constexpr std::string_view refusal_report_call = "refusal_report_1";

struct reported_refusal
{
    std::uint64_t request = 0; // the fields of refused_request
    std::vector<std::uint64_t> crashes;
    std::int64_t age_ms = 0; // since the last crash

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(request, crashes, age_ms);
    }
};

// Requests that are refused because of their crashes, for a gateway that has
// started since.
struct refusal_report
{
    std::string sender;
    std::vector<reported_refusal> refused;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(sender, refused);
    }
};

// Refused requests that a gateway is told of, at most.
constexpr std::size_t max_told_refusals = 512;
// Gateways that tell another one.
constexpr int refusal_senders = 3;

// A crash is reported so often, against loss, with this time in between.
constexpr int sends_per_crash = 3;
constexpr duration crash_resend_period = std::chrono::milliseconds(300);
// Answers that decide about a part are reported at once until there are so many
// since its last crash; others with the period of state reports.
constexpr std::uint32_t urgent_survivals = 3;
// Time between judgements without new evidence.
constexpr duration judgement_period = std::chrono::milliseconds(500);
// Time for the evidence of an entry to settle before it is stored. Each further
// gateway in the order of names waits longer, in case the one before has not
// stored it.
constexpr duration store_entry_after = std::chrono::milliseconds(300);
constexpr duration store_entry_stagger = std::chrono::seconds(1);

// Returns the reports to send at `now`, which fit into datagrams. Takes what
// they contain from the evidence. Not thread-safe.
std::vector<crash_report> due_crash_reports(gateway_state& s, steady_time now);

// Judges the parts if the evidence has changed or some time has passed, and
// applies the findings. Not thread-safe.
quarantine_changes
judge_crashes(gateway_state& s, steady_time now, std::int64_t unix_ms);

// Whether it is this gateway's turn to store an entry that is not in the store,
// or to remove one. Not thread-safe.
bool is_turn_to_store(
    gateway_state const& s, quarantine_entry const& entry, steady_time now);
bool is_turn_to_remove(gateway_state const& s, steady_time now);

struct applied_crash_report
{
    bool is_known_sender = false;
    std::vector<crash_suspicion> confirmed; // of this gateway
};

// Applies another gateway's report: crashes always, since each counts once, and
// answers unless the report or a later one was applied before. Confirms this
// gateway's suspicions of the crashes. Not thread-safe.
applied_crash_report
apply_crash_report(gateway_state& s, crash_report const& r, steady_time now);

// Returns the reports to send at `now` to another gateway, if it has started
// since it was sent some and this gateway is one of those that tell it: a
// request that crashes upstreams comes again at any gateway, and one that has
// started knows nothing of it. Not thread-safe.
std::vector<refusal_report>
due_refusal_reports(gateway_state const& s, gateway_peer& to, steady_time now);

// Applies another gateway's report. Returns whether its sender is known. Not
// thread-safe.
bool apply_refusal_report(
    gateway_state& s, refusal_report const& r, steady_time now);

// Encodes a report for a datagram. Thread-safe.
peer_call to_call(refusal_report const& r);
// Errors: frame_corrupt. Precondition: the call is a refusal_report_call.
// Thread-safe.
result<refusal_report> decode_refusal_report(peer_call const& call);

// Encodes a report for a datagram. Thread-safe.
peer_call to_call(crash_report const& r);
// Errors: frame_corrupt. Precondition: the call is a crash_report_call.
// Thread-safe.
result<crash_report> decode_crash_report(peer_call const& call);

} // namespace marjorambeam
