// Pool of connections to upstreams; each carries one request at a time.
//
// Example:
//   auto c = pool.take(upstream, {.is_repeatable = true}, now);
//   c->send(bytes, {.on_head = ..., .on_body = ..., .on_complete = ...});
//   pool.put_back(c, now); // after a complete response
//
// Everything here runs on the loop's thread; nothing is thread-safe.
#pragma once

#include "gateway/request_protocol.hpp"
#include "gateway/upstream_table.hpp"
#include "http_stream/http_reader.hpp"
#include "http_stream/tcp_stream.hpp"
#include "metrics/metrics.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambeam
{

// Why a response is incomplete.
struct response_failure
{
    error_kind kind = error_kind::connection_lost;
    bool is_unsent = false; // the upstream has not received any of the request
    std::string why;
};

// Callbacks of one request, called from the loop. Exactly one of on_complete
// and on_response_failure is called, unless the connection is aborted.
struct response_handlers
{
    // The connection is established, and nothing of the request was sent yet.
    // Not called for a connection that is used again.
    std::function<void()> on_connected;
    std::function<void(http_response_head&&)> on_head;
    std::function<void(std::string&&)> on_body;
    // A response with another attempt id, that of an earlier request, was
    // skipped.
    std::function<void(std::string const& attempt_id)> on_late_response;
    std::function<void()> on_complete;
    std::function<void(response_failure const&)> on_response_failure;
};

// Connection that carries one request at a time. Not thread-safe.
class upstream_connection
    : public std::enable_shared_from_this<upstream_connection>
{
public:
    // `number` tells the connection apart from all others of its pool.
    upstream_connection(
        std::shared_ptr<tcp_stream> stream,
        std::shared_ptr<upstream_state> upstream, std::uint64_t number);
    ~upstream_connection();
    upstream_connection(upstream_connection const&) = delete;
    upstream_connection& operator=(upstream_connection const&) = delete;

    // Sends a request; its handlers are called from the loop. `attempt_id`
    // distinguishes its response from a late one to an earlier request;
    // `decode` reads the id of a response. Precondition: no request is pending.
    void send(
        std::string bytes, std::string attempt_id, bool is_head_request,
        upstream_response (*decode)(http_response_head const&),
        response_handlers handlers);

    // Closes the connection without calling any handler.
    void abort();

    // Calls `done` when the connection is established or was refused.
    // Precondition: no request is pending.
    void await_connection(std::function<void(bool is_connected)> done);

    // Whether the connection is established.
    bool is_connected() const
    {
        return stream_->is_connected();
    }
    // Whether it can carry another request.
    bool is_reusable() const;
    // Announced idle timeout in seconds; 0 when there is none.
    int idle_seconds() const
    {
        return idle_seconds_;
    }
    std::shared_ptr<upstream_state> const& upstream() const
    {
        return upstream_;
    }
    std::uint64_t number() const
    {
        return number_;
    }
    // Reads the rest of the response, which is of no interest, and calls `done`
    // with whether it ended well; at most `max_bytes` are read. Precondition:
    // its head was read and it has not ended.
    void skip_response(
        std::size_t max_bytes, std::function<void(bool is_whole)> done);

    // Pauses or resumes reading the response.
    void pause(bool is_paused)
    {
        stream_->pause(is_paused);
    }
    bool is_paused() const
    {
        return stream_->is_paused();
    }
    // Gives an upstream that reads a request slowly `limit` to go on. Returns
    // whether such a wait has begun.
    bool extend_for_full_window(duration limit)
    {
        return stream_->extend_for_full_window(limit);
    }

    // Time of the return to the pool; set by the pool.
    steady_time idle_since{};

private:
    void on_data();
    void on_end(stream_end why);
    bool process_head();
    void finish();
    void fail_with(response_failure const& why);

    std::shared_ptr<tcp_stream> stream_;
    std::shared_ptr<upstream_state> upstream_;
    std::uint64_t number_;
    std::unique_ptr<response_reader> reader_;
    std::string attempt_id_;
    upstream_response (*decode_)(http_response_head const&) = nullptr;
    response_handlers handlers_;
    bool is_busy_ = false;
    bool is_head_request_ = false;
    bool has_head_ = false;
    bool is_late_response_ = false; // of an earlier request
    std::size_t skipped_ = 0;       // bytes before the head of its response
    bool keep_alive_ = true;
    bool was_connected_ = false;
    int idle_seconds_ = 0;
};

// What a request requires of its connection.
struct connection_query
{
    // Whether the request may be sent again if the upstream closes an idle
    // connection meanwhile.
    bool is_repeatable = false;
    // Numbers of the connections that have carried the same attempt id. A
    // second copy of their response bears that id too, so that it can't be told
    // from the response to this request.
    std::span<std::uint64_t const> carried_by;
};

// Keeps idle connections per upstream. Not thread-safe.
class upstream_pool
{
public:
    // Precondition: `counters` outlives the pool. Loop thread only, like all
    // members.
    upstream_pool(ev::loop_ref loop, metrics& counters);

    // Returns an idle connection or opens a new one. Errors: those of
    // tcp_stream::connect(). A request that is not repeatable gets an idle
    // connection only if it was in use recently, because the upstream may close
    // an idle one at any time. None of `q.carried_by` is returned; these stay
    // idle for other requests.
    result<std::shared_ptr<upstream_connection>> take(
        std::shared_ptr<upstream_state> const& upstream,
        connection_query const& q, steady_time now);

    // Keeps the connection for reuse, or closes it if it is not reusable.
    // Precondition: `c` was taken from a pool and has no pending request.
    void
    put_back(std::shared_ptr<upstream_connection> const& c, steady_time now);

    // Keeps the connection for reuse once the rest of its response, a refusal,
    // has arrived, or closes it if that takes long. Precondition: the handler
    // of the response's head is running, and `c` was taken from a pool.
    void
    recycle(std::shared_ptr<upstream_connection> const& c, steady_time now);

    // Opens a connection, unless one is being opened by this function, and
    // keeps it for reuse. Calls `done` once, with the connection that the
    // upstream has accepted or with null; not if a probe is under way.
    // Precondition: what `done` refers to outlives the pool.
    void probe(
        std::shared_ptr<upstream_state> const& upstream,
        std::function<void(std::shared_ptr<upstream_connection> const&)> done);

    // Closes connections that exceed the idle limit, and those to upstreams
    // that are no longer listed.
    void sweep(upstream_table const& upstreams, steady_time now);

    // Number of idle connections.
    std::size_t idle() const;

private:
    std::shared_ptr<upstream_connection> take_idle(
        std::shared_ptr<upstream_state> const& upstream,
        connection_query const& q, steady_time now);
    result<std::shared_ptr<upstream_connection>>
    open(std::shared_ptr<upstream_state> const& upstream);

    ev::loop_ref loop_;
    metrics& counters_;
    std::uint64_t last_number_ = 0;
    std::map<
        std::string, std::vector<std::shared_ptr<upstream_connection>>,
        std::less<>>
        idle_;
    // Connections that recycle() reads to the end of their response, with the
    // time at which they are closed.
    std::map<std::shared_ptr<upstream_connection>, steady_time> recycled_;
    // Connections that probe() is opening, by upstream.
    std::map<std::string, std::shared_ptr<upstream_connection>, std::less<>>
        probes_;
};

} // namespace marjorambeam
