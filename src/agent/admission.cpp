#include "agent/admission.hpp"

#include <algorithm>

namespace marjorambeam
{
namespace
{

// A cold upstream may have this many times its limit waiting; more would wait
// for long, while a warm upstream elsewhere could run it.
constexpr std::size_t cold_queue_factor = 4;

error not_run(error_kind kind, std::string text)
{
    error e = make_error(kind, std::move(text));
    e.run = run_state::not_run;
    return e;
}

std::optional<error> check_upstream(agent_state const& s, upstream const* own)
{
    config_snapshot const& config = *s.cluster.config;
    if (own == nullptr)
        return not_run(error_kind::no_upstream, "the upstream is not declared");
    if (own->state == service_state::out)
        return not_run(error_kind::upstream_out, "the upstream is out");
    auto const zone = config.zones.find(s.cluster.identity.availability_zone);
    bool const is_zone_out = !is_in_service(config, *own) ||
                             (zone != config.zones.end() &&
                              zone->second.state == service_state::out);
    if (is_zone_out)
    {
        return not_run(
            error_kind::availability_zone_out, "the availability zone is out");
    }
    return std::nullopt;
}

std::optional<error> check_model(
    config_snapshot const& config, contract const& c, std::string const& target)
{
    auto const it = config.versions.find(target);
    if (it == config.versions.end())
    {
        return not_run(
            error_kind::version_withdrawn,
            "version \"" + target + "\" is not declared");
    }
    if (it->second.state == version_state::withdrawn)
    {
        return not_run(
            error_kind::version_withdrawn,
            "version \"" + target + "\" is withdrawn");
    }
    if (!is_permitted(c, it->second))
    {
        return not_run(
            error_kind::model_not_allowed,
            "the contract does not allow \"" + target + "\"");
    }
    return std::nullopt;
}

bool contains(std::vector<std::string> const& names, std::string const& name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

bool has_control_character(std::string_view text)
{
    return std::any_of(
        text.begin(), text.end(),
        [](unsigned char c) { return c < 0x20U || c == 0x7FU; });
}

// These become part of the HTTP request to the upstream as they are.
bool is_well_formed(work_request const& r)
{
    bool const is_method =
        !r.method.empty() && std::all_of(
                                 r.method.begin(), r.method.end(),
                                 [](char c) { return c >= 'A' && c <= 'Z'; });
    return is_method && r.path.starts_with('/') &&
           !has_control_character(r.key) &&
           !has_control_character(r.content_type) &&
           !has_control_character(r.request_id);
}

} // namespace

std::optional<error>
check_permission(agent_state const& s, work_request const& request)
{
    config_snapshot const& config = *s.cluster.config;
    upstream const* const own = own_upstream(s);
    if (std::optional<error> e = check_upstream(s, own))
        return e;
    auto const c = config.contracts.find(request.customer);
    if (c == config.contracts.end())
    {
        return not_run(
            error_kind::unauthorized,
            "customer \"" + request.customer + "\" has no contract");
    }
    if (request.kind == work_kind::model)
    {
        if (auto e = check_model(config, c->second, request.target))
            return e;
    }
    else if (!contains(c->second.services, request.target))
    {
        return not_run(
            error_kind::service_not_allowed,
            "the contract does not allow \"" + request.target + "\"");
    }
    if (!contains(own->serves, request.target))
    {
        return not_run(
            error_kind::no_upstream,
            "\"" + request.target + "\" is not served here");
    }
    return std::nullopt;
}

std::optional<error>
check_readiness(agent_state const& s, work_request const& request)
{
    cluster_state const& c = s.cluster;
    if (c.is_shutting_down)
        return not_run(error_kind::shutting_down, "the agent is shutting down");
    if (!c.has_config)
        return not_run(error_kind::not_ready, "no configuration is known yet");
    if (c.is_isolated)
        return not_run(error_kind::isolated, "the agent is isolated");
    if (!is_well_formed(request))
        return not_run(error_kind::bad_request, "the request is malformed");
    if (request.deadline_ms <= 0)
    {
        return not_run(
            error_kind::deadline_exceeded, "the deadline has passed");
    }
    if (!request.is_idempotent && request.key.empty())
    {
        return not_run(
            error_kind::idempotency_key_required,
            "a call that must not repeat needs a key");
    }
    if (s.is_upstream_down)
        return not_run(error_kind::no_upstream, "the upstream is down");
    std::size_t const limit = current_limit(s.warm_up);
    bool const is_overloaded =
        is_cold(s.warm_up) &&
        s.running + s.queue.size() >= limit * (1 + cold_queue_factor);
    if (is_overloaded)
        return not_run(error_kind::upstream_cold, "the upstream is cold");
    return std::nullopt;
}

queue_limits limits_for(agent_state const& s, work_request const& request)
{
    auto const& contracts = s.cluster.config->contracts;
    auto const it = contracts.find(request.customer);
    queue_limits out{.tokens_per_second = tokens_per_second(s)};
    if (it != contracts.end())
    {
        out.max_per_customer = static_cast<std::size_t>(it->second.max_queued);
    }
    return out;
}

} // namespace marjorambeam
