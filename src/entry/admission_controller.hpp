// Holds customers to their allowances and spending limits across all entries.
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
// src/admission decides; this carries its questions to the owner of the
// customer, by peer_call or directly when this entry is the owner. Counters:
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

    // Decides on one request. `done` is called once: from admit() when the
    // decision needs no other entry, else within `grant_timeout` and a tick.
    // Errors: rate_limited, spend_limit_reached, with the exact time after
    // which the same request would pass.
    void admit(contract const& c, request_cost cost, admit_handler done);

    // Corrects the estimate of an admitted request, which has ended. Zero when
    // it did not run. Tickets that were never given are ignored.
    void settle(admission_charge const& ticket, request_cost actual);

    // Decides on requests whose grant is late and reports unused batches.
    void tick(steady_time now);

    // Requests held until a grant arrives.
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
    void question(
        std::string const& customer, customer_state& s, allowance_request r);
    void
    on_reply(std::string const& customer, result<std::string> const& reply);
    // The owner's answer; nothing when this entry does not own the customer.
    std::optional<allowance_grant> answer(allowance_request const& r);
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

// What a request has cost its allowance: `why` is null when the whole response
// was delivered. A response that was cut off costs the tokens delivered and no
// money; one that never ran, or that replays an earlier outcome, nothing.
request_cost actual_cost(entry_request const& r, error const* why);

} // namespace marjorambeam
