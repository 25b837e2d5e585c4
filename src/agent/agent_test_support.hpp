// A test entry and an agent with fakes on one loop, for the agent's tests.
#pragma once

#include "agent/agent_controller.hpp"
#include "base/hash.hpp"
#include "event_loop/event_loop.hpp"
#include "fakes/engine/fake_engine.hpp"
#include "fakes/service/fake_service.hpp"
#include "transport/transport.hpp"

#include <catch2/catch.hpp>
#include <optional>

namespace marjorambeam::test
{

// What the entry received about one attempt.
struct seen_answer
{
    std::optional<work_accepted> accepted;
    std::optional<work_refused> refused;
    std::optional<answer_end> end;
    std::optional<answer_failed> failed;
    std::string bytes;
    std::uint64_t tokens = 0;
    std::uint64_t chunks = 0;

    bool is_over() const
    {
        return refused || end || failed;
    }
    bool is_whole() const
    {
        return end && end->length == bytes.size() &&
               end->checksum == hash64(bytes) && end->sequence == chunks;
    }
};

struct test_entry
{
    test_entry(ev::loop_ref loop, std::string const& address)
        : connection(frame_connection::connect(loop, address))
    {
        connection->on_message([this](message&& m) { take(std::move(m)); });
        connection->on_close([this](error const& e) { closed = e; });
        connection->send(hello{.instance = "entry-1", .sender = 7});
    }

    void take(message&& m)
    {
        if (auto* h = std::get_if<hello>(&m))
            peer = *h;
        else if (auto* a = std::get_if<work_accepted>(&m))
            answers[a->request_id].accepted = *a;
        else if (auto* r = std::get_if<work_refused>(&m))
            answers[r->request_id].refused = *r;
        else if (auto* e = std::get_if<answer_end>(&m))
            answers[e->request_id].end = *e;
        else if (auto* f = std::get_if<answer_failed>(&m))
            answers[f->request_id].failed = *f;
        else if (std::holds_alternative<heartbeat>(m))
            ++heartbeats;
        else if (auto* c = std::get_if<answer_chunk>(&m))
        {
            seen_answer& s = answers[c->request_id];
            CHECK(c->sequence == s.chunks);
            ++s.chunks;
            s.bytes += c->bytes;
            s.tokens += c->tokens;
        }
    }

    std::shared_ptr<frame_connection> connection;
    std::optional<hello> peer;
    std::optional<error> closed;
    std::map<std::string, seen_answer> answers;
    int heartbeats = 0;
};

inline work_request model_request(std::string id, std::string const& prompt)
{
    return {
        .request_id = std::move(id),
        .sender = 7,
        .customer = "havbris",
        .target = "tagger@v1",
        .deadline_ms = 20000,
        .token_cost = 16,
        .is_stream = true,
        .method = "POST",
        .path = "/v1/chat/completions",
        .content_type = "application/json",
        .body = R"({"model":"tagger@v1","stream":true,"messages":[)"
                R"({"role":"user","content":")" +
                prompt + "\"}]}"};
}

inline work_request service_request(std::string id, std::string key)
{
    return {
        .request_id = std::move(id),
        .sender = 7,
        .customer = "havbris",
        .kind = work_kind::service,
        .target = "credits",
        .is_idempotent = false,
        .key = std::move(key),
        .deadline_ms = 20000,
        .method = "POST",
        .path = "/charge",
        .body = "amount=3"};
}

inline std::string expected_text(std::uint64_t from, std::uint64_t to)
{
    std::string out;
    for (std::uint64_t i = from; i < to; ++i)
        out += fake_engine_token("tagger@v1", "seam", i);
    return out;
}

// An agent beside an upstream, and one entry. The upstream's zone is hitra.
struct agent_fixture
{
    explicit agent_fixture(
        fake_engine_settings engine_settings = {}, bool is_service = false,
        agent_settings settings = {}, agent_hooks hooks = {})
        : engine(loop, std::move(engine_settings))
        , service(loop, {})
    {
        settings.upstream_url = is_service ? service.url() : engine.url();
        settings.load_interval = std::chrono::milliseconds(10);
        cluster.identity = {
            .instance = "agent-1",
            .role = process_role::agent,
            .availability_zone = "hitra",
            .upstream = "up-1",
            .self = 99};
        cluster.has_config = true;
        declare(is_service);
        state.emplace(cluster, settings);
        agent.emplace(loop, *state, std::move(hooks));
        entry.emplace(loop, agent->address());
        tick.start_every(std::chrono::milliseconds(2));
    }

    void declare(bool is_service)
    {
        config_snapshot c;
        c.number = 1;
        c.zones["hitra"] = {.name = "hitra", .region = "trondelag"};
        c.versions["tagger@v1"] = {.model = "tagger", .name = "v1"};
        c.contracts["havbris"] = {
            .customer = "havbris",
            .models = {{.model = "tagger"}},
            .services = {"credits"}};
        c.upstreams["up-1"] = {
            .name = "up-1",
            .kind = is_service ? upstream_kind::service : upstream_kind::engine,
            .availability_zone = "hitra",
            .serves = {"tagger@v1", "credits"},
            .cold_concurrency = 2,
            .warm_concurrency = 8};
        cluster.config = std::make_shared<config_snapshot const>(std::move(c));
    }

    // Puts a changed configuration in force.
    template <class Change>
    void change_config(Change change)
    {
        config_snapshot c = *cluster.config;
        ++c.number;
        change(c);
        cluster.config = std::make_shared<config_snapshot const>(std::move(c));
    }

    // Lets the upstream run one request at once, cold or warm.
    void allow_one_at_once()
    {
        change_config(
            [](config_snapshot& c)
            {
                c.upstreams["up-1"].cold_concurrency = 1;
                c.upstreams["up-1"].warm_concurrency = 1;
            });
    }

    // Runs the loop until the condition holds, for at most 20 s.
    template <class Condition>
    bool run_until(Condition condition)
    {
        steady_time const end = steady_now() + std::chrono::seconds(20);
        while (!condition() && steady_now() < end)
            loop.run(ev::ONCE);
        return static_cast<bool>(condition());
    }

    void send(work_request r)
    {
        r.generation = std::max(r.generation, cluster.config->number);
        entry->connection->send(r);
    }

    seen_answer const& answer(std::string const& id)
    {
        REQUIRE(run_until([&] { return entry->answers[id].is_over(); }));
        return entry->answers[id];
    }

    seen_answer const& ask(work_request r)
    {
        std::string const id = r.request_id;
        send(std::move(r));
        return answer(id);
    }

    // Waits until the upstream reports that it is warm.
    void warm_up()
    {
        REQUIRE(run_until([&] { return !state->warm_up.reports_cold; }));
    }

    ev::dynamic_loop loop;
    fake_engine engine;
    fake_service service;
    cluster_state cluster;
    std::optional<agent_state> state;
    std::optional<agent_controller> agent;
    std::optional<test_entry> entry;
    loop_timer tick{loop, [this] { agent->tick(steady_now()); }};
};

} // namespace marjorambeam::test
