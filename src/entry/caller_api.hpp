// The HTTP interface for callers: routes, authentication, sessions, admission.
//
// Example:
//   caller_api api(state, requests, routing, sessions, admission);
//   http_server server(loop, {}, [&](auto const& ex) { api.handle(ex); });
//
// A request is held here while the owner of its session or of its customer's
// allowance is queried, which takes at most some tens of milliseconds.
//
// Used on the loop's thread only; not thread-safe.
#pragma once

#include "base/id.hpp"
#include "entry/admission_controller.hpp"
#include "entry/cascade_controller.hpp"
#include "entry/entry_state.hpp"
#include "entry/live_entries.hpp"
#include "entry/rating_controller.hpp"
#include "entry/request_controller.hpp"
#include "entry/routing_controller.hpp"
#include "entry/session_controller.hpp"
#include "http_server/http_server.hpp"

#include <memory>
#include <string>
#include <unordered_map>

namespace marjorambeam
{

class caller_api
{
public:
    // All references outlive this.
    caller_api(
        entry_state& state, request_controller& requests,
        routing_controller& routing, live_entries& live,
        session_controller& sessions, admission_controller& admission,
        cascade_controller& cascades, rating_controller& ratings);

    // Handles one request of a caller: responds to it, or admits it and passes
    // it to the request_controller.
    void handle(std::shared_ptr<http_exchange> const& exchange);

    // Handles /healthz, /readyz and /metrics; responds not_found to any other
    // path.
    void handle_probe(std::shared_ptr<http_exchange> const& exchange);

    // Chooses another version for an admitted request whose version was
    // withdrawn before it ran. Returns `none` when the caller or a session
    // requested the version or there is no other, and `later` when this entry
    // has not received the withdrawal yet.
    version_reselection reselect_version(entry_request& r);

    // Counts a refused request, such as one that exceeded a limit of the HTTP
    // server.
    void count_refusal(error_kind kind);

    // Number of requests that wait for a reply of another entry.
    std::size_t held() const
    {
        return held_.size();
    }

private:
    void handle_customer(
        std::shared_ptr<http_exchange> const& exchange, contract const& c);
    void list_models(http_exchange& exchange, contract const& c);
    result<void> read_model_request(entry_request& r);
    result<void> read_service_request(contract const& c, entry_request& r);
    // Creates the request of an exchange and holds it until it is admitted or
    // refused.
    entry_request&
    hold(std::shared_ptr<http_exchange> const& exchange, contract const& c);
    // The steps of a held request, in order. Each does nothing if the request
    // was refused before.
    void on_pin(std::string const& id, result<std::string> const& pin);
    void on_pin_established(std::string const& id, std::string const& pin);
    void request_admission(entry_request& r);
    void
    on_admission(std::string const& id, result<admission_charge> const& ticket);
    result<void> choose(entry_request& r);
    // Returns the held request, or null when it is no longer held.
    entry_request* find(std::string const& id);
    void refuse_held(entry_request& r, error const& why);
    void refuse(
        http_exchange& exchange, error const& why, std::string_view request_id);
    bool respond_probe(http_exchange& exchange);
    void respond_ready(http_exchange& exchange);

    entry_state& state_;
    request_controller& requests_;
    routing_controller& routing_;
    live_entries& live_;
    session_controller& sessions_;
    admission_controller& admission_;
    cascade_controller& cascades_;
    rating_controller& ratings_;
    std::unordered_map<std::string, std::unique_ptr<entry_request>> held_;
    id_source ids_;
};

} // namespace marjorambeam
