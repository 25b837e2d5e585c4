#include "log/log.hpp"

#include <benchmark/benchmark.h>
#include <fcntl.h>
#include <unistd.h>

namespace marjorambeam
{
namespace
{

// A line with as many fields as that of a request, written to a file that
// takes everything.
void write_line_of_19_fields(benchmark::State& state)
{
    int const output = dup(STDOUT_FILENO);
    int const nowhere = open("/dev/null", O_WRONLY);
    dup2(nowhere, STDOUT_FILENO);
    close(nowhere);
    init_log(
        log_level::info, "e1", log_target::output,
        {.is_buffered = true,
         .info_lines_per_s = 1 << 30,
         .lines_per_s = 1 << 30});
    logger const log("request");
    std::string const value = "12345";
    for (auto _ : state)
        log.write(
            log_event::request_served, {{"f1", value},
                                        {"f2", value},
                                        {"f3", value},
                                        {"f4", value},
                                        {"f5", value},
                                        {"f6", value},
                                        {"f7", value},
                                        {"f8", value},
                                        {"f9", value},
                                        {"f10", value},
                                        {"f11", value},
                                        {"f12", value},
                                        {"f13", value},
                                        {"f14", value},
                                        {"f15", value},
                                        {"f16", value},
                                        {"f17", value},
                                        {"f18", value},
                                        {"f19", value}});
    dup2(output, STDOUT_FILENO);
    close(output);
}
BENCHMARK(write_line_of_19_fields);

} // namespace
} // namespace marjorambeam
