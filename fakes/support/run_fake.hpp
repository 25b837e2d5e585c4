// Runs a fake as a process: settings, loop, SIGTERM and the line that tells
// where it listens.
//
// Example:
//   int main(int argc, char** argv)
//   {
//       fake_service_settings s;
//       return run_fake(
//           {"fake-service", "FAKE_SERVICE"}, settings_table(s), argc, argv,
//           [&](ev::loop_ref loop)
//           { return std::make_unique<fake_service>(loop, s); });
//   }
//
// For main functions; not thread-safe.
#pragma once

#include "event_loop/event_loop.hpp"
#include "settings/settings.hpp"

#include <csignal>
#include <iostream>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambeam
{

// What a fake's binary and its environment variables are called.
struct fake_names
{
    std::string_view binary;
    std::string_view prefix;
};

// Reads the settings, makes the fake by `make(loop)`, prints its listening
// line and runs until SIGTERM. Returns the exit code. `make` returns a pointer
// to an object with url().
template <class Make>
int run_fake(
    fake_names names, std::span<setting const> table, int argc, char** argv,
    Make make)
{
    std::vector<std::string> const args(argv + 1, argv + argc);
    settings_outcome const outcome = parse_settings(
        names.binary, names.prefix, table, args, process_environment(),
        std::cout, std::cerr);
    if (outcome.exit_now)
        return outcome.exit_code;
    try
    {
        constexpr std::string_view scheme = "http://";
        ev::dynamic_loop loop;
        loop_signal const terminate(
            loop, SIGTERM, [&] { loop.break_loop(ev::ALL); });
        auto const fake = make(ev::loop_ref(loop));
        std::cout << names.binary << ": listening http="
                  << std::string(fake->url()).substr(scheme.size())
                  << std::endl;
        loop.run();
        return 0;
    }
    catch (std::exception const& e)
    {
        std::cerr << names.binary << ": " << e.what() << "\n";
        return 1;
    }
}

} // namespace marjorambeam
