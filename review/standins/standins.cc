#include "standins.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
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

auto const process_start = std::chrono::steady_clock::now();

sockaddr_in address_of(std::string const& ip, int port)
{
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &a.sin_addr);
    return a;
}

std::string lower(std::string s)
{
    std::transform(
        s.begin(), s.end(), s.begin(),
        [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return s;
}

headers parse_query(std::string const& text)
{
    headers out;
    std::size_t at = 0;
    while (at < text.size())
    {
        std::size_t const end = std::min(text.find('&', at), text.size());
        std::string const pair = text.substr(at, end - at);
        std::size_t const eq = pair.find('=');
        out[pair.substr(0, eq)] =
            eq == std::string::npos ? "" : pair.substr(eq + 1);
        at = end + 1;
    }
    return out;
}

} // namespace

double seconds_now()
{
    return std::chrono::duration<double>(
               std::chrono::steady_clock::now() - process_start)
        .count();
}

void sleep_s(double s)
{
    if (s > 0)
        std::this_thread::sleep_for(std::chrono::duration<double>(s));
}

trial::trial()
    : is_troubled(env_or("TROUBLE", "1") != "0")
    , log(env_or("RECORD", "record.txt"))
    , directory_(make_directory())
    , platform("127.0.0.1")
{
}

gateway& trial::add_gateway(std::string const& zone, int store_port)
{
    std::string const number = std::to_string(fleet.size() + 1);
    fleet.push_back(std::make_unique<gateway>(gateway_options{
        .binary = env_or("GATEWAY", "target/bin/marjorambeam-gateway"),
        .directory = directory_,
        .name = "edge-" + number,
        .ip = net_ + number,
        .zone = zone,
        .store_ip = "127.0.0.1",
        .store_port = store_port,
        .bounds = default_bounds()}));
    fleet.back()->start();
    return *fleet.back();
}

bool trial::wait_ready()
{
    for (auto const& it : fleet)
    {
        if (!it->wait_ready(10))
        {
            log.line("a gateway isn't ready");
            return false;
        }
    }
    log.line("all gateways are ready");
    return true;
}

void trial::end(int code)
{
    log.line("exit " + std::to_string(code));
    fleet.clear();
    std::string const kept = env_or("KEEP_LOGS", "");
    if (kept.empty())
        std::filesystem::remove_all(directory_);
    std::fflush(nullptr);
    // Threads of the stand-ins are still waiting on their channels.
    std::_Exit(code);
}

record::record(std::string const& path)
    : file_(std::fopen(path.c_str(), "w"))
{
    if (file_ == nullptr)
        throw std::runtime_error("can't write " + path);
}

record::~record()
{
    std::fclose(file_);
}

void record::line(std::string const& text)
{
    std::lock_guard const lock(mutex_);
    std::fprintf(file_, "%8.3f %s\n", seconds_now(), text.c_str());
    std::fflush(file_);
}

connection::~connection()
{
    close();
}

std::unique_ptr<connection>
connection::open(std::string const& ip, int port, int receive_buffer)
{
    int const fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receive_buffer > 0)
        setsockopt(
            fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    sockaddr_in const a = address_of(ip, port);
    if (::connect(fd, reinterpret_cast<sockaddr const*>(&a), sizeof a) != 0)
    {
        ::close(fd);
        return nullptr;
    }
    int const on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return std::make_unique<connection>(fd);
}

bool connection::send(std::string const& bytes)
{
    std::size_t sent = 0;
    while (fd_ >= 0 && sent < bytes.size())
    {
        ssize_t const n =
            ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<std::size_t>(n);
    }
    return fd_ >= 0;
}

bool connection::receive(double limit_s)
{
    if (fd_ < 0)
    {
        end_ = "closed";
        return false;
    }
    pollfd p{.fd = fd_, .events = POLLIN, .revents = 0};
    if (::poll(&p, 1, static_cast<int>(std::max(limit_s, 0.0) * 1000)) <= 0)
    {
        end_ = "time limit";
        return false;
    }
    std::vector<char> buf(65536);
    ssize_t const n = ::recv(fd_, buf.data(), buf.size(), 0);
    if (n > 0)
    {
        buffer_.append(buf.data(), static_cast<std::size_t>(n));
        return true;
    }
    end_ = n == 0 ? "closed" : "reset";
    return false;
}

void connection::close()
{
    if (fd_ >= 0)
        ::close(fd_);
    fd_ = -1;
}

void connection::reset()
{
    linger const l{.l_onoff = 1, .l_linger = 0};
    if (fd_ >= 0)
        setsockopt(fd_, SOL_SOCKET, SO_LINGER, &l, sizeof l);
    close();
}

std::string message::field(std::string const& name) const
{
    auto const it = fields.find(lower(name));
    return it == fields.end() ? std::string() : it->second;
}

int message::status() const
{
    return start.size() < 12 ? 0 : std::atoi(start.c_str() + 9);
}

std::string message::method() const
{
    return start.substr(0, start.find(' '));
}

std::string message::target() const
{
    std::size_t const a = start.find(' ');
    return start.substr(a + 1, start.rfind(' ') - a - 1);
}

std::optional<message>
read_message(connection& c, double limit_s, bool is_answer)
{
    double const end = seconds_now() + limit_s;
    std::string& b = c.buffer();
    std::size_t head = std::string::npos;
    while ((head = b.find("\r\n\r\n")) == std::string::npos)
    {
        if (!c.receive(end - seconds_now()))
            return std::nullopt;
    }
    message m;
    std::string const text = b.substr(0, head);
    b.erase(0, head + 4);
    std::size_t at = text.find("\r\n");
    m.start = text.substr(0, at);
    while (at != std::string::npos)
    {
        std::size_t const next = text.find("\r\n", at + 2);
        std::string const line = text.substr(
            at + 2,
            next == std::string::npos ? std::string::npos : next - at - 2);
        std::size_t const colon = line.find(':');
        if (colon != std::string::npos)
        {
            std::size_t const v = line.find_first_not_of(' ', colon + 1);
            m.fields[lower(line.substr(0, colon))] =
                v == std::string::npos ? "" : line.substr(v);
        }
        at = next;
    }
    if (lower(m.field("transfer-encoding")) == "chunked")
    {
        while (true)
        {
            std::size_t eol = 0;
            while ((eol = b.find("\r\n")) == std::string::npos)
            {
                if (!c.receive(end - seconds_now()))
                    return std::nullopt;
            }
            std::size_t const n = std::stoul(b.substr(0, eol), nullptr, 16);
            while (b.size() < eol + 2 + n + 2)
            {
                if (!c.receive(end - seconds_now()))
                    return std::nullopt;
            }
            m.body.append(b, eol + 2, n);
            b.erase(0, eol + 2 + n + 2);
            if (n == 0)
                return m;
        }
    }
    if (!m.field("content-length").empty())
    {
        std::size_t const n = std::stoul(m.field("content-length"));
        while (b.size() < n)
        {
            if (!c.receive(end - seconds_now()))
                return std::nullopt;
        }
        m.body = b.substr(0, n);
        b.erase(0, n);
        return m;
    }
    if (!is_answer)
        return m;
    while (c.receive(end - seconds_now()))
    {
    }
    m.body = std::exchange(b, {});
    return c.end() == "closed" ? std::optional(m) : std::nullopt;
}

listener::listener(std::string const& ip, handler serve)
    : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    , serve_(std::move(serve))
{
    int const on = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in a = address_of(ip, 0);
    socklen_t n = sizeof a;
    if (::bind(fd_, reinterpret_cast<sockaddr*>(&a), sizeof a) != 0 ||
        ::listen(fd_, 512) != 0 ||
        getsockname(fd_, reinterpret_cast<sockaddr*>(&a), &n) != 0)
        throw std::runtime_error(std::strerror(errno));
    port_ = ntohs(a.sin_port);
    thread_ = std::thread(
        [this]
        {
            while (true)
            {
                int const fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0)
                    return;
                int const on = 1;
                setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                // The threads end with the process.
                std::thread(
                    [this, fd]
                    {
                        connection c(fd);
                        serve_(c);
                    })
                    .detach();
            }
        });
}

