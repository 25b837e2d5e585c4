// marjorambeam-agent: the process beside one upstream.
#include "agent/agent_daemon.hpp"
#include "settings/settings.hpp"

#include <csignal>
#include <iostream>

namespace
{

using namespace marjorambeam;

struct agent_flags
{
    agent_daemon_settings daemon;
    std::string log_level;
    std::int64_t max_queued = 0;
};

std::vector<setting> settings_table(agent_flags& f)
{
    agent_daemon_settings& d = f.daemon;
    agent_settings& a = d.agent;
    std::vector<setting> rows{
        address_setting(
            "listen", "127.0.0.1:0",
            "Address for frames; datagrams use the same port.", a.listen),
        address_setting(
            "admin-listen", "127.0.0.1:0", "Address for operators' HTTP.",
            d.admin_listen),
        text_setting(
            "upstream", "", "Name of the upstream's document.", d.upstream,
            false),
        url_setting(
            "upstream-url", "", "Base URL of the upstream.", a.upstream_url),
        text_setting(
            "zone", "", "Availability zone of this instance.", d.zone, false),
        text_setting(
            "instance", "", "Name of this instance.", d.instance, false),
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
            "Time that admitted requests have at a shutdown.", d.drain),
        duration_setting(
            "usage-hold-ms", 60000, 100, 3600000,
            "Time after which the agent posts usage that the entry has not.",
            d.usage.hold_time),
        duration_setting(
            "entry-gone-ms", 3000, 0, 60000,
            "Time without an entry after which its usage is posted.",
            d.usage.gone_after),
        duration_setting(
            "key-owner-wait-ms", 2000, 0, 10000,
            "Time that a call waits while its key has no owner.",
            d.once.owner_wait)};
    for (setting& it : cluster_setting_rows(d.cluster))
        rows.push_back(std::move(it));
    return rows;
}

int run(agent_daemon_settings const& settings)
{
    ev::dynamic_loop loop;
    agent_daemon daemon(loop, settings);
    loop_signal const term(loop, SIGTERM, [&] { daemon.begin_shutdown(); });
    std::cout << "marjorambeam-agent: listening frames=" << daemon.address()
              << " admin=" << daemon.admin_url() << std::endl;
    loop.run();
    return daemon.exit_code();
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
    flags.daemon.agent.max_queued = static_cast<std::size_t>(flags.max_queued);
    init_log(parse_log_level(flags.log_level), flags.daemon.instance);
    try
    {
        return run(flags.daemon);
    }
    catch (std::exception const& e)
    {
        std::cerr << "marjorambeam-agent: " << e.what() << "\n";
        return 1;
    }
}
