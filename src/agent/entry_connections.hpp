// The connections of entries and other daemons to this agent: hello,
// heartbeats, silence and the messages in between.
//
// Example:
//   entry_connections connections(loop, state, {
//       .on_work = [&](std::uint64_t c, work_request&& r) { admit(c, r); },
//       .on_closed = [&](std::uint64_t c) { abandon(c); },
//       .has_work = [&](std::uint64_t c) { return in_flight(c) > 0; },
//       ...});
//   connections.send(c, work_accepted{...});
//   connections.tick(now);
//
// Everything here runs on the loop's thread; nothing is thread-safe.
#pragma once

#include "agent/agent_state.hpp"
#include "log/log.hpp"
#include "transport/transport.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace marjorambeam
{

// Who is called for what arrives. `has_work` says whether attempts of the
// connection are in flight.
struct connection_events
{
    std::function<void(std::uint64_t connection, work_request&&)> on_work;
    std::function<void(std::uint64_t connection, cancel const&)> on_cancel;
    std::function<void(std::uint64_t connection)> on_closed;
    // After on_closed, when no other connection of the process is left.
    std::function<void(incarnation)> on_process_gone;
    std::function<void(
        std::shared_ptr<frame_connection> const&, message const&)>
        on_other;
    std::function<void(std::string_view instance, std::uint64_t generation)>
        on_generation;
    std::function<bool(std::uint64_t connection)> has_work;
};

class entry_connections
{
public:
    // Throws std::runtime_error when the address can't be bound.
    entry_connections(
        ev::loop_ref loop, agent_state& state, connection_events events);
    entry_connections(entry_connections const&) = delete;
    entry_connections& operator=(entry_connections const&) = delete;
    ~entry_connections() = default;

    // The address with the port that the kernel chose.
    std::string const& address() const
    {
        return listener_.address();
    }

    // Sends to the connection; ignored when it is closed.
    void send(std::uint64_t connection, message const& m);

    // Sends heartbeats on connections with work in flight and closes those
    // that have been silent.
    void tick(steady_time now);

    std::size_t size() const
    {
        return links_.size();
    }
    // Bytes that have not left for all connections together.
    std::size_t unsent_bytes() const;

private:
    struct link
    {
        std::shared_ptr<frame_connection> connection;
        hello peer;
        bool has_hello = false;
        steady_time heartbeat_sent{};
        steady_time work_since{}; // epoch while nothing is in flight
    };

    void on_connection(std::shared_ptr<frame_connection> const& c);
    void on_message(std::uint64_t id, message&& m);
    void on_hello(std::uint64_t id, link& l, hello&& h);
    void on_heartbeat(link& l, heartbeat const& h);
    void on_closed(std::uint64_t id, error const& why);
    void drop(std::uint64_t id, error const& why);
    hello own_hello() const;

    agent_state& state_;
    connection_events events_;
    logger log_;
    std::uint64_t last_id_ = 0;
    std::map<std::uint64_t, link> links_;
    frame_listener listener_;
};

} // namespace marjorambeam