listener::~listener()
{
    ::shutdown(fd_, SHUT_RDWR);
    ::close(fd_);
    thread_.join();
}

store::store(std::string const& ip)
    : ip_(ip)
{
}

int store::add_port(std::function<bool()> is_refused)
{
    listeners_.push_back(std::make_unique<listener>(
        ip_, [this, is_refused](connection& c) { serve(c, is_refused); }));
    return listeners_.back()->port();
}

json store::to_json(std::string const& name, object const& o) const
{
    return {
        {"metadata",
         {{"name", name},
          {"revision", o.revision},
          {"created", o.revision},
          {"finalizers", json::array()},
          {"deletionPending", false}}},
        {"specification", o.spec},
        {"status", o.status}};
}

void store::note(std::string const& kind, std::string const& name, bool deleted)
{
    object const& o = kinds_[kind][name];
    history_.push_back(
        {revision_,
         kind,
         {{"deleted", deleted}, {"object", to_json(name, o)}}});
    changed_.notify_all();
}

void store::put(std::string const& kind, std::string const& name, json spec)
{
    std::lock_guard const lock(mutex_);
    object& o = kinds_[kind][name];
    if (o.revision != 0 && o.spec == spec)
        return;
    o.spec = std::move(spec);
    o.revision = ++revision_;
    note(kind, name, false);
}

