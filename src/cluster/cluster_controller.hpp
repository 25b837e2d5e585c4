// Keeps a daemon's configuration and its knowledge of the other daemons up to
// date: instance list, digests by UDP, pulls by TCP, and the object API.
//
// Example:
//   state.identity.address = listener.address();
//   cluster_controller cluster(loop, state, http, store, settings.cluster);
//   cluster.on_config_change([&] { routing.rebuild(*state.config); });
//   connection->on_message([&, c = connection](message&& m) {
//       if (cluster.handle(c, m))
//           return;
//       if (auto* h = std::get_if<hello>(&m))
//           cluster.note_frame(h->instance, h->generation);
//       ...
//   });
//
// Runs on the loop's thread; not thread-safe. Counters in
// `cluster_state::counters`: control_bytes_total{sent,received},
// store_calls_total{read,write} (all calls of the given object_store),
// config_pulls_total{answered,refused,failed}, config_pulls_answered_total,
// digests_total{sent,received}, datagrams_refused_total by reason,
// generations_applied_total, generations_refused_total,
// checkpoints_refused_total, instance_list_reads_total{done,failed},
// duplicate_instance_total.
#pragma once

#include "base/time.hpp"
#include "cluster/cluster_settings.hpp"
#include "cluster/cluster_state.hpp"
#include "cluster/config_puller.hpp"
#include "cluster/config_store_reader.hpp"
#include "config_sync/config_history.hpp"
#include "config_sync/sync_decisions.hpp"
#include "event_loop/event_loop.hpp"
#include "http_client/http_client.hpp"
#include "log/log.hpp"
#include "object_store/object_store.hpp"
#include "transport/transport.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambeam
{

class cluster_controller
{
public:
    // All references outlive the controller. The UDP socket is bound to the
    // address and port of the daemon's TCP listener. Precondition:
    // `state.identity` is complete. Throws std::runtime_error when the address
    // can't be bound.
    cluster_controller(
        ev::loop_ref loop, cluster_state& state, http_client& http,
        object_store& store, cluster_settings settings);
    ~cluster_controller();
    cluster_controller(cluster_controller const&) = delete;
    cluster_controller& operator=(cluster_controller const&) = delete;

    // Takes the messages that are its own: config_pull, config_generations
    // and digest. Returns false for all others.
    bool handle(
        std::shared_ptr<frame_connection> const& connection, message const& m);

    // Takes the generation of a frame of `instance`. Cheap enough for every
    // frame.
    void note_frame(std::string_view instance, std::uint64_t generation);

    // Notes that `instance` refused a connection.
    void record_refused_connection(std::string_view instance);

    // Adds a function to call after each change of `state.config`.
    void on_config_change(std::function<void()> callback);

    // Whether new work may be sent to the peer.
    bool is_live(peer const& p, steady_time now) const
    {
        return condition_of(p, settings_.sync.members, now) ==
               peer_condition::live;
    }

    // What the admin page shows, as JSON: the generation in force here and at
    // each peer with the age of its last word, the age of the last answer of
    // the store, isolation and refused generations.
    std::string status_json(steady_time now) const;

    // Runs what is due; a timer calls it as well.
    void tick(steady_time now);

private:
    sync_view view() const;
    void run(sync_step const& step, steady_time now);
    void send_digest(std::string_view instance, steady_time now);
    void on_datagram(message&& m);
    void take_digest(digest const& d, steady_time now);
    void note_word(peer_announcement const& word, steady_time now);
    void answer(frame_connection& connection, config_pull const& pull);
    void start_pull(std::string const& instance, steady_time now);
    void end_pull(std::string const& instance, pull_end end);
    void apply(config_generations received);
    void end_store_call(bool ok);
    void tick_store(steady_time now);
    void tick_checkpoint(steady_time now);
    void tick_shutdown(steady_time now);
    // Whether the instance list was read, or need not be waited for.
    bool knows_list(steady_time now) const;
    void read_instance_list();
    void take_instance_list(result<http_reply> const& reply);
    void publish(steady_time now);
    void count_bytes(std::uint64_t sent, std::uint64_t received);

    ev::loop_ref loop_;
    cluster_state& state_;
    http_client& http_;
    object_store& store_;
    cluster_settings settings_;
    logger log_;
    random_source random_;
    config_history history_;
    sync_state sync_;
    std::vector<std::function<void()>> callbacks_;
    datagram_socket datagrams_;
    config_store_reader reader_;
    config_puller puller_;
    loop_timer tick_timer_;
    loop_timer list_timer_;
    http_client::call_id list_call_ = 0;
    std::size_t list_bytes_ = 0; // of the last answer
    steady_time list_seen_{};    // last answer of the instance list
    steady_time next_watch_choice_{};
    steady_time next_store_call_{}; // after a failure
    steady_time next_checkpoint_{};
    bool is_writing_checkpoint_ = false;
    std::uint64_t stored_checkpoint_ = 0;
    bool is_watcher_ = false;
    bool did_last_store_call_fail_ = true; // a watch needs a read first
    bool has_said_leaving_ = false;
    std::uint64_t counted_sent_ = 0;
    std::uint64_t counted_received_ = 0;
    std::uint64_t counted_reads_ = 0;
    std::uint64_t counted_writes_ = 0;
};

} // namespace marjorambeam
