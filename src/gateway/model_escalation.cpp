#include "gateway/model_escalation.hpp"

#include <algorithm>
#include <cmath>

namespace marjorambeam
{
namespace
{

// Time per token of the largest model relative to the smallest.
constexpr double largest_pace = 10;

} // namespace

std::size_t first_model(escalation_query const& q)
{
    // A resumed response can't escalate later, so it starts with the largest.
    return q.is_resumed && q.models > 0 ? q.models - 1 : 0;
}

std::optional<std::size_t> escalation_target(escalation_query const& q)
{
    bool const is_confident = !q.confidence || *q.confidence >= min_confidence;
    if (is_confident || q.current + 1 >= q.models || !q.has_attempts)
        return std::nullopt;
    return q.models - 1;
}

namespace
{

// Threshold by the ratio of the expected delay to the time left.
double confidence_for_delay(double ratio)
{
    if (ratio <= on_time_ratio)
        return min_confidence;
    if (ratio <= 1)
        return min_confidence + (min_just_in_time_confidence - min_confidence) *
                                    (ratio - on_time_ratio) /
                                    (1 - on_time_ratio);
    return min_just_in_time_confidence *
           std::max(0.0, (max_delay_ratio - ratio) / (max_delay_ratio - 1));
}

// Threshold by the ratio of the queueing time to the time left.
double confidence_for_queue(double ratio)
{
    double const excess =
        (ratio - min_queue_ratio) / (max_queue_ratio - min_queue_ratio);
    return min_confidence * (1 - std::clamp(excess, 0.0, 1.0));
}

} // namespace

double required_confidence(larger_model_delay const& t)
{
    double const left = std::max(to_seconds(t.left), 0.001);
    return std::min(
        confidence_for_delay(to_seconds(t.expected) / left),
        confidence_for_queue(to_seconds(t.queued) / left));
}

bool is_worth_escalating(escalation_query const& q, larger_model_delay const& t)
{
    return !q.confidence || *q.confidence < required_confidence(t);
}

double model_pace(std::size_t model, std::size_t models)
{
    if (models <= 1)
        return 1;
    double const ratio =
        static_cast<double>(model) / static_cast<double>(models - 1);
    return std::pow(largest_pace, ratio);
}

} // namespace marjorambeam
