// Crash attribution at an entry: finds requests that crash upstreams and
// quarantines them at all entries.
//
// Example:
//   quarantine_controller quarantine(cluster, live, calls);
//   quarantine_decision q =
//       quarantine.evaluate(id, fingerprint, deadline, now);
//   if (q.refusal)
//       respond_with(*q.refusal);
//   else if (q.must_wait)
//       evaluate_again_later();
//   else
//       send(request, q.run_alone);
//   quarantine.record_crash("up-1", fingerprint, was_alone, now);
//   quarantine.record_response(fingerprint);
//   quarantine.end_request(id, fingerprint); // at the end of every request
//   quarantine.tick(now);                    // every 10 ms
//
// The failed attempts of one crash are reported one by one, so they are
// collected for a short time before the crash is attributed. Requests with the
// same fingerprints wait meanwhile.
//
// A suspect request runs only as a trial, alone on its upstream. The entry that
// owns the fingerprint by rendezvous hashing grants one trial at a time, so
// that copies of a request at several entries can't each crash an upstream.
// Other copies wait until the trial ends, for at most `max_trial_wait`.
//
// Used on the loop's thread only; not thread-safe.
#pragma once

#include "base/time.hpp"
#include "cluster/cluster_state.hpp"
#include "entry/live_entries.hpp"
#include "entry/peer_calls.hpp"
#include "log/log.hpp"
#include "quarantine/quarantine.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace marjorambeam
{

// A copy of a suspect that waits longer than this for the trial is refused.
constexpr duration max_trial_wait = std::chrono::seconds(2);

// Whether and how a request may run now.
struct quarantine_decision
{
    std::optional<error> refusal;
    bool must_wait = false; // evaluate again shortly
    bool run_alone = false;
};

class quarantine_controller
{
public:
    // All references must outlive this.
    quarantine_controller(
        cluster_state& cluster, live_entries& live, peer_calls& calls);

    // Call before each attempt. A trial that is never ended expires at
    // `deadline`.
    quarantine_decision evaluate(
        std::string const& request_id, std::uint64_t fingerprint,
        steady_time deadline, steady_time now);

    // Records an attempt that failed because its upstream crashed. `was_alone`:
    // the attempt ran as a trial.
    void record_crash(
        std::string_view upstream, std::uint64_t fingerprint, bool was_alone,
        steady_time now);

    // Records a complete response, which clears a suspect.
    void record_response(std::uint64_t fingerprint);

    // Ends the request and its trial, if any. Call once for every request.
    void end_request(std::string const& request_id, std::uint64_t fingerprint);

    // Attributes the crashes whose collection time is over.
    void tick(steady_time now);

    quarantine_table const& table() const
    {
        return table_;
    }

private:
    // The attempts of this entry that failed in one crash.
    struct crash
    {
        std::vector<std::uint64_t> fingerprints;
        bool was_alone = true;
        steady_time began{};
    };
    // A trial granted by this entry as owner of the fingerprint.
    struct trial
    {
        std::string request_id;
        steady_time until{};
    };

    // A trial of a request at this entry; other copies of it wait.
    struct own_trial
    {
        std::string request_id;
        bool is_granted = false;
        bool is_requested = false;
        steady_time request_after{};
    };

    quarantine_decision wait(std::string const& request_id, steady_time now);
    bool is_attribution_pending(std::uint64_t fingerprint) const;
    void request_trial(
        std::uint64_t fingerprint, steady_time deadline, steady_time now);
    void on_trial_reply(
        std::string const& request_id, std::uint64_t fingerprint,
        result<std::string> const& reply, steady_time now);
    bool grant(
        std::uint64_t fingerprint, std::string const& request_id,
        steady_time until, steady_time now);
    std::optional<std::string> serve_trial(std::string_view body);
    void serve_trial_end(std::string_view body);
    void serve_report(std::string_view body, steady_time now);
    void end_trial(std::string const& request_id, std::uint64_t fingerprint);
    void
    attribute(std::string const& upstream, crash const& c, steady_time now);
    void broadcast_report(crash_report const& r);
    std::string owner_of(std::uint64_t fingerprint);

    cluster_state& cluster_;
    live_entries& live_;
    peer_calls& calls_;
    quarantine_table table_;
    std::map<std::string, crash, std::less<>> crashes_; // by upstream
    // The upstream whose crash made a fingerprint a suspect.
    std::map<std::uint64_t, std::string> first_upstream_;
    // Trials of fingerprints owned by this entry.
    std::map<std::uint64_t, trial> granted_trials_;
    std::map<std::uint64_t, own_trial> own_trials_; // by fingerprint
    // Start of the wait, by request id.
    std::map<std::string, steady_time> waiting_;
    // Trials to end once their crash is attributed.
    std::vector<std::pair<std::string, std::uint64_t>> trials_to_end_;
    logger log_{"quarantine"};
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace marjorambeam
