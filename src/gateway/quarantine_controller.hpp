// Finds the parts of prompts that crash upstreams, together with the other
// gateways, and keeps them out.
//
// Example:
//   quarantine.record_broken_attempt(upstream, suspect, request, now);
//   if (quarantine_entry const* it = find_quarantine(state.quarantine, traits))
//       ...
//   quarantine.tick(now);
//
// Everything here runs on the loop's thread; nothing is thread-safe.
#pragma once

#include "gateway/crash_sharing.hpp"
#include "gateway/gateway_state.hpp"
#include "gateway/store_documents.hpp"
#include "gateway/upstream_pool.hpp"
#include "http_client/http_client.hpp"
#include "log/log.hpp"
#include "transport/transport.hpp"

#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambeam
{

// Not thread-safe.
class quarantine_controller
{
public:
    // `on_added` is called when requests with another part may not be sent any
    // more. Precondition: the referenced objects outlive the controller. Loop
    // thread only, like all members.
    quarantine_controller(
        gateway_state& state, datagram_socket& peers, http_client& client,
        upstream_pool& pool, platform_store_protocol const& protocol,
        store_documents const& documents,
        std::function<void(steady_time)> on_added);

    // Records that the upstream's connection broke before the request had been
    // answered for long, and tries at once whether it still accepts connections
    // and keeps them open.
    void record_broken_attempt(
        std::shared_ptr<upstream_state> const& upstream,
        crash_suspect const& suspect, gateway_request const& request,
        steady_time now);
    // Records that this gateway has dropped an answer that had just begun.
    void record_dropped_answer(
        upstream_info const& upstream, request_traits const& traits,
        steady_time now);
    // The upstream is unreachable, gone or has restarted.
    void record_crash_of(std::string_view upstream, steady_time now);
    // Judges the parts if there is new evidence.
    void refresh(steady_time now);
    // Claims a trial for the entry if one is due; `version` is what most
    // upstreams of the request's service run.
    void claim_trial_if_due(
        quarantine_key const& key, std::string_view version, steady_time now);
    // A request that was let through on trial has been answered.
    void record_passed_trial(quarantine_key const& key, steady_time now);

    // Takes an entry of the store, or removes it.
    void apply_object(platform_object const& o, steady_time now);
    void replace_objects(std::span<platform_object const> all, steady_time now);

    // Judges, reports to the other gateways and writes to the store.
    // Precondition: called several times per second.
    void tick(steady_time now);
    // Handles a message of another gateway. Returns false if it is of another
    // kind.
    bool on_message(peer_call const& call, steady_time now);
    // Sets the gauges.
    void set_gauges();

private:
    // An object that is to be removed from the store.
    struct pending_removal
    {
        std::uint64_t revision = 0;
        int tries = 0;
        steady_time next{};
        bool is_done = false;
    };

    // A connection that an upstream has accepted after others had broken.
    struct accepted_probe
    {
        std::shared_ptr<upstream_state> upstream;
        std::int64_t started_ms = 0; // of the incarnation that was probed
        steady_time broken{};        // the others
        steady_time accepted{};
        std::weak_ptr<upstream_connection> connection;
    };

    void probe(
        std::shared_ptr<upstream_state> const& upstream,
        std::int64_t started_ms, steady_time broken);
    void judge_probes(steady_time now);
    void log_confirmed(std::span<crash_suspicion const> confirmed);
    void log_entry(
        log_event event, quarantine_entry const& entry,
        std::string_view reason);
    void send_reports(steady_time now);
    void on_refusal_report(peer_call const& call, steady_time now);
    void write_entries(steady_time now);
    void release(quarantine_key const& key, std::string_view reason);
    void remove(quarantine_entry const& entry, steady_time now);
    void retry_removals(steady_time now);
    result<platform_objects> decode(result<http_reply> const& reply) const;
    void count_write(result<platform_objects> const& reply);

    gateway_state& state_;
    datagram_socket& peers_;
    http_client& client_;
    upstream_pool& pool_;
    platform_store_protocol const& protocol_;
    store_documents const& documents_;
    std::function<void(steady_time)> on_added_;
    logger log_{"quarantine"};
    std::map<quarantine_key, pending_removal> removals_;
    std::vector<accepted_probe> accepted_probes_;
};

} // namespace marjorambeam
