// Stand-ins for the platform's store, workers and clients, and the gateway as a
// process beside them, for the cases of this review.
//
// Blocking sockets and one thread per connection. The stand-ins speak
// PROTOCOL.md; where it is silent they behave like a sound peer.
#pragma once

#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review
{

using json = nlohmann::json;
using headers = std::map<std::string, std::string>; // names in lower case

// Seconds since the start of the process, by the steady clock.
double seconds_now();
void sleep_s(double s);

// record.txt: one line for each request, answer, run and disruption.
class record
{
public:
    explicit record(std::string const& path);
    ~record();
    record(record const&) = delete;
    record& operator=(record const&) = delete;
    void line(std::string const& text);

private:
    std::mutex mutex_;
    std::FILE* file_;
};

// A blocking TCP connection. Not thread-safe.
class connection
{
public:
    explicit connection(int fd)
        : fd_(fd)
    {
    }
    ~connection();
    connection(connection const&) = delete;
    connection& operator=(connection const&) = delete;

    // Returns null if the address can't be reached.
    static std::unique_ptr<connection>
    open(std::string const& ip, int port, int receive_buffer = 0);
    bool send(std::string const& bytes);
    // Appends what arrives to buffer(). Returns false at the end, a reset or
    // the time limit.
    bool receive(double limit_s);
    std::string& buffer()
    {
        return buffer_;
    }
    // Why receive() returned false: "closed", "reset" or "time limit".
    std::string const& end() const
    {
        return end_;
    }
    void close();
    void reset();
    int fd() const
    {
        return fd_;
    }

private:
    int fd_;
    std::string buffer_;
    std::string end_;
};

struct message
{
    std::string start; // request or status line
    headers fields;
    std::string body;

    std::string field(std::string const& name) const;
    int status() const;
    std::string method() const;
    std::string target() const;
};

// Reads one message; a body by its length, in chunks, or to the end of the
// channel (answers only). Returns nothing if it is incomplete.
std::optional<message>
read_message(connection& c, double limit_s, bool is_answer);

// Listens on an address; calls `serve` for each connection on its own thread.
class listener
{
public:
    using handler = std::function<void(connection&)>;
    listener(std::string const& ip, handler serve);
    ~listener();
    listener(listener const&) = delete;
    listener& operator=(listener const&) = delete;
    int port() const
    {
        return port_;
    }

private:
    int fd_;
    int port_ = 0;
    handler serve_;
    std::thread thread_;
};

// The platform's store. Thread-safe.
class store
{
public:
    explicit store(std::string const& ip);
    // Another address of the store, so that it can turn one machine away.
    // `is_refused` is asked before each call and when a watch ends.
    int add_port(std::function<bool()> is_refused);

    // What the operator and the workers write. Returns after the ack.
    void put(std::string const& kind, std::string const& name, json spec);
    void erase(std::string const& kind, std::string const& name);
    json status(std::string const& kind, std::string const& name);
    std::vector<std::string> names(std::string const& kind);
    // Drops the history and cuts the watches that wait.
    void drop_history();
    void wake();

private:
    struct object
    {
        std::uint64_t revision = 0;
        json spec;
        json status;
    };
    struct change
    {
        std::uint64_t revision;
        std::string kind;
        json event;
    };
    json to_json(std::string const& name, object const& o) const;
    void note(std::string const& kind, std::string const& name, bool deleted);
    void serve(connection& c, std::function<bool()> const& is_refused);
    std::pair<int, json> answer(
        message const& m, std::string const& path, headers const& query,
        std::function<bool()> const& is_refused);

    std::string ip_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t revision_ = 10;
    std::uint64_t oldest_ = 0;
    std::map<std::string, std::map<std::string, object>> kinds_;
    std::vector<change> history_;
    std::vector<std::unique_ptr<listener>> listeners_;
};

struct gateway_options
{
    std::string binary; // of the deploy file
    std::string directory;
    std::string name;
    std::string ip;
    std::string zone = "zone-a";
    std::string store_ip;
    int store_port = 0;
    json bounds;
};

// Bounds of the small sites' sheets.
json default_bounds();

// The gateway as a process, started as the deploy file says. Not thread-safe.
class gateway
{
public:
    explicit gateway(gateway_options options);
    ~gateway();
    gateway(gateway const&) = delete;
    gateway& operator=(gateway const&) = delete;

    void start();
    void signal(int number) const;
    // Waits for its end. Returns false at the time limit.
    bool wait_end(double limit_s);
    bool has_ended();
    std::string const& ip() const
    {
        return options_.ip;
    }
    int port() const
    {
        return frontend_;
    }
    // Whether it answers 200 on its readiness address.
    bool is_ready() const;
    bool wait_ready(double limit_s) const;

private:
    gateway_options options_;
    int frontend_ = 0;
    int readiness_ = 0;
    int internal_ = 0;
    int pid_ = -1;
    int status_ = 0;
};

// A free port of an address.
int free_port(std::string const& ip, int type = 1);

json route(
    std::string const& name, std::string const& kind,
    std::string const& service, int timeout_ms, int target_ms);

// A request of a client with the key "key-1".
std::string request_text(
    std::string const& method, std::string const& target, std::string const& id,
    int remaining_ms, std::string const& key, std::string const& body = {},
    std::string const& more = {});

// A config with the tenants t1 (key-1, key-2) and t2 (key-3).
json config_document(json routes, json services);
json service_document(std::string const& name, int connection_limit);
// What a worker writes to the store about itself.
json worker_entry(
    listener const& worker, std::string const& service, int slots);

// Head of a worker's stream, and one event of it.
std::string stream_head(message const& r);
std::string event_chunk(int id);
constexpr char const* last_chunk = "0\r\n\r\n";

// A whole, signed answer of a worker.
std::string
worker_answer(message const& r, int status, std::string const& body);

std::string env_or(char const* name, std::string const& other);
std::string make_directory();
// The first three parts of a loopback network of this process, with a dot.
std::string loopback_net();

// One run of a case: the store, the gateways and the record. Without the
// disruption if TROUBLE is 0.
class trial
{
public:
    trial();
    trial(trial const&) = delete;
    trial& operator=(trial const&) = delete;

    gateway& add_gateway(std::string const& zone, int store_port);
    // Settings and logs of the gateways.
    std::string const& directory() const
    {
        return directory_;
    }
    // Waits until all gateways are ready.
    bool wait_ready();
    // Ends all processes that were started, and this one: 1 if the rule was
    // broken, 0 if it held, 2 if the case couldn't run.
    [[noreturn]] void end(int code);

    bool const is_troubled;
    record log;

private:
    std::string net_ = loopback_net();
    std::string directory_;

public:
    store platform;
    std::vector<std::unique_ptr<gateway>> fleet;
};

} // namespace review