void store::erase(std::string const& kind, std::string const& name)
{
    std::lock_guard const lock(mutex_);
    if (!kinds_[kind].contains(name))
        return;
    kinds_[kind][name].revision = ++revision_;
    note(kind, name, true);
    kinds_[kind].erase(name);
}

json store::status(std::string const& kind, std::string const& name)
{
    std::lock_guard const lock(mutex_);
    return kinds_[kind].contains(name) ? kinds_[kind][name].status : json();
}

std::vector<std::string> store::names(std::string const& kind)
{
    std::lock_guard const lock(mutex_);
    std::vector<std::string> all;
    for (auto const& [name, o] : kinds_[kind])
        all.push_back(name);
    return all;
}

void store::drop_history()
{
    std::lock_guard const lock(mutex_);
    history_.clear();
    oldest_ = revision_;
    changed_.notify_all();
}

void store::wake()
{
    std::lock_guard const lock(mutex_);
    changed_.notify_all();
}

void store::serve(connection& c, std::function<bool()> const& is_refused)
{
    while (auto const m = read_message(c, 3600, false))
    {
        std::string const target = m->target();
        std::size_t const q = target.find('?');
        std::string const path = target.substr(0, q);
        headers const query = parse_query(
            q == std::string::npos ? std::string() : target.substr(q + 1));
        auto const [status, body] = answer(*m, path, query, is_refused);
        std::string const text = body.dump();
        if (!c.send(
                "HTTP/1.1 " + std::to_string(status) +
                " Status\r\nContent-Type: application/json\r\n"
                "Content-Length: " +
                std::to_string(text.size()) + "\r\n\r\n" + text))
            return;
    }
}

std::pair<int, json> store::answer(
    message const& m, std::string const& path, headers const& query,
    std::function<bool()> const& is_refused)
{
    std::string const prefix = "/api/objects/";
    if (is_refused())
        return {503, json::object()};
    if (path.rfind(prefix, 0) != 0)
        return {404, json::object()};
    std::string rest = path.substr(prefix.size());
    std::size_t const slash = rest.find('/');
    std::string const kind = rest.substr(0, slash);
    std::string name = slash == std::string::npos ? "" : rest.substr(slash + 1);
    bool const is_status =
        name.size() > 7 && name.substr(name.size() - 7) == "/status";
    if (is_status)
        name.resize(name.size() - 7);
    std::unique_lock lock(mutex_);
    auto& all = kinds_[kind];
    if (m.method() == "GET" && query.contains("watch"))
    {
        std::uint64_t const after = std::stoull(query.at("watch"));
        auto const end =
            std::chrono::steady_clock::now() +
            std::chrono::milliseconds(
                query.contains("waitMs") ? std::stoll(query.at("waitMs")) : 0);
        while (true)
        {
            if (is_refused())
                return {503, json::object()};
            if (after < oldest_)
                return {410, json::object()};
            json events = json::array();
            for (change const& it : history_)
            {
                if (it.kind == kind && it.revision > after)
                    events.push_back(it.event);
            }
            bool const is_over = std::chrono::steady_clock::now() >= end;
            if (!events.empty() || is_over)
                return {200, {{"events", events}, {"at", revision_}}};
            changed_.wait_until(lock, end);
        }
    }
    if (m.method() == "GET" && name.empty())
    {
        json items = json::array();
        std::string const after =
            query.contains("after") ? query.at("after") : "";
        for (auto const& [n, o] : all)
        {
            if (n > after)
                items.push_back(to_json(n, o));
        }
        return {200, {{"items", items}, {"hasMore", false}, {"at", revision_}}};
    }
    if (m.method() == "GET")
        return all.contains(name) ? std::pair(200, to_json(name, all[name]))
                                  : std::pair(404, json::object());
    json const body = json::parse(m.body, nullptr, false);
    if (m.method() == "POST")
    {
        name = body["metadata"]["name"].get<std::string>();
        if (all.contains(name))
            return {409, to_json(name, all[name])};
        all[name] = {++revision_, body["specification"], json()};
        note(kind, name, false);
        return {200, to_json(name, all[name])};
    }
    if (!all.contains(name))
        return {404, json::object()};
    object& o = all[name];
    std::uint64_t expected = 0;
    if (query.contains("revision"))
        expected = std::stoull(query.at("revision"));
    else if (body.is_object() && body.contains("metadata"))
        expected = body["metadata"].value("revision", std::uint64_t{0});
    if (expected != 0 && expected != o.revision)
        return {409, to_json(name, o)};
    if (m.method() == "DELETE")
    {
        o.revision = ++revision_;
        note(kind, name, true);
        json const gone = to_json(name, o);
        all.erase(name);
        return {200, gone};
    }
    json& part = is_status ? o.status : o.spec;
    json const& value = body[is_status ? "status" : "specification"];
    if (part != value)
    {
        part = value;
        o.revision = ++revision_;
        note(kind, name, false);
    }
    return {200, to_json(name, o)};
}

