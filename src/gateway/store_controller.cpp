#include "gateway/store_controller.hpp"

#include "gateway/peer_report.hpp"
#include "gateway/reader_election.hpp"
#include "gateway/store_era.hpp"

#include <algorithm>
#include <iterator>
#include <set>

namespace marjorambeam
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

// Within this time a starting gateway receives reports from the readers; a
// watch that is then parked has cost a single call.
constexpr duration initial_delay = milliseconds(1500);
// The first list of gateways misses those that start at the same time.
constexpr duration gateways_initial_delay = milliseconds(500);

// The wait depends on the number of gateways, see config_wait().
constexpr watch_timing config_timing{
    .wait = milliseconds(1300),
    .response_timeout = milliseconds(800),
    .initial_retry_delay = initial_probe_delay,
    .max_retry_delay = max_probe_delay,
    .debounce = milliseconds(120),
    .initial_delay = milliseconds(300)};

constexpr duration query_timeout = milliseconds(800);

// Calls are billed, so the wait is long; TCP probes detect dead connections.
watch_timing long_watch_timing(duration debounce)
{
    return {
        .wait = seconds(20),
        .response_timeout = milliseconds(1500),
        .initial_retry_delay = milliseconds(100),
        // The configuration watch detects that the store is available again.
        .max_retry_delay = milliseconds(4000),
        .debounce = debounce,
        .initial_delay = initial_delay};
}

// A draining upstream may receive requests for two seconds; many upstreams
// register or drain at about the same time.
constexpr duration upstream_debounce = milliseconds(400);
// Each change costs one call per gateway, so a larger fleet batches more
// changes per call. The maximums leave half of the time within which drains and
// configurations must take effect.
constexpr duration debounce_per_gateway = milliseconds(20);
constexpr duration max_upstream_debounce = milliseconds(1000);
constexpr duration max_config_debounce = milliseconds(400);
constexpr duration short_debounce = milliseconds(50);
// Gateways register at startup, before they accept requests.
constexpr duration gateway_debounce = milliseconds(1000);

watch_timing gateway_timing()
{
    watch_timing t = long_watch_timing(gateway_debounce);
    t.initial_delay = gateways_initial_delay;
    return t;
}

// Work of one turn of the loop.
constexpr std::size_t routes_freed_per_turn = 500;
constexpr std::size_t upstreams_applied_per_turn = 50;

constexpr duration write_retry_delay = milliseconds(500);
constexpr duration write_timeout = seconds(2);

std::string count_text(timing_sums const& s)
{
    return std::to_string(static_cast<std::uint64_t>(s.count));
}

} // namespace

store_controller::store_controller(
    ev::loop_ref loop, gateway_state& state, http_client& client,
    datagram_socket& peers, quarantine_controller& quarantine,
    platform_store_protocol const& protocol, store_documents const& documents,
    loop_monitor& monitor)
    : state_(state)
    , monitor_(monitor)
    , client_(client)
    , peers_(peers)
    , quarantine_(quarantine)
    , protocol_(protocol)
    , documents_(documents)
    , config_(
          loop, monitor, client, protocol, state.settings.store_address,
          std::string(documents.config_kind), config_timing,
          make_handlers(
              &store_controller::apply_configs, &store_controller::apply_config,
              std::nullopt))
    , config_query_(
          loop, monitor, client, protocol, state.settings.store_address,
          std::string(documents.config_kind), query_timeout,
          {.accepts_era = [this](std::uint64_t era)
           { return accepts_era(era); },
           .on_objects = [this](std::vector<platform_object>&& all)
           { apply_configs(std::move(all)); },
           .on_contact = [this](steady_time as_of) { on_contact(as_of, true); },
           // Only the watch decides whether the store is lost.
           .on_failure = [this](error const& why) { on_failure(why, false); }})
    , era_query_(
          loop, monitor, client, protocol, state.settings.store_address,
          std::string(documents.era_kind), query_timeout,
          {.accepts_era = [this](std::uint64_t era)
           { return accepts_era(era); },
           .on_objects = [this](std::vector<platform_object>&& all)
           { apply_era_records(all); },
           .on_contact = [](steady_time) {},
           .on_failure =
               [this](error const& why)
           {
               on_failure(why, false);
               era_timer_.start(initial_probe_delay);
           }})
    , era_timer_(loop, [this] { look_up_era(); })
    , upstreams_(
          loop, monitor, client, protocol, state.settings.store_address,
          std::string(documents.upstream_kind),
          long_watch_timing(upstream_debounce),
          make_handlers(
              &store_controller::replace_upstreams,
              &store_controller::queue_upstream, state_kind::upstreams))
    , rollouts_(
          loop, monitor, client, protocol, state.settings.store_address,
          std::string(documents.rollout_kind),
          long_watch_timing(short_debounce),
          make_handlers(
              &store_controller::replace_rollouts,
              &store_controller::apply_rollout, state_kind::rollouts))
    , zones_(
          loop, monitor, client, protocol, state.settings.store_address,
          std::string(documents.zone_out_kind),
          long_watch_timing(short_debounce),
          make_handlers(
              &store_controller::replace_zones, &store_controller::apply_zone,
              state_kind::zones))
    , gateways_(
          loop, monitor, client, protocol, state.settings.store_address,
          std::string(documents.gateway_kind), gateway_timing(),
          make_handlers(
              &store_controller::replace_gateways,
              &store_controller::apply_gateway, state_kind::gateways))
    , quarantines_(
          loop, monitor, client, protocol, state.settings.store_address,
          std::string(documents.quarantine_kind),
          long_watch_timing(short_debounce),
          make_handlers(
              &store_controller::replace_quarantines,
              &store_controller::apply_quarantine, state_kind::quarantines))
    , free_timer_(loop, [this] { free_retired_routes(); })
    , apply_timer_(loop, [this] { apply_queued_upstreams(); })
    , register_timer_(loop, [this] { register_self(); })
    , relay_timer_(loop, [this] { send_relays(); })
{
}

