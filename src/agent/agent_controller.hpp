// The agent: admits attempts from entries, queues them fairly, runs them at
// the upstream and reports how they ended.
//
// Example:
//   agent_state state(cluster, settings);
//   agent_controller agent(loop, state, hooks);
//   cluster.identity.address = agent.address();
//   agent.tick(steady_now()); // every 20 ms or so
//   agent.begin_shutdown(now);
//   if (agent.is_drained())
//       exit(0);
//
// Everything here runs on the loop's thread; nothing is thread-safe.
#pragma once

#include "agent/agent_hooks.hpp"
#include "agent/agent_state.hpp"
#include "agent/entry_connections.hpp"
#include "agent/upstream_calls.hpp"
#include "http_client/http_client.hpp"
#include "log/log.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace marjorambeam
{

class agent_controller
{
public:
    // `state` outlives this. Throws std::runtime_error when the address can't
    // be bound.
    agent_controller(ev::loop_ref loop, agent_state& state, agent_hooks hooks);
    agent_controller(agent_controller const&) = delete;
    agent_controller& operator=(agent_controller const&) = delete;
    ~agent_controller() = default;

    // The address that entries connect to.
    std::string const& address() const
    {
        return connections_.address();
    }

    // Does what is due: deadlines, silence, heartbeats, load reports, parked
    // and queued work. Call often, and after the configuration changed.
    void tick(steady_time now);

    // Refuses new work from now on; admitted work finishes. Repeated calls
    // have no effect.
    void begin_shutdown(steady_time now);

    // Whether all admitted work has ended and its answers have left.
    bool is_drained() const;

    // Ends all work because the wait for it is over; returns the number of
    // attempts that were cut.
    std::size_t cut_all(steady_time now);

private:
    // Steps of admission, in agent_admit.cpp.
    void on_work(std::uint64_t connection, work_request&& r);
    void consider(attempt& a, steady_time now);
    void reserve(attempt& a, steady_time now);
    void on_decision(
        std::uint64_t id, work_request const& r, once_decision const& d);
    void enqueue(attempt& a, steady_time now);
    void accept(attempt& a);
    void check_parked(steady_time now);

    // Steps of running, in agent_run.cpp.
    void dispatch(steady_time now);
    void start(attempt& a, steady_time now);
    void on_bytes(attempt& a, std::string_view bytes);
    void on_ended(attempt& a, result<http_reply> r);
    void forward(attempt& a, std::string const& bytes);
    void on_report(upstream_report report);
    void on_unreachable();
    void note_crash();
    void check_running(steady_time now);
    void drop_expired(steady_time now);
    bool may_start_next(steady_time now);

    // Ends of attempts, in agent_end.cpp. Each removes the attempt.
    void refuse(attempt& a, error const& e, std::string const& owner = {});
    void fail_attempt(attempt& a, error const& e, bool is_crash = false);
    void end_whole(attempt& a, http_reply const& r, steady_time now);
    void replay(attempt& a, once_response const& r);
    void stop_running(attempt& a, error const& e, bool is_crash = false);
    void report_failure(attempt& a, error const& e, bool is_crash);
    void settle(attempt& a, once_outcome const& outcome, bool is_whole);
    void remove(attempt& a);

    void on_cancel(std::uint64_t connection, cancel const& c);
    void on_connection_closed(std::uint64_t connection);
    void on_other(
        std::shared_ptr<frame_connection> const& connection, message const& m);
    bool has_work(std::uint64_t connection) const;
    attempt* find(
        std::uint64_t connection, std::string const& request_id,
        std::uint32_t number);

    agent_state& state_;
    agent_hooks hooks_;
    logger log_;
    http_client client_;
    upstream_calls calls_;
    entry_connections connections_;
    std::map<std::uint64_t, std::size_t> attempts_of_; // by connection
};

} // namespace marjorambeam
