#include "error/error.hpp"

#include <array>

namespace marjorambeam
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;
using kind = error_kind;
using run = run_state;
using advice = retry_advice;

constexpr duration none{0};

constexpr std::array table{
    error_answer{
        kind::bad_request, "bad_request", 400, run::not_run, advice::never,
        none},
    error_answer{
        kind::unauthorized, "unauthorized", 401, run::not_run, advice::never,
        none},
    error_answer{
        kind::model_not_allowed, "model_not_allowed", 403, run::not_run,
        advice::never, none},
    error_answer{
        kind::service_not_allowed, "service_not_allowed", 403, run::not_run,
        advice::never, none},
    error_answer{
        kind::not_found, "not_found", 404, run::not_run, advice::never, none},
    error_answer{
        kind::method_not_allowed, "method_not_allowed", 405, run::not_run,
        advice::never, none},
    error_answer{
        kind::body_too_large, "body_too_large", 413, run::not_run,
        advice::never, none},
    error_answer{
        kind::header_too_large, "header_too_large", 431, run::not_run,
        advice::never, none},
    error_answer{
        kind::too_many_connections, "too_many_connections", 503, run::not_run,
        advice::later, seconds(1)},
    error_answer{
        kind::sender_too_slow, "sender_too_slow", 408, run::not_run,
        advice::later, seconds(1)},
    error_answer{
        kind::idempotency_key_required, "idempotency_key_required", 400,
        run::not_run, advice::never, none},
    error_answer{
        kind::key_time_invalid, "key_time_invalid", 400, run::not_run,
        advice::never, none},
    error_answer{
        kind::key_expired, "key_expired", 409, run::unknown, advice::never,
        none},
    error_answer{
        kind::key_in_progress, "key_in_progress", 409, run::unknown,
        advice::same_key, seconds(1)},
    error_answer{
        kind::key_reused, "key_reused", 422, run::not_run, advice::never, none},
    error_answer{
        kind::key_outcome_unknown, "key_outcome_unknown", 409, run::unknown,
        advice::never, none},
    error_answer{
        kind::not_keyspace_owner, "not_keyspace_owner", 503, run::not_run,
        advice::same_key, milliseconds(500)},
    error_answer{
        kind::keyspace_unavailable, "keyspace_unavailable", 503, run::not_run,
        advice::same_key, seconds(5)},
    error_answer{
        kind::rate_limited, "rate_limited", 429, run::not_run, advice::later,
        seconds(1)},
    error_answer{
        kind::spend_limit_reached, "spend_limit_reached", 402, run::not_run,
        advice::later, seconds(3600)},
    error_answer{
        kind::queue_full, "queue_full", 503, run::not_run, advice::later,
        seconds(1)},
    error_answer{
        kind::deadline_unreachable, "deadline_unreachable", 503, run::not_run,
        advice::later, seconds(1)},
    error_answer{
        kind::deadline_exceeded, "deadline_exceeded", 504, run::unknown,
        advice::same_key, seconds(1)},
    error_answer{
        kind::version_withdrawn, "version_withdrawn", 410, run::not_run,
        advice::never, none},
    error_answer{
        kind::session_invalid, "session_invalid", 400, run::not_run,
        advice::never, none},
    error_answer{
        kind::no_upstream, "no_upstream", 503, run::not_run, advice::later,
        seconds(1)},
    error_answer{
        kind::upstream_out, "upstream_out", 503, run::not_run, advice::later,
        seconds(1)},
    error_answer{
        kind::availability_zone_out, "availability_zone_out", 503, run::not_run,
        advice::later, seconds(1)},
    error_answer{
        kind::upstream_cold, "upstream_cold", 503, run::not_run, advice::later,
        seconds(1)},
    error_answer{
        kind::upstream_paused, "upstream_paused", 503, run::not_run,
        advice::later, seconds(1)},
    error_answer{
        kind::upstream_limited, "upstream_limited", 503, run::not_run,
        advice::later, seconds(1)},
    error_answer{
        kind::upstream_crashed, "upstream_crashed", 502, run::unknown,
        advice::same_key, seconds(1)},
    error_answer{
        kind::upstream_failed, "upstream_failed", 502, run::ran,
        advice::same_key, seconds(1)},
    error_answer{
        kind::upstream_silent, "upstream_silent", 504, run::unknown,
        advice::same_key, seconds(1)},
    error_answer{
        kind::connection_lost, "connection_lost", 502, run::unknown,
        advice::same_key, seconds(1)},
    error_answer{
        kind::connection_silent, "connection_silent", 504, run::unknown,
        advice::same_key, seconds(1)},
    error_answer{
        kind::answer_corrupt, "answer_corrupt", 502, run::ran, advice::same_key,
        seconds(1)},
    error_answer{
        kind::answer_cut, "answer_cut", 502, run::ran, advice::same_key,
        seconds(1)},
    error_answer{
        kind::frame_too_large, "frame_too_large", 502, run::unknown,
        advice::same_key, seconds(1)},
    error_answer{
        kind::frame_corrupt, "frame_corrupt", 502, run::unknown,
        advice::same_key, seconds(1)},
    error_answer{
        kind::frame_stale, "frame_stale", 502, run::unknown, advice::never,
        none},
    error_answer{
        kind::protocol_mismatch, "protocol_mismatch", 502, run::not_run,
        advice::later, seconds(1)},
    error_answer{
        kind::quarantined, "quarantined", 422, run::not_run, advice::later,
        seconds(600)},
    error_answer{
        kind::request_quarantined, "request_quarantined", 503, run::not_run,
        advice::later, seconds(600)},
    error_answer{
        kind::generation_stale, "generation_stale", 503, run::not_run,
        advice::later, milliseconds(200)},
    error_answer{
        kind::isolated, "isolated", 503, run::not_run, advice::later,
        seconds(5)},
    error_answer{
        kind::not_ready, "not_ready", 503, run::not_run, advice::later,
        seconds(1)},
    error_answer{
        kind::shutting_down, "shutting_down", 503, run::not_run, advice::later,
        seconds(1)},
    error_answer{
        kind::bad_document, "bad_document", 400, run::not_run, advice::never,
        none},
    error_answer{
        kind::conflict, "conflict", 409, run::not_run, advice::never, none},
    error_answer{
        kind::store_unavailable, "store_unavailable", 503, run::not_run,
        advice::later, seconds(5)},
    error_answer{
        kind::store_rate_limited, "store_rate_limited", 503, run::not_run,
        advice::later, seconds(1)},
    error_answer{
        kind::lease_lost, "lease_lost", 503, run::not_run, advice::later,
        seconds(1)},
    error_answer{
        kind::fenced, "fenced", 409, run::not_run, advice::never, none},
    error_answer{
        kind::bad_setting, "bad_setting", 400, run::not_run, advice::never,
        none},
    error_answer{
        kind::cancelled, "cancelled", 499, run::unknown, advice::never, none},
    error_answer{
        kind::internal, "internal", 500, run::unknown, advice::same_key,
        seconds(1)},
    error_answer{
        kind::buffers_full, "buffers_full", 503, run::not_run, advice::later,
        seconds(1)},
};

constexpr bool is_in_order()
{
    for (std::size_t i = 0; i < table.size(); ++i)
    {
        if (static_cast<std::size_t>(table[i].kind) != i)
            return false;
    }
    return table.size() == static_cast<std::size_t>(kind::buffers_full) + 1;
}
static_assert(is_in_order(), "the table follows the order of error_kind");

} // namespace

error_answer const& answer_for(error_kind kind)
{
    return table[static_cast<std::size_t>(kind)];
}

std::span<error_answer const> all_error_answers()
{
    return table;
}

std::string_view to_string(error_kind kind)
{
    return answer_for(kind).name;
}

std::string_view to_string(run_state run)
{
    switch (run)
    {
    case run_state::not_run:
        return "not_run";
    case run_state::ran:
        return "ran";
    case run_state::unknown:
        break;
    }
    return "unknown";
}

error make_error(error_kind kind, std::string message)
{
    error_answer const& row = answer_for(kind);
    return error{kind, std::move(message), row.run, row.retry_after};
}

} // namespace marjorambeam
