// State of an entry that its controllers share.
//
// Example:
//   entry_state state(10000);
//   state.requests.emplace(id, request);
//   state.traces.add(id, wall_now(), "Admitted.");
//
// Used on the loop's thread only; not thread-safe.
#pragma once

#include "admission/admission.hpp"
#include "answer/answer.hpp"
#include "base/id.hpp"
#include "base/time.hpp"
#include "cluster/cluster_state.hpp"
#include "entry/cascade_controller.hpp"
#include "entry/chat_request.hpp"
#include "entry/trace_log.hpp"
#include "http_server/http_server.hpp"
#include "prompt_features/prompt_features.hpp"
#include "retry/retry.hpp"
#include "wire/message.hpp"

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace marjorambeam
{

// A charge to a customer's allowance for one request.
struct admission_charge
{
    std::string customer;
    request_cost estimate;
    bool is_charged = false;
};

// A caller's request, from admission to the last byte of its response.
struct entry_request
{
    std::string id;
    std::shared_ptr<http_exchange> exchange;
    std::string customer;
    // The configuration at admission; prices come from it.
    std::shared_ptr<config_snapshot const> config;
    steady_time admitted_at{};
    steady_time deadline{};
    work_request work;      // of the current attempt
    std::string model;      // without the version; empty for services
    std::string version_id; // "model@version"
    std::string original_body;
    chat_request chat;
    std::optional<cascade_pick> cascade; // of a request for "auto"
    bool is_rated = false;               // the response is sent for rating
    std::string rated_text;              // output of a stream to be rated
    std::string pin; // "model@version" pinned by the session, or empty
    admission_charge ticket;
    std::string session_token; // returned to the caller when not empty

    prompt_features features;
    std::int64_t admitted_wall_ms = 0;

    // The current attempt; empty between attempts.
    std::string upstream;
    std::string instance;      // of its agent
    incarnation responder = 0; // process that responds, 0 until it does
    std::unique_ptr<answer_assembly> answer;

    // Over all attempts.
    std::vector<std::string> tried;     // upstreams of earlier attempts
    std::vector<std::string> instances; // agents that received an attempt
    std::string owner; // upstream that owns the key, as reported by an agent
    // When an agent first refused the version as withdrawn; reset when another
    // version is chosen.
    std::optional<steady_time> withdrawn_at;
    // Between attempts, for the quarantine or for another version.
    bool is_waiting = false;
    std::string failed_owner;       // upstream that failed this request
    bool has_generated_key = false; // the entry generated the key
    bool is_key_replaced = false;   // by a second generated key
    run_state earlier_run = run_state::not_run; // of all earlier attempts
    bool is_replay = false; // the response replays an earlier request's
    std::uint64_t tokens_in = 0;
    std::uint64_t tokens_out = 0;
    bool has_first_token = false;
};

// Owned by entry_daemon; controllers hold references.
struct entry_state
{
    // Keeps the decisions of the last `traced_requests` requests.
    explicit entry_state(std::size_t traced_requests)
        : traces(traced_requests)
    {
    }

    cluster_state cluster;
    std::unordered_map<std::string, std::unique_ptr<entry_request>> requests;
    retry_budget retries;
    trace_log traces;
};

} // namespace marjorambeam
