// Logs through Boost.Log: one short sentence per line with a fixed prefix for
// each part and structured fields.
//
// Example:
//   init_log(log_level::info, "entry-1");
//   logger log("route");
//   log.info("Sent the request to an upstream.",
//            {{"request_id", id}, {"upstream", name}});
//
// Bodies of requests and keys are never logged.
#pragma once

#include <cstdint>
#include <initializer_list>
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
constexpr int max_info_lines_per_s = 300;
constexpr int max_lines_per_s = 900;

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
    log_budget& b, log_level level, std::int64_t second, int& held_back_before);

// Sends all lines of `level` and above to `target`; a line that the target does
// not take at once is dropped, because logging never waits.
// `instance` is added to
// each line. Call once, before the first line; not thread-safe.
void init_log(
    log_level level, std::string_view instance,
    log_target target = log_target::errors);

// Returns the level named `text`, or `log_level::off` when there is none.
// Thread-safe.
log_level parse_log_level(std::string_view text);

// Writes lines with the prefix of one part. Thread-safe.
class logger
{
public:
    // `part` is the fixed prefix, such as "route".
    explicit logger(std::string_view part)
        : part_(part)
    {
    }

    void debug(
        std::string_view sentence,
        std::initializer_list<log_field> fields = {}) const;
    void info(
        std::string_view sentence,
        std::initializer_list<log_field> fields = {}) const;
    void warning(
        std::string_view sentence,
        std::initializer_list<log_field> fields = {}) const;
    void error(
        std::string_view sentence,
        std::initializer_list<log_field> fields = {}) const;

private:
    void write(
        log_level level, std::string_view sentence,
        std::initializer_list<log_field> fields) const;
    static void write_line(
        log_level level, std::string_view part, std::string_view sentence,
        std::initializer_list<log_field> fields);

    std::string part_;
};

} // namespace marjorambeam
