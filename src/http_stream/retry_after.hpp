// Reads the header Retry-After (RFC 9110, section 10.2.3).
//
// Example:
//   parse_retry_after("1.5", "");                                // 1.5 s
//   parse_retry_after("Fri, 04 Dec 2026 12:00:07 GMT",
//                     "Fri, 04 Dec 2026 12:00:00 GMT");          // 7 s
#pragma once

#include "base/time.hpp"

#include <optional>
#include <string_view>

namespace marjorambeam
{

// A longer time to come back is taken to be a fault of its sender.
constexpr duration longest_retry_after = std::chrono::hours(1);

// Returns the time that `value` names, in seconds with or without a fraction.
// A date counts from `date`, the sender's own clock, so that it holds while
// clocks differ. Returns nothing for anything else, for a negative time, a
// longer one than longest_retry_after, and a date without `date`. Thread-safe.
std::optional<duration>
parse_retry_after(std::string_view value, std::string_view date);

} // namespace marjorambeam
