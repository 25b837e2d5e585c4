// Advances and halts rollouts of model versions. Only the entry that holds the
// lease `rollout` acts.
//
// Example:
//   rollout_controller rollouts(loop, cluster, store, live, calls, {});
//   rollouts.record_attempt("tagger@v2", has_failed); // at each entry
//   rollouts.record_rating("tagger@v2", 0.8);
//   rollouts.release();                                // on shutdown
//
// Once per period the lease holder collects the counts of all live entries
// (peer_call `rollout_evidence`), evaluates each rolling version against the
// active version of its model, and writes the decision as a generation: a
// larger share, or the state `withdrawn`. A version that receives all traffic
// stays `rolling` at share 1, so that the active version remains as a fallback;
// an operator completes the rollout by an edit. The generation's author states
// the fencing number and the reason.
//
// When an operator edits a version, its evaluation restarts at the edited
// share.
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
    // All references must outlive this. Starts to acquire the lease.
    rollout_controller(
        ev::loop_ref loop, cluster_state& cluster, object_store& store,
        live_entries& live, peer_calls& calls, rollout_settings settings);
    rollout_controller(rollout_controller const&) = delete;
    rollout_controller& operator=(rollout_controller const&) = delete;
    ~rollout_controller() = default;

    // Records an attempt at a version that ended at this entry.
    void record_attempt(std::string_view version_id, bool has_failed);
    // Records a rating that arrived at this entry.
    void record_rating(std::string_view version_id, double rating);

    // Returns whether this entry holds the lease and may write decisions.
    bool is_lease_holder()
    {
        return lease_.may_act();
    }

    // Releases the lease without waiting for the store; call on shutdown.
    void release();

    // Returns {is_holder, fencing, versions: {ID: {share, evidence,
    // decision}}}.
    std::string status_json();

private:
    // The lease holder's state of one rolling version.
    struct rollout_progress
    {
        std::string document_text;   // the version document `state` refers to
        std::string pending_text;    // a written document, not yet applied
        steady_time pending_until{}; // deadline for applying `pending_text`
        // Counts at the operator's edit that began the rollout; zero if the
        // rollout began under an earlier lease holder.
        version_counts baseline;
        rollout_state state;
        rollout_decision last;
    };

    void tick();
    void collect(steady_time now);
    void evaluate_all(steady_time now);
    void
    evaluate_version(version const& v, version const& active, steady_time now);
    // Returns whether the rollout_progress may be evaluated now. Resets it when
    // the document was edited; false while a pending_text decision is not yet
    // applied.
    bool is_current(
        rollout_progress& r, version const& v, std::string const& document_text,
        version_counts const& counts, steady_time now);
    void apply_decision(
        std::string const& id, rollout_progress& r, rollout_state before,
        steady_time now);
    void on_written(
        std::string const& id, std::string const& document_text,
        rollout_state const& before, edit_state const& end);
    std::string encode_counts() const;
    void merge_counts(std::string_view body);

    cluster_state& cluster_;
    live_entries& live_;
    peer_calls& calls_;
    rollout_settings settings_;
    lease_keeper lease_;
    generation_writer writer_;
    // Counts at this entry, by "model@version".
    std::map<std::string, version_counts, std::less<>> counts_;
    evidence_pool pool_;
    // Rolling versions, by "model@version".
    std::map<std::string, rollout_progress, std::less<>> progress_;
    std::uint64_t collection_rounds_ = 0; // under this lease
    std::uint64_t last_edit_ = 0;
    loop_timer timer_;
    logger log_{"rollout"};
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace marjorambeam
