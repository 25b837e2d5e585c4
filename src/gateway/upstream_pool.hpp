// Connections to upstreams, each for one request at a time, kept for reuse.
//
// Example:
//   auto c = pool.take(upstream, is_repeatable, now);
//   c->send(bytes, {.on_head = ..., .on_body = ..., .on_done = ...});
//   pool.give_back(c, now); // after a whole answer
//
// Everything here runs on the loop's thread; nothing is thread-safe.
#pragma once

#include "gateway/call_protocol.hpp"
#include "gateway/upstream_table.hpp"
#include "http_stream/http_reader.hpp"
#include "http_stream/tcp_stream.hpp"
#include "metrics/metrics.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace marjorambeam
{

// Why an answer is not whole.
struct broken_answer
{
    error_kind kind = error_kind::connection_lost;
    bool is_unsent = false; // the upstream has not received any of the request
    std::string why;
};

struct answer_handlers
{
    std::function<void(http_response_head&&)> on_head;
    std::function<void(std::string&&)> on_body;
    std::function<void()> on_whole;
    std::function<void(broken_answer const&)> on_broken;
};

class upstream_connection
    : public std::enable_shared_from_this<upstream_connection>
{
public:
    upstream_connection(
        std::shared_ptr<tcp_stream> stream,
        std::shared_ptr<upstream_state> upstream);
    ~upstream_connection();
    upstream_connection(upstream_connection const&) = delete;
    upstream_connection& operator=(upstream_connection const&) = delete;

    // Sends a request; its handlers are called from the loop. `attempt_id`
    // tells its answer from a late one to an earlier request, by `decode`.
    // Precondition: no request is under way.
    void send(
        std::string_view bytes, std::string attempt_id, bool is_head_request,
        upstream_answer (*decode)(http_response_head const&),
        answer_handlers handlers);

    // Ends the connection without calling any handler.
    void abort();

    bool is_connected() const
    {
        return stream_->is_connected();
    }
    // Whether it may carry another request.
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
    // Stops or continues reading the answer.
    void pause(bool is_paused)
    {
        stream_->pause(is_paused);
    }

    // When it was given back; by the pool.
    steady_time idle_since{};

private:
    void on_data();
    void on_end(stream_end why);
    bool take_head();
    void finish();
    void fail_with(broken_answer const& why);

    std::shared_ptr<tcp_stream> stream_;
    std::shared_ptr<upstream_state> upstream_;
    std::unique_ptr<response_reader> reader_;
    std::string attempt_id_;
    upstream_answer (*decode_)(http_response_head const&) = nullptr;
    answer_handlers handlers_;
    bool is_busy_ = false;
    bool is_head_request_ = false;
    bool has_head_ = false;
    bool is_late_answer_ = false; // of an earlier request
    std::size_t skipped_ = 0;     // bytes before the head of its answer
    bool keep_alive_ = true;
    bool was_connected_ = false;
    int idle_seconds_ = 0;
};

class upstream_pool
{
public:
    // `counters` outlives the pool.
    upstream_pool(ev::loop_ref loop, metrics& counters);

    // Returns an idle connection or starts a new one; null when no socket can
    // be had. A request that may not be repeated gets an idle connection only
    // if it was in use a moment ago, as one may be closed without notice.
    std::shared_ptr<upstream_connection> take(
        std::shared_ptr<upstream_state> const& upstream, bool is_repeatable,
        steady_time now);

    // Keeps the connection for reuse, or closes it when that is not possible.
    void
    give_back(std::shared_ptr<upstream_connection> const& c, steady_time now);

    // Closes connections that were idle for too long, and those to upstreams
    // that are gone.
    void sweep(upstream_table const& board, steady_time now);

    std::size_t idle() const;

private:
    ev::loop_ref loop_;
    metrics& counters_;
    std::map<
        std::string, std::vector<std::shared_ptr<upstream_connection>>,
        std::less<>>
        idle_;
};

} // namespace marjorambeam
