#include "gateway/prompt_separation.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <cmath>

namespace marjorambeam
{
namespace
{

// Makes the ranks independent of other uses of the hash of an id.
constexpr std::uint64_t rank_seed = 77;

double decay_since(prompt_mix const& mix, steady_time now)
{
    return std::exp(
        -to_seconds(now - mix.updated_at) / to_seconds(prompt_mix_time));
}

} // namespace

bool is_long_prompt(double work)
{
    return work > long_prompt_work;
}

void record_prompt(prompt_mix& mix, double work, steady_time now)
{
    if (!(work > 0))
        return;
    double const decay = decay_since(mix, now);
    mix.short_work *= decay;
    mix.long_work *= decay;
    mix.updated_at = now;
    (is_long_prompt(work) ? mix.long_work : mix.short_work) += work;
}

std::optional<double> short_prompt_share(prompt_mix const& mix, steady_time now)
{
    double const total = mix.short_work + mix.long_work;
    if (total * decay_since(mix, now) < min_mix_work)
        return std::nullopt;
    return std::clamp(
        short_prompt_headroom * mix.short_work / total, min_short_share,
        max_short_share);
}

std::size_t short_prompt_engines(double share, std::size_t engines)
{
    if (engines < min_separated_engines)
        return 0;
    auto const n = static_cast<std::size_t>(
        std::lround(share * static_cast<double>(engines)));
    return std::clamp<std::size_t>(n, 1, engines - 1);
}

std::uint64_t separation_rank(std::string_view engine)
{
    return hash64(engine, rank_seed);
}

} // namespace marjorambeam
