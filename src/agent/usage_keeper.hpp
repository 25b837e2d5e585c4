// The agent's usage records: held until the entry reports them as settled,
// posted by the agent when it does not.
//
// Example:
//   usage_keeper usage(cluster, store, is_live);
//   hooks.on_usage = [&](usage_report const& u)
//   { usage.on_usage(u, steady_now()); };
//   hooks.on_usage_settled = [&](auto const& ids) { usage.on_settled(ids); };
//   hooks.on_entry_gone = [&](incarnation entry)
//   { usage.on_entry_gone(entry, steady_now()); };
//   usage.note_config();     // after each change of the configuration
//   usage.tick(steady_now()); // a few times a second
//
// Everything runs on the loop's thread; nothing is thread-safe. Counters in
// `cluster_state::counters`: usage_records_held, usage_records_taken_total by
// "late", "entry_gone" or "shutdown", usage_records_posted_total.
#pragma once

#include "agent/agent_hooks.hpp"
#include "billing/ledger_poster.hpp"
#include "cluster/cluster_state.hpp"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace marjorambeam
{

struct usage_keeper_settings
{
    duration hold_time = usage_confirmation_timeout;
    // An entry that has no connection left counts as gone when it has not been
    // in the live set for so long. A connection alone may have been cut.
    duration gone_after = std::chrono::seconds(3);
    batch_times posting;
};

class usage_keeper
{
public:
    using live_test = std::function<bool(peer const&)>;

    // `cluster` and `store` outlive this. Precondition: the identity is
    // complete.
    usage_keeper(
        cluster_state& cluster, object_store& store, live_test is_live,
        usage_keeper_settings settings = {});
    usage_keeper(usage_keeper const&) = delete;
    usage_keeper& operator=(usage_keeper const&) = delete;
    ~usage_keeper() = default;

    // Remembers the prices in force. Call after each change of the
    // configuration.
    void note_config();

    // Holds the record of an attempt that has ended.
    void on_usage(usage_report const& u, steady_time now);

    // The last connection of an entry process has ended.
    void on_entry_gone(incarnation entry, steady_time now);

    // Forgets what the entry has put into the ledger.
    void on_settled(std::vector<std::string> const& request_ids);

    // Posts what is due.
    void tick(steady_time now);

    // Posts everything that is held, for a planned stop. Repeat it with each
    // tick until held() is 0.
    void flush();

    // Records that are not known to be in the ledger.
    std::size_t held()
    {
        return holder_.held() + poster_.batcher().held();
    }

private:
    using price_list = document_map<usage_stage>;

    usage_stage
    priced_stage(work_request const& r, config_snapshot const& admitted) const;
    void release_gone(steady_time now);
    void post(std::vector<usage_record> records, std::string_view reason);

    cluster_state& cluster_;
    live_test is_live_;
    usage_keeper_settings settings_;
    unconfirmed_usage holder_;
    ledger_poster poster_;
    // Prices by the first generation that they were in force at.
    std::deque<std::pair<std::uint64_t, price_list>> prices_;
    // Entries without a connection, and when each was seen live last.
    std::map<incarnation, steady_time> disconnected_;
};

} // namespace marjorambeam
