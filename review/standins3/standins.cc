#include "standins.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{
namespace
{

sockaddr_in address_of(std::string const& ip, int port)
{
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &to.sin_addr);
    return to;
}

sockaddr_in parse(std::string const& address)
{
    auto const colon = address.rfind(':');
    return address_of(
        address.substr(0, colon), std::stoi(address.substr(colon + 1)));
}

bool same_name(std::string const& a, std::string const& b)
{
    return a.size() == b.size() && strcasecmp(a.c_str(), b.c_str()) == 0;
}

std::string trim(std::string s)
{
    while (!s.empty() && (s.front() == ' ' || s.front() == '\t'))
        s.erase(s.begin());
    while (!s.empty() && (s.back() == ' ' || s.back() == '\r'))
        s.pop_back();
    return s;
}

message parse_head(std::string const& text)
{
    message m;
    std::size_t at = 0;
    while (at < text.size())
    {
        std::size_t end = text.find("\r\n", at);
        if (end == std::string::npos)
            end = text.size();
        std::string const line = text.substr(at, end - at);
        at = end + 2;
        if (m.first_line.empty())
        {
            m.first_line = line;
            continue;
        }
        std::size_t const colon = line.find(':');
        if (colon != std::string::npos)
            m.headers.emplace_back(
                line.substr(0, colon), trim(line.substr(colon + 1)));
    }
    return m;
}

std::string parameter(std::string const& target, std::string const& name)
{
    std::size_t at = target.find('?');
    while (at != std::string::npos)
    {
        std::size_t const next = target.find('&', at + 1);
        std::string const part = target.substr(
            at + 1,
            next == std::string::npos ? std::string::npos : next - at - 1);
        std::size_t const eq = part.find('=');
        if (part.substr(0, eq) == name && eq != std::string::npos)
            return part.substr(eq + 1);
        at = next;
    }
    return {};
}

std::string response_text(int status, json const& body)
{
    std::string const text = body.dump();
    return "HTTP/1.1 " + std::to_string(status) +
           " -\r\nContent-Type: application/json\r\nContent-Length: " +
           std::to_string(text.size()) + "\r\n\r\n" + text;
}

int free_port(std::string const& ip, int type)
{
    int const fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    sockaddr_in at = address_of(ip, 0);
    socklen_t n = sizeof at;
    if (::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 ||
        ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &n) != 0)
        throw std::runtime_error("no free port at " + ip);
    ::close(fd);
    return ntohs(at.sin_port);
}

// Answers of the platform's store take this long.
constexpr int store_answer_ms = 4;
constexpr std::size_t page_items = 500;

} // namespace

void sleep_ms(int ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}

void sleep_until(time_point at)
{
    std::this_thread::sleep_until(at);
}

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

record_file::record_file(std::string const& path)
    : out_(path)
{
    if (!out_)
        throw std::runtime_error("can't write the record");
}

double record_file::seconds() const
{
    return std::chrono::duration<double>(now() - begun_).count();
}

void record_file::write(std::string const& line)
{
    std::lock_guard const lock(mutex_);
    char at[32];
    std::snprintf(at, sizeof at, "%9.3f  ", seconds());
    out_ << at << line << "\n" << std::flush;
}

std::string message::header(std::string const& name) const
{
    for (auto const& [key, value] : headers)
    {
        if (same_name(key, name))
            return value;
    }
    return {};
}

std::string message::method() const
{
    return first_line.substr(0, first_line.find(' '));
}

std::string message::target() const
{
    std::size_t const a = first_line.find(' ');
    std::size_t const b = first_line.rfind(' ');
    return a == std::string::npos || b <= a
               ? std::string()
               : first_line.substr(a + 1, b - a - 1);
}

int message::status() const
{
    return first_line.size() > 12 ? std::atoi(first_line.c_str() + 9) : 0;
}

channel::~channel()
{
    ::close(fd_);
}

