// fake-relay: the stand-in for the network as a process.
#include "event_loop/event_loop.hpp"
#include "fakes/relay/fake_relay.hpp"
#include "settings/settings.hpp"

#include <csignal>
#include <iostream>

using namespace marjorambeam;

int main(int argc, char** argv)
{
    fake_relay_settings settings;
    std::vector<setting> const table = {
        address_setting(
            "listen", "127.0.0.1:0", "Address to relay from.", settings.listen),
        address_setting(
            "target", "127.0.0.1:1", "Address to relay to.", settings.target),
        address_setting(
            "admin-listen", "127.0.0.1:0", "HTTP address for fault switches.",
            settings.admin_listen)};
    std::vector<std::string> const args(argv + 1, argv + argc);
    settings_outcome const outcome = parse_settings(
        "fake-relay", "FAKE_RELAY", table, args, process_environment(),
        std::cout, std::cerr);
    if (outcome.exit_now)
        return outcome.exit_code;
    try
    {
        ev::dynamic_loop loop;
        loop_signal const term(
            loop, SIGTERM, [&] { loop.break_loop(ev::ALL); });
        fake_relay const relay(loop, settings);
        std::cout << "fake-relay: listening frames=" << relay.address()
                  << " http=" << relay.admin_address() << std::endl;
        loop.run();
    }
    catch (std::exception const& e)
    {
        std::cerr << "fake-relay: " << e.what() << "\n";
        return 1;
    }
    return 0;
}
