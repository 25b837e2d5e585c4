// Times the turns of the process's loop, from the return of a poll to the next
// one, and the longest part of each turn that is timed by name.
//
// Example:
//   loop_monitor monitor(loop, [&](loop_turn const& t) { report(t); });
//   {
//       timed_part const part(monitor, "config");
//       apply(config);
//   }
//
// What arrives during a turn waits in the kernel until the turn is over.
// Everything here runs on the loop's thread; nothing is thread-safe.
#pragma once

#include "base/time.hpp"

#include <ev++.h>
#include <functional>
#include <string_view>

namespace marjorambeam
{

// A turn of the loop that is over.
struct loop_turn
{
    duration took{0};
    std::string_view longest; // part of the turn; empty: none was timed
    duration longest_took{0};
};

// Reports each turn of a loop. Not thread-safe.
class loop_monitor
{
public:
    using turn_handler = std::function<void(loop_turn const&)>;

    // Calls `on_turn` after each turn. Precondition: `loop` outlives the
    // monitor. Loop thread only, like all members.
    loop_monitor(ev::loop_ref loop, turn_handler on_turn)
        : prepare_(loop)
        , check_(loop)
        , on_turn_(std::move(on_turn))
        , turn_started_(boot_now())
    {
        prepare_.set<loop_monitor, &loop_monitor::end_turn>(this);
        prepare_.start();
        check_.set<loop_monitor, &loop_monitor::begin_turn>(this);
        // Before all other watchers of the turn.
        check_.priority = EV_MAXPRI;
        check_.start();
    }
    loop_monitor(loop_monitor const&) = delete;
    loop_monitor& operator=(loop_monitor const&) = delete;
    ~loop_monitor() = default;

    // Returns how long input that is read at `now` may have waited in the
    // kernel: since the start of the turn before, unless the loop has slept
    // since then. Precondition: `now` is the present time.
    duration input_wait(steady_time now) const
    {
        return now - input_since_;
    }
    // Records that a part of the present turn took `took`. Precondition: `name`
    // outlives the turn.
    void record_part(std::string_view name, duration took)
    {
        if (took <= turn_.longest_took)
            return;
        turn_.longest = name;
        turn_.longest_took = took;
    }

private:
    void begin_turn(ev::check&, int)
    {
        // A poll that took longer than this has slept, and so has left nothing
        // unread.
        constexpr duration max_busy_poll = std::chrono::milliseconds(1);
        steady_time const now = boot_now();
        bool const has_slept = now - polled_ > max_busy_poll;
        input_since_ = has_slept ? now : turn_started_;
        turn_started_ = now;
    }
    void end_turn(ev::prepare&, int)
    {
        polled_ = boot_now();
        turn_.took = polled_ - turn_started_;
        on_turn_(turn_);
        turn_ = {};
    }

    ev::prepare prepare_;
    ev::check check_;
    turn_handler on_turn_;
    steady_time turn_started_;
    steady_time input_since_ = turn_started_;
    steady_time polled_ = turn_started_;
    loop_turn turn_;
};

// Times a part of the present turn until its destruction. Not thread-safe.
class timed_part
{
public:
    // Preconditions: `monitor` outlives the part, and `name` the turn.
    timed_part(loop_monitor& monitor, std::string_view name)
        : monitor_(monitor)
        , name_(name)
        , started_(boot_now())
    {
    }
    ~timed_part()
    {
        monitor_.record_part(name_, boot_now() - started_);
    }
    timed_part(timed_part const&) = delete;
    timed_part& operator=(timed_part const&) = delete;

private:
    loop_monitor& monitor_;
    std::string_view name_;
    steady_time started_;
};

} // namespace marjorambeam
