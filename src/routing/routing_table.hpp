// Routing state of the upstreams at one entry, indexed for fast decisions.
//
// Example:
//   routing_table t = build_routing_table(inputs, &previous);
//   record_load(t, find_upstream(t, "w3"), response.load, now);
//
// The table is rebuilt when the configuration or the live set changes; the
// status of each upstream is copied from the previous table. Decisions are in
// routing.hpp. Not thread-safe.
//
// Subsets. A pool (the upstreams of one version or service) with at most
// `max_undivided_pool_size` members is used in full by each entry. In a larger
// pool each upstream is selected by the entries that score highest for it by
// rendezvous hash, separately among the entries of its own availability zone
// (near) and the others (far). Ranking the entries per upstream ensures that
// each upstream is selected by about the same number of entries, and by at
// least one.
#pragma once

#include "base/time.hpp"
#include "config/generation.hpp"
#include "wire/message.hpp"

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambeam
{

using upstream_index = std::uint32_t;
using pool_index = std::uint32_t;
constexpr std::uint32_t no_index = UINT32_MAX;

// Pools up to this size are not subsetted. 2,300 upstreams over 12 versions are
// about 190 per pool, 24 of them in each of 8 zones.
constexpr std::size_t max_undivided_pool_size = 32;
// Average number of members in an entry's subset of a larger pool.
constexpr double near_subset = 24;
constexpr double far_subset = 12;
// A failed upstream is skipped for this long while others are available.
constexpr duration failure_backoff = std::chrono::seconds(2);
// A load report older than this is stale and ignored.
constexpr duration max_load_age = std::chrono::seconds(5);

// A live agent according to membership.
struct agent_view
{
    std::string upstream;
    std::string instance;
    bool is_draining = false;
};

// A live entry, this one included.
struct entry_view
{
    std::string instance;
    std::string availability_zone;
};

struct routing_inputs
{
    std::shared_ptr<config_snapshot const> config;
    std::span<agent_view const> agents;
    std::span<entry_view const> entries;
    std::string self; // instance of this entry
    std::string availability_zone;
};

// Load and availability of an upstream, read by decisions. `tokens_per_second`
// of a load report is the speed of one response, so that it compares upstreams
// at any load.
struct upstream_status
{
    double first_token = 0;       // seconds
    double seconds_per_token = 0; // 0: unknown
    double queued_tokens = 0;
    std::uint32_t reported = 0; // running and queued in the last report
    std::uint32_t sent_since_report = 0; // by this entry since the last report
    std::uint32_t outstanding = 0;       // of this entry
    std::uint32_t limit = 0;             // 0: unknown
    bool is_cold = false;
    bool is_routable = false; // in service, zone in service, live, not draining
    steady_time load_received_at{};
    steady_time failed_until{};
};

// Identity and pool membership of an upstream.
struct upstream_slot
{
    std::string name;
    std::string instance; // of its agent; empty when none is live
    std::string availability_zone;
    std::uint64_t hash = 0;
    std::vector<pool_index> pools;
    std::uint32_t rank = no_index; // of this entry among its near or far group
};

struct pool_member
{
    std::uint64_t hash = 0;
    upstream_index upstream = no_index;
};

// Source of the means of a pool, in ascending order of precedence. Reports of a
// lower source than the present one are ignored.
enum class average_source : std::uint8_t
{
    assumed, // no report yet
    cold,    // upstreams below their warm limit, possibly all for a long time
    warm
};

// Means over the reports in a pool, used for upstreams of unknown load.
struct pool_average
{
    average_source source = average_source::assumed;
    double first_token = 0.1;
    double seconds_per_token = 0.02;
    double utilization = 0.5;
    double limit = 8;
};

struct route_pool
{
    std::string target;            // "model@version" or the name of a service
    std::vector<pool_member> near; // own availability zone
    std::vector<pool_member> far;
    pool_average average;
};

struct version_entry
{
    version const* document = nullptr;
    pool_index pool = no_index;
};

struct routing_table
{
    std::shared_ptr<config_snapshot const> config;
    std::uint64_t entries_hash = 0;   // of the entries that `rank` counts
    std::vector<upstream_slot> slots; // ascending by name
    std::vector<upstream_status> status;
    std::vector<route_pool> pools; // ascending by target
    // Versions of each model, including withdrawn ones.
    document_map<std::vector<version_entry>> models;
};

// Builds the table and copies the status of each upstream from `previous`,
// which may be null. Precondition: `in.config` is not null.
routing_table
build_routing_table(routing_inputs const& in, routing_table const* previous);

// Returns the index of an upstream or pool, or `no_index`. Indexes are valid
// for this table only.
upstream_index find_upstream(routing_table const& t, std::string_view name);
pool_index find_pool(routing_table const& t, std::string_view target);

// Records a load report. Precondition for this and the functions below: `u` is
// an upstream index of this table.
void record_load(
    routing_table& t, upstream_index u, upstream_load const& load,
    steady_time now);

// Records an attempt sent to the upstream. Call record_done() once when it
// ends, with any outcome.
void record_sent(routing_table& t, upstream_index u);
void record_done(routing_table& t, upstream_index u);

// Records a failure of the upstream or its connection.
void record_failed(routing_table& t, upstream_index u, steady_time now);

} // namespace marjorambeam
