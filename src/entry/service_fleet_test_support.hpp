// Entries, agents next to fake services, and the fake object API and instance
// list, all on one event loop.
#pragma once

#include "agent/agent_daemon.hpp"
#include "billing/ledger.hpp"
#include "entry/entry_test_support.hpp"
#include "fakes/service/fake_service.hpp"

namespace marjorambeam::test
{

// Response that a caller of a service received.
struct service_response
{
    int status = 0;
    std::string body;
    std::string kind; // of the error
    std::string run;
    std::string attempts;
};

// Entries "e0", "e1", ... and agents "a0", "a1", ... that serve "credits" at a
// price of 7 per call to the customer havbris.
class service_fleet
{
public:
    explicit service_fleet(
        std::size_t entries, std::size_t agents,
        usage_keeper_settings usage = {})
        : usage_(usage)
    {
        put_generation(agents);
        for (std::size_t i = 0; i < entries; ++i)
            start_entry("e" + std::to_string(i));
        for (std::size_t i = 0; i < agents; ++i)
        {
            services.push_back(
                std::make_unique<fake_service>(loop, fake_service_settings{}));
            start_agent(i);
        }
        bool const is_up = run_until([&] { return is_ready(); });
        REQUIRE(is_up);
    }

    void start_agent(std::size_t i, std::string listen = "127.0.0.1:0")
    {
        std::string const n = std::to_string(i);
        agent_daemon_settings s;
        s.agent.listen = std::move(listen);
        s.agent.upstream_url = services[i]->url();
        s.agent.load_interval = milliseconds(10);
        s.instance = "a" + n;
        s.upstream = "up-" + n;
        s.zone = "hitra";
        s.cluster = cluster();
        s.usage = usage_;
        auto& a = agents[s.instance];
        a = std::make_unique<agent_daemon>(loop, std::move(s));
        list.put(
            "a" + n, {.role = "agent",
                      .zone = "hitra",
                      .upstream = "up-" + n,
                      .address = a->address()});
    }

    // Replaces an agent by a new incarnation at the same address, without a
    // shutdown of the old one.
    void restart_agent(std::size_t i)
    {
        auto& a = agents.at("a" + std::to_string(i));
        std::string const address = a->address();
        a.reset();
        start_agent(i, address);
    }

    void end_entry(std::string const& name)
    {
        list.erase(name);
        entries.erase(name);
    }

    std::shared_ptr<std::optional<service_response>>
    send(std::string const& entry, std::string const& key)
    {
        auto out = std::make_shared<std::optional<service_response>>();
        http_call call{
            .method = "POST",
            .url = entries.at(entry)->caller_url() + "/v1/services/credits/pay",
            .headers = {{"Authorization", "Bearer havbris"}},
            .body = "amount=" + amount};
        if (!key.empty())
            call.headers.emplace_back("Idempotency-Key", key);
        http.send(
            std::move(call),
            [out](result<http_reply> const& r)
            {
                if (!r)
                    return; // the entry was stopped
                service_response reply{.status = r->status, .body = r->body};
                auto const attempts = r->headers.find("x-attempts");
                if (attempts != r->headers.end())
                    reply.attempts = attempts->second;
                auto const j = nlohmann::json::parse(r->body, nullptr, false);
                if (r->status != 200 && j.is_object() && j.contains("error"))
                {
                    reply.kind = j["error"]["kind"];
                    reply.run = j["error"]["run"];
                }
                *out = std::move(reply);
            });
        return out;
    }

    service_response call(std::string const& entry, std::string const& key)
    {
        auto const out = send(entry, key);
        bool const has_response = run_until([&] { return out->has_value(); });
        REQUIRE(has_response);
        return **out;
    }

    // Runs the loop until the condition holds, for at most 10 s. Returns
    // whether it held.
    template <class Condition>
    bool run_until(Condition condition)
    {
        steady_time const end = steady_now() + std::chrono::seconds(10);
        loop_timer wake(loop, [] {});
        wake.start_every(milliseconds(2));
        while (steady_now() < end)
        {
            if (condition()) // may send a request, so called once per turn
                return true;
            loop.run(ev::ONCE);
        }
        return false;
    }

    std::size_t owned() const
    {
        std::size_t n = 0;
        for (auto const& [name, a] : agents)
            n += a->state().owned_partitions;
        return n;
    }

    bool wait_for_owners()
    {
        return run_until([&] { return owned() == keyspace_partitions; });
    }

    std::uint64_t executions() const
    {
        std::uint64_t n = 0;
        for (auto const& s : services)
            n += s->total();
        return n;
    }

    std::size_t segments()
    {
        return api.data().list(ledger_kind, "", 1000).objects.size();
    }

    bill ledger()
    {
        bill b;
        for (auto const& row : api.data().list(ledger_kind, "", 1000).objects)
            REQUIRE(b.add(row.value));
        return b;
    }

    ev::dynamic_loop loop;
    fake_object_api api{loop, {}};
    fake_instance_list list{loop, "127.0.0.1:0"};
    http_client http{loop};
    std::vector<std::unique_ptr<fake_service>> services;
    std::map<std::string, std::unique_ptr<agent_daemon>> agents;
    std::map<std::string, std::unique_ptr<entry_daemon>> entries;
    std::string amount = "3";

private:
    cluster_settings cluster() const
    {
        cluster_settings s = fast_cluster_settings(api.url(), list.url());
        s.sync.members.unlisted_lifetime = milliseconds(300);
        return s;
    }

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
        s.drain_limit = std::chrono::seconds(30);
        s.cluster = cluster();
        auto& e = entries[name];
        e = std::make_unique<entry_daemon>(loop, std::move(s));
        list.put(name, {.zone = "hitra", .address = e->peer_address()});
    }

    void put_generation(std::size_t agents)
    {
        generation g{.number = 1, .edit_id = "e", .author = "test"};
        g.edits = {
            {document_kind::availability_zone, "hitra",
             R"({"region":"trondelag","state":"in"})"},
            {document_kind::service, "credits", R"({"price":7})"},
            {document_kind::contract, "havbris",
             R"({"customer":"havbris","key_hashes":[")" +
                 secret_hash("havbris") +
                 R"("],"services":["credits"],"requests_per_second":1000})"}};
        for (std::size_t i = 0; i < agents; ++i)
        {
            g.edits.push_back(
                {document_kind::upstream, "up-" + std::to_string(i),
                 R"({"kind":"service","zone":"hitra","state":"in",
                     "serves":["credits"],"cold_concurrency":64,
                     "warm_concurrency":64})"});
        }
        REQUIRE(
            api.data().create("generations", generation_name(1), to_json(g)));
    }

    bool is_ready() const
    {
        std::size_t const others = entries.size() + agents.size() - 1;
        auto const is_up = [&](cluster_state const& c)
        {
            return c.is_ready() && c.config->refused.empty() &&
                   c.config->number == 1 && c.peers.size() == others;
        };
        return std::all_of(
                   entries.begin(), entries.end(),
                   [&](auto const& it)
                   { return is_up(it.second->state().cluster); }) &&
               std::all_of(
                   agents.begin(), agents.end(),
                   [&](auto const& it)
                   { return is_up(it.second->state().cluster); });
    }

    usage_keeper_settings usage_;
};

} // namespace marjorambeam::test
