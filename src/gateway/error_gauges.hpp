// Gauges of the errors of predicted times, by service.
//
// Example:
//   set_error_gauges(state, boot_now());
//   std::string page = state.counters.render();
//   // marjorambeam_completion_error_p50{service="pool"} 1.4
//
// No I/O. Not thread-safe.
#pragma once

#include "base/time.hpp"
#include "gateway/gateway_state.hpp"

namespace marjorambeam
{

// Sets `completion_error_p10`, `_p50` and `_p90`, the percentiles of observed
// over uncorrected times until the end of streams, and `start_error_p10`,
// `_p50` and `_p90`, those of observed over predicted waits at plain services.
// A service without errors, and one that the configuration does not have, has
// none.
void set_error_gauges(gateway_state& s, steady_time now);

} // namespace marjorambeam