bool channel::send(std::string const& bytes)
{
    std::size_t done = 0;
    while (done < bytes.size())
    {
        ssize_t const n = ::send(
            fd_, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        done += static_cast<std::size_t>(n);
    }
    return true;
}

bool channel::fill(time_point until)
{
    auto const left =
        std::chrono::duration_cast<milliseconds>(until - now()).count();
    pollfd ask{.fd = fd_, .events = POLLIN, .revents = 0};
    if (left <= 0 || ::poll(&ask, 1, static_cast<int>(left)) <= 0)
        return false;
    char buf[16384];
    ssize_t const n = ::recv(fd_, buf, sizeof buf, 0);
    if (n <= 0)
        return false;
    input_.append(buf, static_cast<std::size_t>(n));
    return true;
}

std::optional<message> channel::read_message(int timeout_ms)
{
    time_point const until = now() + milliseconds(timeout_ms);
    std::size_t end = input_.find("\r\n\r\n");
    while (end == std::string::npos)
    {
        if (!fill(until))
            return std::nullopt;
        end = input_.find("\r\n\r\n");
    }
    message m = parse_head(input_.substr(0, end));
    std::string const length = m.header("Content-Length");
    std::size_t const n = length.empty() ? 0 : std::stoul(length);
    while (input_.size() < end + 4 + n)
    {
        if (!fill(until))
            return std::nullopt;
    }
    m.body = input_.substr(end + 4, n);
    input_.erase(0, end + 4 + n);
    return m;
}

std::optional<message> channel::read_response(int timeout_ms)
{
    time_point const until = now() + milliseconds(timeout_ms);
    std::size_t end = input_.find("\r\n\r\n");
    while (end == std::string::npos)
    {
        if (!fill(until))
            return std::nullopt;
        end = input_.find("\r\n\r\n");
    }
    message m = parse_head(input_.substr(0, end));
    if (!same_name(m.header("Transfer-Encoding"), "chunked"))
        return read_message(
            static_cast<int>(
                std::chrono::duration_cast<milliseconds>(until - now())
                    .count()) +
            1);
    input_.erase(0, end + 4);
    for (;;)
    {
        std::size_t line = input_.find("\r\n");
        while (line == std::string::npos)
        {
            if (!fill(until))
                return std::nullopt;
            line = input_.find("\r\n");
        }
        std::size_t const n =
            std::strtoul(input_.substr(0, line).c_str(), nullptr, 16);
        while (input_.size() < line + 2 + n + 2)
        {
            if (!fill(until))
                return std::nullopt;
        }
        m.body.append(input_, line + 2, n);
        input_.erase(0, line + 2 + n + 2);
        if (n == 0)
            return m;
    }
}

void channel::end(bool resets)
{
    if (is_ended_.exchange(true))
        return;
    if (resets)
    {
        linger const none{.l_onoff = 1, .l_linger = 0};
        (void)::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &none, sizeof none);
        // Breaks the connection at once; the descriptor is closed by its owner.
        sockaddr any{};
        any.sa_family = AF_UNSPEC;
        (void)::connect(fd_, &any, sizeof any);
    }
    ::shutdown(fd_, SHUT_RDWR);
}

bool channel::peer_has_closed() const
{
    pollfd ask{.fd = fd_, .events = POLLRDHUP, .revents = 0};
    return ::poll(&ask, 1, 0) > 0;
}

std::shared_ptr<channel> connect_to(std::string const& address, int timeout_ms)
{
    int const fd = ::socket(
        AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (fd < 0)
        return nullptr;
    sockaddr_in to = parse(address);
    int const code = ::connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to);
    if (code != 0 && errno != EINPROGRESS)
    {
        ::close(fd);
        return nullptr;
    }
    pollfd ask{.fd = fd, .events = POLLOUT, .revents = 0};
    int error = 0;
    socklen_t n = sizeof error;
    if (::poll(&ask, 1, timeout_ms) <= 0 ||
        ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &n) != 0 || error != 0)
    {
        ::close(fd);
        return nullptr;
    }
    ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    int const on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return std::make_shared<channel>(fd);
}

server::server(std::string ip, int port, handler on_channel)
    : ip_(std::move(ip))
    , on_channel_(std::move(on_channel))
{
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const on = 1;
    ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in at = address_of(ip_, port);
    socklen_t n = sizeof at;
    if (::bind(fd_, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 ||
        ::listen(fd_, 512) != 0 ||
        ::getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &n) != 0)
    {
        ::close(fd_);
        throw std::runtime_error(
            "can't listen at " + ip_ + ": " + std::strerror(errno));
    }
    port_ = ntohs(at.sin_port);
    acceptor_ = std::thread([this] { accept_all(); });
}

server::~server()
{
    stop(false);
    for (auto& it : threads_)
        it.join();
}

