#include "entry/chat_request.hpp"

#include <charconv>
#include <nlohmann/json.hpp>

namespace marjorambeam
{
namespace
{

using nlohmann::json;

constexpr std::size_t prompt_start_bytes = 1024;
constexpr std::uint64_t max_max_tokens = 1'000'000;
constexpr std::int64_t max_timeout_ms = 24LL * 3600 * 1000;

tl::unexpected<error> bad_field(std::string_view field, std::string_view why)
{
    return fail(
        error_kind::bad_request,
        "field \"" + std::string(field) + "\" " + std::string(why));
}

// Adds the text of a message, which is a string or a list of parts.
void add_content(json const& content, chat_request& r)
{
    std::string const text =
        content.is_string()
            ? content.get<std::string>()
            : content.dump(-1, ' ', false, json::error_handler_t::replace);
    r.prompt_bytes += text.size();
    if (r.prompt_start.size() < prompt_start_bytes)
    {
        r.prompt_start +=
            text.substr(0, prompt_start_bytes - r.prompt_start.size());
    }
}

result<void> read_max_tokens(json const& in, chat_request& r)
{
    for (char const* field : {"max_completion_tokens", "max_tokens"})
    {
        auto const it = in.find(field);
        if (it == in.end() || it->is_null())
            continue;
        if (!it->is_number_unsigned() || it->get<std::uint64_t>() == 0 ||
            it->get<std::uint64_t>() > max_max_tokens)
            return bad_field(field, "must be a whole number above zero");
        r.max_tokens = it->get<std::uint64_t>();
        return {};
    }
    return {};
}

} // namespace

result<chat_request> parse_chat_request(std::string_view body)
{
    json const in = json::parse(body, nullptr, false);
    if (!in.is_object())
        return fail(error_kind::bad_request, "the body is not a JSON object");
    chat_request r;
    auto const model = in.find("model");
    if (model == in.end() || !model->is_string() ||
        model->get_ref<std::string const&>().empty())
        return bad_field("model", "must be the name of a model or \"auto\"");
    r.model = model->get<std::string>();
    auto const messages = in.find("messages");
    if (messages == in.end() || !messages->is_array() || messages->empty())
        return bad_field("messages", "must be a list that is not empty");
    for (json const& it : *messages)
    {
        if (!it.is_object() || !it.contains("role"))
            return bad_field("messages", "must hold objects with a role");
        if (it.contains("content"))
            add_content(it["content"], r);
    }
    auto const stream = in.find("stream");
    if (stream != in.end() && !stream->is_null())
    {
        if (!stream->is_boolean())
            return bad_field("stream", "must be true or false");
        r.is_stream = stream->get<bool>();
    }
    if (result<void> ok = read_max_tokens(in, r); !ok)
        return tl::unexpected<error>(ok.error());
    return r;
}

std::string with_model(std::string_view body, std::string_view model)
{
    json in = json::parse(body);
    in["model"] = model;
    return in.dump(-1, ' ', false, json::error_handler_t::replace);
}

service_path parse_service_path(std::string_view path)
{
    constexpr std::string_view prefix = "/v1/services/";
    if (!path.starts_with(prefix))
        return {};
    path.remove_prefix(prefix.size());
    std::size_t const end = path.find_first_of("/?");
    if (end == std::string_view::npos)
        return {std::string(path), "/"};
    std::string rest(path.substr(end));
    if (rest.front() == '?')
        rest.insert(rest.begin(), '/');
    return {std::string(path.substr(0, end)), std::move(rest)};
}

std::string_view bearer_key(std::string_view authorization)
{
    constexpr std::string_view scheme = "Bearer ";
    if (!authorization.starts_with(scheme))
        return {};
    return authorization.substr(scheme.size());
}

result<std::int64_t>
parse_timeout_ms(std::string_view header, std::int64_t fallback_ms)
{
    if (header.empty())
        return fallback_ms;
    std::int64_t ms = 0;
    auto const [end, ec] =
        std::from_chars(header.data(), header.data() + header.size(), ms);
    bool const is_integer =
        ec == std::errc() && end == header.data() + header.size();
    if (!is_integer || ms < 1 || ms > max_timeout_ms)
    {
        return fail(
            error_kind::bad_request,
            "header X-Request-Timeout-Ms must be a number from 1 to " +
                std::to_string(max_timeout_ms));
    }
    return ms;
}

} // namespace marjorambeam
