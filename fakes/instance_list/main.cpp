#include "fakes/support/run_fake.hpp"
#include "instance_list.hpp"

using namespace marjorambeam;

int main(int argc, char** argv)
{
    std::string listen;
    std::vector<setting> const table = {address_setting(
        "listen", "127.0.0.1:0", "HTTP address of the list", listen)};
    return run_fake(
        {"fake-instance-list", "FAKE_INSTANCE_LIST"}, table, argc, argv,
        [&](ev::loop_ref loop)
        { return std::make_unique<fake_instance_list>(loop, listen); });
}
