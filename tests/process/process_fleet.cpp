#include "process_fleet.hpp"

#include "process_paths.hpp"

#include "base/hash.hpp"
#include "event_loop/event_loop.hpp"
#include "fakes/engine/fake_engine.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

namespace marjorambeam
{
namespace
{

using nlohmann::json;

constexpr duration poll_period = std::chrono::milliseconds(2);
constexpr duration start_limit = std::chrono::seconds(15);

json put_document(
    std::string const& kind, std::string const& name, json const& document)
{
    return {{"kind", kind}, {"name", name}, {"document", document}};
}

json contract(std::string const& name, json const& models)
{
    return put_document(
        "contracts", name,
        {{"customer", name},
         {"key_hashes", {secret_hash(name + "-key")}},
         {"models", models},
         {"services", {"line-control"}},
         {"requests_per_second", 100000},
         {"tokens_per_second", 100000000},
         {"max_queued", 10000}});
}

json version(std::string const& model, std::string const& name, int price)
{
    return put_document(
        "versions", model + "@" + name,
        {{"model", model},
         {"version", name},
         {"state", "active"},
         {"price_in", price},
         {"price_out", price},
         {"quality", 0.9}});
}

json documents(fleet_plan const& plan)
{
    json out = json::array();
    std::set<std::string> zones{"zone-1"};
    for (upstream_plan const& it : plan.upstreams)
        zones.insert(it.zone);
    for (std::string const& it : zones)
    {
        out.push_back(
            put_document("zones", it, {{"region", "r"}, {"state", "in"}}));
    }
    out.push_back(version("tag", "v1", 1));
    out.push_back(version("assess", "v1", 5));
    out.push_back(version("assess", "v2", 6));
    out.push_back(put_document("services", "line-control", {{"price", 100}}));
    for (std::size_t i = 0; i < plan.upstreams.size(); ++i)
    {
        upstream_plan const& u = plan.upstreams[i];
        json const models{"tag@v1", "assess@v1", "assess@v2"};
        out.push_back(put_document(
            "upstreams", "upstream-" + std::to_string(i),
            {{"kind", u.is_service ? "service" : "engine"},
             {"zone", u.zone},
             {"serves", u.is_service ? json{"line-control"} : models},
             {"state", "in"},
             {"cold_concurrency", u.cold_concurrency},
             {"warm_concurrency", u.warm_concurrency}}));
    }
    out.push_back(
        contract("havbris", json{{{"model", "tag"}}, {{"model", "assess"}}}));
    out.push_back(contract(
        "nordlaks",
        json::array({json{{"model", "assess"}, {"versions", {"v2"}}}})));
    return out;
}

// A directory for the output of this test case's processes.
std::string make_directory()
{
    std::string name = Catch::getResultCapture().getCurrentTestName();
    std::replace_if(
        name.begin(), name.end(),
        [](unsigned char c) { return std::isalnum(c) == 0; }, '-');
    std::string path = std::string(process_logs) + "/" + name;
    std::filesystem::remove_all(path);
    std::filesystem::create_directories(path);
    return path;
}

} // namespace

std::string fleet_call::header(std::string_view name) const
{
    if (!reply || !*reply)
        return "";
    auto const it = (*reply)->headers.find(name);
    return it == (*reply)->headers.end() ? "" : it->second;
}

bool fleet_call::is_whole() const
{
    if (status() != 200)
        return false;
    bool const is_stream =
        header("content-type").starts_with("text/event-stream");
    return !is_stream || body.ends_with("data: [DONE]\n\n");
}

std::string fleet_call::text() const
{
    json const whole = json::parse(body, nullptr, false);
    if (whole.is_object() && whole.contains("choices"))
        return whole["choices"][0]["message"]["content"].get<std::string>();
    std::string out;
    std::istringstream lines(body);
    std::string line;
    constexpr std::string_view prefix = "data: {";
    while (std::getline(lines, line))
    {
        if (!line.starts_with(prefix))
            continue;
        json const event = json::parse(line.substr(prefix.size() - 1));
        if (event.contains("choices") && event["choices"][0].contains("delta"))
            out += event["choices"][0]["delta"].value("content", "");
    }
    return out;
}

std::string fleet_call::error_field(char const* name) const
{
    json const parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("error"))
        return "";
    return parsed["error"].value(name, "");
}

