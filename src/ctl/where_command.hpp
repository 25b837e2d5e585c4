// The command where, which asks a gateway where a request would go.
//
// Example:
//   exit_code code = run_where(context, {});
#pragma once

#include "ctl/ctl.hpp"

#include <string>
#include <string_view>

namespace marjorambeam
{

// Returns the URL of the query, without the key. Values are percent-encoded.
// Thread-safe.
std::string where_url(where_settings const& w);

// Prints the JSON that a gateway answers `GET /where` with as a table; other
// text as it is. Thread-safe.
std::string where_table(std::string_view body);

// Prints where the request of the settings would go. Exit codes: done also if
// it would wait or be refused for now; not_found if the gateway knows no such
// route or key; failure if it is not reachable, or starts.
exit_code run_where(ctl_context& c, ctl_arguments arguments);

} // namespace marjorambeam
