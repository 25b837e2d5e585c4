// Advances and halts versions that are rolled out, at the one entry that holds
// the lease `rollout`.
//
// Example:
//   rollout_controller rollouts(loop, cluster, store, live, calls, {});
//   rollouts.record_attempt("tagger@v2", has_failed); // at each entry
//   rollouts.record_rating("tagger@v2", 0.8);
//   rollouts.release();                             // at a shutdown
//
// The holder collects the counts of all live entries (peer_call
// `rollout_evidence`, whose reply holds them) once per period, judges each
// rolling version against the active one of its model, and writes the outcome
// as a generation: a larger share, or the state `withdrawn`. A version that
// has reached all stays `rolling` at share 1, so that the active version can
// take over; an operator ends the rollout by an edit. The author of the
// generation names the fencing number and the reason.
//
// An operator's edit of a version starts its judge anew at the edited share.
//
// Used on the loop's thread only; not thread-safe.
#pragma once

#include "base/time.hpp"
#include "cluster/cluster_state.hpp"
#include "entry/generation_writer.hpp"
#include "entry/live_entries.hpp"
#include "entry/peer_calls.hpp"
#include "event_loop/event_loop.hpp"
#include "lease/lease_keeper.hpp"
#include "log/log.hpp"
#include "rollout/rollout.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace marjorambeam
{

struct rollout_settings
{
    duration period = std::chrono::seconds(1);
    duration step_time = marjorambeam::step_time;
    lease_rules lease;
};

class rollout_controller
{
public:
    // All references outlive this. Starts to acquire the lease.
    rollout_controller(
        ev::loop_ref loop, cluster_state& cluster, object_store& store,
        live_entries& live, peer_calls& calls, rollout_settings settings);
    rollout_controller(rollout_controller const&) = delete;
    rollout_controller& operator=(rollout_controller const&) = delete;
    ~rollout_controller() = default;

    // Counts an attempt at a version that ended at this entry.
    void record_attempt(std::string_view version_id, bool has_failed);
    // Counts a rating that arrived at this entry.
    void record_rating(std::string_view version_id, double rating);

    // Whether this entry acts now.
    bool is_lease_holder()
    {
        return lease_.may_act();
    }

    // Gives the lease up, because this entry shuts down.
    void release();

    // Returns {holder, fencing, versions: {ID: {share, evidence, decision}}}.
    std::string status_json();

private:
    // What the holder keeps for one rolling version.
    struct row
    {
        std::string text; // of the document that `state` belongs to
        std::string written;
        steady_time wait_until{}; // for `written` to come into force
        // Counts before the operator's edit that began the rollout, as far as
        // this holder saw it.
        version_counts base;
        rollout_state state;
        rollout_decision last;
    };

    void tick();
    void collect(steady_time now);
    void judge_all(steady_time now);
    void judge_one(version const& v, version const& active, steady_time now);
    // Whether the row is about the document in force; starts it anew if not.
    bool is_current(
        row& r, version const& v, std::string const& text,
        version_counts const& counts, steady_time now);
    void
    act(std::string const& id, row& r, rollout_state before, steady_time now);
    void on_written(
        std::string const& id, std::string const& text,
        rollout_state const& before, edit_state const& end);
    std::string encode_counts() const;
    void take_counts(std::string_view body);

    cluster_state& cluster_;
    live_entries& live_;
    peer_calls& calls_;
    rollout_settings settings_;
    lease_keeper lease_;
    generation_writer writer_;
    std::map<std::string, version_counts, std::less<>> counts_; // of this entry
    evidence_pool pool_;
    std::map<std::string, row, std::less<>> rows_; // by "model@version"
    std::uint64_t rounds_ = 0; // of collecting, under this lease
    std::uint64_t last_edit_ = 0;
    loop_timer timer_;
    logger log_{"rollout"};
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace marjorambeam
