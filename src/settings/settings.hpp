// Settings of a binary from one table: flags, environment variables, --help,
// the documentation page and all checks.
//
// Example:
//   struct my_settings { std::string listen; duration drain; };
//   std::vector<setting> table(my_settings& s)
//   {
//       return {
//           address_setting("listen", "127.0.0.1:0", "HTTP address", s.listen),
//           duration_setting("drain-ms", 30000, 0, 600000, "Wait", s.drain),
//       };
//   }
//   settings_outcome o =
//       parse_settings("marjorambeam-entry", "ENTRY", table(s), args, env);
//   if (o.exit_now)
//       return o.exit_code;
#pragma once

#include "base/time.hpp"
#include "error/error.hpp"

#include <cstdint>
#include <functional>
#include <iosfwd>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambeam
{

// One row of a binary's table of settings.
struct setting
{
    std::string name;          // flag without dashes, such as "drain-ms"
    std::string default_value; // empty when there is none
    std::string allowed;       // in words, such as "0 to 600000"
    std::string help;
    // Checks the text and stores the value. Returns false when the text is
    // not allowed, and then stores nothing.
    std::function<bool(std::string_view)> store;
};

// A text in `value`; may be empty only if `may_be_empty`.
setting text_setting(
    std::string name, std::string default_value, std::string help,
    std::string& value, bool may_be_empty = true);

// A whole number from `low` to `high`.
setting number_setting(
    std::string name, std::int64_t default_value, std::int64_t low,
    std::int64_t high, std::string help, std::int64_t& value);

// A number with a fraction from `low` to `high`.
setting fraction_setting(
    std::string name, double default_value, double low, double high,
    std::string help, double& value);

// Milliseconds from `low_ms` to `high_ms`; the name ends in "-ms".
setting duration_setting(
    std::string name, std::int64_t default_ms, std::int64_t low_ms,
    std::int64_t high_ms, std::string help, duration& value);

// An IP address and port, such as "127.0.0.1:8080"; port 0 lets the kernel
// choose. Empty is allowed if the default is empty.
setting address_setting(
    std::string name, std::string default_value, std::string help,
    std::string& value);

// A list of addresses separated by commas; may be empty.
setting address_list_setting(
    std::string name, std::string default_value, std::string help,
    std::vector<std::string>& value);

// An http:// URL; may be empty only if `may_be_empty`.
setting url_setting(
    std::string name, std::string default_value, std::string help,
    std::string& value, bool may_be_empty = false);

// A list of http:// URLs separated by commas; may be empty.
setting url_list_setting(
    std::string name, std::string default_value, std::string help,
    std::vector<std::string>& value);

// One of `choices`.
setting choice_setting(
    std::string name, std::string default_value,
    std::vector<std::string> choices, std::string help, std::string& value);

// "true" or "false".
setting bool_setting(
    std::string name, bool default_value, std::string help, bool& value);

// Reads an environment variable; empty when it is not set.
using environment =
    std::function<std::optional<std::string>(std::string const&)>;

// Returns the environment of this process. Not thread-safe.
environment process_environment();

// Takes the arguments that are not flags, such as the command of a tool.
struct positional_arguments
{
    std::string name; // in --help, such as "command"
    std::string help;
    std::vector<std::string> words; // filled by parse_settings
};

// What the caller of parse_settings does next.
struct settings_outcome
{
    bool exit_now = false;
    int exit_code = 0;
};

// Fills the table's targets from flags, then environment variables, then
// defaults. The variable of "drain-ms" with the prefix "ENTRY" is
// MARJORAMBEAM_ENTRY_DRAIN_MS. All errors are written to `err` together with
// the name, the value and what is allowed, and the outcome is exit code 2.
// Handles --help, --version, --check (check only) and --print-docs (the
// documentation page in Markdown) on `out`. Without `positional`, an argument
// that is not a flag is an error; with it, such arguments are stored there, and
// one that looks like a flag and is none is an error all the same. Not
// thread-safe.
settings_outcome parse_settings(
    std::string_view binary, std::string_view prefix,
    std::span<setting const> table, std::span<std::string const> args,
    environment const& env, std::ostream& out, std::ostream& err,
    positional_arguments* positional = nullptr);

// Returns the Markdown section that documents the table. Thread-safe.
std::string settings_page(
    std::string_view binary, std::string_view prefix,
    std::span<setting const> table);

// Splits "127.0.0.1:80" into address and port. Thread-safe.
result<std::pair<std::string, std::uint16_t>>
split_address(std::string_view text);

} // namespace marjorambeam
