#include "gateway/placement_page.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <utility>

namespace marjorambeam
{
namespace
{

using nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
// Larger counts are typing errors; no model reads as many.
constexpr std::uint32_t max_tokens = 10'000'000;
// Of the part of the prompt that is the request's own. No real part has it.
constexpr std::string_view own_part = "where";

constexpr std::array<std::string_view, 7> parameters{
    "route",       "host",          "model",  "prompt-tokens",
    "shared-part", "output-tokens", "session"};

std::optional<std::uint32_t> parse_tokens(std::string_view text)
{
    std::uint32_t value = 0;
    char const* const end = text.data() + text.size();
    auto const [at, ec] = std::from_chars(text.data(), end, value);
    if (ec != std::errc() || at != end || value > max_tokens)
        return std::nullopt;
    return value;
}

// Reads a count of tokens; a missing one is 0.
result<std::uint32_t>
token_parameter(http_request const& query, std::string_view name)
{
    std::string_view const text = query.parameter(name);
    std::optional<std::uint32_t> const value =
        text.empty() ? std::uint32_t{0} : parse_tokens(text);
    if (!value)
        return fail(
            error_kind::bad_request, std::string(name) +
                                         " must be a number from 0 to " +
                                         std::to_string(max_tokens));
    return *value;
}

// Divides the prompt into the shared part, as "ID" or "ID:TOKENS", and the
// rest.
void set_prompt(gateway_request& r, std::string_view shared)
{
    std::uint32_t tokens = r.prompt_tokens;
    std::size_t const colon = shared.rfind(':');
    if (colon != std::string_view::npos)
    {
        if (auto const n = parse_tokens(shared.substr(colon + 1)))
        {
            tokens = std::min(*n, tokens);
            shared = shared.substr(0, colon);
        }
    }
    r.prompt = {
        {std::string(shared), tokens},
        {std::string(own_part), r.prompt_tokens - tokens}};
}

std::string_view bearer_key(std::string_view value)
{
    constexpr std::string_view scheme = "Bearer ";
    return value.starts_with(scheme) ? value.substr(scheme.size())
                                     : std::string_view();
}

// The hosts that have a route for the path, two at most.
std::set<std::string_view>
hosts_of(gateway_config const& c, std::string_view path)
{
    std::set<std::string_view> hosts;
    for (gateway_route const& it : c.routes)
    {
        if (!hosts.contains(it.host) && find_route(c, it.host, path) != nullptr)
            hosts.insert(it.host);
        if (hosts.size() > 1)
            break;
    }
    return hosts;
}

// Times that are unknown, and text that does not apply, are null.
json to_ms(duration d)
{
    return std::round(to_seconds(d) * 1e4) / 10;
}

json to_ms(std::optional<duration> d)
{
    return d ? to_ms(*d) : json();
}

json text_or_null(std::string_view text)
{
    return text.empty() ? json() : json(text);
}

// Estimates are fractions with many digits.
double rounded(double value)
{
    return std::round(value * 1000) / 1000;
}

json to_row(explained_upstream const& u)
{
    return {
        {"id", u.id},
        {"zone", u.zone},
        {"version", u.version},
        {"verdict", to_string(u.verdict)},
        {"requests", rounded(u.requests)},
        {"slots", u.slots},
        {"cost", u.is_considered ? json(rounded(u.cost)) : json()},
        {"failure_rate", rounded(u.failure_rate)},
        {"report_age_ms", to_ms(u.report_age)},
        {"expected_ms", to_ms(u.expected)},
        {"service_time_ms", to_ms(u.service_time)},
        {"has_free_slot", u.has_free_slot}};
}

placement_page bad_request(std::string const& message)
{
    return {
        status_bad_request,
        error_body(make_error(error_kind::bad_request, message), {})};
}

} // namespace

result<gateway_request>
parse_placement_query(http_request const& query, std::string_view id)
{
    for (auto const& [name, value] : query.query)
    {
        if (name == "key")
            return fail(
                error_kind::bad_request,
                "the key belongs into the header Authorization");
        if (std::find(parameters.begin(), parameters.end(), name) ==
            parameters.end())
            return fail(
                error_kind::bad_request,
                "a parameter is not known; known are route, host, model, "
                "prompt-tokens, shared-part, output-tokens and session");
    }
    gateway_request r;
    r.attempt_id = id;
    r.method = "GET";
    r.target = query.parameter("route");
    if (!r.target.starts_with('/'))
        return fail(
            error_kind::bad_request, "route must be a path that begins with /");
    r.host = query.parameter("host");
    r.key = bearer_key(query.header("authorization"));
    r.session = query.parameter("session");
    r.model = query.parameter("model");
    result<std::uint32_t> const prompt =
        token_parameter(query, "prompt-tokens");
    if (!prompt)
        return tl::unexpected<error>(prompt.error());
    result<std::uint32_t> const output =
        token_parameter(query, "output-tokens");
    if (!output)
        return tl::unexpected<error>(output.error());
    r.prompt_tokens = *prompt;
    r.max_output_tokens = *output;
    r.hinted_output_tokens = *output;
    std::string_view const shared = query.parameter("shared-part");
    if (!shared.empty())
        set_prompt(r, shared);
    return r;
}

std::string to_json(placement_explanation const& e)
{
    json rows = json::array();
    for (explained_upstream const& it : e.upstreams)
        rows.push_back(to_row(it));
    json verdicts = json::object();
    for (auto const& [name, n] : e.verdicts)
        verdicts[std::string(name)] = n;
    json body = {
        {"outcome", to_string(e.outcome)},
        {"refusal", e.refusal ? json(to_string(*e.refusal)) : json()},
        {"reason", text_or_null(e.reason)},
        {"config", e.config_version},
        {"route", text_or_null(e.route)},
        {"service", text_or_null(e.service)},
        {"organisation", text_or_null(e.organisation)},
        {"priority", e.priority},
        {"model", text_or_null(e.model)},
        {"models", e.models},
        {"is_engine", e.is_engine},
        {"is_overload_controlled", e.is_overload_controlled},
        {"waiting", e.waiting},
        {"upstreams", std::move(rows)},
        {"upstreams_listed", e.listed},
        {"verdicts", std::move(verdicts)},
        {"chosen", text_or_null(e.chosen)},
        {"until_deadline_ms", to_ms(e.until_deadline)},
        {"max_wait_ms", to_ms(e.max_wait)},
        {"retry_after_ms", e.refusal ? to_ms(e.retry_after) : json()}};
    body["end_ms"] = !e.end ? json()
                            : json{
                                  {"early", to_ms(e.end->early)},
                                  {"likely", to_ms(e.end->likely)},
                                  {"late", to_ms(e.end->late)}};
    // Names may hold any bytes.
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

placement_page make_placement_page(
    gateway_state const& s, queued_by_service const& queued,
    http_request const& query, steady_time now, std::int64_t unix_ms)
{
    // Real requests without a session have ids of their own, too.
    result<gateway_request> r = parse_placement_query(
        query, "where-" + std::to_string(now.time_since_epoch().count()));
    if (!r)
        return bad_request(r.error().message);
    if (r->host.empty() && s.config)
    {
        std::set<std::string_view> const hosts =
            hosts_of(*s.config, path_of(r->target));
        if (hosts.size() > 1)
            return bad_request("several hosts have this route; name the host");
        if (!hosts.empty())
            r->host = *hosts.begin();
    }
    return {status_ok, to_json(explain_placement(s, queued, *r, now, unix_ms))};
}

} // namespace marjorambeam
