// fake-engine: the stand-in for a model engine as a process.
#include "fakes/engine/fake_engine.hpp"
#include "settings/settings.hpp"

#include <csignal>
#include <iostream>

namespace
{

using namespace marjorambeam;

struct fake_engine_flags
{
    fake_engine_settings engine;
    std::int64_t max_running = 0;
    std::int64_t token_interval_us = 0;
    std::int64_t first_token_us = 0;
    std::int64_t cold_concurrency = 0;
};

std::vector<setting> settings_table(fake_engine_flags& f)
{
    fake_engine_settings& e = f.engine;
    return {
        address_setting(
            "listen", "127.0.0.1:0", "HTTP address to listen on.", e.address),
        number_setting(
            "max-running", 16, 1, 4096, "Requests in one batch.",
            f.max_running),
        number_setting(
            "token-interval-us", 0, 0, 10000000,
            "Time per token with a batch of one.", f.token_interval_us),
        number_setting(
            "first-token-us", 0, 0, 60000000,
            "Time to the first token without a prefix cache hit.",
            f.first_token_us),
        bool_setting("cold", false, "Start in the cold state.", e.starts_cold),
        duration_setting(
            "cold-ms", 5000, 0, 3600000,
            "Length of the cold state; 0 means until switched.", e.cold_time),
        number_setting(
            "cold-concurrency", 1, 1, 4096,
            "More requests at once crash a cold engine.", f.cold_concurrency),
        duration_setting(
            "restart-ms", 200, 0, 600000, "Time that a restart takes.",
            e.restart_time),
        duration_setting(
            "load-lag-ms", 100, 0, 60000, "Age of the reported load.",
            e.load_lag),
        bool_setting(
            "checks-fencing", true,
            "Refuse commands with an old fencing number.", e.checks_fencing)};
}

} // namespace

int main(int argc, char** argv)
{
    fake_engine_flags flags;
    std::vector<std::string> const args(argv + 1, argv + argc);
    settings_outcome const outcome = parse_settings(
        "fake-engine", "FAKE_ENGINE", settings_table(flags), args,
        process_environment(), std::cout, std::cerr);
    if (outcome.exit_now)
        return outcome.exit_code;
    flags.engine.max_running = static_cast<std::size_t>(flags.max_running);
    flags.engine.token_interval = duration(flags.token_interval_us);
    flags.engine.first_token = duration(flags.first_token_us);
    flags.engine.cold_concurrency =
        static_cast<std::size_t>(flags.cold_concurrency);
    try
    {
        ev::dynamic_loop loop;
        loop_signal const term(
            loop, SIGTERM, [&] { loop.break_loop(ev::ALL); });
        fake_engine const engine(loop, flags.engine);
        std::cout << "fake-engine: listening http=" << engine.address()
                  << std::endl;
        loop.run();
    }
    catch (std::exception const& e)
    {
        std::cerr << "fake-engine: " << e.what() << "\n";
        return 1;
    }
    return 0;
}
