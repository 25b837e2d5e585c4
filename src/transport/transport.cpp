#include "transport/transport.hpp"

#include "log/guarded_call.hpp"

#include "settings/settings.hpp"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace marjorambeam
{
namespace
{

constexpr std::size_t read_block_bytes = 64U << 10U;
constexpr std::size_t max_datagram_bytes = 1400;
constexpr int listen_backlog = 1024;

result<sockaddr_in> socket_address(std::string_view address)
{
    auto const parts = split_address(address);
    if (!parts)
        return tl::unexpected<error>(parts.error());
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(parts->second);
    inet_pton(AF_INET, parts->first.c_str(), &out.sin_addr);
    return out;
}

std::string bound_address(int fd)
{
    sockaddr_in address{};
    socklen_t n = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &n);
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
    return std::string(text.data()) + ":" +
           std::to_string(ntohs(address.sin_port));
}

void set_no_delay(int fd)
{
    int const on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

// Returns a bound socket of `type`, or throws.
int open_bound(std::string_view address, int type)
{
    result<sockaddr_in> const to = socket_address(address);
    if (!to)
        throw std::runtime_error(to.error().message);
    int const fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int const on = 1;
    // Allows binding while old connections are in TIME_WAIT; a second
    // listener on the same port is still refused.
    if (type == SOCK_STREAM)
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    bool const is_bound =
        bind(fd, reinterpret_cast<sockaddr const*>(&*to), sizeof *to) == 0 &&
        (type != SOCK_STREAM || listen(fd, listen_backlog) == 0);
    if (!is_bound)
    {
        std::string const reason = std::strerror(errno);
        close(fd);
        throw std::runtime_error(
            "can't listen on " + std::string(address) + ": " + reason);
    }
    return fd;
}

constexpr int max_port_attempts = 16;

// Returns a listening socket. With port 0 the kernel chooses a port whose
// number is free for datagrams, too, because daemons use both.
int open_listener(std::string_view address)
{
    result<std::pair<std::string, std::uint16_t>> const wanted =
        split_address(address);
    for (int i = 1;; ++i)
    {
        int const fd = open_bound(address, SOCK_STREAM);
        if (!wanted || wanted->second != 0 || i == max_port_attempts)
            return fd;
        try
        {
            ::close(open_bound(bound_address(fd), SOCK_DGRAM));
            return fd;
        }
        catch (std::runtime_error const&)
        {
            ::close(fd);
        }
    }
}

bool is_temporary(int ec)
{
    return ec == EAGAIN || ec == EWOULDBLOCK || ec == EINTR;
}

} // namespace

std::shared_ptr<frame_connection>
frame_connection::connect(ev::loop_ref loop, std::string_view address)
{
    int const fd =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    result<sockaddr_in> const to = socket_address(address);
    // A failure to connect at once is reported by the socket's error state
    // when the loop finds it writable.
    if (to)
    {
        (void)::connect(
            fd, reinterpret_cast<sockaddr const*>(&*to), sizeof *to);
    }
    return std::make_shared<frame_connection>(loop, fd, true);
}

frame_connection::frame_connection(
    ev::loop_ref loop, int fd, bool is_connecting)
    : fd_(fd)
    , is_connecting_(is_connecting)
    , io_(loop)
    , flush_(loop)
    , last_received_(steady_now())
{
    set_no_delay(fd_);
    io_.set<frame_connection, &frame_connection::on_ready>(this);
    io_.start(fd_, is_connecting ? ev::WRITE : ev::READ);
    flush_.set<frame_connection, &frame_connection::on_prepare>(this);
}

frame_connection::~frame_connection()
{
    close();
}

void frame_connection::on_message(message_handler callback)
{
    on_message_ = std::move(callback);
}

void frame_connection::on_close(close_handler callback)
{
    on_close_ = std::move(callback);
}

void frame_connection::send(message const& m)
{
    if (fd_ < 0)
        return;
    append_frame(m, out_);
    if (!is_connecting_ && !flush_.is_active())
        flush_.start();
}

void frame_connection::close()
{
    if (fd_ < 0)
        return;
    io_.stop();
    flush_.stop();
    ::close(fd_);
    fd_ = -1;
}

void frame_connection::on_prepare(ev::prepare&, int)
{
    auto const self = shared_from_this();
    flush_.stop();
    guarded_call("frames to send", [&] { flush(); });
}

void frame_connection::on_ready(ev::io&, int events)
{
    auto const self = shared_from_this();
    if (guarded_call("frame connection", [&] { handle(events); }))
        return;
    guarded_call(
        "end of a frame connection", [&]
        { fail_with(make_error(error_kind::internal, "a callback failed")); });
}

void frame_connection::handle(int events)
{
    if (is_connecting_)
    {
        finish_connecting();
        return;
    }
    if ((events & ev::WRITE) != 0)
        flush();
    if (fd_ >= 0 && (events & ev::READ) != 0)
        read_available();
}

void frame_connection::finish_connecting()
{
    int ec = 0;
    socklen_t n = sizeof ec;
    getsockopt(fd_, SOL_SOCKET, SO_ERROR, &ec, &n);
    sockaddr_in peer{};
    socklen_t peer_bytes = sizeof peer;
    bool const is_connected =
        ec == 0 &&
        getpeername(fd_, reinterpret_cast<sockaddr*>(&peer), &peer_bytes) == 0;
    if (!is_connected)
    {
        error e = make_error(
            error_kind::connection_lost,
            std::string("can't connect: ") +
                std::strerror(ec == 0 ? errno : ec));
        e.run = run_state::not_run;
        fail_with(e);
        return;
    }
    is_connecting_ = false;
    last_received_ = steady_now();
    io_.stop();
    io_.start(fd_, ev::READ);
    flush();
}

void frame_connection::flush()
{
    while (unsent_bytes() > 0)
    {
        ssize_t const n =
            ::send(fd_, out_.data() + out_start_, unsent_bytes(), MSG_NOSIGNAL);
        if (n < 0)
        {
            if (!is_temporary(errno))
            {
                fail_with(make_error(
                    error_kind::connection_lost, std::strerror(errno)));
                return;
            }
            break;
        }
        out_start_ += static_cast<std::size_t>(n);
        bytes_sent_ += static_cast<std::uint64_t>(n);
    }
    if (unsent_bytes() == 0)
    {
        out_.clear();
        out_start_ = 0;
    }
    if (unsent_bytes() > max_send_buffer_bytes)
    {
        fail_with(make_error(
            error_kind::connection_lost, "the receiver is too slow"));
        return;
    }
    int const wanted = unsent_bytes() > 0 ? ev::READ | ev::WRITE : ev::READ;
    if (io_.events != wanted)
    {
        io_.stop();
        io_.start(fd_, wanted);
    }
}

void frame_connection::read_available()
{
    std::array<char, read_block_bytes> buf;
    ssize_t const n = recv(fd_, buf.data(), buf.size(), 0);
    if (n < 0 && is_temporary(errno))
        return;
    if (n <= 0)
    {
        bool const is_cut = reader_.has_partial_frame();
        fail_with(make_error(
            is_cut ? error_kind::frame_corrupt : error_kind::connection_lost,
            is_cut ? "the connection ended inside a frame"
                   : "the other end closed the connection"));
        return;
    }
    last_received_ = steady_now();
    bytes_received_ += static_cast<std::uint64_t>(n);
    reader_.append(std::string_view(buf.data(), static_cast<std::size_t>(n)));
    while (fd_ >= 0)
    {
        result<std::optional<message>> m = reader_.next();
        if (!m)
        {
            fail_with(m.error());
            return;
        }
        if (!*m)
            return;
        if (on_message_)
            on_message_(std::move(**m));
    }
}

void frame_connection::fail_with(error const& why)
{
    close();
    close_handler const callback = std::move(on_close_);
    on_close_ = nullptr;
    if (callback)
        callback(why);
}

frame_listener::frame_listener(
    ev::loop_ref loop, std::string_view address, handler on_connection)
    : loop_(loop)
    , fd_(open_listener(address))
    , io_(loop)
    , address_(bound_address(fd_))
    , on_connection_(std::move(on_connection))
{
    io_.set<frame_listener, &frame_listener::on_ready>(this);
    io_.start(fd_, ev::READ);
}

frame_listener::~frame_listener()
{
    stop();
}

void frame_listener::stop()
{
    if (fd_ < 0)
        return;
    io_.stop();
    ::close(fd_);
    fd_ = -1;
}

void frame_listener::on_ready(ev::io&, int)
{
    while (fd_ >= 0)
    {
        int const fd =
            accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0)
            return;
        on_connection_(std::make_shared<frame_connection>(loop_, fd, false));
    }
}

