// HTTP server by libmicrohttpd on the process's libev loop.
//
// Example:
//   http_server server(loop, {.address = "127.0.0.1:0"},
//       [](std::shared_ptr<http_exchange> const& ex)
//       { ex->respond(200, {}, "hello\n"); });
//   std::uint16_t port = server.port();
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

struct MHD_Connection;
struct MHD_Daemon;

namespace marjorambeam
{

using http_headers = std::vector<std::pair<std::string, std::string>>;

// A complete request. Header names are in lower case.
struct http_request
{
    std::string method;
    std::string path;   // percent-decoded, without the query
    std::string target; // path and query as the caller sent them
    std::map<std::string, std::string, std::less<>> query;
    std::map<std::string, std::string, std::less<>> headers;
    std::string body;

    // Returns the header's value, or empty. `name` is in lower case.
    std::string_view header(std::string_view name) const;
    // Returns the query parameter's value, or empty.
    std::string_view parameter(std::string_view name) const;
};

class http_server;

// One request with its response. Kept alive by its holders; when the caller
// disconnects, writes are ignored and `on_close` is called.
class http_exchange : public std::enable_shared_from_this<http_exchange>
{
public:
    http_request const& request() const
    {
        return request_;
    }

    // Sends a whole response. Precondition: nothing was sent before.
    void
    respond(int status, http_headers const& headers, std::string_view body);

    // Starts a response of unknown length. Precondition: nothing was sent.
    void start_stream(int status, http_headers const& headers);

    // Adds bytes to the stream. Returns false when the caller is gone.
    // Precondition: start_stream was called and end_stream was not.
    bool write(std::string_view bytes);

    // Ends the stream; `is_whole` false closes the connection without the
    // final chunk, so that the caller sees a cut.
    void end_stream(bool is_whole = true);

    // Closes the connection without a byte of a response, as a process that
    // dies does. Precondition: nothing was sent.
    void drop();

    // Sets the function to call when the caller disconnects early.
    void on_close(std::function<void()> callback);

    bool is_open() const
    {
        return connection_ != nullptr;
    }
    bool is_started() const
    {
        return is_started_;
    }
    // Bytes written and not yet taken by the socket.
    std::size_t pending_bytes() const
    {
        return buffer_.size() - buffer_start_;
    }

private:
    friend class http_server;
    friend struct http_server_callbacks;

    void queue_response();
    void suspend();
    void resume();

    MHD_Connection* connection_ = nullptr;
    http_server* server_ = nullptr;
    http_request request_;
    int status_ = 0;
    http_headers headers_;
    std::string buffer_;
    std::size_t buffer_start_ = 0;
    std::size_t content_length_ = 0;
    steady_time started_at_{};
    error_kind refusal_ = error_kind::internal;
    bool is_refused_ = false;
    bool is_begun_ = false;
    bool is_dispatched_ = false;
    bool is_started_ = false;
    bool is_stream_ = false;
    bool is_ended_ = false;
    bool is_whole_ = true;
    bool is_queued_ = false;
    bool is_suspended_ = false;
    bool is_dropped_ = false;
    std::function<void()> on_close_;
};

// Limits on callers. A request over a limit is refused with the named error.
struct http_server_settings
{
    std::string address = "127.0.0.1:0";
    std::size_t max_body_bytes = std::size_t{4} << 20U;
    std::size_t max_header_bytes = std::size_t{32} << 10U;
    unsigned max_connections = 10000;
    duration idle_timeout = std::chrono::seconds(60);
    duration body_timeout = std::chrono::seconds(30);
};

// Listens on one address. Precondition for destruction: no handler is
// running; open exchanges are closed.
class http_server
{
public:
    using handler = std::function<void(std::shared_ptr<http_exchange> const&)>;
    // Called for a request that broke a limit, before it is answered.
    using refusal_handler = std::function<void(error_kind)>;

    // Throws std::runtime_error when the address can't be bound.
    http_server(
        ev::loop_ref loop, http_server_settings settings, handler on_request,
        refusal_handler on_refusal = {});
    ~http_server();
    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;

    // The port it listens on.
    std::uint16_t port() const
    {
        return port_;
    }
    // The address it was given, with the port that it listens on.
    std::string address() const;
    // Requests that are not answered to the end.
    std::size_t open_exchanges() const
    {
        return open_.size();
    }
    // Closes the listening socket; open exchanges go on.
    void stop_listening();

private:
    friend class http_exchange;
    friend struct http_server_callbacks;

    void run();
    // Runs libmicrohttpd in the next turn of the loop; without threads of its
    // own it does not notice a resumed connection by itself.
    void run_soon();

    http_server_settings settings_;
    handler on_request_;
    refusal_handler on_refusal_;
    MHD_Daemon* daemon_ = nullptr;
    std::uint16_t port_ = 0;
    bool is_listening_ = true;
    bool has_resumed_ = false; // since the last run
    ev::io readable_;
    ev::timer timeout_;
    std::map<http_exchange*, std::shared_ptr<http_exchange>> open_;
};

// Returns the JSON body of an error response. Thread-safe.
std::string error_body(error const& e, std::string_view request_id);

// Answers with the status, Retry-After header and JSON body of `e`.
// Precondition: nothing was sent on `exchange`.
void respond_error(
    http_exchange& exchange, error const& e, std::string_view request_id,
    http_headers headers = {});

} // namespace marjorambeam
