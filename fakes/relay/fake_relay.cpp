#include "fakes/relay/fake_relay.hpp"

#include "event_loop/event_loop.hpp"
#include "settings/settings.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>
#include <deque>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace marjorambeam
{
namespace
{

using nlohmann::json;

constexpr std::size_t block_bytes = 64U << 10U;
constexpr std::size_t max_held_bytes = 1U << 20U;
constexpr int backlog = 1024;
// Bytes of a read that are passed on in pieces, and the time between these.
constexpr std::size_t max_cut_bytes = 256;
constexpr duration piece_gap = std::chrono::milliseconds(1);

sockaddr_in socket_address(std::string const& text)
{
    auto const parts = split_address(text);
    if (!parts)
        throw std::runtime_error(parts.error().message);
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(parts->second);
    inet_pton(AF_INET, parts->first.c_str(), &out.sin_addr);
    return out;
}

int open_socket(int type)
{
    int const fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int const on = 1;
    if (type == SOCK_STREAM)
    {
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    }
    return fd;
}

int open_bound(std::string const& address, int type)
{
    sockaddr_in const at = socket_address(address);
    int const fd = open_socket(type);
    if (bind(fd, reinterpret_cast<sockaddr const*>(&at), sizeof at) != 0)
    {
        std::string const why = std::strerror(errno);
        close(fd);
        throw std::runtime_error("can't listen on " + address + ": " + why);
    }
    return fd;
}

std::string with_bound_port(std::string const& address, int fd)
{
    sockaddr_in at{};
    socklen_t n = sizeof at;
    getsockname(fd, reinterpret_cast<sockaddr*>(&at), &n);
    return address.substr(0, address.find(':') + 1) +
           std::to_string(ntohs(at.sin_port));
}

bool is_temporary(int ec)
{
    return ec == EAGAIN || ec == EINTR;
}

} // namespace

// One relayed connection: what is read on one side is sent on the other.
class relay_connection
{
public:
    relay_connection(ev::loop_ref loop, int caller, int target)
        : timer_(loop, [this] { send_due(); })
    {
        sides_[0] = std::make_unique<side>(loop, caller);
        sides_[1] = std::make_unique<side>(loop, target);
        for (auto const& it : sides_)
        {
            it->io.set<relay_connection, &relay_connection::on_ready>(this);
            it->io.start(it->fd, ev::READ);
        }
    }
    ~relay_connection()
    {
        close();
    }
    relay_connection(relay_connection const&) = delete;
    relay_connection& operator=(relay_connection const&) = delete;

    void close()
    {
        silence();
        for (auto const& it : sides_)
        {
            if (it->fd >= 0)
                ::close(it->fd);
            it->fd = -1;
        }
    }
    void silence()
    {
        is_silent_ = true;
        timer_.stop();
        for (auto const& it : sides_)
            it->io.stop();
    }
    void set_delay(duration delay)
    {
        delay_ = delay;
    }
    void set_piece_bytes(std::size_t bytes)
    {
        piece_bytes_ = bytes;
    }
    bool is_open() const
    {
        return sides_[0]->fd >= 0;
    }
    bool is_silent() const
    {
        return is_silent_;
    }

private:
    struct block
    {
        steady_time due;
        std::string bytes;
    };
    struct side
    {
        side(ev::loop_ref loop, int socket)
            : fd(socket)
            , io(loop)
        {
        }
        int fd;
        ev::io io;
        std::deque<block> out; // to be sent on this side
        std::size_t held = 0;
        bool is_ended = false; // nothing more to read here
    };

    void on_ready(ev::io& io, int events)
    {
        std::size_t const i = &io == &sides_[0]->io ? 0 : 1;
        if ((events & ev::READ) != 0)
            read(*sides_[i], *sides_[1 - i]);
        send_due();
    }

    void read(side& from, side& to)
    {
        std::string buf(block_bytes, '\0');
        ssize_t const n = recv(from.fd, buf.data(), buf.size(), 0);
        if (n < 0 && is_temporary(errno))
            return;
        if (n <= 0)
        {
            from.is_ended = true;
            return;
        }
        buf.resize(static_cast<std::size_t>(n));
        to.held += buf.size();
        steady_time due = steady_now() + delay_;
        if (!to.out.empty())
            due = std::max(due, to.out.back().due);
        bool const is_cut = piece_bytes_ > 0 && &from == sides_[1].get();
        std::size_t at = 0;
        while (is_cut && at < std::min(buf.size(), max_cut_bytes))
        {
            to.out.push_back({due, buf.substr(at, piece_bytes_)});
            at += to.out.back().bytes.size();
            due += piece_gap;
        }
        if (at < buf.size())
            to.out.push_back({due, buf.substr(at)});
    }

    // Sends what is due and chooses what to wait for.
    void send_due()
    {
        steady_time const now = steady_now();
        steady_time next = steady_time::max();
        for (auto const& it : sides_)
        {
            if (!send(*it, now))
                return close();
            if (!it->out.empty() && it->out.front().due > now)
                next = std::min(next, it->out.front().due);
        }
        for (std::size_t i = 0; i < sides_.size(); ++i)
        {
            side const& other = *sides_[1 - i];
            if (sides_[i]->is_ended && other.out.empty())
                return close();
            wait(*sides_[i], other, now);
        }
        if (next != steady_time::max())
            timer_.start(next - now);
    }

    static bool send(side& s, steady_time now)
    {
        while (!s.out.empty() && s.out.front().due <= now)
        {
            std::string& bytes = s.out.front().bytes;
            ssize_t const n =
                ::send(s.fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (n < 0)
                return is_temporary(errno);
            s.held -= static_cast<std::size_t>(n);
            bytes.erase(0, static_cast<std::size_t>(n));
            if (bytes.empty())
                s.out.pop_front();
        }
        return true;
    }

    static void wait(side& s, side const& other, steady_time now)
    {
        bool const wants_read = !s.is_ended && other.held < max_held_bytes;
        bool const wants_write = !s.out.empty() && s.out.front().due <= now;
        s.io.stop();
        s.io.set((wants_read ? ev::READ : 0) | (wants_write ? ev::WRITE : 0));
        if (wants_read || wants_write)
            s.io.start();
    }

    std::array<std::unique_ptr<side>, 2> sides_;
    duration delay_{0};
    std::size_t piece_bytes_ = 0;
    bool is_silent_ = false;
    loop_timer timer_;
};

fake_relay::fake_relay(ev::loop_ref loop, fake_relay_settings settings)
    : loop_(loop)
    , settings_(std::move(settings))
    , accept_(loop)
    , datagram_(loop)
    , admin_(
          loop, {.address = settings_.admin_listen},
          [this](std::shared_ptr<http_exchange> const& ex) { on_request(*ex); })
{
    accept_.set<fake_relay, &fake_relay::on_connection>(this);
    datagram_.set<fake_relay, &fake_relay::on_datagram>(this);
    listen();
    datagram_fd_ = open_bound(settings_.listen, SOCK_DGRAM);
    datagram_.start(datagram_fd_, ev::READ);
}

fake_relay::~fake_relay()
{
    accept_.stop();
    datagram_.stop();
    close(fd_);
    close(datagram_fd_);
}

std::string fake_relay::admin_address() const
{
    return admin_.address();
}

void fake_relay::listen()
{
    accept_.stop();
    if (fd_ >= 0)
        close(fd_);
    fd_ = open_bound(settings_.listen, SOCK_STREAM);
    settings_.listen = with_bound_port(settings_.listen, fd_);
    if (is_refusing_)
        return; // a bound socket that does not listen refuses connections
    ::listen(fd_, backlog);
    accept_.start(fd_, ev::READ);
}

void fake_relay::on_connection(ev::io&, int)
{
    std::erase_if(connections_, [](auto const& it) { return !it->is_open(); });
    int const caller =
        accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (caller < 0)
        return;
    int const on = 1;
    setsockopt(caller, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    int const target = open_socket(SOCK_STREAM);
    sockaddr_in const to = socket_address(settings_.target);
    // A failure shows when the socket becomes readable.
    (void)connect(target, reinterpret_cast<sockaddr const*>(&to), sizeof to);
    ++counts_.accepted;
    connections_.push_back(
        std::make_unique<relay_connection>(loop_, caller, target));
    connections_.back()->set_delay(delay_);
    connections_.back()->set_piece_bytes(piece_bytes_);
}

void fake_relay::on_datagram(ev::io&, int)
{
    std::array<char, block_bytes> buf;
    ssize_t const n = recv(datagram_fd_, buf.data(), buf.size(), 0);
    if (n < 0)
        return;
    sockaddr_in const to = socket_address(settings_.target);
    (void)sendto(
        datagram_fd_, buf.data(), static_cast<std::size_t>(n), MSG_DONTWAIT,
        reinterpret_cast<sockaddr const*>(&to), sizeof to);
}

void fake_relay::silence_existing()
{
    for (auto const& it : connections_)
    {
        if (!it->is_open() || it->is_silent())
            continue;
        it->silence();
        ++counts_.silenced;
    }
}

void fake_relay::cut_existing()
{
    for (auto const& it : connections_)
    {
        if (!it->is_open())
            continue;
        it->close();
        ++counts_.cut;
    }
}

void fake_relay::refuse_new(bool is_refusing)
{
    if (is_refusing == is_refusing_)
        return;
    is_refusing_ = is_refusing;
    listen();
}

void fake_relay::set_delay(duration delay)
{
    delay_ = delay;
    for (auto const& it : connections_)
        it->set_delay(delay);
}

void fake_relay::set_piece_bytes(std::size_t bytes)
{
    piece_bytes_ = bytes;
    for (auto const& it : connections_)
        it->set_piece_bytes(bytes);
}

bool fake_relay::set_target(std::string_view address)
{
    if (!split_address(address))
        return false;
    settings_.target = address;
    return true;
}

void fake_relay::on_request(http_exchange& ex)
{
    http_request const& r = ex.request();
    if (r.method == "PUT" && r.path == "/faults")
        return change_faults(ex);
    if (r.method == "GET" && r.path == "/counts")
    {
        return ex.respond(
            200, {},
            json{
                {"accepted", counts_.accepted},
                {"silenced", counts_.silenced},
                {"cut", counts_.cut}}
                .dump());
    }
    respond_error(ex, make_error(error_kind::not_found, "no such path"), "");
}

void fake_relay::change_faults(http_exchange& ex)
{
    json const body = json::parse(ex.request().body, nullptr, false);
    auto is_flag = [&](char const* name)
    { return !body.contains(name) || body[name].is_boolean(); };
    bool const is_valid =
        body.is_object() && is_flag("silence_existing") &&
        is_flag("cut_existing") && is_flag("refuse_new") &&
        (!body.contains("delay_ms") || body["delay_ms"].is_number_unsigned()) &&
        (!body.contains("piece_bytes") ||
         body["piece_bytes"].is_number_unsigned()) &&
        (!body.contains("target") ||
         (body["target"].is_string() &&
          set_target(body["target"].get<std::string>())));
    if (!is_valid)
    {
        return respond_error(
            ex, make_error(error_kind::bad_request, "not a set of faults"), "");
    }
    if (body.value("silence_existing", false))
        silence_existing();
    if (body.value("cut_existing", false))
        cut_existing();
    refuse_new(body.value("refuse_new", is_refusing_));
    if (body.contains("delay_ms"))
        set_delay(std::chrono::milliseconds(body["delay_ms"].get<int>()));
    if (body.contains("piece_bytes"))
        set_piece_bytes(body["piece_bytes"].get<std::size_t>());
    ex.respond(200, {}, "{}");
}

} // namespace marjorambeam
