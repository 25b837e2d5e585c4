// Messages between the system's processes.
//
// Example:
//   message m = heartbeat{.generation = 17, .load = load};
//   std::string frame = encode_frame(m);
//
// Plain data, serialized by cereal; see frame.hpp for the format on the wire.
#pragma once

#include "base/id.hpp"
#include "error/error.hpp"

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace marjorambeam
{

// Raised whenever a message changes; both ends must agree.
constexpr std::uint32_t protocol_version = 1;

enum class process_role : std::uint8_t
{
    entry,
    agent
};

enum class work_kind : std::uint8_t
{
    model,
    service
};

// What an agent reports about its upstream, on each answer and heartbeat.
struct upstream_load
{
    std::uint32_t running = 0;       // requests at the upstream
    std::uint32_t queued = 0;        // requests waiting in the agent
    std::uint32_t limit = 0;         // requests it may run now
    std::uint32_t warm_limit = 0;    // the limit when fully warm
    std::uint64_t queued_tokens = 0; // token cost of the waiting requests
    double tokens_per_second = 0;    // recent speed of one response
    double first_token_seconds = 0;  // recent median
    bool is_cold = false;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(running, queued, limit, warm_limit, queued_tokens, tokens_per_second,
           first_token_seconds, is_cold);
    }
};

// First message in both directions on a connection.
struct hello
{
    std::uint32_t protocol = protocol_version;
    process_role role = process_role::entry;
    std::string instance;
    incarnation sender = 0;
    std::string availability_zone;
    std::string upstream; // the agent's upstream; empty for entries
    std::uint64_t generation = 0;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(protocol, role, instance, sender, availability_zone, upstream,
           generation);
    }
};

// Asks an agent to run one attempt of a request.
struct work_request
{
    std::string request_id;
    std::uint32_t attempt = 0;
    incarnation sender = 0;
    std::uint64_t generation = 0;
    std::string customer;
    std::uint32_t weight = 1;
    work_kind kind = work_kind::model;
    std::string target; // "model@version" or the name of a service
    bool is_idempotent = true;
    std::string key;              // of a non-idempotent request, else empty
    std::int64_t deadline_ms = 0; // time left when sent
    std::uint64_t token_cost = 0; // estimate for queueing
    std::uint64_t fingerprint = 0;
    bool run_alone = false; // suspected of crashing its upstream
    bool is_stream = false;
    std::uint64_t tokens_delivered = 0; // continue after these
    std::string method;
    std::string path;
    std::string content_type;
    std::string body;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(request_id, attempt, sender, generation, customer, weight, kind,
           target, is_idempotent, key, deadline_ms, token_cost, fingerprint,
           run_alone, is_stream, tokens_delivered, method, path, content_type,
           body);
    }
};

// The agent has taken the attempt and will answer it.
struct work_accepted
{
    std::string request_id;
    std::uint32_t attempt = 0;
    upstream_load load;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(request_id, attempt, load);
    }
};

// The agent refuses the attempt, with what it knows of the run state.
struct work_refused
{
    std::string request_id;
    std::uint32_t attempt = 0;
    error_kind kind = error_kind::internal;
    run_state run = run_state::unknown;
    std::int64_t retry_after_ms = 0;
    std::string text;
    std::string owner; // upstream that owns the key, for not_keyspace_owner
    upstream_load load;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(request_id, attempt, kind, run, retry_after_ms, text, owner, load);
    }
};

// A piece of the response, exactly as the upstream sent it.
struct answer_chunk
{
    std::string request_id;
    std::uint32_t attempt = 0;
    incarnation sender = 0;
    std::uint64_t sequence = 0; // from 0, without gaps
    std::uint32_t tokens = 0;   // tokens in `bytes`
    std::string bytes;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(request_id, attempt, sender, sequence, tokens, bytes);
    }
};

// The end of a whole response.
struct answer_end
{
    std::string request_id;
    std::uint32_t attempt = 0;
    incarnation sender = 0;
    std::uint64_t sequence = 0; // number of chunks
    std::int32_t status = 0;    // of the upstream's HTTP response
    std::string content_type;
    std::uint64_t length = 0;   // bytes in all chunks
    std::uint64_t checksum = 0; // xxHash over all bytes
    std::uint64_t tokens_in = 0;
    std::uint64_t tokens_out = 0;
    bool is_replay = false; // recorded outcome of an earlier attempt
    upstream_load load;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(request_id, attempt, sender, sequence, status, content_type, length,
           checksum, tokens_in, tokens_out, is_replay, load);
    }
};

// The attempt ended without a whole response.
struct answer_failed
{
    std::string request_id;
    std::uint32_t attempt = 0;
    error_kind kind = error_kind::internal;
    run_state run = run_state::unknown;
    bool is_crash = false; // the upstream went down with this attempt
    std::uint64_t tokens_in = 0;
    std::uint64_t tokens_out = 0;
    std::string text;
    upstream_load load;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(request_id, attempt, kind, run, is_crash, tokens_in, tokens_out,
           text, load);
    }
};

// The caller no longer wants the answer.
struct cancel
{
    std::string request_id;
    std::uint32_t attempt = 0;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(request_id, attempt);
    }
};

// Keeps a connection alive. `is_reply` answers one that asked for it.
struct heartbeat
{
    std::uint64_t generation = 0;
    bool wants_reply = false;
    upstream_load load;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(generation, wants_reply, load);
    }
};

// Asks for the generations after `after`.
struct config_pull
{
    std::uint64_t after = 0;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(after);
    }
};

// A run of generations, or a checkpoint with what follows it.
struct config_generations
{
    std::uint64_t checkpoint = 0; // generation of `snapshot`, 0 for none
    std::string snapshot;         // JSON of the checkpoint
    // Number and JSON of each generation, ascending without gaps.
    std::vector<std::pair<std::uint64_t, std::string>> generations;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(checkpoint, snapshot, generations);
    }
};

// The usage of these requests is in the ledger.
struct usage_settled
{
    std::vector<std::string> request_ids;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(request_ids);
    }
};

// Any other message between daemons: a named body of a library of its own,
// such as allowance requests, session pins and crash attributions.
struct peer_call
{
    std::uint64_t call_id = 0; // 0 when no reply is wanted
    bool is_reply = false;
    std::string name;
    std::string body;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(call_id, is_reply, name, body);
    }
};

// What a daemon tells others by UDP.
struct digest
{
    incarnation sender = 0;
    process_role role = process_role::entry;
    std::string instance;
    std::string availability_zone;
    std::string upstream;
    std::string address; // TCP
    std::uint64_t generation = 0;
    // Time since the last contact with the store that the sender knows of, by
    // itself or by digests that it received; -1 for none. An age, because the
    // wall clocks of two instances differ.
    std::int64_t store_age_ms = -1;
    bool is_leaving = false;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(sender, role, instance, availability_zone, upstream, address,
           generation, store_age_ms, is_leaving);
    }
};

// The index of an alternative is its type number on the wire: append only.
using message = std::variant<
    hello, work_request, work_accepted, work_refused, answer_chunk, answer_end,
    answer_failed, cancel, heartbeat, config_pull, config_generations,
    usage_settled, peer_call, digest>;

} // namespace marjorambeam
