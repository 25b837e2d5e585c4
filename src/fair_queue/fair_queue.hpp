// Weighted fair queueing by token cost with a bounded queue per customer.
//
// Example:
//   fair_queue queue(1024);
//   result<void> r = queue.push({.id = 7, .customer = "havbris", .weight = 2,
//       .cost = 300, .deadline = now + std::chrono::seconds(5)}, limits, now);
//   if (!r)
//       refuse(r.error()); // queue_full or deadline_unreachable
//   while (std::optional<queue_entry> next = queue.pop())
//       run(next->id);
//
// Start-time fair queueing: each customer's entries follow one another in
// virtual time by cost divided by weight, and the customer whose next entry
// starts first is served. A customer that was idle starts at the present
// virtual time, so that it neither accumulates credit nor waits behind the
// backlog of others. Performs no I/O; not thread-safe.
#pragma once

#include "base/time.hpp"
#include "error/error.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace marjorambeam
{

// A waiting request.
struct queue_entry
{
    std::uint64_t id = 0; // unique among the waiting entries
    std::string customer;
    std::uint32_t weight = 1;
    std::uint64_t cost = 1; // tokens
    steady_time deadline{};
};

// Longer queues prolong the recovery after an overload. In bench overload,
// 5 to 20 s recover within 10 s and a queue without the bound does not in 2
// min; in bench zone, 5 s refuse five times as many requests as 10 s.
constexpr duration max_queue_wait = std::chrono::seconds(10);

// Limits that apply to push().
struct queue_limits
{
    std::size_t max_per_customer = 64;
    // Tokens that the upstream has lately completed per second over all
    // requests; 0 when unknown, which refuses nothing.
    double tokens_per_second = 0;
    duration max_wait = max_queue_wait; // longest estimated wait
};

// Queue of all customers at one upstream. Not thread-safe.
class fair_queue
{
public:
    // `max_entries` limits the entries of all customers together.
    explicit fair_queue(std::size_t max_entries);

    // Adds the entry. Errors: queue_full when a limit on the customer, the
    // queue or the estimated wait is reached; deadline_unreachable when the
    // estimated wait ends after the deadline. The error's retry_after is the
    // estimated wait. Preconditions: no waiting entry has the id; weight and
    // cost are positive.
    result<void>
    push(queue_entry entry, queue_limits const& limits, steady_time now);

    // Returns the entry that pop would return, or null when the queue is empty.
    // Valid until the next change of the queue.
    queue_entry const* front() const;

    // Removes and returns the next entry, or nothing when the queue is empty.
    // Expired entries are returned, too; call drop_expired() first.
    std::optional<queue_entry> pop();

    // Removes the entry. Returns false when it is not waiting.
    bool cancel(std::uint64_t id);

    // Removes and returns the entries whose deadline is at or before `now`.
    std::vector<queue_entry> drop_expired(steady_time now);

    // Returns the estimated wait of a new entry: the work that fair queueing
    // serves before it, divided by the speed. Zero when the speed is unknown.
    // Precondition: `weight` is positive.
    duration estimated_wait(
        std::string_view customer, std::uint32_t weight, std::uint64_t cost,
        double tokens_per_second) const;

    // The number of waiting entries of all customers.
    std::size_t size() const
    {
        return flow_by_entry_id_.size();
    }
    // The number of waiting entries of one customer.
    std::size_t size_of(std::string_view customer) const;
    // The token cost of all waiting entries.
    std::uint64_t cost() const
    {
        return cost_;
    }

private:
    // The waiting entries of one customer.
    struct flow
    {
        std::uint64_t number = 0; // breaks ties in the order of arrival
        std::uint32_t weight = 1;
        std::uint64_t cost = 0;
        double start = 0;  // virtual start of the first entry
        double finish = 0; // virtual finish of the last served entry
        std::deque<queue_entry> entries;
    };
    using flow_map = std::map<std::string, flow, std::less<>>;
    using active_key = std::pair<std::pair<double, std::uint64_t>, flow*>;

    static active_key key_of(flow& f);
    void activate(flow& f);
    void remove_idle_flows();
    void remove(flow& f, std::deque<queue_entry>::iterator const& it);

    std::size_t max_entries_;
    double virtual_time_ = 0;
    std::uint64_t cost_ = 0;
    std::uint64_t flow_count_ = 0;
    flow_map flows_;
    std::set<active_key> active_; // flows with entries, by start of the first
    std::unordered_map<std::uint64_t, flow*> flow_by_entry_id_; // by entry id
    std::set<std::pair<steady_time, std::uint64_t>> deadlines_;
};

} // namespace marjorambeam
