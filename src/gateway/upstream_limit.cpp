#include "gateway/upstream_limit.hpp"

#include <limits>

namespace marjorambeam
{
namespace
{

// The limit as a number; no limit is above all others.
double as_number(std::optional<double> per_second)
{
    return per_second.value_or(std::numeric_limits<double>::infinity());
}

} // namespace

bool record_response_limit(
    limit_word& word, std::optional<double> per_second, steady_time sent,
    steady_time now)
{
    bool const may_be_older = sent < word.learned_at;
    bool const is_lower = as_number(per_second) < as_number(word.per_second);
    if (per_second == word.per_second || (may_be_older && !is_lower))
        return false;
    word = {
        .change = word.change + 1, .per_second = per_second, .learned_at = now};
    return true;
}

} // namespace marjorambeam
