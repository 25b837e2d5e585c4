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

// Sends all lines of `level` and above to `target`; `instance` is added to
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

    std::string part_;
};

} // namespace marjorambeam
