// Divides the engines of a service between short and long prompts.
//
// Example:
//   prompt_mix& mix = state.prompt_mixes[service];
//   if (auto const share = short_prompt_share(mix, now))
//       n = short_prompt_engines(*share, engines.size());
//   ...
//   record_prompt(mix, work, now); // when it is sent
//
// An engine that reads a long prompt delays the events of all requests that run
// there, and the prompts behind it. The first engines by rank serve short
// prompts only, the others long ones only; see docs/design/placement.md. Plain
// data and free functions without I/O. Not thread-safe, except where a function
// says so.
#pragma once

#include "base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace marjorambeam
{

// Work, in prompt tokens of the smallest model, from which a prompt is long. An
// engine takes about 100 ms for it; readers notice a longer pause.
constexpr double long_prompt_work = 10'000;
// Engines for short prompts, relative to their part of the work. They need
// spare capacity: their targets leave no time for a queue.
constexpr double short_prompt_headroom = 1.9;
constexpr double min_short_share = 0.1;
constexpr double max_short_share = 0.5;
// Fewer engines are not divided; one that fails would leave too few of a part.
constexpr std::size_t min_separated_engines = 6;
// Time constant of the sums. It spans several waves of the traffic within a
// wave of some ten seconds.
constexpr duration prompt_mix_time = std::chrono::seconds(10);
// Recent work below which the mix is unknown: some twenty prompts of each size.
constexpr double min_mix_work = 200'000;

// Work of the prompts that were sent lately, as exponentially decayed sums.
struct prompt_mix
{
    double short_work = 0;
    double long_work = 0;
    steady_time updated_at{};
};

// Returns whether a prompt of this work is long. Thread-safe.
bool is_long_prompt(double work);

// Records a prompt that is sent to an engine. Ignores work that is not
// positive. Precondition: `now` never decreases.
void record_prompt(prompt_mix& mix, double work, steady_time now);

// Returns the part of the engines for short prompts, or nothing if there was
// too little work lately. Thread-safe while nothing is recorded.
std::optional<double>
short_prompt_share(prompt_mix const& mix, steady_time now);

// Returns how many of `engines` serve short prompts: at least one, and fewer
// than all; zero if they are too few to be divided. Precondition: `share` is
// from 0 to 1. Thread-safe.
std::size_t short_prompt_engines(double share, std::size_t engines);

// Returns the rank of an engine; those with the lowest ranks serve short
// prompts. All gateways compute the same, and ranks do not depend on the other
// engines. Thread-safe.
std::uint64_t separation_rank(std::string_view engine);

} // namespace marjorambeam
