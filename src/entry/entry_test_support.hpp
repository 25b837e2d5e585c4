// Test fixture: entries and agents with fake dependencies on one event loop.
#pragma once

#include "agent/agent_controller.hpp"
#include "base/hash.hpp"
#include "entry/entry_daemon.hpp"
#include "fakes/engine/fake_engine.hpp"
#include "fakes/instance_list/instance_list.hpp"
#include "fakes/object_api/fake_object_api.hpp"
#include "fakes/rating_service/fake_rating_service.hpp"

#include <catch2/catch.hpp>
#include <deque>
#include <nlohmann/json.hpp>
#include <optional>

namespace marjorambeam::test
{

using std::chrono::milliseconds;

inline cluster_settings
fast_cluster_settings(std::string store, std::string list)
{
    cluster_settings s;
    s.store_url = std::move(store);
    s.instance_list_url = std::move(list);
    s.list_period = milliseconds(50);
    s.watch_timeout = milliseconds(200);
    s.tick_period = milliseconds(10);
    s.sync.digest_period = milliseconds(50);
    s.sync.first_read_retry = milliseconds(100);
    return s;
}

// An agent with a fake engine as its upstream.
struct test_agent
{
    // Creates instance "agent-N" with upstream "up-N".
    test_agent(
        ev::loop_ref loop, cluster_settings const& settings,
        std::uint64_t number = 1)
        : engine(loop, {})
        , http(loop)
        , store(http, settings.store_url)
    {
        cluster.identity = {
            .instance = "agent-" + std::to_string(number),
            .role = process_role::agent,
            .availability_zone = "hitra",
            .upstream = "up-" + std::to_string(number),
            .self = 98 + number};
        agent_settings a;
        a.upstream_url = engine.url();
        state.emplace(cluster, a);
        agent_hooks hooks;
        hooks.on_generation = [this](std::string_view instance, std::uint64_t n)
        { sync->note_frame(instance, n); };
        hooks.on_message = [this](auto const& connection, message const& m)
        { return sync->handle(connection, m); };
        agent.emplace(loop, *state, std::move(hooks));
        cluster.identity.address = agent->address();
        sync.emplace(loop, cluster, http, store, settings);
        tick.emplace(loop, [this] { agent->tick(steady_now()); });
        tick->start_every(milliseconds(2));
    }

