// Runs requests: attempts at agents, responses to callers, the end.
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

// Outcome of choosing another version for a request.
enum class version_reselection : std::uint8_t
{
    none,  // it ends with the refusal
    later, // ask again in a moment
    chosen
};

class request_controller
{
public:
    // Called once for each request that ended: `why` is null when its whole
    // response was handed to the caller's connection.
    using end_handler =
        std::function<void(entry_request const&, error const* why)>;

    // Called for each attempt at a model version that ended with an answer or
    // a failure of the upstream.
    using attempt_handler =
        std::function<void(std::string_view version_id, bool has_failed)>;

    // Chooses another version after the first was withdrawn.
    using version_reselector =
        std::function<version_reselection(entry_request&)>;

    request_controller(
        entry_state& state, agent_links& links, routing_controller& routing,
        quarantine_controller& quarantine, attempt_handler on_attempt,
        end_handler on_end);

    // Without it, a withdrawn version ends the request.
    void on_version_withdrawn(version_reselector reselect_version)
    {
        reselect_version_ = std::move(reselect_version);
    }

    // Starts an admitted request. Precondition: nothing was sent on its
    // exchange, and its target is set.
    void begin(std::unique_ptr<entry_request> request, steady_time now);

    // A message of an agent.
    void on_message(std::string_view instance, message&& m, steady_time now);

    // The connection with an attempt under way ended.
    void on_attempt_lost(
        std::string_view instance, attempt_id const& attempt, error const& why,
        steady_time now);

    // Ends requests past their deadline. Call every 10 ms or so.
    void tick(steady_time now);

    // Ends every request with an error, because the process is about to exit.
    void abort_all(steady_time now);

private:
    entry_request* find(std::string_view id, std::uint32_t attempt);
    bool check(entry_request& r, frame_verdict verdict, steady_time now);
    void begin_response(entry_request& r, incarnation sender);
    // Takes the end of an attempt that did not run because the version was
    // withdrawn; false when it ended otherwise or no version can be chosen.
    bool try_reselect_version(
        entry_request& r, error_kind kind, run_state run, steady_time now);
    // False when the request was ended or has to wait.
    bool can_start(entry_request& r, steady_time now);
    void start_attempt(entry_request& r, steady_time now);
    void on_refused(entry_request& r, work_refused const& m, steady_time now);
    void on_chunk(entry_request& r, answer_chunk const& m, steady_time now);
    void record_attempt(entry_request const& r, bool has_failed);
    void on_end(entry_request& r, answer_end const& m, steady_time now);
    void on_failed(entry_request& r, answer_failed const& m, steady_time now);
    void fail_attempt(entry_request& r, error const& why, steady_time now);
    retry_question make_retry_question(
        entry_request const& r, error const& why, steady_time now);
    // Answers with the last error and the run state of all attempts.
    void give_up(entry_request& r, error const& last, steady_time now);
    void release_attempt(entry_request& r);
    // After a failed attempt with a key: the owner may be another by now.
    void invalidate_owner(entry_request& r, error const& why);
    // Replaces a key of the entry's own making that the owner can't judge;
    // returns whether the request is to be sent again.
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
