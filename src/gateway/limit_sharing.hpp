// How gateways exchange and share the request limits of upstreams.
//
// Example:
//   refresh_limit_shares(state, now);
//   for (limit_report const& it : make_limit_reports(state, now))
//       send_to_all(to_call(it));
//
// Functions over the state of the gateway, without I/O. Not thread-safe.
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

// Names of the peer_calls that carry these bodies.
constexpr std::string_view limit_report_call = "limit_report_1";
constexpr std::string_view limit_claim_call = "limit_claim_1";
constexpr std::string_view limit_reply_call = "limit_reply_1";

struct reported_limit
{
    std::string upstream;
    std::int64_t started_unix_ms = 0; // identifies the incarnation
    std::uint64_t change = 0;
    double per_second = no_limit;

    static constexpr double no_limit = -1;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(upstream, started_unix_ms, change, per_second);
    }
};

// What a gateway knows of the limits of upstreams.
struct limit_report
{
    std::string sender;
    std::vector<reported_limit> limits;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(sender, limits);
    }
};

// Asks a sharer for one token of an upstream's limit.
struct limit_claim
{
    std::string sender;
    std::string upstream;
    std::int64_t started_unix_ms = 0;
    std::uint64_t number = 0; // of the claim at its sender

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(sender, upstream, started_unix_ms, number);
    }
};

struct limit_reply
{
    std::string upstream;
    std::int64_t started_unix_ms = 0;
    std::uint64_t number = 0; // of the claim
    bool is_granted = false;
    std::int64_t retry_after_ms = 0;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(upstream, started_unix_ms, number, is_granted, retry_after_ms);
    }
};

// Limits in one report; more would not fit into a datagram.
constexpr std::size_t max_reported_limits = 500;
// The end of a limit is reported for this long. A gateway that misses all
// reports meanwhile hears of the end from the upstream's next response.
constexpr duration limit_end_reported_for = std::chrono::seconds(30);
// A gateway that has not been heard for longer is gone rather than cut off by
// a network partition.
constexpr duration partition_memory = std::chrono::hours(1);

// Recomputes this gateway's share of each limit when the limits or the live
// gateways have changed. To be called several times per share_ttl. Returns the
// names of the upstreams whose share, or sharer, changed.
std::vector<std::string>
refresh_limit_shares(gateway_state& s, steady_time now);

// Returns the reports that this gateway sends at `now`; none if it knows of no
// limit.
std::vector<limit_report>
make_limit_reports(gateway_state const& s, steady_time now);

// Applies another gateway's report. Returns the names of the upstreams whose
// limits changed. Only the listed incarnation of an upstream is changed, and
// reports of unknown senders have no effect.
std::vector<std::string>
apply_limit_report(gateway_state& s, limit_report const& r, steady_time now);

// Encode a message for a datagram. Thread-safe.
peer_call to_call(limit_report const& r);
peer_call to_call(limit_claim const& c);
peer_call to_call(limit_reply const& r);
// Decode a message. Errors: frame_corrupt, also for a limit that is no number.
// Precondition: `call.name` is the name for that kind of message. Thread-safe.
result<limit_report> decode_limit_report(peer_call const& call);
result<limit_claim> decode_limit_claim(peer_call const& call);
result<limit_reply> decode_limit_reply(peer_call const& call);

} // namespace marjorambeam
