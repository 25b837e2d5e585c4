// Rendezvous weight of a pair of 64-bit hashes.
//
// Example:
//   std::uint64_t weight = rendezvous_weight(hash64("w3"), hash64("entry-1"));
//
// Unlike rendezvous_score(), which hashes strings on each call, this suits
// routing decisions and subset selection, which compute many weights from the
// same few hashes.
#pragma once

#include <cstdint>

namespace marjorambeam
{

// Mixes two hashes into a weight (finalizer of MurmurHash3). Thread-safe.
constexpr std::uint64_t rendezvous_weight(std::uint64_t a, std::uint64_t b)
{
    std::uint64_t x = a ^ (b * 0x9e3779b97f4a7c15U);
    x ^= x >> 33U;
    x *= 0xff51afd7ed558ccdU;
    x ^= x >> 33U;
    x *= 0xc4ceb9fe1a85ec53U;
    x ^= x >> 33U;
    return x;
}

} // namespace marjorambeam
