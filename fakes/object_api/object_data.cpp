#include "fakes/object_api/object_data.hpp"

namespace marjorambeam
{

object_data::kind_data const* object_data::find(std::string_view kind) const
{
    auto const it = kinds_.find(kind);
    return it == kinds_.end() ? nullptr : &it->second;
}

result<object_row>
object_data::get(std::string_view kind, std::string_view name) const
{
    kind_data const* data = find(kind);
    if (data != nullptr)
    {
        auto const it = data->by_name.find(name);
        if (it != data->by_name.end())
            return it->second;
    }
    return fail(error_kind::not_found, "the object does not exist");
}

result<std::uint64_t> object_data::create(
    std::string_view kind, std::string_view name, std::string value)
{
    kind_data& data = kinds_[std::string(kind)];
    if (data.by_name.count(name) > 0)
        return fail(error_kind::conflict, "the object exists");
    ++revision_;
    data.by_name.emplace(
        name, object_row{std::string(name), revision_, std::move(value)});
    data.by_revision.emplace(revision_, name);
    return revision_;
}

result<std::uint64_t> object_data::update(
    std::string_view kind, std::string_view name, std::uint64_t expected,
    std::string value)
{
    kind_data& data = kinds_[std::string(kind)];
    auto const it = data.by_name.find(name);
    if (it == data.by_name.end() || it->second.revision != expected)
        return fail(error_kind::conflict, "the object has another revision");
    data.by_revision.erase(expected);
    ++revision_;
    it->second.revision = revision_;
    it->second.value = std::move(value);
    data.by_revision.emplace(revision_, name);
    return revision_;
}

result<void> object_data::erase(
    std::string_view kind, std::string_view name, std::uint64_t expected)
{
    kind_data& data = kinds_[std::string(kind)];
    auto const it = data.by_name.find(name);
    if (it == data.by_name.end())
        return fail(error_kind::not_found, "the object does not exist");
    if (it->second.revision != expected)
        return fail(error_kind::conflict, "the object has another revision");
    data.by_revision.erase(expected);
    data.by_name.erase(it);
    ++revision_;
    return {};
}

object_page object_data::list(
    std::string_view kind, std::string_view after, std::size_t limit) const
{
    object_page page;
    page.revision = revision_;
    kind_data const* data = find(kind);
    if (data == nullptr)
        return page;
    std::size_t bytes = 0;
    auto it = data->by_name.upper_bound(after);
    for (; it != data->by_name.end(); ++it)
    {
        bytes += it->second.value.size();
        bool const is_full = page.objects.size() == limit ||
                             (bytes > max_page_bytes && !page.objects.empty());
        if (is_full)
        {
            page.has_more = true;
            break;
        }
        page.objects.push_back(it->second);
    }
    return page;
}

object_page
object_data::changes(std::string_view kind, std::uint64_t after) const
{
    object_page page;
    page.revision = revision_;
    kind_data const* data = find(kind);
    if (data == nullptr)
        return page;
    std::size_t bytes = 0;
    auto it = data->by_revision.upper_bound(after);
    for (; it != data->by_revision.end(); ++it)
    {
        object_row const& row = data->by_name.find(it->second)->second;
        bytes += row.value.size();
        if (bytes > max_page_bytes && !page.objects.empty())
        {
            page.has_more = true;
            page.revision = page.objects.back().revision;
            break;
        }
        page.objects.push_back(row);
    }
    return page;
}

} // namespace marjorambeam
