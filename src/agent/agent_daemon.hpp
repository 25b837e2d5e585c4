// One agent: its blackboard, controllers, servers and shutdown.
//
// Example:
//   ev::default_loop loop;
//   agent_daemon daemon(loop, settings);
//   loop_signal term(loop, SIGTERM, [&] { daemon.begin_shutdown(); });
//   loop.run();
//   return daemon.exit_code();
//
// Used on the loop's thread only; not thread-safe.
#pragma once

#include "agent/agent_controller.hpp"
#include "agent/agent_state.hpp"
#include "agent/once_controller.hpp"
#include "agent/usage_keeper.hpp"
#include "cluster/cluster_controller.hpp"
#include "event_loop/event_loop.hpp"
#include "http_client/http_client.hpp"
#include "http_server/http_server.hpp"
#include "log/log.hpp"
#include "object_store/object_store.hpp"

#include <ev++.h>
#include <string>

namespace marjorambeam
{

struct agent_daemon_settings
{
    agent_settings agent;
    std::string admin_listen = "127.0.0.1:0";
    std::string upstream;
    std::string zone;
    std::string instance;
    cluster_settings cluster;
    once_settings once;
    usage_keeper_settings usage;
    duration drain = std::chrono::seconds(30);
};

class agent_daemon
{
public:
    // Binds all addresses; throws std::runtime_error when one is taken.
    agent_daemon(ev::loop_ref loop, agent_daemon_settings settings);
    agent_daemon(agent_daemon const&) = delete;
    agent_daemon& operator=(agent_daemon const&) = delete;
    ~agent_daemon() = default;

    // Stops admitting; finishes what was admitted, posts the usage that is
    // held, releases the partitions and ends the loop. A second call changes
    // nothing.
    void begin_shutdown();

    // Whether the shutdown is complete.
    bool is_stopped() const
    {
        return is_stopped_;
    }

    // 0 after a graceful shutdown, 1 when attempts were cut or usage could not
    // be posted.
    int exit_code() const
    {
        return exit_code_;
    }

    agent_state& state()
    {
        return state_;
    }
    std::string const& address() const
    {
        return agent_.address();
    }
    std::string admin_url() const;

private:
    cluster_state& identify();
    // The settings with the address for datagrams, which may differ from the
    // one that is announced. Not set by identify(), whose call as another
    // argument has no order with the copy of the settings.
    cluster_settings bound_settings() const;
    agent_hooks make_hooks();
    bool is_live(peer const& p) const;
    void tick();
    void continue_shutdown(steady_time now);
    void finish_shutdown();

    ev::loop_ref loop_;
    agent_daemon_settings settings_;
    cluster_state cluster_;
    agent_state state_;
    http_client http_;
    object_store store_;
    agent_controller agent_; // no frame arrives before the loop runs
    cluster_controller sync_;
    once_controller once_;
    usage_keeper usage_;
    http_server admin_;
    loop_timer ticker_;
    logger log_{"daemon"};
    steady_time drain_end_ = steady_time::max();
    steady_time release_end_ = steady_time::max();
    bool is_stopped_ = false;
    int exit_code_ = 0;
};

} // namespace marjorambeam
