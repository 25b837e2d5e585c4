// The operators' command-line tool marjorambeam-ctl.
//
// Example:
//   ev::dynamic_loop loop;
//   return run_ctl(
//       loop, {"--store", "http://127.0.0.1:9000", "zone", "out", "hitra"},
//       process_environment(), std::cin, std::cout, std::cerr);
//
// A new command is one row in command_table and one function.
#pragma once

#include "ctl/config_client.hpp"
#include "http_client/http_client.hpp"
#include "object_store/object_store.hpp"
#include "settings/settings.hpp"

#include <iosfwd>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambeam
{

// Exit codes of the tool; scripts rely on them.
enum class exit_code : std::uint8_t
{
    done = 0,
    failure = 1,
    usage = 2,
    bad_document = 3,
    conflict = 4,
    store_unavailable = 5,
    not_found = 6
};

// The exit code of an error. Thread-safe.
exit_code exit_code_for(error_kind kind);

// What the command where asks about.
struct where_settings
{
    std::string gateway; // HOST:PORT
    std::string route;   // path of the request
    std::string host;
    std::string key;
    std::string model;
    std::int64_t prompt_tokens = 0;
    std::string shared_part;
    std::int64_t output_tokens = 0;
    std::string session;
};

// The tool's settings.
struct ctl_settings
{
    std::string store;
    std::vector<std::string> entries; // admin URLs
    std::string author;
    std::string output = "text";
    std::int64_t limit = 100;
    std::string log; // file that explain reads; "-": standard input
    duration timeout = std::chrono::seconds(10);
    where_settings where;
};

// The table of settings that fill `s`.
std::vector<setting> ctl_setting_table(ctl_settings& s);

// What a command works with.
struct ctl_context
{
    ev::loop_ref loop;
    ctl_settings const& settings;
    http_client& client;
    object_store& store;
    config_client& configs;
    std::istream& in;
    std::ostream& out;
    std::ostream& err;

    bool is_json() const
    {
        return settings.output == "json";
    }
};

using ctl_arguments = std::span<std::string const>;

// One command.
struct ctl_command
{
    std::string_view words;     // such as "zone out"
    std::string_view arguments; // in the usage, such as "NAME"
    std::size_t min_arguments;
    std::size_t max_arguments;
    bool needs_store;
    exit_code (*run)(ctl_context& c, ctl_arguments arguments);
};

// All commands.
std::span<ctl_command const> command_table();

// Writes an error to the error stream, in words or as JSON with the other
// operator's edit when there is one, and returns its exit code.
exit_code
report_error(ctl_context& c, error const& e, generation const* other = nullptr);

// Runs one command and returns the exit code. The loop must not be running.
int run_ctl(
    ev::loop_ref loop, std::span<std::string const> args,
    environment const& env, std::istream& in, std::ostream& out,
    std::ostream& err);

} // namespace marjorambeam