json default_bounds()
{
    return {{"seedLagS", 3},         {"addressReuseS", 2},
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
            {"reuseWindowS", 10},    {"sessionS", 5}};
}

int free_port(std::string const& ip, int type)
{
    int const fd = ::socket(AF_INET, type == 1 ? SOCK_STREAM : SOCK_DGRAM, 0);
    sockaddr_in a = address_of(ip, 0);
    socklen_t n = sizeof a;
    bool const is_bound =
        ::bind(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) == 0 &&
        getsockname(fd, reinterpret_cast<sockaddr*>(&a), &n) == 0;
    ::close(fd);
    if (!is_bound)
        throw std::runtime_error("no free port on " + ip);
    return ntohs(a.sin_port);
}

gateway::gateway(gateway_options options)
    : options_(std::move(options))
    , frontend_(free_port(options_.ip))
    , readiness_(free_port(options_.ip))
    , internal_(free_port(options_.ip, 2))
{
    auto const at = [&](int port)
    { return options_.ip + ":" + std::to_string(port); };
    json const settings = {
        {"nodeName", options_.name},
        {"role", "gateway"},
        {"machineClass", "edge"},
        {"serves", {"edge"}},
        {"ip", options_.ip},
        {"zone", options_.zone},
        {"region", "region-1"},
        {"internalPortRange", {internal_, internal_ + 15}},
        {"seedNodes", json::array()},
        {"bootstrap", true},
        {"heartbeatIntervalMs", 1200},
        {"listen",
         {{"frontend", at(frontend_)}, {"readiness", at(readiness_)}}},
        {"limits",
         {{"cpuShare", 0.19},
          {"cores", 1},
          {"memoryMb", 260},
          {"fileDescriptors", 4100},
          {"linkMbps", 1000.0},
          {"diskMb", 0}}},
        {"bounds", options_.bounds},
        {"platform",
         {{"address",
           options_.store_ip + ":" + std::to_string(options_.store_port)},
          {"form", "objects"},
          {"writesPerS", 400},
          {"readsPerS", 2000},
          {"historyS", 20},
          {"valueBytes", 1048576},
          {"ttlMinMs", 1000}}}};
    std::ofstream(options_.directory + "/" + options_.name + ".json")
        << settings.dump();
}

gateway::~gateway()
{
    if (pid_ > 0 && !has_ended())
    {
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, &status_, 0);
    }
}

