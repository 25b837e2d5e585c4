// Logs through Boost.Log: one short sentence per line with a fixed prefix for
// each part and structured fields.
//
// Example:
//   init_log(log_level::info, "entry-1");
//   logger log("route");
//   log.write(log_event::attempt_failed,
//             {{"request_id", id}, {"upstream", name}});
//
// What can be logged is the closed list of log_events.hpp. Bodies of requests
// and keys are never logged.
#pragma once

#include "log/log_events.hpp"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace marjorambeam
{

// One structured field of a line.
struct log_field
{
    std::string_view name;
    std::string value;
};

// Where lines go.
enum class log_target
{
    errors, // standard error
    output  // standard output
};

// Lines that may be written per second. Under load the lines of requests that
// end well are held back first, so that those of failures are kept.
struct log_limits
{
    // Lines up to the level info wait for flush_log(), for a later line of a
    // higher level, or until the buffer is full. Writing each by itself costs
    // as much processor time as a plain request.
    bool is_buffered = false;
    int info_lines_per_s = 300; // up to the level info
    int lines_per_s = 900;      // of all levels
};

// Lines written and held back in the present second.
struct log_budget
{
    std::int64_t second = 0;
    int written = 0;
    int held_back = 0;
    std::uint64_t held_back_in_all = 0;
};

// Takes a line of `level` from the budget; false when it is to be held back.
// Returns in `held_back_before` how many lines the last second held back, once
// it is over. Not thread-safe.
bool take_line(
    log_budget& b, log_limits const& limits, log_level level,
    std::int64_t second, int& held_back_before);

// Lines of this process by what became of them.
struct log_totals
{
    std::uint64_t written = 0;
    std::uint64_t held_back = 0; // over the bound of a second
    std::uint64_t unread = 0;    // the target did not take them at once
};

// Returns the totals since the start. Thread-safe only while no line is
// written.
log_totals log_line_totals();

// Writes the lines that wait. Not thread-safe.
void flush_log();

// Sends all lines of `level` and above to `target`; a line that the target does
// not take at once is dropped, because logging never waits. `instance` is added
// to each line. Call before the first line; a later call replaces what was
// set. Not thread-safe.
void init_log(
    log_level level, std::string_view instance,
    log_target target = log_target::errors, log_limits const& limits = {});

// Returns the level named `text`, or `log_level::off` when there is none.
// Thread-safe.
log_level parse_log_level(std::string_view text);

// Writes lines with the prefix of one part. Not thread-safe: each process logs
// from its loop.
class logger
{
public:
    // `part` is the fixed prefix, such as "route".
    explicit logger(std::string_view part)
        : part_(part)
    {
    }

    // Whether lines of `e` are written at all; spares the work for their
    // fields.
    static bool is_on(log_event e);

    // Writes the sentence of `e` with its name and `fields`, or counts the line
    // as held back or unread.
    void write(log_event e, std::initializer_list<log_field> fields = {}) const;

private:
    static void add_line(
        std::string_view part, log_event e,
        std::initializer_list<log_field> fields);

    std::string part_;
};

} // namespace marjorambeam
