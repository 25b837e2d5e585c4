// Reads all objects of one kind in the platform's store once, in addition to
// a pending watch.
//
// Example:
//   object_query q(client, protocol, address, "routes", timeout, handlers);
//   q.ask();
//
// A list confirms its contents as of the time it was sent. A watch does not: it
// may have missed events, and responds only after its full wait.
//
// Everything here runs on the loop's thread; nothing is thread-safe.
#pragma once

#include "event_loop/loop_monitor.hpp"
#include "gateway/object_page.hpp"
#include "http_client/http_client.hpp"

#include <functional>
#include <string>
#include <vector>

namespace marjorambeam
{

struct query_handlers
{
    // Whether a response that names this era of the store may be used.
    std::function<bool(std::uint64_t era)> accepts_era;
    std::function<void(std::vector<platform_object>&&)> on_objects;
    // What was read is confirmed as of this time.
    std::function<void(steady_time as_of)> on_contact;
    // Nothing was read; also after a response of an era that is not accepted.
    std::function<void(error const&)> on_failure;
};

class object_query
{
public:
    // `client`, `protocol` and `monitor` outlive the query. A call without a
    // response after `timeout` fails.
    object_query(
        ev::loop_ref loop, loop_monitor& monitor, http_client& client,
        platform_store_protocol const& protocol, std::string address,
        std::string kind, duration timeout, query_handlers handlers);
    ~object_query();
    object_query(object_query const&) = delete;
    object_query& operator=(object_query const&) = delete;

    // Sends a list call, unless one is pending.
    void ask();

private:
    void on_reply(steady_time sent, result<http_reply> reply);
    void on_page(steady_time sent, result<platform_objects> objects);

    http_client& client_;
    platform_store_protocol const& protocol_;
    std::string address_;
    std::string kind_;
    duration timeout_;
    query_handlers handlers_;
    page_loader loader_;
    bool is_pending_ = false; // a call, or its response is being read
    http_client::call_id call_ = 0;
};

} // namespace marjorambeam
