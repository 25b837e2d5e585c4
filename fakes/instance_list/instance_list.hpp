// Stand-in for the platform's list of live and leaving instances, which shows
// changes only after a lag.
//
// Example:
//   fake_instance_list list(loop, "127.0.0.1:0");
//   list.put("entry-1", {.role = "entry", .address = "127.0.0.1:7000"});
//   std::string url = list.url(); // GET url + "/v1/instances"
//
// Protocol: PUT and DELETE /v1/instances/NAME change the list, GET
// /v1/instances returns {"instances":[{"name",...}]} as of `lag_ms` ago, PUT
// /faults {"lag_ms","down"} sets faults. While `down`, GET answers 503;
// changes are still taken, because the platform makes them itself.
//
// Runs on the loop's thread; not thread-safe.
#pragma once

#include "base/time.hpp"
#include "error/error.hpp"
#include "http_server/http_server.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambeam
{

// One instance as the platform describes it.
struct listed_instance
{
    std::string role = "entry"; // or "agent"
    std::string zone;
    std::string upstream;
    std::string address;
    std::string admin;          // HTTP URL, may be empty
    std::string state = "live"; // or "leaving"
};

// Every instance's changes, so that the list can be read as of an earlier
// time. Not thread-safe.
class instance_history
{
public:
    // Records a change; no value means that the instance was deleted. Changes
    // that are older than `max_lag` and replaced by a later one that is also
    // older are dropped. Precondition: `now` does not decrease.
    void change(
        std::string_view name, std::optional<listed_instance> value,
        steady_time now);

    // Returns the instances as of `at`.
    std::map<std::string, listed_instance> as_of(steady_time at) const;

    static constexpr duration max_lag = std::chrono::minutes(10);

private:
    struct entry
    {
        steady_time at;
        std::optional<listed_instance> value;
    };
    std::map<std::string, std::vector<entry>, std::less<>> entries_;
};

class fake_instance_list
{
public:
    // Throws std::runtime_error when the address can't be bound.
    fake_instance_list(ev::loop_ref loop, std::string address);

    // The base URL, without a slash at its end.
    std::string url() const;

    // The same as the HTTP requests.
    void put(std::string_view name, listed_instance value);
    void erase(std::string_view name);
    // Precondition: `lag` is not negative and at most `max_lag`.
    void set_faults(duration lag, bool is_down);

    // Lists read since the start.
    std::uint64_t reads() const
    {
        return reads_;
    }

private:
    void on_request(http_exchange& ex);
    void on_list(http_exchange& ex);
    void on_instance(http_exchange& ex, std::string_view name);
    void on_faults(http_exchange& ex);

    instance_history history_;
    duration lag_{0};
    bool is_down_ = false;
    std::uint64_t reads_ = 0;
    std::string host_;
    http_server server_;
};

} // namespace marjorambeam
