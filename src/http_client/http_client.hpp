// HTTP client by libcurl's multi interface on the process's libev loop.
//
// Example:
//   http_client client(loop);
//   client.send({.url = "http://127.0.0.1:8080/v1/objects/leases/x"},
//       [](result<http_reply> r) { if (r && r->status == 200) ...; });
//
// Everything here runs on the loop's thread; nothing is thread-safe.
#pragma once

#include "base/time.hpp"
#include "error/error.hpp"

#include <cstddef>
#include <cstdint>
#include <ev++.h>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace marjorambeam
{

// One request to send.
struct http_call
{
    std::string method = "GET";
    std::string url;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    duration timeout = std::chrono::seconds(10);
    duration connect_timeout = std::chrono::seconds(2);
    std::size_t max_body_bytes = std::size_t{8} << 20U;
    // libcurl sends a request again when a reused connection turns out to be
    // closed, and can't know whether the first one ran. Calls that may not
    // run twice set this, so that they use a connection of their own.
    bool use_fresh_connection = false;
};

// A complete response. Header names are in lower case; those of interim
// responses and trailers are left out.
struct http_reply
{
    int status = 0;
    std::map<std::string, std::string, std::less<>> headers;
    std::string body; // empty when the body went to an `on_data` function
};

// Sends requests. Destruction cancels all that are under way.
class http_client
{
public:
    using call_id = std::uint64_t;
    // Errors: connection_lost with run state `not_run` when no connection was
    // made, else `unknown`; upstream_silent on a timeout; answer_corrupt, with
    // run state `unknown`, when the response is none by the protocol;
    // body_too_large when it is over the limit.
    using done_handler = std::function<void(result<http_reply>)>;
    // Receives the body in pieces, with the status; returning false ends the
    // call with `cancelled`.
    using data_handler = std::function<bool(int status, std::string_view)>;

    explicit http_client(ev::loop_ref loop);
    ~http_client();
    http_client(http_client const&) = delete;
    http_client& operator=(http_client const&) = delete;

    // Starts a call. `done` is called once from the loop, never from send.
    call_id send(http_call call, done_handler done, data_handler on_data = {});

    // Ends a call without calling its handlers. Unknown ids are ignored.
    void cancel(call_id id);

    // Calls under way.
    std::size_t active() const;

private:
    struct implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace marjorambeam
