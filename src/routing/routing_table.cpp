#include "routing/routing_table.hpp"

#include "base/hash.hpp"
#include "routing/rendezvous_weight.hpp"

#include <algorithm>
#include <cmath>
#include <unordered_map>

namespace marjorambeam
{
namespace
{

// Weight of a new report in the means of a pool.
constexpr double average_weight = 0.05;

struct hashed_entry
{
    std::uint64_t hash = 0;
    bool is_near = false; // in this entry's zone
    std::string_view zone;
};

struct builder
{
    routing_inputs const& in;
    routing_table const* previous;
    routing_table t;
    std::vector<hashed_entry> entries;
    std::uint64_t self_hash = 0;
};

void hash_entries(builder& b)
{
    b.self_hash = hash64(b.in.self);
    b.t.entries_hash = hash64(b.in.availability_zone, b.self_hash);
    for (entry_view const& it : b.in.entries)
    {
        std::uint64_t const h = hash64(it.instance);
        b.entries.push_back(
            {h, it.availability_zone == b.in.availability_zone,
             it.availability_zone});
        // A sum does not depend on the order of the entries.
        b.t.entries_hash += hash64(it.availability_zone, h);
    }
}

void add_slots(builder& b)
{
    std::unordered_map<std::string_view, agent_view const*> agents;
    for (agent_view const& it : b.in.agents)
    {
        agent_view const*& known = agents[it.upstream];
        // After a restart the old agent may still be listed as draining.
        if (known == nullptr || known->is_draining)
            known = &it;
    }
    for (auto const& [name, document] : b.in.config->upstreams)
    {
        upstream_slot slot;
        upstream_status status;
        slot.name = name;
        slot.availability_zone = document.availability_zone;
        slot.hash = hash64(name);
        upstream_index const old =
            b.previous ? find_upstream(*b.previous, name) : no_index;
        if (old != no_index)
        {
            status = b.previous->status[old];
            if (b.previous->entries_hash == b.t.entries_hash &&
                b.previous->slots[old].availability_zone ==
                    slot.availability_zone)
                slot.rank = b.previous->slots[old].rank;
        }
        auto const agent = agents.find(name);
        bool const is_live =
            agent != agents.end() && !agent->second->is_draining;
        if (is_live)
            slot.instance = agent->second->instance;
        status.is_routable = is_live && is_in_service(*b.in.config, document);
        b.t.slots.push_back(std::move(slot));
        b.t.status.push_back(status);
    }
}

void add_pools(builder& b)
{
    document_map<std::vector<upstream_index>> members;
    for (upstream_index u = 0; u < b.t.slots.size(); ++u)
    {
        upstream const& document =
            b.in.config->upstreams.find(b.t.slots[u].name)->second;
        for (std::string const& target : document.serves)
            members[target].push_back(u);
    }
    for (auto const& [target, list] : members)
    {
        route_pool pool;
        pool.target = target;
        for (upstream_index u : list)
        {
            upstream_slot& slot = b.t.slots[u];
            slot.pools.push_back(static_cast<pool_index>(b.t.pools.size()));
            bool const is_near =
                slot.availability_zone == b.in.availability_zone;
            (is_near ? pool.near : pool.far).push_back({slot.hash, u});
        }
        pool_index const old =
            b.previous ? find_pool(*b.previous, target) : no_index;
        if (old != no_index)
            pool.average = b.previous->pools[old].average;
        b.t.pools.push_back(std::move(pool));
    }
}

// Returns the number of entries in this entry's group that score higher for the
// upstream than this entry. The group is the entries in the upstream's zone if
// this entry is one of them, else the entries of all other zones.
std::uint32_t rendezvous_rank(builder const& b, upstream_slot const& slot)
{
    bool const is_near = slot.availability_zone == b.in.availability_zone;
    std::uint64_t const own = rendezvous_weight(slot.hash, b.self_hash);
    std::uint32_t rank = 0;
    for (hashed_entry const& it : b.entries)
    {
        bool const is_in_group =
            is_near ? it.is_near : it.zone != slot.availability_zone;
        if (is_in_group && rendezvous_weight(slot.hash, it.hash) > own)
            ++rank;
    }
    return rank;
}

// Keeps the members that rank this entry high enough, and adds the members with
// the highest weight for this entry when these are too few.
void select_subset(
    builder& b, std::vector<pool_member>& members, double subset,
    double group_entries)
{
    auto const n = static_cast<double>(members.size());
    if (n <= subset)
        return;
    auto const target_entries = static_cast<std::uint32_t>(
        std::max(1.0, std::ceil(subset * group_entries / n)));
    for (pool_member const& it : members)
    {
        upstream_slot& slot = b.t.slots[it.upstream];
        if (slot.rank == no_index)
            slot.rank = rendezvous_rank(b, slot);
    }
    auto const is_selected = [&](pool_member const& it)
    { return b.t.slots[it.upstream].rank < target_entries; };
    auto const rest =
        std::stable_partition(members.begin(), members.end(), is_selected);
    auto const selected = static_cast<std::size_t>(rest - members.begin());
    auto const minimum = static_cast<std::size_t>(subset / 2);
    std::sort(
        rest, members.end(),
        [&](pool_member const& x, pool_member const& y)
        {
            return rendezvous_weight(x.hash, b.self_hash) >
                   rendezvous_weight(y.hash, b.self_hash);
        });
    members.resize(std::max(selected, std::min(minimum, members.size())));
}

void select_subsets(builder& b)
{
    auto const near_entries = static_cast<double>(std::count_if(
        b.entries.begin(), b.entries.end(),
        [](hashed_entry const& it) { return it.is_near; }));
    auto const all_entries = static_cast<double>(b.entries.size());
    for (route_pool& pool : b.t.pools)
    {
        if (pool.near.size() + pool.far.size() <= max_undivided_pool_size)
            continue;
        select_subset(b, pool.near, near_subset, near_entries);
        // The far members are spread over several zones. The number of entries
        // outside of each is approximated by the number of all entries.
        select_subset(b, pool.far, far_subset, all_entries);
    }
}

// Removes members that can't be routed to, so that decisions sample usable ones
// only. Called after the subsets are selected, so that a zone that goes out of
// service does not change the subsets in the others.
void remove_unroutable(builder& b)
{
    for (route_pool& pool : b.t.pools)
    {
        for (std::vector<pool_member>* list : {&pool.near, &pool.far})
            std::erase_if(
                *list, [&](pool_member const& it)
                { return !b.t.status[it.upstream].is_routable; });
    }
}

void add_models(builder& b)
{
    for (auto const& [id, document] : b.in.config->versions)
        b.t.models[document.model].push_back({&document, find_pool(b.t, id)});
}

void blend(double& mean, double sample, double weight)
{
    mean += weight * (sample - mean);
}

void add_to_average(pool_average& a, upstream_status const& s)
{
    average_source const from =
        s.is_cold ? average_source::cold : average_source::warm;
    if (from < a.source)
        return;
    // The first report of a higher source replaces the means. If they kept an
    // assumed speed that is far too low, an upstream of unknown load would get
    // no work.
    double const weight = from > a.source ? 1 : average_weight;
    double const limit = s.limit;
    if (!s.is_cold)
        blend(a.limit, limit, average_weight);
    blend(a.utilization, std::min(2.0, s.reported / limit), average_weight);
    if (s.first_token > 0)
        blend(a.first_token, s.first_token, weight);
    if (s.seconds_per_token <= 0)
        return;
    blend(a.seconds_per_token, s.seconds_per_token, weight);
    a.source = from;
}

} // namespace

routing_table
build_routing_table(routing_inputs const& in, routing_table const* previous)
{
    builder b{in, previous, {}, {}, 0};
    b.t.config = in.config;
    hash_entries(b);
    add_slots(b);
    add_pools(b);
    select_subsets(b);
    remove_unroutable(b);
    add_models(b);
    return std::move(b.t);
}

upstream_index find_upstream(routing_table const& t, std::string_view name)
{
    auto const it = std::lower_bound(
        t.slots.begin(), t.slots.end(), name,
        [](upstream_slot const& s, std::string_view n) { return s.name < n; });
    if (it == t.slots.end() || it->name != name)
        return no_index;
    return static_cast<upstream_index>(it - t.slots.begin());
}

pool_index find_pool(routing_table const& t, std::string_view target)
{
    auto const it = std::lower_bound(
        t.pools.begin(), t.pools.end(), target,
        [](route_pool const& p, std::string_view n) { return p.target < n; });
    if (it == t.pools.end() || it->target != target)
        return no_index;
    return static_cast<pool_index>(it - t.pools.begin());
}

void record_load(
    routing_table& t, upstream_index u, upstream_load const& load,
    steady_time now)
{
    upstream_status& s = t.status[u];
    s.first_token = load.first_token_seconds;
    s.seconds_per_token =
        load.tokens_per_second > 0 ? 1 / load.tokens_per_second : 0;
    s.queued_tokens = static_cast<double>(load.queued_tokens);
    s.reported = load.running + load.queued;
    s.sent_since_report = 0;
    s.limit = load.limit;
    s.is_cold = load.is_cold;
    s.load_received_at = now;
    if (load.limit == 0)
        return;
    for (pool_index p : t.slots[u].pools)
        add_to_average(t.pools[p].average, s);
}

void record_sent(routing_table& t, upstream_index u)
{
    ++t.status[u].sent_since_report;
    ++t.status[u].outstanding;
}

void record_done(routing_table& t, upstream_index u)
{
    upstream_status& s = t.status[u];
    if (s.outstanding > 0)
        --s.outstanding;
}

void record_failed(routing_table& t, upstream_index u, steady_time now)
{
    t.status[u].failed_until = now + failure_backoff;
}

} // namespace marjorambeam