std::string
fleet_answer(std::string_view version, std::string_view prompt, int tokens)
{
    std::string out;
    for (int i = 0; i < tokens; ++i)
    {
        out +=
            fake_engine_token(version, prompt, static_cast<std::uint64_t>(i));
    }
    return out;
}

process_fleet::process_fleet(fleet_plan plan)
    : plan_(std::move(plan))
    , client_(loop_)
    , directory_(make_directory())
{
    start_fakes();
    start_daemons();
    register_daemons();
    if (!wait([this] { return not_ready().empty(); }, start_limit))
        throw std::runtime_error(
            "the fleet is not ready: " + not_ready() + "see " + directory_);
}

void process_fleet::start(
    std::string const& name, std::vector<std::string> command)
{
    processes_[name] =
        std::make_unique<child_process>(directory_, name, std::move(command));
}

void process_fleet::wait_listening(std::vector<std::string> const& names)
{
    bool const is_up = wait(
        [&]
        {
            return std::all_of(
                names.begin(), names.end(),
                [&](auto const& it) { return process(it).is_listening(); });
        },
        start_limit);
    if (!is_up)
        throw std::runtime_error("a process does not listen; " + directory_);
}

void process_fleet::start_fakes()
{
    std::vector<std::string> names{"object-api", "instance-list"};
    start("object-api", {"fake-object-api"});
    start("instance-list", {"fake-instance-list"});
    for (std::size_t i = 0; i < plan_.upstreams.size(); ++i)
    {
        upstream_plan const& u = plan_.upstreams[i];
        std::string const number = std::to_string(i);
        std::string const kind = u.is_service ? "service" : "engine";
        std::vector<std::string> command{"fake-" + kind};
        command.insert(command.end(), u.flags.begin(), u.flags.end());
        names.push_back(kind);
        names.back().append("-").append(number);
        start(names.back(), std::move(command));
        if (!u.has_relay)
            continue;
        names.push_back("relay-" + number);
        start(names.back(), {"fake-relay"});
    }
    wait_listening(names);
    std::string const file = write_file("documents.json", documents(plan_));
    if (run_ctl({"apply", file}) != 0)
        throw std::runtime_error("ctl apply failed; see " + directory_);
}

std::string process_fleet::zone_of_entry(std::size_t number) const
{
    bool const is_named = number < plan_.entry_zones.size();
    return is_named ? plan_.entry_zones[number] : "zone-1";
}

void process_fleet::start_daemons()
{
    std::vector<std::string> const common{
        "--store",
        url("object-api"),
        "--instance-list",
        url("instance-list"),
        "--instance-list-period-ms",
        "200",
        "--admin-listen",
        "127.0.0.1:0"};
    auto start_daemon = [&](std::string const& name,
                            std::vector<std::string> command,
                            std::vector<std::string> const& flags)
    {
        command.insert(command.end(), {"--instance", name});
        command.insert(command.end(), common.begin(), common.end());
        command.insert(command.end(), flags.begin(), flags.end());
        start(name, std::move(command));
        daemons_.push_back(name);
    };
    for (std::size_t i = 0; i < plan_.upstreams.size(); ++i)
    {
        upstream_plan const& u = plan_.upstreams[i];
        std::string const number = std::to_string(i);
        std::string const kind = u.is_service ? "service-" : "engine-";
        std::vector<std::string> command{
            "marjorambeam-agent",
            "--zone",
            u.zone,
            "--upstream",
            "upstream-" + number,
            "--upstream-url",
            url(kind + number),
            "--listen",
            "127.0.0.1:0"};
        if (u.has_relay)
        {
            command.insert(
                command.end(),
                {"--advertise", process("relay-" + number).field("frames")});
        }
        start_daemon("agent-" + number, command, plan_.agent_flags);
    }
    for (std::size_t i = 0; i < static_cast<std::size_t>(plan_.entries); ++i)
    {
        start_daemon(
            "entry-" + std::to_string(i),
            {"marjorambeam-entry", "--zone", zone_of_entry(i), "--listen",
             "127.0.0.1:0", "--peer-listen", "127.0.0.1:0", "--session-secret",
             "secret of the process tests"},
            plan_.entry_flags);
    }
    wait_listening(daemons_);
}

