// Gateways in virtual time before one upstream that names a request limit.
//
// Example:
//   limit_fleet_model m({.gateways = 68, .demand_per_second = 30});
//   m.set_limit(1);
//   m.run_for(std::chrono::seconds(20));
//   CHECK(m.max_arrivals(std::chrono::seconds(4), from) <= 11);
//
// The gateways' own state and decisions, with a network that delays and loses
// messages. For tests and measurements. Not thread-safe.
#pragma once

#include "gateway/limit_sharing.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace marjorambeam
{

struct limit_fleet_settings
{
    std::size_t gateways = 4;
    double demand_per_second = 20; // over all gateways
    duration min_delay = std::chrono::milliseconds(1);
    duration max_delay = std::chrono::milliseconds(20);
    double loss = 0;
    std::uint64_t seed = 1;
};

class limit_fleet_model
{
public:
    explicit limit_fleet_model(limit_fleet_settings const& settings);

    // The upstream names another limit from now on, or none.
    void set_limit(std::optional<double> per_second);
    // The upstream starts anew, and names no limit.
    void restart_upstream();
    // The gateway loses its state. It answers no message for `down`.
    void restart_gateway(std::size_t i, duration down);
    // The gateway's process stands still; messages wait for it.
    void freeze_gateway(std::size_t i, duration time);
    // Adds a gateway, which all others know of.
    void add_gateway();
    // Messages between the gateways of `group` and the others are lost; an
    // empty group ends the partition.
    void set_partition(std::set<std::size_t> group);
    void run_for(duration time);

    steady_time now() const
    {
        return now_;
    }
    // The sharer of the highest rank, as the first running gateway sees it.
    std::size_t first_sharer() const;
    // Most requests that reached the upstream in a window of `length`, of those
    // that begin at `from` or later.
    std::size_t max_arrivals(duration length, steady_time from) const;
    // Mean number of requests per second from `from` on.
    double arrival_rate(steady_time from) const;
    // Whether all gateways know the present limit.
    bool all_know() const;
    // Requests of callers, and those that were refused, since the start.
    std::size_t requests() const
    {
        return requests_;
    }
    // Messages about claims that gateways exchanged.
    std::size_t claim_messages() const
    {
        return claim_messages_;
    }

private:
    struct gateway
    {
        std::unique_ptr<gateway_state> state;
        steady_time down_until{};
        steady_time frozen_until{};
        steady_time next_tick{};
        steady_time next_report{};
        std::uint64_t life = 0;
    };
    struct timed_action
    {
        steady_time at{};
        std::uint64_t order = 0;
        std::size_t target = 0; // gateway
        std::function<void(gateway&)> act;

        bool operator<(timed_action const& other) const
        {
            return at > other.at || (at == other.at && order > other.order);
        }
    };

    void start_gateway(std::size_t i);
    std::string name_of(std::size_t i) const;
    std::size_t index_of(std::string const& name) const;
    bool is_connected(std::size_t a, std::size_t b) const;
    duration draw_delay();
    void send(std::size_t from, std::size_t to, std::function<void(gateway&)>);
    void
    at(steady_time when, std::size_t target, std::function<void(gateway&)> act);
    void deliver();
    void tick(std::size_t i);
    void report(std::size_t i);
    void request(std::size_t i);
    void dispatch(std::size_t i);
    void claim(std::size_t i);

    limit_fleet_settings settings_;
    std::mt19937_64 random_;
    steady_time now_{std::chrono::seconds(1000)};
    std::optional<double> limit_;
    std::int64_t started_unix_ms_ = 1;
    std::set<std::size_t> partition_;
    std::vector<gateway> gateways_;
    std::priority_queue<timed_action> actions_;
    std::vector<steady_time> arrivals_;
    std::uint64_t next_order_ = 0;
    std::size_t requests_ = 0;
    std::size_t claim_messages_ = 0;
};

} // namespace marjorambeam
