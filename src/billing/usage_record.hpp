// What one request used and what it costs.
//
// Example:
//   usage_record r;
//   r.request_id = "r-1";
//   r.customer = "havbris";
//   r.stages.push_back(model_stage(config.versions.at("m@v1")));
//   r.stages.back().tokens_out = 120;
//   micro_credits cost = cost_of(r);
//
// Plain data; all functions are thread-safe.
#pragma once

#include "base/time.hpp"
#include "config/document.hpp"
#include "wire/message.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambeam
{

// One model or service that worked on a request, with the prices that were in
// force when the request was admitted.
struct usage_stage
{
    std::string target; // "model@version" or the name of a service
    std::uint64_t tokens_in = 0;
    std::uint64_t tokens_out = 0;
    micro_credits price_in = 0;   // per token
    micro_credits price_out = 0;  // per token
    micro_credits price_call = 0; // per call

    bool operator==(usage_stage const&) const = default;
};

// The usage of one request. A cascade has several stages; attempts that are
// repeated after a failure add no stage.
struct usage_record
{
    std::string request_id;
    std::string customer;
    work_kind kind = work_kind::model;
    std::string target; // the stage that gave the response
    std::uint32_t attempts = 1;
    std::vector<usage_stage> stages;
    std::int64_t admitted_ms = 0; // Unix time
    process_role poster = process_role::entry;
    bool is_whole = true; // the caller received the complete response

    bool operator==(usage_record const&) const = default;
};

// Returns a stage with the version's prices in force now. Call it at
// admission.
usage_stage model_stage(version const& v);

// Returns a stage with the service's price in force now. Call it at admission.
usage_stage service_stage(service const& s);

// Returns the price of the request: zero when the response was truncated, else
// the sum over its stages, at most the largest amount that can be stored.
micro_credits cost_of(usage_record const& r);

// Whether `a` replaces `b` on the bill, both for one request id: an
// entry's record before an agent's, a complete response before a truncated one,
// then more attempts, then the lower cost. This is a strict total order of
// records that differ, so that a bill doesn't depend on the order of its
// segments.
bool supersedes(usage_record const& a, usage_record const& b);

// Returns the records as JSON.
std::string encode_records(std::span<usage_record const> records);

// Returns the records in JSON made by encode_records(), or in the field
// `records` of an object such as a ledger segment. Error: bad_document.
result<std::vector<usage_record>> decode_records(std::string_view json);

// Name of the peer_call that hands records to another daemon before a stop;
// the body is made by encode_records().
constexpr std::string_view usage_handover_call = "usage_handover";

} // namespace marjorambeam
