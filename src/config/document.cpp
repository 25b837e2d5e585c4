#include "config/document.hpp"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

namespace marjorambeam
{
namespace
{

using nlohmann::json;

constexpr std::size_t max_name_length = 100;
constexpr std::size_t key_hash_length = 64;

bool is_valid_name(std::string_view text)
{
    auto is_allowed = [](unsigned char c)
    {
        return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' ||
               c == '@';
    };
    return !text.empty() && text.size() <= max_name_length &&
           std::all_of(text.begin(), text.end(), is_allowed);
}

// Reads the fields of one document and collects every fault.
class field_reader
{
public:
    field_reader(
        std::string_view kind, std::string_view name, std::string_view text)
        : where_(std::string(kind) + "/" + std::string(name))
        , document_(json::parse(text, nullptr, false))
    {
        if (!is_valid_name(name))
        {
            add_fault(
                "name", "must be 1 to 100 letters, digits, '-', '_', '.' or "
                        "'@'");
        }
        if (!document_.is_object())
        {
            add_fault("document", "is not a JSON object");
            document_ = json::object();
        }
    }

    void text(char const* field, std::string& value, bool is_required)
    {
        json const* found = find(field, is_required);
        if (found == nullptr)
            return;
        if (!found->is_string() || !is_valid_name(found->get<std::string>()))
            add_fault(field, "must be a name");
        else
            value = found->get<std::string>();
    }

    void
    names(char const* field, std::vector<std::string>& value, bool is_required)
    {
        json const* found = find(field, is_required);
        if (found == nullptr)
            return;
        bool const is_list =
            found->is_array() &&
            std::all_of(
                found->begin(), found->end(),
                [](json const& it) {
                    return it.is_string() &&
                           is_valid_name(it.get<std::string>());
                });
        if (!is_list)
            add_fault(field, "must be a list of names");
        else
            value = found->get<std::vector<std::string>>();
    }

    template <class Number>
    void number(
        char const* field, Number low, Number high, Number& value,
        bool is_required = false)
    {
        json const* found = find(field, is_required);
        if (found == nullptr)
            return;
        bool const is_type = std::is_integral_v<Number>
                                 ? found->is_number_integer()
                                 : found->is_number();
        if (!is_type || found->get<double>() < static_cast<double>(low) ||
            found->get<double>() > static_cast<double>(high))
        {
            std::ostringstream reason;
            reason << "must be a "
                   << (std::is_integral_v<Number> ? "whole number" : "number")
                   << " from " << low << " to " << high;
            add_fault(field, reason.str());
            return;
        }
        value = found->get<Number>();
    }

    void flag(char const* field, bool& value)
    {
        json const* found = find(field, false);
        if (found == nullptr)
            return;
        if (!found->is_boolean())
            add_fault(field, "must be true or false");
        else
            value = found->get<bool>();
    }

    template <class Value, std::size_t N>
    void choice(
        char const* field,
        std::array<std::pair<std::string_view, Value>, N> const& choices,
        Value& value, bool is_required)
    {
        json const* found = find(field, is_required);
        if (found == nullptr)
            return;
        std::string const given =
            found->is_string() ? found->get<std::string>() : "";
        std::string allowed;
        for (auto const& [name, it] : choices)
        {
            if (given == name)
            {
                value = it;
                return;
            }
            allowed += (allowed.empty() ? "" : ", ") + std::string(name);
        }
        add_fault(field, "must be one of " + allowed);
    }

    json const* find(char const* field, bool is_required)
    {
        known_.insert(field);
        auto const it = document_.find(field);
        if (it != document_.end())
            return &*it;
        if (is_required)
            add_fault(field, "is missing");
        return nullptr;
    }

    void add_fault(std::string_view field, std::string_view reason)
    {
        faults_ += (faults_.empty() ? "" : "; ") + where_ + ": " +
                   std::string(field) + ": " + std::string(reason);
    }

