#include "ctl/ctl.hpp"

#include "http_server/http_server.hpp"

#include <algorithm>
#include <istream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <ostream>
#include <utility>

namespace marjorambeam
{
namespace
{

using nlohmann::json;

constexpr std::string_view binary = "marjorambeam-ctl";

std::vector<std::string> split_words(std::string_view text)
{
    std::vector<std::string> words;
    while (!text.empty())
    {
        std::size_t const space = std::min(text.find(' '), text.size());
        words.emplace_back(text.substr(0, space));
        text.remove_prefix(std::min(space + 1, text.size()));
    }
    return words;
}

std::string usage_text()
{
    std::string text;
    for (ctl_command const& it : command_table())
    {
        text += (text.empty() ? "" : "; ") + std::string(it.words);
        if (!it.arguments.empty())
            text += " " + std::string(it.arguments);
    }
    return text;
}

// The command that the words begin with, or null.
ctl_command const* find_command(std::vector<std::string> const& words)
{
    for (ctl_command const& it : command_table())
    {
        std::vector<std::string> const names = split_words(it.words);
        if (names.size() <= words.size() &&
            std::equal(names.begin(), names.end(), words.begin()))
            return &it;
    }
    return nullptr;
}

// The settings of the command where.
std::vector<setting> where_setting_table(where_settings& w)
{
    constexpr std::int64_t max_tokens = 10'000'000;
    return {
        text_setting(
            "gateway", "",
            "HOST:PORT of the operators' port of the gateway that where asks",
            w.gateway),
        text_setting("route", "", "Path of the request, for where", w.route),
        text_setting(
            "host", "",
            "Host of the request, for where; needed if several have the route",
            w.host),
        text_setting(
            "key", "",
            "Key of the request's organisation, for where; - for standard "
            "input",
            w.key),
        text_setting(
            "model", "",
            "Model of the request, for where; one of the route's models "
            "instead of the first",
            w.model),
        number_setting(
            "prompt-tokens", 0, 0, max_tokens, "Prompt tokens, for where",
            w.prompt_tokens),
        text_setting(
            "shared-part", "",
            "Part of the prompt that other requests share, as ID or "
            "ID:TOKENS, for where; without TOKENS, the whole prompt",
            w.shared_part),
        number_setting(
            "output-tokens", 0, 0, max_tokens,
            "Output tokens, expected and at most, for where", w.output_tokens),
        text_setting(
            "session", "", "Session of the request, for where", w.session)};
}

exit_code usage_error(std::ostream& err, std::string const& message)
{
    err << binary << ": " << message << "\n";
    return exit_code::usage;
}

} // namespace

exit_code exit_code_for(error_kind kind)
{
    switch (kind)
    {
    case error_kind::bad_request:
        return exit_code::usage;
    case error_kind::bad_document:
    case error_kind::body_too_large:
        return exit_code::bad_document;
    case error_kind::conflict:
        return exit_code::conflict;
    case error_kind::store_unavailable:
    case error_kind::store_rate_limited:
        return exit_code::store_unavailable;
    case error_kind::not_found:
        return exit_code::not_found;
    default:
        return exit_code::failure;
    }
}

std::vector<setting> ctl_setting_table(ctl_settings& s)
{
    std::vector<setting> table{
        url_setting("store", "", "URL of the object API", s.store, true),
        url_list_setting(
            "entries", "",
            "Admin URLs of the entries that status and explain "
            "ask",
            s.entries),
        text_setting(
            "log", "",
            "Logs of gateways from which explain answers, instead of asking "
            "the entries; - for standard input",
            s.log),
        text_setting(
            "author", "operator", "Author of changes, as history shows it",
            s.author, false),
        choice_setting(
            "output", "text", {"json", "text"}, "Form of the output", s.output),
        number_setting(
            "limit", 100, 1, 100000, "Changes that history shows, newest first",
            s.limit),
        duration_setting(
            "timeout-ms", 10000, 100, 600000,
            "Time to settle a change, and the bound of each call", s.timeout)};
    std::vector<setting> where = where_setting_table(s.where);
    std::move(where.begin(), where.end(), std::back_inserter(table));
    return table;
}

exit_code report_error(ctl_context& c, error const& e, generation const* other)
{
    if (c.is_json())
    {
        json body = json::parse(error_body(e, ""));
        if (other != nullptr)
        {
            body["other"] = json::parse(to_json(*other));
            body["other"]["generation"] = other->number;
        }
        c.err << body.dump() << "\n";
        return exit_code_for(e.kind);
    }
    c.err << binary << ": " << to_string(e.kind) << ": " << e.message << "\n";
    if (other != nullptr)
        c.err << json::parse(to_json(*other)).dump(2) << "\n";
    return exit_code_for(e.kind);
}

int run_ctl(
    ev::loop_ref loop, std::span<std::string const> args,
    environment const& env, std::istream& in, std::ostream& out,
    std::ostream& err)
{
    ctl_settings settings;
    positional_arguments line{"command", usage_text(), {}};
    settings_outcome const outcome = parse_settings(
        binary, "CTL", ctl_setting_table(settings), args, env, out, err, &line);
    if (outcome.exit_now)
        return outcome.exit_code;
    auto to_int = [](exit_code code) { return static_cast<int>(code); };
    ctl_command const* command = find_command(line.words);
    if (command == nullptr)
    {
        return to_int(usage_error(
            err, "not a command; expected one of: " + usage_text()));
    }
    std::size_t const names = split_words(command->words).size();
    ctl_arguments const arguments = ctl_arguments(line.words).subspan(names);
    if (arguments.size() < command->min_arguments ||
        arguments.size() > command->max_arguments)
    {
        return to_int(usage_error(
            err, "usage: " + std::string(command->words) + " " +
                     std::string(command->arguments)));
    }
    if (command->needs_store && settings.store.empty())
        return to_int(usage_error(err, "--store is required"));
    http_client client(loop);
    object_store store(client, settings.store, settings.timeout);
    config_client configs(loop, store);
    ctl_context context{loop, settings, client, store, configs, in, out, err};
    return to_int(command->run(context, arguments));
}

} // namespace marjorambeam
