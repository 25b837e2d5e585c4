#include "config_edit/document_change.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace marjorambeam
{
namespace
{

using nlohmann::json;

std::string text_key(document_kind kind, std::string_view name)
{
    return std::string(to_string(kind)) + "/" + std::string(name);
}

result<document_edit> parse_edit(json const& in)
{
    constexpr std::string_view expected =
        "expected an object with kind, name and document";
    if (!in.is_object() || in.size() != 3 || !in.contains("kind") ||
        !in.contains("name") || !in.contains("document"))
        return fail(error_kind::bad_document, std::string(expected));
    if (!in["kind"].is_string() || !in["name"].is_string())
        return fail(error_kind::bad_document, "kind and name must be texts");
    result<document_kind> const kind =
        parse_document_kind(in["kind"].get<std::string>());
    if (!kind)
        return tl::unexpected<error>(kind.error());
    document_edit edit{
        *kind, in["name"].get<std::string>(), in["document"].dump()};
    result<void> const checked = check_document(*kind, edit.name, edit.json);
    if (!checked)
        return tl::unexpected<error>(checked.error());
    return edit;
}

// The document in force with some of its fields replaced.
result<std::vector<document_edit>> change_fields(
    config_snapshot const& config, document_kind kind, std::string_view name,
    json const& fields)
{
    result<std::string> const text = find_document(config, kind, name);
    if (!text)
        return tl::unexpected<error>(text.error());
    json document = json::parse(*text);
    document.update(fields);
    return std::vector<document_edit>{
        {kind, std::string(name), document.dump()}};
}

} // namespace

result<std::vector<document_edit>> parse_documents(std::string_view text)
{
    json in = json::parse(text, nullptr, false);
    if (in.is_discarded())
        return fail(error_kind::bad_document, "the file is not valid JSON");
    if (!in.is_array())
        in = json::array({in});
    std::vector<document_edit> edits;
    std::set<std::string> seen;
    std::string faults;
    auto add_fault = [&](std::size_t i, std::string const& reason)
    {
        faults += (faults.empty() ? "" : "; ") + std::string("document ") +
                  std::to_string(i + 1) + ": " + reason;
    };
    for (std::size_t i = 0; i < in.size(); ++i)
    {
        result<document_edit> edit = parse_edit(in[i]);
        if (!edit)
            add_fault(i, edit.error().message);
        else if (!seen.insert(text_key(edit->kind, edit->name)).second)
            add_fault(i, text_key(edit->kind, edit->name) + " is there twice");
        else
            edits.push_back(std::move(*edit));
    }
    if (!faults.empty())
        return fail(error_kind::bad_document, faults);
    return edits;
}

result<std::string> find_document(
    config_snapshot const& config, document_kind kind, std::string_view name)
{
    std::string const key = text_key(kind, name);
    auto const it = config.texts.find(key);
    if (it == config.texts.end())
        return fail(error_kind::not_found, key + " does not exist");
    return it->second;
}

result<std::vector<document_edit>> delete_document(
    config_snapshot const& config, document_kind kind, std::string_view name)
{
    result<std::string> const text = find_document(config, kind, name);
    if (!text)
        return tl::unexpected<error>(text.error());
    return std::vector<document_edit>{{kind, std::string(name), ""}};
}

result<std::vector<document_edit>> change_state(
    config_snapshot const& config, document_kind kind, std::string_view name,
    std::string_view state)
{
    return change_fields(config, kind, name, {{"state", state}});
}

result<std::vector<document_edit>> change_version(
    config_snapshot const& config, std::string_view id, std::string_view state,
    double share)
{
    return change_fields(
        config, document_kind::version, id,
        {{"state", state}, {"share", state == "rolling" ? share : 0.0}});
}

void drop_unchanged(
    config_snapshot const& config, std::vector<document_edit>& edits)
{
    auto is_same = [&](document_edit const& it)
    {
        result<std::string> const text =
            find_document(config, it.kind, it.name);
        if (it.json.empty())
            return !text;
        return text && json::parse(*text) == json::parse(it.json);
    };
    edits.erase(
        std::remove_if(edits.begin(), edits.end(), is_same), edits.end());
}

std::string diff_documents(
    config_snapshot const& config, std::vector<document_edit> const& edits)
{
    json out = json::array();
    for (document_edit const& it : edits)
    {
        result<std::string> const text =
            find_document(config, it.kind, it.name);
        json const before = text ? json::parse(*text) : json();
        json const after = it.json.empty() ? json() : json::parse(it.json);
        std::string_view change = "change";
        if (before == after)
            change = "none";
        else if (!text)
            change = "add";
        else if (it.json.empty())
            change = "delete";
        out.push_back(
            {{"kind", to_string(it.kind)},
             {"name", it.name},
             {"change", change},
             {"patch", json::diff(before, after)}});
    }
    return out.dump();
}

} // namespace marjorambeam
