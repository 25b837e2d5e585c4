// Keeps a copy of one kind of objects in the platform's store: by a list and
// long watches, or, while parked, by the changes that a reader relays.
//
// Example:
//   object_watch w(loop, client, protocol, "routes", {}, handlers);
//   w.start();
//
// Everything here runs on the loop's thread; nothing is thread-safe.
#pragma once

#include "event_loop/event_loop.hpp"
#include "gateway/state_relay.hpp"
#include "http_client/http_client.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambeam
{

// An object as the store holds it.
struct platform_object
{
    std::string name;
    std::uint64_t revision = 0;
    bool is_deleted = false;
    nlohmann::json specification;
    nlohmann::json status;
};

// One response of the store: a page of a list, or the changes of a watch.
struct platform_objects
{
    std::vector<platform_object> objects;
    std::uint64_t revision = 0; // continue to watch after this one
    bool has_more = false;
};

// The part of an object that is relayed to other gateways.
struct object_summary
{
    nlohmann::json specification;
    // Differs between states of the object that matter.
    std::uint64_t signature = 0;
};

// Required freshness of a read. A stale read may be seconds old; it is cheap
// and does not count toward the store's rate limits.
enum class read_freshness : std::uint8_t
{
    newest,
    may_be_stale
};

// Encodes and decodes the calls of a deployment's store.
struct platform_store_protocol
{
    http_call (*list)(
        std::string_view address, std::string_view kind, std::string_view after,
        read_freshness how);
    http_call (*watch)(
        std::string_view address, std::string_view kind, std::uint64_t revision,
        duration wait);
    http_call (*create)(
        std::string_view address, std::string_view kind, std::string_view name,
        nlohmann::json const& specification);
    // Replaces the status of an object that has `revision`.
    http_call (*put_status)(
        std::string_view address, std::string_view kind, std::string_view name,
        std::uint64_t revision, nlohmann::json const& status);
    // Errors: frame_stale when the history of the watch is gone; conflict;
    // store_rate_limited; store_unavailable.
    result<platform_objects> (*decode)(http_reply const& reply);
    object_summary (*essence)(platform_object const& o);
};

struct watch_timing
{
    duration wait = std::chrono::seconds(20); // of one watch call
    // A call without a response fails after its wait plus this time.
    duration patience = std::chrono::milliseconds(1500);
    duration first_retry = std::chrono::milliseconds(150);
    duration max_retry_delay = std::chrono::milliseconds(1000);
    // Delay after changes, so that one call returns those that follow soon.
    duration settle{0};
    // Pause after the first list, in which a gateway hears of the readers and
    // may park its watch.
    duration initial_delay{0};
    // While the store compacts its history, watches may miss changes for a
    // second.
    duration max_missed_event_time = std::chrono::milliseconds(1200);
};

struct watch_handlers
{
    // All objects of the kind, after a list.
    std::function<void(std::vector<platform_object>&&)> on_all;
    // One that has changed or is deleted.
    std::function<void(platform_object&&)> on_change;
    // The store responded. What was read is confirmed as of this time, if it is
    // known.
    std::function<void(std::optional<steady_time> as_of)> on_contact;
    std::function<void(error const&)> on_failure;
    // The history that the watch needs was compacted; it lists again.
    std::function<void()> on_history_dropped;
    // A response of the store has changed the copy; `sender`, `incarnation_id`,
    // `kind` and `uncertain_ms` are not set.
    std::function<void(state_change&&)> on_copy_changed;
};

class object_watch
{
public:
    // `client` and `protocol` outlive the watch.
    object_watch(
        ev::loop_ref loop, http_client& client,
        platform_store_protocol const& protocol, std::string address,
        std::string kind, watch_timing timing, watch_handlers handlers);
    ~object_watch();
    object_watch(object_watch const&) = delete;
    object_watch& operator=(object_watch const&) = delete;

    // Lists the objects and then watches them. Precondition: not started.
    // A first list that may be stale is no harm: the watch goes on from it.
    void start(read_freshness how);
    // Changes how long each watch call waits. Thread safety as above.
    void set_wait(duration wait)
    {
        timing_.wait = wait;
    }
    // Changes the pause after changes.
    void set_debounce(duration settle)
    {
        timing_.settle = settle;
    }
    // Changes the pauses between calls that fail.
    void set_retry_delays(duration first, duration longest)
    {
        timing_.first_retry = first;
        timing_.max_retry_delay = longest;
    }
    // Requests changes at once; a parked watch does so once. Precondition:
    // started.
    void poll_now();
    // Lists all objects at once; cheaper than poll_now() when the store may
    // have dropped the history since the last change. Precondition: started.
    void list_now(read_freshness how);
    // Sends no more calls by itself, until it is resumed. A list that is under
    // way is finished. Precondition: started.
    void park();
    // Watches again. Precondition: started.
    void resume();
    bool is_parked() const
    {
        return is_parked_;
    }
    // Whether all objects were listed.
    bool is_listed() const
    {
        return is_listed_;
    }
    // Digest of the objects in the copy.
    std::uint64_t digest() const
    {
        return digest_;
    }
    // Revision of the store as of which the copy is complete.
    std::uint64_t revision() const
    {
        return revision_;
    }
    // Applies a relayed change if it starts from this copy's state and is
    // newer. Returns whether it was applied. Precondition: `is_parked()`.
    bool apply(state_change&& change);
    // Latest time at which a response to the present call was due.
    steady_time answer_due() const
    {
        return sent_at_ + timing_.wait;
    }
    // Sends its call again on another connection, because the one in use may
    // be dead. Precondition: started.
    void renew();
    // Does so if its call was sent before `t`. Precondition: as above.
    void renew_older_than(steady_time t)
    {
        if (sent_at_ < t)
            renew();
    }

private:
    void send();
    void on_reply(steady_time sent, duration wait, result<http_reply> reply);
    void on_objects(platform_objects&& objects);
    // A copy as of a revision of the store.
    struct copy_state
    {
        std::uint64_t digest = 0;
        std::uint64_t revision = 0;
    };

    void list_again(read_freshness how);
    void take_list(copy_state before);
    void retry(error const& why);
    void send_after(duration pause);
    std::optional<relayed_object> note(platform_object const& o);
    std::vector<std::string>
    names_not_in(std::vector<platform_object> const& all) const;
    void report_copy_change(
        copy_state before, std::vector<relayed_object>&& changed) const;

    http_client& client_;
    platform_store_protocol const& protocol_;
    std::string address_;
    std::string kind_;
    watch_timing timing_;
    watch_handlers handlers_;
    loop_timer retry_timer_;
    std::vector<platform_object> listed_; // pages read so far
    std::string after_;
    std::map<std::string, std::uint64_t, std::less<>> copied_; // signatures
    std::uint64_t digest_ = 0;                                 // of copied_
    bool is_listed_ = false;
    bool is_listing_ = true; // the present or next call is a list
    read_freshness list_how_ = read_freshness::newest;
    bool has_watched_ = false;
    bool is_parked_ = false;
    bool has_failed_ = false; // the last call
    bool asks_now_ = false;   // the next call
    std::uint64_t revision_ = 0;
    std::uint64_t first_page_revision_ = 0;
    steady_time sent_at_{}; // the present call
    duration delay_{0};
    http_client::call_id call_ = 0;
};

} // namespace marjorambeam