void server::accept_all()
{
    while (!is_stopped_)
    {
        pollfd ask{.fd = fd_, .events = POLLIN, .revents = 0};
        if (::poll(&ask, 1, 20) <= 0)
            continue;
        int const fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0)
            continue;
        int const on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        auto const c = std::make_shared<channel>(fd);
        std::lock_guard const lock(mutex_);
        if (is_stopped_)
            return;
        channels_.remove_if([](auto const& it) { return it.expired(); });
        channels_.push_back(c);
        threads_.emplace_back(
            [this, c]
            {
                on_channel_(c);
                c->end(false);
            });
    }
}

void server::stop(bool resets)
{
    if (is_stopped_.exchange(true))
        return;
    {
        std::lock_guard const lock(mutex_);
        for (auto const& it : channels_)
        {
            if (auto const c = it.lock())
                c->end(resets);
        }
    }
    acceptor_.join();
    ::close(fd_);
}

store::store(std::string const& ip)
{
    server_ = std::make_unique<server>(
        ip, 0, [this](std::shared_ptr<channel> const& c) { serve(c); });
}

store::~store()
{
    {
        std::lock_guard const lock(mutex_);
        is_stopped_ = true;
    }
    changed_.notify_all();
    server_.reset();
}

void store::note(std::string const& kind, std::string const& name, bool deleted)
{
    object& o = kinds_[kind][name];
    o.revision = ++revision_;
    log_.push_back({revision_, kind, name, deleted, o, now()});
    if (deleted)
        kinds_[kind].erase(name);
    changed_.notify_all();
}

void store::put(std::string const& kind, std::string const& name, json spec)
{
    std::lock_guard const lock(mutex_);
    auto& all = kinds_[kind];
    auto const it = all.find(name);
    if (it != all.end())
    {
        // An entry changes when more than its sequence does.
        json before = it->second.spec;
        json after = spec;
        before.erase("sequence");
        after.erase("sequence");
        if (before == after)
            return;
    }
    all[name].spec = std::move(spec);
    note(kind, name, false);
}

void store::erase(std::string const& kind, std::string const& name)
{
    std::lock_guard const lock(mutex_);
    if (kinds_[kind].contains(name))
        note(kind, name, true);
}

json store::status(std::string const& kind, std::string const& name)
{
    std::lock_guard const lock(mutex_);
    auto const& all = kinds_[kind];
    auto const it = all.find(name);
    return it == all.end() ? json() : it->second.status;
}

bool store::contains(std::string const& kind, std::string const& name)
{
    std::lock_guard const lock(mutex_);
    return kinds_[kind].contains(name);
}

void store::make_deaf()
{
    std::lock_guard const lock(mutex_);
    is_deaf_ = true;
}

void store::set_silent(bool is_silent)
{
    std::lock_guard const lock(mutex_);
    is_silent_ = is_silent;
    changed_.notify_all();
}

void store::forget_history()
{
    std::lock_guard const lock(mutex_);
    is_deaf_ = false;
    oldest_ = revision_;
    ++cuts_;
    changed_.notify_all();
}

json store::list(
    std::string const& kind, bool is_stale, std::string const& after)
{
    std::map<std::string, object> all = kinds_[kind];
    std::uint64_t at = revision_;
    if (is_stale && stale_ms_ > 0)
    {
        time_point const as_of = now() - milliseconds(stale_ms_);
        all.clear();
        at = 1;
        for (change const& it : log_)
        {
            if (it.at > as_of)
                break;
            at = it.revision;
            if (it.kind != kind)
                continue;
            if (it.is_deleted)
                all.erase(it.name);
            else
                all[it.name] = it.state;
        }
    }
    json items = json::array();
    auto it = after.empty() ? all.begin() : all.upper_bound(after);
    for (; it != all.end() && items.size() < page_items; ++it)
        items.push_back(
            {{"metadata",
              {{"name", it->first}, {"revision", it->second.revision}}},
             {"specification", it->second.spec},
             {"status", it->second.status}});
    return {{"items", items}, {"hasMore", it != all.end()}, {"at", at}};
}

