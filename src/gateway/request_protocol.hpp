// Protocol-independent form of requests and upstream responses, and the
// functions that decode and encode a deployment's wire protocol.
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

// A section of a prompt that several requests may share.
struct prompt_part
{
    std::string id;
    std::uint32_t tokens = 0;
};

// A decoded request of a caller.
struct gateway_request
{
    std::string attempt_id; // unique to each attempt of the caller
    std::string method;
    std::string target; // path and query as the caller sent them
    std::string host;
    std::string key; // credential; empty when there is none
    std::string session;
    std::optional<duration> remaining; // until the caller gives up
    std::string model;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_output_tokens = 0;
    // The caller's estimate, which is often far off; 0: none.
    std::uint32_t hinted_output_tokens = 0;
    std::vector<prompt_part> prompt;
    std::optional<std::uint64_t> resume_after; // id of the caller's last event
    header_list headers;                       // forwarded unchanged
    std::string body;
    bool keep_alive = true;
};

// What the gateway adds to a request for one upstream.
struct upstream_request_options
{
    std::string_view upstream_id;
    std::string_view organisation; // empty: none
    std::string_view model;        // empty: none
    duration remaining{0};
    std::optional<std::uint64_t> resume_after;
    int urgency = 5; // 0 is the most urgent
};

// Load that an upstream reports in the headers of a response.
struct upstream_load_report
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    // Time that work takes there now, in percent of the usual time. Positive;
    // nothing if the upstream does not report it.
    std::optional<std::uint32_t> machine_pace;
};

// The decoded head of an upstream's response.
struct upstream_response
{
    int status = 0;
    std::string attempt_id;   // of the request that it responds to
    bool is_signed = false;   // carries the upstream's signature
    bool has_not_run = false; // the upstream reports that it did not run it
    bool is_other_instance = false; // another instance has the address
    bool is_draining = false;       // the upstream is draining
    // Backoff that the upstream requests; only in refusals.
    std::optional<duration> pause;
    bool has_invalid_pause = false; // the requested backoff is out of range
    // Requests per second that the upstream accepts from all callers together.
    std::optional<double> limit_per_second;
    std::string invalid_limit; // a limit that is not a number, or negative
    std::optional<upstream_load_report> load;
    std::optional<int> confidence; // 0 to 100, as the model reports it
};

// The head of a response to a caller.
struct response_head
{
    int status = 200;
    header_list headers;
};

// A deployment's protocol towards callers and upstreams.
struct request_protocol
{
    // Decodes a request. Error: bad_request.
    result<gateway_request> (*decode_request)(http_request_message&& message);
    // Returns the head and body to send to an upstream.
    std::string (*encode_request)(
        gateway_request const& request, upstream_request_options const& call);
    upstream_response (*decode_response)(http_response_head const& head);
    // Headers that the protocol adds to a response of the gateway's own.
    header_list (*local_response_headers)(std::string_view attempt_id);
};

// Returns the path of a request target, without the query. Thread-safe.
inline std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

} // namespace marjorambeam
