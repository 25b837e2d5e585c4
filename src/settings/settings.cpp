#include "settings/settings.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <boost/algorithm/string/case_conv.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/lexical_cast/try_lexical_convert.hpp>
#include <cmath>
#include <cstdlib>
#include <deque>
#include <memory>
#include <ostream>
#include <sstream>
#include <tclap/CmdLine.h>

namespace marjorambeam
{
namespace
{

constexpr std::string_view version = "0.1.0";
constexpr int exit_usage = 2;

std::string
variable_name(std::string_view prefix, std::string_view setting_name)
{
    std::string name = "MARJORAMBEAM_" + std::string(prefix) + "_" +
                       boost::to_upper_copy(std::string(setting_name));
    std::replace(name.begin(), name.end(), '-', '_');
    return name;
}

template <class Number>
bool parse_number(std::string_view text, Number low, Number high, Number& value)
{
    Number parsed{};
    if (!boost::conversion::try_lexical_convert(std::string(text), parsed))
        return false;
    if (!(parsed >= low && parsed <= high))
        return false;
    value = parsed;
    return true;
}

std::string range_text(auto low, auto high)
{
    std::ostringstream out;
    out << low << " to " << high;
    return out.str();
}

std::string number_text(auto value)
{
    std::ostringstream out;
    out << value;
    return out.str();
}

// Stores the positional arguments. TCLAP takes a misspelt flag for one of
// them, so words that look like flags are refused here; "-" alone is a word.
bool take_positional(
    std::string_view binary, std::vector<std::string> const& words,
    positional_arguments& positional, std::ostream& err)
{
    for (std::string const& it : words)
    {
        if (it.size() > 1 && it.front() == '-')
        {
            err << binary << ": " << it << " is not a known flag\n";
            return false;
        }
    }
    positional.words = words;
    return true;
}

} // namespace

setting text_setting(
    std::string name, std::string default_value, std::string help,
    std::string& value, bool may_be_empty)
{
    auto store = [&value, may_be_empty](std::string_view text)
    {
        if (text.empty() && !may_be_empty)
            return false;
        value = text;
        return true;
    };
    return {
        std::move(name), std::move(default_value),
        may_be_empty ? "any text" : "a text that is not empty", std::move(help),
        store};
}

setting number_setting(
    std::string name, std::int64_t default_value, std::int64_t low,
    std::int64_t high, std::string help, std::int64_t& value)
{
    auto store = [&value, low, high](std::string_view text)
    { return parse_number(text, low, high, value); };
    return {
        std::move(name), number_text(default_value), range_text(low, high),
        std::move(help), store};
}

setting fraction_setting(
    std::string name, double default_value, double low, double high,
    std::string help, double& value)
{
    auto store = [&value, low, high](std::string_view text)
    { return parse_number(text, low, high, value); };
    return {
        std::move(name), number_text(default_value), range_text(low, high),
        std::move(help), store};
}

setting duration_setting(
    std::string name, std::int64_t default_ms, std::int64_t low_ms,
    std::int64_t high_ms, std::string help, duration& value)
{
    auto store = [&value, low_ms, high_ms](std::string_view text)
    {
        std::int64_t ms = 0;
        if (!parse_number(text, low_ms, high_ms, ms))
            return false;
        value = std::chrono::milliseconds(ms);
        return true;
    };
    return {
        std::move(name), number_text(default_ms),
        range_text(low_ms, high_ms) + " milliseconds", std::move(help), store};
}

setting address_setting(
    std::string name, std::string default_value, std::string help,
    std::string& value)
{
    bool const may_be_empty = default_value.empty();
    auto store = [&value, may_be_empty](std::string_view text)
    {
        if (!(text.empty() && may_be_empty) && !split_address(text))
            return false;
        value = text;
        return true;
    };
    return {
        std::move(name), std::move(default_value),
        "an IPv4 address and a port, such as 127.0.0.1:8080", std::move(help),
        store};
}

setting address_list_setting(
    std::string name, std::string default_value, std::string help,
    std::vector<std::string>& value)
{
    auto store = [&value](std::string_view text)
    {
        std::vector<std::string> parts;
        if (!text.empty())
        {
            boost::split(
                parts, std::string(text), [](char c) { return c == ','; });
        }
        for (std::string const& it : parts)
        {
            if (!split_address(it))
                return false;
        }
        value = std::move(parts);
        return true;
    };
    return {
        std::move(name), std::move(default_value),
        "IPv4 addresses with ports, separated by commas", std::move(help),
        store};
}

setting url_setting(
    std::string name, std::string default_value, std::string help,
    std::string& value, bool may_be_empty)
{
    auto store = [&value, may_be_empty](std::string_view text)
    {
        constexpr std::string_view scheme = "http://";
        bool const is_url =
            text.starts_with(scheme) && text.size() > scheme.size();
        if (!is_url && !(text.empty() && may_be_empty))
            return false;
        value = text;
        while (value.ends_with('/'))
            value.pop_back();
        return true;
    };
    return {
        std::move(name), std::move(default_value),
        may_be_empty ? "an http:// URL, or empty" : "an http:// URL",
        std::move(help), store};
}

setting url_list_setting(
    std::string name, std::string default_value, std::string help,
    std::vector<std::string>& value)
{
    auto store = [&value](std::string_view text)
    {
        std::vector<std::string> parts;
        if (!text.empty())
        {
            boost::split(
                parts, std::string(text), [](char c) { return c == ','; });
        }
        std::string checked;
        setting const one = url_setting("", "", "", checked);
        for (std::string& it : parts)
        {
            if (!one.store(it))
                return false;
            it = checked;
        }
        value = std::move(parts);
        return true;
    };
    return {
        std::move(name), std::move(default_value),
        "http:// URLs, separated by commas", std::move(help), store};
}

setting choice_setting(
    std::string name, std::string default_value,
    std::vector<std::string> choices, std::string help, std::string& value)
{
    std::string allowed = "one of";
    for (std::string const& it : choices)
        allowed += " " + it;
    auto store = [&value, choices = std::move(choices)](std::string_view text)
    {
        if (std::find(choices.begin(), choices.end(), text) == choices.end())
            return false;
        value = text;
        return true;
    };
    return {
        std::move(name), std::move(default_value), std::move(allowed),
        std::move(help), store};
}

setting bool_setting(
    std::string name, bool default_value, std::string help, bool& value)
{
    auto store = [&value](std::string_view text)
    {
        if (text != "true" && text != "false")
            return false;
        value = text == "true";
        return true;
    };
    return {
        std::move(name), default_value ? "true" : "false", "true or false",
        std::move(help), store};
}

environment process_environment()
{
    return [](std::string const& name) -> std::optional<std::string>
    {
        char const* value = std::getenv(name.c_str());
        if (value == nullptr)
            return std::nullopt;
        return value;
    };
}

std::string settings_page(
    std::string_view binary, std::string_view prefix,
    std::span<setting const> table)
{
    std::ostringstream out;
    out << "## " << binary << "\n\n"
        << "| flag | environment variable | default | allowed | meaning |\n"
        << "|---|---|---|---|---|\n";
    for (setting const& it : table)
    {
        out << "| `--" << it.name << "` | `" << variable_name(prefix, it.name)
            << "` | "
            << (it.default_value.empty() ? "" : "`" + it.default_value + "`")
            << " | " << it.allowed << " | " << it.help << " |\n";
    }
    return out.str();
}

settings_outcome parse_settings(
    std::string_view binary, std::string_view prefix,
    std::span<setting const> table, std::span<std::string const> args,
    environment const& env, std::ostream& out, std::ostream& err,
    positional_arguments* positional)
{
    TCLAP::CmdLine cmd(
        std::string(binary) + " of the marjorambeam router", ' ',
        std::string(version));
    cmd.setExceptionHandling(false);
    std::optional<TCLAP::UnlabeledMultiArg<std::string>> words;
    if (positional != nullptr)
        words.emplace(positional->name, positional->help, false, "word", cmd);
    std::deque<TCLAP::ValueArg<std::string>> flags;
    // TCLAP prints arguments in reverse order of addition.
    TCLAP::SwitchArg check("", "check", "Check the settings and exit", cmd);
    TCLAP::SwitchArg docs("", "print-docs", "Print the settings page", cmd);
    for (auto it = table.rbegin(); it != table.rend(); ++it)
    {
        flags.emplace_front(
            "", it->name,
            it->help + " (" + it->allowed + "; default \"" + it->default_value +
                "\"; " + variable_name(prefix, it->name) + ")",
            false, it->default_value, "value", cmd);
    }
    try
    {
        std::vector<std::string> line(args.begin(), args.end());
        line.insert(line.begin(), std::string(binary));
        cmd.parse(line);
    }
    catch (TCLAP::ExitException const& e)
    {
        return {true, e.getExitStatus()};
    }
    catch (TCLAP::ArgException const& e)
    {
        err << binary << ": " << e.error() << " (" << e.argId() << ")\n";
        return {true, exit_usage};
    }
    if (docs.getValue())
    {
        out << settings_page(binary, prefix, table);
        return {true, 0};
    }
    bool is_valid =
        !words || take_positional(binary, words->getValue(), *positional, err);
    for (std::size_t i = 0; i < table.size(); ++i)
    {
        std::string value = flags[i].getValue();
        std::string source = "--" + table[i].name;
        if (!flags[i].isSet())
        {
            std::string const variable = variable_name(prefix, table[i].name);
            if (std::optional<std::string> const text = env(variable))
            {
                value = *text;
                source = variable;
            }
        }
        if (!table[i].store(value))
        {
            err << binary << ": " << source << ": \"" << value
                << "\" is not allowed; expected " << table[i].allowed << "\n";
            is_valid = false;
        }
    }
    if (!is_valid)
        return {true, exit_usage};
    if (check.getValue())
    {
        out << binary << ": settings are valid\n";
        return {true, 0};
    }
    return {};
}

result<std::pair<std::string, std::uint16_t>>
split_address(std::string_view text)
{
    constexpr std::int64_t max_port = 65535;
    std::size_t const colon = text.rfind(':');
    in_addr parsed{};
    std::int64_t port = 0;
    std::string host(
        text.substr(0, colon == std::string_view::npos ? 0 : colon));
    if (inet_pton(AF_INET, host.c_str(), &parsed) != 1 ||
        !parse_number<std::int64_t>(text.substr(colon + 1), 0, max_port, port))
    {
        return fail(
            error_kind::bad_setting,
            "\"" + std::string(text) + "\" is not an IPv4 address and port");
    }
    return std::pair(std::move(host), static_cast<std::uint16_t>(port));
}

} // namespace marjorambeam
