#include "load/load_tool.hpp"

#include <iostream>

int main(int argc, char** argv)
{
    using namespace marjorambeam;
    load_settings settings;
    std::vector<std::string> const args(argv + 1, argv + argc);
    settings_outcome const outcome = parse_settings(
        "marjorambeam-load", "LOAD", settings_table(settings), args,
        process_environment(), std::cout, std::cerr);
    if (outcome.exit_now)
        return outcome.exit_code;
    ev::dynamic_loop loop;
    load_report const report = run_load(loop, settings);
    std::cout << to_json(report) << '\n';
    return report.failures.empty() ? 0 : 1;
}
