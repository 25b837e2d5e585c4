// Reads all objects of one kind in the platform's store once, beside a watch
// that waits there.
//
// Example:
//   object_query q(client, protocol, address, "routes", patience, handlers);
//   q.ask();
//
// A list vouches for what it holds as of its sending. A watch does not: it may
// have gone deaf, and its answer comes a whole wait later.
//
// Everything here runs on the loop's thread; nothing is thread-safe.
#pragma once

#include "gateway/object_watch.hpp"
#include "http_client/http_client.hpp"

#include <functional>
#include <string>
#include <vector>

namespace marjorambeam
{

struct query_handlers
{
    std::function<void(std::vector<platform_object>&&)> on_objects;
    // What was read holds as of this time.
    std::function<void(steady_time as_of)> on_contact;
    std::function<void(error const&)> on_failure;
};

class object_query
{
public:
    // `client` and `protocol` outlive the query. A call that has no answer
    // after `patience` is given up.
    object_query(
        http_client& client, platform_store_protocol const& protocol,
        std::string address, std::string kind, duration patience,
        query_handlers handlers);
    ~object_query();
    object_query(object_query const&) = delete;
    object_query& operator=(object_query const&) = delete;

    // Sends a call, unless one is under way.
    void ask();

private:
    void on_reply(steady_time sent, result<http_reply> reply);

    http_client& client_;
    platform_store_protocol const& protocol_;
    std::string address_;
    std::string kind_;
    duration patience_;
    query_handlers handlers_;
    bool is_asking_ = false;
    http_client::call_id call_ = 0;
};

} // namespace marjorambeam
