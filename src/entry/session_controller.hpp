// Pins sessions to model versions: by signed tokens or, for session ids that
// callers chose, by pins stored at two owner entries.
//
// Example:
//   session_controller sessions(state, live, calls, settings.session_secret);
//   sessions.find_pin(customer, header, [](result<std::string> pin) {
//       ... // refuse, or choose a version with *pin, which may be empty
//   });
//   sessions.establish_pin(customer, header, chosen, [](std::string pin) {
//       ... // the effective version, which another entry may have chosen
//   });
//   headers.emplace_back("X-Session-Id", sessions.token(customer, header, v));
//
// An owner that can't be reached is skipped; if both are unreachable, the pins
// that this entry has seen are used. Every entry caches the pins it has seen,
// so a session survives the loss of both owners. Counters:
// session_pins_total{found,adopted,own_table} and
// peer_calls_refused_total{session_pin_malformed}.
//
// Used on the loop's thread only; not thread-safe.
#pragma once

#include "entry/entry_state.hpp"
#include "entry/live_entries.hpp"
#include "entry/peer_calls.hpp"
#include "session/session.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambeam
{

// Timeout of a lookup at an owner. A round trip between zones of a region takes
// about 1 ms.
constexpr duration session_pin_timeout = std::chrono::milliseconds(20);

class session_controller
{
public:
    using pin_handler = std::function<void(result<std::string>)>;
    using pin_established_handler = std::function<void(std::string)>;

    // All references outlive this. Precondition: `secret` isn't empty.
    session_controller(
        entry_state& state, live_entries& live, peer_calls& calls,
        std::string_view secret);
    session_controller(session_controller const&) = delete;
    session_controller& operator=(session_controller const&) = delete;
    ~session_controller() = default;

    // Finds the version ("model@version") that the session in the request
    // header X-Session-Id is pinned to, or empty when there is none. Doesn't
    // check whether the version is still allowed; the choice of the version
    // does. `done` is called once, from find_pin() itself for a token or an
    // empty header. Error: session_invalid.
    void find_pin(
        std::string_view customer, std::string_view header, pin_handler done);

    // Pins a session that has no pin to the version chosen for it
    // ("model@version"). `done` is called once with the effective pin, which
    // differs from `chosen` when another entry pinned the session first.
    void establish_pin(
        std::string_view customer, std::string_view header,
        std::string_view chosen, pin_established_handler done);

    // Returns the session token for the response to a request that ran on
    // `pin` ("model@version"). A request without a session header also starts
    // a session.
    std::string token(
        std::string_view customer, std::string_view header,
        std::string_view pin) const;

    pin_table const& pins() const
    {
        return pins_;
    }

private:
    using lookup_handler = std::function<void(std::optional<session_pin>)>;

    struct owner_reply
    {
        std::string owner;
        std::optional<session_pin> pin;
    };
    // A lookup in progress at both owners of a pin.
    struct owner_query
    {
        session_pin requested;
        std::size_t outstanding = 0;
        std::vector<owner_reply> replies;
        lookup_handler done;
    };

    void query_owners(session_pin requested, lookup_handler done);
    void on_reply(
        owner_query& q, std::string const& owner,
        result<std::string> const& body);
    void finish(owner_query& q);
    // Sends the pin to the owners that don't have it.
    void propagate_pin(owner_query const& q, session_pin const& pin);
    std::optional<session_pin> parse_pin(std::string_view body);

    entry_state& state_;
    live_entries& live_;
    peer_calls& calls_;
    session_key key_;
    pin_table pins_;
};

} // namespace marjorambeam