watch_handlers store_controller::make_handlers(
    void (store_controller::*on_all)(std::vector<platform_object>&&),
    void (store_controller::*on_change)(platform_object&&),
    std::optional<state_kind> kind)
{
    bool const is_config = !kind;
    return {
        .on_all = [this, on_all](std::vector<platform_object>&& all)
        { (this->*on_all)(std::move(all)); },
        .on_change = [this, on_change](platform_object&& o)
        { (this->*on_change)(std::move(o)); },
        .on_contact = [this, is_config](std::optional<steady_time> as_of)
        { on_contact(as_of, is_config); },
        .on_read =
            [this, kind](steady_time sent)
        {
            if (kind)
                on_kind_read(*kind, sent, boot_now());
        },
        .on_failure =
            [this, is_config, kind](error const& why)
        {
            if (kind)
                on_fetch_failed(*kind, why, boot_now());
            // The store has responded to another call since, so only this watch
            // is silent.
            bool const has_responded =
                why.kind == error_kind::upstream_silent &&
                state_.last_store_response_at &&
                *state_.last_store_response_at > config_.response_due();
            on_failure(why, is_config && !has_responded);
        },
        .accepts_era = [this](std::uint64_t era) { return accepts_era(era); },
        .on_history_dropped = [this]
        { record_history_dropped(state_, boot_now()); },
        .on_copy_changed =
            [this, kind](state_change&& change)
        {
            if (kind)
                relay(*kind, std::move(change));
        }};
}

object_watch& store_controller::watch_of(state_kind kind)
{
    switch (kind)
    {
    case state_kind::upstreams:
        return upstreams_;
    case state_kind::rollouts:
        return rollouts_;
    case state_kind::zones:
        return zones_;
    case state_kind::quarantines:
        return quarantines_;
    default:
        return gateways_;
    }
}

void store_controller::start()
{
    config_.start(read_freshness::newest);
    upstreams_.start(read_freshness::may_be_stale);
    rollouts_.start(read_freshness::may_be_stale);
    zones_.start(read_freshness::may_be_stale);
    quarantines_.start(read_freshness::may_be_stale);
    look_up_era();
    register_self();
}

void store_controller::on_contact(
    std::optional<steady_time> as_of, bool is_config)
{
    steady_time const now = boot_now();
    state_.last_store_response_at = now;
    if (!is_config)
    {
        next_probe_ = {}; // of a store that was taken for lost
        return;
    }
    if (as_of)
        record_confirmation(state_, *as_of, now);
    config_.set_wait(config_wait(state_));
    if (!state_.is_store_lost)
    {
        park_or_resume();
        return;
    }
    state_.is_store_lost = false;
    state_.outage_ended_at = now;
    state_.is_report_due = true;
    log_.write(
        log_event::store_regained,
        {{"lost_ms", in_ms(now - state_.outage_started_at)}});
    // The fault of one connection may affect the others.
    renew_watches(now);
    park_or_resume();
}

