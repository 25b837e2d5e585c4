// The agent's HTTP interface for operators: /healthz, /readyz, /metrics and
// /admin/status.
//
// Example:
//   http_server admin(loop, {.address = "127.0.0.1:0"},
//       [&](auto const& ex) { answer_admin(state, cluster.status_json(now),
//       *ex); });
//
// Not thread-safe.
#pragma once

#include "agent/agent_state.hpp"
#include "http_server/http_server.hpp"

#include <string_view>

namespace marjorambeam
{

// Answers one request; unknown paths with 404, methods other than GET with
// 405. `cluster_status` is the JSON of the cluster controller, or empty.
// Precondition: nothing was sent on `ex`.
void answer_admin(
    agent_state const& s, std::string_view cluster_status, http_exchange& ex);

} // namespace marjorambeam
