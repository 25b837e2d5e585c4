#include "log/log.hpp"

#include <boost/date_time/posix_time/posix_time_io.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/shared_ptr.hpp>
#include <iostream>

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

} // namespace

void init_log(
    log_level level, std::string_view instance, log_target target)
{
    threshold = level;
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
    static logging::sources::logger_mt source;
    logging::record rec = source.open_record();
    if (!rec)
        return;
    logging::record_ostream out(rec);
    out << level_name(level) << ' ' << part_ << ": " << sentence;
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
