#include "log/log.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <fcntl.h>
#include <set>
#include <string>
#include <unistd.h>

using namespace marjorambeam;

// Guards against logs that grow with the load, and against failures that are
// not logged because requests that went well were.
TEST_CASE("lines are bounded per second, and failures are kept longest")
{
    log_budget b;
    log_limits const limits;
    int before = 0;
    int written = 0;
    for (int i = 0; i < 5000; ++i)
        written += take_line(b, limits, log_level::info, 7, before) ? 1 : 0;
    CHECK(written == limits.info_lines_per_s);
    CHECK(take_line(b, limits, log_level::warning, 7, before));
    for (int i = 0; i < 5000; ++i)
        written += take_line(b, limits, log_level::error, 7, before) ? 1 : 0;
    CHECK(written + 1 == limits.lines_per_s);
    CHECK(before == 0);
    CHECK(take_line(b, limits, log_level::info, 8, before));
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
    log_totals const before = log_line_totals();
    alarm(5); // ends the test if a line waits
    for (int i = 0; i < 100; ++i)
        log.write(log_event::config_bad, {{"why", std::to_string(i)}});
    alarm(0);
    log_totals const after = log_line_totals();
    dup2(output, STDOUT_FILENO);
    close(output);
    close(ends[0]);
    close(ends[1]);
    CHECK(after.unread == before.unread + 100);
}

// Guards against a page, a level or an event that a reader of logs can't look
// up.
TEST_CASE("each event has a name of its own and a meaning")
{
    std::set<std::string_view> names;
    for (log_event_row const& it : all_log_events())
    {
        CHECK(names.insert(it.name).second);
        CHECK(&row_of(it.event) == &it);
        CHECK(it.sentence.ends_with('.'));
        CHECK_FALSE(it.meaning.empty());
        CHECK(
            log_events_page().find("| `" + std::string(it.name) + "` |") !=
            std::string::npos);
    }
}

// Guards against lines that are lost, cut or out of order when they wait for
// one another.
TEST_CASE("lines that wait are written in order before a failure's")
{
    int ends[2];
    REQUIRE(pipe(ends) == 0);
    int const output = dup(STDOUT_FILENO);
    dup2(ends[1], STDOUT_FILENO);
    init_log(log_level::info, "e1", log_target::output, {.is_buffered = true});
    logger const log("test");
    auto read_all = [&]
    {
        std::string text(1 << 16U, '\0');
        fcntl(ends[0], F_SETFL, O_NONBLOCK);
        ssize_t const n = read(ends[0], text.data(), text.size());
        text.resize(n < 0 ? 0 : static_cast<std::size_t>(n));
        return text;
    };
    log.write(log_event::config_bad); // tells of lines lost before as well
    read_all();
    log.write(log_event::request_served, {{"request_id", "a1"}});
    std::string const before = read_all();
    log.write(log_event::request_failed, {{"request_id", "a2"}});
    std::string const after = read_all();
    // More than fits at once is written without a flush.
    for (int i = 0; i < 100; ++i)
        log.write(log_event::request_served, {{"i", std::to_string(i)}});
    std::string many = read_all();
    flush_log();
    many += read_all();
    dup2(output, STDOUT_FILENO);
    close(output);
    init_log(log_level::off, "e1");
    CHECK(before.empty());
    CHECK(after.find("a1") < after.find("a2"));
    CHECK(std::count(after.begin(), after.end(), '\n') == 2);
    CHECK(std::count(many.begin(), many.end(), '\n') == 100);
    CHECK(many.find("i=99\n") == many.size() - 5);
    CHECK(many.find("i=7\n") < many.find("i=8\n"));
    close(ends[0]);
    close(ends[1]);
}
