// What the gateway knows of a request and of an upstream's answer, and the
// functions by which a deployment's protocol is decoded and encoded. The
// names on the wire are the protocol's; here are the project's.
//
// Plain data; thread-safe as far as the functions behind the pointers are.
#pragma once

#include "base/time.hpp"
#include "error/error.hpp"
#include "http_stream/http_reader.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambeam
{

// A part of a prompt that requests may share.
struct prompt_part
{
    std::string id;
    std::uint32_t tokens = 0;
};

// One request of a caller.
struct gateway_request
{
    std::string attempt_id; // unique to each try of the caller
    std::string method;
    std::string target; // path and query as the caller sent them
    std::string host;
    std::string key; // credential; empty when there is none
    std::string session;
    std::optional<duration> remaining; // until the caller gives up
    std::string model;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_output_tokens = 0;
    std::vector<prompt_part> prompt;
    std::optional<std::uint64_t> resume_after; // id of the caller's last event
    header_list headers;                       // to be passed on as they are
    std::string body;
    bool keep_alive = true;
};

// What the gateway adds to a request for one upstream.
struct upstream_call
{
    std::string_view upstream_id;
    std::string_view organisation; // empty: none
    std::string_view model;        // empty: none
    duration remaining{0};
    std::optional<std::uint64_t> resume_after;
    int urgency = 5; // 0 is first
};

// Load that an upstream tells with an answer.
struct told_load
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

// The head of an upstream's answer.
struct upstream_answer
{
    int status = 0;
    std::string attempt_id;         // of the request that it belongs to
    bool is_signed = false;         // bears the upstream's receipt
    bool has_not_run = false;       // the upstream says that it did not run it
    bool is_other_instance = false; // another instance has the address
    bool is_leaving = false;        // the upstream wants no more work
    // It wants nothing for so long; with a refusal only.
    std::optional<duration> pause;
    bool has_bad_pause = false; // it named a time that makes no sense
    std::optional<told_load> load;
    std::optional<int> confidence; // 0 to 100, the model's own opinion
};

// The head of an answer to a caller.
struct answer_head
{
    int status = 200;
    header_list headers;
};

// A deployment's protocol towards callers and upstreams.
struct call_protocol
{
    // Takes apart a request. Error: bad_request.
    result<gateway_request> (*decode_request)(http_request_message&& message);
    // Returns the head and body to send to an upstream.
    std::string (*encode_call)(
        gateway_request const& request, upstream_call const& call);
    upstream_answer (*decode_answer)(http_response_head const& head);
    // Headers of an answer that the gateway gives itself.
    header_list (*own_answer_headers)(std::string_view attempt_id);
};

// Path of a request target, without the query. Thread-safe.
inline std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

} // namespace marjorambeam
