// Framed TCP connections and UDP datagrams on the process's libev loop.
//
// Example:
//   frame_listener listener(loop, "127.0.0.1:0", [&](auto connection) {
//       connection->on_message([](message&& m) { ... });
//       connections.push_back(connection);
//   });
//   auto c = frame_connection::connect(loop, "127.0.0.1:7000");
//   c->on_close([](error const& why) { ... });
//   c->send(hello{});
//
// Everything here runs on the loop's thread; nothing is thread-safe.
#pragma once

#include "base/time.hpp"
#include "error/error.hpp"
#include "wire/frame.hpp"

#include <cstdint>
#include <ev++.h>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace marjorambeam
{

// Bytes that may wait for a slow receiver before the connection is closed.
constexpr std::size_t max_send_buffer_bytes = std::size_t{64} << 20U;

// One TCP connection that carries frames. Stays open while somebody holds it.
class frame_connection : public std::enable_shared_from_this<frame_connection>
{
public:
    using message_handler = std::function<void(message&&)>;
    using close_handler = std::function<void(error const&)>;

    // Starts to connect; failure is reported through on_close. Precondition:
    // `address` is an IPv4 address and port.
    static std::shared_ptr<frame_connection>
    connect(ev::loop_ref loop, std::string_view address);

    // Takes over a connected socket.
    frame_connection(ev::loop_ref loop, int fd, bool is_connecting);
    ~frame_connection();
    frame_connection(frame_connection const&) = delete;
    frame_connection& operator=(frame_connection const&) = delete;

    void on_message(message_handler callback);
    // Called once when the other end or an error closes the connection; not
    // when close() does.
    void on_close(close_handler callback);

    // Queues the message; it leaves at the end of this turn of the loop.
    // Ignored after the connection closed.
    void send(message const& m);

    // Closes without calling on_close.
    void close();

    bool is_open() const
    {
        return fd_ >= 0;
    }
    bool is_connected() const
    {
        return fd_ >= 0 && !is_connecting_;
    }
    // Time of the last bytes received.
    steady_time last_received() const
    {
        return last_received_;
    }
    std::uint64_t bytes_sent() const
    {
        return bytes_sent_;
    }
    std::uint64_t bytes_received() const
    {
        return bytes_received_;
    }
    std::size_t unsent_bytes() const
    {
        return out_.size() - out_start_;
    }

private:
    void on_ready(ev::io&, int events);
    void on_prepare(ev::prepare&, int);
    void handle(int events);
    void finish_connecting();
    void read_available();
    void flush();
    void fail_with(error const& why);

    int fd_ = -1;
    bool is_connecting_ = false;
    ev::io io_;
    ev::prepare flush_;
    frame_reader reader_;
    std::string out_;
    std::size_t out_start_ = 0;
    message_handler on_message_;
    close_handler on_close_;
    steady_time last_received_{};
    std::uint64_t bytes_sent_ = 0;
    std::uint64_t bytes_received_ = 0;
};

// Accepts frame connections.
class frame_listener
{
public:
    using handler =
        std::function<void(std::shared_ptr<frame_connection> const&)>;

    // Throws std::runtime_error when the address can't be bound. The address
    // is bound exclusively: while a process holds it no other can listen.
    frame_listener(
        ev::loop_ref loop, std::string_view address, handler on_connection);
    ~frame_listener();
    frame_listener(frame_listener const&) = delete;
    frame_listener& operator=(frame_listener const&) = delete;

    // The address with the port that the kernel chose.
    std::string const& address() const
    {
        return address_;
    }
    // Closes the listening socket.
    void stop();

private:
    void on_ready(ev::io&, int);

    ev::loop_ref loop_;
    int fd_ = -1;
    ev::io io_;
    std::string address_;
    handler on_connection_;
};

// Sends and receives one frame per datagram.
class datagram_socket
{
public:
    using handler = std::function<void(message&&)>;
    using error_handler = std::function<void(error const&)>;

    // Throws std::runtime_error when the address can't be bound. `on_error`
    // receives malformed datagrams.
    datagram_socket(
        ev::loop_ref loop, std::string_view address, handler on_message,
        error_handler on_error);
    ~datagram_socket();
    datagram_socket(datagram_socket const&) = delete;
    datagram_socket& operator=(datagram_socket const&) = delete;

    // Sends without waiting; a datagram that can't be sent is dropped, as the
    // network may drop it anyway. Precondition: `address` is valid.
    void send(std::string_view address, message const& m);

    std::string const& address() const
    {
        return address_;
    }
    std::uint64_t bytes_sent() const
    {
        return bytes_sent_;
    }
    std::uint64_t bytes_received() const
    {
        return bytes_received_;
    }

private:
    void on_ready(ev::io&, int);

    int fd_ = -1;
    ev::io io_;
    std::string address_;
    handler on_message_;
    error_handler on_error_;
    std::uint64_t bytes_sent_ = 0;
    std::uint64_t bytes_received_ = 0;
};

} // namespace marjorambeam
