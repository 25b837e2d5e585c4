// Enforces customers' rate allowances and spending limits across all entries.
//
// Example:
//   admission_controller admission(state, live, calls);
//   admission.admit(contract, cost, [](result<admission_charge> t) {
//       if (!t)
//           refuse(t.error()); // rate_limited or spend_limit_reached
//   });
//   admission.settle(ticket, actual); // once, when the request has ended
//   admission.tick(steady_now());     // every 10 ms
//
// src/admission makes the decisions; this class sends its allowance requests to
// the owner of the customer, by peer_call or directly when this entry is the
// owner. Counters:
// admission_total{admitted,waited,rate_limited,spend_limit_reached},
// admission_questions_total{local,remote,lost}, and
// peer_calls_refused_total{allowance_malformed,not_owner}.
//
// Used on the loop's thread only; not thread-safe.
#pragma once

#include "admission/admission.hpp"
#include "entry/entry_state.hpp"
#include "entry/live_entries.hpp"
#include "entry/peer_calls.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambeam
{

class admission_controller
{
public:
    using admit_handler = std::function<void(result<admission_charge>)>;

    // All references outlive this.
    admission_controller(
        entry_state& state, live_entries& live, peer_calls& calls);
    admission_controller(admission_controller const&) = delete;
    admission_controller& operator=(admission_controller const&) = delete;
    ~admission_controller() = default;

    // Admits or refuses one request. `done` is called once: from admit() when
    // the decision needs no other entry, otherwise within `grant_timeout` plus
    // one tick. Errors: rate_limited and spend_limit_reached, with the exact
    // time after which the same request would be admitted.
    void admit(contract const& c, request_cost cost, admit_handler done);

    // Replaces the estimated cost of a request that has ended by its actual
    // cost, which is zero when it did not run. Tickets that were never issued
    // are ignored. Call once for each ticket.
    void settle(admission_charge const& ticket, request_cost actual);

    // Decides on requests whose grant timed out, and reports usage and unused
    // grants to the owners. Call about every 10 ms.
    void tick(steady_time now);

    // Number of requests that wait for a grant.
    std::size_t waiting() const;

private:
    struct waiter
    {
        request_cost cost;
        admit_handler done;
    };
    struct customer_state
    {
        allowance limits;
        entry_allowance entry;
        std::vector<waiter> waiting;
    };

    admission_view view(steady_time now);
    void decide(
        std::string const& customer, customer_state& s, waiter w, bool is_new);
    void decide_waiting(std::string const& customer, customer_state& s);
    void finish(
        std::string const& customer, waiter const& w,
        admission_decision const& d);
    void send_allowance_request(
        std::string const& customer, customer_state& s, allowance_request r);
    void
    on_reply(std::string const& customer, result<std::string> const& reply);
    // Grants as the owner of the customer; nullopt when this entry is not the
    // owner or the customer is unknown.
    std::optional<allowance_grant> make_grant(allowance_request const& r);
    std::optional<std::string> serve(std::string_view body);
    bool owns(std::string_view customer);
    void count(std::string_view name, std::string_view reason);

    entry_state& state_;
    live_entries& live_;
    peer_calls& calls_;
    std::map<std::string, customer_state, std::less<>> customers_;
    std::map<std::string, owner_allowance, std::less<>> owned_;
    steady_time reported_at_{};
};

// Returns what a request costs its customer's allowance. `why` is null when the
// complete response was delivered. A truncated response costs the tokens
// delivered and no money; a request that never ran, or that replayed an earlier
// outcome, costs nothing.
request_cost actual_cost(entry_request const& r, error const* why);

} // namespace marjorambeam
