// Makes the usage record of each request that ended, posts records to the
// ledger and tells agents what is settled.
//
// Example:
//   usage_controller usage(state, store, links);
//   usage.on_request_end(request, why);     // for each request that ended
//   usage.tick(steady_now());       // a few times a second
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
    usage_controller(
        entry_state& state, object_store& store, agent_links& links);

    // Takes the end of a request; `why` is null when its whole response was
    // handed to the caller's connection.
    void on_request_end(entry_request const& r, error const* why);

    // Takes a record that another daemon handed over before it stopped.
    void accept_handover(usage_record record);

    // Copies of the records that are not known to be in the ledger.
    std::vector<usage_record> unconfirmed();

    // Starts a post when one is due.
    void tick(steady_time now);

    // Makes all records due at once, for a planned stop.
    void flush();

    // Records that are not yet in the ledger.
    std::size_t held();

private:
    void on_settled(std::vector<std::string> const& request_ids);

    entry_state& state_;
    agent_links& links_;
    ledger_poster poster_;
    // Agents that worked on a request and hold a record of it.
    std::unordered_map<std::string, std::vector<std::string>> holders_;
};

} // namespace marjorambeam
