#include "agent/answer_meter.hpp"

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace marjorambeam
{
namespace
{

// An event longer than this is passed on in pieces, and a JSON body longer
// than this is not searched for its usage.
constexpr std::size_t max_held_bytes = std::size_t{1} << 20U;

// Returns the length of the whole events at the start of `text`.
std::size_t whole_events(std::string_view text)
{
    std::size_t const lf = text.rfind("\n\n");
    std::size_t const crlf = text.rfind("\n\r\n");
    std::size_t const lf_end = lf == std::string_view::npos ? 0 : lf + 2;
    std::size_t const crlf_end = crlf == std::string_view::npos ? 0 : crlf + 3;
    return std::max(lf_end, crlf_end);
}

// Whether an event's JSON has a non-empty text in "content". A quote inside a
// text is escaped, so that `"content"` is found as a name only.
bool has_content(std::string_view json)
{
    constexpr std::string_view name = "\"content\"";
    std::size_t at = json.find(name);
    if (at == std::string_view::npos)
        return false;
    at = json.find_first_not_of(" :", at + name.size());
    if (at == std::string_view::npos || json[at] != '"')
        return false;
    return at + 1 < json.size() && json[at + 1] != '"';
}

} // namespace

void answer_meter::state_deleter::operator()(XXH3_state_s* state) const
{
    XXH3_freeState(state);
}

answer_meter::answer_meter(bool is_event_stream)
    : is_event_stream_(is_event_stream)
    , hash_(XXH3_createState())
{
    XXH3_64bits_reset(hash_.get());
}

std::string answer_meter::take(std::string_view bytes)
{
    if (!is_event_stream_)
    {
        if (held_.size() + bytes.size() <= max_held_bytes)
            held_.append(bytes);
        add(bytes);
        return std::string(bytes);
    }
    held_.append(bytes);
    std::size_t n = whole_events(held_);
    if (n == 0 && held_.size() > max_held_bytes)
        n = held_.size();
    std::string out = held_.substr(0, n);
    held_.erase(0, n);
    add(out);
    count_events(out);
    return out;
}

std::string answer_meter::finish()
{
    std::string out;
    if (is_event_stream_)
    {
        out.swap(held_);
        add(out);
        count_events(out);
    }
    else if (held_.size() == length_)
    {
        read_usage(held_);
    }
    return out;
}

std::uint32_t answer_meter::take_new_tokens()
{
    std::uint32_t const n = new_tokens_;
    new_tokens_ = 0;
    return n;
}

std::uint64_t answer_meter::checksum() const
{
    return XXH3_64bits_digest(hash_.get());
}

void answer_meter::add(std::string_view bytes)
{
    length_ += bytes.size();
    XXH3_64bits_update(hash_.get(), bytes.data(), bytes.size());
}

void answer_meter::count_events(std::string_view events)
{
    constexpr std::string_view prefix = "data:";
    while (!events.empty())
    {
        std::size_t const end = events.find('\n');
        std::string_view line = events.substr(0, end);
        events.remove_prefix(
            end == std::string_view::npos ? events.size() : end + 1);
        if (!line.starts_with(prefix))
            continue;
        line.remove_prefix(prefix.size());
        if (has_content(line))
        {
            ++tokens_;
            ++new_tokens_;
        }
        if (line.find("\"usage\"") != std::string_view::npos)
            read_usage(line);
    }
}

void answer_meter::read_usage(std::string_view text)
{
    auto const body = nlohmann::json::parse(text, nullptr, false);
    if (!body.is_object() || !body.contains("usage"))
        return;
    auto const& usage = body["usage"];
    bool const is_complete = usage.is_object() &&
                             usage.contains("prompt_tokens") &&
                             usage["prompt_tokens"].is_number_unsigned() &&
                             usage.contains("completion_tokens") &&
                             usage["completion_tokens"].is_number_unsigned();
    if (!is_complete)
        return;
    has_usage_ = true;
    tokens_in_ = usage["prompt_tokens"].get<std::uint64_t>();
    usage_tokens_out_ = usage["completion_tokens"].get<std::uint64_t>();
}

} // namespace marjorambeam