void process_fleet::register_daemons()
{
    for (std::string const& it : daemons_)
    {
        bool const is_agent = it.starts_with("agent-");
        std::size_t const number = std::stoul(it.substr(it.find('-') + 1));
        std::string address = process(it).field("frames");
        std::string zone = is_agent ? "" : zone_of_entry(number);
        std::string upstream;
        if (is_agent)
        {
            upstream_plan const& u = plan_.upstreams[number];
            zone = u.zone;
            upstream = "upstream-" + std::to_string(number);
            std::string const relay = "relay-" + std::to_string(number);
            if (u.has_relay)
            {
                put(url(relay) + "/faults", {{"target", address}});
                address = process(relay).field("frames");
            }
        }
        put(url("instance-list") + "/v1/instances/" + it,
            {{"role", is_agent ? "agent" : "entry"},
             {"zone", zone},
             {"upstream", upstream},
             {"address", address},
             {"admin", url(it, "admin")},
             {"state", "live"}});
    }
}

std::string process_fleet::not_ready()
{
    std::string out;
    for (std::string const& name : daemons_)
    {
        json const all = get(url(name, "admin") + "/admin/status");
        json const& s = all.contains("cluster") ? all["cluster"] : all;
        json const peers = s.value("peers", json::array());
        json missing = json::array();
        for (json const& p : peers)
        {
            if (p["condition"] != "live" || p["generation"] == 0)
                missing.push_back(p);
        }
        bool const knows_all =
            peers.size() - missing.size() + 1 >= daemons_.size();
        if (s.value("is_ready", false) && s.value("generation", 0) > 0 &&
            knows_all)
            continue;
        out += name + ": ready " + std::to_string(s.value("is_ready", false)) +
               ", generation " + std::to_string(s.value("generation", 0)) +
               ", peers " + std::to_string(peers.size()) + ", missing " +
               missing.dump() + "; ";
    }
    return out;
}

child_process& process_fleet::process(std::string_view name)
{
    auto const it = processes_.find(name);
    if (it == processes_.end())
        throw std::runtime_error("no process " + std::string(name));
    return *it->second;
}

std::string process_fleet::url(std::string_view name, std::string_view field)
{
    return "http://" + process(name).field(field);
}

void process_fleet::start_again(std::string_view name)
{
    process(name).start_again();
    wait_listening({std::string(name)});
}

void process_fleet::run_for(duration time)
{
    loop_timer timer(loop_, [this] { loop_.break_loop(ev::ALL); });
    timer.start(time);
    while (timer.is_active())
        loop_.run();
}

bool process_fleet::wait(std::function<bool()> const& is_met, duration limit)
{
    steady_time const end = steady_now() + limit;
    while (!is_met())
    {
        if (steady_now() >= end)
            return false;
        run_for(poll_period);
    }
    return true;
}

std::shared_ptr<fleet_call> process_fleet::send(http_call call)
{
    auto out = std::make_shared<fleet_call>();
    out->sent_at = steady_now();
    client_.send(
        std::move(call),
        [out](result<http_reply> r)
        {
            out->done_at = steady_now();
            out->reply = std::move(r);
        },
        [out](int, std::string_view bytes)
        {
            out->body += bytes;
            return true;
        });
    return out;
}

