#include "ctl/where_command.hpp"

#include "base/percent_encoding.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <istream>
#include <nlohmann/json.hpp>
#include <ostream>
#include <utility>
#include <vector>

namespace marjorambeam
{
namespace
{

using nlohmann::json;
using table_row = std::vector<std::string>;

constexpr int status_ok = 200;

// The member as text; "-" if it is missing or null. Whole numbers have no
// fraction.
std::string text_of(json const& object, char const* name)
{
    auto const it = object.find(name);
    if (it == object.end() || it->is_null())
        return "-";
    if (it->is_string())
        return it->get<std::string>();
    if (it->is_boolean())
        return it->get<bool>() ? "yes" : "no";
    if (!it->is_number_float())
        return it->dump();
    std::array<char, 32> buf{};
    std::snprintf(buf.data(), buf.size(), "%.6g", it->get<double>());
    return buf.data();
}

std::string with_unit(std::string text, std::string_view unit)
{
    return text == "-" ? text : text.append(" ").append(unit);
}

std::string ms_of(json const& object, char const* name)
{
    return with_unit(text_of(object, name), "ms");
}

// Of an upstream of a plain service under overload control.
std::string room_of(json const& upstream)
{
    if (text_of(upstream, "verdict") == "full")
        return "none";
    return text_of(upstream, "has_free_slot") == "yes" ? "free" : "-";
}

// Aligns the columns to the left.
std::string format_table(std::vector<table_row> const& rows)
{
    std::vector<std::size_t> widths;
    for (table_row const& row : rows)
    {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    std::string out;
    for (table_row const& row : rows)
    {
        for (std::size_t i = 0; i + 1 < row.size(); ++i)
        {
            out += row[i];
            out.append(widths[i] - row[i].size() + 2, ' ');
        }
        out += row.back() + "\n";
    }
    return out;
}

std::string summary_of(json const& e)
{
    std::string const outcome = text_of(e, "outcome");
    std::string out = outcome;
    if (outcome == "sent")
        out += " to " + text_of(e, "chosen");
    else if (outcome == "waits")
        out += ": " + text_of(e, "reason") + ", at most " +
               ms_of(e, "max_wait_ms");
    else if (outcome == "held")
        out += ": the gateway starts and lacks its configuration or upstreams";
    else
    {
        out += ": " + text_of(e, "refusal");
        if (text_of(e, "reason") != text_of(e, "refusal"))
            out += " (" + text_of(e, "reason") + ")";
        out += ", retry after " + ms_of(e, "retry_after_ms");
    }
    return out + "\n";
}

std::string models_of(json const& e)
{
    std::string out = text_of(e, "model");
    json const models = e.value("models", json::array());
    if (models.size() < 2)
        return out;
    out += " (of";
    for (json const& it : models)
        out += " " + (it.is_string() ? it.get<std::string>() : it.dump());
    return out + ")";
}

std::string upstreams_of(json const& e)
{
    std::vector<table_row> rows{
        {"UPSTREAM", "ZONE", "VERSION", "REQUESTS", "SLOTS", "EXPECTED", "ROOM",
         "FAILURES", "REPORT", "VERDICT"}};
    json const upstreams = e.value("upstreams", json::array());
    for (json const& it : upstreams)
        rows.push_back(
            {text_of(it, "id"), text_of(it, "zone"), text_of(it, "version"),
             text_of(it, "requests"), text_of(it, "slots"),
             ms_of(it, "expected_ms"), room_of(it), text_of(it, "failure_rate"),
             ms_of(it, "report_age_ms"), text_of(it, "verdict")});
    std::string out = format_table(rows);
    out += std::to_string(rows.size() - 1) + " of " +
           text_of(e, "upstreams_listed") + " upstreams:";
    json const verdicts = e.value("verdicts", json::object());
    for (auto const& [name, n] : verdicts.items())
        out += " " + name + " " + n.dump();
    return out + "\n";
}

std::string end_of(json const& e)
{
    json const end = e.value("end_ms", json());
    std::string out = "ends: ";
    if (end.is_object())
        out += "likely in " + ms_of(end, "likely") + " (" +
               text_of(end, "early") + " to " + ms_of(end, "late") + ")";
    else
        out += "unknown";
    return out + ", deadline in " + ms_of(e, "until_deadline_ms") + "\n";
}

std::string format_explanation(json const& e)
{
    std::string out = summary_of(e);
    out += "configuration " + text_of(e, "config") + "\n";
    out += "route " + text_of(e, "route") + ", service " +
           text_of(e, "service") + ", organisation " +
           text_of(e, "organisation") + "\n";
    if (text_of(e, "service") == "-")
        return out;
    out += "priority " + text_of(e, "priority") + ", model " + models_of(e) +
           ", overload control " + text_of(e, "is_overload_controlled") +
           ", waiting " + text_of(e, "waiting") + "\n\n";
    out += upstreams_of(e) + "\n";
    if (text_of(e, "outcome") == "sent")
        out += end_of(e);
    return out;
}

// The exit code of an explanation; a script wants to know of a wrong route.
exit_code exit_code_of(json const& e)
{
    std::string const refusal = text_of(e, "refusal");
    if (refusal == to_string(error_kind::not_found) ||
        refusal == to_string(error_kind::unauthorized))
        return exit_code::not_found;
    bool const is_unready = text_of(e, "outcome") == "held" ||
                            refusal == to_string(error_kind::not_ready) ||
                            refusal == to_string(error_kind::isolated);
    return is_unready ? exit_code::failure : exit_code::done;
}

// The error of a response that is not an explanation.
error error_of(http_reply const& reply)
{
    json const body = json::parse(reply.body, nullptr, false);
    json const empty = json::object();
    json const& e =
        body.is_object() && body.contains("error") && body["error"].is_object()
            ? body["error"]
            : empty;
    if (text_of(e, "kind") == to_string(error_kind::bad_request))
        return make_error(error_kind::bad_request, text_of(e, "message"));
    return make_error(
        error_kind::internal,
        "status " + std::to_string(reply.status) +
            "; is it the metrics port of a gateway that knows /where?");
}

bool is_header_text(std::string_view text)
{
    return std::all_of(
        text.begin(), text.end(), [](char ch) { return ch > ' ' && ch < 127; });
}

} // namespace

std::string where_url(where_settings const& w)
{
    std::string url =
        "http://" + w.gateway + "/where?route=" + percent_encode(w.route);
    auto add = [&url](std::string_view name, std::string const& value)
    {
        if (!value.empty())
            url.append("&").append(name).append("=").append(
                percent_encode(value));
    };
    add("host", w.host);
    add("model", w.model);
    if (w.prompt_tokens > 0)
        add("prompt-tokens", std::to_string(w.prompt_tokens));
    add("shared-part", w.shared_part);
    if (w.output_tokens > 0)
        add("output-tokens", std::to_string(w.output_tokens));
    add("session", w.session);
    return url;
}

std::string where_table(std::string_view body)
{
    json const e = json::parse(body, nullptr, false);
    if (!e.is_object())
        return std::string(body) + "\n";
    return format_explanation(e);
}

exit_code run_where(ctl_context& c, ctl_arguments /*arguments*/)
{
    where_settings const& w = c.settings.where;
    if (w.gateway.empty() || w.route.empty())
        return report_error(
            c,
            make_error(
                error_kind::bad_request, "--gateway and --route are required"));
    std::string key = w.key;
    // From standard input a key stays out of the list of processes.
    if (key == "-")
        std::getline(c.in, key);
    if (!is_header_text(key))
        return report_error(
            c, make_error(
                   error_kind::bad_request,
                   "the key has characters that a header can't hold"));
    http_call call{.url = where_url(w), .timeout = c.settings.timeout};
    if (!key.empty())
        call.headers.emplace_back("Authorization", "Bearer " + key);
    result<http_reply> const reply = wait_for<http_reply>(
        c.loop, [&](auto done) { c.client.send(std::move(call), done); });
    if (!reply)
        return report_error(c, reply.error());
    json const e = json::parse(reply->body, nullptr, false);
    if (reply->status != status_ok || !e.is_object())
        return report_error(c, error_of(*reply));
    if (c.is_json())
        c.out << e.dump() << "\n";
    else
        c.out << where_table(reply->body);
    return exit_code_of(e);
}

} // namespace marjorambeam
