// Creates a usage record for each finished request, posts records to the ledger
// and notifies agents of the settled ones.
//
// Example:
//   usage_controller usage(state, store, links);
//   usage.on_request_end(request, why); // for each request that ended
//   usage.tick(steady_now());           // a few times a second
//
// Used on the loop's thread only; not thread-safe.
#pragma once

#include "billing/ledger_poster.hpp"
#include "entry/agent_links.hpp"
#include "entry/entry_state.hpp"

#include <string>
#include <unordered_map>
#include <vector>

namespace marjorambeam
{

class usage_controller
{
public:
    // All references must outlive this.
    usage_controller(
        entry_state& state, object_store& store, agent_links& links);

    // Creates the usage record of a request that ended. `why` is null when the
    // complete response was written to the caller's connection.
    void on_request_end(entry_request const& r, error const* why);

    // Accepts a record that another entry handed over before it stopped.
    void accept_handover(usage_record record);

    // Returns copies of the records that are not confirmed to be in the ledger.
    std::vector<usage_record> unconfirmed();

    // Posts the records that are due.
    void tick(steady_time now);

    // Makes all records due immediately; call on a graceful shutdown.
    void flush();

    // Returns the number of records that are not yet in the ledger.
    std::size_t held();

private:
    void on_settled(std::vector<std::string> const& request_ids);

    entry_state& state_;
    agent_links& links_;
    ledger_poster poster_;
    // Instances of the agents that ran a request and hold a copy of its record,
    // by request id.
    std::unordered_map<std::string, std::vector<std::string>> holders_;
};

} // namespace marjorambeam
