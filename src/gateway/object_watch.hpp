// Keeps a copy of one kind of objects in the platform's store by a list and
// long watches.
//
// Example:
//   object_watch w(loop, client, protocol, "routes", {}, handlers);
//   w.start();
//
// Everything here runs on the loop's thread; nothing is thread-safe.
#pragma once

#include "event_loop/event_loop.hpp"
#include "http_client/http_client.hpp"

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambeam
{

// An object as the store holds it.
struct platform_object
{
    std::string name;
    std::uint64_t revision = 0;
    bool is_deleted = false;
    nlohmann::json specification;
    nlohmann::json status;
};

// One answer of the store: a page of a list, or the changes that a watch saw.
struct platform_objects
{
    std::vector<platform_object> objects;
    std::uint64_t revision = 0; // continue to watch after this one
    bool has_more = false;
};

// Calls of a deployment's store, built and taken apart.
struct platform_store_protocol
{
    http_call (*list)(
        std::string_view address, std::string_view kind,
        std::string_view after);
    http_call (*watch)(
        std::string_view address, std::string_view kind, std::uint64_t revision,
        duration wait);
    http_call (*create)(
        std::string_view address, std::string_view kind, std::string_view name,
        nlohmann::json const& specification);
    // Replaces the status of an object that has `revision`.
    http_call (*put_status)(
        std::string_view address, std::string_view kind, std::string_view name,
        std::uint64_t revision, nlohmann::json const& status);
    // Errors: frame_stale when the history of the watch is gone; conflict;
    // store_rate_limited; store_unavailable.
    result<platform_objects> (*decode)(http_reply const& reply);
};

struct watch_timing
{
    duration wait = std::chrono::seconds(20); // of one watch call
    // A call that has no answer after its wait and this is given up.
    duration patience = std::chrono::milliseconds(1500);
    duration first_retry = std::chrono::milliseconds(150);
    duration longest_retry = std::chrono::milliseconds(1000);
    // Pause after changes, so that those that follow soon come with one call.
    duration settle{0};
    // When its history is compacted, the store's watches may hear nothing for
    // a second although objects change.
    duration deafness = std::chrono::milliseconds(1200);
};

struct watch_handlers
{
    // All objects of the kind, after a list.
    std::function<void(std::vector<platform_object>&&)> on_all;
    // One that has changed or is deleted.
    std::function<void(platform_object&&)> on_change;
    // The store answered. What was read holds as of this time at least.
    std::function<void(steady_time as_of)> on_contact;
    std::function<void(error const&)> on_failure;
    // The history that the watch needs is gone; it lists again.
    std::function<void()> on_history_dropped;
};

class object_watch
{
public:
    // `client` and `protocol` outlive the watch.
    object_watch(
        ev::loop_ref loop, http_client& client,
        platform_store_protocol const& protocol, std::string address,
        std::string kind, watch_timing timing, watch_handlers handlers);
    ~object_watch();
    object_watch(object_watch const&) = delete;
    object_watch& operator=(object_watch const&) = delete;

    // Lists the objects and then watches them. Precondition: not started.
    void start();
    // Changes how long each watch call waits. Thread safety as above.
    void set_wait(duration wait)
    {
        timing_.wait = wait;
    }
    // Changes the pause after changes.
    void set_settle(duration settle)
    {
        timing_.settle = settle;
    }
    // Asks for changes at once. Precondition: started.
    void ask_now();
    // Sends its call again on another connection, because the one in use may
    // be dead. Precondition: started.
    void renew();
    // Does so if its call was sent before `t`. Precondition: as above.
    void renew_older_than(steady_time t)
    {
        if (sent_at_ < t)
            renew();
    }

private:
    void send();
    void on_reply(steady_time sent, duration wait, result<http_reply> reply);
    void on_objects(platform_objects&& objects);
    void retry(error const& why);

    http_client& client_;
    platform_store_protocol const& protocol_;
    std::string address_;
    std::string kind_;
    watch_timing timing_;
    watch_handlers handlers_;
    loop_timer retry_timer_;
    std::vector<platform_object> listed_; // pages read so far
    std::string after_;
    bool is_listed_ = false;
    bool has_failed_ = false; // the last call
    bool asks_now_ = false;   // the next call
    std::uint64_t revision_ = 0;
    std::uint64_t first_page_revision_ = 0;
    steady_time sent_at_{}; // the present call
    duration delay_{0};
    http_client::call_id call_ = 0;
};

} // namespace marjorambeam
