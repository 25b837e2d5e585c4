// Attributes upstream crashes to requests and holds crashing ones back, at all
// entries.
//
// Example:
//   quarantine_controller quarantine(cluster, live, calls);
//   quarantine_decision q = quarantine.evaluate(id, fingerprint, deadline,
//   now); if (q.refusal)
//       answer_with(*q.refusal);
//   else if (q.must_wait)
//       ask_again_soon();
//   else
//       send(request, q.run_alone);
//   quarantine.record_crash("up-1", fingerprint, was_alone, now);
//   quarantine.record_response(fingerprint);
//   quarantine.end_request(id, fingerprint); // at the end of every request
//   quarantine.tick(now);               // every 10 ms
//
// Failures of one crash arrive one by one, so they are gathered for a moment
// before they are attributed, and requests with these fingerprints wait.
//
// A suspect runs only as a trial. The entry that owns the fingerprint by
// rendezvous hash grants one trial of it at a time, so that copies of a request
// at several entries can't each take an upstream down. Other copies wait for
// its end, for at most `max_trial_wait`.
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

// A suspect that waits longer for another one's trial is refused.
constexpr duration max_trial_wait = std::chrono::seconds(2);

// How a request may go on now.
struct quarantine_decision
{
    std::optional<error> refusal;
    bool must_wait = false; // ask again in a moment
    bool run_alone = false;
};

class quarantine_controller
{
public:
    // All references outlive this.
    quarantine_controller(
        cluster_state& cluster, live_entries& live, peer_calls& calls);

    // Decides before each attempt. `deadline` ends a trial that nobody ends.
    quarantine_decision evaluate(
        std::string const& request_id, std::uint64_t fingerprint,
        steady_time deadline, steady_time now);

    // An attempt ended because its upstream went down.
    void record_crash(
        std::string_view upstream, std::uint64_t fingerprint, bool was_alone,
        steady_time now);

    // A request received a whole answer.
    void record_response(std::uint64_t fingerprint);

    // The request ended; its trial may be given to another.
    void end_request(std::string const& request_id, std::uint64_t fingerprint);

    // Attributes the crashes that are complete.
    void tick(steady_time now);

    quarantine_table const& table() const
    {
        return table_;
    }

private:
    // The attempts of this entry that one crash ended.
    struct crash
    {
        std::vector<std::uint64_t> fingerprints;
        bool was_alone = true;
        steady_time began{};
    };
    // At the owner: who runs a fingerprint now.
    struct trial
    {
        std::string request_id;
        steady_time until{};
    };

    // A trial of a request of this entry; its other copies wait.
    struct own_trial
    {
        std::string request_id;
        bool is_granted = false;
        bool is_asked = false;
        steady_time ask_after{};
    };

    quarantine_decision wait(std::string const& request_id, steady_time now);
    bool is_gathered(std::uint64_t fingerprint) const;
    void
    ask_owner(std::uint64_t fingerprint, steady_time deadline, steady_time now);
    void on_owner_reply(
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
    void tell_all(crash_report const& r);
    std::string owner_of(std::uint64_t fingerprint);

    cluster_state& cluster_;
    live_entries& live_;
    peer_calls& calls_;
    quarantine_table table_;
    std::map<std::string, crash, std::less<>> crashes_; // by upstream
    // The upstream that made a fingerprint a suspect here.
    std::map<std::uint64_t, std::string> first_upstream_;
    std::map<std::uint64_t, trial> trials_; // of fingerprints owned here
    std::map<std::uint64_t, own_trial> own_trials_; // by fingerprint
    std::map<std::string, steady_time> waiting_;    // by request id, since
    // Trials to end after their crash was attributed.
    std::vector<std::pair<std::string, std::uint64_t>> ending_;
    logger log_{"quarantine"};
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace marjorambeam
