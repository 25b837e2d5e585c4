// Connections from an entry to agents, with hello, heartbeats and detection of
// silent agents.
//
// Example:
//   agent_links links(loop, cluster, settings, handlers);
//   links.send("agent-3", work);      // connects when needed
//   links.tick(steady_now());         // every 250 ms
//
// Everything here runs on the loop's thread; nothing is thread-safe.
#pragma once

#include "base/time.hpp"
#include "cluster/cluster_state.hpp"
#include "transport/transport.hpp"
#include "wire/message.hpp"

#include <ev++.h>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace marjorambeam
{

// Request id and attempt number.
using attempt_id = std::pair<std::string, std::uint32_t>;

struct agent_link_settings
{
    duration heartbeat_interval = std::chrono::seconds(1);
    duration silence_limit = std::chrono::seconds(3);
    // Limit for the acknowledgement of work on a connection that was idle,
    // which a middlebox may have dropped.
    duration acknowledgement_timeout = std::chrono::seconds(1);
    duration connect_timeout = std::chrono::seconds(1);
    duration idle_limit = std::chrono::seconds(60);
};

class agent_links
{
public:
    struct handlers
    {
        // A message from an agent about a request.
        std::function<void(std::string_view instance, message&&)> on_message;
        // An attempt that was in progress when its connection closed. The
        // error's `run` is `not_run` if it was never sent.
        std::function<void(
            std::string_view instance, attempt_id const&, error const&)>
            on_attempt_lost;
        // The configuration generation that an agent reported.
        std::function<void(std::string_view instance, std::uint64_t)>
            on_generation;
        // Any message that is not about a request.
        std::function<void(
            std::shared_ptr<frame_connection> const&, message const&)>
            on_other;
    };

    agent_links(
        ev::loop_ref loop, cluster_state& cluster, agent_link_settings settings,
        handlers on);

    // Sends the attempt to the agent, connecting first when needed. On a
    // connection that was idle, work that is not idempotent is held back until
    // the agent replies to a heartbeat. Precondition: the peer is known.
    void send(std::string_view instance, work_request work, steady_time now);

    // Notifies the agent that the response is no longer needed.
    void send_cancel(std::string_view instance, attempt_id const& attempt);

    // Sends any message if the agent is connected; returns whether it was.
    bool send_other(std::string_view instance, message const& m);

    // Removes an attempt that has ended; its connection may become idle.
    void finish(std::string_view instance, attempt_id const& attempt);

    // Sends heartbeats and closes silent and idle connections. Call about
    // every 250 ms.
    void tick(steady_time now);

    // Number of open connections.
    std::size_t connections() const
    {
        return links_.size();
    }
    // Bytes sent and received on the connections open now.
    std::pair<std::uint64_t, std::uint64_t> bytes() const;

private:
    struct outstanding
    {
        steady_time sent_at{};
        bool is_acknowledged = false;
    };
    struct link
    {
        std::shared_ptr<frame_connection> connection;
        std::string address;
        bool has_hello = false;
        steady_time opened_at{};
        steady_time heartbeat_at{};
        steady_time used_at{};
        std::vector<work_request> waiting; // for hello or a heartbeat's reply
        std::map<attempt_id, outstanding> attempts;
    };

    link& open(std::string_view instance, steady_time now);
    void on_message(std::string const& instance, message&& m);
    // Marks the attempt as acknowledged and passes the message on.
    void dispatch(std::string const& instance, message const& m);
    void send_waiting(link& l, steady_time now);
    void close_link(std::string const& instance, error const& why);
    heartbeat make_heartbeat(bool wants_reply) const;
    bool is_silent(link const& l, steady_time now) const;

    ev::loop_ref loop_;
    cluster_state& cluster_;
    agent_link_settings settings_;
    handlers on_;
    std::map<std::string, link, std::less<>> links_;
};

} // namespace marjorambeam
