#include "entry/entry_daemon.hpp"
#include "entry/entry_settings.hpp"

#include <iostream>

int main(int argc, char** argv)
{
    using namespace marjorambeam;
    entry_settings settings;
    std::vector<std::string> const args(argv + 1, argv + argc);
    settings_outcome const outcome = parse_settings(
        "marjorambeam-entry", "ENTRY", settings_table(settings), args,
        process_environment(), std::cout, std::cerr);
    if (outcome.exit_now)
        return outcome.exit_code;
    init_log(parse_log_level(settings.log_level), settings.instance);
    try
    {
        ev::default_loop loop;
        entry_daemon daemon(loop, settings);
        std::cout << "marjorambeam-entry: listening http="
                  << daemon.caller_url() << " admin=" << daemon.admin_url()
                  << " frames=" << daemon.peer_address() << std::endl;
        loop.run();
        return daemon.exit_code();
    }
    catch (std::exception const& e)
    {
        std::cerr << "marjorambeam-entry: " << e.what() << '\n';
        return 1;
    }
}
