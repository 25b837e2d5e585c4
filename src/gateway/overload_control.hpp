// Which services are under overload control: where requests are delayed or
// refused by their priority, deadline and work when there is too little
// capacity. Other services are served as if there were none.
//
// Example:
//   record_machine_pace(state, "notes", load);   // from a response
//   if (is_overload_controlled(state, "notes")) admit_by_estimate();
//
// Free functions without I/O over the gateway's state. Not thread-safe unless
// stated otherwise.
#pragma once

#include "gateway/gateway_state.hpp"
#include "gateway/request_protocol.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace marjorambeam
{

// Why a service is under overload control.
enum class overload_control_reason : std::uint8_t
{
    setting,   // of this gateway
    contracts, // of the deployment
    upstream   // one of its upstreams reported the pace of its machine
};

// Returns the mode that `text` names: "auto", "on" or "off"; any other text is
// taken as "auto". Thread-safe.
overload_control_mode parse_overload_control_mode(std::string_view text);

// Returns "auto", "on" or "off". Thread-safe.
std::string_view to_string(overload_control_mode mode);

// Returns "setting", "contracts" or "upstream". Thread-safe.
std::string_view to_string(overload_control_reason reason);

// Records that an upstream of `service` reported `load`. Without a pace it has
// no effect. What one upstream reported holds for the service until the process
// ends, as others of its upstreams may not have answered yet.
void record_machine_pace(
    gateway_state& s, std::string_view service,
    upstream_load_report const& load);

// Returns why `service` is under overload control; nothing if it is not.
std::optional<overload_control_reason>
overload_control_reason_of(gateway_state const& s, std::string_view service);

// Returns whether `service` is under overload control. At most one look-up in a
// set of the services, so that it may be called several times per request.
bool is_overload_controlled(gateway_state const& s, std::string_view service);

// Returns the offset of this gateway's places in the return schedule: its index
// among the registered gateways over their number, so that the places of the
// gateways do not coincide. Zero if it is not registered.
double return_phase(gateway_state const& s);

// Returns the reason to log if `service` is under overload control and that has
// not been logged; from then on it counts as logged.
std::optional<overload_control_reason>
overload_control_to_log(gateway_state& s, std::string_view service);

} // namespace marjorambeam
