#include "http_stream/retry_after.hpp"

#include <charconv>
#include <cmath>
#include <curl/curl.h>
#include <string>

namespace marjorambeam
{
namespace
{

std::optional<double> parse_seconds(std::string_view text)
{
    double n = 0;
    char const* const last = text.data() + text.size();
    auto const [end, ec] =
        std::from_chars(text.data(), last, n, std::chars_format::fixed);
    if (ec != std::errc{} || end != last || !std::isfinite(n))
        return std::nullopt;
    return n;
}

std::optional<double>
seconds_between(std::string_view from, std::string_view to)
{
    time_t const begin = curl_getdate(std::string(from).c_str(), nullptr);
    time_t const end = curl_getdate(std::string(to).c_str(), nullptr);
    if (begin < 0 || end < 0)
        return std::nullopt;
    return static_cast<double>(end - begin);
}

} // namespace

std::optional<duration>
parse_retry_after(std::string_view value, std::string_view date)
{
    std::optional<double> n = parse_seconds(value);
    if (!n && !date.empty())
        n = seconds_between(date, value);
    if (!n || *n < 0 || *n > to_seconds(longest_retry_after))
        return std::nullopt;
    return from_seconds(*n);
}

} // namespace marjorambeam
