// Explains a request of a gateway from the lines of logs alone.
//
// Example:
//   log_explanation const x = explain_from_log(std::cin, id);
//   if (!x.lines.empty())
//       std::cout << x.cause;
//
// No network and no clock. Thread-safe.
#pragma once

#include "log/log_reader.hpp"

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambeam
{

struct log_explanation
{
    std::string cause;             // in words
    std::vector<log_line> lines;   // of the request, by time
    std::vector<log_line> context; // what was known beside it, by time
    std::size_t skipped = 0;       // lines of another form
};

// Reads all of `log`, which may mix the lines of many instances. The context
// are the changes in what the request's instances believed, and what any
// instance said of its upstreams, near the time of the request. Keeps the
// lines of the request and those that belong to no request in memory.
log_explanation
explain_from_log(std::istream& log, std::string_view request_id);

} // namespace marjorambeam
