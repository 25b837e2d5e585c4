#include "log/guarded_call.hpp"

#include <string>

namespace marjorambeam
{
namespace
{

std::uint64_t& count()
{
    static std::uint64_t n = 0;
    return n;
}

} // namespace

std::uint64_t failed_callbacks()
{
    return count();
}

void report_failed_callback(std::string_view part, std::string_view why)
{
    ++count();
    logger("loop").write(
        log_event::callback_failed,
        {{"part", std::string(part)}, {"why", std::string(why)}});
}

} // namespace marjorambeam