void gateway::start()
{
    std::string const variable = "MARJORAMBEAM_CONFIG=" + options_.directory +
                                 "/" + options_.name + ".json";
    std::string const log = options_.directory + "/" + options_.name + ".log";
    std::string const path = "PATH=" + env_or("PATH", "/usr/bin:/bin");
    int const child = ::fork();
    if (child == 0)
    {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        int const fd = ::open(
            log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        ::dup2(fd, 1);
        ::dup2(fd, 2);
        std::array<char*, 2> argv{
            const_cast<char*>(options_.binary.c_str()), nullptr};
        std::array<char*, 3> envp{
            const_cast<char*>(variable.c_str()),
            const_cast<char*>(path.c_str()), nullptr};
        ::execve(options_.binary.c_str(), argv.data(), envp.data());
        ::_exit(127);
    }
    pid_ = child;
}

void gateway::signal(int number) const
{
    if (pid_ > 0)
        ::kill(pid_, number);
}

bool gateway::has_ended()
{
    if (pid_ > 0 && ::waitpid(pid_, &status_, WNOHANG) == pid_)
        pid_ = -1;
    return pid_ < 0;
}

bool gateway::wait_end(double limit_s)
{
    double const end = seconds_now() + limit_s;
    while (!has_ended() && seconds_now() < end)
        sleep_s(0.01);
    return pid_ < 0;
}

bool gateway::is_ready() const
{
    auto const c = connection::open(options_.ip, readiness_);
    if (!c)
        return false;
    c->send("GET /api/readiness HTTP/1.1\r\nHost: readiness\r\n"
            "Connection: close\r\n\r\n");
    auto const m = read_message(*c, 1, true);
    return m && m->status() == 200;
}

bool gateway::wait_ready(double limit_s) const
{
    double const end = seconds_now() + limit_s;
    while (seconds_now() < end)
    {
        if (is_ready())
            return true;
        sleep_s(0.05);
    }
    return false;
}

json route(
    std::string const& name, std::string const& kind,
    std::string const& service, int timeout_ms, int target_ms)
{
    return {
        {"name", "r-" + name},
        {"host", "shop.example"},
        {"pathPrefix", "/" + name + "/"},
        {"routeKind", kind},
        {"timeoutMs", timeout_ms},
        {"latencyTargetMs", target_ms},
        {"priority", 1},
        {"service", service},
        {"attempts", kind == "non_idempotent" ? 1 : 3},
        {"anonymous", false},
        {"resumable", false},
        {"gapTargetMs", 800}};
}

std::string request_text(
    std::string const& method, std::string const& target, std::string const& id,
    int remaining_ms, std::string const& key, std::string const& body,
    std::string const& more)
{
    std::string out =
        method + " " + target +
        " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + id +
        "\r\nDeadline-Remaining: " + std::to_string(remaining_ms) +
        "\r\nAuthorization: Bearer " + key + "\r\n" + more;
    if (method != "GET")
        out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return out + "\r\n" + body;
}

json config_document(json routes, json services)
{
    return {
        {"version", 7},
        {"routes", std::move(routes)},
        {"services", std::move(services)},
        {"limits",
         {{"maxHeaderBytes", 16384},
          {"maxBodyBytes", 4194304},
          {"headerTimeoutMs", 3000},
          {"idleTimeoutMs", 15000}}},
        {"tenants",
         {{{"name", "t1"}, {"apiKeys", {"key-1", "key-2"}}},
          {{"name", "t2"}, {"apiKeys", {"key-3"}}}}}};
}

json service_document(std::string const& name, int connection_limit)
{
    return {
        {"name", name},
        {"healthPath", "/health"},
        {"connectionLimit", connection_limit},
        {"protocol", "h1"},
        {"tls", false},
        {"coldStartS", 0.0},
        {"coldPerS", 0.0}};
}

json worker_entry(listener const& worker, std::string const& service, int slots)
{
    return {
        {"service", service},
        {"address", "127.0.0.1:" + std::to_string(worker.port())},
        {"zone", "zone-a"},
        {"version", "v1"},
        {"slots", slots},
        {"state", "ready"},
        {"coldRemainingMs", 0},
        {"born", 1764000000000},
        {"sequence", 1}};
}

std::string stream_head(message const& r)
{
    return "HTTP/1.1 200 OK\r\nAttempt-Id: " + r.field("attempt-id") +
           "\r\nServer-Signature: sig." + r.field("attempt-id") +
           "\r\nContent-Type: text/event-stream\r\n"
           "Transfer-Encoding: chunked\r\n\r\n";
}

std::string event_chunk(int id)
{
    std::string const event = "id: " + std::to_string(id) + "\ndata: piece\n\n";
    std::array<char, 20> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", event.size());
    return size.data() + event + "\r\n";
}

std::string worker_answer(message const& r, int status, std::string const& body)
{
    return "HTTP/1.1 " + std::to_string(status) +
           (status == 200 ? " OK" : " Status") +
           "\r\nAttempt-Id: " + r.field("attempt-id") +
           "\r\nServer-Signature: sig." + r.field("attempt-id") +
           "\r\nContent-Type: text/plain\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string env_or(char const* name, std::string const& other)
{
    char const* const v = std::getenv(name);
    return v == nullptr ? other : v;
}

std::string make_directory()
{
    std::string text =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(text.data()) == nullptr)
        throw std::runtime_error(std::strerror(errno));
    return text;
}

std::string loopback_net()
{
    int const n = ::getpid() % 50000;
    return "127." + std::to_string(20 + n / 250) + "." +
           std::to_string(1 + n % 250) + ".";
}

} // namespace review
