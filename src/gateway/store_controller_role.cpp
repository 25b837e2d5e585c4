// Role of store_controller (store reader or receiver of relayed changes) and
// the relay of changes to peers.
#include "gateway/copy_fetch.hpp"
#include "gateway/reader_election.hpp"
#include "gateway/store_controller.hpp"

#include <algorithm>

namespace marjorambeam
{
namespace
{

using std::chrono::milliseconds;

// Delay of a reader that is not elected to probe the store.
constexpr duration non_prober_retry_delay = milliseconds(6000);
// Intervals between fetches of the configuration: usually, and after a list
// that may have been stale or by a reader.
constexpr duration long_config_fetch_interval = milliseconds(1000);
constexpr duration short_config_fetch_interval = milliseconds(300);
// Datagrams per batch of relayed changes; a slow link and its socket buffers
// can hold this many.
constexpr std::size_t relay_batch = 32;
constexpr duration relay_period = milliseconds(20);
// A process that was paused for longer than this may have lost datagrams.
constexpr duration max_process_pause = milliseconds(1000);

} // namespace

// Relays a change that this gateway has read from the store.
void store_controller::relay(state_kind kind, state_change&& change)
{
    steady_time const now = boot_now();
    local_copy& v = state_.kinds[static_cast<std::size_t>(kind)];
    v.digest = change.after;
    bool const is_same_era = v.position.era == change.era;
    v.position = {change.era, change.revision};
    v.is_listed = true;
    bool const has_changed = change.before != change.after;
    // The difference between copies of two eras is no change.
    if (!state_.is_reader || !has_changed || !is_same_era)
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
    std::optional<state_change> complete = relayed_.put(std::move(part));
    if (!complete)
        return;
    auto const kind = static_cast<state_kind>(complete->kind);
    object_watch& w = watch_of(kind);
    if (!w.is_parked())
        return;
    duration const uncertainty = std::min<duration>(
        milliseconds(std::max<std::int64_t>(complete->uncertain_ms, 0)),
        reregistration_grace);
    // Set before the change is applied, which may hold expired entries.
    if (uncertainty > duration{0})
        state_.uncertain_until =
            std::max(state_.uncertain_until, now + uncertainty);
    bool const is_applied = w.apply(std::move(*complete));
    state_.counters.count(
        is_applied ? "relays_applied_total" : "relays_unfit_total");
    local_copy& v = state_.kinds[static_cast<std::size_t>(kind)];
    v.digest = w.digest();
    v.position = w.position();
}

bool store_controller::is_started(object_watch const& w) const
{
    return &w != &gateways_ || is_registered_;
}

// The store drops its history for all watches at once and may silently end
// pending watches.
void store_controller::renew_after_history_drop()
{
    if (!state_.history_dropped || state_.history_dropped == last_renewed_drop_)
        return;
    last_renewed_drop_ = state_.history_dropped;
    if (config_.is_parked())
        return; // no watch is pending at the store
    state_.counters.count("watches_renewed_total");
    config_.renew_older_than(*last_renewed_drop_);
    renew_watches(*last_renewed_drop_);
}

// Renews the watches, except the configuration's, that were sent before `t`.
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
    if (state_.is_reader != was_reader)
        log_.write(
            state_.is_reader ? log_event::reading_began
                             : log_event::reading_ended,
            {{"store", state_.is_store_lost ? "lost" : "kept"}});
    park_or_resume();
}

// Called before the delay after a failed call is computed.
void store_controller::set_retry_delays(steady_time now)
{
    if (is_prober(state_, now))
        config_.set_retry_delays(initial_probe_delay, max_probe_delay);
    else
        config_.set_retry_delays(
            non_prober_retry_delay, non_prober_retry_delay);
}

