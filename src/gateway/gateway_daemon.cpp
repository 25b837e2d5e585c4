#include "gateway/gateway_daemon.hpp"

#include "gateway/copy_fetch.hpp"
#include "gateway/overload_control.hpp"
#include "gateway/placement_page.hpp"
#include "gateway/reader_election.hpp"
#include "log/guarded_call.hpp"

namespace marjorambeam
{
namespace
{

using std::chrono::milliseconds;

constexpr duration tick_period = milliseconds(100);
// Log lines of successful requests may be buffered this long; on an instance
// with a fraction of a processor, each write delays active requests.
constexpr duration log_flush_period = std::chrono::seconds(1);
constexpr duration expiry_period = std::chrono::seconds(1);
// A turn of the loop that is longer holds up callers noticeably.
constexpr duration max_turn = milliseconds(100);

http_server_settings admin_settings(std::string const& address)
{
    http_server_settings s;
    s.address = address;
    s.max_connections = 64;
    s.max_body_bytes = 4096;
    return s;
}

} // namespace

gateway_daemon::gateway_daemon(
    ev::dynamic_loop& loop, gateway_settings const& settings,
    gateway_protocols const& protocols)
    : loop_(loop)
    , protocols_(protocols)
    , state_{.settings = settings, .self = random_incarnation(),
             .gateways = {settings.instance}, .started = boot_now()}
    , monitor_(loop, [this](loop_turn const& t) { on_turn(t); })
    , client_(loop)
    , pool_(loop, state_.counters)
    , peers_(
          loop, settings.peer_address,
          [this](message&& m) { on_message(std::move(m)); },
          [this](error const& e)
          { state_.counters.count("bad_datagrams_total", to_string(e.kind)); })
    , limits_(
          state_, peers_,
          [this](steady_time now) { requests_.dispatch_waiting(now); })
    , quarantine_(
          state_, peers_, client_, pool_, protocols.store, protocols.documents,
          [this](steady_time now) { requests_.abort_quarantined(now); })
    , requests_(
          loop, state_, protocols.calls, pool_, limits_, quarantine_, monitor_)
    , store_(
          loop, state_, client_, peers_, quarantine_, protocols.store,
          protocols.documents, monitor_)
    , readiness_(
          loop, admin_settings(settings.readiness_address),
          [this](std::shared_ptr<http_exchange> const& ex) { on_admin(ex); })
    , timer_(loop, [this] { tick(); })
{
    if (!settings.metrics_address.empty())
        metrics_ = std::make_unique<http_server>(
            loop, admin_settings(settings.metrics_address),
            [this](std::shared_ptr<http_exchange> const& ex)
            { on_operator(ex); });
    log_.write(
        log_event::started, {{"instance", settings.instance},
                             {"zone", settings.zone},
                             {"callers", settings.client_address},
                             {"lifetime", to_hex(state_.self)}});
    store_.start();
    timer_.start_every(tick_period);
}

void gateway_daemon::on_admin(std::shared_ptr<http_exchange> const& exchange)
{
    std::string const& path = exchange->request().path;
    if (path == protocols_.readiness_path || path == "/readyz")
    {
        bool const ok = is_ready(state_, boot_now());
        exchange->respond(ok ? 200 : 503, {}, ok ? "ready\n" : "not ready\n");
        return;
    }
    if (path == "/metrics")
    {
        exchange->respond(
            200, {{"Content-Type", "text/plain"}}, metrics_page());
        return;
    }
    exchange->respond(404, {}, "");
}

// The operators' port also says where a request would go; the readiness port,
// which others may reach, does not tell about organisations and keys.
void gateway_daemon::on_operator(std::shared_ptr<http_exchange> const& exchange)
{
    if (exchange->request().path != "/where")
    {
        on_admin(exchange);
        return;
    }
    timed_part const part(monitor_, "where");
    if (exchange->request().method != "GET")
    {
        respond_error(
            *exchange, make_error(error_kind::method_not_allowed, "use GET"),
            {});
        return;
    }
    placement_page const page = make_placement_page(
        state_, requests_.queued(), exchange->request(), boot_now(),
        to_unix_ms(wall_now()));
    exchange->respond(
        page.status, {{"Content-Type", "application/json"}}, page.body);
}

std::string gateway_daemon::metrics_page()
{
    metrics& m = state_.counters;
    log_totals const lines = log_line_totals();
    m.set("log_lines_written_total", static_cast<double>(lines.written));
    m.set("log_lines_held_back_total", static_cast<double>(lines.held_back));
    m.set("log_lines_unread_total", static_cast<double>(lines.unread));
    m.set("requests_active", static_cast<double>(requests_.active()));
    m.set("store_era", static_cast<double>(state_.era.number));
    m.set("callbacks_failed_total", static_cast<double>(failed_callbacks()));
    requests_.set_gauges();
    limits_.set_gauges();
    quarantine_.set_gauges();
    set_lag_gauges(state_, boot_now());
    return m.render();
}

// Logs changes in the reachability of peers and the validity of keys.
void gateway_daemon::log_changes(steady_time now)
{
    for (auto const& [name, p] : state_.peers)
    {
        bool const is_reachable =
            now - p.last_received_at < peer_load_ttl(state_.peers.size());
        auto const it = reachable_peers_.find(name);
        if (is_reachable && it == reachable_peers_.end())
        {
            reachable_peers_.insert(name);
            log_.write(log_event::peer_heard, {{"peer", name}});
        }
        else if (!is_reachable && it != reachable_peers_.end())
        {
            reachable_peers_.erase(it);
            log_.write(
                log_event::peer_lost,
                {{"peer", name}, {"age_ms", in_ms(now - p.last_received_at)}});
        }
    }
    std::erase_if(
        reachable_peers_,
        [this](std::string const& it) { return !state_.peers.contains(it); });
    bool const is_isolated = state_.config && !are_keys_fresh(state_, now);
    if (is_isolated == is_isolated_)
        return;
    is_isolated_ = is_isolated;
    log_.write(
        is_isolated ? log_event::isolation_began : log_event::isolation_ended,
        {{"config", std::to_string(state_.config->version)},
         {"age_ms", state_.config_confirmed
                        ? in_ms(now - *state_.config_confirmed)
                        : "-"}});
}

void gateway_daemon::on_turn(loop_turn const& t)
{
    if (turns_ == nullptr)
        turns_ = &state_.counters.histogram("loop_turn_seconds", {});
    turns_->add(to_seconds(t.took));
    if (t.took <= max_turn)
        return;
    std::string const longest(t.longest.empty() ? "-" : t.longest);
    state_.counters.count("loop_hold_ups_total", longest);
    log_.write(
        log_event::loop_held_up, {{"turn_ms", in_ms(t.took)},
                                  {"longest", longest},
                                  {"longest_ms", in_ms(t.longest_took)}});
}

void gateway_daemon::send_reports(steady_time now)
{
    bool const is_due = now >= next_report_ || state_.is_report_due;
    if (!is_due || state_.peers.empty())
        return;
    state_.is_report_due = false;
    next_report_ = now + report_period(state_.peers.size(), state_.is_reader);
    std::string const report = encode_report(make_report(state_, now));
    record_sent(state_.reports, now);
    state_.upstreams.pending_samples.clear();
    for (auto const& [name, p] : state_.peers)
        peers_.send(p.address, to_call(report, echo_for(p, now)));
    limits_.send_reports(now);
}

void gateway_daemon::on_message(message&& m)
{
    timed_part const part(monitor_, "message");
    auto const* const call = std::get_if<peer_call>(&m);
    steady_time const now = boot_now();
    if (call != nullptr && call->name == gateway_report_call)
    {
        result<gateway_report> const r = decode_report(*call);
        if (!r)
        {
            state_.counters.count("bad_datagrams_total", "report");
            return;
        }
        if (apply_report(state_, *r, now) != report_outcome::applied)
            state_.counters.count("bad_datagrams_total", "unfit report");
    }
    else if (call != nullptr && call->name == state_change_call)
    {
        result<state_change> c = decode_change(*call);
        if (c)
            store_.apply_relayed_change(std::move(*c), now);
        else
            state_.counters.count("bad_datagrams_total", "relay");
    }
    else if (
        call == nullptr || (!quarantine_.on_message(*call, now) &&
                            !limits_.on_message(*call, now)))
    {
        state_.counters.count("bad_datagrams_total", "unknown message");
    }
}

void gateway_daemon::tick()
{
    timed_part const part(monitor_, "tick");
    steady_time const now = boot_now();
    store_.tick(now);
    limits_.tick(now);
    send_reports(now);
    quarantine_.tick(now);
    expire_reports(state_, now);
    log_changes(now);
    if (now >= next_expiry_)
    {
        next_expiry_ = now + expiry_period;
        expire_sessions(state_.sessions, now);
    }
    if (state_.drain_started)
        continue_shutdown(now);
    if (now >= next_flush_)
    {
        next_flush_ = now + log_flush_period;
        flush_log();
    }
}

void gateway_daemon::begin_shutdown()
{
    if (state_.drain_started)
        return;
    steady_time const now = boot_now();
    state_.drain_started = now;
    log_.write(
        log_event::shutdown_began,
        {{"active", std::to_string(requests_.active())}});
    requests_.begin_drain(now);
}

void gateway_daemon::continue_shutdown(steady_time now)
{
    stop_plan const plan =
        make_stop_plan(*state_.drain_started, state_.settings.drain_time);
    bool const is_late = now > plan.abort_at;
    if (!is_late && !requests_.is_drained(now))
        return;
    if (is_late && requests_.active() > 0)
    {
        log_.write(
            log_event::shutdown_late,
            {{"active", std::to_string(requests_.active())}});
        requests_.abort_all(now);
        exit_code_ = 1;
    }
    if (requests_.has_callers() && now < plan.exit_at)
        return;
    log_.write(log_event::stopped);
    loop_.break_loop(ev::ALL);
}

void gateway_daemon::reload(gateway_settings const& settings)
{
    gateway_settings& s = state_.settings;
    if (s == settings)
        return;
    s.drain_time = settings.drain_time;
    s.key_bound = settings.key_bound;
    s.retry_budget = settings.retry_budget;
    for (auto& [service, it] : state_.attempts)
    {
        it.requests.set_length(s.retry_budget.window);
        it.extras.set_length(s.retry_budget.window);
    }
    s.cold_factor = settings.cold_factor;
    s.cold_tolerance = settings.cold_tolerance;
    s.overload_control = settings.overload_control;
    s.wants_overload_control = settings.wants_overload_control;
    log_.write(
        log_event::settings_reloaded,
        {{"drain_ms", in_ms(s.drain_time)},
         {"key_bound_ms", s.key_bound ? in_ms(*s.key_bound) : "-"},
         {"extra_ratio", std::to_string(s.retry_budget.ratio)},
         {"extra_allowance", std::to_string(s.retry_budget.allowance)},
         {"extra_window_ms", in_ms(s.retry_budget.window)},
         {"cold_factor", std::to_string(s.cold_factor)},
         {"cold_tolerance", std::to_string(s.cold_tolerance)},
         {"overload_control", std::string(to_string(s.overload_control))},
         {"wants_overload_control",
          s.wants_overload_control ? "true" : "false"}});
}

} // namespace marjorambeam
