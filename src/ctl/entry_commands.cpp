#include "ctl/entry_commands.hpp"

#include "ctl/explain_log.hpp"

#include <algorithm>
#include <cctype>
#include <fstream>
#include <istream>
#include <nlohmann/json.hpp>
#include <ostream>

namespace marjorambeam
{
namespace
{

using nlohmann::json;

constexpr std::size_t incarnation_digits = 16;
constexpr int status_ok = 200;
constexpr int status_not_found = 404;

// One entry's answer; `failure` is empty when `body` holds its JSON.
struct entry_answer
{
    std::string url;
    int status = 0;
    json body;
    std::string failure;
};

void read_reply(entry_answer& a, result<http_reply> const& reply)
{
    if (!reply)
    {
        a.failure = reply.error().message;
        return;
    }
    a.status = reply->status;
    if (reply->status != status_ok)
    {
        a.failure = "status " + std::to_string(reply->status);
        return;
    }
    a.body = json::parse(reply->body, nullptr, false);
    if (a.body.is_discarded())
        a.failure = "the answer is not JSON";
}

// Asks all entries for `path` and waits for every answer.
std::vector<entry_answer> ask_entries(ctl_context& c, std::string const& path)
{
    std::vector<entry_answer> answers;
    for (std::string const& it : c.settings.entries)
        answers.push_back({it});
    std::size_t waiting = answers.size();
    for (entry_answer& it : answers)
    {
        http_call call{.url = it.url + path, .timeout = c.settings.timeout};
        c.client.send(
            std::move(call),
            [&](result<http_reply> const& reply)
            {
                read_reply(it, reply);
                --waiting;
                c.loop.break_loop(ev::ALL);
            });
    }
    while (waiting > 0)
        c.loop.run();
    return answers;
}

} // namespace

bool is_request_id(std::string_view text)
{
    constexpr std::string_view prefix = "r-";
    if (!text.starts_with(prefix))
        return false;
    text.remove_prefix(prefix.size());
    std::string_view const digits = text.substr(0, incarnation_digits);
    std::string_view const rest = text.substr(digits.size());
    auto is_hex = [](unsigned char ch) { return std::isxdigit(ch) != 0; };
    auto is_digit = [](unsigned char ch) { return std::isdigit(ch) != 0; };
    return digits.size() == incarnation_digits &&
           std::all_of(digits.begin(), digits.end(), is_hex) &&
           rest.size() > 1 && rest.front() == '-' &&
           std::all_of(rest.begin() + 1, rest.end(), is_digit);
}

exit_code run_status(ctl_context& c, ctl_arguments /*arguments*/)
{
    result<config_snapshot> const config = c.configs.load();
    std::vector<entry_answer> const answers = ask_entries(c, "/admin/status");
    json body;
    body["store"]["url"] = c.settings.store;
    if (config)
        body["store"]["generation"] = config->number;
    else
        body["store"]["error"] = config.error().message;
    body["entries"] = json::array();
    exit_code code = exit_code::done;
    for (entry_answer const& it : answers)
    {
        json row = {{"url", it.url}};
        if (it.failure.empty())
            row["status"] = it.body;
        else
            row["error"] = it.failure;
        if (!it.failure.empty())
            code = exit_code::failure;
        body["entries"].push_back(std::move(row));
    }
    c.out << (c.is_json() ? body.dump() : body.dump(2)) << "\n";
    return config ? code : exit_code_for(config.error().kind);
}

namespace
{

exit_code
print_explanation(ctl_context& c, std::string const& id, std::istream& log)
{
    log_explanation const x = explain_from_log(log, id);
    if (x.skipped > 0)
        c.err << "lines of another form: " << x.skipped << "\n";
    if (x.lines.empty())
        return report_error(
            c, make_error(error_kind::not_found, "no line has the id " + id));
    if (c.is_json())
    {
        json body = {{"request_id", id}, {"cause", x.cause}};
        for (log_line const& it : x.lines)
            body["lines"].push_back(it.text);
        body["context"] = json::array();
        for (log_line const& it : x.context)
            body["context"].push_back(it.text);
        c.out << body.dump(-1, ' ', false, json::error_handler_t::replace)
              << "\n";
        return exit_code::done;
    }
    c.out << x.cause << "\n\nLines of the request:\n";
    for (log_line const& it : x.lines)
        c.out << "  " << it.text << "\n";
    c.out << "\nWhat was known beside it:\n";
    for (log_line const& it : x.context)
        c.out << "  " << it.text << "\n";
    return exit_code::done;
}

} // namespace

exit_code run_explain(ctl_context& c, ctl_arguments arguments)
{
    std::string const& id = arguments[0];
    if (c.settings.log == "-")
        return print_explanation(c, id, c.in);
    if (!c.settings.log.empty())
    {
        std::ifstream file(c.settings.log);
        if (!file)
            return report_error(
                c, make_error(
                       error_kind::bad_request,
                       "can't read the log file " + c.settings.log));
        return print_explanation(c, id, file);
    }
    if (!is_request_id(id))
    {
        return report_error(
            c, make_error(
                   error_kind::bad_request,
                   "a request id has the form r-<16 hex digits>-<number>"));
    }
    if (c.settings.entries.empty())
    {
        return report_error(
            c, make_error(error_kind::bad_request, "--entries is required"));
    }
    std::string failures;
    for (entry_answer const& it : ask_entries(c, "/admin/explain/" + id))
    {
        if (it.failure.empty())
        {
            c.out << (c.is_json() ? it.body.dump() : it.body.dump(2)) << "\n";
            return exit_code::done;
        }
        if (it.status != status_not_found)
            failures += "; " + it.url + ": " + it.failure;
    }
    if (failures.empty())
    {
        return report_error(
            c, make_error(error_kind::not_found, "no entry knows " + id));
    }
    return report_error(
        c, make_error(
               error_kind::internal,
               "no entry that answered knows " + id + failures));
}

} // namespace marjorambeam
