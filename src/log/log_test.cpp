#include "log/log.hpp"

#include <algorithm>
#include <array>
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

namespace
{

// Lets logs go into a pipe instead of standard output while it lives.
class log_pipe
{
public:
    log_pipe()
        : output_(dup(STDOUT_FILENO))
    {
        REQUIRE(pipe(ends_.data()) == 0);
        fcntl(ends_[0], F_SETFL, O_NONBLOCK);
        dup2(ends_[1], STDOUT_FILENO);
        init_log(
            log_level::info, "e1", log_target::output, {.is_buffered = true});
    }
    log_pipe(log_pipe const&) = delete;
    log_pipe& operator=(log_pipe const&) = delete;
    ~log_pipe()
    {
        dup2(output_, STDOUT_FILENO);
        init_log(log_level::off, "e1");
        for (int it : {output_, ends_[0], ends_[1]})
            close(it);
    }

    // What was written since the last call.
    std::string take() const
    {
        std::string text(1 << 16U, '\0');
        ssize_t const n = read(ends_[0], text.data(), text.size());
        text.resize(n < 0 ? 0 : static_cast<std::size_t>(n));
        return text;
    }

private:
    int output_;
    std::array<int, 2> ends_{};
};

std::ptrdiff_t lines_in(std::string const& text)
{
    return std::count(text.begin(), text.end(), '\n');
}

} // namespace

// Guards against lines that are lost, cut or out of order when they wait for
// one another.
TEST_CASE("lines that wait are written in order before a failure's")
{
    std::string before;
    std::string after;
    std::string many;
    {
        log_pipe const out;
        logger const log("test");
        log.write(log_event::config_bad); // tells of lines lost before as well
        out.take();
        log.write(log_event::request_served, {{"request_id", "a1"}});
        before = out.take();
        log.write(log_event::request_failed, {{"request_id", "a2"}});
        after = out.take();
        // More than fits at once is written without a flush.
        for (int i = 0; i < 100; ++i)
            log.write(log_event::request_served, {{"i", std::to_string(i)}});
        many = out.take();
        flush_log();
        many += out.take();
    }
    CHECK(before.empty());
    CHECK(after.find("a1") < after.find("a2"));
    CHECK(lines_in(after) == 2);
    CHECK(lines_in(many) == 100);
    CHECK(many.find("i=99\n") == many.size() - 5);
    CHECK(many.find("i=7\n") < many.find("i=8\n"));
}

// Guards against a process that waits for its reader because a caller sent a
// long id: a pipe that has room takes no more than PIPE_BUF bytes at once.
TEST_CASE("long values are cut, and a line fits into what a pipe takes")
{
    std::string text;
    {
        log_pipe const out;
        std::string const id(8000, 'x');
        logger("test").write(
            log_event::config_bad, {{"request_id", id}, {"why", "short"}});
        text = out.take();
    }
    CHECK(text.find("why=short\n") != std::string::npos);
    std::size_t const line = text.rfind("request_id=");
    REQUIRE(line != std::string::npos);
    CHECK(text.size() - line < 300);
}