void store_controller::on_failure(error const& why, bool is_config)
{
    state_.counters.count("store_failures_total", to_string(why.kind));
    if (!is_config)
        return;
    set_retry_delays(boot_now());
    if (state_.is_store_lost)
        return;
    state_.is_store_lost = true;
    state_.outage_started_at = boot_now();
    state_.has_peer_store_access = false;
    log_.write(
        log_event::store_lost,
        {{"kind", std::string(to_string(why.kind))}, {"why", why.message}});
    park_or_resume();
}

void store_controller::apply_configs(std::vector<platform_object>&& all)
{
    for (platform_object& it : all)
        apply_config(std::move(it));
}

void store_controller::apply_config(platform_object&& o)
{
    if (o.is_deleted || o.name != documents_.config_name)
        return;
    result<gateway_config> c = documents_.decode_config(std::move(o));
    if (!c)
    {
        log_.write(log_event::config_bad, {{"why", c.error().message}});
        state_.counters.count("bad_documents_total", "config");
        return;
    }
    record_listed_config(state_, c->version);
    if (state_.config && c->version <= state_.config->version)
    {
        retired_->push_back(std::make_unique<gateway_config>(std::move(*c)));
        free_timer_.start(duration{0});
        return;
    }
    log_.write(
        log_event::config_in_force,
        {{"config", std::to_string(c->version)},
         {"routes", std::to_string(c->routes.size())},
         {"keys", c->requires_keys ? "required" : "none"},
         {"organisations", std::to_string(c->organisations.size())}});
    put_config(std::move(*c));
    state_.config_behind_since.reset();
    lists_newest_next_ = false;
    state_.is_report_due = state_.is_reader;
}

// Puts the configuration in force. Requests keep the one before as long as they
// need it; it is freed in slices after that.
void store_controller::put_config(gateway_config&& c)
{
    auto const retire = [retired = retired_](gateway_config* unused)
    { retired->emplace_back(unused); };
    state_.config = std::shared_ptr<gateway_config>(
        new gateway_config(std::move(c)), retire);
    free_timer_.start(duration{0});
}

void store_controller::free_retired_routes()
{
    timed_part const part(monitor_, "retired configuration");
    if (!retired_->empty() &&
        remove_routes(*retired_->back(), routes_freed_per_turn))
        retired_->pop_back();
    if (!retired_->empty())
        free_timer_.start(duration{0});
}

void store_controller::replace_upstreams(std::vector<platform_object>&& all)
{
    steady_time const now = boot_now();
    std::vector<std::string_view> listed;
    std::vector<std::string> unlisted_ids;
    if (!state_.upstreams.by_id.empty())
    {
        for (platform_object const& it : all)
            listed.push_back(it.name);
        std::sort(listed.begin(), listed.end());
    }
    for (auto const& it : state_.upstreams.by_id)
    {
        if (!std::binary_search(listed.begin(), listed.end(), it.first))
            unlisted_ids.push_back(it.first);
    }
    for (std::string const& id : unlisted_ids)
        remove_upstream(id, now);
    // The list is newer than what waits.
    queued_upstreams_.clear();
    std::move(all.begin(), all.end(), std::back_inserter(queued_upstreams_));
    is_list_queued_ = true;
    if (queued_upstreams_.size() <= upstreams_applied_per_turn)
        apply_queued_upstreams();
    else
        apply_timer_.start(duration{0});
}

void store_controller::queue_upstream(platform_object&& o)
{
    queued_upstreams_.push_back(std::move(o));
    if (!apply_timer_.is_active())
        apply_queued_upstreams();
}

void store_controller::apply_queued_upstreams()
{
    timed_part const part(monitor_, documents_.upstream_kind);
    for (std::size_t i = 0;
         i < upstreams_applied_per_turn && !queued_upstreams_.empty(); ++i)
    {
        apply_upstream(std::move(queued_upstreams_.front()));
        queued_upstreams_.pop_front();
    }
    if (!queued_upstreams_.empty())
    {
        apply_timer_.start(duration{0});
        return;
    }
    if (!std::exchange(is_list_queued_, false) || state_.has_upstreams)
        return;
    state_.has_upstreams = true;
    std::set<std::string> services;
    for (auto const& [id, u] : state_.upstreams.by_id)
        services.insert(u->info.service);
    for (std::string const& it : services)
        set_default_version(it);
}

