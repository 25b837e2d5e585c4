// fake-service: the stand-in for a plain service as a process.
#include "fakes/service/fake_service.hpp"
#include "fakes/support/run_fake.hpp"

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
    return run_fake(
        {"fake-service", "FAKE_SERVICE"}, settings_table(settings), argc, argv,
        [&](ev::loop_ref loop)
        { return std::make_unique<fake_service>(loop, settings); });
}
