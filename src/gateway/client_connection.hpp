// Connection of a caller: reads requests sequentially and writes their
// responses. After the response that announces the close of the connection, or
// an error, no request is read any more; the connection then lingers until the
// caller has ended it or has had the time to read the response.
//
// Example:
//   auto c = std::make_shared<client_connection>(
//       stream, limits, pools, now, on_request);
//   c->respond({.status = 200, .headers = h}, body);
//
// Everything here runs on the loop's thread; nothing is thread-safe.
#pragma once

#include "gateway/buffer_pool.hpp"
#include "gateway/gateway_config.hpp"
#include "gateway/request_protocol.hpp"
#include "http_stream/http_reader.hpp"
#include "http_stream/tcp_stream.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambeam
{

// Not thread-safe; all members are called on the loop's thread.
class client_connection : public std::enable_shared_from_this<client_connection>
{
public:
    // Receives a complete request, or the error that ends the connection.
    using request_handler = std::function<void(
        std::shared_ptr<client_connection> const&,
        result<http_request_message>)>;

    // Precondition: `pools` outlives the connection.
    client_connection(
        std::shared_ptr<tcp_stream> stream, client_limits limits,
        buffer_pools& pools, steady_time now, request_handler on_request);
    client_connection(client_connection const&) = delete;
    client_connection& operator=(client_connection const&) = delete;
    ~client_connection() = default;

    // Starts reading. Precondition: held by a shared_ptr.
    void start();

    // Sends a complete response. Precondition: is_busy().
    void respond(response_head const& head, std::string body);
    // Keeps a claim until the pending response has left. Precondition: as
    // above.
    void hold(std::unique_ptr<buffer_claim> claim);
    // Starts a response of unknown length. Precondition: as above.
    void start_stream(response_head const& head);
    // Sends a part of the body. Precondition: start_stream() was called.
    void write(std::string_view bytes);
    // Completes the response. Precondition: as above.
    void end_stream();
    // Closes the connection and truncates a pending response.
    void abort();

    // Sets the callback for a caller that disconnects before its response is
    // complete; abort() and a complete response remove it.
    void on_disconnect(std::function<void()> callback)
    {
        on_disconnect_ = std::move(callback);
    }
    // Sets the callback for the end of buffered output. A complete response
    // removes it.
    void on_drained(std::function<void()> callback)
    {
        stream_->on_drained(std::move(callback));
    }

    // Ends the connection if it has been idle, or slow to send a head, or has
    // lingered, for longer than the limits allow. Returns false when it has
    // ended. Precondition: held by a shared_ptr.
    bool check(client_limits const& limits, steady_time now);
    // Announces the close in the head of the next response that has no request
    // behind it. A response whose head promised to keep the connection is
    // followed by another one.
    void close_after_response()
    {
        announces_close_ = true;
    }
    // Ends an idle connection without a response. A request that has arrived
    // but was not read is read instead. Precondition: no request is pending.
    void close_idle(steady_time now);
    // Passes an error of this kind to the request handler and reads no request.
    // Preconditions: started; no request is pending.
    void reject(error_kind kind);
    // Whether no request is pending or partly received, all output is sent and
    // requests are still read.
    bool is_idle() const
    {
        return !is_busy_ && !is_last_ && !reader_->is_head_done() &&
               stream_->input().empty() && !has_bytes_ && unsent() == 0;
    }
    // Whether the connection has ended, or no request can be read from it and
    // its caller has ended it.
    bool has_ended() const
    {
        return !is_open() ||
               (is_last_ && !is_busy_ && stream_->has_peer_ended());
    }
    bool is_open() const
    {
        return stream_->is_open();
    }
    // Whether the caller has ended its connection, or its sending side of it,
    // although on_disconnect() may not have been called yet.
    bool has_caller_left() const
    {
        return stream_->has_peer_ended();
    }
    // How long ago the latest input arrived in the kernel; zero if unknown.
    duration input_age() const
    {
        return stream_->input_age();
    }
    // Bytes of output that are still buffered.
    std::size_t unsent() const
    {
        return stream_->unsent();
    }
    // Whether output waits, or has waited, for a caller that reads slowly.
    bool is_extended() const
    {
        return stream_->is_extended();
    }
    // Whether a request awaits its response.
    bool is_busy() const
    {
        return is_busy_;
    }

private:
    void read();
    bool claim_input();
    void release_claims();
    void refuse_input(error const& why);
    void finish_response();
    void linger(steady_time now);
    void take_limits(client_limits const& limits);
    void on_end();
    std::string head_text(response_head const& head, std::string_view framing);

    std::shared_ptr<tcp_stream> stream_;
    client_limits limits_;
    buffer_pools& pools_;
    request_handler on_request_;
    std::function<void()> on_disconnect_;
    std::unique_ptr<request_reader> reader_;
    // Of a request that is not complete: for any, and for one that is not
    // small.
    std::unique_ptr<buffer_claim> partial_claim_;
    std::unique_ptr<buffer_claim> prompt_claim_;
    // Of the pending request and its response, and of those before whose output
    // has not left.
    std::vector<std::unique_ptr<buffer_claim>> claims_;
    std::vector<std::unique_ptr<buffer_claim>> unsent_claims_;
    steady_time last_active_;
    steady_time first_byte_{};
    bool has_bytes_ = false; // of an incomplete request
    bool is_busy_ = false;
    bool announces_close_ = false; // in the next head
    // The pending or latest response is the last one.
    bool is_last_ = false;
    bool has_failed_input_ = false; // the rest of a request may still arrive
    std::optional<steady_time> lingers_since_;
    bool is_reading_ = false;
    bool has_continued_ = false;
};

} // namespace marjorambeam
