// Synchronizes the shared state with the platform's store, registers this
// gateway there and writes the status of rollouts.
//
// Example:
//   store_controller store(loop, state, client, protocol, documents);
//   store.start();
//
// Everything here runs on the loop's thread; nothing is thread-safe.
#pragma once

#include "event_loop/event_loop.hpp"
#include "gateway/gateway_state.hpp"
#include "gateway/object_query.hpp"
#include "gateway/object_watch.hpp"
#include "gateway/quarantine_controller.hpp"
#include "gateway/state_relay.hpp"
#include "gateway/store_documents.hpp"
#include "http_client/http_client.hpp"
#include "log/log.hpp"
#include "transport/transport.hpp"

#include <array>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace marjorambeam
{

// Bounds of the delay between probes of a lost store.
constexpr duration initial_probe_delay = std::chrono::milliseconds(100);
constexpr duration max_probe_delay = std::chrono::milliseconds(250);

// Reads the store or applies the changes that a reader relays. Not thread-safe.
class store_controller
{
public:
    // Precondition: the referenced objects outlive the controller. Changes are
    // relayed over `peers`. Loop thread only.
    store_controller(
        ev::loop_ref loop, gateway_state& state, http_client& client,
        datagram_socket& peers, quarantine_controller& quarantine,
        platform_store_protocol const& protocol,
        store_documents const& documents, loop_monitor& monitor);

    // Starts the watches and registers this gateway. Precondition: not started.
    // Loop thread only.
    void start();
    // Applies a relayed change once all of its parts have arrived. A part from
    // an unknown peer or another incarnation is dropped. Precondition: started.
    // Loop thread only.
    void apply_relayed_change(state_change&& part, steady_time now);
    // Chooses between reading the store and receiving relays; evaluates
    // rollouts and removes upstreams that were not listed again. Precondition:
    // started. Loop thread only.
    void tick(steady_time now);

private:
    watch_handlers make_handlers(
        void (store_controller::*on_all)(std::vector<platform_object>&&),
        void (store_controller::*on_change)(platform_object&&),
        std::optional<state_kind> kind);
    void on_contact(std::optional<steady_time> as_of, bool is_config);
    void on_failure(error const& why, bool is_config);
    bool accepts_era(std::uint64_t era);
    void begin_era(std::uint64_t before);
    void settle_era(steady_time now);
    void look_up_era();
    void apply_era_records(std::vector<platform_object> const& all);
    void write_era_record(steady_time now);
    void apply_configs(std::vector<platform_object>&& all);
    void apply_config(platform_object&& o);
    void put_config(gateway_config&& c);
    void free_retired_routes();
    void replace_upstreams(std::vector<platform_object>&& all);
    void queue_upstream(platform_object&& o);
    void apply_queued_upstreams();
    void apply_upstream(platform_object&& o);
    void remove_upstream(std::string_view id, steady_time now);
    void replace_rollouts(std::vector<platform_object>&& all);
    void apply_rollout(platform_object&& o);
    void replace_zones(std::vector<platform_object>&& all);
    void apply_zone(platform_object&& o);
    void replace_gateways(std::vector<platform_object>&& all);
    void apply_gateway(platform_object&& o);
    void replace_quarantines(std::vector<platform_object>&& all);
    void apply_quarantine(platform_object&& o);
    void set_default_version(std::string const& service);
    void update_gateways();
    void renew_after_history_drop();
    void renew_watches(steady_time t);
    void set_retry_delays(steady_time now);
    void relay(state_kind kind, state_change&& change);
    void send_relays();
    void set_role(steady_time now);
    void park_or_resume();
    void fetch_if_behind(steady_time now);
    void fetch(state_kind kind, steady_time now);
    void on_kind_read(state_kind kind, steady_time sent, steady_time now);
    void on_fetch_failed(state_kind kind, error const& why, steady_time now);
    void fetch_config(steady_time now);
    object_watch& watch_of(state_kind kind);
    bool is_started(object_watch const& w) const;
    void register_self();
    void advance_rollout(rollout_progress& t, steady_time now);
    bool is_rollout_writer(steady_time now) const;

    gateway_state& state_;
    loop_monitor& monitor_;
    http_client& client_;
    datagram_socket& peers_;
    quarantine_controller& quarantine_;
    platform_store_protocol const& protocol_;
    store_documents const& documents_;
    logger log_{"store"};
    object_watch config_;
    object_query config_query_; // used while this gateway is a reader
    object_query era_query_;    // used once, at the start
    loop_timer era_timer_;      // after a failed query
    steady_time next_era_record_{};
    object_watch upstreams_;
    object_watch rollouts_;
    object_watch zones_;
    object_watch gateways_;
    object_watch quarantines_;
    // Configurations that are not in use any more, freed in slices.
    using retired_configs = std::vector<std::unique_ptr<gateway_config>>;
    std::shared_ptr<retired_configs> retired_ =
        std::make_shared<retired_configs>();
    loop_timer free_timer_;
    // Upstreams of a list, applied in slices, and what changed after it.
    std::deque<platform_object> queued_upstreams_;
    bool is_list_queued_ = false;
    loop_timer apply_timer_;
    loop_timer register_timer_;
    loop_timer relay_timer_;
    bool is_registered_ = false;
    change_assembler relayed_;
    // Datagrams queued for the next batch.
    std::deque<std::pair<std::string, std::shared_ptr<message const>>> outbox_;
    bool lists_newest_next_ = false; // after a list that may be stale was asked
    steady_time next_config_fetch_{};
    steady_time next_probe_{};
    steady_time last_tick_{};
    std::optional<steady_time> last_renewed_drop_; // last handled history drop
    bool is_writing_ = false;
    steady_time next_write_{};
};

} // namespace marjorambeam
