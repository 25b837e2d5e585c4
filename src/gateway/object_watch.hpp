// Keeps a copy of all objects of one kind in the platform's store: with a list
// and long-polling watches or, while parked, from changes that a reader relays.
//
// Example:
//   object_watch w(loop, client, protocol, "routes", {}, handlers);
//   w.start(read_freshness::may_be_stale);
//
// Everything here runs on the loop's thread; nothing is thread-safe.
#pragma once

#include "event_loop/event_loop.hpp"
#include "event_loop/loop_monitor.hpp"
#include "gateway/object_page.hpp"
#include "gateway/state_relay.hpp"
#include "http_client/http_client.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambeam
{

struct watch_timing
{
    duration wait = std::chrono::seconds(20); // of one watch call
    // A call without a response fails after its wait plus this time.
    duration response_timeout = std::chrono::milliseconds(1500);
    duration initial_retry_delay = std::chrono::milliseconds(150);
    duration max_retry_delay = std::chrono::milliseconds(1000);
    // Delay after changes, so that one call returns those that follow soon.
    duration debounce{0};
    // Delay after the first list, in which a gateway receives reports from the
    // readers and may park its watch.
    duration initial_delay{0};
    // While the store compacts its history, watches may miss changes for a
    // second.
    duration max_missed_event_time = std::chrono::milliseconds(1200);
};

struct watch_handlers
{
    // All objects of the kind, after a list.
    std::function<void(std::vector<platform_object>&&)> on_all;
    // An object that was changed or deleted.
    std::function<void(platform_object&&)> on_change;
    // The store responded. The copy is confirmed as of this time, if it is
    // known.
    std::function<void(std::optional<steady_time> as_of)> on_contact;
    // All that the store had at `sent`, when the call was sent, has been read.
    std::function<void(steady_time sent)> on_read;
    std::function<void(error const&)> on_failure;
    // Whether a response that names this era of the store may be used. The
    // first response of a later era makes the handler call begin_era().
    std::function<bool(std::uint64_t era)> accepts_era;
    // The history that the watch needs was compacted; it lists again.
    std::function<void()> on_history_dropped;
    // A response of the store has changed the copy; `sender`, `incarnation_id`,
    // `kind` and `uncertain_ms` are not set.
    std::function<void(state_change&&)> on_copy_changed;
};

// The first call of a watch that is resumed.
enum class first_call : std::uint8_t
{
    waits,
    returns_at_once // shows early whether the store responds
};

// Watches one kind of objects. Not thread-safe.
class object_watch
{
public:
    // Precondition: `monitor`, `client` and `protocol` outlive the watch. Loop
    // thread only, like all members.
    object_watch(
        ev::loop_ref loop, loop_monitor& monitor, http_client& client,
        platform_store_protocol const& protocol, std::string address,
        std::string kind, watch_timing timing, watch_handlers handlers);
    ~object_watch();
    object_watch(object_watch const&) = delete;
    object_watch& operator=(object_watch const&) = delete;

    // Lists the objects and then watches them. Precondition: not started.
    // The first list may be stale, because the watch continues from its
    // revision.
    void start(read_freshness freshness);
    // Sets the wait of later watch calls.
    void set_wait(duration wait)
    {
        timing_.wait = wait;
    }
    // Sets the delay after changes.
    void set_debounce(duration debounce)
    {
        timing_.debounce = debounce;
    }
    // Sets the bounds of the delay after failed calls.
    void set_retry_delays(duration first, duration longest)
    {
        timing_.initial_retry_delay = first;
        timing_.max_retry_delay = longest;
    }
    // Requests changes immediately; a parked watch stays parked afterwards.
    // Precondition: started.
    void poll_now();
    // Lists all objects immediately; cheaper than poll_now() when the store may
    // have dropped the history since the last change. Precondition: started.
    void list_now(read_freshness freshness);
    // The store has come back from an older copy: lists all objects, and uses
    // no response of an earlier era. Precondition: started.
    void begin_era(std::uint64_t era);
    // Stops sending calls until resume(). A pending list is completed.
    // Precondition: started.
    void park();
    // Resumes watching; `first` says whether the first call waits for changes.
    // Precondition: started.
    void resume(first_call first = first_call::waits);
    bool is_parked() const
    {
        return is_parked_;
    }
    // Whether a call is under way, or its response is being read.
    bool is_calling() const
    {
        return is_calling_;
    }
    // Whether a complete list was received.
    bool is_listed() const
    {
        return is_listed_;
    }
    // Digest of the objects in the copy.
    std::uint64_t digest() const
    {
        return digest_;
    }
    // Position of the store as of which the copy is complete.
    store_position position() const
    {
        return position_;
    }
    // Whether the copy has an object of this name.
    bool contains(std::string_view name) const
    {
        return signatures_.contains(name);
    }
    // Applies a relayed change if it starts from this copy's state and is
    // newer. Returns whether it was applied. Precondition: `is_parked()`.
    bool apply(state_change&& change);
    // Time by which a response to the current call is due.
    steady_time response_due() const
    {
        return sent_at_ + timing_.wait;
    }
    // Repeats the pending call on another connection, because the current one
    // may be dead. Does nothing while a response is being read. Precondition:
    // started.
    void renew();
    // Calls renew() if the pending call was sent before `t`. Precondition:
    // started.
    void renew_older_than(steady_time t)
    {
        if (sent_at_ < t)
            renew();
    }

private:
    void send();
    void on_reply(steady_time sent, duration wait, result<http_reply> reply);
    void
    on_page(steady_time sent, duration wait, result<platform_objects> objects);
    void on_objects(platform_objects&& objects, std::string&& next_after);
    // A copy as of a position of the store.
    struct copy_state
    {
        std::uint64_t digest = 0;
        store_position position;
    };

    void start_list(read_freshness freshness);
    void replace_copy(copy_state before);
    void retry(error const& why);
    void send_after(duration pause);
    std::optional<relayed_object> update_copy(platform_object& o);
    std::string name_to_continue_after(platform_objects const& page) const;
    void reset_list();
    std::vector<std::string>
    names_not_in(std::vector<platform_object> const& all) const;
    void report_copy_change(
        copy_state before, std::uint64_t from,
        std::vector<relayed_object>&& changed) const;

    http_client& client_;
    platform_store_protocol const& protocol_;
    std::string address_;
    std::string kind_;
    watch_timing timing_;
    watch_handlers handlers_;
    loop_timer retry_timer_;
    page_loader loader_;                  // of the response that is being read
    std::vector<platform_object> listed_; // pages read so far
    std::string after_; // the page that is read begins after this name
    // Names after which pages of this list began.
    std::set<std::string, std::less<>> earlier_after_;
    std::map<std::string, std::uint64_t, std::less<>> signatures_; // by name
    std::uint64_t digest_ = 0; // of signatures_
    bool is_listed_ = false;
    bool is_listing_ = true; // the current or next call is a list
    read_freshness list_freshness_ = read_freshness::newest;
    bool has_watched_ = false;
    bool is_parked_ = false;
    bool has_failed_ = false; // the last call
    bool polls_now_ = false;  // the next call
    bool is_calling_ = false;
    store_position position_;
    std::uint64_t era_ = 0; // of the responses that are used
    std::uint64_t first_page_revision_ = 0;
    steady_time sent_at_{}; // of the current call
    duration delay_{0};
    http_client::call_id call_ = 0;
};

} // namespace marjorambeam