// Readers keep all watches while the store responds. Until its first response
// to a new reader, and while it is lost, only the configuration is fetched.
void store_controller::park_or_resume()
{
    bool const has_all =
        gateways_.is_listed() && upstreams_.is_listed() && config_.is_listed();
    bool const reads = state_.is_reader || !has_all;
    bool const has_responded = has_store_responded(state_);
    if (reads)
        config_.resume(
            has_responded ? first_call::waits : first_call::returns_at_once);
    else
        config_.park();
    for (std::size_t i = 0; i < state_kind_count; ++i)
    {
        object_watch& w = watch_of(static_cast<state_kind>(i));
        if (!is_started(w))
            continue;
        if (reads && (has_responded || !w.is_listed()))
            w.resume();
        else
            w.park();
    }
}

// The store may be taken for lost: if the copy lacks a change, the fetch is
// what detects that the store responds again.
void store_controller::fetch_if_behind(steady_time now)
{
    bool const has_paused =
        last_tick_ != steady_time{} && now - last_tick_ > max_process_pause;
    last_tick_ = now;
    for (std::size_t i = 0; i < state_kind_count; ++i)
    {
        auto const kind = static_cast<state_kind>(i);
        object_watch const& w = watch_of(kind);
        if (!w.is_parked())
            clear_lag(state_, kind); // the watch reads what it lacks
        if (!w.is_parked() || !w.is_listed())
            continue;
        if (has_paused)
            record_missed_relays(state_, kind, now);
        update_lag(state_, kind, now);
        if (!w.is_calling() && is_fetch_due(state_, kind, now))
            fetch(kind, now);
    }
}

void store_controller::fetch(state_kind kind, steady_time now)
{
    copy_lag const& lag = state_.kinds[static_cast<std::size_t>(kind)].lag;
    if (lag.failures == 0)
        log_.write(
            log_event::copy_behind,
            {{"kind", std::string(to_string(kind))},
             {"why", std::string(to_string(lag.reason))},
             {"peer", lag.peer.empty() ? "-" : lag.peer}});
    state_.counters.count("state_asked_total", to_string(lag.reason));
    record_fetch_sent(state_, kind, now);
    watch_of(kind).poll_now();
}

void store_controller::on_kind_read(
    state_kind kind, steady_time sent, steady_time now)
{
    local_copy const& v = state_.kinds[static_cast<std::size_t>(kind)];
    bool const is_answered = v.fetch_sent_at && sent >= *v.fetch_sent_at;
    if (is_answered && v.lag.failures > 0)
        log_.write(
            log_event::copy_current,
            {{"kind", std::string(to_string(kind))},
             {"failures", std::to_string(v.lag.failures)},
             {"behind_ms",
              in_ms(v.lag.since ? now - *v.lag.since : duration{0})}});
    record_read(state_, kind, sent);
}

void store_controller::on_fetch_failed(
    state_kind kind, error const& why, steady_time now)
{
    local_copy const& v = state_.kinds[static_cast<std::size_t>(kind)];
    if (!v.fetch_sent_at)
        return;
    record_fetch_failed(state_, kind, now);
    state_.counters.count("state_fetch_failures_total", to_string(why.kind));
    log_.write(
        log_event::copy_fetch_failed,
        {{"kind", std::string(to_string(kind))},
         {"error", std::string(to_string(why.kind))},
         {"peer", v.lag.peer.empty() ? "-" : v.lag.peer},
         {"behind_ms", in_ms(v.lag.since ? now - *v.lag.since : duration{0})}});
}

void store_controller::fetch_config(steady_time now)
{
    if (must_fetch_config(state_, now) && now >= next_config_fetch_)
    {
        bool const uses_long_interval =
            config_.is_parked() && lists_newest_next_;
        next_config_fetch_ =
            now + (uses_long_interval ? long_config_fetch_interval
                                      : short_config_fetch_interval);
        state_.counters.count("config_asked_total");
        if (!config_.is_parked())
            config_query_.ask();
        else
            config_.list_now(
                std::exchange(lists_newest_next_, !lists_newest_next_)
                    ? read_freshness::newest
                    : read_freshness::may_be_stale);
    }
    bool const must_probe =
        state_.is_store_lost && config_.is_parked() && !config_.is_calling();
    if (must_probe && now >= next_probe_)
    {
        next_probe_ = now + store_probe_interval(state_, now);
        config_.list_now(read_freshness::newest);
    }
}

} // namespace marjorambeam
