// fake-rating-service: the stand-in for the rating service as a process.
#include "fakes/rating_service/fake_rating_service.hpp"
#include "fakes/support/run_fake.hpp"

namespace
{

using namespace marjorambeam;

std::vector<setting> settings_table(fake_rating_service_settings& s)
{
    return {
        address_setting(
            "listen", "127.0.0.1:0", "HTTP address to listen on.", s.address),
        fraction_setting(
            "quality", 0.8, 0, 1, "Quality of versions without their own.",
            s.quality)};
}

} // namespace

int main(int argc, char** argv)
{
    fake_rating_service_settings settings;
    return run_fake(
        {"fake-rating-service", "FAKE_RATING_SERVICE"},
        settings_table(settings), argc, argv,
        [&](ev::loop_ref loop)
        { return std::make_unique<fake_rating_service>(loop, settings); });
}