bool store::watch(
    channel& c, std::string const& kind, std::uint64_t after, int wait_ms)
{
    std::unique_lock lock(mutex_);
    if (after < oldest_)
    {
        lock.unlock();
        return c.send(response_text(410, json::object()));
    }
    std::uint64_t const cuts = cuts_;
    time_point const until = now() + milliseconds(wait_ms);
    json events = json::array();
    for (;;)
    {
        if (is_stopped_ || cuts != cuts_)
            return false;
        if (is_silent_)
        {
            // Whoever asked hears nothing more on this channel.
            changed_.wait(
                lock, [this] { return is_stopped_ || !is_silent_; });
            return false;
        }
        for (change const& it : log_)
        {
            if (is_deaf_ || it.kind != kind || it.revision <= after)
                continue;
            events.push_back(
                {{"deleted", it.is_deleted},
                 {"object",
                  {{"metadata",
                    {{"name", it.name}, {"revision", it.state.revision}}},
                   {"specification", it.state.spec},
                   {"status", it.state.status}}}});
        }
        if (!events.empty() || now() >= until)
            break;
        changed_.wait_until(lock, until);
    }
    std::uint64_t const at = is_deaf_ ? after : revision_;
    lock.unlock();
    return c.send(response_text(200, {{"events", events}, {"at", at}}));
}

std::pair<int, json> store::write(message const& m, std::string const& path)
{
    json const body = json::parse(m.body, nullptr, false);
    std::string const kind = path.substr(0, path.find('/'));
    std::string name;
    if (path.size() > kind.size())
        name = path.substr(kind.size() + 1);
    auto& all = kinds_[kind];
    if (m.method() == "POST")
    {
        std::string const created =
            body.at("metadata").at("name").get<std::string>();
        if (all.contains(created))
            return {409, json::object()};
        all[created].spec = body.value("specification", json());
        note(kind, created, false);
        return {200, json::object()};
    }
    bool const is_status = name.ends_with("/status");
    if (is_status)
        name.resize(name.size() - 7);
    auto const it = all.find(name);
    if (it == all.end())
        return {404, json::object()};
    std::uint64_t revision = 0;
    if (m.method() == "DELETE")
    {
        std::string const text = parameter(m.target(), "revision");
        revision = text.empty() ? 0 : std::stoull(text);
    }
    else
    {
        revision = body.at("metadata").value("revision", std::uint64_t{0});
    }
    if (revision != 0 && revision != it->second.revision)
        return {409, json::object()};
    if (m.method() == "DELETE")
    {
        note(kind, name, true);
        return {200, json::object()};
    }
    if (is_status)
        it->second.status = body.value("status", json());
    else
        it->second.spec = body.value("specification", json());
    note(kind, name, false);
    return {200, json::object()};
}

