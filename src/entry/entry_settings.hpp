// Settings of marjorambeam-entry.
//
// Example:
//   entry_settings s;
//   auto outcome = parse_settings("marjorambeam-entry", "ENTRY",
//       settings_table(s), args, process_environment(), out, err);
#pragma once

#include "base/time.hpp"
#include "cluster/cluster_settings.hpp"
#include "entry/rating_controller.hpp"
#include "entry/rollout_controller.hpp"
#include "settings/settings.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace marjorambeam
{

struct entry_settings
{
    std::string instance;
    std::string availability_zone;
    std::string listen;       // HTTP for callers
    std::string admin_listen; // HTTP for operators
    std::string peer_listen;  // frames and digests from other daemons
    cluster_settings cluster;
    std::string session_secret;
    std::string log_level;
    std::int64_t max_body_bytes = 0;
    std::int64_t max_header_bytes = 0;
    std::int64_t max_connections = 0;
    std::int64_t traced_requests = 0;
    duration body_timeout{};
    duration idle_timeout{};
    duration drain_limit{};
    duration heartbeat_interval{};
    duration silence_limit{};
    rating_settings rating;
    rollout_settings rollout;
};

// Returns the settings table that fills `s`, which must outlive it.
inline std::vector<setting> settings_table(entry_settings& s)
{
    std::vector<setting> rows{
        text_setting(
            "instance", "", "Name of this instance", s.instance, false),
        text_setting(
            "zone", "", "Availability zone of this instance",
            s.availability_zone, false),
        address_setting(
            "listen", "127.0.0.1:8080", "Address for callers", s.listen),
        address_setting(
            "admin-listen", "127.0.0.1:8081",
            "Address for operators: status, explain, metrics", s.admin_listen),
        address_setting(
            "peer-listen", "127.0.0.1:8082",
            "TCP and UDP address for other daemons", s.peer_listen),
        text_setting(
            "session-secret", "",
            "Secret that signs session tokens, the same at all entries",
            s.session_secret, false),
        choice_setting(
            "log-level", "info", {"debug", "info", "warning", "error", "off"},
            "Least severe lines to log", s.log_level),
        number_setting(
            "max-body-bytes", 4 << 20, 1024, 7 << 20,
            "Longest body of a request", s.max_body_bytes),
        number_setting(
            "max-header-bytes", 32 << 10, 4096, 1 << 20,
            "Memory for the headers of a request", s.max_header_bytes),
        number_setting(
            "max-connections", 10000, 1, 1000000, "Open connections of callers",
            s.max_connections),
        number_setting(
            "traced-requests", 10000, 0, 10000000,
            "Requests whose decisions are kept for explain", s.traced_requests),
        duration_setting(
            "body-timeout-ms", 30000, 10, 3600000,
            "Time for a caller to send a body", s.body_timeout),
        duration_setting(
            "idle-timeout-ms", 60000, 1000, 3600000,
            "Time after which an idle connection is closed", s.idle_timeout),
        duration_setting(
            "drain-ms", 60000, 0, 86400000,
            "Longest wait for admitted requests at a shutdown", s.drain_limit),
        duration_setting(
            "heartbeat-ms", 1000, 10, 60000,
            "Interval of heartbeats to agents with work under way",
            s.heartbeat_interval),
        duration_setting(
            "silence-ms", 3000, 30, 600000,
            "Silence after which a connection to an agent is given up",
            s.silence_limit),
        url_setting(
            "rating-service", "",
            "Base URL of the rating service; empty: answers are not rated",
            s.rating.url, true),
    };
    for (setting& it : cluster_setting_rows(s.cluster))
        rows.push_back(std::move(it));
    return rows;
}

} // namespace marjorambeam
