// Remote procedure calls between entries, over frame connections.
//
// Example:
//   peer_calls calls(loop, cluster, {});
//   calls.serve("allowance", [&](std::string_view instance,
//       std::string_view body) { return std::optional(make_reply(body)); });
//   calls.call("entry-2", "allowance", body, milliseconds(20),
//       [](result<std::string> reply) { ... });
//   calls.handle(connection, m); // each message of an accepted connection
//   calls.tick(steady_now());    // every 250 ms
//
// An entry sends calls over connections that it opened itself, and replies on
// the connection on which a call was received. Counters: peer_calls_total and
// peer_calls_served_total by name, peer_calls_failed_total by error kind,
// peer_calls_refused_total by reason, peer_call_bytes_total{sent,received}.
//
// Everything here runs on the loop's thread; nothing is thread-safe.
#pragma once

#include "base/time.hpp"
#include "cluster/cluster_state.hpp"
#include "event_loop/event_loop.hpp"
#include "transport/transport.hpp"
#include "wire/message.hpp"

#include <cstdint>
#include <ev++.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace marjorambeam
{

struct peer_call_settings
{
    duration idle_limit = std::chrono::seconds(60);
    // A connection with a pending call that delivers no message for this long
    // is closed. The timeout of a single call is too short to detect a dead
    // connection.
    duration silence_limit = std::chrono::seconds(1);
    // Called when a connection to the address of an instance was refused.
    std::function<void(std::string_view instance)> on_refused;
};

class peer_calls
{
public:
    using reply_handler = std::function<void(result<std::string>)>;
    // Returns the body of the reply, or nullopt to send none. `instance` is
    // empty when the caller did not send a hello.
    using call_handler = std::function<std::optional<std::string>(
        std::string_view instance, std::string_view body)>;

    // `cluster` outlives this. Destruction drops pending calls
    // without calling their handlers.
    peer_calls(
        ev::loop_ref loop, cluster_state& cluster, peer_call_settings settings);
    peer_calls(peer_calls const&) = delete;
    peer_calls& operator=(peer_calls const&) = delete;
    ~peer_calls();

    // Calls `name` at the instance; connects when needed. `on_reply` is called
    // once, never from call(). Errors: not_found for an unknown instance;
    // connection_lost or connection_silent when the connection ended;
    // upstream_silent after `timeout`, after which a late reply is dropped.
    void call(
        std::string_view instance, std::string_view name, std::string body,
        duration timeout, reply_handler on_reply);

    // Sends a one-way call. It is lost when no connection can be opened.
    void
    send(std::string_view instance, std::string_view name, std::string body);

    // Sets the function that handles calls of `name`.
    void serve(std::string name, call_handler handler);

    // Handles hello and peer_call messages of a connection that another daemon
    // opened. Returns false for any other message. Closes the connection when
    // the peer's protocol version differs.
    bool handle(
        std::shared_ptr<frame_connection> const& connection, message const& m);

    // Removes the state of an accepted connection. Call when it has closed.
    void forget(frame_connection const& connection);

    // Closes silent and idle connections. Call about every 250 ms.
    void tick(steady_time now);

    // Number of open connections that this entry opened.
    std::size_t connections() const
    {
        return links_.size();
    }
    // Number of calls that wait for a reply.
    std::size_t outstanding() const
    {
        return calls_.size();
    }

private:
    struct link
    {
        std::shared_ptr<frame_connection> connection;
        std::string address;
        steady_time used_at{};
        std::optional<steady_time> awaiting_reply_since;
        std::set<std::uint64_t> calls;
    };
    struct pending
    {
        std::string instance;
        steady_time deadline{};
        error on_timeout;
        reply_handler on_reply;
    };

    link* open(std::string_view instance, steady_time now);
    void transmit(frame_connection& connection, peer_call const& call);
    void on_message(std::string const& instance, message const& m);
    void on_reply(peer_call const& reply);
    void handle_call(
        std::shared_ptr<frame_connection> const& connection,
        peer_call const& request);
    void close_link(std::string const& instance, error const& why);
    void finish(std::uint64_t id, result<std::string> reply);
    void expire(steady_time now);
    void schedule();

    ev::loop_ref loop_;
    cluster_state& cluster_;
    peer_call_settings settings_;
    std::map<std::string, link, std::less<>> links_; // by instance
    std::map<std::uint64_t, pending> calls_;
    std::set<std::pair<steady_time, std::uint64_t>> by_deadline_; // of calls_
    std::uint64_t last_call_ = 0;
    std::map<std::string, call_handler, std::less<>> servers_;
    // Peer instances of accepted connections, as given in their hello.
    std::map<frame_connection const*, std::string> callers_;
    loop_timer timer_; // for the earliest deadline
};

} // namespace marjorambeam
