// fake-service: the stand-in for a plain service as a process.
#include "fakes/service/fake_service.hpp"
#include "settings/settings.hpp"

#include <csignal>
#include <iostream>

namespace
{

using namespace marjorambeam;

std::vector<setting> settings_table(fake_service_settings& s)
{
    return {
        address_setting(
            "listen", "127.0.0.1:0", "HTTP address to listen on.", s.address),
        duration_setting(
            "restart-ms", 200, 0, 600000, "Time that a restart takes.",
            s.restart_time)};
}

} // namespace

int main(int argc, char** argv)
{
    fake_service_settings settings;
    std::vector<std::string> const args(argv + 1, argv + argc);
    settings_outcome const outcome = parse_settings(
        "fake-service", "FAKE_SERVICE", settings_table(settings), args,
        process_environment(), std::cout, std::cerr);
    if (outcome.exit_now)
        return outcome.exit_code;
    try
    {
        ev::dynamic_loop loop;
        loop_signal const term(
            loop, SIGTERM, [&] { loop.break_loop(ev::ALL); });
        fake_service const service(loop, settings);
        std::cout << "fake-service: listening http=" << service.address()
                  << std::endl;
        loop.run();
    }
    catch (std::exception const& e)
    {
        std::cerr << "fake-service: " << e.what() << "\n";
        return 1;
    }
    return 0;
}
