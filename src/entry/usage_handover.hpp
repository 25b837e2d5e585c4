// Hands usage records to another entry when this one stops and the object API
// does not take them.
//
// Example:
//   usage_handover handover(state, usage, live, calls);
//   if (usage.held() > 0 && handover.run(steady_now()))
//       exit(0); // another entry holds the records
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
    // All references outlive this. Takes the records of other entries from
    // now on, unless this entry stops itself.
    usage_handover(
        entry_state& state, usage_controller& usage, live_entries& live,
        peer_calls& calls);

    // Continues the hand-over; call repeatedly while records are held and no
    // request is left. Returns true once other entries have all of them. The
    // first call only starts the wait for the object API.
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
    bool is_under_way_ = false;
};

} // namespace marjorambeam
