// The callers' HTTP interface: routes, authentication, sessions, admission.
//
// Example:
//   caller_api api(state, requests, routing, sessions, admission);
//   http_server server(loop, {}, [&](auto const& ex) { api.handle(ex); });
//
// A request is held here while the owner of its session or of its customer's
// allowance is asked, which takes at most some tens of milliseconds.
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

    // Handles one request of a caller.
    void handle(std::shared_ptr<http_exchange> const& exchange);

    // Handles /healthz, /readyz and /metrics; anything else is not found.
    void handle_probe(std::shared_ptr<http_exchange> const& exchange);

    // Chooses another version for an admitted request whose version was
    // withdrawn before it ran: `none` when the caller or a session named the
    // version, or there is no other; `later` when this entry does not know of
    // the withdrawal yet.
    second_choice choose_again(entry_request& r);

    // Counts a request that broke a limit of the HTTP server.
    void count_refusal(error_kind kind);

    // Requests that wait for another entry.
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
    // Makes the request of an exchange, held until it begins or is refused.
    entry_request&
    hold(std::shared_ptr<http_exchange> const& exchange, contract const& c);
    // The steps of a held request, in order; each ends at once when the
    // request was refused.
    void on_pin(std::string const& id, result<std::string> const& pin);
    void on_adopted(std::string const& id, std::string const& pin);
    void ask_admission(entry_request& r);
    void
    on_admission(std::string const& id, result<admission_charge> const& ticket);
    result<void> choose(entry_request& r);
    // The held request, or null when it is not held any more.
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