void store::serve(std::shared_ptr<channel> const& c)
{
    std::string const root = "/api/objects/";
    for (;;)
    {
        std::optional<message> const m = c->read_message(60'000);
        if (!m)
            return;
        sleep_ms(store_answer_ms);
        {
            std::unique_lock lock(mutex_);
            if (is_silent_)
            {
                changed_.wait(
                    lock, [this] { return is_stopped_ || !is_silent_; });
                return;
            }
        }
        std::string const target = m->target();
        if (target.rfind(root, 0) != 0)
        {
            if (!c->send(response_text(404, json::object())))
                return;
            continue;
        }
        std::string const path =
            target.substr(root.size(), target.find('?') - root.size());
        if (m->method() != "GET")
        {
            std::unique_lock lock(mutex_);
            auto const [status, body] = write(*m, path);
            lock.unlock();
            if (!c->send(response_text(status, body)))
                return;
            continue;
        }
        std::string const from = parameter(target, "watch");
        if (!from.empty())
        {
            std::string const wait = parameter(target, "waitMs");
            if (!watch(
                    *c, path, std::stoull(from),
                    wait.empty() ? 0 : std::stoi(wait)))
                return;
            continue;
        }
        std::unique_lock lock(mutex_);
        json const page = list(
            path, parameter(target, "serializable") == "1",
            parameter(target, "after"));
        lock.unlock();
        if (!c->send(response_text(200, page)))
            return;
    }
}

worker::worker(store& s, options o, handler on_request)
    : store_(s)
    , options_(std::move(o))
    , on_request_(std::move(on_request))
{
}

worker::~worker()
{
    is_over_ = true;
    if (beats_.joinable())
        beats_.join();
    std::lock_guard const lock(mutex_);
    if (server_)
        server_->stop(true);
}

void worker::start()
{
    {
        std::lock_guard const lock(mutex_);
        born_ = unix_ms();
        sequence_ = 0;
        server_ = std::make_unique<server>(
            options_.ip, port_,
            [this](std::shared_ptr<channel> const& c) { serve(c); });
        port_ = server_->port();
        is_up_ = true;
    }
    write_entry();
    if (!beats_.joinable())
        beats_ = std::thread([this] { beat(); });
}

void worker::crash()
{
    if (!is_up_.exchange(false))
        return;
    std::lock_guard const lock(mutex_);
    server_->stop(true);
    ended_.push_back(std::move(server_));
}

void worker::start_again(int cold_ms)
{
    cold_until_ = now() + milliseconds(cold_ms);
    start();
}

void worker::become_cold(int cold_ms)
{
    cold_until_ = now() + milliseconds(cold_ms);
}

int worker::cold_ms_left() const
{
    auto const left =
        std::chrono::duration_cast<milliseconds>(
            cold_until_.load() - now()).count();
    return std::max(0, static_cast<int>(left));
}

void worker::write_entry()
{
    next_beat_ = now() + milliseconds(options_.heartbeat_ms);
    store_.put(
        "servers", options_.id,
        {{"service", options_.service},
         {"address", options_.ip + ":" + std::to_string(port_)},
         {"zone", options_.zone},
         {"version", "v1"},
         {"slots", options_.slots},
         {"state", "ready"},
         {"coldRemainingMs", cold_ms_left()},
         {"born", born_},
         {"sequence", ++sequence_}});
}

void worker::beat()
{
    constexpr int lapse_beats = 3;
    time_point last_up = now();
    while (!is_over_)
    {
        if (is_up_)
            last_up = now();
        if (now() >= next_beat_.load() && is_up_)
            write_entry();
        if (now() - last_up >
            milliseconds(lapse_beats * options_.heartbeat_ms))
            store_.erase("servers", options_.id);
        sleep_ms(10);
    }
}

void worker::serve(std::shared_ptr<channel> const& c)
{
    std::uint64_t const number = ++channels_;
    for (;;)
    {
        std::optional<message> const m = c->read_message(30'000);
        if (!m || !is_up_)
            return;
        std::string const expected = m->header("Expected-Instance");
        if (!expected.empty() && expected != options_.id)
        {
            if (!c->send(
                    "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " +
                    options_.id + "\r\nContent-Length: 0\r\n\r\n"))
                return;
            continue;
        }
        if (!on_request_(*this, *c, *m, number))
            return;
    }
}

gateway::gateway(store const& s, options o, std::string directory)
    : options_(std::move(o))
    , directory_(std::move(directory))
{
    std::string const& ip = options_.ip;
    frontend_ = ip + ":" + std::to_string(free_port(ip, SOCK_STREAM));
    readiness_ = ip + ":" + std::to_string(free_port(ip, SOCK_STREAM));
    int const peers = free_port(ip, SOCK_DGRAM);
    settings_ = {
        {"nodeName", options_.name},
        {"role", "gateway"},
        {"machineClass", "edge"},
        {"serves", {"edge"}},
        {"ip", ip},
        {"zone", options_.zone},
        {"region", "trondelag"},
        {"internalPortRange", {peers, peers}},
        {"listen", {{"frontend", frontend_}, {"readiness", readiness_}}},
        {"limits",
         {{"cpuShare", 0.19},
          {"cores", 1},
          {"memoryMb", 260},
          {"fileDescriptors", 4100},
          {"linkMbps", 1000.0}}},
        {"contracts", options_.contracts},
        {"heartbeatIntervalMs", 1200},
        {"bounds",
         {{"contactMs", 3000},
          {"drainMs", 2000},
          {"gracePeriodS", 8},
          {"lossSlackMs", 200},
          {"configApplyMs", 2000},
          {"revocationStrict", true},
          {"revocationMs", 5000},
          {"retryBudgetRatio", 0.9},
          {"budgetWindowS", 10},
          {"retryBudgetExtra", 54},
          {"coldFactor", 1.5},
          {"coldTolerance", 5},
          {"evacuationMs", 5000}}},
        {"platform",
         {{"address", s.address()},
          {"form", "objects"},
          {"writesPerS", 400},
          {"readsPerS", 2000},
          {"historyS", 20},
          {"valueBytes", 1048576}}}};
}

gateway::~gateway()
{
    kill();
}

void gateway::start()
{
    std::string const path = directory_ + "/" + options_.name + ".json";
    std::ofstream(path) << settings_.dump();
    std::string const variable = "MARJORAMBEAM_CONFIG=" + path;
    std::string const log = directory_ + "/" + options_.name + ".log";
    char program[] = "target/bin/marjorambeam-gateway";
    char* const arguments[] = {program, nullptr};
    char const* const path_now = std::getenv("PATH");
    std::string const search =
        std::string("PATH=") + (path_now == nullptr ? "" : path_now);
    char* const environment[] = {
        const_cast<char*>(variable.c_str()), const_cast<char*>(search.c_str()),
        nullptr};
    pid_ = ::fork();
    if (pid_ == 0)
    {
        // Not left behind if this process is killed.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        int const fd =
            ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(fd, 1);
        ::dup2(fd, 2);
        ::execve(program, arguments, environment);
        ::_exit(127);
    }
}

void gateway::signal(int number) const
{
    if (pid_ > 0)
        ::kill(pid_, number);
}

bool gateway::is_running()
{
    if (pid_ <= 0)
        return false;
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) == 0)
        return true;
    pid_ = -1;
    return false;
}

