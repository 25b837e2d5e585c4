// The binary fake-object-api.

#include "event_loop/event_loop.hpp"
#include "fakes/object_api/fake_object_api.hpp"
#include "settings/settings.hpp"

#include <csignal>
#include <exception>
#include <iostream>

using namespace marjorambeam;

int main(int argc, char** argv)
{
    object_api_settings settings;
    std::vector<setting> const table = {
        address_setting(
            "listen", "127.0.0.1:0", "Address of the HTTP interface",
            settings.listen),
        number_setting(
            "writes-per-second", 400, 0, 1'000'000,
            "Writes answered per second; 0 is no limit",
            settings.writes_per_second),
        number_setting(
            "reads-per-second", 2000, 0, 1'000'000,
            "Reads answered per second; 0 is no limit",
            settings.reads_per_second)};
    std::vector<std::string> const args(argv + 1, argv + argc);
    settings_outcome const outcome = parse_settings(
        "fake-object-api", "FAKE_OBJECT_API", table, args,
        process_environment(), std::cout, std::cerr);
    if (outcome.exit_now)
        return outcome.exit_code;
    try
    {
        ev::default_loop loop;
        fake_object_api api(loop, settings);
        loop_signal term(loop, SIGTERM, [&] { loop.break_loop(ev::ALL); });
        std::cout << "fake-object-api: listening http=" << api.address()
                  << std::endl;
        loop.run();
    }
    catch (std::exception const& e)
    {
        std::cerr << "fake-object-api: " << e.what() << "\n";
        return 1;
    }
    return 0;
}