void store_controller::remove_upstream(std::string_view id, steady_time now)
{
    auto const it = state_.upstreams.by_id.find(id);
    if (it == state_.upstreams.by_id.end())
        return;
    if (is_list_uncertain(state_, now) && !it->second->info.is_draining)
    {
        it->second->is_missing = true;
        return;
    }
    log_.write(log_event::upstream_gone, {{"upstream", std::string(id)}});
    if (!it->second->info.is_draining)
        quarantine_.record_crash_of(id, now);
    record_gone_upstream(state_, it->second->info, now);
    erase_upstream(state_.upstreams, it);
}

void store_controller::apply_upstream(platform_object&& o)
{
    steady_time const now = boot_now();
    if (o.is_deleted)
    {
        remove_upstream(o.name, now);
        return;
    }
    result<upstream_info> info = documents_.decode_upstream(o);
    if (!info)
    {
        state_.counters.count("bad_documents_total", "upstream");
        log_.write(
            log_event::upstream_entry_bad,
            {{"upstream", o.name}, {"why", info.error().message}});
        remove_upstream(o.name, now);
        return;
    }
    if (is_outdated_entry(state_, *info, now))
    {
        state_.counters.count("outdated_entries_total");
        return;
    }
    auto const known = state_.upstreams.by_id.find(info->id);
    std::shared_ptr<upstream_state> u =
        known == state_.upstreams.by_id.end() ? nullptr : known->second;
    bool const is_new = !u ||
                        u->info.started_unix_ms != info->started_unix_ms ||
                        u->info.address != info->address;
    // An upstream that leaves does so for the rest of its incarnation, whatever
    // an older copy of the store says.
    if (!is_new && u->info.is_draining && state_.era.begun)
        info->is_draining = true;
    if (is_new && u)
        quarantine_.record_crash_of(info->id, now);
    if (is_new)
        u = std::make_shared<upstream_state>();
    gateway_service const* const s =
        state_.config ? find_service(*state_.config, info->service) : nullptr;
    duration cold = info->cold_remaining;
    // An upstream that starts under traffic is cold, even if an early entry
    // reports no cold time.
    if (is_new && state_.has_upstreams && s != nullptr)
        cold = std::max(cold, s->cold_start);
    if (cold > duration{0})
        u->cold_until = std::max(u->cold_until, now + cold);
    if (is_new || u->info.is_draining != info->is_draining)
        log_.write(
            log_event::upstream_listed,
            {{"upstream", info->id},
             {"service", info->service},
             {"version", info->version},
             {"started_ms", std::to_string(info->started_unix_ms)},
             {"leaving", info->is_draining ? "yes" : "no"},
             {"cold_ms", std::to_string(cold.count() / 1000)}});
    u->is_missing = false;
    if (u->info.service != info->service ||
        u->info.is_draining != info->is_draining)
        ++state_.upstreams.changes;
    u->info = std::move(*info);
    if (is_new)
        put_upstream(state_.upstreams, u);
    bool const has_default = state_.default_versions.contains(u->info.service);
    if (state_.has_upstreams && !has_default)
        set_default_version(u->info.service);
}

// Without a rollout, the version of most upstreams is the default; upstreams of
// a new version may register before its rollout is seen.
void store_controller::set_default_version(std::string const& service)
{
    std::map<std::string, int> n;
    for (auto const& [id, u] : state_.upstreams.by_id)
    {
        if (u->info.service == service)
            ++n[u->info.version];
    }
    auto const most = std::max_element(
        n.begin(), n.end(),
        [](auto const& a, auto const& b) { return a.second < b.second; });
    if (most != n.end())
        state_.default_versions[service] = most->first;
}

void store_controller::replace_rollouts(std::vector<platform_object>&& all)
{
    bool const keeps_all = is_rewriting(state_, boot_now());
    std::erase_if(
        state_.rollouts,
        [&](auto const& known)
        {
            return !keeps_all && std::none_of(
                                     all.begin(), all.end(),
                                     [&](platform_object const& o)
                                     { return o.name == known.first; });
        });
    for (platform_object& it : all)
        apply_rollout(std::move(it));
}