    fake_engine engine;
    cluster_state cluster;
    http_client http;
    object_store store;
    std::optional<agent_state> state;
    std::optional<cluster_controller> sync;
    std::optional<agent_controller> agent;
    std::optional<loop_timer> tick;
};

// What a caller received.
struct caller_response
{
    int status = 0;
    std::string version;
    std::string session;
    std::string error_kind;
    std::int64_t retry_after_ms = 0;
};

// Entries "e0", "e1", ... The customers are havbris (20 requests/s) and
// stor (50 requests/s, burst 25); the key of each is its name.
class entry_fleet
{
public:
    // `configure` modifies the settings of each entry.
    explicit entry_fleet(
        std::size_t entries,
        std::function<void(entry_settings&)> configure = {})
        : configure_(std::move(configure))
    {
        put_generation(
            {{document_kind::availability_zone, "hitra",
              R"({"region":"trondelag","state":"in"})"},
             contract_edit("havbris", 20, 2),
             contract_edit("stor", 50, 0.5),
             version_edit("v1", "active", 0, 10),
             {document_kind::upstream, "up-1",
              R"({"kind":"engine","zone":"hitra","state":"in",
                  "serves":["tagger@v1","tagger@v2"],
                  "cold_concurrency":64,"warm_concurrency":64})"}});
        for (std::size_t i = 0; i < entries; ++i)
            start_entry("e" + std::to_string(i));
        agent_.emplace(loop, fast_cluster_settings(api.url(), list.url()));
        list.put(
            "agent-1", {.role = "agent",
                        .zone = "hitra",
                        .upstream = "up-1",
                        .address = agent_->agent->address()});
        bool const is_up = run_until([&] { return is_applied_everywhere(1); });
        REQUIRE(is_up);
        // An owner grants only after it has owned for a full lease time, and
        // the last entry may have just joined.
        run_for(grant_lease + milliseconds(200));
    }

    static document_edit contract_edit(
        std::string const& name, double rate, double burst,
        std::string const& extra = "")
    {
        return {
            document_kind::contract, name,
            R"({"customer":")" + name + R"(","key_hashes":[")" +
                secret_hash(name) + R"("],"models":[{"model":"tagger"}],)" +
                extra + R"("requests_per_second":)" + std::to_string(rate) +
                R"(,"tokens_per_second":1000000,"burst_seconds":)" +
                std::to_string(burst) + "}"};
    }

    static document_edit version_edit(
        std::string const& name, std::string const& state, double share,
        int price)
    {
        return {
            document_kind::version, "tagger@" + name,
            R"({"model":"tagger","version":")" + name + R"(","state":")" +
                state + R"(","share":)" + std::to_string(share) +
                R"(,"price_in":1,"price_out":)" + std::to_string(price) + "}"};
    }

    // Creates the next generation.
    void put_generation(std::vector<document_edit> edits)
    {
        // The entries write generations as well.
        for (auto const& [name, e] : entries)
        {
            generation_ =
                std::max(generation_, e->state().cluster.config->number);
        }
        generation g{.number = ++generation_, .edit_id = "e", .author = "test"};
        g.edits = std::move(edits);
        object_store store(http, api.url());
        bool is_done = false;
        store.create(
            "generations", generation_name(g.number), to_json(g),
            [&](result<stored_object> const& r)
            {
                REQUIRE(r);
                is_done = true;
            });
        REQUIRE(run_until([&] { return is_done; }));
    }

    // Creates the next generation and waits until all daemons have applied it.
    void change(std::vector<document_edit> edits)
    {
        put_generation(std::move(edits));
        bool const is_in_force =
            run_until([&] { return is_applied_everywhere(generation_); });
        REQUIRE(is_in_force);
    }

    bool is_applied_everywhere(std::uint64_t number)
    {
        std::size_t const others = entries.size(); // with the agent
        for (auto const& [name, e] : entries)
        {
            cluster_state const& c = e->state().cluster;
            if (!c.is_ready() || c.config->number < number ||
                c.peers.size() < others)
                return false;
        }
        return agent_->cluster.config->number >= number;
    }

    // Runs the loop until `condition` holds or 10 s have passed; returns
    // whether it holds.
    bool run_until(std::function<bool()> const& condition)
    {
        steady_time const end = steady_now() + std::chrono::seconds(10);
        loop_timer wake(loop, [] {});
        wake.start_every(milliseconds(2));
        while (!condition() && steady_now() < end)
            loop.run(ev::ONCE);
        return condition();
    }

    void run_for(duration time)
    {
        steady_time const end = steady_now() + time;
        run_until([&] { return steady_now() >= end; });
    }

    void post(
        std::string const& entry, std::string const& key,
        std::string const& session, std::function<void(caller_response)> done,
        std::string const& prompt = "seam")
    {
        http_call call{
            .method = "POST",
            .url = entries.at(entry)->caller_url() + "/v1/chat/completions",
            .headers = {{"Authorization", "Bearer " + key}},
            .body = R"({"model":")" + model +
                    R"(","max_tokens":2,"messages":)"
                    R"([{"role":"user","content":")" +
                    prompt + R"("}]})"};
        if (!session.empty())
            call.headers.emplace_back("X-Session-Id", session);
        http.send(
            std::move(call),
            [done = std::move(done)](result<http_reply> const& r)
            {
                REQUIRE(r);
                caller_response a;
                a.status = r->status;
                auto header = [&](char const* name)
                {
                    auto const it = r->headers.find(name);
                    return it == r->headers.end() ? "" : it->second;
                };
                a.version = header("x-model-version");
                a.session = header("x-session-id");
                if (a.status != 200)
                {
                    auto const e = nlohmann::json::parse(r->body)["error"];
                    a.error_kind = e["kind"];
                    a.retry_after_ms = e["retry_after_ms"];
                }
                done(a);
            });
    }

    caller_response post_and_wait(
        std::string const& entry, std::string const& key,
        std::string const& session = "", std::string const& prompt = "seam")
    {
        std::optional<caller_response> out;
        post(
            entry, key, session, [&](caller_response a) { out = std::move(a); },
            prompt);
        REQUIRE(run_until([&] { return out.has_value(); }));
        return *out;
    }

    void add_entry(std::string const& name)
    {
        start_entry(name);
        REQUIRE(run_until([&] { return is_applied_everywhere(generation_); }));
    }

    // Adds agents "agent-2" to "agent-N", N = `last`, each with its own engine.
    void add_agents(std::uint64_t last)
    {
        std::vector<document_edit> edits;
        for (std::uint64_t n = 2; n <= last; ++n)
        {
            std::string const upstream = "up-" + std::to_string(n);
            test_agent& a = extra_agents.emplace_back(
                loop, fast_cluster_settings(api.url(), list.url()), n);
            list.put(
                "agent-" + std::to_string(n), {.role = "agent",
                                               .zone = "hitra",
                                               .upstream = upstream,
                                               .address = a.agent->address()});
            edits.push_back(
                {document_kind::upstream, upstream,
                 R"({"kind":"engine","zone":"hitra","state":"in",
                     "serves":["tagger@v1","tagger@v2"],
                     "cold_concurrency":64,"warm_concurrency":64})"});
        }
        change(std::move(edits));
        REQUIRE(run_until(
            [&]
            {
                return std::all_of(
                    entries.begin(), entries.end(),
                    [&](auto const& it)
                    {
                        return it.second->state().cluster.peers.size() >=
                               last + entries.size() - 1;
                    });
            }));
        // The routing table picks up the live set on its next tick.
        run_for(milliseconds(300));
    }

    // Withdraws v2 at the agent only, as if the agent had applied a generation
    // before the entries did.
    void withdraw_at_agent()
    {
        config_snapshot next = *agent_->cluster.config;
        next.versions.at("tagger@v2").state = version_state::withdrawn;
        agent_->cluster.config =
            std::make_shared<config_snapshot const>(std::move(next));
    }

    std::uint64_t crashes() const
    {
        std::uint64_t n = agent_->engine.counts().crashed;
        for (test_agent const& it : extra_agents)
            n += it.engine.counts().crashed;
        return n;
    }

    // Ends the entry without a shutdown; the instance list still contains it.
    void kill(std::string const& entry)
    {
        entries.erase(entry);
    }

    std::vector<std::string> names() const
    {
        std::vector<std::string> out;
        for (auto const& [name, e] : entries)
            out.push_back(name);
        return out;
    }

    ev::dynamic_loop loop;
    fake_object_api api{loop, {}};
    fake_instance_list list{loop, "127.0.0.1:0"};
    fake_rating_service ratings{loop, {}};
    http_client http{loop};
    std::map<std::string, std::unique_ptr<entry_daemon>> entries;
    std::deque<test_agent> extra_agents;
    std::string model = "tagger"; // model of the next requests

private:
    void start_entry(std::string const& name)
    {
        entry_settings s;
        s.instance = name;
        s.availability_zone = "hitra";
        s.listen = s.admin_listen = s.peer_listen = "127.0.0.1:0";
        s.session_secret = "a secret of the tests";
        s.max_body_bytes = 1 << 20;
        s.max_header_bytes = 32 << 10;
        s.max_connections = 1000;
        s.traced_requests = 100;
        s.body_timeout = s.idle_timeout = std::chrono::seconds(30);
        s.heartbeat_interval = std::chrono::seconds(1);
        s.silence_limit = std::chrono::seconds(3);
        s.cluster = fast_cluster_settings(api.url(), list.url());
        s.rating.url = ratings.url();
        if (configure_)
            configure_(s);
        auto& e = entries[name];
        e = std::make_unique<entry_daemon>(loop, std::move(s));
        list.put(name, {.zone = "hitra", .address = e->peer_address()});
    }

    std::function<void(entry_settings&)> configure_;
    std::optional<test_agent> agent_;
    std::uint64_t generation_ = 0;
};

} // namespace marjorambeam::test
