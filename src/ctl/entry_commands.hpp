// Commands that ask the entries: status and explain.
//
// Example:
//   exit_code code = run_explain(context, {"r-00000000000000ab-7"});
//
// Both ask all entries at the same time, so that a silent one delays the
// answer by one timeout at most.
#pragma once

#include "ctl/ctl.hpp"

#include <string_view>

namespace marjorambeam
{

// Whether `text` has the form of a request id, "r-<16 hex digits>-<number>".
// Thread-safe.
bool is_request_id(std::string_view text);

// Prints the newest generation in the store and each entry's
// `GET /admin/status`. The exit code is store_unavailable when the store does
// not answer, else failure when one of the entries does not.
exit_code run_status(ctl_context& c, ctl_arguments arguments);

// With --log, explains the request from the lines of logs. Else prints
// `GET /admin/explain/REQUEST_ID` of the entry that knows the request.
// The exit code is not_found only when every entry has answered that it does
// not know it.
exit_code run_explain(ctl_context& c, ctl_arguments arguments);

} // namespace marjorambeam
