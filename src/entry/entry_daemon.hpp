// An entry: owns the shared state, controllers and servers, and runs the
// graceful shutdown.
//
// Example:
//   ev::default_loop loop;
//   entry_daemon daemon(loop, settings);
//   loop.run();
//   return daemon.exit_code();
//
// Used on the loop's thread only; not thread-safe.
#pragma once

#include "cluster/cluster_controller.hpp"
#include "entry/admission_controller.hpp"
#include "entry/agent_links.hpp"
#include "entry/caller_api.hpp"
#include "entry/entry_settings.hpp"
#include "entry/entry_state.hpp"
#include "entry/live_entries.hpp"
#include "entry/peer_calls.hpp"
#include "entry/quarantine_controller.hpp"
#include "entry/rating_controller.hpp"
#include "entry/request_controller.hpp"
#include "entry/rollout_controller.hpp"
#include "entry/routing_controller.hpp"
#include "entry/session_controller.hpp"
#include "entry/usage_controller.hpp"
#include "entry/usage_handover.hpp"
#include "event_loop/event_loop.hpp"
#include "http_client/http_client.hpp"
#include "http_server/http_server.hpp"
#include "log/log.hpp"
#include "object_store/object_store.hpp"
#include "transport/transport.hpp"

#include <ev++.h>
#include <set>

namespace marjorambeam
{

class entry_daemon
{
public:
    // Binds all addresses. Throws std::runtime_error when one is in use.
    entry_daemon(ev::loop_ref loop, entry_settings settings);
    entry_daemon(entry_daemon const&) = delete;
    entry_daemon& operator=(entry_daemon const&) = delete;
    ~entry_daemon() = default;

    // Stops admitting requests, completes the admitted ones, then ends the
    // loop. Idempotent.
    void begin_shutdown();

    // Returns 0 after a graceful shutdown, 1 when it timed out and requests
    // were aborted.
    int exit_code() const
    {
        return exit_code_;
    }

    entry_state& state()
    {
        return state_;
    }
    session_controller const& sessions() const
    {
        return sessions_;
    }
    quarantine_controller const& quarantine() const
    {
        return quarantine_;
    }
    rollout_controller& rollouts()
    {
        return rollouts_;
    }
    rating_controller const& ratings() const
    {
        return ratings_;
    }
    // Return the base URLs for callers and for operators.
    std::string caller_url() const;
    std::string admin_url() const;
    std::string const& peer_address() const
    {
        return listener_.address();
    }

private:
    void
    on_peer_connection(std::shared_ptr<frame_connection> const& connection);
    void on_peer_message(
        std::shared_ptr<frame_connection> const& connection, message const& m);
    void handle_admin(std::shared_ptr<http_exchange> const& exchange);
    void tick();
    void slow_tick();
    void continue_shutdown(steady_time now);
    // Sets this daemon's identity. Precondition: the listener is bound.
    cluster_state& initialize_identity();
    // Returns the cluster settings with the bound datagram address, which may
    // differ from the advertised one.
    cluster_settings bound_settings() const;
    agent_links::handlers link_handlers();
    peer_call_settings call_settings();

    ev::loop_ref loop_;
    entry_settings settings_;
    entry_state state_;
    http_client client_;
    object_store store_;
    std::set<std::shared_ptr<frame_connection>> peers_;
    frame_listener listener_;
    cluster_controller cluster_;
    live_entries live_;
    peer_calls calls_;
    admission_controller admission_;
    session_controller sessions_;
    agent_links links_;
    routing_controller routing_;
    usage_controller usage_;
    usage_handover handover_;
    quarantine_controller quarantine_;
    cascade_controller cascades_;
    rollout_controller rollouts_;
    rating_controller ratings_;
    request_controller requests_;
    caller_api api_;
    http_server caller_server_;
    http_server admin_server_;
    loop_timer fast_timer_;
    loop_timer slow_timer_;
    loop_timer live_timer_;
    loop_signal terminate_;
    loop_signal interrupt_;
    logger log_{"entry"};
    steady_time shutdown_at_{};
    int exit_code_ = 0;
};

} // namespace marjorambeam
