#include "base/percent_encoding.hpp"

namespace marjorambeam
{
namespace
{

bool is_unreserved(char c)
{
    constexpr std::string_view marks = "-._~";
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || marks.find(c) != std::string_view::npos;
}

} // namespace

std::string percent_encode(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string out;
    out.reserve(text.size());
    for (char const c : text)
    {
        if (is_unreserved(c))
        {
            out += c;
            continue;
        }
        auto const byte = static_cast<unsigned char>(c);
        out += '%';
        out += digits[byte >> 4U];
        out += digits[byte & 0xFU];
    }
    return out;
}

} // namespace marjorambeam
