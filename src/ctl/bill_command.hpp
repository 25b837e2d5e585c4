// The command that adds up a customer's bill from the ledger.
//
// Example:
//   exit_code code = run_bill(context, {"havbris"});
//
// Not thread-safe.
#pragma once

#include "ctl/ctl.hpp"

namespace marjorambeam
{

// Prints requests, tokens and cost of a customer, with one line for each
// request as JSON. Error: not_found when the customer has neither a contract
// nor a line in the ledger.
exit_code run_bill(ctl_context& c, ctl_arguments arguments);

} // namespace marjorambeam