std::shared_ptr<fleet_call> process_fleet::ask(int entry, chat_call const& call)
{
    json const body = {
        {"model", call.model},
        {"stream", call.is_stream},
        {"max_tokens", call.tokens},
        {"messages", {{{"role", "user"}, {"content", call.prompt}}}}};
    return send(
        {.method = "POST",
         .url = url("entry-" + std::to_string(entry)) + "/v1/chat/completions",
         .headers =
             {{"Content-Type", "application/json"},
              {"Authorization", "Bearer " + call.key}},
         .body = body.dump(),
         .timeout = std::chrono::seconds(30)});
}

std::shared_ptr<fleet_call> process_fleet::call_service(
    int entry, std::string const& body, std::string const& key)
{
    return send(
        {.method = "POST",
         .url = url("entry-" + std::to_string(entry)) +
                "/v1/services/line-control/adjust",
         .headers =
             {{"Content-Type", "text/plain"},
              {"Authorization", "Bearer havbris-key"},
              {"Idempotency-Key", key}},
         .body = body,
         .timeout = std::chrono::seconds(30)});
}

std::shared_ptr<fleet_call>
process_fleet::finish(std::shared_ptr<fleet_call> call, duration limit)
{
    REQUIRE(wait([&] { return call->is_done(); }, limit));
    return call;
}

json process_fleet::get(std::string const& url)
{
    auto const call = send({.url = url});
    finish(call, std::chrono::seconds(10));
    INFO(url);
    REQUIRE(call->status() == 200);
    return json::parse(call->body);
}

void process_fleet::put(std::string const& url, json const& body)
{
    auto const call = send({.method = "PUT", .url = url, .body = body.dump()});
    finish(call, std::chrono::seconds(10));
    INFO(url);
    REQUIRE(call->status() == 200);
}

std::string process_fleet::explain(int entry, fleet_call const& call)
{
    std::string const name = "entry-" + std::to_string(entry);
    return get(url(name, "admin") + "/admin/explain/" +
               call.header("x-request-id"))
        .dump(1);
}

std::uint64_t process_fleet::count(std::string const& process, char const* name)
{
    return get(url(process) + "/counts").at(name).get<std::uint64_t>();
}

double process_fleet::metric(std::string const& daemon, std::string_view text)
{
    auto const call = send({.url = url(daemon, "admin") + "/metrics"});
    finish(call, std::chrono::seconds(10));
    double sum = 0;
    std::istringstream lines(call->body);
    std::string line;
    while (std::getline(lines, line))
    {
        if (line.find(text) != std::string::npos)
            sum += std::stod(line.substr(line.rfind(' ')));
    }
    return sum;
}

std::uint64_t process_fleet::generation(std::string const& daemon)
{
    return get(url(daemon, "admin") + "/admin/status")
        .at("generation")
        .get<std::uint64_t>();
}

std::unique_ptr<child_process>
process_fleet::ctl(std::vector<std::string> words)
{
    std::vector<std::string> command{
        "marjorambeam-ctl", "--store", url("object-api"), "--output", "json"};
    command.insert(command.end(), words.begin(), words.end());
    return std::make_unique<child_process>(
        directory_, "ctl-" + std::to_string(++ctl_runs_), std::move(command));
}

int process_fleet::run_ctl(std::vector<std::string> words)
{
    auto const run = ctl(std::move(words));
    REQUIRE(wait(
        [&] { return run->exit_code().has_value(); },
        std::chrono::seconds(15)));
    return *run->exit_code();
}

std::string
process_fleet::write_file(std::string const& name, json const& content)
{
    std::string path = directory_ + "/" + name;
    std::ofstream(path) << content.dump();
    return path;
}

} // namespace marjorambeam
