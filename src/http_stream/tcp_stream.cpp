#include "http_stream/tcp_stream.hpp"

#include "log/guarded_call.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace marjorambeam
{
namespace
{

// Read in one call.
constexpr std::size_t read_bytes = std::size_t{16} << 10U;
// A buffer that has grown past this is given back when it is empty.
constexpr std::size_t kept_capacity = std::size_t{4} << 10U;
constexpr int listen_backlog = 1024;
// Between checks for what the kernel reports no event of.
constexpr ev_tstamp delivery_check_s = 0.005;

result<sockaddr_in> parse_address(std::string_view text)
{
    std::size_t const colon = text.rfind(':');
    sockaddr_in to{};
    to.sin_family = AF_INET;
    std::uint16_t port = 0;
    std::string const host(text.substr(0, colon));
    std::string_view const digits =
        colon == std::string_view::npos ? "" : text.substr(colon + 1);
    auto const [end, ec] =
        std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (ec != std::errc{} || end != digits.data() + digits.size() ||
        inet_pton(AF_INET, host.c_str(), &to.sin_addr) != 1)
        return fail(
            error_kind::bad_setting,
            "not an IPv4 address and port: " + std::string(text));
    to.sin_port = htons(port);
    return to;
}

void set_option(int fd, int level, int option, int value)
{
    // A socket without the option still works; the path is then watched by
    // the timeouts of the requests alone.
    (void)setsockopt(fd, level, option, &value, sizeof value);
}

void watch_path(int fd, stream_limits const& limits)
{
    set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, limits.probe_after_s);
    set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, 1);
    set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, limits.probes);
}

// Output that the peer's kernel has not acknowledged; 0 if it can't be told.
int undelivered_bytes(int fd)
{
    int n = 0;
    return ::ioctl(fd, SIOCOUTQ, &n) == 0 ? n : 0;
}

// The part of it that was not sent yet; 0 if it can't be told.
int held_back_bytes(int fd)
{
    int n = 0;
    return ::ioctl(fd, SIOCOUTQNSD, &n) == 0 ? n : 0;
}

// Whether the kernel has recorded an error, such as a reset, since it was last
// asked.
bool has_socket_error(int fd)
{
    int code = 0;
    socklen_t n = sizeof code;
    return ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &code, &n) != 0 || code != 0;
}

// Gives back what was taken from the front of a buffer: all of it when nothing
// is left, else when it is more than what is left, so that each byte is moved
// once at most. A buffer that is never empty would grow for ever otherwise.
void release_taken(std::string& buf, std::size_t& start)
{
    if (start < buf.size())
    {
        if (start < kept_capacity || start < buf.size() - start)
            return;
        buf.erase(0, start);
        start = 0;
        return;
    }
    start = 0;
    buf.clear();
    if (buf.capacity() > kept_capacity)
        std::string().swap(buf);
}

// Before the connection is established, as the window is agreed on then.
void bound_receive_buffer(int fd, stream_limits const& limits)
{
    if (limits.receive_buffer_bytes > 0)
        set_option(fd, SOL_SOCKET, SO_RCVBUF, limits.receive_buffer_bytes);
}

} // namespace

bool is_ipv4_endpoint(std::string_view text)
{
    result<sockaddr_in> const at = parse_address(text);
    return at && at->sin_port != 0;
}

result<std::shared_ptr<tcp_stream>> tcp_stream::connect(
    ev::loop_ref loop, std::string_view address, stream_limits limits)
{
    result<sockaddr_in> const to = parse_address(address);
    if (!to)
        return tl::unexpected<error>(to.error());
    int const fd =
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0)
        return fail(error_kind::queue_full, std::strerror(errno));
    bound_receive_buffer(fd, limits);
    int const code =
        ::connect(fd, reinterpret_cast<sockaddr const*>(&*to), sizeof *to);
    if (code != 0 && errno != EINPROGRESS)
    {
        int const code = errno;
        ::close(fd);
        // All local ports in use is no fault of the address.
        return fail(
            code == EADDRNOTAVAIL ? error_kind::queue_full
                                  : error_kind::connection_lost,
            std::strerror(code));
    }
    return std::make_shared<tcp_stream>(loop, fd, true, limits);
}

tcp_stream::tcp_stream(
    ev::loop_ref loop, int fd, bool is_connecting, stream_limits limits)
    : fd_(fd)
    , unacknowledged_(limits.unacknowledged)
    , is_connecting_(is_connecting)
    , io_(loop)
    , delivery_timer_(loop)
{
    watch_path(fd, limits);
    set_unacknowledged_limit(unacknowledged_);
    io_.set<tcp_stream, &tcp_stream::on_ready>(this);
    delivery_timer_.set<tcp_stream, &tcp_stream::on_delivery_timer>(this);
    watch();
}

