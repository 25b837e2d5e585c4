// Series of estimates by the hash of a name, of a bounded number.
//
// Example:
//   auto& e = entry_of(all.routes, hash64("chat"), ++all.updates);
//   if (auto const* known = find_entry(all.routes, "chat")) use(*known);
//
// `Map` is an unordered map from hashes to structs with a member `updated`, the
// number of the latest update. Not thread-safe, except where a function says
// so.
#pragma once

#include "base/hash.hpp"
#include "gateway/completion_estimate.hpp"

#include <algorithm>
#include <cstdint>
#include <string_view>

namespace marjorambeam
{

// Larger hints, lengths and numbers of requests are invalid. Hints are written
// by callers, and one of 1e300 would move the mean of a route for weeks.
constexpr double max_estimated_count = 1e7;

// Returns whether `count` is positive and not too large. Thread-safe.
inline bool is_valid_count(double count)
{
    return count > 0 && count <= max_estimated_count;
}

// Returns the entry of `key`. A new one replaces the one that was not updated
// for the longest if there are too many.
template <class Map>
auto& entry_of(Map& all, std::uint64_t key, std::uint64_t update)
{
    if (all.size() >= max_estimated_series && !all.contains(key))
        all.erase(std::min_element(
            all.begin(), all.end(),
            [](auto const& a, auto const& b)
            { return a.second.updated < b.second.updated; }));
    auto& entry = all[key];
    entry.updated = update;
    return entry;
}

// Returns the entry of `name`, or null. Thread-safe while no function changes
// `all`.
template <class Map>
auto const* find_entry(Map const& all, std::string_view name)
{
    auto const it = all.find(hash64(name));
    return it == all.end() ? nullptr : &it->second;
}

} // namespace marjorambeam