void gateway::stop()
{
    constexpr int grace_ms = 8000;
    signal(SIGTERM);
    time_point const until = now() + milliseconds(grace_ms);
    while (now() < until && is_running())
        sleep_ms(20);
    kill();
}

void gateway::kill()
{
    if (pid_ <= 0)
        return;
    ::kill(pid_, SIGKILL);
    ::kill(pid_, SIGCONT);
    int status = 0;
    ::waitpid(pid_, &status, 0);
    pid_ = -1;
}

bool gateway::is_ready() const
{
    auto const c = connect_to(readiness_, 500);
    if (!c || !c->send("GET /api/readiness HTTP/1.1\r\nHost: x\r\n"
                       "Connection: close\r\n\r\n"))
        return false;
    auto const m = c->read_message(500);
    return m && m->status() == 200;
}

bool gateway::wait_ready(int timeout_ms) const
{
    time_point const until = now() + milliseconds(timeout_ms);
    while (now() < until)
    {
        if (is_ready())
            return true;
        sleep_ms(10);
    }
    return false;
}

std::string head_of(int status, std::string const& attempt, bool is_signed)
{
    std::string out = "HTTP/1.1 " + std::to_string(status) + " -\r\n";
    if (!attempt.empty())
        out += "Attempt-Id: " + attempt + "\r\n";
    if (is_signed)
        out += "Server-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n";
    return out;
}

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: piece " +
           std::to_string(id) + "\n\n";
}

std::string chunk(std::string const& bytes)
{
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

json route_of(route_options const& r)
{
    return {
        {"name", r.name},
        {"host", host},
        {"pathPrefix", r.prefix},
        {"routeKind", r.kind},
        {"timeoutMs", r.timeout_ms},
        {"latencyTargetMs", r.target_ms},
        {"gapTargetMs", 800},
        {"priority", 1},
        {"service", r.service},
        {"attempts", r.attempts},
        {"anonymous", false},
        {"sticky", r.kind == "streaming"},
        {"resumable", r.is_resumable}};
}

json service_of(std::string const& name, bool is_engine, int slots)
{
    json s = {
        {"name", name},        {"healthPath", "/health"},
        {"connectionLimit", 360}, {"protocol", "h1"},
        {"tls", false},        {"coldStartS", 3.0},
        {"coldPerS", 16.0}};
    if (is_engine)
        s["inferenceEngine"] = {{"slots", slots}, {"kvCapacityTokens", 725193}};
    return s;
}

json config_of(json routes, json services)
{
    return {
        {"version", 7},
        {"routes", std::move(routes)},
        {"services", std::move(services)},
        {"limits",
         {{"maxHeaderBytes", 16384},
          {"maxBodyBytes", 1048576},
          {"headerTimeoutMs", 5000},
          {"idleTimeoutMs", 30000}}},
        {"tenants",
         json::array({{{"name", "hule930"}, {"apiKeys", {api_key}}}})}};
}

std::string address_prefix()
{
    int const n = ::getpid();
    return "127." + std::to_string(20 + n % 200) + "." +
           std::to_string(1 + n / 200 % 250) + ".";
}

std::string temporary_directory()
{
    std::string path =
        (std::filesystem::temp_directory_path() / "review3-XXXXXX").string();
    if (::mkdtemp(path.data()) == nullptr)
        throw std::runtime_error("no temporary directory");
    return path;
}

void remove_directory(std::string const& path)
{
    std::error_code ignored;
    std::filesystem::remove_all(path, ignored);
}

bool is_disrupted()
{
    char const* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace review
