#include "entry/entry_daemon.hpp"

#include <csignal>
#include <nlohmann/json.hpp>

namespace marjorambeam
{
namespace
{

constexpr duration tick_interval = std::chrono::milliseconds(10);
constexpr duration slow_tick_interval = std::chrono::milliseconds(250);
// A refresh iterates over all known daemons, so it doesn't run on each digest.
constexpr duration live_refresh_interval = std::chrono::milliseconds(100);

daemon_identity
make_identity(entry_settings const& s, std::string const& address)
{
    daemon_identity id;
    id.instance = s.instance;
    id.role = process_role::entry;
    id.availability_zone = s.availability_zone;
    id.address = address;
    id.self = random_incarnation();
    return id;
}

http_server_settings caller_limits(entry_settings const& s)
{
    http_server_settings limits;
    limits.address = s.listen;
    limits.max_body_bytes = static_cast<std::size_t>(s.max_body_bytes);
    limits.max_header_bytes = static_cast<std::size_t>(s.max_header_bytes);
    limits.max_connections = static_cast<unsigned>(s.max_connections);
    limits.body_timeout = s.body_timeout;
    limits.idle_timeout = s.idle_timeout;
    return limits;
}

agent_link_settings link_settings(entry_settings const& s)
{
    agent_link_settings out;
    out.heartbeat_interval = s.heartbeat_interval;
    out.silence_limit = s.silence_limit;
    return out;
}

} // namespace

entry_daemon::entry_daemon(ev::loop_ref loop, entry_settings settings)
    : loop_(loop)
    , settings_(std::move(settings))
    , state_(static_cast<std::size_t>(settings_.traced_requests))
    , client_(loop)
    , store_(client_, settings_.cluster.store_url)
    , listener_(
          loop, settings_.peer_listen,
          [this](std::shared_ptr<frame_connection> const& c)
          { on_peer_connection(c); })
    , cluster_(loop, initialize_identity(), client_, store_, bound_settings())
    , live_(
          state_.cluster,
          [this](peer const& p) { return cluster_.is_live(p, steady_now()); },
          steady_now())
    , calls_(loop, state_.cluster, call_settings())
    , admission_(state_, live_, calls_)
    , sessions_(state_, live_, calls_, settings_.session_secret)
    , links_(loop, state_.cluster, link_settings(settings_), link_handlers())
    , routing_(
          state_,
          [this](peer const& p) { return cluster_.is_live(p, steady_now()); },
          state_.cluster.identity.self)
    , usage_(state_, store_, links_)
    , handover_(state_, usage_, live_, calls_)
    , quarantine_(state_.cluster, live_, calls_)
    , cascades_(state_.cluster.identity.self)
    , rollouts_(loop, state_.cluster, store_, live_, calls_, settings_.rollout)
    , ratings_(
          state_.cluster, client_, settings_.rating,
          [this](pending_rating const& a, double rating)
          {
              rollouts_.record_rating(a.version_id, rating);
              if (a.cascade)
                  cascades_.record_rating(*a.cascade, a.version_id, rating);
          })
    , requests_(
          state_, links_, routing_, quarantine_,
          [this](std::string_view version_id, bool has_failed)
          { rollouts_.record_attempt(version_id, has_failed); },
          [this](entry_request const& r, error const* why)
          {
              admission_.settle(r.ticket, actual_cost(r, why));
              usage_.on_request_end(r, why);
              if (why == nullptr)
                  ratings_.on_response(r, steady_now());
          })
    , api_(
          state_, requests_, routing_, live_, sessions_, admission_, cascades_,
          ratings_)
    , caller_server_(
          loop, caller_limits(settings_),
          [this](std::shared_ptr<http_exchange> const& ex) { api_.handle(ex); },
          [this](error_kind kind) { api_.count_refusal(kind); })
    , admin_server_(
          loop, {.address = settings_.admin_listen},
          [this](std::shared_ptr<http_exchange> const& ex)
          { handle_admin(ex); })
    , fast_timer_(loop, [this] { tick(); })
    , slow_timer_(loop, [this] { slow_tick(); })
    , live_timer_(loop, [this] { live_.refresh(steady_now()); })
    , terminate_(loop, SIGTERM, [this] { begin_shutdown(); })
    , interrupt_(loop, SIGINT, [this] { begin_shutdown(); })
{
    requests_.on_version_withdrawn([this](entry_request& r)
                                   { return api_.reselect_version(r); });
    fast_timer_.start_every(tick_interval);
    slow_timer_.start_every(slow_tick_interval);
    live_timer_.start_every(live_refresh_interval);
    cluster_.on_config_change([this] { routing_.rebuild(); });
}

cluster_settings entry_daemon::bound_settings() const
{
    cluster_settings out = settings_.cluster;
    out.bind_address = listener_.address();
    return out;
}

cluster_state& entry_daemon::initialize_identity()
{
    std::string const& advertised = settings_.cluster.advertise;
    state_.cluster.identity = make_identity(
        settings_, advertised.empty() ? listener_.address() : advertised);
    return state_.cluster;
}

std::string entry_daemon::caller_url() const
{
    return "http://" + caller_server_.address();
}

std::string entry_daemon::admin_url() const
{
    return "http://" + admin_server_.address();
}

agent_links::handlers entry_daemon::link_handlers()
{
    return {
        [this](std::string_view instance, message&& m)
        { requests_.on_message(instance, std::move(m), steady_now()); },
        [this](
            std::string_view instance, attempt_id const& attempt,
            error const& why)
        { requests_.on_attempt_lost(instance, attempt, why, steady_now()); },
        [this](std::string_view instance, std::uint64_t generation)
        { cluster_.note_frame(instance, generation); },
        [this](std::shared_ptr<frame_connection> const& c, message const& m)
        { on_peer_message(c, m); }};
}

peer_call_settings entry_daemon::call_settings()
{
    peer_call_settings out;
    out.on_refused = [this](std::string_view instance)
    {
        cluster_.record_refused_connection(instance);
        live_.refresh(steady_now());
    };
    return out;
}

void entry_daemon::on_peer_connection(
    std::shared_ptr<frame_connection> const& connection)
{
    peers_.insert(connection);
    std::weak_ptr<frame_connection> const weak = connection;
    connection->on_message(
        [this, weak](message&& m)
        {
            if (auto const c = weak.lock())
                on_peer_message(c, m);
        });
    connection->on_close(
        [this, weak](error const& why)
        {
            state_.cluster.counters.count(
                "peer_connections_ended_total", to_string(why.kind));
            if (auto const c = weak.lock())
            {
                calls_.forget(*c);
                peers_.erase(c);
            }
        });
}

void entry_daemon::on_peer_message(
    std::shared_ptr<frame_connection> const& connection, message const& m)
{
    if (cluster_.handle(connection, m))
        return;
    if (auto const* h = std::get_if<hello>(&m))
        cluster_.note_frame(h->instance, h->generation);
    calls_.handle(connection, m);
    if (!connection->is_open())
    {
        calls_.forget(*connection);
        peers_.erase(connection);
    }
}

void entry_daemon::handle_admin(std::shared_ptr<http_exchange> const& exchange)
{
    constexpr std::string_view explain_path = "/admin/explain/";
    http_headers const json{{"Content-Type", "application/json"}};
    std::string const& path = exchange->request().path;
    if (path == "/admin/status")
    {
        nlohmann::json status =
            nlohmann::json::parse(cluster_.status_json(steady_now()));
        status["rollouts"] = nlohmann::json::parse(rollouts_.status_json());
        exchange->respond(200, json, status.dump());
        return;
    }
    if (path.starts_with(explain_path))
    {
        std::string const id = path.substr(explain_path.size());
        std::string const trace = state_.traces.to_json(id);
        if (trace.empty())
        {
            respond_error(
                *exchange,
                make_error(
                    error_kind::not_found,
                    "this entry has no trace of request " + id),
                id);
            return;
        }
        exchange->respond(200, json, trace);
        return;
    }
    api_.handle_probe(exchange);
}

void entry_daemon::tick()
{
    steady_time const now = steady_now();
    quarantine_.tick(now);
    requests_.tick(now);
    admission_.tick(now);
    if (state_.cluster.is_shutting_down)
        continue_shutdown(now);
}

void entry_daemon::slow_tick()
{
    steady_time const now = steady_now();
    links_.tick(now);
    calls_.tick(now);
    routing_.tick();
    usage_.tick(now);
    ratings_.tick(now);
}

void entry_daemon::begin_shutdown()
{
    if (state_.cluster.is_shutting_down)
        return;
    state_.cluster.is_shutting_down = true;
    shutdown_at_ = steady_now();
    rollouts_.release();
    log_.write(
        log_event::shutdown_began,
        {{"requests", std::to_string(state_.requests.size())}});
}

void entry_daemon::continue_shutdown(steady_time now)
{
    usage_.flush();
    bool const has_requests =
        !state_.requests.empty() || caller_server_.open_exchanges() > 0;
    bool const is_done =
        !has_requests && (usage_.held() == 0 || handover_.run(now));
    bool const is_timed_out = now - shutdown_at_ >= settings_.drain_limit;
    if (!is_done && !is_timed_out)
        return;
    if (!is_done)
    {
        exit_code_ = 1;
        log_.write(
            log_event::shutdown_late,
            {{"requests", std::to_string(state_.requests.size())}});
        requests_.abort_all(now);
    }
    log_.write(log_event::stopped);
    fast_timer_.stop();
    loop_.break_loop(ev::ALL);
}

} // namespace marjorambeam
