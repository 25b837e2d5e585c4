#include "config_edit/document_change.hpp"
#include "ctl/bill_command.hpp"
#include "ctl/ctl.hpp"
#include "ctl/entry_commands.hpp"
#include "ctl/where_command.hpp"
#include "log/log_events.hpp"

#include "base/hash.hpp"
#include "base/id.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <fstream>
#include <functional>
#include <iterator>
#include <nlohmann/json.hpp>
#include <ostream>

namespace marjorambeam
{
namespace
{

using nlohmann::json;
using edits_result = result<std::vector<document_edit>>;

constexpr std::size_t history_page = 200;

// The document kind given on the command line; a wrong one is a usage error.
result<document_kind> kind_argument(std::string const& text)
{
    result<document_kind> kind = parse_document_kind(text);
    if (!kind)
        return fail(error_kind::bad_request, kind.error().message);
    return kind;
}

result<std::string> read_file(ctl_context& c, std::string const& path)
{
    using iterator = std::istreambuf_iterator<char>;
    if (path == "-")
        return std::string(iterator(c.in), iterator());
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return fail(error_kind::internal, "can't read the file " + path);
    return std::string(iterator(file), iterator());
}

edits_result read_documents(ctl_context& c, std::string const& path)
{
    result<std::string> const text = read_file(c, path);
    if (!text)
        return tl::unexpected<error>(text.error());
    return parse_documents(*text);
}

void print_change(ctl_context& c, bool is_changed, edit_state const& s)
{
    std::uint64_t const number = is_changed ? *s.outcome : s.base.number;
    if (c.is_json())
    {
        json body = {{"changed", is_changed}, {"generation", number}};
        if (is_changed)
            body["edit_id"] = s.proposal.edit_id;
        c.out << body.dump() << "\n";
        return;
    }
    c.out << (is_changed ? "accepted as generation " : "unchanged since ")
          << (is_changed ? "" : "generation ") << number << "\n";
}

// Loads the configuration, lets `change` derive the edits and commits them.
exit_code edit_config(
    ctl_context& c,
    std::function<edits_result(config_snapshot const&)> const& change)
{
    steady_time const give_up_at = steady_now() + c.settings.timeout;
    result<config_snapshot> config = c.configs.load();
    if (!config)
        return report_error(c, config.error());
    edits_result edits = change(*config);
    if (!edits)
        return report_error(c, edits.error());
    drop_unchanged(*config, *edits);
    if (edits->empty())
    {
        edit_state unchanged;
        unchanged.base = std::move(*config);
        print_change(c, false, unchanged);
        return exit_code::done;
    }
    std::int64_t const time_ms = to_unix_ms(wall_now());
    generation const proposal{
        0, make_uuid7(time_ms, random_incarnation()), c.settings.author,
        time_ms, std::move(*edits)};
    edit_state const end =
        c.configs.commit(std::move(*config), proposal, give_up_at);
    if (!end.outcome)
    {
        return report_error(
            c, end.outcome.error(), end.other ? &*end.other : nullptr);
    }
    print_change(c, true, end);
    if (!c.configs.checkpoint_failure().empty())
    {
        c.err << "marjorambeam-ctl: the change is accepted, but its checkpoint "
                 "is not confirmed; a later change writes one if it is "
                 "missing: "
              << c.configs.checkpoint_failure() << "\n";
    }
    return exit_code::done;
}

exit_code run_apply(ctl_context& c, ctl_arguments a)
{
    edits_result const edits = read_documents(c, a[0]);
    if (!edits)
        return report_error(c, edits.error());
    return edit_config(c, [&](config_snapshot const&) { return *edits; });
}

exit_code run_delete(ctl_context& c, ctl_arguments a)
{
    result<document_kind> const kind = kind_argument(a[0]);
    if (!kind)
        return report_error(c, kind.error());
    return edit_config(
        c, [&](config_snapshot const& config)
        { return delete_document(config, *kind, a[1]); });
}

exit_code set_state(
    ctl_context& c, document_kind kind, std::string_view name,
    std::string_view state)
{
    return edit_config(
        c, [&](config_snapshot const& config)
        { return change_state(config, kind, name, state); });
}

exit_code run_zone_out(ctl_context& c, ctl_arguments a)
{
    return set_state(c, document_kind::availability_zone, a[0], "out");
}

exit_code run_zone_in(ctl_context& c, ctl_arguments a)
{
    return set_state(c, document_kind::availability_zone, a[0], "in");
}

exit_code run_upstream_out(ctl_context& c, ctl_arguments a)
{
    return set_state(c, document_kind::upstream, a[0], "out");
}

exit_code run_upstream_in(ctl_context& c, ctl_arguments a)
{
    return set_state(c, document_kind::upstream, a[0], "in");
}

exit_code set_version(
    ctl_context& c, std::string_view id, std::string_view state, double share)
{
    return edit_config(
        c, [&](config_snapshot const& config)
        { return change_version(config, id, state, share); });
}

exit_code run_version_withdraw(ctl_context& c, ctl_arguments a)
{
    return set_version(c, a[0], "withdrawn", 0);
}

exit_code run_version_activate(ctl_context& c, ctl_arguments a)
{
    return set_version(c, a[0], "active", 0);
}

exit_code run_version_roll(ctl_context& c, ctl_arguments a)
{
    double share = 0;
    char const* end = a[1].data() + a[1].size();
    auto const [at, ec] = std::from_chars(a[1].data(), end, share);
    if (ec != std::errc() || at != end || !(share >= 0 && share <= 1))
    {
        return report_error(
            c,
            make_error(error_kind::bad_request, "SHARE must be from 0 to 1"));
    }
    return set_version(c, a[0], "rolling", share);
}

exit_code run_diff(ctl_context& c, ctl_arguments a)
{
    edits_result const edits = read_documents(c, a[0]);
    if (!edits)
        return report_error(c, edits.error());
    result<config_snapshot> const config = c.configs.load();
    if (!config)
        return report_error(c, config.error());
    json const changes = json::parse(diff_documents(*config, *edits));
    if (c.is_json())
    {
        c.out << changes.dump() << "\n";
        return exit_code::done;
    }
    for (json const& it : changes)
    {
        c.out << it["change"].get<std::string>() << " "
              << it["kind"].get<std::string>() << "/"
              << it["name"].get<std::string>() << "\n";
        for (json const& step : it["patch"])
            c.out << "  " << step.dump() << "\n";
    }
    return exit_code::done;
}

exit_code run_get(ctl_context& c, ctl_arguments a)
{
    result<document_kind> const kind = kind_argument(a[0]);
    if (!kind)
        return report_error(c, kind.error());
    result<config_snapshot> const config = c.configs.load();
    if (!config)
        return report_error(c, config.error());
    result<std::string> const text = find_document(*config, *kind, a[1]);
    if (!text)
        return report_error(c, text.error());
    json const body = {
        {"kind", to_string(*kind)},
        {"name", a[1]},
        {"document", json::parse(*text)}};
    if (c.is_json())
        c.out << body.dump() << "\n";
    else
        c.out << body["document"].dump(2) << "\n";
    return exit_code::done;
}

exit_code run_list(ctl_context& c, ctl_arguments a)
{
    result<document_kind> const kind = kind_argument(a[0]);
    if (!kind)
        return report_error(c, kind.error());
    result<config_snapshot> const config = c.configs.load();
    if (!config)
        return report_error(c, config.error());
    std::string const prefix = std::string(to_string(*kind)) + "/";
    json rows = json::array();
    for (auto const& [key, text] : config->texts)
    {
        if (!key.starts_with(prefix))
            continue;
        rows.push_back(
            {{"kind", to_string(*kind)},
             {"name", key.substr(prefix.size())},
             {"document", json::parse(text)}});
    }
    if (c.is_json())
    {
        c.out << rows.dump() << "\n";
        return exit_code::done;
    }
    for (json const& it : rows)
    {
        c.out << it["name"].get<std::string>();
        if (it["document"].contains("state"))
            c.out << " " << it["document"]["state"].get<std::string>();
        c.out << "\n";
    }
    return exit_code::done;
}

// The changes of one document, or of all, newest first, with why a generation
// was refused.
result<std::vector<generation>> read_history(
    ctl_context& c, std::uint64_t newest, document_edit const* document)
{
    auto const limit = static_cast<std::size_t>(c.settings.limit);
    std::vector<generation> found;
    std::uint64_t end = newest;
    while (end > 0 && found.size() < limit)
    {
        std::uint64_t const start = end - std::min(end, history_page);
        result<std::vector<generation>> page =
            c.configs.read_generations(start, end - start);
        if (!page)
            return page;
        for (auto it = page->rbegin(); it != page->rend(); ++it)
        {
            bool const is_wanted =
                document == nullptr ||
                touch_same_document(*it, {0, "", "", 0, {*document}});
            if (is_wanted && found.size() < limit)
                found.push_back(std::move(*it));
        }
        end = start;
    }
    return found;
}

void print_generation(
    ctl_context& c, config_snapshot const& config, generation const& g)
{
    auto const refused = config.refused.find(g.number);
    c.out << g.number << " " << g.time_ms << " " << g.author << " "
          << g.edit_id;
    for (document_edit const& it : g.edits)
    {
        c.out << (it.json.empty() ? " delete " : " put ") << to_string(it.kind)
              << "/" << it.name;
    }
    if (refused != config.refused.end())
        c.out << " refused: " << refused->second;
    c.out << "\n";
}

exit_code run_history(ctl_context& c, ctl_arguments a)
{
    if (a.size() == 1)
    {
        return report_error(
            c, make_error(error_kind::bad_request, "a NAME is missing"));
    }
    document_edit document;
    if (a.size() == 2)
    {
        result<document_kind> const kind = kind_argument(a[0]);
        if (!kind)
            return report_error(c, kind.error());
        document = {*kind, a[1], ""};
    }
    result<config_snapshot> const config = c.configs.load();
    if (!config)
        return report_error(c, config.error());
    result<std::vector<generation>> const history =
        read_history(c, config->number, a.empty() ? nullptr : &document);
    if (!history)
        return report_error(c, history.error());
    json rows = json::array();
    for (generation const& it : *history)
    {
        if (!c.is_json())
        {
            print_generation(c, *config, it);
            continue;
        }
        json row = json::parse(to_json(it));
        row["generation"] = it.number;
        auto const refused = config->refused.find(it.number);
        if (refused != config->refused.end())
            row["refused"] = refused->second;
        rows.push_back(std::move(row));
    }
    if (c.is_json())
        c.out << rows.dump() << "\n";
    return exit_code::done;
}

exit_code run_hash_key(ctl_context& c, ctl_arguments a)
{
    std::string key = a[0];
    // From standard input a key stays out of the list of processes.
    if (key == "-")
        std::getline(c.in, key);
    if (key.empty())
    {
        return report_error(
            c, make_error(error_kind::bad_request, "the key is empty"));
    }
    std::string const hash = secret_hash(key);
    if (c.is_json())
        c.out << json{{"key_hash", hash}}.dump() << "\n";
    else
        c.out << hash << "\n";
    return exit_code::done;
}

// Prints the page of the events in logs.
exit_code run_events(ctl_context& c, ctl_arguments /*arguments*/)
{
    c.out << log_events_page();
    return exit_code::done;
}

constexpr std::array commands{
    ctl_command{"apply", "FILE|-", 1, 1, true, run_apply},
    ctl_command{"get", "KIND NAME", 2, 2, true, run_get},
    ctl_command{"list", "KIND", 1, 1, true, run_list},
    ctl_command{"delete", "KIND NAME", 2, 2, true, run_delete},
    ctl_command{"diff", "FILE|-", 1, 1, true, run_diff},
    ctl_command{"history", "[KIND NAME]", 0, 2, true, run_history},
    ctl_command{"zone out", "NAME", 1, 1, true, run_zone_out},
    ctl_command{"zone in", "NAME", 1, 1, true, run_zone_in},
    ctl_command{"upstream out", "NAME", 1, 1, true, run_upstream_out},
    ctl_command{"upstream in", "NAME", 1, 1, true, run_upstream_in},
    ctl_command{
        "version withdraw", "MODEL@VERSION", 1, 1, true, run_version_withdraw},
    ctl_command{
        "version roll", "MODEL@VERSION SHARE", 2, 2, true, run_version_roll},
    ctl_command{
        "version activate", "MODEL@VERSION", 1, 1, true, run_version_activate},
    ctl_command{"hash-key", "KEY|-", 1, 1, false, run_hash_key},
    ctl_command{"events", "", 0, 0, false, run_events},
    ctl_command{"status", "", 0, 0, true, run_status},
    ctl_command{"explain", "REQUEST_ID", 1, 1, false, run_explain},
    ctl_command{
        "where", "--gateway HOST:PORT --route PATH", 0, 0, false, run_where},
    ctl_command{"bill", "CUSTOMER", 1, 1, true, run_bill}};

} // namespace

std::span<ctl_command const> command_table()
{
    return commands;
}

} // namespace marjorambeam
