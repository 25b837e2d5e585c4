// Percent-encoding of text in URLs.
//
// Example:
//   call.url = base + "/objects/" + percent_encode(name);
#pragma once

#include <string>
#include <string_view>

namespace marjorambeam
{

// Returns `text` with every byte escaped that is not unreserved in a URL
// (RFC 3986, 2.3), so that it is one segment of a path or one value of a query.
// Thread-safe.
std::string percent_encode(std::string_view text);

} // namespace marjorambeam
