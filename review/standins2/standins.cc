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
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{
namespace
{

clock_type::time_point const began = clock_type::now();
std::mutex processes_mutex;
std::set<int> processes;
std::string temporary_folder;

sockaddr_in socket_address(std::string const& ip, int port)
{
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &a.sin_addr);
    return a;
}

int free_port(std::string const& ip)
{
    int const fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in a = socket_address(ip, 0);
    socklen_t n = sizeof a;
    if (::bind(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) != 0)
        finish(2, "can't bind " + ip);
    getsockname(fd, reinterpret_cast<sockaddr*>(&a), &n);
    ::close(fd);
    return ntohs(a.sin_port);
}

bool is_free(std::string const& ip, int port, int type)
{
    int const fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    sockaddr_in a = socket_address(ip, port);
    bool const is_bound =
        ::bind(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) == 0;
    ::close(fd);
    return is_bound;
}

// The first of `n` free ports in a row.
int free_ports(std::string const& ip, int n)
{
    for (int first = 7340; first + n < 30'000; first += n)
    {
        int i = 0;
        while (i < n && is_free(ip, first + i, SOCK_STREAM) &&
               is_free(ip, first + i, SOCK_DGRAM))
            ++i;
        if (i == n)
            return first;
    }
    finish(2, "no free ports at " + ip);
}

bool is_same(std::string_view a, std::string_view b)
{
    return a.size() == b.size() &&
           strncasecmp(a.data(), b.data(), a.size()) == 0;
}

std::string trim(std::string s)
{
    while (!s.empty() && (s.back() == ' ' || s.back() == '\r'))
        s.pop_back();
    std::size_t const at = s.find_first_not_of(' ');
    return at == std::string::npos ? "" : s.substr(at);
}

std::string decode_percent(std::string const& s)
{
    std::string out;
    for (std::size_t i = 0; i < s.size(); ++i)
    {
        if (s[i] == '%' && i + 2 < s.size())
        {
            out +=
                static_cast<char>(std::stoi(s.substr(i + 1, 2), nullptr, 16));
            i += 2;
        }
        else
            out += s[i];
    }
    return out;
}

std::string query_value(std::string const& query, std::string const& name)
{
    std::size_t at = 0;
    while (at < query.size())
    {
        std::size_t const end = std::min(query.find('&', at), query.size());
        std::string const part = query.substr(at, end - at);
        if (part.compare(0, name.size() + 1, name + "=") == 0)
            return decode_percent(part.substr(name.size() + 1));
        at = end + 1;
    }
    return {};
}

} // namespace

record_file record;

double now_s()
{
    return std::chrono::duration<double>(clock_type::now() - began).count();
}

void sleep_ms(int ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}

bool has_trouble()
{
    char const* const text = std::getenv("TROUBLE");
    return text == nullptr || std::strcmp(text, "0") != 0;
}

void record_file::open(std::string const& path)
{
    file_ = std::fopen(path.c_str(), "w");
    if (file_ == nullptr)
        finish(2, "can't write " + path);
}

void record_file::line(std::string const& text)
{
    std::lock_guard const lock(mutex_);
    if (file_ == nullptr)
        return;
    std::fprintf(file_, "%9.4f %s\n", now_s(), text.c_str());
    std::fflush(file_);
}

std::string find(headers const& h, std::string_view name)
{
    for (auto const& [n, v] : h)
    {
        if (is_same(n, name))
            return v;
    }
    return {};
}

int http_message::status() const
{
    return std::atoi(second.c_str());
}

connection::~connection()
{
    ::close(fd_);
}

std::shared_ptr<connection>
connection::to(std::string const& address, int timeout_ms)
{
    std::size_t const colon = address.rfind(':');
    int const fd =
        ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (fd < 0)
        return nullptr;
    sockaddr_in a = socket_address(
        address.substr(0, colon), std::stoi(address.substr(colon + 1)));
    int const code = ::connect(fd, reinterpret_cast<sockaddr*>(&a), sizeof a);
    pollfd p{fd, POLLOUT, 0};
    int error = 0;
    socklen_t n = sizeof error;
    bool const is_open =
        (code == 0 || errno == EINPROGRESS) && ::poll(&p, 1, timeout_ms) == 1 &&
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &n) == 0 && error == 0;
    if (!is_open)
    {
        ::close(fd);
        return nullptr;
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    int const on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return std::make_shared<connection>(fd);
}

bool connection::write(std::string_view bytes)
{
    while (!bytes.empty())
    {
        ssize_t const n = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

bool connection::read_some(int timeout_ms)
{
    pollfd p{fd_, POLLIN, 0};
    if (timeout_ms < 0 || ::poll(&p, 1, timeout_ms) != 1)
        return false;
    char buf[16384];
    ssize_t const n = ::recv(fd_, buf, sizeof buf, 0);
    if (n <= 0)
        return false;
    buffer_.append(buf, static_cast<std::size_t>(n));
    return true;
}

bool connection::has_ended() const
{
    pollfd p{fd_, POLLRDHUP, 0};
    return ::poll(&p, 1, 0) > 0 &&
           (p.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void connection::shut()
{
    ::shutdown(fd_, SHUT_RDWR);
}

void connection::reset()
{
    linger const none{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &none, sizeof none);
    ::shutdown(fd_, SHUT_RD);
}

bool connection::read_message(
    http_message& m, bool is_response, int timeout_ms,
    std::function<void(std::string_view)> const& on_body)
{
    auto const until = clock_type::now() + milliseconds(timeout_ms);
    auto more = [&]
    {
        auto const left =
            std::chrono::duration_cast<milliseconds>(until - clock_type::now());
        return read_some(static_cast<int>(std::max<long>(left.count(), 0)));
    };
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos)
    {
        if (!more())
            return false;
    }
    std::string const head = buffer_.substr(0, end + 2);
    buffer_.erase(0, end + 4);
    std::size_t at = head.find("\r\n");
    std::string const line = head.substr(0, at);
    std::size_t const a = line.find(' ');
    std::size_t const b = a == std::string::npos ? a : line.find(' ', a + 1);
    if (a == std::string::npos)
        return false;
    m.first = line.substr(0, a);
    m.second = line.substr(
        a + 1, b == std::string::npos ? std::string::npos : b - a - 1);
    for (at += 2; at < head.size();)
    {
        std::size_t const stop = head.find("\r\n", at);
        std::string const field = head.substr(at, stop - at);
        std::size_t const colon = field.find(':');
        if (colon != std::string::npos)
            m.fields.emplace_back(
                field.substr(0, colon), trim(field.substr(colon + 1)));
        at = stop + 2;
    }
    auto take = [&](std::size_t n)
    {
        if (on_body && n > 0)
            on_body(std::string_view(buffer_).substr(0, n));
        m.body.append(buffer_, 0, n);
        buffer_.erase(0, n);
    };
    if (is_same(m.header("Transfer-Encoding"), "chunked"))
    {
        while (true)
        {
            std::size_t eol = 0;
            while ((eol = buffer_.find("\r\n")) == std::string::npos)
            {
                if (!more())
                    return true;
            }
            std::size_t const n = std::strtoul(buffer_.c_str(), nullptr, 16);
            while (buffer_.size() < eol + 2 + n + 2)
            {
                if (!more())
                    return true;
            }
            buffer_.erase(0, eol + 2);
            take(n);
            buffer_.erase(0, 2);
            if (n == 0)
            {
                m.is_whole = true;
                return true;
            }
        }
    }
    std::string const length = m.header("Content-Length");
    if (!length.empty())
    {
        std::size_t const n = std::strtoul(length.c_str(), nullptr, 10);
        while (buffer_.size() < n)
        {
            if (!more())
                return true;
        }
        take(n);
        m.is_whole = true;
        return true;
    }
    if (is_response && m.status() != 204 && m.status() != 304)
    {
        while (more())
        {
        }
        take(buffer_.size());
    }
    m.is_whole = true;
    return true;
}

listener::listener(std::string const& ip, int port, handler serve)
    : ip_(ip)
    , port_(port == 0 ? free_port(ip) : port)
    , serve_(std::move(serve))
{
    start();
}

listener::~listener()
{
    stop();
}

std::string listener::address() const
{
    return ip_ + ":" + std::to_string(port_);
}

void listener::start()
{
    int const fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in a = socket_address(ip_, port_);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) != 0 ||
        ::listen(fd, 512) != 0)
        finish(2, "can't listen on " + address());
    fd_ = fd;
    std::thread([this, fd] { accept_all(fd); }).detach();
}

void listener::accept_all(int fd)
{
    while (true)
    {
        int const peer = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (peer < 0)
        {
            if (errno == EINTR || errno == ECONNABORTED)
                continue;
            return;
        }
        int const on = 1;
        setsockopt(peer, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        auto const c = std::make_shared<connection>(peer);
        {
            std::lock_guard const lock(mutex_);
            if (fd_ != fd)
                return;
            open_.remove_if([](auto const& it) { return it.expired(); });
            open_.push_back(c);
        }
        std::thread([this, c] { serve_(c); }).detach();
    }
}

void listener::stop()
{
    std::lock_guard const lock(mutex_);
    int const fd = fd_.exchange(-1);
    if (fd >= 0)
    {
        ::shutdown(fd, SHUT_RDWR);
        ::close(fd);
    }
    for (auto const& it : open_)
    {
        if (auto const c = it.lock())
            c->shut();
    }
    open_.clear();
}

store::store(std::string const& ip)
{
    add_address(ip);
}

std::string store::add_address(std::string const& ip)
{
    auto const is_cut = std::make_shared<std::atomic<bool>>(false);
    listeners_.push_back(std::make_unique<listener>(
        ip, 0,
        [this, is_cut](std::shared_ptr<connection> const& c)
        { serve(c, is_cut); }));
    std::string const address = listeners_.back()->address();
    cuts_[address] = is_cut;
    return address;
}

void store::set_cut(std::string const& address, bool is_cut)
{
    *cuts_.at(address) = is_cut;
}

json store::to_json(std::string const& name, object const& o) const
{
    return {
        {"metadata",
         {{"name", name},
          {"revision", o.revision},
          {"created", o.created},
          {"finalizers", json::array()},
          {"deletionPending", false}}},
        {"specification", o.specification},
        {"status", o.status}};
}

void store::note(
    std::string const& kind, std::string const& name, object const& o,
    bool is_deleted)
{
    history_.push_back(
        {revision_,
         kind,
         {{"deleted", is_deleted}, {"object", to_json(name, o)}}});
    changed_.notify_all();
}

void store::put(std::string const& kind, std::string const& name, json spec)
{
    std::lock_guard const lock(mutex_);
    object& o = kinds_[kind][name];
    if (o.revision != 0 && o.specification == spec)
        return;
    o.revision = ++revision_;
    if (o.created == 0)
        o.created = revision_;
    o.specification = std::move(spec);
    note(kind, name, o, false);
}

void store::erase(std::string const& kind, std::string const& name)
{
    std::lock_guard const lock(mutex_);
    auto& all = kinds_[kind];
    auto const it = all.find(name);
    if (it == all.end())
        return;
    object o = it->second;
    all.erase(it);
    o.revision = ++revision_;
    note(kind, name, o, true);
}

// Waits until what is sent now passes: sent again after 0.2, 0.4, 0.8 s and so
// on.
void pass(std::atomic<bool> const& is_cut)
{
    for (int ms = 200; is_cut; ms *= 2)
        sleep_ms(ms);
}

void store::serve(std::shared_ptr<connection> const& c, flag const& is_cut)
{
    while (true)
    {
        http_message m;
        if (!c->read_message(m, false, 600'000) || !m.is_whole)
            return;
        pass(*is_cut);
        auto const [status, body] = answer(m);
        pass(*is_cut);
        std::string const text = body.dump();
        if (!c->write(
                "HTTP/1.1 " + std::to_string(status) +
                " X\r\nContent-Type: application/json\r\nContent-Length: " +
                std::to_string(text.size()) + "\r\n\r\n" + text))
            return;
    }
}

std::pair<int, json> store::answer(http_message const& m)
{
    constexpr std::string_view root = "/api/objects/";
    std::size_t const mark = m.second.find('?');
    std::string const path = m.second.substr(0, mark);
    std::string const query =
        mark == std::string::npos ? "" : m.second.substr(mark + 1);
    std::unique_lock lock(mutex_);
    if (path.compare(0, root.size(), root) != 0)
        return {404, json::object()};
    std::string rest = path.substr(root.size());
    std::size_t const slash = rest.find('/');
    std::string const kind = rest.substr(0, slash);
    std::string name = slash == std::string::npos ? "" : rest.substr(slash + 1);
    bool const is_status =
        name.size() > 7 && name.compare(name.size() - 7, 7, "/status") == 0;
    if (is_status)
        name.resize(name.size() - 7);
    name = decode_percent(name);
    if (m.first != "GET")
    {
        if (m.first == "DELETE")
        {
            auto& all = kinds_[kind];
            auto const it = all.find(name);
            if (it == all.end())
                return {404, json::object()};
            std::string const wanted = query_value(query, "revision");
            if (!wanted.empty() &&
                wanted != std::to_string(it->second.revision))
                return {409, to_json(name, it->second)};
            object o = it->second;
            all.erase(it);
            o.revision = ++revision_;
            note(kind, name, o, true);
            return {200, to_json(name, o)};
        }
        return write(m, kind, name, is_status);
    }
    if (!name.empty())
    {
        auto const it = kinds_[kind].find(name);
        return it == kinds_[kind].end()
                   ? std::pair<int, json>{404, json::object()}
                   : std::pair<int, json>{200, to_json(name, it->second)};
    }
    std::string const watch = query_value(query, "watch");
    if (watch.empty())
    {
        json items = json::array();
        std::string const after = query_value(query, "after");
        for (auto const& [n, o] : kinds_[kind])
        {
            if (after.empty() || n > after)
                items.push_back(to_json(n, o));
        }
        return {200, {{"items", items}, {"hasMore", false}, {"at", revision_}}};
    }
    std::uint64_t const from = std::stoull(watch);
    auto const until =
        clock_type::now() +
        milliseconds(std::atoi(query_value(query, "waitMs").c_str()));
    auto events = [&]
    {
        json all = json::array();
        for (change const& it : history_)
        {
            if (it.revision > from && it.kind == kind)
                all.push_back(it.event);
        }
        return all;
    };
    json found = events();
    while (found.empty() && clock_type::now() < until)
    {
        changed_.wait_until(lock, until);
        found = events();
    }
    return {200, {{"events", found}, {"at", revision_}}};
}

std::pair<int, json> store::write(
    http_message const& m, std::string const& kind, std::string const& name,
    bool is_status)
{
    json const body = json::parse(m.body, nullptr, false);
    if (!body.is_object())
        return {400, json::object()};
    json const meta = body.value("metadata", json::object());
    std::string const n =
        m.first == "POST" ? meta.value("name", std::string()) : name;
    auto& all = kinds_[kind];
    auto const it = all.find(n);
    if (m.first == "POST" && it != all.end())
        return {409, to_json(n, it->second)};
    if (m.first == "PUT" && it == all.end())
        return {404, json::object()};
    if (m.first == "PUT" && meta.contains("revision") &&
        meta["revision"] != it->second.revision)
        return {409, to_json(n, it->second)};
    object& o = all[n];
    json& part = is_status ? o.status : o.specification;
    json const value =
        body.value(is_status ? "status" : "specification", json());
    if (m.first == "PUT" && part == value)
        return {200, to_json(n, o)};
    part = value;
    o.revision = ++revision_;
    if (o.created == 0)
        o.created = revision_;
    note(kind, n, o, false);
    return {200, to_json(n, o)};
}

worker::worker(
    store& s, std::string const& ip, std::string service, std::string zone,
    int slots, handler serve)
    : store_(s)
    , service_(std::move(service))
    , zone_(std::move(zone))
    , slots_(slots)
    , serve_(std::move(serve))
{
    listener_ = std::make_unique<listener>(
        ip, 0,
        [this](std::shared_ptr<connection> const& c)
        {
            while (true)
            {
                http_message m;
                if (!c->read_message(m, false, 60'000) || !m.is_whole)
                    return;
                if (!serve_(*this, c, m))
                    return;
            }
        });
    enlist();
}

std::string worker::id() const
{
    std::lock_guard const lock(id_mutex_);
    return id_;
}

void worker::enlist()
{
    {
        std::lock_guard const lock(id_mutex_);
        id_ = "i-" + attempt_id();
    }
    born_ = std::chrono::duration_cast<milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count();
    store_.put(
        "servers", id(),
        {{"service", service_},
         {"address", address()},
         {"zone", zone_},
         {"version", "v1"},
         {"slots", slots_},
         {"state", "ready"},
         {"coldRemainingMs", 0},
         {"born", born_},
         {"sequence", 1}});
}

void worker::crash(int down_ms)
{
    std::string const old = id();
    record.line("worker " + old + " crashes");
    listener_->stop();
    ++lifetime_;
    freed.notify_all();
    std::thread(
        [this, old, down_ms]
        {
            sleep_ms(down_ms);
            listener_->start();
            enlist();
            record.line("worker " + old + " is back as " + id());
        })
        .detach();
    std::thread(
        [this, old]
        {
            constexpr int three_heartbeats_ms = 3600;
            sleep_ms(three_heartbeats_ms);
            store_.erase("servers", old);
        })
        .detach();
}

gateway::gateway(
    std::string name, std::string ip, std::string zone,
    std::string const& store_address, std::string const& directory,
    json const& more)
    : name_(std::move(name))
    , directory_(directory)
{
    auto at = [&](int n) { return ip + ":" + std::to_string(n); };
    constexpr int internal_ports = 16;
    int const internal = free_ports(ip, internal_ports);
    frontend_ = at(free_port(ip));
    readiness_ = at(free_port(ip));
    json const zones = {
        {"orkanger", "trondelag"},
        {"hitra", "trondelag"},
        {"frosta", "trondelag"},
        {"stjordal", "trondelag"}};
    json settings = {
        {"nodeName", name_},
        {"role", "gateway"},
        {"machineClass", "edge"},
        {"serves", {"edge"}},
        {"ip", ip},
        {"zone", zone},
        {"region", "trondelag"},
        {"zones", zones},
        {"listen", {{"frontend", frontend_}, {"readiness", readiness_}}},
        {"internalPortRange", {internal, internal + internal_ports - 1}},
        {"seedNodes", json::array()},
        {"bootstrap", true},
        {"countsAsLoss", false},
        {"limits",
         {{"cpuShare", 0.19},
          {"cores", 1},
          {"memoryMb", 260},
          {"fileDescriptors", 4100},
          {"linkMbps", 1000.0},
          {"diskMb", 0}}},
        {"dataDirectory", nullptr},
        {"discovery", "platform"},
        {"entry", "virtual_ip"},
        {"heartbeatIntervalMs", 1200},
        {"contracts",
         {"base", "drain", "config", "cost", "retry", "recover", "engine",
          "stream", "tenants", "places", "platform", "rollout"}},
        {"faultTolerance",
         {{"machineLosses", 2}, {"zones", 1}, {"regionLosses", 0}}},
        {"bounds", {{"seedLagS", 3},         {"addressReuseS", 2},
                    {"contactMs", 3000},     {"ackTimeoutMs", 4000},
                    {"catchUpS", 4},         {"drainMs", 2000},
                    {"gracePeriodS", 8},     {"lossSlackMs", 200},
                    {"configApplyMs", 2000}, {"rollbackSlackMs", 250},
                    {"outerBoundMs", 5000},  {"revocationStrict", true},
                    {"revocationMs", 5000},  {"retryBudgetRatio", 0.9},
                    {"budgetWindowS", 10},   {"retryBudgetExtra", 54},
                    {"exposureShare", 0.15}, {"exposureTolerance", 30},
                    {"rollbackMs", 5000},    {"coldFactor", 1.5},
                    {"coldTolerance", 5},    {"evacuationMs", 5000},
                    {"recoveryS", 12},       {"passMs", 120},
                    {"reuseWindowS", 10},    {"sessionS", 5}}},
        {"platform",
         {{"address", store_address},
          {"form", "objects"},
          {"writesPerS", 400},
          {"readsPerS", 2000},
          {"historyS", 20},
          {"valueBytes", 1048576},
          {"ttlMinMs", 1000}}}};
    settings.merge_patch(more);
    settings_ = directory_ + "/" + name_ + ".json";
    std::ofstream(settings_) << settings.dump();
}

gateway::~gateway()
{
    signal(SIGKILL);
}

void gateway::start()
{
    std::string const log = directory_ + "/" + name_ + ".log";
    std::string const variable = "MARJORAMBEAM_CONFIG=" + settings_;
    char const* const path = std::getenv("PATH");
    std::string const path_variable =
        std::string("PATH=") + (path == nullptr ? "/usr/bin:/bin" : path);
    int const pid = ::fork();
    if (pid < 0)
        finish(2, "can't start a process");
    if (pid == 0)
    {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        sigset_t none;
        ::sigemptyset(&none);
        ::sigprocmask(SIG_SETMASK, &none, nullptr);
        int const fd = ::open(
            log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        ::dup2(fd, STDOUT_FILENO);
        ::dup2(fd, STDERR_FILENO);
        char program[] = "target/bin/marjorambeam-gateway";
        char* args[] = {program, nullptr};
        char* env[] = {
            const_cast<char*>(variable.c_str()),
            const_cast<char*>(path_variable.c_str()), nullptr};
        ::execve(program, args, env);
        ::_exit(127);
    }
    pid_ = pid;
    std::lock_guard const lock(processes_mutex);
    processes.insert(pid);
}

void gateway::signal(int n)
{
    if (pid_ > 0)
        ::kill(pid_, n);
}

bool gateway::wait_end(int timeout_ms)
{
    for (int i = 0; i <= timeout_ms / 10; ++i)
    {
        int status = 0;
        if (::waitpid(pid_, &status, WNOHANG) == pid_)
        {
            std::lock_guard const lock(processes_mutex);
            processes.erase(pid_);
            pid_ = -1;
            return true;
        }
        sleep_ms(10);
    }
    return false;
}

bool gateway::wait_ready(int timeout_ms)
{
    for (int i = 0; i <= timeout_ms / 20; ++i)
    {
        if (auto const c = connection::to(readiness_, 200))
        {
            http_message m;
            c->write("GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
            if (c->read_message(m, true, 200) && m.status() == 200)
                return true;
        }
        sleep_ms(20);
    }
    return false;
}

std::string loopback(int host)
{
    static int const pid = ::getpid();
    return "127." + std::to_string(64 + pid / 250 % 128) + "." +
           std::to_string(1 + pid % 250) + "." + std::to_string(host);
}

std::string make_temporary_folder()
{
    std::string name =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr)
        finish(2, "can't make a temporary folder");
    temporary_folder = name;
    return name;
}

json make_config()
{
    json tenants = json::array();
    for (int i = 1; i <= 4; ++i)
        tenants.push_back(
            {{"name", "tenant-" + std::to_string(i)},
             {"apiKeys", {"key-" + std::to_string(i)}},
             {"priority", 1}});
    return {
        {"version", 7},
        {"routes",
         {{{"name", "r-tag"},
           {"host", "h.example"},
           {"pathPrefix", "/tag/"},
           {"routeKind", "streaming"},
           {"timeoutMs", 4000},
           {"latencyTargetMs", 1000},
           {"priority", 2},
           {"service", "pool"},
           {"attempts", 3},
           {"anonymous", false},
           {"sticky", true},
           {"resumable", true},
           {"gapTargetMs", 800}},
          {{"name", "r-once"},
           {"host", "h.example"},
           {"pathPrefix", "/adjust/"},
           {"routeKind", "non_idempotent"},
           {"timeoutMs", 2500},
           {"latencyTargetMs", 150},
           {"priority", 2},
           {"service", "control"},
           {"attempts", 1},
           {"anonymous", false},
           {"sticky", false},
           {"resumable", false}},
          {{"name", "r-read"},
           {"host", "h.example"},
           {"pathPrefix", "/status/"},
           {"routeKind", "idempotent"},
           {"timeoutMs", 2500},
           {"latencyTargetMs", 150},
           {"priority", 2},
           {"service", "control"},
           {"attempts", 2},
           {"anonymous", false},
           {"sticky", false},
           {"resumable", false}}}},
        {"services",
         {{{"name", "pool"},
           {"healthPath", "/health"},
           {"connectionLimit", 360},
           {"protocol", "h1"},
           {"tls", false},
           {"coldStartS", 0.0},
           {"coldPerS", 0.0},
           {"inferenceEngine",
            {{"slots", 64},
             {"kvCapacityTokens", 725193},
             {"models", {{{"name", "m0"}, {"cost", 0.1}}}}}}},
          {{"name", "control"},
           {"healthPath", "/health"},
           {"connectionLimit", 100},
           {"protocol", "h1"},
           {"tls", false},
           {"coldStartS", 0.0},
           {"coldPerS", 0.0}}}},
        {"limits",
         {{"maxHeaderBytes", 16384},
          {"maxBodyBytes", 4194304},
          {"headerTimeoutMs", 3000},
          {"idleTimeoutMs", 15000}}},
        {"tenants", tenants}};
}

std::string attempt_id()
{
    static std::mutex mutex;
    static std::mt19937_64 random{std::random_device{}()};
    std::lock_guard const lock(mutex);
    char buf[24];
    std::snprintf(
        buf, sizeof buf, "%016llx", static_cast<unsigned long long>(random()));
    return buf;
}

std::string request_text(
    std::string const& method, std::string const& target,
    std::string const& attempt, std::string const& key, int remaining_ms,
    std::string const& body, headers const& more)
{
    std::string out =
        method + " " + target +
        " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + attempt +
        "\r\nDeadline-Remaining: " + std::to_string(remaining_ms) +
        "\r\nAuthorization: Bearer " + key + "\r\n";
    for (auto const& [n, v] : more)
        out += n + ": " + v + "\r\n";
    if (method == "POST")
        out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return out + "\r\n" + body;
}

void limit_run()
{
    static sigset_t ends;
    ::sigemptyset(&ends);
    ::sigaddset(&ends, SIGTERM);
    ::sigaddset(&ends, SIGINT);
    ::pthread_sigmask(SIG_BLOCK, &ends, nullptr);
    std::thread(
        []
        {
            constexpr timespec most{.tv_sec = 117, .tv_nsec = 0};
            ::sigtimedwait(&ends, nullptr, &most);
            finish(2, "the run was ended");
        })
        .detach();
}

void finish(int code, std::string const& text)
{
    record.line("result " + std::to_string(code) + ": " + text);
    std::printf("%s\n", text.c_str());
    std::fflush(stdout);
    {
        std::lock_guard const lock(processes_mutex);
        for (int const pid : processes)
            ::kill(pid, SIGKILL);
        for (int const pid : processes)
            ::waitpid(pid, nullptr, 0);
    }
    if (!temporary_folder.empty() && std::getenv("KEEP") == nullptr)
    {
        std::error_code ec;
        std::filesystem::remove_all(temporary_folder, ec);
    }
    ::_exit(code);
}

} // namespace review
