// The contents of the fake object API: objects by kind and name, with one
// revision that grows with each change of any object.
//
// Example:
//   object_data data;
//   result<std::uint64_t> r = data.create("leases", "rollout", "{}");
//   data.update("leases", "rollout", *r, "{\"holder\":\"a\"}");
//
// Performs no I/O. Not thread-safe.
#pragma once

#include "error/error.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambeam
{

// One object with its name.
struct object_row
{
    std::string name;
    std::uint64_t revision = 0;
    std::string value;
};

// Part of a list or of the changes after a revision.
struct object_page
{
    std::uint64_t revision = 0; // of the store, or the last one of the page
    bool has_more = false;      // cut by the limit or the size
    std::vector<object_row> objects;
};

// The largest value, by the platform's limit of 1 MB.
constexpr std::size_t max_object_bytes = 1'000'000;

// A page ends when its values exceed this; one value always fits.
constexpr std::size_t max_page_bytes = std::size_t{4} << 20U;

class object_data
{
public:
    std::uint64_t revision() const
    {
        return revision_;
    }

    // Returns the object. Error: not_found.
    result<object_row> get(std::string_view kind, std::string_view name) const;

    // Stores a new object and returns its revision. Error: conflict when the
    // name is taken.
    result<std::uint64_t>
    create(std::string_view kind, std::string_view name, std::string value);

    // Replaces a value and returns the new revision. Error: conflict when the
    // object does not exist or has another revision.
    result<std::uint64_t> update(
        std::string_view kind, std::string_view name, std::uint64_t expected,
        std::string value);

    // Removes an object. Errors: not_found; conflict.
    result<void>
    erase(std::string_view kind, std::string_view name, std::uint64_t expected);

    // Objects whose names sort after `after`, by name; the page's revision is
    // the store's.
    object_page list(
        std::string_view kind, std::string_view after, std::size_t limit) const;

    // Objects of the kind that changed after `after` and still exist, by
    // revision. The page's revision is the one to continue after.
    object_page changes(std::string_view kind, std::uint64_t after) const;

private:
    struct kind_data
    {
        std::map<std::string, object_row, std::less<>> by_name;
        std::map<std::uint64_t, std::string> by_revision;
    };

    kind_data const* find(std::string_view kind) const;

    std::map<std::string, kind_data, std::less<>> kinds_;
    std::uint64_t revision_ = 0;
};

} // namespace marjorambeam
