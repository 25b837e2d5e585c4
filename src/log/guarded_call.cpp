#include "log/guarded_call.hpp"

namespace marjorambeam
{
namespace
{

struct callback_failures
{
    std::uint64_t count = 0;
    std::string latest;
};

callback_failures& failures()
{
    static callback_failures all;
    return all;
}

} // namespace

std::uint64_t failed_callbacks()
{
    return failures().count;
}

std::string const& last_failed_callback()
{
    return failures().latest;
}

void report_failed_callback(std::string_view part, std::string_view why)
{
    ++failures().count;
    failures().latest = std::string(part) + ": " + std::string(why);
    logger("loop").write(
        log_event::callback_failed,
        {{"part", std::string(part)}, {"why", std::string(why)}});
}

} // namespace marjorambeam
