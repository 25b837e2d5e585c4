// A small fleet of the real binaries on loopback addresses, for tests that
// kill, freeze and cut them.
//
// Example:
//   process_fleet fleet({.entries = 2, .upstreams = {{}, {}}});
//   auto call = fleet.ask(0, {.prompt = "p", .tokens = 100});
//   fleet.process("agent-0").signal(SIGKILL);
//   REQUIRE(fleet.wait([&] { return call->is_done(); }, seconds(5)));
//   CHECK(call->text() == fleet_answer("assess@v1", "p", 100));
//
// Processes are named object-api, instance-list, entry-N, agent-N, engine-N or
// service-N, and relay-N. The customer "havbris" may use both models and the
// service "line-control"; "nordlaks" only the version "assess@v2".
// Not thread-safe; one loop carries the test's own requests.
#pragma once

#include "base/time.hpp"
#include "child_process.hpp"
#include "http_client/http_client.hpp"

#include <ev++.h>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambeam
{

struct upstream_plan
{
    std::string zone = "zone-1";
    bool is_service = false;
    bool has_relay = false; // between the entries and its agent
    int cold_concurrency = 16;
    int warm_concurrency = 64;
    std::vector<std::string> flags{}; // of the engine or service
};

struct fleet_plan
{
    int entries = 1;
    std::vector<upstream_plan> upstreams;
    std::vector<std::string> entry_flags{};
    std::vector<std::string> agent_flags{};
    // Zone of each entry; further ones are in zone-1.
    std::vector<std::string> entry_zones{};
};

// One chat request of a customer.
struct chat_call
{
    std::string prompt;
    int tokens = 16;
    bool is_stream = true;
    std::string model = "assess";
    std::string key = "havbris-key";
};

// One request under way or answered.
struct fleet_call
{
    std::optional<result<http_reply>> reply;
    std::string body;
    steady_time sent_at{};
    steady_time done_at{};

    bool is_done() const
    {
        return reply.has_value();
    }
    // HTTP status, or 0 without a response.
    int status() const
    {
        return reply && *reply ? (*reply)->status : 0;
    }
    std::string header(std::string_view name) const;
    // Whether the response came to its end; a stream ends with "[DONE]".
    bool is_whole() const;
    // The tokens of a whole or partial answer.
    std::string text() const;
    // The field of the error object, such as "kind" or "run"; else empty.
    std::string error_field(char const* name) const;
};

// What an engine answers when nothing fails.
std::string
fleet_answer(std::string_view version, std::string_view prompt, int tokens);

class process_fleet
{
public:
    // Starts everything and waits until each daemon knows all others and the
    // configuration. Throws std::runtime_error when that takes over 15 s.
    explicit process_fleet(fleet_plan plan);

    child_process& process(std::string_view name);
    std::string url(std::string_view name, std::string_view field = "http");

    // Starts a process again with its addresses, and waits until it listens.
    void start_again(std::string_view name);

    // Runs the loop until `is_met`, and returns false after `limit`.
    bool wait(std::function<bool()> const& is_met, duration limit);

    std::shared_ptr<fleet_call> send(http_call call);
    std::shared_ptr<fleet_call> ask(int entry, chat_call const& call);
    // A plain service call; a key is sent as Idempotency-Key.
    std::shared_ptr<fleet_call>
    call_service(int entry, std::string const& body, std::string const& key);
    // Waits for the call and returns it; fails the test when it takes over
    // `limit`.
    std::shared_ptr<fleet_call>
    finish(std::shared_ptr<fleet_call> call, duration limit);

    // GET and PUT with JSON; fail the test unless the status is 200.
    nlohmann::json get(std::string const& url);
    void put(std::string const& url, nlohmann::json const& body);
    // What the entry decided for a call, for messages of failed checks.
    std::string explain(int entry, fleet_call const& call);
    // A number of an engine's or service's GET /counts.
    std::uint64_t count(std::string const& process, char const* name);
    // The sum of a counter's lines in a daemon's /metrics whose name and label
    // contain `text`.
    double metric(std::string const& daemon, std::string_view text);
    // The generation in force at a daemon.
    std::uint64_t generation(std::string const& daemon);
    // Names of all daemons that were started.
    std::vector<std::string> const& daemons() const
    {
        return daemons_;
    }

    // Starts marjorambeam-ctl; the caller waits for its exit code.
    std::unique_ptr<child_process> ctl(std::vector<std::string> words);
    // Runs it to its end and returns its exit code.
    int run_ctl(std::vector<std::string> words);
    // Writes a file for `ctl apply` and returns its path.
    std::string
    write_file(std::string const& name, nlohmann::json const& content);

    ev::loop_ref loop()
    {
        return loop_;
    }

private:
    void start(std::string const& name, std::vector<std::string> command);
    std::string zone_of_entry(std::size_t number) const;
    void start_fakes();
    void start_daemons();
    void register_daemons();
    // What daemons lack until all are ready and know one another; empty then.
    std::string not_ready();
    void run_for(duration time);
    void wait_listening(std::vector<std::string> const& names);

    fleet_plan plan_;
    ev::dynamic_loop loop_;
    http_client client_;
    std::string directory_;
    std::map<std::string, std::unique_ptr<child_process>, std::less<>>
        processes_;
    std::vector<std::string> daemons_;
    int ctl_runs_ = 0;
};

} // namespace marjorambeam
