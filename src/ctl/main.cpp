// The binary marjorambeam-ctl.

#include "ctl/ctl.hpp"

#include <exception>
#include <iostream>

int main(int argc, char** argv)
{
    try
    {
        ev::default_loop loop;
        std::vector<std::string> const args(argv + 1, argv + argc);
        return marjorambeam::run_ctl(
            loop, args, marjorambeam::process_environment(), std::cin,
            std::cout, std::cerr);
    }
    catch (std::exception const& e)
    {
        std::cerr << "marjorambeam-ctl: " << e.what() << "\n";
        return 1;
    }
}
