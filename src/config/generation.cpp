#include "config/generation.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace marjorambeam
{
namespace
{

using nlohmann::json;

constexpr std::size_t number_digits = 12;

std::string text_key(document_kind kind, std::string_view name)
{
    return std::string(to_string(kind)) + "/" + std::string(name);
}

template <class T>
result<void> put_parsed(
    document_map<T>& documents, std::string const& name, result<T> parsed)
{
    if (!parsed)
        return tl::unexpected<error>(parsed.error());
    documents.insert_or_assign(name, std::move(*parsed));
    return {};
}

void erase(config_snapshot& s, document_edit const& e)
{
    switch (e.kind)
    {
    case document_kind::contract:
        s.contracts.erase(e.name);
        break;
    case document_kind::version:
        s.versions.erase(e.name);
        break;
    case document_kind::upstream:
        s.upstreams.erase(e.name);
        break;
    case document_kind::availability_zone:
        s.zones.erase(e.name);
        break;
    case document_kind::service:
        s.services.erase(e.name);
        break;
    }
    s.texts.erase(text_key(e.kind, e.name));
}

result<void> put(config_snapshot& s, document_edit const& e)
{
    s.texts.insert_or_assign(text_key(e.kind, e.name), e.json);
    switch (e.kind)
    {
    case document_kind::contract:
        return put_parsed(s.contracts, e.name, parse_contract(e.name, e.json));
    case document_kind::version:
        return put_parsed(s.versions, e.name, parse_version(e.name, e.json));
    case document_kind::upstream:
        return put_parsed(s.upstreams, e.name, parse_upstream(e.name, e.json));
    case document_kind::availability_zone:
        return put_parsed(
            s.zones, e.name, parse_availability_zone(e.name, e.json));
    case document_kind::service:
        break;
    }
    return put_parsed(s.services, e.name, parse_service(e.name, e.json));
}

result<void> check_references(config_snapshot const& s)
{
    for (auto const& [name, u] : s.upstreams)
    {
        if (s.zones.count(u.availability_zone) == 0)
        {
            return fail(
                error_kind::bad_document, "upstreams/" + name +
                                              ": zone: " + u.availability_zone +
                                              " does not exist");
        }
    }
    return {};
}

result<void> index_keys(config_snapshot& s)
{
    s.customers_by_key.clear();
    for (auto const& [name, c] : s.contracts)
    {
        for (std::string const& it : c.key_hashes)
        {
            auto const [at, is_new] = s.customers_by_key.emplace(it, name);
            if (!is_new && at->second != name)
            {
                return fail(
                    error_kind::bad_document,
                    "contracts/" + name + ": key_hashes: a key belongs to " +
                        at->second);
            }
        }
    }
    return {};
}

result<void> finish(config_snapshot& s)
{
    if (result<void> r = check_references(s); !r)
        return r;
    return index_keys(s);
}

} // namespace

std::string generation_name(std::uint64_t number)
{
    std::string digits = std::to_string(number);
    digits.insert(
        0, number_digits - std::min(digits.size(), number_digits), '0');
    return digits;
}

std::uint64_t generation_number(std::string_view name)
{
    std::uint64_t number = 0;
    auto const [end, ec] =
        std::from_chars(name.data(), name.data() + name.size(), number);
    bool const is_whole = ec == std::errc() && end == name.data() + name.size();
    return is_whole && name.size() == number_digits ? number : 0;
}

std::string to_json(generation const& g)
{
    json edits = json::array();
    for (document_edit const& it : g.edits)
    {
        json edit = {{"kind", to_string(it.kind)}, {"name", it.name}};
        if (!it.json.empty())
            edit["document"] = json::parse(it.json);
        edits.push_back(std::move(edit));
    }
    return json{
        {"edit_id", g.edit_id},
        {"author", g.author},
        {"time_ms", g.time_ms},
        {"edits", std::move(edits)}}
        .dump();
}

result<generation> parse_generation(std::uint64_t number, std::string_view text)
{
    generation g;
    g.number = number;
    try
    {
        json const in = json::parse(text);
        g.edit_id = in.at("edit_id").get<std::string>();
        g.author = in.at("author").get<std::string>();
        g.time_ms = in.at("time_ms").get<std::int64_t>();
        for (json const& it : in.at("edits"))
        {
            result<document_kind> const kind =
                parse_document_kind(it.at("kind").get<std::string>());
            if (!kind)
                return tl::unexpected<error>(kind.error());
            document_edit edit;
            edit.kind = *kind;
            edit.name = it.at("name").get<std::string>();
            if (it.contains("document"))
                edit.json = it.at("document").dump();
            g.edits.push_back(std::move(edit));
        }
    }
    catch (json::exception const& e)
    {
        return fail(
            error_kind::bad_document,
            "generation " + std::to_string(number) + ": " + e.what());
    }
    return g;
}

result<config_snapshot> apply(config_snapshot const& from, generation const& g)
{
    config_snapshot next = from;
    next.number = g.number;
    for (document_edit const& it : g.edits)
    {
        if (it.json.empty())
        {
            erase(next, it);
            continue;
        }
        if (result<void> r = put(next, it); !r)
            return tl::unexpected<error>(r.error());
    }
    if (result<void> r = finish(next); !r)
        return tl::unexpected<error>(r.error());
    return next;
}

config_snapshot
apply_or_refuse(config_snapshot const& from, generation const& g)
{
    result<config_snapshot> next = apply(from, g);
    if (next)
        return std::move(*next);
    config_snapshot kept = from;
    kept.number = g.number;
    kept.refused[g.number] = next.error().message;
    return kept;
}

std::string to_checkpoint(config_snapshot const& snapshot)
{
    json documents = json::object();
    for (auto const& [key, text] : snapshot.texts)
        documents[key] = json::parse(text);
    return json{
        {"generation", snapshot.number}, {"documents", std::move(documents)}}
        .dump();
}

result<config_snapshot> parse_checkpoint(std::string_view text)
{
    config_snapshot s;
    try
    {
        json const in = json::parse(text);
        s.number = in.at("generation").get<std::uint64_t>();
        for (auto const& [key, document] : in.at("documents").items())
        {
            std::size_t const slash = key.find('/');
            result<document_kind> const kind =
                parse_document_kind(key.substr(0, slash));
            if (!kind)
                return tl::unexpected<error>(kind.error());
            document_edit const edit{
                *kind, key.substr(slash + 1), document.dump()};
            if (result<void> r = put(s, edit); !r)
                return tl::unexpected<error>(r.error());
        }
    }
    catch (json::exception const& e)
    {
        return fail(
            error_kind::bad_document, std::string("checkpoint: ") + e.what());
    }
    if (result<void> r = finish(s); !r)
        return tl::unexpected<error>(r.error());
    return s;
}

contract const*
find_contract(config_snapshot const& snapshot, std::string_view api_key)
{
    auto const it = snapshot.customers_by_key.find(secret_hash(api_key));
    if (it == snapshot.customers_by_key.end())
        return nullptr;
    auto const found = snapshot.contracts.find(it->second);
    return found == snapshot.contracts.end() ? nullptr : &found->second;
}

bool is_permitted(contract const& c, version const& v)
{
    return std::any_of(
        c.models.begin(), c.models.end(),
        [&](model_permission const& p)
        {
            bool const is_listed =
                p.versions.empty() ||
                std::find(p.versions.begin(), p.versions.end(), v.name) !=
                    p.versions.end();
            return p.model == v.model && is_listed;
        });
}

bool is_in_service(config_snapshot const& snapshot, upstream const& u)
{
    auto const it = snapshot.zones.find(u.availability_zone);
    return u.state == service_state::in && it != snapshot.zones.end() &&
           it->second.state == service_state::in;
}

} // namespace marjorambeam
