#include "gateway/load_admission.hpp"

#include <algorithm>

namespace marjorambeam
{
namespace
{

constexpr double early_fraction = 0.1;
constexpr double likely_fraction = 0.5;
constexpr double late_fraction = 0.9;
// Width of a bucket of the error, a quarter of a power of two. The ratio that
// is read from a bucket may be larger than the observed one by this factor, by
// which a request that ends just in time was refused.
constexpr double error_resolution = 1.19;

static_assert(prediction_error_ttl == service_time_ttl);

time_range
range_of(prediction_error const& e, duration predicted, steady_time now)
{
    return {
        .early = from_seconds(
            to_seconds(scale_prediction(e, predicted, early_fraction, now)) /
            error_resolution),
        .likely = scale_prediction(e, predicted, likely_fraction, now),
        .late = scale_prediction(e, predicted, late_fraction, now)};
}

admission_reason reason_to_admit(admission_query const& q)
{
    if (q.has_free_slot)
        return admission_reason::free_slot;
    if (!q.is_known)
        return admission_reason::unknown_estimate;
    if (q.times.end.likely <= q.until_target)
        return admission_reason::in_time;
    return admission_reason::before_deadline;
}

} // namespace

duration
expected_interval(duration own, room_estimate const& room, std::size_t gateways)
{
    return std::min(
        own, room.start_interval * static_cast<duration::rep>(gateways));
}

admission_times plain_times(
    room_estimate const& room, prediction_error const& error,
    double waiting_before, duration waiting_interval, steady_time now)
{
    if (waiting_interval <= duration{0})
        waiting_interval = room.start_interval;
    // Waits beyond an hour are all the same, and larger ones may overflow.
    duration const behind = from_seconds(std::min(
        std::max(waiting_before, 0.0) * to_seconds(waiting_interval), 3600.0));
    duration const predicted = room.until_start + behind;
    time_range const start = range_of(error, predicted, now);
    // The upstream that can start first need not be the one that can end first.
    duration const service_time = room.until_end - room.until_start;
    return {
        .start = start,
        .end =
            {.early = start.early + room.shortest_service_time,
             .likely = start.likely + service_time,
             .late = start.late + service_time},
        .predicted = predicted,
        .service_time = room.service_time};
}

admission_times engine_times(duration queued, completion_prediction const& end)
{
    return {
        .start = {.early = queued, .likely = queued, .late = queued},
        .end = {.early = end.early, .likely = end.likely, .late = end.late},
        .predicted = queued,
        .service_time = std::max(end.likely - queued, duration{0})};
}

admission_result decide_admission(admission_query const& q)
{
    admission_result r{
        .until_room = q.is_known ? std::max(q.times.start.likely, duration{0})
                                 : duration{0}};
    bool const is_hopeless =
        q.is_known && !q.has_free_slot && q.times.end.early > q.until_deadline;
    if (is_hopeless)
    {
        r.outcome = admission_outcome::refuse;
        r.reason = admission_reason::cannot_end;
    }
    else if (
        !q.is_known || q.has_free_slot ||
        q.times.end.likely <= q.until_deadline)
    {
        r.outcome = admission_outcome::admit;
        r.reason = reason_to_admit(q);
    }
    else
    {
        r.outcome = admission_outcome::wait;
        r.reason = admission_reason::uncertain;
    }
    return r;
}

admission_end classify_end(
    bool is_complete, duration took, duration target, duration deadline)
{
    if (!is_complete || took >= deadline)
        return admission_end::deadline;
    return took <= target ? admission_end::in_time : admission_end::late;
}

void record_end(admission_counts& counts, admission_end end)
{
    switch (end)
    {
    case admission_end::in_time:
        ++counts.in_time;
        break;
    case admission_end::late:
        ++counts.late;
        break;
    case admission_end::deadline:
        ++counts.deadline;
        break;
    }
}

bool record_refusal(admission_counts& counts, bool has_free_slot)
{
    ++counts.refused;
    if (has_free_slot)
        ++counts.refused_with_room;
    return has_free_slot;
}

std::string_view to_string(admission_outcome o)
{
    switch (o)
    {
    case admission_outcome::wait:
        return "wait";
    case admission_outcome::refuse:
        return "refuse";
    case admission_outcome::admit:
        break;
    }
    return "admit";
}

std::string_view to_string(admission_reason r)
{
    switch (r)
    {
    case admission_reason::free_slot:
        return "free_slot";
    case admission_reason::in_time:
        return "in_time";
    case admission_reason::before_deadline:
        return "before_deadline";
    case admission_reason::uncertain:
        return "uncertain";
    case admission_reason::cannot_end:
        return "cannot_end";
    case admission_reason::unknown_estimate:
        break;
    }
    return "unknown_estimate";
}

std::string_view to_string(admission_end e)
{
    switch (e)
    {
    case admission_end::late:
        return "late";
    case admission_end::deadline:
        return "deadline";
    case admission_end::in_time:
        break;
    }
    return "in_time";
}

} // namespace marjorambeam