tcp_stream::~tcp_stream()
{
    close();
}

void tcp_stream::close()
{
    if (fd_ < 0)
        return;
    io_.stop();
    delivery_timer_.stop();
    ::close(fd_);
    fd_ = -1;
}

bool tcp_stream::has_peer_ended() const
{
    if (fd_ < 0)
        return true;
    pollfd ask{.fd = fd_, .events = POLLRDHUP, .revents = 0};
    constexpr int ends = POLLRDHUP | POLLHUP | POLLERR;
    return ::poll(&ask, 1, 0) > 0 && (ask.revents & ends) != 0;
}

bool tcp_stream::has_unread() const
{
    pollfd ask{.fd = fd_, .events = POLLIN, .revents = 0};
    return fd_ >= 0 && ::poll(&ask, 1, 0) > 0;
}

duration tcp_stream::input_age() const
{
    tcp_info info{};
    socklen_t n = sizeof info;
    if (fd_ < 0 || getsockopt(fd_, IPPROTO_TCP, TCP_INFO, &info, &n) != 0)
        return duration{0};
    return std::chrono::milliseconds(info.tcpi_last_data_recv);
}

bool tcp_stream::has_delivered_output() const
{
    return is_shut_ && undelivered_bytes(fd_) == 0;
}

void tcp_stream::set_unacknowledged_limit(duration limit) const
{
    auto const ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(limit);
    set_option(
        fd_, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(ms.count()));
}

bool tcp_stream::extend_for_full_window(duration limit)
{
    if (fd_ < 0 || !may_have_output_)
        return false;
    int const undelivered = undelivered_bytes(fd_);
    may_have_output_ = undelivered > 0 || unsent() > 0;
    // The kernel counts the time since the window became full, also when a part
    // of the output leaves meanwhile, so that the extension ends with all of
    // it.
    bool const is_full = undelivered > 0 && held_back_bytes(fd_) == undelivered;
    bool const is_extended = may_have_output_ && (is_extended_ || is_full);
    if (is_extended == is_extended_)
        return false;
    is_extended_ = is_extended;
    set_unacknowledged_limit(
        is_extended ? std::max(limit, unacknowledged_) : unacknowledged_);
    return is_extended;
}

void tcp_stream::discard()
{
    // A plain close delivers them, however late. Without any, it spares the
    // peer a reset.
    if (fd_ >= 0 && undelivered_bytes(fd_) > 0)
    {
        linger const none{.l_onoff = 1, .l_linger = 0};
        (void)setsockopt(fd_, SOL_SOCKET, SO_LINGER, &none, sizeof none);
    }
    close();
}

void tcp_stream::close_after_output()
{
    is_closing_ = true;
    if (fd_ >= 0 && unsent() == 0)
        flush();
}

void tcp_stream::watch()
{
    int events = 0;
    if (is_connecting_ || unsent() > 0)
        events |= ev::WRITE;
    if (!is_connecting_ && !is_paused_ && !is_input_done_)
        events |= ev::READ;
    if (io_.is_active() && io_.events == events)
        return;
    io_.stop();
    if (events != 0)
        io_.start(fd_, events);
}

void tcp_stream::pause(bool is_paused)
{
    is_paused_ = is_paused;
    if (fd_ >= 0)
        watch();
}

void tcp_stream::consume(std::size_t n)
{
    input_start_ += n;
    release_taken(input_, input_start_);
}

void tcp_stream::send(std::string_view bytes)
{
    if (fd_ < 0)
        return;
    bytes.remove_prefix(send_some(bytes));
    if (bytes.empty())
        return;
    output_.append(bytes);
    watch();
}

void tcp_stream::send_owned(std::string bytes)
{
    if (fd_ < 0)
        return;
    std::size_t const n = send_some(bytes);
    if (n == bytes.size())
        return;
    if (unsent() > 0)
    {
        output_.append(bytes);
    }
    else
    {
        output_ = std::move(bytes);
        output_start_ = n;
    }
    watch();
}

// Sends what the socket takes at once, unless other output waits. Returns how
// many bytes it took.
std::size_t tcp_stream::send_some(std::string_view bytes)
{
    if (is_connecting_ || unsent() > 0)
        return 0;
    may_have_output_ = true;
    ssize_t const n = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    return n > 0 ? static_cast<std::size_t>(n) : 0;
}

