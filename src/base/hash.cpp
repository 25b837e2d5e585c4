#include "base/hash.hpp"

#include <algorithm>
#include <array>
#include <numeric>
#include <sodium.h>
#include <xxhash.h>

namespace marjorambeam
{

std::uint64_t hash64(std::string_view data, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

std::uint64_t rendezvous_score(std::string_view key, std::string_view node)
{
    return hash64(node, hash64(key));
}

std::vector<std::size_t> rendezvous_order(
    std::string_view key, std::span<const std::string> nodes, std::size_t limit)
{
    std::uint64_t const seed = hash64(key);
    std::vector<std::uint64_t> scores(nodes.size());
    for (std::size_t i = 0; i < nodes.size(); ++i)
        scores[i] = hash64(nodes[i], seed);
    std::vector<std::size_t> order(nodes.size());
    std::iota(order.begin(), order.end(), 0);
    std::size_t const n = std::min(limit, order.size());
    std::partial_sort(
        order.begin(), order.begin() + static_cast<std::ptrdiff_t>(n),
        order.end(),
        [&](std::size_t a, std::size_t b)
        {
            if (scores[a] != scores[b])
                return scores[a] > scores[b];
            return nodes[a] < nodes[b];
        });
    order.resize(n);
    return order;
}

std::string secret_hash(std::string_view secret)
{
    constexpr std::size_t digest_bytes = 32;
    std::array<unsigned char, digest_bytes> digest{};
    crypto_generichash(
        digest.data(), digest.size(),
        reinterpret_cast<unsigned char const*>(secret.data()), secret.size(),
        nullptr, 0);
    std::string hex(digest_bytes * 2 + 1, '\0');
    sodium_bin2hex(hex.data(), hex.size(), digest.data(), digest.size());
    hex.pop_back();
    return hex;
}

} // namespace marjorambeam
