#include "gateway/overload_control.hpp"

#include <algorithm>

namespace marjorambeam
{

overload_control_mode parse_overload_control_mode(std::string_view text)
{
    if (text == "on")
        return overload_control_mode::on;
    return text == "off" ? overload_control_mode::off
                         : overload_control_mode::automatic;
}

std::string_view to_string(overload_control_mode mode)
{
    switch (mode)
    {
    case overload_control_mode::automatic:
        break;
    case overload_control_mode::on:
        return "on";
    case overload_control_mode::off:
        return "off";
    }
    return "auto";
}

std::string_view to_string(overload_control_reason reason)
{
    switch (reason)
    {
    case overload_control_reason::setting:
        return "setting";
    case overload_control_reason::contracts:
        return "contracts";
    case overload_control_reason::upstream:
        break;
    }
    return "upstream";
}

void record_machine_pace(
    gateway_state& s, std::string_view service,
    upstream_load_report const& load)
{
    if (load.machine_pace && !s.overload.paced_services.contains(service))
        s.overload.paced_services.emplace(service);
}

std::optional<overload_control_reason>
overload_control_reason_of(gateway_state const& s, std::string_view service)
{
    switch (s.settings.overload_control)
    {
    case overload_control_mode::on:
        return overload_control_reason::setting;
    case overload_control_mode::off:
        return std::nullopt;
    case overload_control_mode::automatic:
        break;
    }
    if (s.settings.wants_overload_control)
        return overload_control_reason::contracts;
    if (s.overload.paced_services.contains(service))
        return overload_control_reason::upstream;
    return std::nullopt;
}

bool is_overload_controlled(gateway_state const& s, std::string_view service)
{
    return overload_control_reason_of(s, service).has_value();
}

double return_phase(gateway_state const& s)
{
    std::string const& self = s.settings.instance;
    if (std::find(s.gateways.begin(), s.gateways.end(), self) ==
        s.gateways.end())
        return 0;
    auto const before = std::count_if(
        s.gateways.begin(), s.gateways.end(),
        [&self](std::string const& it) { return it < self; });
    return static_cast<double>(before) / static_cast<double>(s.gateways.size());
}

std::optional<overload_control_reason>
overload_control_to_log(gateway_state& s, std::string_view service)
{
    std::optional<overload_control_reason> const why =
        overload_control_reason_of(s, service);
    if (!why || s.overload.logged_services.contains(service))
        return std::nullopt;
    s.overload.logged_services.emplace(service);
    return why;
}

} // namespace marjorambeam
