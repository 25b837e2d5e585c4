// Accepts requests of callers, resolves their route and organisation, and
// forwards them.
//
// Example:
//   request_controller requests(loop, state, protocol, pool);
//   requests.begin_drain(now);
//
// Everything here runs on the loop's thread; nothing is thread-safe.
#pragma once

#include "event_loop/event_loop.hpp"
#include "event_loop/loop_monitor.hpp"
#include "gateway/client_connection.hpp"
#include "gateway/gateway_state.hpp"
#include "gateway/placement_explanation.hpp"
#include "gateway/proxied_request.hpp"
#include "log/log.hpp"

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace marjorambeam
{

// Accepts and forwards requests. Not thread-safe.
class request_controller
{
public:
    // Listens for callers. Throws std::runtime_error when the address can't
    // be bound. Precondition: the referenced objects outlive the controller.
    // Loop thread only, like all members.
    request_controller(
        ev::loop_ref loop, gateway_state& state,
        request_protocol const& protocol, upstream_pool& pool,
        limit_controller& limits, quarantine_controller& quarantine,
        loop_monitor const& monitor);

    // Announces to callers that their connections will close, and closes idle
    // ones when the time to serve new requests is over. Precondition:
    // `drain_started` of the state is set.
    void begin_drain(steady_time now);
    // Whether all requests have completed, all connections of callers have
    // ended and the time to serve new requests after begin_drain() is over.
    bool is_drained(steady_time now) const;
    // Whether a caller may not have read its response yet, or may send a
    // request.
    bool has_callers() const;
    // Aborts the remaining requests.
    void abort_all(steady_time now);
    // Retries the selection of an upstream for the requests that wait.
    void dispatch_waiting(steady_time now);
    // Ends the requests that must not be sent any more, unless they are being
    // answered.
    void abort_quarantined(steady_time now);
    // Sets the gauges of what is held for requests and responses.
    void set_gauges();
    // Returns the requests that wait, by service.
    queued_by_service queued() const;
    // Number of active requests.
    std::size_t active() const
    {
        return active_requests_.size();
    }
    // Port that callers connect to.
    std::uint16_t port() const
    {
        return listener_.port();
    }

private:
    void on_connection(std::shared_ptr<tcp_stream> stream);
    void on_request(
        std::shared_ptr<client_connection> const& client,
        result<http_request_message> message);
    // A request that arrived before this gateway had its configuration.
    struct held_request
    {
        std::shared_ptr<client_connection> client;
        gateway_request request;
        steady_time until{};
        duration unread{0};
    };

    void serve(
        std::shared_ptr<client_connection> const& client,
        gateway_request&& request, duration unread, steady_time now);
    void hold(
        std::shared_ptr<client_connection> const& client,
        gateway_request&& request, duration unread, steady_time now);
    void serve_held(steady_time now);
    void refuse(
        std::shared_ptr<client_connection> const& client,
        std::string_view attempt_id, error_kind kind, duration retry_after,
        steady_time now);
    void tick();
    void record_turns(
        std::map<std::string_view, std::size_t> const& waiting,
        steady_time now);
    void order_controlled(
        std::vector<std::shared_ptr<proxied_request>>& all,
        steady_time now) const;
    client_limits limits() const;

    ev::loop_ref loop_;
    gateway_state& state_;
    request_protocol const& protocol_;
    upstream_pool& pool_;
    loop_monitor const& monitor_;
    logger log_{"request"};
    buffer_pools pools_;
    std::map<std::string, std::size_t> limit_waiters_;
    std::list<std::shared_ptr<proxied_request>> waiting_;
    proxied_request_context context_;
    std::list<std::shared_ptr<client_connection>> clients_;
    std::list<std::shared_ptr<proxied_request>> active_requests_;
    std::list<held_request> held_;
    tcp_listener listener_;
    loop_timer sweep_timer_;
    loop_timer waiting_timer_;
};

} // namespace marjorambeam
