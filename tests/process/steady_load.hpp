// Callers that keep a number of requests under way and send a request again at
// the next entry when one was refused or lost, as a load balancer would.
//
// Example:
//   steady_load load(fleet, {.concurrency = 8, .entries = 2});
//   fleet.wait([&] { return load.answered() >= 100; }, seconds(5));
//   REQUIRE(load.finish(seconds(10)));
//   CHECK(load.wrong().empty());
//
// Not thread-safe.
#pragma once

#include "event_loop/event_loop.hpp"
#include "process_fleet.hpp"

namespace marjorambeam
{

struct load_plan
{
    std::size_t concurrency = 8;
    int entries = 1;
    chat_call call; // the prompt is made different for each request
};

// One request of a load with all its tries.
struct load_request
{
    std::string prompt;
    std::shared_ptr<fleet_call> call; // the latest try
    int tries = 0;
    steady_time retry_at{};
};

class steady_load
{
public:
    steady_load(process_fleet& fleet, load_plan plan);

    std::size_t under_way() const
    {
        return open_.size();
    }
    // Changes how many requests are under way.
    void set_concurrency(std::size_t n)
    {
        plan_.concurrency = n;
    }

    // Sends no new requests and waits for those under way; false after
    // `limit`.
    bool finish(duration limit);

    // Requests that were answered, with the latest try.
    std::vector<load_request> const& done() const
    {
        return done_;
    }
    std::size_t answered() const
    {
        return done_.size();
    }
    // Tries that ended without a whole answer, each in words.
    std::vector<std::string> const& failed_tries() const
    {
        return failed_;
    }
    // Tries whose answer had begun and was not delivered whole, or that ended
    // without a word of whether they ran.
    std::size_t cut() const
    {
        return cut_;
    }
    // Prompts of answers that differ from what the engine gives.
    std::vector<std::string> wrong() const;

private:
    void pump();
    void send(load_request& r);
    void note_failure(fleet_call const& call);

    process_fleet& fleet_;
    load_plan plan_;
    std::vector<load_request> open_;
    std::vector<load_request> done_;
    std::vector<std::string> failed_;
    std::size_t cut_ = 0;
    std::uint64_t sent_ = 0;
    std::uint64_t entry_ = 0;
    bool is_stopping_ = false;
    loop_timer pump_;
};

} // namespace marjorambeam
