#include "log/log.hpp"

#include <array>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/shared_ptr.hpp>
#include <climits>
#include <cstdio>
#include <ctime>
#include <iostream>
#include <poll.h>
#include <unistd.h>

namespace marjorambeam
{
namespace
{

namespace logging = boost::log;
namespace expr = boost::log::expressions;

log_level threshold = log_level::off;

// A caller chooses some values, such as ids; a longer one is cut.
constexpr std::size_t max_value_bytes = 150;
// A pipe that has room takes this much without waiting.
constexpr std::size_t max_line_bytes = PIPE_BUF - 1;

// Values are quoted when they hold a space or a quote, so that a line can be
// split into fields again.
void add_value(std::string& out, std::string_view value)
{
    value = value.substr(0, max_value_bytes);
    if (value.find_first_of(" \"\n") == std::string_view::npos)
    {
        out += value;
        return;
    }
    out += '"';
    for (char c : value)
    {
        if (c == '"' || c == '\\')
            out += '\\';
        out += c == '\n' ? ' ' : c;
    }
    out += '"';
}

// Adds the time in UTC, such as "2026-Dec-04 07:05:19.123456". The part up to
// the second is kept, because formatting a date costs more than the rest of a
// line.
void add_time(std::string& out)
{
    static std::time_t kept_second = -1;
    static std::array<char, 32> kept{};
    timespec t{};
    clock_gettime(CLOCK_REALTIME, &t);
    if (t.tv_sec != kept_second)
    {
        constexpr std::array months{"Jan", "Feb", "Mar", "Apr", "May", "Jun",
                                    "Jul", "Aug", "Sep", "Oct", "Nov", "Dec"};
        std::tm parts{};
        gmtime_r(&t.tv_sec, &parts);
        std::snprintf(
            kept.data(), kept.size(), "%04d-%s-%02d %02d:%02d:%02d.",
            parts.tm_year + 1900,
            months[static_cast<std::size_t>(parts.tm_mon)], parts.tm_mday,
            parts.tm_hour, parts.tm_min, parts.tm_sec);
        kept_second = t.tv_sec;
    }
    std::array<char, 24> micros{};
    std::snprintf(micros.data(), micros.size(), "%06ld", t.tv_nsec / 1000);
    out.append(kept.data()).append(micros.data());
}

// Whether the target takes a line without waiting. A pipe that has room tells
// so when it takes PIPE_BUF bytes, more than a line has.
bool has_room(int fd)
{
    pollfd p{.fd = fd, .events = POLLOUT, .revents = 0};
    return poll(&p, 1, 0) == 1 && (p.revents & POLLOUT) != 0;
}

log_budget budget;
log_limits line_limits;
log_totals totals;
std::uint64_t told_unread = 0; // of totals.unread, by a line
int target_fd = STDERR_FILENO;
std::string instance_name;
// Lines that wait, at most max_line_bytes.
std::string pending;
std::uint64_t pending_lines = 0;

} // namespace

log_totals log_line_totals()
{
    return totals;
}

bool take_line(
    log_budget& b, log_limits const& limits, log_level level,
    std::int64_t second, int& held_back_before)
{
    held_back_before = 0;
    if (second != b.second)
    {
        held_back_before = b.held_back;
        b.second = second;
        b.written = 0;
        b.held_back = 0;
    }
    int const limit =
        level <= log_level::info ? limits.info_lines_per_s : limits.lines_per_s;
    if (b.written < limit)
    {
        ++b.written;
        return true;
    }
    ++b.held_back;
    ++b.held_back_in_all;
    return false;
}

void init_log(
    log_level level, std::string_view instance, log_target target,
    log_limits const& limits)
{
    flush_log();
    threshold = level;
    line_limits = limits;
    logging::core::get()->remove_all_sinks();
    target_fd = target == log_target::output ? STDOUT_FILENO : STDERR_FILENO;
    instance_name = instance;
    boost::shared_ptr<
        logging::sinks::synchronous_sink<logging::sinks::text_ostream_backend>>
        sink = logging::add_console_log(
            target == log_target::output ? std::cout : std::cerr);
    sink->set_formatter(expr::stream << expr::message);
    sink->locked_backend()->auto_flush(true);
    logging::core::get()->set_logging_enabled(level != log_level::off);
}

log_level parse_log_level(std::string_view text)
{
    for (log_level it :
         {log_level::debug, log_level::info, log_level::warning,
          log_level::error})
    {
        if (text == to_string(it))
            return it;
    }
    return log_level::off;
}

bool logger::is_on(log_event e)
{
    return row_of(e).level >= threshold;
}

void logger::write(log_event e, std::initializer_list<log_field> fields) const
{
    if (!is_on(e))
        return;
    int held_back = 0;
    bool const may_write = take_line(
        budget, line_limits, row_of(e).level, std::time(nullptr), held_back);
    totals.held_back += may_write ? 0 : 1;
    bool const has_lost = held_back > 0 || totals.unread > told_unread;
    if (has_lost && has_room(target_fd))
    {
        std::uint64_t const unread = totals.unread;
        add_line(
            "log", log_event::lines_held_back,
            {{"lines", std::to_string(held_back)},
             {"unread", std::to_string(unread - told_unread)}});
        told_unread = unread;
    }
    if (may_write)
        add_line(part_, e, fields);
    if (!line_limits.is_buffered || row_of(e).level > log_level::info)
        flush_log();
}

void logger::add_line(
    std::string_view part, log_event e, std::initializer_list<log_field> fields)
{
    static std::string text; // kept for its memory
    text.clear();
    add_time(text);
    log_event_row const& row = row_of(e);
    text.append(" ").append(instance_name).append(" ");
    text.append(to_string(row.level)).append(" ").append(part).append(": ");
    text.append(row.sentence).append(" event=").append(row.name);
    for (log_field const& it : fields)
    {
        text.append(" ").append(it.name).append("=");
        add_value(text, it.value);
    }
    if (text.size() > max_line_bytes)
        text.resize(max_line_bytes);
    if (pending.size() + text.size() + 1 > max_line_bytes)
        flush_log();
    if (!pending.empty())
        pending += '\n';
    pending += text;
    ++pending_lines;
}

void flush_log()
{
    if (pending_lines == 0)
        return;
    static logging::sources::logger source;
    if (!has_room(target_fd))
        totals.unread += pending_lines;
    else if (logging::record rec = source.open_record())
    {
        totals.written += pending_lines;
        logging::record_ostream out(rec);
        out << pending;
        out.flush();
        source.push_record(boost::move(rec));
    }
    pending.clear();
    pending_lines = 0;
}

} // namespace marjorambeam
