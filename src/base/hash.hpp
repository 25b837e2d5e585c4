// Hashing by xxHash and rendezvous (highest random weight) selection.
//
// Example:
//   std::uint64_t owner_score = rendezvous_score("customer-7", "entry-2");
//   auto owners = rendezvous_order("customer-7", entry_names);
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambeam
{

// Returns the 64-bit xxHash of `data`. Thread-safe.
std::uint64_t hash64(std::string_view data, std::uint64_t seed = 0);

// Returns the weight of `node` for `key`. The node with the largest weight
// owns the key; removing a node moves only the keys that it owned.
// Thread-safe.
std::uint64_t rendezvous_score(std::string_view key, std::string_view node);

// Returns the indexes of `nodes` in descending order of weight for `key`, at
// most `limit` of them. Ties are broken by name. Thread-safe.
std::vector<std::size_t> rendezvous_order(
    std::string_view key, std::span<const std::string> nodes,
    std::size_t limit = SIZE_MAX);

// Returns the keyed-less BLAKE2b hash of `secret` in hexadecimal, as stored in
// contracts in place of the key itself. Thread-safe.
std::string secret_hash(std::string_view secret);

} // namespace marjorambeam
