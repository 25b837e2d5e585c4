// Request of a caller, from its arrival to its final response.
//
// Example:
//   auto run = std::make_shared<proxied_request>(context, connection, ...);
//   run->start(now);
//
// Everything here runs on the loop's thread; nothing is thread-safe.
#pragma once

#include "event_loop/event_loop.hpp"
#include "gateway/attempt_delay.hpp"
#include "gateway/buffer_pool.hpp"
#include "gateway/client_connection.hpp"
#include "gateway/gateway_state.hpp"
#include "gateway/limit_controller.hpp"
#include "gateway/model_choice.hpp"
#include "gateway/quarantine_controller.hpp"
#include "gateway/request_placement.hpp"
#include "gateway/upstream_pool.hpp"
#include "http_stream/event_stream.hpp"
#include "log/log.hpp"

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace marjorambeam
{

// Minimum time before the deadline at which another attempt is worthwhile.
constexpr duration min_attempt_time = std::chrono::milliseconds(20);

class proxied_request;

// State shared by all requests.
struct proxied_request_context
{
    ev::loop_ref loop;
    gateway_state& state;
    request_protocol const& protocol;
    upstream_pool& pool;
    logger const& log;
    // Requests queued for an upstream.
    std::list<std::shared_ptr<proxied_request>>& waiting;
    limit_controller& limits;
    quarantine_controller& quarantine;
    // Requests that wait for a token of a request limit, by service.
    std::map<std::string, std::size_t>& limit_waiters;
    buffer_pools& pools;
};

// Counts a waiting request while it exists. Not thread-safe.
class counted_waiter
{
public:
    // Precondition: `count` outlives the waiter.
    explicit counted_waiter(std::size_t& count)
        : count_(count)
    {
        ++count_;
    }
    ~counted_waiter()
    {
        --count_;
    }
    counted_waiter(counted_waiter const&) = delete;
    counted_waiter& operator=(counted_waiter const&) = delete;

private:
    std::size_t& count_;
};

// Forwards one request, with retries. Not thread-safe.
class proxied_request : public std::enable_shared_from_this<proxied_request>
{
public:
    // `unread` is how long the request waited in the kernel before it was read;
    // its time counts from its arrival. Preconditions: `route` belongs to
    // `config`; `context` outlives the request. Loop thread only, like all
    // members.
    proxied_request(
        proxied_request_context& context,
        std::shared_ptr<client_connection> client,
        std::shared_ptr<gateway_config const> config,
        gateway_route const& route, organisation const* owner,
        gateway_request&& request, duration unread, steady_time now);
    ~proxied_request() = default;
    proxied_request(proxied_request const&) = delete;
    proxied_request& operator=(proxied_request const&) = delete;

    // Sends the request to an upstream, queues it or responds with an error.
    // Preconditions: held by a shared_ptr; not started.
    void start(steady_time now);
    // Retries the selection of an upstream for a queued request. `before` is
    // how many requests of its service wait that go first. Returns false when
    // the request is no longer queued. Precondition: started.
    bool retry_selection(std::size_t before, steady_time now);
    // Aborts the request because the process stops. Precondition: started.
    void abort_request(steady_time now);
    // Ends the request if it must not be sent any more and no upstream has
    // begun to answer it. Precondition: started.
    void abort_if_quarantined(steady_time now);

    // Whether the request has ended.
    bool is_done() const
    {
        return is_done_;
    }
    // Requests with a lower value are dispatched first.
    int priority() const
    {
        return priority_;
    }
    // The service that its route picked for it.
    std::string const& service_name() const
    {
        return service_;
    }
    // Whether its service is under overload control.
    bool is_overload_controlled() const;
    // The inputs of its place among those that wait. The views are valid as
    // long as the request.
    waiting_request waiting_inputs(steady_time now) const;

private:
    // Record of the attempts so far.
    struct attempt_history
    {
        std::uint32_t sends = 0;
        std::uint32_t arrivals = 0; // sends that reached an upstream
        std::uint32_t runs = 0;     // attempts that may have run
        std::vector<std::string> tried;
        std::vector<std::string> refused_by;    // full, plain upstreams
        std::vector<std::uint64_t> connections; // see connection_query
        error_kind last_failure = error_kind::no_upstream;
    };

    // Inputs of the current upstream selection, for the logs.
    struct selection_inputs
    {
        double load = 0;      // estimated requests at the upstream
        duration load_age{0}; // of the load that the upstream reported
        duration expected{0}; // until the first event; engines only
        std::int64_t started_unix_ms = 0; // incarnation of the upstream
    };

    // After the request's arrival.
    struct predicted_response
    {
        duration start{0};
        duration end{0};
    };

    // When the request would start and end, as predicted when it had to wait.
    struct wait_prediction
    {
        steady_time at{};
        admission_times times;
    };

    enum class send_outcome : std::uint8_t
    {
        sent,
        none,     // no upstream is available now
        finished, // a response was sent
    };

    send_outcome send(steady_time now);
    void take_trial_if_due(steady_time now);
    bool is_refused_by_quarantine(steady_time now);
    void refuse_quarantined(
        std::string_view reason, std::uint64_t part, duration retry_after,
        steady_time now);
    bool record_possible_crash(
        std::shared_ptr<upstream_state> const& upstream, error_kind kind,
        steady_time now);
    void retry_or_give_up(error_kind kind, bool may_have_run, steady_time now);
    void record_survived_attempt(steady_time now);
    upstream_selection select_next_upstream(steady_time now);
    upstream_selection
    select_except(std::span<std::string const> excluded, steady_time now);
    void set_model(std::size_t model);
    std::shared_ptr<upstream_connection>
    take_connection(upstream_selection const& c, steady_time now);
    void dispatch(
        upstream_selection const& c,
        std::shared_ptr<upstream_connection> connection, steady_time now);
    void use_limit_token(steady_time now);
    bool cannot_succeed(steady_time now);
    duration expected_service_time(steady_time now) const;
    duration affordable_wait(steady_time now) const;
    std::size_t count_waiting_before(steady_time now) const;
    bool has_overload_refusal(steady_time now);
    steady_time latest_wait(steady_time now) const;
    bool is_early_return(steady_time now) const;
    duration until_notice_ends(error_kind kind, steady_time now) const;
    duration take_place(
        double rate, duration until_room, duration expected, steady_time now);
    std::optional<duration> place_after(error_kind kind, steady_time now);
    void predict_attempt(steady_time now);
    int urgency(steady_time now) const;
    void record_service_response(upstream_response const& a, steady_time now);
    std::optional<predicted_response> predicted_times() const;
    void record_start_error(steady_time now);
    void recycle_connection(http_response_head const& head);
    std::size_t take_limit_slot();
    void queue_or_refuse(steady_time now);
    duration max_queue_time(steady_time now) const;
    duration retry_after_for(error_kind kind, steady_time now);
    void release();
    void release_work(double part);
    void on_head(http_response_head&& head);
    void record_upstream_notices(upstream_response const& a, steady_time now);
    void record_upstream_limit(upstream_response const& a, steady_time now);
    void on_upstream_refusal(upstream_response const& a);
    bool try_larger_model(upstream_response const& a, steady_time now);
    bool is_worth_larger_model(
        escalation_query const& q, upstream_selection const& c,
        larger_model_delay const& t, std::optional<model_choice_reason>& spared,
        steady_time now);
    completion_query completion_query_for(
        std::size_t model, double requests, duration first_event,
        steady_time now) const;
    void record_stream_end(bool is_complete, steady_time now);
    void record_attempt_error(bool is_complete, steady_time now);
    void start_response(http_response_head&& head);
    void claim_response(std::size_t bytes, steady_time now);
    void set_pause();
    void on_body(std::string&& bytes);
    void on_late_response(std::string const& attempt_id);
    void on_complete();
    void on_response_failure(response_failure const& why);
    void fail_attempt(
        error_kind kind, bool may_have_run, std::string const& why,
        steady_time now);
    bool may_retry(bool may_have_run, steady_time now);
    void deliver_complete_response(steady_time now);
    void record_version_outcome(attempt_outcome outcome);
    void record_timing(timing_kind kind, duration took, steady_time now);
    void record_event_gap(std::uint64_t events, steady_time now);
    std::optional<response_forecast>
    response_forecast_now(steady_time now) const;
    bool is_refused_by_engines(upstream_selection const& c, steady_time now);
    void refuse_by_engines(
        admission_times const& times, duration until_room, steady_time now);
    double engine_return_rate(steady_time now) const;
    void record_engine_completion(steady_time now);
    void record_engine_pace(std::uint64_t events, steady_time now);
    void refuse(error_kind kind, duration retry_after, steady_time now);
    void give_up(error_kind kind, run_state ran, steady_time now);
    void respond_with_error(error const& e, steady_time now);
    void on_disconnect();
    void on_connected();
    bool end_if_caller_left(steady_time now);
    void leave(steady_time now);
    void on_deadline();
    void on_attempt_timeout();
    void on_delay(attempt_delay delay, steady_time now);
    replacement_options replacement_for_current(steady_time now);
    bool can_end_in_stop(steady_time now) const;
    bool is_suspected() const;
    void arm_attempt_timer();
    void
    finish(log_event event, std::string_view kind, int status, steady_time now);
    void count_admission(bool is_served, steady_time now);
    void log_end(
        log_event event, std::string_view kind, int status, steady_time now);
    void record_unreachable_upstream(upstream_state& u, steady_time now);
    void record_pass_through_time();
    metric_scope scope() const;
    duration remaining(steady_time now) const;
    retry_budget_usage& budget();
    bool has_budget(extra_attempt_reason reason, steady_time now);
    gateway_service const* service() const;
    bool is_engine() const;

    proxied_request_context& context_;
    std::shared_ptr<client_connection> client_;
    std::shared_ptr<gateway_config const> config_;
    gateway_route const& route_;
    std::string organisation_;
    std::string organisation_class_;
    gateway_request request_;
    int priority_ = 0;
    duration unread_;
    steady_time started_;
    steady_time deadline_;
    std::uint64_t hash_ = 0;
    request_traits traits_;
    std::optional<quarantine_key> trial_; // the request is sent on trial
    // The current attempt has been answered for long enough that the request
    // did not crash its upstream.
    bool has_survived_ = false;
    bool has_attempt_head_ = false; // of the current attempt's answer
    // The delay for which the current attempt was last said to go on.
    std::pair<attempt_delay, wait_reason> waits_for_{};
    // Why the attempt before failed, while the next one waits until it is known
    // whether the upstream crashed.
    std::optional<error_kind> suspended_failure_;
    steady_time retry_at_{};
    std::string service_;
    std::string affinity_;
    std::size_t model_ = 0;
    request_work work_;
    double remaining_work_ = 0;          // of the current attempt
    double work_before_first_event_ = 0; // expected until the first event
    attempt_history attempts_;
    selection_inputs inputs_;
    // When the request is to come back if overload control refuses it.
    std::optional<duration> room_at_;
    // Of the current attempt, for a plain service under overload control.
    room_estimate predicted_start_;
    // The first one, if the request waited.
    std::optional<wait_prediction> wait_prediction_;
    upstream_selection last_selection_; // the last one without an upstream
    steady_time wait_until_{};
    bool is_waiting_ = false;
    // Waiting requests that go first, in the present turn of the dispatch loop.
    std::optional<std::size_t> waiting_before_;
    std::unique_ptr<counted_waiter> limit_slot_;
    bool is_done_ = false;
    bool has_response_head_ = false; // the response head was sent to the caller
    run_state ran_ = run_state::not_run;

    std::shared_ptr<upstream_state> upstream_;
    std::shared_ptr<upstream_connection> connection_;
    steady_time sent_{};
    steady_time last_event_{};
    steady_time previous_event_{}; // of the current attempt
    duration predicted_end_{0};    // of the current attempt; 0: unknown
    duration uncorrected_end_{0};  // the same without the learned error
    // Of the current attempt's model, as of its sending.
    std::optional<event_time_line> event_line_;
    steady_time first_event_{};
    // Events of the current attempt, and when the first one arrived.
    std::uint64_t attempt_events_ = 0;
    steady_time attempt_first_event_{};
    http_response_head head_;
    bool is_event_stream_ = false; // the current attempt's response
    std::string body_;
    // Of the current attempt, once its response is not small.
    std::unique_ptr<buffer_claim> response_claim_;
    event_splitter events_;
    latency_histogram* pass_through_ = nullptr; // of this scope, once used
    loop_timer deadline_timer_;
    loop_timer attempt_timer_;
};

} // namespace marjorambeam
