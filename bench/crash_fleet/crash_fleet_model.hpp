// Gateways in virtual time before engines that crash on parts of prompts, or by
// themselves.
//
// Example:
//   crash_fleet_model m({.gateways = 68, .engines = 80});
//   m.set_deadly({deadly_part});
//   m.run_for(std::chrono::seconds(20));
//   CHECK(m.late_arrivals(std::chrono::seconds(3)) <= 3);
//
// The gateways' own state and decisions, with a network that delays and loses
// messages, and a store that tells its changes late. For tests and
// measurements. Not thread-safe.
#pragma once

#include "gateway/crash_sharing.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <vector>

namespace marjorambeam
{

struct crash_fleet_settings
{
    std::size_t gateways = 4;
    std::size_t engines = 18;
    double requests_per_second = 80;
    double deadly_share = 0.02; // of requests, while there are deadly parts
    std::size_t organisations = 10;
    std::size_t deadly_organisations = 1; // whose requests have deadly parts
    std::size_t attempts = 3;
    // Of requests, whose first answer is dropped at its head.
    double escalated_share = 0.3;
    duration max_delay = std::chrono::milliseconds(20);
    duration max_store_delay = std::chrono::milliseconds(600);
    duration mean_prefill = std::chrono::milliseconds(400);
    duration engine_restart = std::chrono::seconds(3);
    double loss = 0;
    std::uint64_t seed = 1;
};

// First of the parts that set_deadly() takes.
constexpr std::uint64_t deadly_part = 1'000'000;

class crash_fleet_model
{
public:
    explicit crash_fleet_model(crash_fleet_settings const& settings);

    // Requests with deadly parts have one of these each, or all of them.
    void
    set_deadly(std::vector<std::uint64_t> parts, bool are_together = false);
    // The engines no longer crash on any part, though requests still have them.
    void mend();
    // The engines from `first` on end at the same moment, as in a power
    // failure.
    void crash_engines(std::size_t first, std::size_t count);
    // The gateway loses its state. It serves nothing for `down`.
    void restart_gateway(std::size_t i, duration down);
    // The gateway's process stands still; messages wait for it.
    void freeze_gateway(std::size_t i, duration time);
    // Adds a gateway, which all others know of.
    void add_gateway();
    // Messages between the gateways of `group` and the others are lost; an
    // empty group ends the partition. The store is reached by all.
    void set_partition(std::set<std::size_t> group);
    void run_for(duration time);

    steady_time now() const
    {
        return now_;
    }
    // Crashes of engines that requests caused.
    std::size_t caused_crashes() const
    {
        return caused_.size();
    }
    // Requests with a deadly part that were sent to an engine later than
    // `settling` after the fifth crash that they caused, by gateways that had
    // served without a fault for so long.
    std::size_t late_arrivals(duration settling) const;
    // Sound requests since `from`, and those of them that were refused, were
    // not repeated because of a crash, or were sent more than once.
    struct sound_requests
    {
        std::size_t asked = 0;
        std::size_t refused = 0;
        std::size_t given_up = 0;
        std::size_t repeated = 0;
    };
    sound_requests sound_since(steady_time from) const;
    // Parts that some gateway has in quarantine and that are not deadly.
    std::set<std::uint64_t> falsely_quarantined() const;
    // Messages that gateways sent.
    std::size_t messages() const
    {
        return messages_;
    }
    gateway_state const& state(std::size_t i) const
    {
        return *gateways_[i].state;
    }

private:
    struct gateway
    {
        std::unique_ptr<gateway_state> state;
        steady_time down_until{};
        steady_time frozen_until{};
        steady_time disturbed_until{}; // its last fault ended
        std::uint64_t life = 0;
    };
    struct engine
    {
        std::uint64_t incarnation = 1;
        steady_time up_at{};
        std::set<std::uint64_t> requests; // unanswered, by number
    };
    struct request
    {
        request_traits traits;
        std::size_t gateway = 0;
        std::uint64_t gateway_life = 0;
        std::size_t engine = 0;
        std::uint64_t attempt = 0;
        std::size_t sends = 0;
        steady_time asked{};
        bool is_deadly = false;
        bool has_begun = false;    // the head of its answer was sent
        bool is_escalated = false; // its first answer was dropped
        bool is_refused = false;
        bool is_given_up = false;
    };
    struct arrival
    {
        steady_time at{};
        std::size_t gateway = 0;
        bool is_in_touch_after(duration settling) const
        {
            return at > undisturbed_since + settling;
        }
        steady_time undisturbed_since{};
    };
    struct timed_action
    {
        steady_time at{};
        std::uint64_t order = 0;
        std::function<void()> act;

        bool operator<(timed_action const& other) const
        {
            return at > other.at || (at == other.at && order > other.order);
        }
    };

    void start_gateway(std::size_t i);
    void at(steady_time when, std::function<void()> act);
    // Runs the action at the gateway unless it has restarted, and later while
    // it stands still.
    void at_gateway(
        steady_time when, std::size_t i, std::uint64_t life,
        std::function<void()> act);
    duration draw(duration most);
    bool is_connected(std::size_t a, std::size_t b) const;
    std::uint64_t draw_part(std::uint64_t first, std::uint64_t count);
    void ask();
    void send(std::uint64_t number);
    void begin_answer(std::uint64_t number, std::uint64_t attempt);
    bool escalate(std::uint64_t number);
    bool draw_share(double share);
    void crash(std::size_t engine);
    void break_attempt(
        std::uint64_t number, bool has_begun, std::string const& upstream,
        std::int64_t incarnation);
    void judge(std::size_t i);
    void send_reports(std::size_t i);
    void tick(std::size_t i);
    void store(stored_quarantine const& entry);
    void unstore(quarantine_key const& key);

    crash_fleet_settings settings_;
    std::mt19937_64 random_;
    steady_time now_{std::chrono::hours(1)};
    std::uint64_t next_order_ = 0;
    std::priority_queue<timed_action> actions_;
    std::vector<gateway> gateways_;
    std::vector<engine> engines_;
    std::map<std::uint64_t, request> requests_;
    std::map<quarantine_key, stored_quarantine> stored_;
    std::vector<std::uint64_t> deadly_;
    bool are_together_ = false;
    bool is_mended_ = false;
    std::set<std::size_t> partition_;
    std::vector<steady_time> caused_;
    std::vector<arrival> deadly_arrivals_;
    std::uint64_t revision_ = 0;
    std::size_t messages_ = 0;
    steady_time next_request_{};
};

} // namespace marjorambeam
