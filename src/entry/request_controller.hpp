// Runs admitted requests: sends attempts to agents, retries them, and writes
// the response to the caller.
//
// Example:
//   request_controller requests(loop, state, links, on_usage);
//   requests.begin(std::move(request));
//   requests.on_message(instance, std::move(m));
//
// Used on the loop's thread only; not thread-safe.
#pragma once

#include "entry/agent_links.hpp"
#include "entry/entry_state.hpp"
#include "entry/quarantine_controller.hpp"
#include "entry/routing_controller.hpp"
#include "log/log.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace marjorambeam
{

// Outcome of choosing another version for a request whose version was
// withdrawn.
enum class version_reselection : std::uint8_t
{
    none,  // the request fails with the agent's refusal
    later, // the withdrawal is not yet known here; retry shortly
    chosen
};

class request_controller
{
public:
    // Called once for each request that ended. `why` is null when the complete
    // response was written to the caller's connection.
    using end_handler =
        std::function<void(entry_request const&, error const* why)>;

    // Called for each attempt at a model version that ended with a response
    // or with a failure of the upstream.
    using attempt_handler =
        std::function<void(std::string_view version_id, bool has_failed)>;

    // Chooses another version for a request whose version was withdrawn.
    using version_reselector =
        std::function<version_reselection(entry_request&)>;

    // All references outlive this.
    request_controller(
        entry_state& state, agent_links& links, routing_controller& routing,
        quarantine_controller& quarantine, attempt_handler on_attempt,
        end_handler on_end);

    // Sets the function that chooses another version. Without it, a request
    // whose version is withdrawn fails.
    void on_version_withdrawn(version_reselector reselect_version)
    {
        reselect_version_ = std::move(reselect_version);
    }

    // Starts an admitted request. Precondition: nothing was sent on its
    // exchange, and its target is set.
    void begin(std::unique_ptr<entry_request> request, steady_time now);

    // Handles a message from an agent. Messages of attempts that are no longer
    // in progress are dropped and counted as stale.
    void on_message(std::string_view instance, message&& m, steady_time now);

    // Fails an attempt whose connection closed, and retries the request if the
    // retry policy permits it.
    void on_attempt_lost(
        std::string_view instance, attempt_id const& attempt, error const& why,
        steady_time now);

    // Fails requests whose deadline has passed and restarts waiting ones. Call
    // about every 10 ms.
    void tick(steady_time now);

    // Fails every request with shutting_down. Call right before the process
    // exits.
    void abort_all(steady_time now);

private:
    entry_request* find(std::string_view id, std::uint32_t attempt);
    bool check(entry_request& r, frame_verdict verdict, steady_time now);
    void begin_response(entry_request& r, incarnation sender);
    // Restarts the request on another version if the attempt did not run
    // because its version was withdrawn. Returns false when the attempt ended
    // for another reason or no version can be chosen.
    bool try_reselect_version(
        entry_request& r, error_kind kind, run_state run, steady_time now);
    // Returns false when the request failed or has to wait.
    bool can_start(entry_request& r, steady_time now);
    void start_attempt(entry_request& r, steady_time now);
    void on_refused(entry_request& r, work_refused const& m, steady_time now);
    void on_chunk(entry_request& r, answer_chunk const& m, steady_time now);
    void record_attempt(entry_request const& r, bool has_failed);
    void on_end(entry_request& r, answer_end const& m, steady_time now);
    void on_failed(entry_request& r, answer_failed const& m, steady_time now);
    void fail_attempt(entry_request& r, error const& why, steady_time now);
    failed_attempt make_retry_question(
        entry_request const& r, error const& why, steady_time now);
    // Responds with the last error and the combined run state of all attempts.
    void give_up(entry_request& r, error const& last, steady_time now);
    void release_attempt(entry_request& r);
    // Drops the cached owner of the request's key after a failed attempt,
    // since the partition may have moved to another owner.
    void invalidate_owner(entry_request& r, error const& why);
    // Replaces a key that this entry generated and that the owner can't
    // evaluate. Returns whether the request should be sent again.
    bool replace_key(entry_request& r, error const& why);
    void finish(entry_request& r, error const* why, steady_time now);
    void trace(entry_request const& r, std::string sentence);
    http_headers response_headers(entry_request const& r) const;

    entry_state& state_;
    agent_links& links_;
    routing_controller& routing_;
    quarantine_controller& quarantine_;
    attempt_handler on_attempt_;
    end_handler on_end_;
    version_reselector reselect_version_;
    logger log_{"request"};
};

} // namespace marjorambeam
