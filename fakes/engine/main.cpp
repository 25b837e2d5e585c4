// fake-engine: the stand-in for a model engine as a process.
#include "fakes/engine/fake_engine.hpp"
#include "fakes/support/run_fake.hpp"

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
    return run_fake(
        {"fake-engine", "FAKE_ENGINE"}, settings_table(flags), argc, argv,
        [&](ev::loop_ref loop)
        {
            fake_engine_settings& e = flags.engine;
            e.max_running = static_cast<std::size_t>(flags.max_running);
            e.token_interval = duration(flags.token_interval_us);
            e.first_token = duration(flags.first_token_us);
            e.cold_concurrency =
                static_cast<std::size_t>(flags.cold_concurrency);
            return std::make_unique<fake_engine>(loop, flags.engine);
        });
}
