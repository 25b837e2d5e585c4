// fake-weight-store: the stand-in for the weight store as a process.
#include "fakes/support/run_fake.hpp"
#include "fakes/weight_store/fake_weight_store.hpp"

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
    return run_fake(
        {"fake-weight-store", "FAKE_WEIGHT_STORE"}, settings_table(settings),
        argc, argv,
        [&](ev::loop_ref loop)
        { return std::make_unique<fake_weight_store>(loop, settings); });
}