void store_controller::apply_rollout(platform_object&& o)
{
    if (o.is_deleted)
    {
        state_.rollouts.erase(o.name);
        return;
    }
    result<version_rollout> order = documents_.decode_rollout(o);
    if (!order)
    {
        state_.counters.count("bad_documents_total", "roll-out");
        return;
    }
    auto const it = state_.rollouts.find(order->service);
    bool const is_new =
        it == state_.rollouts.end() || it->second.order.target != order->target;
    if (is_new)
    {
        rollout_progress t;
        t.first_seen = boot_now();
        state_.rollouts[order->service] = std::move(t);
    }
    rollout_progress& t = state_.rollouts[order->service];
    if (order->revision < t.order.revision)
        return;
    if (order->state == version_rollout_state::completed &&
        order->state_target == order->target)
        state_.default_versions[order->service] = order->target;
    log_.write(
        log_event::rollout_seen,
        {{"service", order->service},
         {"target", order->target},
         {"state", std::to_string(static_cast<int>(order->state))},
         {"takes_all", order->takes_all ? "yes" : "no"},
         {"revision", std::to_string(order->revision)}});
    take_order(state_, t, std::move(*order));
    bool const has_all =
        t.order.takes_all && t.order.state_target == t.order.target;
    if (!has_all)
        t.full_since.reset();
    else if (!t.full_since)
        t.full_since = boot_now();
}

void store_controller::replace_zones(std::vector<platform_object>&& all)
{
    if (!is_rewriting(state_, boot_now()))
        state_.upstreams.evacuated_zones.clear();
    for (platform_object& it : all)
        apply_zone(std::move(it));
}

void store_controller::apply_zone(platform_object&& o)
{
    log_.write(
        log_event::zone_changed,
        {{"zone", o.name}, {"out", o.is_deleted ? "no" : "yes"}});
    if (!o.is_deleted)
    {
        state_.upstreams.evacuated_zones.insert(o.name);
        return;
    }
    state_.upstreams.evacuated_zones.erase(o.name);
    steady_time const now = boot_now();
    for (auto const& [id, u] : state_.upstreams.by_id)
    {
        gateway_service const* const s =
            state_.config ? find_service(*state_.config, u->info.service)
                          : nullptr;
        if (u->info.zone == o.name && s != nullptr)
            u->cold_until = std::max(u->cold_until, now + s->cold_start);
    }
}

void store_controller::replace_gateways(std::vector<platform_object>&& all)
{
    bool const keeps_all = is_rewriting(state_, boot_now());
    std::erase_if(
        state_.peers,
        [&](auto const& known)
        {
            return !keeps_all && std::none_of(
                                     all.begin(), all.end(),
                                     [&](platform_object const& o)
                                     { return o.name == known.first; });
        });
    for (platform_object& it : all)
        apply_gateway(std::move(it));
    update_gateways();
}

void store_controller::apply_gateway(platform_object&& o)
{
    if (o.is_deleted)
    {
        state_.peers.erase(o.name);
        update_gateways();
        return;
    }
    result<registered_gateway> g = documents_.decode_gateway(o);
    if (!g || g->name == state_.settings.instance)
        return;
    state_.peers[g->name].address = g->address;
    update_gateways();
}

void store_controller::replace_quarantines(std::vector<platform_object>&& all)
{
    quarantine_.replace_objects(all, boot_now());
}

void store_controller::apply_quarantine(platform_object&& o)
{
    quarantine_.apply_object(o, boot_now());
}

void store_controller::update_gateways()
{
    state_.gateways.clear();
    for (auto const& [name, p] : state_.peers)
        state_.gateways.push_back(name);
    state_.gateways.push_back(state_.settings.instance);
    duration const more =
        debounce_per_gateway * static_cast<duration::rep>(state_.peers.size());
    upstreams_.set_debounce(
        std::min(upstream_debounce + more, max_upstream_debounce));
    config_.set_debounce(
        std::min(config_timing.debounce + more, max_config_debounce));
}

