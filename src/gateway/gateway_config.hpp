// The configuration that the gateway serves: routes, services, organisations.
//
// Example:
//   gateway_config c = make_gateway_config(std::move(parts));
//   gateway_route const* r = find_route(c, "api.example", "/chat/v1/x");
//   organisation const* o = find_organisation(c, key);
//
// Plain data, immutable once made; all functions are thread-safe.
#pragma once

#include "base/time.hpp"
#include "http_stream/http_reader.hpp"

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace marjorambeam
{

// Which requests may run more than once.
enum class route_kind : std::uint8_t
{
    idempotent,
    non_idempotent,
    streaming // non-idempotent unless the route is resumable
};

struct weighted_service
{
    std::string service;
    std::uint32_t weight = 1;
};

struct gateway_route
{
    std::string name;
    std::string host;
    std::string prefix; // begins and ends with a slash
    route_kind kind = route_kind::non_idempotent;
    std::uint32_t attempts = 1; // upstreams that one request may be sent to
    duration timeout{0};
    duration target{0};     // time to the response, or to the first event
    duration gap_target{0}; // longest pause between events
    int priority = 0;       // 0 is the most urgent
    bool is_anonymous = false;
    bool is_resumable = false;
    std::vector<weighted_service> services;
    std::vector<std::string> models; // smallest first; empty: the caller's
};

struct gateway_service
{
    std::string name;
    std::uint32_t connection_limit = 0; // per upstream, of all callers
    duration cold_start{0};
    double cold_per_second = 0; // limit for a cold upstream; 0: unlimited
    bool is_engine = false;     // runs models
};

struct organisation
{
    std::string name;
    int priority = -1; // -1: that of the route
};

// Returns the class under which an organisation's requests are counted: its
// priority, "default" when it has none, or "anonymous" for null. Thread-safe.
std::string class_of(organisation const* owner);

struct client_limits
{
    message_limits message;
    duration header_timeout = std::chrono::seconds(3);
    duration idle_timeout = std::chrono::seconds(15);

    bool operator==(client_limits const&) const = default;
};

struct gateway_config
{
    std::int64_t version = 0;
    std::deque<gateway_route> routes; // grows without moving them
    std::vector<gateway_service> services;
    // Whether the document has a list of organisations, also an empty or
    // unreadable one: callers then need a key. Without a list, none do.
    bool requires_keys = false;
    std::vector<organisation> organisations;
    std::unordered_map<std::string, std::size_t> organisation_by_key;
    client_limits limits;
    // In use by routes and organisations, ascending; see add_priority().
    std::vector<int> priorities;
    // Filled by add_route(): position in `routes` by host and prefix.
    std::unordered_map<std::string, std::size_t> route_by_host_and_prefix;
};

// Adds a route to `c` and its index. Of two routes with the same host and
// prefix, the first takes precedence. Not thread-safe.
void add_route(gateway_config& c, gateway_route&& r);

// Adds a priority of a route or an organisation to those in use; add_route()
// does so for its route. Not thread-safe.
void add_priority(gateway_config& c, int priority);

// Removes routes of a configuration that is not in use any more, `n` at most.
// Returns whether it has none left. Not thread-safe.
bool remove_routes(gateway_config& c, std::size_t n);

// Returns the route of `host` with the longest prefix that begins `path`, or
// null. A port in `host` is ignored. Precondition: all routes came by
// add_route().
gateway_route const* find_route(
    gateway_config const& c, std::string_view host, std::string_view path);

// Returns the service named `name`, or null.
gateway_service const*
find_service(gateway_config const& c, std::string_view name);

// Returns the organisation that holds `key`, or null.
organisation const*
find_organisation(gateway_config const& c, std::string const& key);

// Returns the service for a request by the weights of the route's split;
// `hash` is uniform over requests. Precondition: the route has a service.
std::string const& pick_service(gateway_route const& r, std::uint64_t hash);

// Whether the request may run at more than one upstream.
inline bool is_repeatable(gateway_route const& r)
{
    return r.kind == route_kind::idempotent ||
           (r.kind == route_kind::streaming && r.is_resumable);
}

} // namespace marjorambeam
