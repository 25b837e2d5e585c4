// Writes configuration changes, one at a time, without blocking the event loop.
//
// Example:
//   generation_writer writer(loop, store, [&] { return lease.may_act(); });
//   writer.start(*cluster.config, proposal, steady_now() + seconds(5),
//       [&](edit_state const& end) { if (end.outcome) ...; });
//
// Runs the state machine of config_edit: creates the next generation number
// conditionally, reads it back when the reply was lost, and retries with the
// following number when another editor took it, unless both edits touch the
// same document.
//
// Used on the loop's thread only; not thread-safe.
#pragma once

#include "config_edit/config_edit.hpp"
#include "event_loop/event_loop.hpp"
#include "object_store/object_store.hpp"

#include <functional>
#include <memory>
#include <optional>

namespace marjorambeam
{

class generation_writer
{
public:
    using done_handler = std::function<void(edit_state const&)>;

    // `may_act` is called before each create. `store` must outlive this.
    generation_writer(
        ev::loop_ref loop, object_store& store, std::function<bool()> may_act);
    generation_writer(generation_writer const&) = delete;
    generation_writer& operator=(generation_writer const&) = delete;
    ~generation_writer() = default;

    // Starts an edit. `done` is called once with the final state, possibly
    // before this returns. The outcome is `cancelled` when `may_act` returned
    // false. Precondition: !is_busy().
    void start(
        config_snapshot base, generation proposal, steady_time give_up_at,
        done_handler done);

    // Returns whether an edit is in progress.
    bool is_busy() const
    {
        return state_.has_value();
    }

private:
    void proceed();
    void step();
    void create();
    void read_back();
    void finish();

    object_store& store_;
    std::function<bool()> may_act_;
    std::optional<edit_state> state_;
    done_handler done_;
    loop_timer timer_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace marjorambeam
