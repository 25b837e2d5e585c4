// The callers' HTTP interface: routes, authentication, admission.
//
// Example:
//   caller_api api(state, requests, settings);
//   http_server server(loop, {}, [&](auto const& ex) { api.handle(ex); });
//
// Used on the loop's thread only; not thread-safe.
#pragma once

#include "base/id.hpp"
#include "entry/entry_state.hpp"
#include "entry/request_controller.hpp"
#include "http_server/http_server.hpp"

#include <memory>

namespace marjorambeam
{

class caller_api
{
public:
    caller_api(
        entry_state& state, request_controller& requests,
        routing_controller& routing);

    // Handles one request of a caller.
    void handle(std::shared_ptr<http_exchange> const& exchange);

    // Handles /healthz, /readyz and /metrics; anything else is not found.
    void handle_probe(std::shared_ptr<http_exchange> const& exchange);

    // Counts a request that broke a limit of the HTTP server.
    void count_refusal(error_kind kind);

private:
    void handle_customer(
        std::shared_ptr<http_exchange> const& exchange, contract const& c);
    void list_models(http_exchange& exchange, contract const& c);
    result<void> read_model_request(contract const& c, entry_request& r);
    result<void> read_service_request(contract const& c, entry_request& r);
    void refuse(
        http_exchange& exchange, error const& why, std::string_view request_id);
    bool respond_probe(http_exchange& exchange);
    void respond_ready(http_exchange& exchange);

    entry_state& state_;
    request_controller& requests_;
    routing_controller& routing_;
    id_source ids_;
};

} // namespace marjorambeam
