// fake-weight-store: the stand-in for the weight store as a process.
#include "fakes/weight_store/fake_weight_store.hpp"
#include "settings/settings.hpp"

#include <csignal>
#include <iostream>

namespace
{

using namespace marjorambeam;

std::vector<setting> settings_table(fake_weight_store_settings& s)
{
    return {
        address_setting(
            "listen", "127.0.0.1:0", "HTTP address to listen on.", s.address),
        number_setting(
            "weight-bytes", 65536, 1, 1 << 24, "Size of a version.",
            s.weight_bytes),
        number_setting(
            "fetches-per-second", 2, 1, 1000000, "Rate of fetches.",
            s.fetches_per_second)};
}

} // namespace

int main(int argc, char** argv)
{
    fake_weight_store_settings settings;
    std::vector<std::string> const args(argv + 1, argv + argc);
    settings_outcome const outcome = parse_settings(
        "fake-weight-store", "FAKE_WEIGHT_STORE", settings_table(settings),
        args, process_environment(), std::cout, std::cerr);
    if (outcome.exit_now)
        return outcome.exit_code;
    try
    {
        ev::dynamic_loop loop;
        loop_signal const term(
            loop, SIGTERM, [&] { loop.break_loop(ev::ALL); });
        fake_weight_store const fake(loop, settings);
        std::cout << "fake-weight-store: listening http=" << fake.address()
                  << std::endl;
        loop.run();
    }
    catch (std::exception const& e)
    {
        std::cerr << "fake-weight-store: " << e.what() << "\n";
        return 1;
    }
    return 0;
}
