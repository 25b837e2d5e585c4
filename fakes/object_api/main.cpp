// The binary fake-object-api.

#include "fakes/object_api/fake_object_api.hpp"
#include "fakes/support/run_fake.hpp"

using namespace marjorambeam;

int main(int argc, char** argv)
{
    object_api_settings settings;
    std::vector<setting> const table = {
        address_setting(
            "listen", "127.0.0.1:0", "Address of the HTTP interface",
            settings.listen),
        number_setting(
            "writes-per-second", 400, 0, 1'000'000,
            "Writes answered per second; 0 is no limit",
            settings.writes_per_second),
        number_setting(
            "reads-per-second", 2000, 0, 1'000'000,
            "Reads answered per second; 0 is no limit",
            settings.reads_per_second)};
    return run_fake(
        {"fake-object-api", "FAKE_OBJECT_API"}, table, argc, argv,
        [&](ev::loop_ref loop)
        { return std::make_unique<fake_object_api>(loop, settings); });
}
