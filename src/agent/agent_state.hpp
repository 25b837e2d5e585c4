// The agent's blackboard: the attempts it holds, their queue and what it knows
// of its upstream.
//
// Example:
//   agent_state state(cluster, settings);
//   if (slots_in_use(state, now) < current_limit(state.warm_up))
//       start_next();
//
// Controllers read and write it on the loop's thread; not thread-safe.
#pragma once

#include "agent/answer_meter.hpp"
#include "base/time.hpp"
#include "cluster/cluster_state.hpp"
#include "fair_queue/fair_queue.hpp"
#include "warm_up/warm_up.hpp"
#include "wire/message.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

namespace marjorambeam
{

struct agent_settings
{
    std::string listen = "127.0.0.1:0"; // frames; datagrams share the port
    std::string upstream_url;
    std::size_t max_queued = 4096; // all customers together
    duration upstream_silence = std::chrono::seconds(10);
    duration upstream_connect = std::chrono::seconds(1);
    duration load_interval = std::chrono::milliseconds(500);
    duration park_time = std::chrono::seconds(1);
    duration heartbeat_interval = std::chrono::seconds(1);
    duration connection_silence = std::chrono::seconds(3);
};

enum class attempt_phase : std::uint8_t
{
    parked,    // its generation is newer than the agent's
    reserving, // its key is being reserved
    queued,
    running
};

// One attempt that the agent holds.
struct attempt
{
    std::uint64_t id = 0;
    std::uint64_t connection = 0; // 0 when its entry is gone
    work_request request;
    attempt_phase phase = attempt_phase::parked;
    bool is_accepted = false; // work_accepted was sent
    bool is_reserved = false; // its key is reserved
    bool is_reported = false; // the entry has been told how it ended
    steady_time received{};
    steady_time deadline{};
    std::shared_ptr<config_snapshot const> config; // in force at admission
    wall_time admitted{};
    // While running:
    steady_time started{};
    steady_time last_bytes{};
    steady_time first_token{};
    std::uint64_t call = 0; // of http_client
    int status = 0;
    answer_meter answer;
    std::string kept_body; // of a non-idempotent answer, for its replay
};

struct agent_state
{
    agent_state(cluster_state& c, agent_settings s)
        : cluster(c)
        , settings(std::move(s))
        , queue(settings.max_queued)
    {
    }

    cluster_state& cluster;
    agent_settings settings;
    std::map<std::uint64_t, std::unique_ptr<attempt>> attempts;
    // By connection, request id and attempt number.
    std::map<
        std::tuple<std::uint64_t, std::string, std::uint32_t>, std::uint64_t>
        attempts_by_name;
    std::uint64_t last_attempt = 0;
    fair_queue queue;
    warm_up_state warm_up;
    std::size_t running = 0;
    bool is_alone = false; // the running attempt runs with nothing beside it
    // Ends of the times for which the slots of stopped calls stay in use.
    std::vector<steady_time> settling;
    bool is_upstream_down = false;    // refuses work until it answers
    bool is_upstream_suspect = false; // starts no work until it answers
    steady_time last_report{};
    double tokens_per_slot_second = 0; // moving average of finished attempts
    double first_token_seconds = 0;    // moving average
    // For the status page.
    std::size_t owned_partitions = 0; // of key spaces
    std::size_t remembered_keys = 0;
    std::size_t held_usage = 0; // records that are not settled
};

// The configuration's document of the agent's upstream, or null.
upstream const* own_upstream(agent_state const& s);

// Requests at the upstream, with the slots of calls that were stopped and may
// still run. Drops the slots that have settled.
std::size_t slots_in_use(agent_state& s, steady_time now);

// Token cost per second that the upstream completes at its present limit.
double tokens_per_second(agent_state const& s);

// What the agent reports to entries.
upstream_load current_load(agent_state const& s);

// Takes the bounds of the warm-up from the configuration in force.
void refresh_bounds(agent_state& s);

} // namespace marjorambeam
