// Stand-in for a model engine: chat completions over HTTP with continuous
// batching, a cold start, crashes and faults that are switched at run time.
//
// Example:
//   fake_engine engine(loop, {.cold_concurrency = 2, .starts_cold = true});
//   std::string url = engine.url(); // "http://127.0.0.1:41234"
//   engine.set_faults({.cut_after_tokens = 3});
//
// Tokens are a function of model, prompt and position, so that a resumed
// stream can be compared with a whole one.
// Everything here runs on the loop's thread; nothing is thread-safe.
#pragma once

#include "base/id.hpp"
#include "base/time.hpp"
#include "event_loop/event_loop.hpp"
#include "http_server/http_server.hpp"

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambeam
{

struct fake_engine_settings
{
    std::string address = "127.0.0.1:0";
    std::size_t max_running = 16; // others wait
    duration token_interval{0};   // per token with a batch of one
    duration first_token{0};      // without a prefix cache hit
    bool starts_cold = false;
    duration cold_time = std::chrono::seconds(5);
    std::size_t cold_concurrency = 1; // more requests at once crash it
    double cold_factor = 10;          // first tokens are slower by this
    duration restart_time = std::chrono::milliseconds(200);
    duration load_lag = std::chrono::milliseconds(100);
    std::size_t cached_prefixes = 64;
    bool checks_fencing = true;
};

// Faults that stay until they are switched off.
struct fake_engine_faults
{
    bool is_silent = false;             // no bytes and no reports
    std::uint64_t cut_after_tokens = 0; // 0: no cut
    duration delay{0};                  // added to each first token
    double slow_factor = 1;
};

struct fake_engine_counts
{
    std::uint64_t started = 0;
    std::uint64_t finished = 0;
    std::uint64_t cancelled = 0; // the client closed the connection
    std::uint64_t crashed = 0;   // crashes of the engine
    std::uint64_t lost = 0;      // requests that a crash or a cut ended
    std::uint64_t max_running_cold = 0;
    std::uint64_t max_running = 0;
};

// Returns the token at position `index` of the answer to `prompt`.
// Thread-safe.
std::string fake_engine_token(
    std::string_view model, std::string_view prompt, std::uint64_t index);

class fake_engine
{
public:
    // Throws std::runtime_error when the address can't be bound.
    fake_engine(ev::loop_ref loop, fake_engine_settings settings);
    ~fake_engine();
    fake_engine(fake_engine const&) = delete;
    fake_engine& operator=(fake_engine const&) = delete;

    std::string url() const;
    // Address and port.
    std::string address() const;

    void set_faults(fake_engine_faults faults);
    // Enters or leaves the cold state; it ends by itself after `cold_time`.
    void set_cold(bool is_cold);
    // Drops all connections and answers 503 for `restart_time`.
    void crash();

    fake_engine_counts const& counts() const
    {
        return counts_;
    }
    bool is_cold() const
    {
        return is_cold_;
    }

private:
    struct generation_job;

    void on_request(std::shared_ptr<http_exchange> const& ex);
    void complete(std::shared_ptr<http_exchange> const& ex);
    void change_faults(http_exchange& ex);
    void command(http_exchange& ex);
    void report_load(http_exchange& ex);
    void report_counts(http_exchange& ex);
    void admit_waiting();
    void note_concurrency();
    void step();
    // Emits one token; returns false when the job is over.
    bool advance(generation_job& job);
    void finish(generation_job& job);
    void schedule();
    duration step_time() const;
    duration first_token_time(std::string const& prompt);

    fake_engine_settings settings_;
    fake_engine_faults faults_;
    fake_engine_counts counts_;
    incarnation incarnation_;
    bool is_cold_ = false;
    bool is_down_ = false;
    std::uint64_t highest_fencing_ = 0;
    std::string role_ = "generate";
    std::vector<std::string> models_;
    std::deque<std::uint64_t> prefixes_;
    std::vector<std::unique_ptr<generation_job>> running_;
    std::deque<std::unique_ptr<generation_job>> waiting_;
    struct
    {
        std::size_t running = 0;
        std::size_t waiting = 0;
        bool is_cold = false;
    } reported_;
    std::vector<std::shared_ptr<http_exchange>> unanswered_; // while silent
    loop_timer step_timer_;
    loop_timer warm_timer_;
    loop_timer restart_timer_;
    loop_timer report_timer_;
    http_server server_;
};

} // namespace marjorambeam
