// Timers and signals on the process's libev loop, with closures as callbacks.
//
// Example:
//   ev::dynamic_loop loop;
//   loop_timer tick(loop, [&] { on_tick(steady_now()); });
//   tick.start_every(std::chrono::milliseconds(100));
//   loop_signal term(loop, SIGTERM, [&] { begin_shutdown(); });
//   loop.run();
//
// Everything here runs on the loop's thread; nothing is thread-safe.
#pragma once

#include "base/time.hpp"
#include "log/guarded_call.hpp"

#include <ev++.h>
#include <functional>

namespace marjorambeam
{

// Timers of one turn are called after its sockets, so that a turn that was held
// up sees what has arrived before it judges what is late.
constexpr int timer_priority = -1;

// Calls a closure after a delay, once or repeatedly. The closure may start or
// stop the timer; it must not destroy it. An exception of the closure is
// logged, and the loop goes on.
class loop_timer
{
public:
    loop_timer(ev::loop_ref loop, std::function<void()> callback)
        : timer_(loop)
        , callback_(std::move(callback))
    {
        timer_.set<loop_timer, &loop_timer::on_timer>(this);
        timer_.priority = timer_priority;
    }
    loop_timer(loop_timer const&) = delete;
    loop_timer& operator=(loop_timer const&) = delete;
    ~loop_timer() = default;

    // Calls the closure once, `delay` from now. Replaces an earlier start.
    void start(duration delay)
    {
        timer_.stop();
        // The loop's time is that of the start of the turn.
        ev_now_update(timer_.loop);
        timer_.start(to_seconds(delay));
    }
    // Calls the closure every `period`, first after one period.
    // Precondition: `period` is positive.
    void start_every(duration period)
    {
        timer_.stop();
        ev_now_update(timer_.loop);
        timer_.start(to_seconds(period), to_seconds(period));
    }
    // Prevents further calls. Harmless when not started.
    void stop()
    {
        timer_.stop();
    }
    // Whether a call is due.
    bool is_active() const
    {
        return timer_.is_active();
    }

private:
    void on_timer(ev::timer&, int)
    {
        guarded_call("timer", callback_);
    }

    ev::timer timer_;
    std::function<void()> callback_;
};

// Calls a closure on the loop when the process receives a signal.
class loop_signal
{
public:
    loop_signal(ev::loop_ref loop, int number, std::function<void()> callback)
        : signal_(loop)
        , callback_(std::move(callback))
    {
        signal_.set<loop_signal, &loop_signal::on_signal>(this);
        signal_.start(number);
    }
    loop_signal(loop_signal const&) = delete;
    loop_signal& operator=(loop_signal const&) = delete;
    ~loop_signal() = default;

private:
    void on_signal(ev::sig&, int)
    {
        callback_();
    }

    ev::sig signal_;
    std::function<void()> callback_;
};

} // namespace marjorambeam
