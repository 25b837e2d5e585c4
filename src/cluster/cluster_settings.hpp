// Settings of the cluster controller, shared by both daemons.
//
// Example:
//   cluster_settings cluster;
//   std::vector<setting> table = daemon_rows(s);
//   append(table, cluster_setting_rows(cluster));
#pragma once

#include "base/time.hpp"
#include "config_sync/config_history.hpp"
#include "config_sync/sync_decisions.hpp"
#include "settings/settings.hpp"

#include <string>
#include <vector>

namespace marjorambeam
{

struct cluster_settings
{
    std::string store_url;         // base URL of the object API
    std::string instance_list_url; // empty: no list, peers come from digests
    duration list_period = std::chrono::seconds(2);
    // A watch that finds nothing ends after this, which tells that the store
    // is still there. Less than sync_rules::probe_after.
    duration watch_timeout = std::chrono::seconds(2);
    duration tick_period = std::chrono::milliseconds(250);
    sync_rules sync;
    history_limits history;
    // Address that others are told; empty for the bound one.
    std::string advertise;
    // Bound for UDP; set by the program, empty for identity.address.
    std::string bind_address;
};

// The rows that fill `s`, which outlives them. Thread-safe.
std::vector<setting> cluster_setting_rows(cluster_settings& s);

} // namespace marjorambeam
