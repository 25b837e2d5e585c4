// State reports that gateways exchange in datagrams.
//
// Example:
//   std::string const report = encode_report(make_report(state, now));
//   record_sent(state.reports, now);
//   send(peer.address, to_call(report, echo_for(peer, now)));
//
//   result<gateway_report> r = decode_report(call);
//   apply_report(state, *r, now);
//
// A report holds ages as of a reading of its sender's clock. They are used by
// the bounds of peer_clock.hpp, so that a report that is late by any time, or
// passed on by others, makes nothing look younger than it is. No I/O. Not
// thread-safe.
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

// Name of the peer_call that carries a report.
constexpr std::string_view gateway_report_call = "gateway_report_6";

struct reported_load
{
    std::uint32_t upstream = 0; // upstream_number() of its id
    std::uint16_t requests = 0;
    float work = 0;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(upstream, requests, work);
    }
};

struct reported_rollout
{
    std::string service;
    std::string target;
    std::int64_t elapsed_ms = 0; // since the sender saw the order
    version_evidence evidence;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(service, target, elapsed_ms, evidence);
    }
};

// A peer without reports for this long is assumed to hold no load; its requests
// have ended with its process, or will be reported again. Thread-safe.
duration peer_load_ttl(std::size_t peers);

// A reader's copy of one kind of objects.
struct reported_copy
{
    std::uint64_t digest = 0;
    std::uint64_t era = 0;      // of the store, as of which it is complete
    std::uint64_t revision = 0; // and of that era

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(digest, era, revision);
    }
};

// The latest report of the addressee that the sender of a report had read.
struct report_echo
{
    incarnation addressee = 0;  // 0: none
    std::uint64_t sequence = 0; // of that report
    // Between reading that report and the clock of the one with the echo.
    std::int64_t age_us = 0;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(addressee, sequence, age_us);
    }
};

struct gateway_report
{
    report_echo echo; // differs between addressees; see to_call()
    std::string sender;
    incarnation incarnation_id = 0; // of the sender
    std::uint64_t sequence = 0;     // of the report in it, from 1
    std::int64_t clock_us = 0;      // the sender's clock, as of which ages are
    bool is_reader = false;         // reads the store for others
    bool is_stopping = false;
    std::int64_t config_version = 0;
    std::int64_t config_age_ms = -1;      // since it was confirmed; -1: never
    std::int64_t store_available_ms = -1; // without an outage; -1: unavailable
    std::int64_t store_response_age_ms =
        -1;                               // since its last response; -1: never
    std::int64_t history_dropped_ms = -1; // since it was seen; -1: never
    std::vector<reported_copy> copies;    // a reader's, by kind
    std::vector<reported_load> loads;     // of upstreams with work
    std::vector<reported_rollout> rollouts;
    std::vector<pace_sample> samples; // since the last report

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(sender, incarnation_id, sequence, clock_us, is_reader, is_stopping,
           config_version, config_age_ms, store_available_ms,
           store_response_age_ms, history_dropped_ms, copies, loads, rollouts,
           samples);
    }
};

// Returns the report that this gateway sends at `now`. Not thread-safe.
gateway_report make_report(gateway_state const& s, steady_time now);

// Why a report changes nothing.
enum class report_outcome : std::uint8_t
{
    applied,
    unknown_sender, // no gateway of that name is registered
    outdated        // of an earlier incarnation, or older than one applied
};

// Applies another gateway's report, read at `now`, to the state. Not
// thread-safe.
report_outcome
apply_report(gateway_state& s, gateway_report const& r, steady_time now);

// Removes the loads of gateways that have not reported within peer_load_ttl().
// Not thread-safe.
void expire_reports(gateway_state& s, steady_time now);

// Returns the echo in a report made at `now` for a peer. Not thread-safe.
report_echo echo_for(gateway_peer const& p, steady_time now);

// Encodes a report, without its echo, for all addressees. Thread-safe.
std::string encode_report(gateway_report const& r);
// Returns the datagram with an encoded report for one addressee. Thread-safe.
peer_call to_call(std::string_view report, report_echo const& echo);
// Decodes a report. Errors: frame_corrupt. Precondition: the call is a
// gateway_report_call. Thread-safe.
result<gateway_report> decode_report(peer_call const& call);

} // namespace marjorambeam
