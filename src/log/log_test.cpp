#include "log/log.hpp"

#include <catch2/catch.hpp>
#include <fcntl.h>
#include <string>
#include <unistd.h>

using namespace marjorambeam;

// Guards against logs that grow with the load, and against failures that are
// not logged because requests that went well were.
TEST_CASE("lines are bounded per second, and failures are kept longest")
{
    log_budget b;
    int before = 0;
    int written = 0;
    for (int i = 0; i < 5000; ++i)
        written += take_line(b, log_level::info, 7, before) ? 1 : 0;
    CHECK(written == max_info_lines_per_s);
    CHECK(take_line(b, log_level::warning, 7, before));
    for (int i = 0; i < 5000; ++i)
        written += take_line(b, log_level::error, 7, before) ? 1 : 0;
    CHECK(written + 1 == max_lines_per_s);
    CHECK(before == 0);
    CHECK(take_line(b, log_level::info, 8, before));
    CHECK(before == 10000 - written);
    CHECK(b.held_back_in_all == static_cast<std::uint64_t>(before));
}

// Guards against a process that stands still because nobody reads its output.
TEST_CASE("a full pipe holds up nobody")
{
    int ends[2];
    REQUIRE(pipe(ends) == 0);
    fcntl(ends[1], F_SETFL, O_NONBLOCK);
    std::string const block(4096, 'x');
    while (write(ends[1], block.data(), block.size()) > 0)
    {
    }
    fcntl(ends[1], F_SETFL, 0); // from now on a write would wait
    int const output = dup(STDOUT_FILENO);
    dup2(ends[1], STDOUT_FILENO);
    init_log(log_level::info, "test", log_target::output);
    logger const log("test");
    alarm(5); // ends the test if a line waits
    for (int i = 0; i < 100; ++i)
        log.error("Nobody reads this.", {{"i", std::to_string(i)}});
    alarm(0);
    dup2(output, STDOUT_FILENO);
    close(output);
    close(ends[0]);
    close(ends[1]);
    SUCCEED();
}
