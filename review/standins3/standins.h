// Stand-ins for the cases of the third review: the platform's store, workers,
// clients, and gateways as child processes. Blocking sockets and threads; all
// addresses are loopback addresses.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

namespace review
{

using nlohmann::json;
using clock_type = std::chrono::steady_clock;
using time_point = clock_type::time_point;
using std::chrono::milliseconds;

inline time_point now()
{
    return clock_type::now();
}
void sleep_ms(int ms);
void sleep_until(time_point at);
std::int64_t unix_ms();

// What was sent, answered and run, with the time since the case began.
class record_file
{
public:
    explicit record_file(std::string const& path);
    void write(std::string const& line);
    double seconds() const;

private:
    std::mutex mutex_;
    std::ofstream out_;
    time_point begun_ = now();
};

struct message
{
    std::string first_line;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(std::string const& name) const;
    std::string method() const;
    std::string target() const;
    int status() const;
};

// A connected socket. One thread reads; close() may be called by another.
class channel
{
public:
    explicit channel(int fd)
        : fd_(fd)
    {
    }
    ~channel();
    channel(channel const&) = delete;
    channel& operator=(channel const&) = delete;

    bool send(std::string const& bytes);
    // Reads the head of a message, and a body that has a length.
    std::optional<message> read_message(int timeout_ms);
    // Reads a whole response, also one in chunks. Nothing if it is incomplete.
    // `on_head` is called once the head is there.
    std::optional<message> read_response(int timeout_ms);
    // Ends both directions, with a reset if `resets`.
    void end(bool resets);
    bool peer_has_closed() const;

private:
    bool fill(time_point until);

    int fd_;
    std::string input_;
    std::atomic<bool> is_ended_{false};
};

std::shared_ptr<channel> connect_to(std::string const& address, int timeout_ms);

// Accepts channels and runs a function for each on a thread of its own.
class server
{
public:
    using handler = std::function<void(std::shared_ptr<channel> const&)>;

    // Port 0: a free one.
    server(std::string ip, int port, handler on_channel);
    ~server();
    std::string address() const
    {
        return ip_ + ":" + std::to_string(port_);
    }
    int port() const
    {
        return port_;
    }
    // Stops listening and ends all channels.
    void stop(bool resets);

private:
    void accept_all();

    std::string ip_;
    int port_ = 0;
    int fd_ = -1;
    handler on_channel_;
    std::atomic<bool> is_stopped_{false};
    std::mutex mutex_;
    std::list<std::weak_ptr<channel>> channels_;
    std::list<std::thread> threads_;
    std::thread acceptor_;
};

// The platform's store.
class store
{
public:
    explicit store(std::string const& ip);
    ~store();

    std::string address() const
    {
        return server_->address();
    }
    void put(std::string const& kind, std::string const& name, json spec);
    void erase(std::string const& kind, std::string const& name);
    json status(std::string const& kind, std::string const& name);
    bool contains(std::string const& kind, std::string const& name);
    // Lists that may be stale are behind by this much.
    void set_stale(int ms)
    {
        stale_ms_ = ms;
    }
    // Watches hear nothing until forget_history(), which drops all history and
    // cuts the watches that wait.
    void make_deaf();
    // Nothing is answered, also to calls that wait.
    void set_silent(bool is_silent);
    void forget_history();

private:
    struct object
    {
        std::uint64_t revision = 0;
        json spec;
        json status;
    };
    struct change
    {
        std::uint64_t revision = 0;
        std::string kind;
        std::string name;
        bool is_deleted = false;
        object state;
        time_point at;
    };

    void serve(std::shared_ptr<channel> const& c);
    std::pair<int, json> write(message const& m, std::string const& path);
    json list(std::string const& kind, bool is_stale, std::string const& after);
    bool watch(
        channel& c, std::string const& kind, std::uint64_t after, int wait_ms);
    void note(std::string const& kind, std::string const& name, bool deleted);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::map<std::string, object>> kinds_;
    std::vector<change> log_;
    std::uint64_t revision_ = 1;
    std::uint64_t oldest_ = 0;
    std::uint64_t cuts_ = 0;
    bool is_deaf_ = false;
    bool is_silent_ = false;
    bool is_stopped_ = false;
    std::atomic<int> stale_ms_{0};
    std::unique_ptr<server> server_;
};

// A worker of a service, with its entry in the store.
class worker
{
public:
    struct options
    {
        std::string id;
        std::string ip;
        std::string zone;
        std::string service;
        int slots = 6;
        int heartbeat_ms = 1200;
    };
    // Answers a request that names this worker. Returns false to end the
    // channel.
    using handler = std::function<bool(
        worker&, channel&, message const&, std::uint64_t number)>;

    worker(store& s, options o, handler on_request);
    ~worker();

    options const& what() const
    {
        return options_;
    }
    void start();
    // All channels are reset and new ones refused.
    void crash();
    // Starts again with a new lifetime under the same id.
    void start_again(int cold_ms);
    void become_cold(int cold_ms);
    int cold_ms_left() const;
    bool is_up() const
    {
        return is_up_;
    }
    void write_entry();

private:
    void serve(std::shared_ptr<channel> const& c);
    void beat();

    store& store_;
    options options_;
    handler on_request_;
    std::mutex mutex_;
    std::unique_ptr<server> server_;
    std::list<std::unique_ptr<server>> ended_;
    int port_ = 0;
    std::atomic<bool> is_up_{false};
    std::atomic<bool> is_over_{false};
    std::int64_t born_ = 0;
    std::atomic<std::int64_t> sequence_{0};
    std::atomic<time_point> cold_until_{};
    std::atomic<time_point> next_beat_{};
    std::atomic<std::uint64_t> channels_{0};
    std::thread beats_;
};

// A process of the project, started as the deploy file says.
class gateway
{
public:
    struct options
    {
        std::string name;
        std::string ip;
        std::string zone;
        std::vector<std::string> contracts;
    };
    gateway(store const& s, options o, std::string directory);
    ~gateway();

    void start();
    void signal(int number) const;
    // Sends SIGTERM, and SIGKILL after the grace.
    void stop();
    void kill();
    // Waits until it is ready.
    bool wait_ready(int timeout_ms) const;
    bool is_ready() const;
    bool is_running();
    std::string const& address() const
    {
        return frontend_;
    }
    std::string const& name() const
    {
        return options_.name;
    }

private:
    options options_;
    std::string directory_;
    std::string frontend_;
    std::string readiness_;
    json settings_;
    pid_t pid_ = -1;
};

std::string head_of(int status, std::string const& attempt, bool is_signed);
std::string event(int id);
std::string chunk(std::string const& bytes);

struct route_options
{
    std::string name;
    std::string prefix;
    std::string kind;
    std::string service;
    int attempts = 1;
    int timeout_ms = 600;
    int target_ms = 100;
    bool is_resumable = false;
};
json route_of(route_options const& r);
json service_of(std::string const& name, bool is_engine, int slots);
json config_of(json routes, json services);

constexpr char const* host = "ficu95.example";
constexpr char const* api_key = "n2ctnfzs989anu6wsjnb";

// A distinct part of 127.0.0.0/8 for this process.
std::string address_prefix();
std::string temporary_directory();
void remove_directory(std::string const& path);
bool is_disrupted(); // TROUBLE is not 0

} // namespace review
