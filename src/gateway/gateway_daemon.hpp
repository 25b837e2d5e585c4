// The process marjorambeam-gateway: controllers that share one state.
//
// Example:
//   gateway_daemon daemon(loop, settings, protocols);
//   loop_signal term(loop, SIGTERM, [&] { daemon.begin_shutdown(); });
//   loop.run();
//   return daemon.exit_code();
//
// Everything here runs on the loop's thread; nothing is thread-safe.
#pragma once

#include "event_loop/event_loop.hpp"
#include "event_loop/loop_monitor.hpp"
#include "gateway/gateway_state.hpp"
#include "gateway/limit_controller.hpp"
#include "gateway/peer_report.hpp"
#include "gateway/quarantine_controller.hpp"
#include "gateway/request_controller.hpp"
#include "gateway/store_controller.hpp"
#include "gateway/upstream_pool.hpp"
#include "http_client/http_client.hpp"
#include "http_server/http_server.hpp"
#include "log/log.hpp"
#include "transport/transport.hpp"

#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace marjorambeam
{

// The protocols of a deployment.
struct gateway_protocols
{
    request_protocol calls;
    platform_store_protocol store;
    store_documents documents;
    std::string_view readiness_path;
};

// Runs one gateway. Not thread-safe.
class gateway_daemon
{
public:
    // Listens and starts to read the store. Throws std::runtime_error when an
    // address can't be bound. Precondition: `loop` and `protocols` outlive the
    // daemon. Loop thread only, like all members.
    gateway_daemon(
        ev::dynamic_loop& loop, gateway_settings const& settings,
        gateway_protocols const& protocols);

    // Drains active requests, then stops the loop. A second call has no effect.
    void begin_shutdown();
    // Applies the settings that may change at run time: bounds, not addresses.
    // Does nothing if they are unchanged.
    void reload(gateway_settings const& settings);
    // Exit code of the process: 1 if the drain took too long, else 0.
    int exit_code() const
    {
        return exit_code_;
    }
    // Address of the operators' port; empty if there is none.
    std::string metrics_address() const
    {
        return metrics_ ? metrics_->address() : std::string();
    }
    // Shared state, valid as long as the daemon.
    gateway_state const& state() const
    {
        return state_;
    }

private:
    void tick();
    void send_reports(steady_time now);
    void on_message(message&& m);
    void on_admin(std::shared_ptr<http_exchange> const& exchange);
    void on_operator(std::shared_ptr<http_exchange> const& exchange);
    void continue_shutdown(steady_time now);
    void log_changes(steady_time now);
    void on_turn(loop_turn const& t);
    std::string metrics_page();

    ev::dynamic_loop& loop_;
    gateway_protocols const& protocols_;
    gateway_state state_;
    logger log_{"gateway"};
    loop_monitor monitor_;
    http_client client_;
    upstream_pool pool_;
    datagram_socket peers_;
    limit_controller limits_;
    quarantine_controller quarantine_;
    request_controller requests_;
    store_controller store_;
    http_server readiness_;
    std::unique_ptr<http_server> metrics_;
    loop_timer timer_;
    steady_time next_report_{};
    steady_time next_expiry_{};
    steady_time next_flush_{};
    std::set<std::string, std::less<>> reachable_peers_;
    bool is_isolated_ = false;
    latency_histogram* turns_ = nullptr; // of the loop, once one is over
    int exit_code_ = 0;
};

} // namespace marjorambeam
