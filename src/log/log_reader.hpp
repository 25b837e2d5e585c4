// Reads back the lines that log.hpp writes.
//
// Example:
//   std::optional<log_line> const it = parse_log_line(text);
//   if (it && it->field("request_id") == id)
//       std::cout << it->event;
//
// Thread-safe.
#pragma once

#include "base/time.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace marjorambeam
{

struct log_line
{
    wall_time time{};
    std::string instance;
    std::string level;
    std::string part;
    std::string sentence;
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string text; // the whole line

    // Value of a field, empty when the line does not have it.
    std::string_view field(std::string_view name) const;
};

// Takes apart one line; nothing when it has another form.
std::optional<log_line> parse_log_line(std::string_view text);

} // namespace marjorambeam
