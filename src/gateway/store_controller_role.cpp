// Role of store_controller: whether this gateway reads the store or receives
// relayed changes; and the relay of what it has read.
#include "base/hash.hpp"
#include "gateway/local_response.hpp"
#include "gateway/reader_election.hpp"
#include "gateway/store_controller.hpp"

#include <algorithm>

namespace marjorambeam
{
namespace
{

using std::chrono::milliseconds;

// Delay between two calls for state that no peer has confirmed.
constexpr duration ask_pause = milliseconds(1000);
// Calls of a gateway that hears others, or is not among the first to find out
// that the store is back.
constexpr duration lost_probe_pause = milliseconds(2000);
constexpr duration unhurried_retry = milliseconds(6000);
// After a list that may have been stale, and between those of a reader.
constexpr duration short_ask_pause = milliseconds(300);
// Relayed changes go out in batches of this many datagrams, which a slow link
// and the buffers of its sockets hold.
constexpr std::size_t relay_batch = 32;
constexpr duration relay_period = milliseconds(20);
// A process that was paused for longer may have lost datagrams.
constexpr duration longest_pause = milliseconds(1000);

} // namespace

// Relays what this gateway has read from the store.
void store_controller::relay(state_kind kind, state_change&& change)
{
    steady_time const now = boot_now();
    local_copy& v = state_.kinds[static_cast<std::size_t>(kind)];
    v.digest = change.after;
    v.revision = change.revision;
    v.is_listed = true;
    bool const is_news = change.before != change.after;
    if (!state_.is_reader || !is_news)
        return;
    change.sender = state_.settings.instance;
    change.incarnation_id = state_.self;
    change.kind = static_cast<std::uint8_t>(kind);
    change.uncertain_ms = list_uncertainty_left(state_, now).count() / 1000;
    std::vector<state_change> const parts = split_change(change);
    if (parts.empty())
        state_.counters.count("relays_too_large_total");
    std::vector<std::string> const to = relay_targets(state_, now);
    for (state_change const& part : parts)
    {
        auto const m = std::make_shared<message const>(to_call(part));
        for (std::string const& address : to)
            outbox_.emplace_back(address, m);
    }
    state_.counters.count("changes_relayed_total");
    send_relays();
}

void store_controller::send_relays()
{
    if (relay_timer_.is_active())
        return;
    for (std::size_t i = 0; i < relay_batch && !outbox_.empty(); ++i)
    {
        auto const& [address, m] = outbox_.front();
        peers_.send(address, *m);
        outbox_.pop_front();
    }
    if (!outbox_.empty())
        relay_timer_.start(relay_period);
}

void store_controller::apply_relayed_change(
    state_change&& part, steady_time now)
{
    auto const peer = state_.peers.find(part.sender);
    if (peer == state_.peers.end() ||
        peer->second.incarnation_id != part.incarnation_id)
    {
        state_.counters.count("bad_datagrams_total", "relay of a stranger");
        return;
    }
    std::optional<state_change> whole = relayed_.put(std::move(part));
    if (!whole)
        return;
    auto const kind = static_cast<state_kind>(whole->kind);
    object_watch& w = watch_of(kind);
    if (!w.is_parked())
        return;
    duration const unsure = std::min<duration>(
        milliseconds(std::max<std::int64_t>(whole->uncertain_ms, 0)),
        reregistration_grace);
    // Set before the change is applied, which may hold expired entries.
    if (unsure > duration{0})
        state_.uncertain_until = std::max(state_.uncertain_until, now + unsure);
    bool const is_applied = w.apply(std::move(*whole));
    state_.counters.count(
        is_applied ? "relays_applied_total" : "relays_unfit_total");
    local_copy& v = state_.kinds[static_cast<std::size_t>(kind)];
    v.digest = w.digest();
    v.revision = w.revision();
}

bool store_controller::is_started(object_watch const& w) const
{
    return &w != &gateways_ || is_registered_;
}

// The store drops its history for all watches at once, and may silently end
// pending ones.
void store_controller::renew_after_drop()
{
    if (!state_.history_dropped || state_.history_dropped == renewed_for_)
        return;
    renewed_for_ = state_.history_dropped;
    if (config_.is_parked())
        return; // nothing waits at the store
    state_.counters.count("watches_renewed_total");
    config_.renew_older_than(*renewed_for_);
    renew_watches(*renewed_for_);
}

// Renews the watches beside the configuration's that wait since before `t`.
void store_controller::renew_watches(steady_time t)
{
    for (std::size_t i = 0; i < state_kind_count; ++i)
    {
        object_watch& w = watch_of(static_cast<state_kind>(i));
        if (is_started(w) && !w.is_parked())
            w.renew_older_than(t);
    }
}

void store_controller::set_role(steady_time now)
{
    bool const was_reader = state_.is_reader;
    update_role(state_, now);
    if (state_.is_reader && !was_reader)
        reading_since_ = now;
    if (state_.is_reader != was_reader)
        log_.write(
            state_.is_reader ? log_event::reading_began
                             : log_event::reading_ended,
            {{"store", state_.is_store_lost ? "lost" : "kept"}});
    park_or_resume();
}

// Called before the pause after a failed call is chosen.
void store_controller::set_retry_delays(steady_time now)
{
    if (is_prober(state_, now))
        config_.set_retry_delays(initial_probe_delay, max_probe_delay);
    else
        config_.set_retry_delays(unhurried_retry, unhurried_retry);
}

// Watches are kept by readers that have the store. Until it has answered the
// first of them, and while it is lost, only the configuration is asked for.
void store_controller::park_or_resume()
{
    bool const has_all =
        gateways_.is_listed() && upstreams_.is_listed() && config_.is_listed();
    bool const reads = state_.is_reader || !has_all;
    if (reads)
        config_.resume();
    else
        config_.park();
    bool const is_answered = !state_.is_store_lost &&
                             state_.last_store_response_at &&
                             *state_.last_store_response_at >= reading_since_;
    for (std::size_t i = 0; i < state_kind_count; ++i)
    {
        object_watch& w = watch_of(static_cast<state_kind>(i));
        if (!is_started(w))
            continue;
        if (reads && (is_answered || !w.is_listed()))
            w.resume();
        else
            w.park();
    }
}

void store_controller::ask_when_behind(steady_time now)
{
    // What was relayed during a pause of the process may be lost.
    bool const has_paused =
        last_tick_ != steady_time{} && now - last_tick_ > longest_pause;
    last_tick_ = now;
    for (std::size_t i = 0; i < state_kind_count; ++i)
    {
        auto const kind = static_cast<state_kind>(i);
        object_watch& w = watch_of(kind);
        if (!w.is_parked() || !w.is_listed() || state_.is_store_lost)
            continue;
        bool const must_ask =
            has_paused || (is_behind(state_, kind, now) && now >= next_ask_[i]);
        if (!must_ask)
            continue;
        next_ask_[i] = now + ask_pause;
        record_fetch(state_, kind);
        state_.counters.count("state_asked_total");
        w.poll_now();
    }
}

void store_controller::ask_for_config(steady_time now)
{
    if (must_fetch_config(state_, now) && now >= next_config_ask_)
    {
        bool const is_patient = config_.is_parked() && has_asked_stale_;
        next_config_ask_ = now + (is_patient ? ask_pause : short_ask_pause);
        state_.counters.count("config_asked_total");
        if (!config_.is_parked())
            config_query_.ask();
        else
            config_.list_now(
                std::exchange(has_asked_stale_, !has_asked_stale_)
                    ? read_freshness::newest
                    : read_freshness::may_be_stale);
    }
    if (state_.is_store_lost && config_.is_parked() && now >= next_probe_)
    {
        next_probe_ =
            now +
            spread(
                lost_probe_pause,
                hash64(state_.settings.instance) +
                    static_cast<std::uint64_t>(now.time_since_epoch().count()));
        config_.list_now(read_freshness::newest);
    }
}

} // namespace marjorambeam
