// One request of a caller from its arrival to its final answer.
//
// Example:
//   auto run = std::make_shared<request_run>(context, connection, ...);
//   run->start(now);
//
// Everything here runs on the loop's thread; nothing is thread-safe.
#pragma once

#include "event_loop/event_loop.hpp"
#include "gateway/client_connection.hpp"
#include "gateway/gateway_state.hpp"
#include "gateway/upstream_pool.hpp"
#include "http_stream/event_stream.hpp"
#include "log/log.hpp"

#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambeam
{

// Time below which another attempt can't succeed.
constexpr duration min_attempt_time = std::chrono::milliseconds(20);
// Refused callers spread over at least this time.
constexpr duration shortest_retry_after = std::chrono::milliseconds(100);

class request_run;

// What runs share.
struct run_context
{
    ev::loop_ref loop;
    gateway_state& state;
    call_protocol const& protocol;
    upstream_pool& pool;
    logger const& log;
    // Runs that wait for an upstream.
    std::list<std::shared_ptr<request_run>>& waiting;
};

class request_run : public std::enable_shared_from_this<request_run>
{
public:
    // Precondition: `route` belongs to `config`.
    request_run(
        run_context& context, std::shared_ptr<client_connection> client,
        std::shared_ptr<gateway_config const> config,
        gateway_route const& route, organisation const* owner,
        gateway_request&& request, steady_time now);
    ~request_run() = default;
    request_run(request_run const&) = delete;
    request_run& operator=(request_run const&) = delete;

    // Sends it to an upstream, lets it wait for one, or answers it.
    void start(steady_time now);
    // Tries again to find an upstream while it waits. Returns false when it
    // does not wait any more.
    bool try_again(steady_time now);
    // Ends it because the process stops.
    void cut(steady_time now);

    bool is_done() const
    {
        return is_done_;
    }
    int priority() const
    {
        return priority_;
    }

private:
    // What is known of the attempts so far.
    struct attempt_record
    {
        std::uint32_t sends = 0;
        std::uint32_t arrivals = 0; // sends that an upstream was reached by
        std::uint32_t runs = 0;     // attempts that may have run
        std::vector<std::string> tried;
        error_kind last_failure = error_kind::no_upstream;
    };

    // What the present choice of an upstream rested on, for the logs.
    struct choice_inputs
    {
        double load = 0;      // requests at the upstream as far as known
        duration load_age{0}; // of the upstream's own word
        duration expected{0}; // until the first event; engines only
        std::int64_t started_unix_ms = 0; // lifetime of the upstream
    };

    enum class send_outcome : std::uint8_t
    {
        sent,
        none,     // there is no upstream for it now
        finished, // it was answered
    };

    send_outcome send(steady_time now);
    upstream_selection choose(steady_time now);
    void set_model(std::size_t model);
    upstream_query question(version_rule const& rule) const;
    bool dispatch(upstream_selection const& c, steady_time now);
    void wait_or_refuse(steady_time now);
    duration longest_wait() const;
    duration time_to_come_back(error_kind kind, steady_time now) const;
    void release();
    void drop_work(double part);
    void on_head(http_response_head&& head);
    void note_words(upstream_answer const& a, steady_time now);
    void on_refused_by_upstream(upstream_answer const& a);
    bool ask_larger_model(upstream_answer const& a, steady_time now);
    void start_answer(http_response_head&& head);
    void on_body(std::string&& bytes);
    void on_whole();
    void on_broken(broken_answer const& why);
    void fail_attempt(
        error_kind kind, bool may_have_run, std::string const& why,
        steady_time now);
    bool may_retry(bool may_have_run, steady_time now);
    void deliver_whole(steady_time now);
    void judge_version(attempt_outcome outcome);
    void refuse(error_kind kind, duration retry_after, steady_time now);
    void give_up(error_kind kind, run_state ran, steady_time now);
    void answer_error(error const& e, steady_time now);
    void on_leave();
    void on_deadline();
    void on_attempt_timeout();
    void watch_attempt();
    void
    finish(log_event event, std::string_view kind, int status, steady_time now);
    void log_end(
        log_event event, std::string_view kind, int status, steady_time now);
    void note_unreachable_upstream(steady_time now);
    void note_passed();
    metric_scope scope() const;
    duration remaining(steady_time now) const;
    retry_budget_usage& budget();
    bool has_budget(extra_attempt_reason reason, steady_time now);
    gateway_service const* service() const;
    bool is_engine() const;

    run_context& context_;
    std::shared_ptr<client_connection> client_;
    std::shared_ptr<gateway_config const> config_;
    gateway_route const& route_;
    std::string organisation_;
    std::string organisation_class_;
    gateway_request request_;
    int priority_ = 0;
    steady_time started_;
    steady_time deadline_;
    std::uint64_t hash_ = 0;
    std::uint64_t fingerprint_ = 0;
    std::string service_;
    std::string affinity_;
    std::size_t model_ = 0;
    request_work work_;
    double work_left_ = 0;   // of the present attempt, at its upstream
    double work_before_ = 0; // expected until the first event
    attempt_record attempts_;
    choice_inputs inputs_;
    upstream_selection found_; // the last one without an upstream
    steady_time wait_until_{};
    bool is_waiting_ = false;
    bool is_done_ = false;
    bool has_answer_head_ = false; // the caller has the head of its answer
    run_state ran_ = run_state::not_run;

    std::shared_ptr<upstream_state> upstream_;
    std::shared_ptr<upstream_connection> connection_;
    steady_time sent_{};
    steady_time last_event_{};
    steady_time first_event_{};
    http_response_head head_;
    bool is_event_stream_ = false; // the present attempt's answer
    std::string body_;
    event_splitter events_;
    latency_histogram* pass_through_ = nullptr; // of this scope, once used
    loop_timer deadline_timer_;
    loop_timer attempt_timer_;
};

} // namespace marjorambeam
