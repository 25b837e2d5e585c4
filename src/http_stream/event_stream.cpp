#include "http_stream/event_stream.hpp"

#include <charconv>

namespace marjorambeam
{
namespace
{

// Returns the value of the event's `id` field.
std::optional<std::uint64_t> event_id(std::string_view event)
{
    while (!event.empty())
    {
        std::size_t const end = event.find('\n');
        std::string_view line = event.substr(0, end);
        event.remove_prefix(
            end == std::string_view::npos ? event.size() : end + 1);
        if (line.substr(0, 3) != "id:")
            continue;
        line.remove_prefix(3);
        while (!line.empty() && line.front() == ' ')
            line.remove_prefix(1);
        std::uint64_t id = 0;
        auto const [at, ec] =
            std::from_chars(line.data(), line.data() + line.size(), id);
        if (ec == std::errc{} && at != line.data())
            return id;
    }
    return std::nullopt;
}

bool is_comment(std::string_view event)
{
    while (!event.empty())
    {
        bool const is_text = event.front() != ':' && event.front() != '\r' &&
                             event.front() != '\n';
        if (is_text)
            return false;
        std::size_t const end = event.find('\n');
        event.remove_prefix(
            end == std::string_view::npos ? event.size() : end + 1);
    }
    return true;
}

// Returns the position after the first blank line, or npos.
std::size_t end_of_event(std::string_view bytes)
{
    for (std::size_t at = bytes.find('\n'); at != std::string_view::npos;
         at = bytes.find('\n', at + 1))
    {
        std::string_view const rest = bytes.substr(at + 1);
        if (rest.substr(0, 1) == "\n")
            return at + 2;
        if (rest.substr(0, 2) == "\r\n")
            return at + 3;
    }
    return std::string_view::npos;
}

} // namespace

void event_splitter::take(std::string_view event, std::string& out)
{
    std::optional<std::uint64_t> const id = event_id(event);
    if (id && last_id_)
    {
        if (*id <= *last_id_)
            return; // the caller has it
        if (*id != *last_id_ + 1)
            has_gap_ = true;
    }
    if (has_gap_)
        return;
    if (id)
        last_id_ = id;
    // Comments keep a connection open and are no progress of the stream.
    events_ += is_comment(event) ? 0 : 1;
    out.append(event);
}

std::string event_splitter::put(std::string_view bytes)
{
    std::string out;
    if (!held_.empty())
    {
        held_.append(bytes);
        bytes = held_;
    }
    std::size_t start = 0;
    for (std::size_t n = end_of_event(bytes); n != std::string_view::npos;
         n = end_of_event(bytes.substr(start)))
    {
        take(bytes.substr(start, n), out);
        start += n;
    }
    held_ = std::string(bytes.substr(start));
    return out;
}

} // namespace marjorambeam
