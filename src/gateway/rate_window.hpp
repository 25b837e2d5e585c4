// Counts events in a sliding time window.
//
// Example:
//   rate_window w(std::chrono::seconds(1));
//   if (w.count(now) < 6) w.add(now);
//
// Not thread-safe.
#pragma once

#include "base/time.hpp"

#include <algorithm>
#include <cstddef>
#include <deque>

namespace marjorambeam
{

// Counts the events of the last `length`. Not thread-safe.
class rate_window
{
public:
    explicit rate_window(duration length)
        : length_(length)
    {
    }

    // Records one event, and removes those that have expired. Precondition:
    // `now` never decreases.
    void add(steady_time now)
    {
        expire(now);
        times_.push_back(now);
    }

    // Changes the length. Events already expired are not restored.
    void set_length(duration length)
    {
        length_ = length;
    }

    // Returns the number of events in the window that ends at `now`, and
    // removes those that have expired. Precondition: `now` never decreases.
    std::size_t count(steady_time now)
    {
        expire(now);
        return times_.size();
    }

    // Returns the same as count(), and changes nothing.
    std::size_t peek(steady_time now) const
    {
        auto const first =
            std::upper_bound(times_.begin(), times_.end(), now - length_);
        return static_cast<std::size_t>(times_.end() - first);
    }

    // Returns when the oldest event expires, or `now` if there is none.
    // Precondition: `now` never decreases.
    steady_time next_free(steady_time now)
    {
        return count(now) == 0 ? now : times_.front() + length_;
    }

private:
    void expire(steady_time now)
    {
        while (!times_.empty() && times_.front() + length_ <= now)
            times_.pop_front();
    }

    duration length_;
    std::deque<steady_time> times_;
};

} // namespace marjorambeam
