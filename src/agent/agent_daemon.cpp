#include "agent/agent_daemon.hpp"

#include "agent/agent_admin.hpp"

namespace marjorambeam
{
namespace
{

constexpr duration tick_interval = std::chrono::milliseconds(20);

// A release that does not succeed costs the callers a lease time without an
// owner, but a store that is down must not hold up a stop.
constexpr duration release_limit = std::chrono::seconds(2);

clock_reading read_clocks()
{
    return make_clock_reading(wall_now(), steady_now());
}

} // namespace

agent_daemon::agent_daemon(ev::loop_ref loop, agent_daemon_settings settings)
    : loop_(loop)
    , settings_(std::move(settings))
    , state_(cluster_, settings_.agent)
    , http_(loop)
    , store_(http_, settings_.cluster.store_url)
    , agent_(loop, state_, make_hooks())
    , sync_(loop, identify(), http_, store_, bound_settings())
    , once_(
          cluster_, store_, agent_.address(),
          [this](peer const& p) { return is_live(p); }, settings_.once)
    , usage_(
          cluster_, store_, [this](peer const& p) { return is_live(p); },
          settings_.usage)
    , admin_(
          loop, {.address = settings_.admin_listen},
          [this](std::shared_ptr<http_exchange> const& ex)
          { answer_admin(state_, sync_.status_json(steady_now()), *ex); })
    , ticker_(loop, [this] { tick(); })
{
    sync_.on_config_change(
        [this]
        {
            usage_.note_config();
            agent_.tick(steady_now());
        });
    ticker_.start_every(tick_interval);
}

cluster_state& agent_daemon::identify()
{
    std::string const& advertised = settings_.cluster.advertise;
    cluster_.identity = {
        .instance = settings_.instance,
        .role = process_role::agent,
        .availability_zone = settings_.zone,
        .upstream = settings_.upstream,
        .address = advertised.empty() ? agent_.address() : advertised,
        .self = random_incarnation()};
    return cluster_;
}

cluster_settings agent_daemon::bound_settings() const
{
    cluster_settings out = settings_.cluster;
    out.bind_address = agent_.address();
    return out;
}

agent_hooks agent_daemon::make_hooks()
{
    agent_hooks hooks;
    hooks.reserve = [this](work_request const& r, once_handler decide)
    { once_.reserve(r, std::move(decide), read_clocks()); };
    hooks.complete = [this](work_request const& r, once_outcome const& outcome)
    { once_.complete(r, outcome); };
    hooks.on_usage = [this](usage_report const& u)
    { usage_.on_usage(u, steady_now()); };
    hooks.on_usage_settled = [this](std::vector<std::string> const& ids)
    { usage_.on_settled(ids); };
    hooks.on_entry_gone = [this](incarnation entry)
    { usage_.on_entry_gone(entry, steady_now()); };
    hooks.on_generation = [this](std::string_view instance, std::uint64_t n)
    { sync_.note_frame(instance, n); };
    hooks.on_message =
        [this](std::shared_ptr<frame_connection> const& c, message const& m)
    { return sync_.handle(c, m); };
    return hooks;
}

bool agent_daemon::is_live(peer const& p) const
{
    return sync_.is_live(p, steady_now());
}

std::string agent_daemon::admin_url() const
{
    return "http://" + admin_.address();
}

void agent_daemon::tick()
{
    steady_time const now = steady_now();
    agent_.tick(now);
    once_.tick(read_clocks());
    usage_.tick(now);
    state_.owned_partitions = once_.owned();
    state_.remembered_keys = once_.keys();
    state_.held_usage = usage_.held();
    if (cluster_.is_shutting_down && !is_stopped_)
        continue_shutdown(now);
}

void agent_daemon::begin_shutdown()
{
    if (cluster_.is_shutting_down)
        return;
    steady_time const now = steady_now();
    drain_end_ = now + settings_.drain;
    agent_.begin_shutdown(now);
    sync_.tick(now); // tells the others at once
}

void agent_daemon::continue_shutdown(steady_time now)
{
    bool const is_late = now >= drain_end_;
    if (is_late && agent_.cut_all(now) > 0)
        exit_code_ = 1;
    bool const is_very_late = now >= drain_end_ + settings_.agent.park_time;
    if (!agent_.is_drained() && !is_very_late)
        return;
    usage_.flush();
    if (release_end_ == steady_time::max())
    {
        release_end_ = now + release_limit;
        once_.begin_release();
    }
    bool const is_released = once_.owned() == 0 || now >= release_end_;
    bool const is_posted = usage_.held() == 0;
    if ((is_released && is_posted) || is_late)
        finish_shutdown();
}

void agent_daemon::finish_shutdown()
{
    if (usage_.held() > 0)
    {
        exit_code_ = 1;
        log_.write(
            log_event::usage_not_posted,
            {{"records", std::to_string(usage_.held())}});
    }
    is_stopped_ = true;
    ticker_.stop();
    loop_.break_loop(ev::ALL);
}

} // namespace marjorambeam