void tcp_stream::flush()
{
    while (unsent() > 0)
    {
        may_have_output_ = true;
        ssize_t const n =
            ::send(fd_, output_.data() + output_start_, unsent(), MSG_NOSIGNAL);
        if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
        {
            release_taken(output_, output_start_);
            return;
        }
        if (n < 0)
        {
            end(stream_end::reset);
            return;
        }
        output_start_ += static_cast<std::size_t>(n);
    }
    release_taken(output_, output_start_);
    if (is_closing_ && !is_shut_)
    {
        is_shut_ = true;
        ::shutdown(fd_, SHUT_WR);
    }
    if (on_drained_)
        on_drained_();
}

void tcp_stream::finish_connecting()
{
    if (has_socket_error(fd_))
    {
        end(stream_end::not_reached);
        return;
    }
    is_connecting_ = false;
    if (on_connected_)
        on_connected_();
    if (fd_ >= 0)
        flush();
}

bool tcp_stream::read_available()
{
    static std::array<char, read_bytes> buf;
    ssize_t const n = ::recv(fd_, buf.data(), buf.size(), 0);
    if (n > 0)
    {
        input_.append(buf.data(), static_cast<std::size_t>(n));
        return true;
    }
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
        return false;
    if (n == 0 && delays_end_)
    {
        is_input_done_ = true;
        end_after_delivery();
        return false;
    }
    end(n == 0 ? stream_end::closed : stream_end::reset);
    return false;
}

void tcp_stream::on_delivery_timer(ev::timer&, int)
{
    auto const self = shared_from_this(); // a callback may drop the owner
    guarded_call("end of a connection", [&] { end_after_delivery(); });
}

// Precondition: is_input_done_.
void tcp_stream::end_after_delivery()
{
    // A reset that follows the end leaves the input as it is.
    if (has_socket_error(fd_))
        end(stream_end::reset);
    else if (unsent() == 0 && undelivered_bytes(fd_) == 0)
        end(stream_end::closed);
    else
        delivery_timer_.start(delivery_check_s);
}

void tcp_stream::on_ready(ev::io&, int events)
{
    auto const self = shared_from_this(); // a callback may drop the owner
    if (guarded_call("connection", [&] { handle(events); }))
        return;
    guarded_call("end of a connection", [&] { end(stream_end::reset); });
}

void tcp_stream::handle(int events)
{
    if (is_connecting_)
    {
        finish_connecting();
    }
    else
    {
        if ((events & ev::WRITE) != 0)
            flush();
        if (fd_ >= 0 && (events & ev::READ) != 0 && read_available() &&
            on_data_)
            on_data_();
    }
    if (fd_ >= 0)
        watch();
}

void tcp_stream::end(stream_end why)
{
    if (is_connecting_)
        why = stream_end::not_reached;
    close();
    if (on_end_)
    {
        auto const callback = std::move(on_end_);
        on_end_ = nullptr;
        callback(why);
    }
}

tcp_listener::tcp_listener(
    ev::loop_ref loop, std::string_view address, stream_limits limits,
    handler on_connection)
    : loop_(loop)
    , limits_(limits)
    , io_(loop)
    , on_connection_(std::move(on_connection))
{
    result<sockaddr_in> const at = parse_address(address);
    if (!at)
        throw std::runtime_error(at.error().message);
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd_ < 0)
        throw std::runtime_error(std::strerror(errno));
    set_option(fd_, SOL_SOCKET, SO_REUSEADDR, 1);
    bound_receive_buffer(fd_, limits_);
    sockaddr_in bound{};
    socklen_t n = sizeof bound;
    if (::bind(fd_, reinterpret_cast<sockaddr const*>(&*at), sizeof *at) != 0 ||
        ::listen(fd_, listen_backlog) != 0 ||
        getsockname(fd_, reinterpret_cast<sockaddr*>(&bound), &n) != 0)
    {
        std::string const why = std::strerror(errno);
        ::close(fd_);
        throw std::runtime_error(
            "can't listen on " + std::string(address) + ": " + why);
    }
    port_ = ntohs(bound.sin_port);
    io_.set<tcp_listener, &tcp_listener::on_ready>(this);
    io_.start(fd_, ev::READ);
}

tcp_listener::~tcp_listener()
{
    stop();
}

void tcp_listener::stop()
{
    if (fd_ < 0)
        return;
    io_.stop();
    ::close(fd_);
    fd_ = -1;
}

void tcp_listener::on_ready(ev::io&, int)
{
    constexpr int max_accepts_per_turn = 64;
    for (int i = 0; i < max_accepts_per_turn && fd_ >= 0; ++i)
    {
        int const fd =
            ::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0)
            return;
        // A connection that can't be taken on is closed.
        guarded_call(
            "new connection",
            [&] {
                on_connection_(
                    std::make_shared<tcp_stream>(loop_, fd, false, limits_));
            });
    }
}

} // namespace marjorambeam