    // The value, or all faults; unknown fields are faults, because a
    // misspelt limit would otherwise be no limit.
    template <class T>
    result<T> finish(T value)
    {
        for (auto const& [field, unused] : document_.items())
        {
            if (known_.count(field) == 0)
                add_fault(field, "is not a known field");
        }
        if (!faults_.empty())
            return fail(error_kind::bad_document, faults_);
        return value;
    }

private:
    std::string where_;
    json document_;
    std::set<std::string, std::less<>> known_;
    std::string faults_;
};

constexpr std::array service_states{
    std::pair{std::string_view("in"), service_state::in},
    std::pair{std::string_view("out"), service_state::out}};

constexpr std::array version_states{
    std::pair{std::string_view("active"), version_state::active},
    std::pair{std::string_view("rolling"), version_state::rolling},
    std::pair{std::string_view("withdrawn"), version_state::withdrawn}};

constexpr std::array upstream_kinds{
    std::pair{std::string_view("engine"), upstream_kind::engine},
    std::pair{std::string_view("service"), upstream_kind::service}};

constexpr std::array document_kinds{
    std::pair{std::string_view("contracts"), document_kind::contract},
    std::pair{std::string_view("versions"), document_kind::version},
    std::pair{std::string_view("upstreams"), document_kind::upstream},
    std::pair{std::string_view("zones"), document_kind::availability_zone},
    std::pair{std::string_view("services"), document_kind::service}};

constexpr double max_rate = 1e9;
constexpr std::int64_t max_price = 1'000'000'000;
constexpr std::int64_t max_spend = 1'000'000'000'000'000;
constexpr std::int64_t max_concurrency = 100'000;
constexpr std::int64_t max_timeout_ms = 24LL * 3600 * 1000;

void read_permissions(field_reader& in, std::vector<model_permission>& value)
{
    json const* found = in.find("models", false);
    if (found == nullptr)
        return;
    if (!found->is_array())
    {
        in.add_fault("models", "must be a list");
        return;
    }
    for (std::size_t i = 0; i < found->size(); ++i)
    {
        std::string const field = "models[" + std::to_string(i) + "]";
        field_reader entry("contracts", "models", (*found)[i].dump());
        model_permission permission;
        entry.text("model", permission.model, true);
        entry.names("versions", permission.versions, false);
        result<model_permission> checked = entry.finish(permission);
        if (checked)
            value.push_back(std::move(*checked));
        else
            in.add_fault(field, checked.error().message);
    }
}

} // namespace

std::string_view to_string(document_kind kind)
{
    return document_kinds[static_cast<std::size_t>(kind)].first;
}

result<document_kind> parse_document_kind(std::string_view name)
{
    for (auto const& [text, kind] : document_kinds)
    {
        if (name == text || name == text.substr(0, text.size() - 1))
            return kind;
    }
    return fail(
        error_kind::bad_document,
        "\"" + std::string(name) +
            "\" is not a kind of document; expected contracts, versions, "
            "upstreams, zones or services");
}

result<contract> parse_contract(std::string_view name, std::string_view text)
{
    field_reader in("contracts", name, text);
    contract c;
    in.text("customer", c.customer, true);
    if (!c.customer.empty() && c.customer != name)
        in.add_fault("customer", "must equal the document's name");
    in.names("key_hashes", c.key_hashes, true);
    for (std::string const& it : c.key_hashes)
    {
        if (it.size() != key_hash_length)
            in.add_fault("key_hashes", "must be hashes of 64 digits");
    }
    in.number<std::uint32_t>("weight", 1, 1000, c.weight);
    read_permissions(in, c.models);
    in.names("services", c.services, false);
    in.names("cascade", c.cascade, false);
    for (std::string const& it : c.cascade)
    {
        bool const is_permitted = std::any_of(
            c.models.begin(), c.models.end(),
            [&](model_permission const& p) { return p.model == it; });
        if (!is_permitted)
            in.add_fault("cascade", it + " is not among the models");
    }
    in.number("quality_floor", 0.0, 1.0, c.quality_floor);
    in.number("explore_rate", 0.0, 1.0, c.explore_rate);
    in.number<std::int64_t>(
        "ratings_per_hour", 0, 1'000'000, c.ratings_per_hour);
    in.number("requests_per_second", 0.0, max_rate, c.requests_per_second);
    in.number("tokens_per_second", 0.0, max_rate, c.tokens_per_second);
    in.number("burst_seconds", 0.1, 3600.0, c.burst_seconds);
    in.number<micro_credits>(
        "spend_limit_per_day", 0, max_spend, c.spend_limit_per_day);
    in.number<std::int64_t>("max_queued", 1, max_concurrency, c.max_queued);
    std::int64_t timeout_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(c.default_timeout)
            .count();
    in.number<std::int64_t>(
        "default_timeout_ms", 1, max_timeout_ms, timeout_ms);
    c.default_timeout = std::chrono::milliseconds(timeout_ms);
    return in.finish(std::move(c));
}

result<version> parse_version(std::string_view name, std::string_view text)
{
    field_reader in("versions", name, text);
    version v;
    in.text("model", v.model, true);
    in.text("version", v.name, true);
    if (!v.model.empty() && !v.name.empty() && v.id() != name)
        in.add_fault("version", "model@version must equal the name");
    in.choice("state", version_states, v.state, true);
    in.number("share", 0.0, 1.0, v.share);
    in.number<micro_credits>("price_in", 0, max_price, v.price_in);
    in.number<micro_credits>("price_out", 0, max_price, v.price_out);
    in.number("quality", 0.0, 1.0, v.quality);
    return in.finish(std::move(v));
}

result<upstream> parse_upstream(std::string_view name, std::string_view text)
{
    field_reader in("upstreams", name, text);
    upstream u;
    u.name = name;
    in.choice("kind", upstream_kinds, u.kind, true);
    in.text("zone", u.availability_zone, true);
    in.names("serves", u.serves, true);
    in.choice("state", service_states, u.state, true);
    in.number<std::int64_t>(
        "cold_concurrency", 1, max_concurrency, u.cold_concurrency);
    in.number<std::int64_t>(
        "warm_concurrency", 1, max_concurrency, u.warm_concurrency);
    if (u.cold_concurrency > u.warm_concurrency)
        in.add_fault("cold_concurrency", "must be at most warm_concurrency");
    in.flag("checks_fencing", u.checks_fencing);
    return in.finish(std::move(u));
}

result<availability_zone>
parse_availability_zone(std::string_view name, std::string_view text)
{
    field_reader in("zones", name, text);
    availability_zone z;
    z.name = name;
    in.text("region", z.region, true);
    in.choice("state", service_states, z.state, true);
    return in.finish(std::move(z));
}

result<service> parse_service(std::string_view name, std::string_view text)
{
    field_reader in("services", name, text);
    service s;
    s.name = name;
    s.idempotent_methods = {"GET", "HEAD", "OPTIONS"};
    in.names("idempotent_methods", s.idempotent_methods, false);
    in.flag("requires_key", s.requires_key);
    in.number<micro_credits>("price", 0, max_price, s.price);
    return in.finish(std::move(s));
}

result<void>
check_document(document_kind kind, std::string_view name, std::string_view text)
{
    auto outcome = [](auto const& parsed) -> result<void>
    {
        if (!parsed)
            return tl::unexpected<error>(parsed.error());
        return {};
    };
    switch (kind)
    {
    case document_kind::contract:
        return outcome(parse_contract(name, text));
    case document_kind::version:
        return outcome(parse_version(name, text));
    case document_kind::upstream:
        return outcome(parse_upstream(name, text));
    case document_kind::availability_zone:
        return outcome(parse_availability_zone(name, text));
    case document_kind::service:
        break;
    }
    return outcome(parse_service(name, text));
}

} // namespace marjorambeam
