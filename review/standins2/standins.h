// Stand-ins of the second review: the platform's store, workers, clients, and
// the gateway as a process. One thread for each connection; everything listens
// on loopback addresses.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review
{

using nlohmann::json;
using clock_type = std::chrono::steady_clock;
using std::chrono::milliseconds;

// Time since the start of the run.
double now_s();
void sleep_ms(int ms);
// Whether the disruption of the case is on (TROUBLE is not 0).
bool has_trouble();

// Lines of record.txt, each with its time. Thread-safe.
class record_file
{
public:
    void open(std::string const& path);
    void line(std::string const& text);

private:
    std::mutex mutex_;
    FILE* file_ = nullptr;
};
extern record_file record;

using headers = std::vector<std::pair<std::string, std::string>>;
std::string find(headers const& h, std::string_view name);

struct http_message
{
    std::string first;  // method, or version
    std::string second; // target, or status
    headers fields;
    std::string body;
    bool is_whole = false; // the body came to its end

    int status() const;
    std::string header(std::string_view name) const
    {
        return find(fields, name);
    }
};

// A connected socket with buffered reads. The destructor closes it.
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

    // Null if the address refuses or doesn't answer in time.
    static std::shared_ptr<connection>
    to(std::string const& address, int timeout_ms = 1000);

    bool write(std::string_view bytes);
    // Reads until `timeout_ms` at most; false at the end or on a timeout.
    bool read_some(int timeout_ms);
    std::string& buffer()
    {
        return buffer_;
    }
    // Reads a message with its body. `is_response` frames a body without a
    // length by the end of the connection. Returns false if no whole head came.
    bool read_message(
        http_message& m, bool is_response, int timeout_ms,
        std::function<void(std::string_view)> const& on_body = {});
    bool has_ended() const;
    // Ends both directions; the descriptor is closed by the destructor.
    void shut();
    void reset();

private:
    int fd_;
    std::string buffer_;
};

// Accepts connections and runs `serve` on a thread for each.
class listener
{
public:
    using handler = std::function<void(std::shared_ptr<connection> const&)>;

    listener(std::string const& ip, int port, handler serve);
    ~listener();
    std::string address() const;
    // Refuses new connections and ends all open ones.
    void stop();
    void start();
    bool is_listening() const
    {
        return fd_ >= 0;
    }

private:
    void accept_all(int fd);

    std::string ip_;
    int port_;
    handler serve_;
    std::mutex mutex_;
    std::list<std::weak_ptr<connection>> open_;
    std::atomic<int> fd_{-1};
};

// The platform's store.
class store
{
public:
    explicit store(std::string const& ip);
    std::string address() const
    {
        return listeners_.front()->address();
    }
    void put(std::string const& kind, std::string const& name, json spec);
    void erase(std::string const& kind, std::string const& name);
    // Another address of the same store, for one machine.
    std::string add_address(std::string const& ip);
    // Cuts the path between that address and its machine. What is sent on it
    // meanwhile arrives when TCP sends it again.
    void set_cut(std::string const& address, bool is_cut);

private:
    struct object
    {
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        json specification;
        json status;
    };
    struct change
    {
        std::uint64_t revision;
        std::string kind;
        json event;
    };
    using flag = std::shared_ptr<std::atomic<bool>>;

    void serve(std::shared_ptr<connection> const& c, flag const& is_cut);
    std::pair<int, json> answer(http_message const& m);
    std::pair<int, json> write(
        http_message const& m, std::string const& kind, std::string const& name,
        bool is_status);
    json to_json(std::string const& name, object const& o) const;
    void note(
        std::string const& kind, std::string const& name, object const& o,
        bool is_deleted);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t revision_ = 10;
    std::map<std::string, std::map<std::string, object>> kinds_;
    std::vector<change> history_;
    std::map<std::string, flag> cuts_; // by address
    std::vector<std::unique_ptr<listener>> listeners_;
};

// A worker in the store: its entry, and what it does with a request.
class worker
{
public:
    // Serves one request on its connection; returns whether to keep it.
    using handler = std::function<bool(
        worker&, std::shared_ptr<connection> const&, http_message const&)>;

    worker(
        store& s, std::string const& ip, std::string service, std::string zone,
        int slots, handler serve);
    // Writes the entry of the current lifetime.
    void enlist();
    // Ends all connections and refuses new ones, as a killed process does. Its
    // entry is removed after three heartbeats of silence; the next lifetime
    // begins after `down_ms`.
    void crash(int down_ms);
    std::string id() const;
    bool is_up() const
    {
        return listener_->is_listening();
    }
    std::string address() const
    {
        return listener_->address();
    }
    // Lifetime, which work that was begun in an earlier one must not outlive.
    int lifetime() const
    {
        return lifetime_;
    }
    std::string const& service() const
    {
        return service_;
    }
    int slots() const
    {
        return slots_;
    }
    // Work that runs and waits now; the case counts it.
    std::atomic<int> running{0};
    std::atomic<int> waiting{0};
    std::mutex mutex;
    std::condition_variable freed;

private:
    store& store_;
    std::string service_;
    std::string zone_;
    int slots_;
    handler serve_;
    mutable std::mutex id_mutex_;
    std::string id_;
    std::int64_t born_ = 0;
    std::atomic<int> lifetime_{0};
    std::unique_ptr<listener> listener_;
};

// A gateway process, started by the command of the deploy file.
class gateway
{
public:
    gateway(
        std::string name, std::string ip, std::string zone,
        std::string const& store_address, std::string const& directory,
        json const& more = json::object());
    ~gateway();
    void start();
    void signal(int n);
    // Waits for the process to end; returns false after the time.
    bool wait_end(int timeout_ms);
    bool wait_ready(int timeout_ms);
    std::string const& frontend() const
    {
        return frontend_;
    }
    std::string const& name() const
    {
        return name_;
    }
    int pid() const
    {
        return pid_;
    }

private:
    std::string name_;
    std::string frontend_;
    std::string readiness_;
    std::string directory_;
    std::string settings_;
    int pid_ = -1;
};

// A loopback address that no other run uses: 127.A.B.`host`.
std::string loopback(int host);
// A free temporary folder.
std::string make_temporary_folder();
// A configuration with the routes and services of a small deployment; key
// "key-1" belongs to tenant "tenant-1", and so on up to "key-4".
json make_config();
std::string attempt_id();

// A request as clients send it.
std::string request_text(
    std::string const& method, std::string const& target,
    std::string const& attempt, std::string const& key, int remaining_ms,
    std::string const& body = {}, headers const& more = {});

// Ends the run with 2 when it takes too long, or on SIGTERM and SIGINT. Called
// first, before any thread is started.
void limit_run();

// Prints the result, ends all processes and leaves with the exit code.
[[noreturn]] void finish(int code, std::string const& text);

} // namespace review
