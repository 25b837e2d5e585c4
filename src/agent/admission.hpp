// Decides whether the agent takes an attempt, by its own configuration.
//
// Example:
//   if (std::optional<error> e = check_permission(state, request))
//       refuse(*e); // nothing was sent to the upstream
//
// Performs no I/O; not thread-safe.
#pragma once

#include "agent/agent_state.hpp"

#include <optional>

namespace marjorambeam
{

// Whether the configuration in force lets this agent run the request: its
// upstream, availability zone, version or service, and contract. Checked at
// admission and again when the attempt is started, since the configuration
// may have changed in between. Every error has the run state `not_run`.
std::optional<error>
check_permission(agent_state const& s, work_request const& request);

// Whether the agent takes new work of this kind now: ready, not shutting down,
// upstream reachable and not too cold, deadline ahead. Errors: shutting_down,
// not_ready, isolated, bad_request, no_upstream, upstream_cold,
// deadline_exceeded, idempotency_key_required; all `not_run`.
std::optional<error>
check_readiness(agent_state const& s, work_request const& request);

// The queue bounds that apply to the request. Precondition: check_permission
// passed.
queue_limits limits_for(agent_state const& s, work_request const& request);

} // namespace marjorambeam
