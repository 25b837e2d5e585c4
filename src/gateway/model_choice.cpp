#include "gateway/model_choice.hpp"

#include <algorithm>
#include <array>

namespace marjorambeam
{
namespace
{

// By model_choice_reason.
constexpr std::array<std::string_view, 7> reason_names{
    "chosen",     "confident", "no_candidate",  "no_attempts",
    "cannot_end", "queue",     "late_to_target"};
static_assert(
    reason_names.size() ==
    static_cast<std::size_t>(model_choice_reason::late_to_target) + 1);

// Returns why a candidate does not replace the response, or `chosen`.
model_choice_reason judge(model_choice_query const& q, model_candidate const& c)
{
    bool const is_largest = c.model + 1 == q.escalation.models;
    bool const is_too_late = !can_end_within(c.completion, q.until_deadline);
    // Nothing but a prediction speaks for a model that is not the largest.
    if (is_too_late || (!is_largest && !c.completion.is_known))
        return model_choice_reason::cannot_end;
    double const confidence = *q.escalation.confidence;
    larger_model_delay const unqueued{
        .expected = c.delay.expected - c.delay.queued, .left = c.delay.left};
    if (confidence >= required_confidence(unqueued))
        return model_choice_reason::late_to_target;
    double required = required_confidence(c.delay);
    if (confidence >= required)
        return model_choice_reason::queue;
    required *= is_largest ? 1 : middle_model_gain;
    double const excess =
        (delay_of_others(c, q.target) - free_delay_of_others) /
        (max_delay_of_others - free_delay_of_others);
    return confidence < required * (1 - std::clamp(excess, 0.0, 1.0))
               ? model_choice_reason::chosen
               : model_choice_reason::queue;
}

} // namespace

model_choice choose_model(model_choice_query const& q)
{
    escalation_query const& e = q.escalation;
    if (!e.confidence || *e.confidence >= min_confidence)
        return {std::nullopt, model_choice_reason::confident};
    if (e.current + 1 >= e.models)
        return {std::nullopt, model_choice_reason::no_candidate};
    if (!e.has_attempts)
        return {std::nullopt, model_choice_reason::no_attempts};
    std::optional<model_choice_reason> first;
    for (model_candidate const& c : q.candidates)
    {
        if (c.model <= e.current || c.model >= e.models)
            continue;
        model_choice_reason const reason = judge(q, c);
        if (reason == model_choice_reason::chosen)
            return {c.model, reason};
        if (!first)
            first = reason;
        if (!may_ask_smaller(reason))
            break;
    }
    return {std::nullopt, first.value_or(model_choice_reason::no_candidate)};
}

bool may_ask_smaller(model_choice_reason reason)
{
    return reason == model_choice_reason::cannot_end ||
           reason == model_choice_reason::queue;
}

bool can_end_within(completion_prediction const& p, duration left)
{
    return !p.is_known || to_seconds(p.likely) * end_margin <= to_seconds(left);
}

double delay_of_others(model_candidate const& c, duration target)
{
    constexpr double shortest_target_s = 0.1;
    return to_seconds(std::max(c.own_time, duration{0})) *
           std::max(c.requests, 0.0) /
           std::max(to_seconds(target), shortest_target_s);
}

std::string_view name_of(model_choice_reason reason)
{
    return reason_names.at(static_cast<std::size_t>(reason));
}

} // namespace marjorambeam
