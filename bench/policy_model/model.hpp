// A small model of batching upstreams in virtual time, for benchmarks of the
// decision libraries.
//
// Example:
//   model_result r = run_latency({.load = 0.5}, policy::routed);
//   print(r.p99 / baseline.p99);
//
// Upstreams run up to `limit` responses at once and slow each of them down as
// the batch fills; further requests wait in order of arrival. Entries know
// loads only from accepted and finished work and from heartbeats, each half a
// round trip old. All runs of the same settings see the same requests.
#pragma once

#include <cstdint>
#include <string_view>

namespace marjorambeam
{

enum class policy : std::uint8_t
{
    routed,       // choose_upstream() of src/routing
    round_robin,  // in turn, per entry
    least_loaded, // least known requests per limit, all upstreams scanned
    oracle        // least finish time by the exact queues of all upstreams
};

std::string_view to_string(policy p);

// Sømfast's sizes: 12 model workers of three speeds in 4 zones.
struct model_settings
{
    double load = 0.5; // part of the capacity of all upstreams
    double seconds = 3600;
    std::uint64_t seed = 1;
    bool has_prefixes = false;
};

struct model_result
{
    double p50 = 0; // seconds from arrival to the end of the response
    double p99 = 0;
    double mean = 0;
    std::uint64_t requests = 0;
    std::uint64_t far = 0; // served in another zone than the entry's
};

// Runs Poisson arrivals of long, short and quick requests.
model_result run_latency(model_settings const& settings, policy p);

} // namespace marjorambeam
