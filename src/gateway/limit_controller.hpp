// Keeps this gateway within its share of the request limits of upstreams, and
// exchanges limits and tokens with the other gateways.
//
// Example:
//   limit_controller limits(state, peers, [&](steady_time now)
//       { requests.dispatch_waiting(now); });
//   limits.tick(now);
//   limits.claim_token("i-7", now);
//
// Everything here runs on the loop's thread; nothing is thread-safe.
#pragma once

#include "gateway/gateway_state.hpp"
#include "gateway/limit_sharing.hpp"
#include "log/log.hpp"
#include "transport/transport.hpp"

#include <functional>
#include <string>
#include <string_view>

namespace marjorambeam
{

// Not thread-safe.
class limit_controller
{
public:
    // `on_claim_answer` is called when the answer to a claim has arrived.
    // Precondition: `state` and `peers` outlive the controller. Loop thread
    // only, like all members.
    limit_controller(
        gateway_state& state, datagram_socket& peers,
        std::function<void(steady_time)> on_claim_answer);

    // Recomputes the shares. Precondition: called several times per share_ttl.
    void tick(steady_time now);
    // Sends what this gateway knows of limits to all others.
    void send_reports(steady_time now);
    // Asks a sharer for a token of the upstream's limit, if the gate of the
    // upstream allows a claim now.
    void claim_token(std::string_view upstream, steady_time now);
    // Handles a message of another gateway. Returns false if it is of another
    // kind.
    bool on_message(peer_call const& call, steady_time now);

    // Sets the gauges of limits and shares.
    void set_gauges();

private:
    void on_report(peer_call const& call, steady_time now);
    void on_claim(peer_call const& call, steady_time now);
    void on_reply(peer_call const& call, steady_time now);
    void log_share(std::string const& upstream, upstream_notice const& n);

    gateway_state& state_;
    datagram_socket& peers_;
    std::function<void(steady_time)> on_claim_answer_;
    logger log_{"limits"};
};

} // namespace marjorambeam