datagram_socket::datagram_socket(
    ev::loop_ref loop, std::string_view address, handler on_message,
    error_handler on_error)
    : fd_(open_bound(address, SOCK_DGRAM))
    , io_(loop)
    , address_(bound_address(fd_))
    , on_message_(std::move(on_message))
    , on_error_(std::move(on_error))
{
    io_.set<datagram_socket, &datagram_socket::on_ready>(this);
    io_.start(fd_, ev::READ);
}

datagram_socket::~datagram_socket()
{
    io_.stop();
    ::close(fd_);
}

void datagram_socket::send(std::string_view address, message const& m)
{
    result<sockaddr_in> const to = socket_address(address);
    if (!to)
        return;
    std::string const frame = encode_frame(m);
    ssize_t const n = sendto(
        fd_, frame.data(), frame.size(), MSG_DONTWAIT | MSG_NOSIGNAL,
        reinterpret_cast<sockaddr const*>(&*to), sizeof *to);
    if (n > 0)
        bytes_sent_ += static_cast<std::uint64_t>(n);
}

void datagram_socket::on_ready(ev::io&, int)
{
    constexpr int max_datagrams_per_turn = 64;
    std::array<char, max_datagram_bytes * 2> buf;
    for (int i = 0; i < max_datagrams_per_turn; ++i)
    {
        ssize_t const n = recv(fd_, buf.data(), buf.size(), MSG_DONTWAIT);
        if (n < 0)
            return;
        bytes_received_ += static_cast<std::uint64_t>(n);
        guarded_call(
            "datagram",
            [&]
            {
                result<message> m = decode_frame(
                    std::string_view(buf.data(), static_cast<std::size_t>(n)));
                if (m)
                    on_message_(std::move(*m));
                else if (on_error_)
                    on_error_(m.error());
            });
    }
}

} // namespace marjorambeam
