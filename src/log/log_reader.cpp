#include "log/log_reader.hpp"

#include <algorithm>
#include <boost/date_time/posix_time/posix_time.hpp>

namespace marjorambeam
{
namespace
{

// Returns the text up to the next space and removes it with the space.
std::string_view take_word(std::string_view& rest)
{
    std::size_t const end = std::min(rest.find(' '), rest.size());
    std::string_view const word = rest.substr(0, end);
    rest.remove_prefix(std::min(end + 1, rest.size()));
    return word;
}

std::optional<wall_time> parse_time(std::string_view date, std::string_view day)
{
    try
    {
        using namespace boost::posix_time;
        ptime const t =
            time_from_string(std::string(date).append(" ").append(day));
        if (t.is_special())
            return std::nullopt;
        ptime const epoch(boost::gregorian::date(1970, 1, 1));
        return wall_time(duration((t - epoch).total_microseconds()));
    }
    catch (std::exception const&)
    {
        return std::nullopt; // another kind of line
    }
}

// Takes a value, which is quoted when it holds a space or a quote.
std::string take_value(std::string_view& rest)
{
    if (!rest.starts_with('"'))
        return std::string(take_word(rest));
    std::string value;
    std::size_t i = 1;
    for (; i < rest.size() && rest[i] != '"'; ++i)
    {
        if (rest[i] == '\\' && i + 1 < rest.size())
            ++i;
        value += rest[i];
    }
    rest.remove_prefix(std::min(i + 2, rest.size()));
    return value;
}

} // namespace

std::string_view log_line::field(std::string_view name) const
{
    auto const it = std::find_if(
        fields.begin(), fields.end(),
        [&](auto const& f) { return f.first == name; });
    return it == fields.end() ? std::string_view() : it->second;
}

std::optional<log_line> parse_log_line(std::string_view text)
{
    constexpr std::string_view mark = " event=";
    log_line line;
    line.text = text;
    std::string_view rest = text;
    std::string_view const date = take_word(rest);
    std::optional<wall_time> const t = parse_time(date, take_word(rest));
    if (!t)
        return std::nullopt;
    line.time = *t;
    line.instance = take_word(rest);
    line.level = take_word(rest);
    std::size_t const colon = rest.find(": ");
    std::size_t const event = rest.find(mark);
    if (colon == std::string_view::npos || event == std::string_view::npos ||
        event < colon)
        return std::nullopt;
    line.part = rest.substr(0, colon);
    line.sentence = rest.substr(colon + 2, event - colon - 2);
    rest.remove_prefix(event + mark.size());
    line.event = take_word(rest);
    while (!rest.empty())
    {
        std::size_t const equals = rest.find('=');
        if (equals == std::string_view::npos)
            return std::nullopt;
        std::string name(rest.substr(0, equals));
        rest.remove_prefix(equals + 1);
        line.fields.emplace_back(std::move(name), take_value(rest));
    }
    return line;
}

} // namespace marjorambeam
