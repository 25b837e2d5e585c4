#include "entry/routing_controller.hpp"

#include "at_most_once/keyspace.hpp"
#include "base/hash.hpp"

#include <algorithm>

namespace marjorambeam
{
namespace
{

// When two instances claim the same upstream, the one that sent a message most
// recently is used.
bool is_newer(peer const& a, peer const& b)
{
    return a.last_heard > b.last_heard;
}

std::string partition_name(work_request const& w)
{
    return keyspace_name(w.target, partition_of(w.customer, w.target, w.key));
}

} // namespace

routing_controller::routing_controller(
    entry_state& state, liveness_check is_live, std::uint64_t seed)
    : state_(state)
    , is_live_(std::move(is_live))
    , random_(seed)
{
    rebuild();
}

std::uint64_t routing_controller::live_set_hash() const
{
    std::uint64_t hash = 0;
    for (auto const& [instance, p] : state_.cluster.peers)
    {
        bool const is_live = is_live_(p);
        if (is_live || p.is_leaving)
        {
            hash = hash64(instance, hash);
            hash = hash64(p.upstream, hash + (p.is_leaving ? 1 : 0));
        }
    }
    return hash;
}

void routing_controller::rebuild()
{
    cluster_state const& cluster = state_.cluster;
    std::map<std::string_view, peer const*> by_upstream;
    std::vector<entry_view> entries{
        {cluster.identity.instance, cluster.identity.availability_zone}};
    for (auto const& [instance, p] : cluster.peers)
    {
        if (!is_live_(p))
            continue;
        if (p.role == process_role::entry)
        {
            entries.push_back({instance, p.availability_zone});
            continue;
        }
        peer const*& best = by_upstream[p.upstream];
        if (best == nullptr || is_newer(p, *best))
            best = &p;
    }
    std::vector<agent_view> agents;
    agents.reserve(by_upstream.size());
    for (auto const& [name, p] : by_upstream)
        agents.push_back({std::string(name), p->instance, p->is_leaving});
    routing_inputs const in{
        cluster.config, agents, entries, cluster.identity.instance,
        cluster.identity.availability_zone};
    table_ = build_routing_table(in, &table_);
    built_live_set_hash_ = live_set_hash();
}

void routing_controller::tick()
{
    if (live_set_hash() != built_live_set_hash_)
        rebuild();
}

result<version_choice> routing_controller::choose_version(
    contract const& c, std::string_view model, std::string_view pin)
{
    std::string_view const chosen =
        model == "auto" ? pin.substr(0, pin.find('@')) : model;
    std::uniform_real_distribution<double> uniform(0, 1);
    return marjorambeam::choose_version(
        table_, c, chosen, pin, uniform(random_));
}

std::vector<upstream_index>
routing_controller::tried_indexes(entry_request const& r) const
{
    std::vector<upstream_index> tried;
    for (std::string const& it : r.tried)
    {
        upstream_index const u = find_upstream(table_, it);
        if (u != no_index)
            tried.push_back(u);
    }
    return tried;
}

route_choice
routing_controller::choose_index(entry_request const& r, steady_time now)
{
    std::vector<upstream_index> const tried = tried_indexes(r);
    route_request in;
    in.pool = find_pool(table_, r.work.target);
    in.prefix_hash = r.features.prefix_hash;
    in.tokens = static_cast<double>(r.work.token_cost);
    in.tried = tried;
    return choose_upstream(table_, in, now, random_);
}

bool routing_controller::is_routable(std::string_view upstream) const
{
    upstream_index const u = find_upstream(table_, upstream);
    return u != no_index && table_.status[u].is_routable;
}

std::string routing_controller::likely_owner(entry_request const& r) const
{
    if (r.work.key.empty())
        return {};
    auto const is_candidate = [&](std::string const& name)
    {
        return is_routable(name) &&
               std::find(r.tried.begin(), r.tried.end(), name) == r.tried.end();
    };
    std::string const partition = partition_name(r.work);
    auto const known = owners_.find(partition);
    if (known != owners_.end() && is_candidate(known->second))
        return known->second;
    // The agents prefer the same upstream as owner; see
    // keyspace_lease_manager.
    pool_index const pool = find_pool(table_, r.work.target);
    std::uint64_t best_score = 0;
    std::string best;
    for (upstream_slot const& slot : table_.slots)
    {
        bool const is_member =
            std::find(slot.pools.begin(), slot.pools.end(), pool) !=
            slot.pools.end();
        if (!is_member || !is_routable(slot.name))
            continue;
        std::uint64_t const score = rendezvous_score(partition, slot.name);
        if (!best.empty() && score <= best_score)
            continue;
        best_score = score;
        best = slot.name;
    }
    return is_candidate(best) ? best : std::string();
}

void routing_controller::record_owner(
    entry_request const& r, std::string_view owner)
{
    std::string const partition = partition_name(r.work);
    if (owner.empty())
        owners_.erase(partition);
    else
        owners_[partition] = owner;
}

result<route>
routing_controller::choose(entry_request const& r, steady_time now)
{
    bool const is_named = is_routable(r.owner);
    std::string const owner = is_named ? r.owner : likely_owner(r);
    if (!owner.empty())
    {
        upstream_slot const& slot = table_.slots[find_upstream(table_, owner)];
        return route{
            slot.name, slot.instance,
            is_named ? "owner of the key" : "likely owner of the key"};
    }
    route_choice c = choose_index(r, now);
    if (c.upstream == no_index && live_set_hash() != built_live_set_hash_)
    {
        // Uses an agent that became live after the last tick.
        rebuild();
        c = choose_index(r, now);
    }
    if (c.upstream == no_index)
    {
        return fail(
            error_kind::no_upstream,
            "no upstream in service serves " + r.work.target);
    }
    upstream_slot const& slot = table_.slots[c.upstream];
    return route{slot.name, slot.instance, explain(table_, c)};
}

bool routing_controller::has_alternative(
    entry_request const& r, steady_time now)
{
    return choose_index(r, now).upstream != no_index;
}

void routing_controller::record_load(
    std::string_view instance, upstream_load const& load, steady_time now)
{
    auto const it = state_.cluster.peers.find(instance);
    if (it == state_.cluster.peers.end())
        return;
    upstream_index const u = find_upstream(table_, it->second.upstream);
    if (u != no_index)
        marjorambeam::record_load(table_, u, load, now);
}

void routing_controller::record_sent(std::string_view upstream)
{
    upstream_index const u = find_upstream(table_, upstream);
    if (u != no_index)
        marjorambeam::record_sent(table_, u);
}

void routing_controller::record_done(std::string_view upstream)
{
    upstream_index const u = find_upstream(table_, upstream);
    if (u != no_index)
        marjorambeam::record_done(table_, u);
}

void routing_controller::record_failed(
    std::string_view upstream, steady_time now)
{
    upstream_index const u = find_upstream(table_, upstream);
    if (u != no_index)
        marjorambeam::record_failed(table_, u, now);
}

} // namespace marjorambeam
