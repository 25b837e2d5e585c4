// marjorambeam-agent: the process beside one upstream.
#include "agent/agent_admin.hpp"
#include "agent/agent_controller.hpp"
#include "cluster/cluster_controller.hpp"
#include "event_loop/event_loop.hpp"
#include "object_store/object_store.hpp"
#include "settings/settings.hpp"

#include <csignal>
#include <iostream>

namespace
{

using namespace marjorambeam;

constexpr duration tick_interval = std::chrono::milliseconds(20);

struct agent_flags
{
    agent_settings agent;
    std::string admin_listen;
    std::string upstream;
    std::string zone;
    std::string instance;
    cluster_settings cluster;
    std::string log_level;
    std::int64_t max_queued = 0;
    duration drain{};
};

std::vector<setting> settings_table(agent_flags& f)
{
    agent_settings& a = f.agent;
    std::vector<setting> rows{
        address_setting(
            "listen", "127.0.0.1:0",
            "Address for frames; datagrams use the same port.", a.listen),
        address_setting(
            "admin-listen", "127.0.0.1:0", "Address for operators' HTTP.",
            f.admin_listen),
        text_setting(
            "upstream", "", "Name of the upstream's document.", f.upstream,
            false),
        url_setting(
            "upstream-url", "", "Base URL of the upstream.", a.upstream_url),
        text_setting(
            "zone", "", "Availability zone of this instance.", f.zone, false),
        text_setting(
            "instance", "", "Name of this instance.", f.instance, false),
        choice_setting(
            "log-level", "info", {"debug", "info", "warning", "error", "off"},
            "Lowest level of lines that are logged.", f.log_level),
        number_setting(
            "max-queued", 4096, 1, 1000000,
            "Requests that may wait, of all customers together.", f.max_queued),
        duration_setting(
            "upstream-silence-ms", 10000, 10, 600000,
            "Time without a byte after which an attempt fails.",
            a.upstream_silence),
        duration_setting(
            "upstream-connect-ms", 1000, 10, 60000,
            "Time to connect to the upstream.", a.upstream_connect),
        duration_setting(
            "load-interval-ms", 500, 10, 60000,
            "Time between load reports of the upstream.", a.load_interval),
        duration_setting(
            "park-ms", 1000, 0, 10000,
            "Time that a request waits for its generation.", a.park_time),
        duration_setting(
            "heartbeat-ms", 1000, 10, 60000,
            "Time between heartbeats on connections with work.",
            a.heartbeat_interval),
        duration_setting(
            "connection-silence-ms", 3000, 10, 60000,
            "Silence after which a connection with work is closed.",
            a.connection_silence),
        duration_setting(
            "drain-ms", 30000, 0, 3600000,
            "Time that admitted requests have at a shutdown.", f.drain)};
    for (setting& it : cluster_setting_rows(f.cluster))
        rows.push_back(std::move(it));
    return rows;
}

// Passes on what concerns the cluster. No frame arrives before `sync` is set.
agent_hooks cluster_hooks(std::unique_ptr<cluster_controller>& sync)
{
    agent_hooks hooks;
    hooks.on_generation = [&sync](std::string_view instance, std::uint64_t n)
    { sync->note_frame(instance, n); };
    hooks.on_message =
        [&sync](std::shared_ptr<frame_connection> const& c, message const& m)
    { return sync->handle(c, m); };
    return hooks;
}

int run(agent_flags& flags)
{
    ev::dynamic_loop loop;
    cluster_state cluster;
    cluster.identity = {
        .instance = flags.instance,
        .role = process_role::agent,
        .availability_zone = flags.zone,
        .upstream = flags.upstream,
        .self = random_incarnation()};
    agent_state state(cluster, flags.agent);
    http_client http(loop);
    object_store store(http, flags.cluster.store_url);
    std::unique_ptr<cluster_controller> sync;
    agent_controller agent(loop, state, cluster_hooks(sync));
    flags.cluster.bind_address = agent.address();
    cluster.identity.address = flags.cluster.advertise.empty()
                                   ? agent.address()
                                   : flags.cluster.advertise;
    sync = std::make_unique<cluster_controller>(
        loop, cluster, http, store, flags.cluster);
    sync->on_config_change([&] { agent.tick(steady_now()); });
    http_server const admin(
        loop, {.address = flags.admin_listen},
        [&](std::shared_ptr<http_exchange> const& ex)
        { answer_admin(state, sync->status_json(steady_now()), *ex); });
    std::string const host =
        flags.admin_listen.substr(0, flags.admin_listen.find(':') + 1);

    int exit_code = 0;
    steady_time drain_end = steady_time::max();
    loop_timer tick(
        loop,
        [&]
        {
            steady_time const now = steady_now();
            agent.tick(now);
            if (!cluster.is_shutting_down)
                return;
            if (now >= drain_end && agent.cut_all(now) > 0)
                exit_code = 1;
            if (agent.is_drained() || now >= drain_end + flags.agent.park_time)
                loop.break_loop(ev::ALL);
        });
    tick.start_every(tick_interval);
    loop_signal const term(
        loop, SIGTERM,
        [&]
        {
            if (cluster.is_shutting_down)
                return;
            drain_end = steady_now() + flags.drain;
            agent.begin_shutdown(steady_now());
            sync->tick(steady_now()); // tells the others at once
        });
    std::cout << "marjorambeam-agent: listening frames=" << agent.address()
              << " admin=http://" << host << admin.port() << std::endl;
    loop.run();
    return exit_code;
}

} // namespace

int main(int argc, char** argv)
{
    agent_flags flags;
    std::vector<std::string> const args(argv + 1, argv + argc);
    settings_outcome const outcome = parse_settings(
        "marjorambeam-agent", "AGENT", settings_table(flags), args,
        process_environment(), std::cout, std::cerr);
    if (outcome.exit_now)
        return outcome.exit_code;
    flags.agent.max_queued = static_cast<std::size_t>(flags.max_queued);
    init_log(parse_log_level(flags.log_level), flags.instance);
    try
    {
        return run(flags);
    }
    catch (std::exception const& e)
    {
        std::cerr << "marjorambeam-agent: " << e.what() << "\n";
        return 1;
    }
}
