// Batches usage records into ledger segments and decides when to post them and
// when they are confirmed.
//
// Example:
//   usage_batcher batcher(self_incarnation);
//   batcher.add(record);
//   if (auto s = batcher.next_segment(now))
//       store.create("ledger", s->name, s->text, [&](auto r)
//       {
//           auto done = r ? batcher.on_created()
//                         : batcher.on_failed(r.error(), now);
//           notify_agents(done); // usage_settled
//       });
//
// No I/O. Not thread-safe.
#pragma once

#include "billing/ledger.hpp"

#include <deque>
#include <optional>
#include <unordered_map>

namespace marjorambeam
{

// When segments are posted.
struct batch_times
{
    // Limits the fleet's writes: 350 entries make 35 a second.
    duration busy_period = std::chrono::seconds(10);
    // While few records wait, they are posted sooner.
    duration quiet_period = std::chrono::seconds(1);
    std::size_t quiet_record_limit = 100;
    duration initial_retry_delay = std::chrono::seconds(1);
    duration max_retry_delay = std::chrono::seconds(10);
};

// The state of a batcher, for status pages and tests.
struct batcher_status
{
    std::vector<std::string> waiting; // request ids, sorted
    std::vector<std::string> posting; // request ids in the current segment
    std::uint64_t sequence = 0;       // of the latest segment
    bool is_in_flight = false;        // a post has no response yet
    bool may_be_stored = false;       // an earlier post had an unknown outcome
};

// Holds records until the segment with them is in the ledger. One segment is
// posted at a time, and its text never changes: a post whose response was lost
// is repeated under the same name, and a conflict then means that the first
// post succeeded.
class usage_batcher
{
public:
    // `self` must be fresh for each process: it makes the segments' names.
    explicit usage_batcher(incarnation self, batch_times times = {});

    // Takes a record. A record of a request id that is still waiting is
    // merged with it by supersedes().
    void add(usage_record record);

    // Removes records that another process has confirmed, unless they are in
    // the segment that is being posted.
    void remove(std::span<std::string const> request_ids);

    // Returns the segment to post now, or nothing when none is due or one is in
    // flight. The caller reports by on_created() or on_failed().
    std::optional<ledger_segment> next_segment(steady_time now);

    // The post has succeeded. Returns the confirmed request ids.
    std::vector<std::string> on_created();

    // The post has failed. A conflict after a post with an unknown outcome is
    // that earlier post: the segment is in the ledger. A conflict without one
    // is another's segment: the next sequence number is used. With any other
    // error the same segment is posted again later. Returns the confirmed
    // request ids.
    std::vector<std::string> on_failed(error const& e, steady_time now);

    // Makes all waiting records due immediately, for a planned stop.
    void flush();

    // Returns copies of all records that are not known to be in the ledger,
    // to be handed to another daemon before a stop while the store is down.
    // Posting them twice is harmless: the bill has one line for each id.
    std::vector<usage_record> unconfirmed() const;

    batcher_status status() const;

    // Records that wait or are being posted.
    std::size_t held() const
    {
        return waiting_.size() + posting_.size();
    }

    // Number of confirmed segments of this process.
    std::uint64_t segments() const
    {
        return segments_;
    }

private:
    bool is_due(steady_time now);
    void fill_segment();
    std::vector<std::string> confirm_segment();

    incarnation self_;
    batch_times times_;
    std::uint64_t sequence_ = 0;
    std::uint64_t segments_ = 0;
    std::deque<std::string> order_; // ids of waiting records, oldest first
    std::unordered_map<std::string, usage_record> waiting_;
    std::size_t waiting_bytes_ = 0;
    std::vector<usage_record> posting_;
    std::optional<ledger_segment> segment_; // until its outcome is known
    bool is_under_way_ = false;
    bool may_exist_ = false; // an earlier post had an unknown outcome
    bool is_flushing_ = false;
    std::optional<steady_time> waiting_since_;
    steady_time retry_at_{};
    duration retry_delay_{0};
};

// How long an agent waits for an entry to confirm a record.
constexpr duration usage_confirmation_timeout = std::chrono::seconds(60);

// The records of an agent for work whose entry has not confirmed that they
// are in the ledger. Not thread-safe.
class unconfirmed_usage
{
public:
    explicit unconfirmed_usage(duration hold_time = usage_confirmation_timeout);

    // Takes the agent's record of an attempt that has ended, for the entry
    // process that sent the work.
    void hold(usage_record record, incarnation entry, steady_time now);

    // Removes records that the entry has reported as stored in the ledger.
    void confirmed(std::span<std::string const> request_ids);

    // The entry process has ended: its records are due immediately.
    void on_entry_lost(incarnation entry);

    // Removes and returns the records that the agent has to post itself.
    std::vector<usage_record> remove_due(steady_time now);

    // Removes and returns all records, for a planned stop.
    std::vector<usage_record> remove_all();

    std::size_t held() const
    {
        return by_id_.size();
    }

private:
    struct unconfirmed_record
    {
        usage_record record;
        incarnation entry = 0;
        steady_time since{};
        bool is_orphan = false;
    };

    duration hold_time_;
    std::unordered_map<std::string, unconfirmed_record> by_id_;
};

} // namespace marjorambeam