void store_controller::register_self()
{
    http_call call = protocol_.create(
        state_.settings.store_address, documents_.gateway_kind,
        state_.settings.instance,
        documents_.encode_gateway(
            {state_.settings.instance, state_.settings.peer_address}));
    call.timeout = write_timeout;
    client_.send(
        std::move(call),
        [this](result<http_reply> reply)
        {
            result<platform_objects> const o =
                read_page(protocol_, std::move(reply));
            // A conflict means that an earlier process of this instance has
            // registered; an instance keeps its address.
            if (!o && o.error().kind != error_kind::conflict)
            {
                state_.counters.count(
                    "store_failures_total", to_string(o.error().kind));
                register_timer_.start(write_retry_delay);
                return;
            }
            if (!std::exchange(is_registered_, true))
                gateways_.start(read_freshness::newest);
        });
}

bool store_controller::is_rollout_writer(steady_time now) const
{
    return std::none_of(
        state_.peers.begin(), state_.peers.end(),
        [&](auto const& it)
        {
            return it.first < state_.settings.instance &&
                   is_live(state_, it.second, now);
        });
}

void store_controller::advance_rollout(rollout_progress& t, steady_time now)
{
    version_evidence const e = pooled_evidence(t);
    if (!t.is_known_bad && is_bad_version(e))
    {
        t.is_known_bad = true;
        log_.write(
            log_event::rollout_version_bad,
            {{"service", t.order.service},
             {"target", t.order.target},
             {"answers", std::to_string(e.target.answers)},
             {"bad", std::to_string(e.target.bad)},
             {"first_samples", count_text(e.timing.first_event)},
             {"first_log_ratio", std::to_string(mean_of(e.timing.first_event))},
             {"gap_samples", count_text(e.timing.event_gap)},
             {"gap_log_ratio", std::to_string(mean_of(e.timing.event_gap))}});
    }
    version_rollout_decision const d = decide_version_rollout(
        t.order, e, elapsed_of(t, now),
        t.full_since ? now - *t.full_since : duration{0});
    bool const is_written = t.stored.target == t.order.target &&
                            t.stored.state == d.state &&
                            t.stored.takes_all == d.takes_all;
    bool const is_known = t.order.revision != 0; // in this era of the store
    if (is_written || !is_known || is_writing_ || now < next_write_ ||
        !is_rollout_writer(now))
        return;
    is_writing_ = true;
    next_write_ = now + write_retry_delay;
    log_.write(
        log_event::rollout_decided,
        {{"service", t.order.service},
         {"target", t.order.target},
         {"state", std::to_string(static_cast<int>(d.state))},
         {"reason", std::string(d.reason)},
         {"answers", std::to_string(e.target.answers)},
         {"bad", std::to_string(e.target.bad)},
         {"first_samples", count_text(e.timing.first_event)},
         {"first_log_ratio", std::to_string(mean_of(e.timing.first_event))},
         {"gap_samples", count_text(e.timing.event_gap)},
         {"gap_log_ratio", std::to_string(mean_of(e.timing.event_gap))},
         {"elapsed_ms", std::to_string(elapsed_of(t, now).count() / 1000)}});
    http_call call = protocol_.put_status(
        state_.settings.store_address, documents_.rollout_kind, t.order.service,
        t.order.revision, documents_.encode_rollout_status(t.order, d));
    call.timeout = write_timeout;
    client_.send(
        std::move(call),
        [this](result<http_reply> reply)
        {
            is_writing_ = false;
            result<platform_objects> const o =
                read_page(protocol_, std::move(reply));
            // The watch reports the stored state; after a lost response or a
            // conflict the decision is made again from it.
            if (!o)
                state_.counters.count(
                    "store_failures_total", to_string(o.error().kind));
        });
}

void store_controller::tick(steady_time now)
{
    // The last request that used a configuration may have ended since.
    if (!retired_->empty() && !free_timer_.is_active())
        free_timer_.start(duration{0});
    set_role(now);
    renew_after_history_drop();
    fetch_config(now);
    fetch_if_behind(now);
    settle_era(now);
    write_era_record(now);
    for (auto& [service, t] : state_.rollouts)
        advance_rollout(t, now);
    for (auto it = state_.upstreams.by_id.begin();
         it != state_.upstreams.by_id.end();)
    {
        upstream_state const& u = *it->second;
        bool const is_expired = u.is_missing && !is_list_uncertain(state_, now);
        it = is_expired ? erase_upstream(state_.upstreams, it) : std::next(it);
    }
}

} // namespace marjorambeam
