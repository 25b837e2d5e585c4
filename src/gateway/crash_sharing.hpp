// How gateways exchange evidence of crashes: who was on a crashed upstream, and
// which suspected parts of prompts were answered elsewhere.
//
// Example:
//   for (crash_report const& it : make_crash_reports(state, crashes, answers))
//       send_to_all(to_call(it));
//   apply_crash_report(state, *report, now);
//
// No I/O. Not thread-safe.
#pragma once

#include "gateway/gateway_state.hpp"
#include "wire/message.hpp"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambeam
{

// Name of the peer_call that carries a crash_report.
constexpr std::string_view crash_report_call = "crash_report_1";

struct reported_suspect
{
    std::uint64_t request = 0; // the fields of request_traits
    std::uint64_t organisation = 0;
    std::vector<std::uint64_t> parts;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(request, organisation, parts);
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

// Returns reports that fit into datagrams, and numbers them. Not thread-safe.
std::vector<crash_report> make_crash_reports(
    gateway_state& s, std::span<upstream_crash const> crashes,
    std::map<std::uint64_t, std::uint32_t> const& survivals, steady_time now);

// Applies another gateway's report: crashes always, since each counts once,
// answers only of a report that has not been applied. Confirms own suspicions
// of the crashes, which are returned. Not thread-safe.
struct applied_crash_report
{
    bool is_known_sender = false;
    std::vector<crash_suspicion> confirmed;
};
applied_crash_report
apply_crash_report(gateway_state& s, crash_report const& r, steady_time now);

// Encodes a report for a datagram. Thread-safe.
peer_call to_call(crash_report const& r);
// Errors: frame_corrupt. Precondition: the call is a crash_report_call.
// Thread-safe.
result<crash_report> decode_crash_report(peer_call const& call);

} // namespace marjorambeam
