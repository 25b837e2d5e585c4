// fake-rating-service: the stand-in for the rating service as a process.
#include "fakes/rating_service/fake_rating_service.hpp"
#include "settings/settings.hpp"

#include <csignal>
#include <iostream>

namespace
{

using namespace marjorambeam;

std::vector<setting> settings_table(fake_rating_service_settings& s)
{
    return {
        address_setting(
            "listen", "127.0.0.1:0", "HTTP address to listen on.", s.address),
        fraction_setting(
            "quality", 0.8, 0, 1, "Quality of versions without their own.",
            s.quality)};
}

} // namespace

int main(int argc, char** argv)
{
    fake_rating_service_settings settings;
    std::vector<std::string> const args(argv + 1, argv + argc);
    settings_outcome const outcome = parse_settings(
        "fake-rating-service", "FAKE_RATING_SERVICE", settings_table(settings),
        args, process_environment(), std::cout, std::cerr);
    if (outcome.exit_now)
        return outcome.exit_code;
    try
    {
        ev::dynamic_loop loop;
        loop_signal const term(
            loop, SIGTERM, [&] { loop.break_loop(ev::ALL); });
        fake_rating_service const fake(loop, settings);
        std::cout << "fake-rating-service: listening http=" << fake.address()
                  << std::endl;
        loop.run();
    }
    catch (std::exception const& e)
    {
        std::cerr << "fake-rating-service: " << e.what() << "\n";
        return 1;
    }
    return 0;
}
