#include "agent/agent_admin.hpp"

#include <nlohmann/json.hpp>

namespace marjorambeam
{
namespace
{

using nlohmann::json;

json load_json(upstream_load const& load)
{
    return {
        {"running", load.running},
        {"queued", load.queued},
        {"limit", load.limit},
        {"warm_limit", load.warm_limit},
        {"queued_tokens", load.queued_tokens},
        {"tokens_per_second", load.tokens_per_second},
        {"first_token_seconds", load.first_token_seconds},
        {"is_cold", load.is_cold}};
}

json status_json(agent_state const& s, std::string_view cluster_status)
{
    cluster_state const& c = s.cluster;
    return {
        {"instance", c.identity.instance},
        {"role", "agent"},
        {"availability_zone", c.identity.availability_zone},
        {"upstream", c.identity.upstream},
        {"address", c.identity.address},
        {"incarnation", to_hex(c.identity.self)},
        {"generation", c.config->number},
        {"cluster", json::parse(cluster_status, nullptr, false)},
        {"is_ready", c.is_ready()},
        {"is_isolated", c.is_isolated},
        {"is_shutting_down", c.is_shutting_down},
        {"is_upstream_down", s.is_upstream_down},
        {"attempts", s.attempts.size()},
        {"owned_partitions", s.owned_partitions},
        {"keys_in_window", s.remembered_keys},
        {"held_usage_records", s.held_usage},
        {"load", load_json(current_load(s))}};
}

std::string_view readiness(cluster_state const& c)
{
    if (c.is_shutting_down)
        return to_string(error_kind::shutting_down);
    if (c.is_isolated)
        return to_string(error_kind::isolated);
    return c.has_config ? "ready" : to_string(error_kind::not_ready);
}

} // namespace

void answer_admin(
    agent_state const& s, std::string_view cluster_status, http_exchange& ex)
{
    http_request const& r = ex.request();
    if (r.method != "GET")
    {
        return respond_error(
            ex, make_error(error_kind::method_not_allowed, "use GET"), "");
    }
    if (r.path == "/healthz")
        return ex.respond(200, {}, "ok\n");
    if (r.path == "/readyz")
    {
        return ex.respond(
            s.cluster.is_ready() ? 200 : 503, {},
            std::string(readiness(s.cluster)) + "\n");
    }
    if (r.path == "/metrics")
    {
        return ex.respond(
            200, {{"Content-Type", "text/plain; version=0.0.4"}},
            s.cluster.counters.render());
    }
    if (r.path == "/admin/status")
    {
        return ex.respond(
            200, {{"Content-Type", "application/json"}},
            status_json(s, cluster_status).dump() + "\n");
    }
    respond_error(ex, make_error(error_kind::not_found, "no such path"), "");
}

} // namespace marjorambeam
