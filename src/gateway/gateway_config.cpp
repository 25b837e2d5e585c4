#include "gateway/gateway_config.hpp"

#include <algorithm>

namespace marjorambeam
{
namespace
{

std::string route_key(std::string_view host, std::string_view prefix)
{
    std::string out(host);
    out.push_back('\n');
    out.append(prefix);
    return out;
}

} // namespace

std::string class_of(organisation const* owner)
{
    // Less urgent priorities share one class.
    constexpr int max_separate_priority = 9;
    if (owner == nullptr)
        return "anonymous";
    if (owner->priority < 0)
        return "default";
    return "priority-" +
           std::to_string(std::min(owner->priority, max_separate_priority));
}

void add_route(gateway_config& c, gateway_route&& r)
{
    c.route_by_host_and_prefix.emplace(
        route_key(r.host, r.prefix), c.routes.size());
    add_priority(c, r.priority);
    c.routes.push_back(std::move(r));
}

void add_priority(gateway_config& c, int priority)
{
    auto const it =
        std::lower_bound(c.priorities.begin(), c.priorities.end(), priority);
    if (it == c.priorities.end() || *it != priority)
        c.priorities.insert(it, priority);
}

bool remove_routes(gateway_config& c, std::size_t n)
{
    for (; n > 0 && !c.routes.empty(); --n)
    {
        c.routes.pop_back();
        auto const it = c.route_by_host_and_prefix.begin();
        if (it != c.route_by_host_and_prefix.end())
            c.route_by_host_and_prefix.erase(it);
    }
    return c.routes.empty();
}

gateway_route const* find_route(
    gateway_config const& c, std::string_view host, std::string_view path)
{
    host = host.substr(0, host.find(':'));
    std::size_t end = path.rfind('/');
    while (end != std::string_view::npos)
    {
        auto const it = c.route_by_host_and_prefix.find(
            route_key(host, path.substr(0, end + 1)));
        if (it != c.route_by_host_and_prefix.end())
            return &c.routes[it->second];
        if (end == 0)
            break;
        end = path.rfind('/', end - 1);
    }
    return nullptr;
}

gateway_service const*
find_service(gateway_config const& c, std::string_view name)
{
    auto const it = std::find_if(
        c.services.begin(), c.services.end(),
        [&](gateway_service const& s) { return s.name == name; });
    return it == c.services.end() ? nullptr : &*it;
}

organisation const*
find_organisation(gateway_config const& c, std::string const& key)
{
    auto const it = c.organisation_by_key.find(key);
    return it == c.organisation_by_key.end() ? nullptr
                                             : &c.organisations[it->second];
}

std::string const& pick_service(gateway_route const& r, std::uint64_t hash)
{
    std::uint64_t total = 0;
    for (weighted_service const& it : r.services)
        total += it.weight;
    if (total == 0)
        return r.services.front().service;
    std::uint64_t at = hash % total;
    for (weighted_service const& it : r.services)
    {
        if (at < it.weight)
            return it.service;
        at -= it.weight;
    }
    return r.services.back().service;
}

} // namespace marjorambeam
