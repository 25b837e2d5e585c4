#include "base/id.hpp"

#include <charconv>
#include <sodium.h>

namespace marjorambeam
{
namespace
{

constexpr std::size_t uuid_length = 36;

bool is_dash_position(std::size_t i)
{
    return i == 8 || i == 13 || i == 18 || i == 23;
}

} // namespace

incarnation random_incarnation()
{
    incarnation value = 0;
    while (value == 0)
        randombytes_buf(&value, sizeof value);
    return value;
}

std::string to_hex(std::uint64_t value)
{
    constexpr char digits[] = "0123456789abcdef";
    std::string text(16, '0');
    for (std::size_t i = 16; i-- > 0; value >>= 4U)
        text[i] = digits[value & 0xfU];
    return text;
}

std::string make_uuid7(std::int64_t unix_ms, std::uint64_t random)
{
    std::string const time = to_hex(static_cast<std::uint64_t>(unix_ms));
    std::string const tail = to_hex(random);
    // Layout: 48 bits of time, version 7, 12 random bits, variant 10, 62
    // random bits.
    return time.substr(4, 8) + "-" + time.substr(12, 4) + "-7" +
           tail.substr(0, 3) + "-8" + tail.substr(3, 3) + "-" +
           tail.substr(4, 12);
}

std::int64_t uuid7_unix_ms(std::string_view text)
{
    if (text.size() != uuid_length || text[14] != '7')
        return -1;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        bool const is_hex =
            std::string_view("0123456789abcdefABCDEF").find(text[i]) !=
            std::string_view::npos;
        if (is_dash_position(i) ? text[i] != '-' : !is_hex)
            return -1;
    }
    std::string digits(text.substr(0, 8));
    digits += text.substr(9, 4);
    std::int64_t ms = -1;
    std::from_chars(digits.data(), digits.data() + digits.size(), ms, 16);
    return ms;
}

} // namespace marjorambeam
