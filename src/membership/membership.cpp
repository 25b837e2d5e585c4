#include "membership/membership.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace marjorambeam
{
namespace
{

using nlohmann::json;

bool is_recent(steady_time t, duration limit, steady_time now)
{
    return t != steady_time{} && now - t < limit;
}

std::string text_field(json const& row, char const* name)
{
    auto const it = row.find(name);
    return it != row.end() && it->is_string() ? it->get<std::string>()
                                              : std::string();
}

void update_leaving(peer& p)
{
    p.is_leaving = p.is_listed_leaving || p.has_said_leaving;
}

} // namespace

result<std::vector<listed_peer>> parse_instance_list(std::string_view text)
{
    json const in = json::parse(text, nullptr, false);
    if (!in.is_object() || !in.contains("instances") ||
        !in["instances"].is_array())
    {
        return fail(
            error_kind::bad_document,
            "the instance list has no \"instances\" array");
    }
    std::vector<listed_peer> out;
    for (json const& row : in["instances"])
    {
        if (!row.is_object())
            continue;
        listed_peer p;
        std::string const role = text_field(row, "role");
        p.instance = text_field(row, "name");
        p.role = role == "agent" ? process_role::agent : process_role::entry;
        p.availability_zone = text_field(row, "zone");
        p.upstream = text_field(row, "upstream");
        p.address = text_field(row, "address");
        p.admin = text_field(row, "admin");
        p.is_leaving = text_field(row, "state") == "leaving";
        bool const has_role = role == "agent" || role == "entry";
        if (has_role && !p.instance.empty() && !p.address.empty())
            out.push_back(std::move(p));
    }
    return out;
}

void merge_list(
    document_map<peer>& peers, std::vector<listed_peer> const& list,
    std::string_view self, membership_rules const& rules, steady_time now)
{
    for (auto& [name, p] : peers)
    {
        p.is_listed = false;
        p.is_listed_leaving = false;
        update_leaving(p);
    }
    for (listed_peer const& it : list)
    {
        if (it.instance == self)
            continue;
        peer& p = peers[it.instance];
        p.instance = it.instance;
        p.is_listed = true;
        p.is_listed_leaving = it.is_leaving;
        p.admin = it.admin;
        update_leaving(p);
        if (is_recent(p.last_heard, rules.unlisted_lifetime, now) &&
            p.sender != 0)
            continue;
        p.role = it.role;
        p.availability_zone = it.availability_zone;
        p.upstream = it.upstream;
        p.address = it.address;
    }
}

digest_outcome merge_digest(
    document_map<peer>& peers, digest const& digest_message,
    daemon_identity const& self, steady_time now)
{
    if (digest_message.instance == self.instance)
    {
        return digest_message.sender == self.self
                   ? digest_outcome::from_self
                   : digest_outcome::from_duplicate;
    }
    peer& p = peers[digest_message.instance];
    if (p.previous != 0 && p.previous == digest_message.sender)
        return digest_outcome::from_earlier_incarnation;
    if (p.sender != digest_message.sender)
    {
        p.previous = p.sender;
        p.sender = digest_message.sender;
        p.generation = 0;
    }
    p.instance = digest_message.instance;
    p.role = digest_message.role;
    p.availability_zone = digest_message.availability_zone;
    p.upstream = digest_message.upstream;
    if (!digest_message.address.empty())
        p.address = digest_message.address;
    p.has_said_leaving = digest_message.is_leaving;
    // Datagrams may arrive out of order.
    p.generation = std::max(p.generation, digest_message.generation);
    p.last_heard = now;
    update_leaving(p);
    return digest_outcome::accepted;
}

void record_contact(
    document_map<peer>& peers, std::string_view instance,
    std::uint64_t generation, steady_time now)
{
    auto const it = peers.find(instance);
    if (it == peers.end())
        return;
    it->second.generation = std::max(it->second.generation, generation);
    it->second.last_heard = now;
}

void record_refused_connection(
    document_map<peer>& peers, std::string_view instance, steady_time now)
{
    if (auto const it = peers.find(instance); it != peers.end())
        it->second.last_refused = now;
}

peer_condition
condition_of(peer const& p, membership_rules const& rules, steady_time now)
{
    bool const is_recently_contacted =
        is_recent(p.last_heard, rules.unlisted_lifetime, now);
    bool const is_refusing =
        is_recent(p.last_refused, rules.refused_lifetime, now) &&
        p.last_refused > p.last_heard;
    if (is_refusing || (!p.is_listed && !is_recently_contacted))
        return peer_condition::gone;
    return p.is_leaving ? peer_condition::leaving : peer_condition::live;
}

std::size_t remove_expired(
    document_map<peer>& peers, membership_rules const& rules, steady_time now)
{
    return std::erase_if(
        peers,
        [&](auto const& it)
        {
            return !it.second.is_listed &&
                   condition_of(it.second, rules, now) == peer_condition::gone;
        });
}

std::vector<std::string> live_peers(
    document_map<peer> const& peers, membership_rules const& rules,
    steady_time now)
{
    std::vector<std::string> out;
    for (auto const& [name, p] : peers)
    {
        if (condition_of(p, rules, now) == peer_condition::live)
            out.push_back(name);
    }
    return out;
}

std::string_view
region_of(document_map<availability_zone> const& zones, std::string_view zone)
{
    auto const it = zones.find(zone);
    return it == zones.end() ? zone : std::string_view(it->second.region);
}

std::vector<std::string> choose_watchers(
    daemon_identity const& self, document_map<peer> const& peers,
    document_map<availability_zone> const& zones, membership_rules const& rules,
    steady_time now)
{
    std::string_view const region = region_of(zones, self.availability_zone);
    std::vector<std::string> names{self.instance};
    for (auto const& [name, p] : peers)
    {
        if (region_of(zones, p.availability_zone) == region &&
            condition_of(p, rules, now) == peer_condition::live)
            names.push_back(name);
    }
    std::vector<std::string> out;
    std::string const key = "config-watch/" + std::string(region);
    for (std::size_t const i :
         rendezvous_order(key, names, rules.watchers_per_region))
        out.push_back(names[i]);
    return out;
}

bool is_isolated(
    bool knows_peers, steady_time last_contact, duration limit, steady_time now)
{
    return knows_peers && now - last_contact >= limit;
}

duration instance_list_wait(duration period, std::size_t list_bytes)
{
    return std::max(
        period,
        from_seconds(static_cast<double>(list_bytes) / list_bytes_per_second));
}

} // namespace marjorambeam
