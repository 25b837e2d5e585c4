// Hands usage records over to another entry when this one shuts down while the
// object API is unavailable.
//
// Example:
//   usage_handover handover(state, usage, live, calls);
//   if (usage.held() > 0 && handover.run(steady_now()))
//       exit(0); // other entries hold the records
//
// Used on the loop's thread only; not thread-safe.
#pragma once

#include "entry/entry_state.hpp"
#include "entry/live_entries.hpp"
#include "entry/peer_calls.hpp"
#include "entry/usage_controller.hpp"

#include <cstddef>
#include <vector>

namespace marjorambeam
{

class usage_handover
{
public:
    // All references must outlive this. Accepts records of other entries from
    // now on, except while this entry shuts down.
    usage_handover(
        entry_state& state, usage_controller& usage, live_entries& live,
        peer_calls& calls);

    // Advances the hand-over; call repeatedly while records are held. Returns
    // true once other entries have accepted all of them. The first call only
    // starts the wait for the object API. Precondition: no request is active.
    bool run(steady_time now);

private:
    void send_batch(std::string const& instance);

    entry_state& state_;
    usage_controller& usage_;
    live_entries& live_;
    peer_calls& calls_;
    std::vector<usage_record> records_; // not yet handed over
    steady_time started_at_{};
    std::size_t next_peer_ = 0;
    bool has_records_ = false;
    bool is_call_pending_ = false;
};

} // namespace marjorambeam
