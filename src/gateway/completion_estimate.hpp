// Predicts when the response of a model would end.
//
// Example:
//   completion_prediction const p = predict_completion(
//       estimates, {.service = "pool", .route = "chat", .model = 2,
//                   .models = 3, .hinted_tokens = 900, .requests = 43,
//                   .first_event = std::chrono::milliseconds(400),
//                   .now = now});
//   if (p.is_known && p.likely > left) ask_smaller_model();
//   ...
//   record_event_time(estimates, "pool", 2, 43, since_previous_event, now);
//   record_length(estimates, "chat", 900, events);      // it is complete
//   record_cut_length(estimates, "chat", 900, events);  // it was cut off
//   record_completion(estimates, "pool", p.uncorrected, took);
//
// The time per event is a line over the requests at the engine, learned per
// service and model. The number of events is learned per route, relative to the
// hint. Samples decay exponentially, by the samples that follow them. Samples
// that are not positive, not finite or longer than an hour are ignored. Plain
// data and free functions without I/O. Not thread-safe, except where a function
// says so.
#pragma once

#include "base/time.hpp"
#include "gateway/error_histogram.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace marjorambeam
{

// Levels of requests at an engine, two per factor of two. The last one holds
// all from 256 on.
constexpr std::size_t request_levels = 17;
// Models with a larger index are not learned and stay unknown.
constexpr std::size_t max_estimated_models = 16;
// Services and routes that are kept, of each. Beyond them, the one that was not
// updated for the longest is replaced.
constexpr std::size_t max_estimated_series = 1000;
// Event times of a model from which its time per event is known.
constexpr double min_event_samples = 8;
// First samples of a model that are kept to tell stalls among them.
constexpr std::size_t first_event_samples = 8;
// Time after which the line of a model without new samples is no longer used: a
// refusal by a prediction prevents the samples that would correct it.
constexpr duration max_line_age = std::chrono::seconds(60);
// Lengths of a route from which requests without a hint are predictable.
constexpr double min_length_samples = 5;

// Decayed samples of event times at one level of requests.
struct event_time_level
{
    double weight = 0;
    double requests = 0; // mean
    double seconds = 0;  // mean time per event
};

struct event_time_sample
{
    double requests = 0;
    double seconds = 0;
};

// Seconds per event at `n` requests: `idle` + `per_request` * n.
struct event_time_line
{
    double idle = 0;
    double per_request = 0;
};

// Event times of one model of a service.
struct event_time_estimate
{
    std::array<event_time_level, request_levels> levels{};
    double weight = 0;    // of all levels
    event_time_line line; // by the samples of this model alone
    std::array<event_time_sample, first_event_samples> first{};
    std::size_t first_count = 0;
    steady_time updated{}; // time of the latest sample
};

struct service_completion_estimate
{
    std::vector<event_time_estimate> models; // at most max_estimated_models
    error_histogram errors;                  // of the uncorrected predictions
    std::uint64_t updated = 0;               // number of the latest update
};

// Decayed mean and variance of logarithms.
struct log_estimate
{
    double weight = 0;
    double mean = 0;
    double variance = 0;
};

// Decayed moments of the logarithms of hinted tokens and events.
struct hinted_length_estimate
{
    double weight = 0;
    double hint_mean = 0;
    double hint_variance = 0;
    double events_mean = 0;
    double events_variance = 0;
    double covariance = 0;
};

// Lengths of the responses of a route.
struct route_length_estimate
{
    hinted_length_estimate hinted;
    log_estimate events; // of all responses, with a hint or without
    std::uint64_t updated = 0;
};

// What a gateway has learned. Keys are hashes of the names.
struct completion_estimates
{
    std::unordered_map<std::uint64_t, service_completion_estimate> services;
    std::unordered_map<std::uint64_t, route_length_estimate> routes;
    // Events to hinted tokens of all routes, from which a new route starts.
    log_estimate ratio;
    std::uint64_t updates = 0;
};

struct completion_query
{
    std::string_view service;
    std::string_view route;
    std::size_t model = 0;
    // Models of the route. With it, a model without samples is predicted from
    // the others by model_pace(); 0 if unknown.
    std::size_t models = 0;
    // The caller's estimate, 0 if none. One that is a factor of 1,000 off the
    // usual length of the route is ignored.
    double hinted_tokens = 0;
    // At the engine, this one included. Below 1 and if not finite, it is 1.
    double requests = 0;
    duration first_event{0}; // expected until the first event, from now
    steady_time now{};       // at 0, no line is recent
    // Of the engine, see engine_pace.hpp: factor on the time per event.
    double pace = 1;
};

struct completion_prediction
{
    bool is_known = false; // enough samples
    duration likely{0};    // from now until the last event, by the median error
    duration early{0};     // by the 10th percentile of the error
    duration late{0};      // by the 90th percentile of the error
    duration uncorrected{0}; // without the error, which is learned from it
};

// Returns when a response that is requested now would end. It is unknown
// without recent event times of the service, and if there is neither a hint nor
// enough lengths of the route. Thread-safe while no function records.
completion_prediction
predict_completion(completion_estimates const& all, completion_query const& q);

// Returns the expected time per event at an engine, or nothing if there are too
// few recent samples. Reads service, model, models, requests, now and pace
// of the query.
// Thread-safe while no function records.
std::optional<duration>
expected_event_time(completion_estimates const& all, completion_query const& q);

// Returns the expected number of events of a response, or nothing if there is
// neither a hint nor enough lengths. Reads route and hinted_tokens of the
// query. Thread-safe while no function records.
std::optional<double>
expected_events(completion_estimates const& all, completion_query const& q);

// Records the time between two events of a response, at each event, so that a
// response contributes long before its end. `requests` are those at the engine,
// this one included. Not thread-safe.
void record_event_time(
    completion_estimates& all, std::string_view service, std::size_t model,
    double requests, duration per_event, steady_time now);

// Records the length of a complete response. `hinted_tokens` is 0 without a
// hint. Not thread-safe.
void record_length(
    completion_estimates& all, std::string_view route, double hinted_tokens,
    double events);

// Records a response that was cut off, as at its deadline, after `events`. Its
// length is at least that. Without these, only short responses would count
// under load. Not thread-safe.
void record_cut_length(
    completion_estimates& all, std::string_view route, double hinted_tokens,
    double events);

// Records the error of a prediction: `predicted` is its uncorrected time, as a
// correction that is learned from corrected times would cancel itself. Not
// thread-safe.
void record_completion(
    completion_estimates& all, std::string_view service, duration predicted,
    duration seen);

// Records the error of a prediction whose response was cut off, as at its
// deadline, after `seen`: it would have taken at least that long. Without
// these, only the faster responses would count under load. Not thread-safe.
void record_cut_completion(
    completion_estimates& all, std::string_view service, duration predicted,
    duration seen);

// Returns the percentile `p` (0 to 1) of observed over uncorrected times of a
// service, or nothing without samples. Thread-safe while no function records.
std::optional<double> completion_error(
    completion_estimates const& all, std::string_view service, double p);

} // namespace marjorambeam
