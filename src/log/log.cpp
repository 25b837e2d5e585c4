#include "log/log.hpp"

#include <boost/date_time/posix_time/posix_time_io.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/shared_ptr.hpp>
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

std::string_view level_name(log_level level)
{
    switch (level)
    {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    case log_level::off:
        break;
    }
    return "off";
}

// Values are quoted when they hold a space or a quote, so that a line can be
// split into fields again.
void write_value(std::ostream& out, std::string_view value)
{
    if (value.find_first_of(" \"\n") == std::string_view::npos)
    {
        out << value;
        return;
    }
    out << '"';
    for (char c : value)
    {
        if (c == '"' || c == '\\')
            out << '\\';
        out << (c == '\n' ? ' ' : c);
    }
    out << '"';
}

// Whether the target takes a line without waiting. A pipe that has room tells
// so when it takes PIPE_BUF bytes, more than a line has.
bool has_room(int fd)
{
    pollfd p{.fd = fd, .events = POLLOUT, .revents = 0};
    return poll(&p, 1, 0) == 1 && (p.revents & POLLOUT) != 0;
}

log_budget budget;
int target_fd = STDERR_FILENO;

} // namespace

bool take_line(
    log_budget& b, log_level level, std::int64_t second, int& held_back_before)
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
        level <= log_level::info ? max_info_lines_per_s : max_lines_per_s;
    if (b.written < limit)
    {
        ++b.written;
        return true;
    }
    ++b.held_back;
    ++b.held_back_in_all;
    return false;
}

void init_log(log_level level, std::string_view instance, log_target target)
{
    threshold = level;
    target_fd = target == log_target::output ? STDOUT_FILENO : STDERR_FILENO;
    logging::add_common_attributes();
    boost::shared_ptr<
        logging::sinks::synchronous_sink<logging::sinks::text_ostream_backend>>
        sink = logging::add_console_log(
            target == log_target::output ? std::cout : std::cerr);
    sink->set_formatter(
        expr::stream << expr::attr<boost::posix_time::ptime>("TimeStamp") << " "
                     << std::string(instance) << " " << expr::message);
    sink->locked_backend()->auto_flush(true);
    logging::core::get()->set_logging_enabled(level != log_level::off);
}

log_level parse_log_level(std::string_view text)
{
    for (log_level it :
         {log_level::debug, log_level::info, log_level::warning,
          log_level::error})
    {
        if (text == level_name(it))
            return it;
    }
    return log_level::off;
}

void logger::write(
    log_level level, std::string_view sentence,
    std::initializer_list<log_field> fields) const
{
    if (level < threshold)
        return;
    int held_back = 0;
    bool const may_write =
        take_line(budget, level, std::time(nullptr), held_back);
    if (held_back > 0 && has_room(target_fd))
        write_line(
            log_level::warning, "log", "Lines were held back.",
            {{"lines", std::to_string(held_back)}});
    if (may_write && has_room(target_fd))
        write_line(level, part_, sentence, fields);
}

void logger::write_line(
    log_level level, std::string_view part, std::string_view sentence,
    std::initializer_list<log_field> fields)
{
    static logging::sources::logger_mt source;
    logging::record rec = source.open_record();
    if (!rec)
        return;
    logging::record_ostream out(rec);
    out << level_name(level) << ' ' << part << ": " << sentence;
    for (log_field const& it : fields)
    {
        out << ' ' << it.name << '=';
        write_value(out.stream(), it.value);
    }
    out.flush();
    source.push_record(boost::move(rec));
}

void logger::debug(
    std::string_view sentence, std::initializer_list<log_field> fields) const
{
    write(log_level::debug, sentence, fields);
}

void logger::info(
    std::string_view sentence, std::initializer_list<log_field> fields) const
{
    write(log_level::info, sentence, fields);
}

void logger::warning(
    std::string_view sentence, std::initializer_list<log_field> fields) const
{
    write(log_level::warning, sentence, fields);
}

void logger::error(
    std::string_view sentence, std::initializer_list<log_field> fields) const
{
    write(log_level::error, sentence, fields);
}

} // namespace marjorambeam
