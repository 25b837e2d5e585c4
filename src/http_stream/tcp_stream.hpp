// A TCP connection on the process's libev loop, with its unread input and
// unsent output. Used where a proxied byte stream has to be watched in both
// directions at once.
//
// Example:
//   auto s = tcp_stream::connect(loop, "10.0.0.1:80", limits);
//   s->on_data([s = s.get()] { parse(s->input()); });
//   s->on_end([](stream_end why) { ... });
//   s->send("GET / HTTP/1.1\r\n\r\n");
//
// Everything here runs on the loop's thread; nothing is thread-safe.
#pragma once

#include "base/time.hpp"
#include "error/error.hpp"

#include <cstdint>
#include <ev++.h>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace marjorambeam
{

// Why a connection ended.
enum class stream_end : std::uint8_t
{
    closed,     // the peer closed its side in order
    reset,      // the peer reset it, or the path is dead
    not_reached // it was never established
};

// When a path counts as dead.
struct stream_limits
{
    // Unacknowledged data for longer than this ends the connection.
    duration unacknowledged = std::chrono::milliseconds(2000);
    // An idle connection is probed after this many seconds, and each second
    // from then on; it ends after `probes` without an answer.
    int probe_after_s = 1;
    int probes = 2;
    // Bytes that the kernel holds before they are read; 0: as it likes.
    int receive_buffer_bytes = 0;
};

// Whether `text` is an IPv4 address and a port that can be connected to.
// Thread-safe.
bool is_ipv4_endpoint(std::string_view text);

// A connection. Kept alive by its holders; close() or destruction ends it.
class tcp_stream : public std::enable_shared_from_this<tcp_stream>
{
public:
    // Starts to connect. Errors: bad_setting if `address` is no IPv4 address
    // and port; queue_full if this process can have no further socket;
    // connection_lost if the address can't be reached.
    static result<std::shared_ptr<tcp_stream>>
    connect(ev::loop_ref loop, std::string_view address, stream_limits limits);

    // Takes over a socket that does not block.
    tcp_stream(
        ev::loop_ref loop, int fd, bool is_connecting, stream_limits limits);
    ~tcp_stream();
    tcp_stream(tcp_stream const&) = delete;
    tcp_stream& operator=(tcp_stream const&) = delete;

    // Called when input() has grown.
    void on_data(std::function<void()> callback)
    {
        on_data_ = std::move(callback);
    }
    // Called once when the connection is established.
    void on_connected(std::function<void()> callback)
    {
        on_connected_ = std::move(callback);
    }
    // Called once when the peer or the path ends the connection; not by
    // close().
    void on_end(std::function<void(stream_end)> callback)
    {
        on_end_ = std::move(callback);
    }
    // Whether an orderly end of the peer is reported only once the peer's
    // kernel has all output, or has reset the connection. A peer may end its
    // sending side before it reads the rest, and may never do so.
    void report_end_after_delivery(bool is_delayed)
    {
        delays_end_ = is_delayed;
    }
    // Called when all output has been taken by the socket after some had to
    // wait.
    void on_drained(std::function<void()> callback)
    {
        on_drained_ = std::move(callback);
    }

    // Bytes received and not consumed.
    std::string_view input() const
    {
        return std::string_view(input_).substr(input_start_);
    }
    // How long ago the latest input arrived in the kernel; zero if it doesn't
    // tell.
    duration input_age() const;
    // Drops the first `n` bytes of input(). Precondition: there are so many.
    void consume(std::size_t n);

    // Queues bytes and sends what the socket takes. Ignored once ended.
    void send(std::string_view bytes);
    // The same, without a copy if no other output waits.
    void send_owned(std::string bytes);
    // Bytes that the socket has not taken yet.
    std::size_t unsent() const
    {
        return output_.size() - output_start_;
    }

    // Memory of the buffers for input and output.
    std::size_t buffer_memory() const
    {
        return input_.capacity() + output_.capacity();
    }

    // Stops or continues reading; a stopped connection notices no close.
    void pause(bool is_paused);
    bool is_paused() const
    {
        return is_paused_;
    }

    // Whether the peer has ended its side or reset the connection, also if
    // input that came before has not been read yet. Asks the kernel, because
    // on_end() is called in a later turn of the loop.
    bool has_peer_ended() const;

    // Whether input, or its end, waits in the kernel.
    bool has_unread() const;

    void close();
    // Closes at once and discards output that the kernel has not delivered.
    void discard();
    // Sends what is left and then ends the sending side. The holder closes,
    // once the peer has had the time to read: a close with unread input resets
    // the connection, which can destroy output that the peer has not read yet.
    void close_after_output();
    // Whether the sending side was ended and the peer's kernel has all output.
    bool has_delivered_output() const;
    // Gives a peer that acknowledges all it has room for `limit` to make room,
    // instead of the time after which a path counts as dead. To be called
    // several times within that time while output may wait. Returns whether
    // such a wait has begun.
    bool extend_for_full_window(duration limit);
    // Whether output waits, or has waited, for the peer to make room, and has
    // not left since.
    bool is_extended() const
    {
        return is_extended_;
    }

    bool is_open() const
    {
        return fd_ >= 0;
    }
    bool is_connected() const
    {
        return fd_ >= 0 && !is_connecting_;
    }

private:
    void on_ready(ev::io&, int events);
    void set_unacknowledged_limit(duration limit) const;
    void finish_connecting();
    void handle(int events);
    std::size_t send_some(std::string_view bytes);
    bool read_available();
    void flush();
    void watch();
    void on_delivery_timer(ev::timer&, int);
    void end_after_delivery();
    void end(stream_end why);

    int fd_ = -1;
    duration unacknowledged_;
    bool is_connecting_ = false;
    bool is_paused_ = false;
    bool may_have_output_ = false; // in the kernel
    bool is_extended_ = false;     // for a full window
    bool is_closing_ = false;      // after the output has left
    bool is_shut_ = false;         // the sending side was ended
    bool delays_end_ = false;      // see report_end_after_delivery()
    bool is_input_done_ = false;   // the peer has ended its sending side
    ev::io io_;
    ev::timer delivery_timer_;
    std::string input_;
    std::size_t input_start_ = 0;
    std::string output_;
    std::size_t output_start_ = 0;
    std::function<void()> on_data_;
    std::function<void()> on_connected_;
    std::function<void()> on_drained_;
    std::function<void(stream_end)> on_end_;
};

// Accepts connections on one address.
class tcp_listener
{
public:
    using handler = std::function<void(std::shared_ptr<tcp_stream>)>;

    // Throws std::runtime_error when the address can't be bound.
    tcp_listener(
        ev::loop_ref loop, std::string_view address, stream_limits limits,
        handler on_connection);
    ~tcp_listener();
    tcp_listener(tcp_listener const&) = delete;
    tcp_listener& operator=(tcp_listener const&) = delete;

    // Port that it listens on.
    std::uint16_t port() const
    {
        return port_;
    }
    // Closes the listening socket.
    void stop();

private:
    void on_ready(ev::io&, int);

    ev::loop_ref loop_;
    stream_limits limits_;
    int fd_ = -1;
    std::uint16_t port_ = 0;
    ev::io io_;
    handler on_connection_;
};

} // namespace marjorambeam
