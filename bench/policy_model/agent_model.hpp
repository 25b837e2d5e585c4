// An agent with its batching upstream in virtual time.
//
// Example:
//   agent_model a({.speed = 40});
//   if (std::optional<error> e = a.offer(job, now))
//       refuse(*e);
//   for (job_end const& it : a.advance(a.next_event()))
//       answer(it);
//
// The queue and the limit are those of src/fair_queue and src/warm_up, used as
// src/agent uses them; the upstream is a fake that runs a batch at a shared
// speed, carries only `cold_concurrency` responses while cold and crashes
// above that.
#pragma once

#include "error/error.hpp"
#include "fair_queue/fair_queue.hpp"
#include "warm_up/warm_up.hpp"
#include "wire/message.hpp"

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace marjorambeam
{

// Converts seconds of virtual time.
steady_time to_steady(double seconds);

struct agent_settings
{
    double speed = 40; // tokens per second of one response alone
    std::uint32_t batch_limit = 8;
    // A full batch runs each response slower by this part.
    double batch_cost = 1;
    std::uint32_t cold_concurrency = 2;
    double cold_seconds = 30;   // at a quarter of the speed
    bool has_fair_queue = true; // or first in first out without bounds
    bool has_warm_up = true;    // or always the warm limit
};

struct model_job
{
    std::uint64_t id = 0;
    std::string customer;
    std::uint32_t weight = 1;
    double estimate = 1; // tokens, as the entry estimates them
    double work = 1;     // tokens left to process
    double deadline = 0;
    double started = 0;
    bool was_run = false;
};

enum class end_kind : std::uint8_t
{
    done,
    expired, // its deadline passed in the queue
    crashed,
    refused // the upstream is down; it was waiting and did not run
};

struct job_end
{
    model_job job;
    end_kind kind = end_kind::done;
};

class agent_model
{
public:
    explicit agent_model(agent_settings const& settings);

    // Queues the job or returns why not.
    std::optional<error> offer(model_job job, double now);
    void cancel(std::uint64_t id, double now);

    // Moves to `now`, at most next_event(), and returns what has ended. Starts
    // waiting jobs.
    std::vector<job_end> advance(double now);
    double next_event() const;

    // Stops everything at once and answers nothing.
    void power_off(double now);
    // Starts with a cold upstream.
    void power_on(double now);
    bool is_on() const
    {
        return is_on_;
    }

    upstream_load load() const;
    // Ids that were started since the last call.
    std::vector<std::uint64_t> take_started();

    // Times at which the cold upstream was given more than it carries.
    std::uint64_t cold_overloads = 0;

    // Tokens per second of a full batch.
    static double capacity(agent_settings const& s);

private:
    double rate() const;
    std::uint32_t limit() const;
    bool is_engine_cold() const;
    void process(double now);
    void start_waiting(double now, std::vector<job_end>& ended);
    bool start_next(double now);
    void crash(double now, std::vector<job_end>& ended);
    void poll_engine(double now);

    agent_settings settings_;
    bool is_on_ = true;
    double now_ = 0;
    double cold_until_ = 0;
    double down_until_ = 0;
    double next_poll_ = 0;
    incarnation engine_ = 1;
    warm_up_state warm_up_;
    fair_queue queue_{4096};
    std::deque<std::uint64_t> fifo_;
    std::vector<model_job> waiting_;
    std::vector<model_job> running_;
    double tokens_per_slot_second_ = 0;
    double first_token_seconds_ = 0;
    std::vector<std::uint64_t> started_;
};

} // namespace marjorambeam
