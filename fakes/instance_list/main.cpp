#include "event_loop/event_loop.hpp"
#include "instance_list.hpp"
#include "settings/settings.hpp"

#include <csignal>
#include <iostream>

using namespace marjorambeam;

int main(int argc, char** argv)
{
    std::string listen;
    std::vector<setting> const table = {address_setting(
        "listen", "127.0.0.1:0", "HTTP address of the list", listen)};
    std::vector<std::string> const args(argv + 1, argv + argc);
    settings_outcome const outcome = parse_settings(
        "fake-instance-list", "FAKE_INSTANCE_LIST", table, args,
        process_environment(), std::cout, std::cerr);
    if (outcome.exit_now)
        return outcome.exit_code;
    ev::dynamic_loop loop;
    fake_instance_list const list(loop, listen);
    loop_signal const term(loop, SIGTERM, [&] { loop.break_loop(ev::ALL); });
    std::cout << "fake-instance-list: listening http="
              << list.url().substr(std::string_view("http://").size())
              << std::endl;
    loop.run();
    return 0;
}
