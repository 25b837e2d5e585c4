// Stand-in for a plain service beside the model engines: echoes each request
// and counts how often each idempotency key was executed.
//
// Example:
//   fake_service service(loop, {});
//   service.set_faults({.cuts_answers = true}); // executes, then drops
//   CHECK(service.executions("key-1") == 1);
//
// Everything here runs on the loop's thread; nothing is thread-safe.
#pragma once

#include "base/time.hpp"
#include "event_loop/event_loop.hpp"
#include "http_server/http_server.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace marjorambeam
{

struct fake_service_settings
{
    std::string address = "127.0.0.1:0";
    duration restart_time = std::chrono::milliseconds(200);
};

// Faults that stay until they are switched off.
struct fake_service_faults
{
    duration delay{0};         // between executing and answering
    bool is_silent = false;    // neither executes nor answers
    bool cuts_answers = false; // executes, then drops the connection
};

class fake_service
{
public:
    // Throws std::runtime_error when the address can't be bound.
    fake_service(ev::loop_ref loop, fake_service_settings settings);
    fake_service(fake_service const&) = delete;
    fake_service& operator=(fake_service const&) = delete;
    ~fake_service() = default;

    std::string url() const;
    // Address and port.
    std::string address() const;

    void set_faults(fake_service_faults faults);
    // Drops the connections of all requests and answers 503 for a while.
    void crash();

    // How often a request with that key was executed.
    std::uint64_t executions(std::string_view key) const;
    std::uint64_t total() const
    {
        return total_;
    }

private:
    void on_request(std::shared_ptr<http_exchange> const& ex);
    void execute(std::shared_ptr<http_exchange> const& ex);
    void answer_due();
    void change_faults(http_exchange& ex);
    void report_counts(http_exchange& ex);

    fake_service_settings settings_;
    fake_service_faults faults_;
    std::map<std::string, std::uint64_t, std::less<>> executions_;
    std::uint64_t total_ = 0;
    bool is_down_ = false;
    std::multimap<steady_time, std::shared_ptr<http_exchange>> due_;
    std::vector<std::shared_ptr<http_exchange>> unanswered_; // while silent
    loop_timer due_timer_;
    loop_timer restart_timer_;
    http_server server_;
};

} // namespace marjorambeam
