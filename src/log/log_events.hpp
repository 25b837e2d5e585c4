// The closed list of events that the programs log, with the level, sentence
// and meaning of each. docs/events.md is made from the table.
//
// Example:
//   log_event_row const& row = row_of(log_event::store_lost);
//   out << row.name << ": " << row.meaning;
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace marjorambeam
{

enum class log_level
{
    debug,
    info,
    warning,
    error,
    off
};

// The order is that of the table in log_events.cpp; names are stable.
enum class log_event : std::uint8_t
{
    lines_held_back,
    started,
    shutdown_began,
    shutdown_late,
    stopped,
    settings_reloaded,
    settings_bad,
    loop_held_up,
    callback_failed,
    config_in_force,
    config_bad,
    checkpoint_bad,
    isolation_began,
    isolation_ended,
    store_lost,
    store_regained,
    store_era_changed,
    store_era_settled,
    reading_began,
    reading_ended,
    copy_behind,
    copy_fetch_failed,
    copy_current,
    peer_heard,
    peer_lost,
    connection_closed,
    upstream_listed,
    upstream_gone,
    upstream_entry_bad,
    upstream_unreachable,
    upstream_reachable,
    upstream_restarted,
    upstream_broke_connection,
    upstream_says_leaving,
    upstream_asks_pause,
    upstream_pause_bad,
    upstream_limit_changed,
    upstream_limit_bad,
    upstream_limit_reported,
    limit_share_changed,
    zone_changed,
    rollout_seen,
    rollout_version_bad,
    rollout_decided,
    rollout_written,
    rollout_not_written,
    rollout_judge_began,
    rollout_judge_ended,
    crash_suspected,
    crash_confirmed,
    part_quarantined,
    part_released,
    quarantine_trial_claimed,
    request_quarantined,
    request_refused,
    overload_control_on,
    overload_refused,
    larger_model_asked,
    attempt_failed,
    attempt_kept,
    late_response_skipped,
    response_held_back,
    attempt_refused,
    request_served,
    request_left,
    request_failed,
    request_cut,
    usage_not_posted,
};

// One row of the table.
struct log_event_row
{
    log_event event;
    std::string_view name; // value of the field `event` of a line
    log_level level;
    std::string_view sentence;
    std::string_view meaning; // with the fields that decided it
};

// Returns the row of `e`. Thread-safe.
log_event_row const& row_of(log_event e);

// Returns all rows in the order of `log_event`. Thread-safe.
std::span<log_event_row const> all_log_events();

// Returns the page docs/events.md. Thread-safe.
std::string log_events_page();

// Returns "debug", "info", "warning", "error" or "off". Thread-safe.
std::string_view to_string(log_level level);

} // namespace marjorambeam
