// Acquires and renews one lease in the object store for a process.
//
// Example:
//   lease_keeper lease(loop, store, "rollout", unique_holder_name, {});
//   lease.on_change([&](bool is_held) { ... });
//   if (lease.may_act())
//       send_command(command, lease.fencing());
//   lease.release([&] { finish_shutdown(); });
//
// Call all functions on the loop's thread; not thread-safe. May be destroyed at
// any time.
#pragma once

#include "event_loop/event_loop.hpp"
#include "lease/lease.hpp"
#include "object_store/object_store.hpp"

#include <functional>
#include <memory>
#include <string>

namespace marjorambeam
{

class lease_keeper
{
public:
    // Starts to acquire `leases/NAME`. Preconditions: `holder` is unique to
    // this process, also among earlier ones; `store` outlives the keeper.
    lease_keeper(
        ev::loop_ref loop, object_store& store, std::string name,
        std::string holder, lease_rules const& rules);
    lease_keeper(lease_keeper const&) = delete;
    lease_keeper& operator=(lease_keeper const&) = delete;
    ~lease_keeper() = default;

    // Whether this process may act now, by its own clocks. Call it before each
    // action.
    bool may_act();

    // The fencing number to send with each action; 0 when not held.
    std::uint64_t fencing() const
    {
        return state_.fencing;
    }
    // The number of times that the lease was lost while held.
    std::uint64_t lost() const
    {
        return state_.lost;
    }

    // Sets the function to call when the lease is acquired or lost. Replaces an
    // earlier one.
    void on_change(std::function<void(bool is_held)> callback);

    // Releases the lease; `done` is called when the store has recorded the
    // release or another process holds the lease. While the store is
    // unavailable, `done` is delayed until it recovers; the lease expires
    // meanwhile.
    void release(std::function<void()> done);

private:
    void tick();
    void send(lease_call const& call);
    void handle_reply(result<stored_object> const& reply);
    void notify_change();

    object_store& store_;
    std::string name_;
    lease_state state_;
    loop_timer timer_;
    bool was_held_ = false;
    std::function<void(bool)> on_change_;
    std::function<void()> on_released_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace marjorambeam
