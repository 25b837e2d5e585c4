// Failures of upstreams and connections while work is in flight.
#include "agent/agent_test_support.hpp"
#include "http_client/http_client_test_support.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace marjorambeam;
using namespace marjorambeam::test;

namespace
{

// Records what the agent reports to the library for at-most-once execution.
struct once_recorder
{
    std::vector<once_outcome> outcomes;
    once_decision decision;

    agent_hooks hooks()
    {
        agent_hooks h;
        h.reserve = [this](work_request const&, once_handler const& decide)
        { decide(decision); };
        h.complete = [this](work_request const&, once_outcome const& o)
        { outcomes.push_back(o); };
        return h;
    }
};

// Sends bytes that are no frame to the address and waits for the close.
void send_garbage(agent_fixture& f, std::string const& address)
{
    std::size_t const colon = address.find(':');
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port =
        htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
    int const fd = socket(AF_INET, SOCK_STREAM, 0);
    REQUIRE(connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0);
    std::string const garbage(64, 'x');
    REQUIRE(::send(fd, garbage.data(), garbage.size(), 0) == 64);
    char c = 0;
    CHECK(f.run_until([&] { return recv(fd, &c, 1, MSG_DONTWAIT) == 0; }));
    ::close(fd);
}

} // namespace

// Guards against a cold engine that is given more than it can handle and
// crashes, and against a limit that never grows.
TEST_CASE("a cold engine never runs more than its limit")
{
    agent_fixture f(
        {.token_interval = std::chrono::milliseconds(1),
         .starts_cold = true,
         .cold_time = std::chrono::milliseconds(300),
         .cold_concurrency = 2,
         .load_lag = std::chrono::milliseconds(5)});
    int whole = 0;
    int refused = 0;
    for (int i = 0; i < 12; ++i)
        f.send(model_request("r-" + std::to_string(i), "seam"));
    for (int i = 0; i < 12; ++i)
    {
        seen_answer const& a = f.answer("r-" + std::to_string(i));
        whole += a.is_whole() ? 1 : 0;
        refused +=
            a.refused && a.refused->kind == error_kind::upstream_cold ? 1 : 0;
    }
    CHECK(whole == 10); // two running and eight waiting
    CHECK(refused == 2);
    CHECK(f.engine.counts().max_running_cold == 2);
    f.warm_up();
    for (int i = 0; i < 60; ++i)
        f.ask(model_request("w-" + std::to_string(i), "seam"));
    CHECK(current_limit(f.state->warm_up) == 8);
    CHECK(f.engine.counts().crashed == 0);
}

// Guards against a slot that is given away while the engine still works on the
// cancelled request.
TEST_CASE("cancelled requests don't overload a cold engine")
{
    agent_fixture f(
        {.token_interval = std::chrono::milliseconds(20),
         .starts_cold = true,
         .cold_time = duration(0),
         .cold_concurrency = 2});
    for (int i = 0; i < 10; ++i)
    {
        std::string const id = "r-" + std::to_string(i);
        f.send(model_request(id, "seam"));
        REQUIRE(f.run_until([&] { return f.entry->answers[id].chunks > 0; }));
        f.entry->connection->send(cancel{.request_id = id});
        CHECK(f.answer(id).failed->kind == error_kind::cancelled);
    }
    CHECK(f.engine.counts().crashed == 0);
    CHECK(f.engine.counts().max_running_cold <= 2);
}

// Guards against an answer that is none by the protocol reaching a caller, and
// against an upstream that is taken for crashed because it sent one.
TEST_CASE("a corrupt answer fails its attempt and is no crash")
{
    std::string const head = GENERATE(
        as<std::string>{}, "HTTP/1.1 000 X\r\n", "HTTP/1.1 600 X\r\n",
        "HTTP/1.1 200 OK\r\nX Odd: 1\r\n");
    CAPTURE(head);
    agent_fixture f({}, true);
    raw_server const upstream(
        f.loop, raw_server::answering(head + "Content-Length: 2\r\n\r\nok"));
    f.state->settings.upstream_url = upstream.url();
    work_request r = service_request("r-1", "");
    r.is_idempotent = true;
    seen_answer const& a = f.ask(r);
    REQUIRE(a.failed);
    CHECK(a.failed->kind == error_kind::answer_corrupt);
    CHECK(a.bytes.empty());
}

// Guards against a crash that is not attributed, and against an engine that is
// loaded as before when it returns.
TEST_CASE("a crash marks the attempts in flight and resets the limit")
{
    agent_fixture f(
        {.token_interval = std::chrono::milliseconds(5),
         .restart_time = std::chrono::milliseconds(50)});
    f.warm_up();
    set_bounds(f.state->warm_up, {.cold = 8, .warm = 8, .has_reports = true});
    f.send(model_request("r-1", "seam"));
    f.send(model_request("r-2", "seam"));
    REQUIRE(f.run_until([&] { return f.entry->answers["r-2"].chunks > 0; }));
    f.send(model_request("r-3", "CRASH-ENGINE"));
    for (std::string const id : {"r-1", "r-2", "r-3"})
    {
        seen_answer const& a = f.answer(id);
        REQUIRE(a.failed);
        CHECK(a.failed->kind == error_kind::upstream_crashed);
        CHECK(a.failed->is_crash);
        CHECK(a.failed->run != run_state::not_run);
    }
    CHECK(f.entry->answers["r-1"].failed->run == run_state::ran);
    CHECK(f.cluster.counters.counter("upstream_crashes_total") == 1);
    CHECK(current_limit(f.state->warm_up) == 2);
    REQUIRE(f.run_until([&] { return f.state->is_upstream_down; }));
    CHECK(
        f.ask(model_request("r-4", "seam")).refused->run == run_state::not_run);
    REQUIRE(f.run_until([&] { return !f.state->is_upstream_down; }));
    CHECK(f.ask(model_request("r-5", "seam")).is_whole());
}

// Guards against a suspect that takes innocent requests down with it.
TEST_CASE("a request that must run alone has nothing beside it")
{
    agent_fixture f({.token_interval = std::chrono::milliseconds(2)});
    f.change_config([](config_snapshot& c)
                    { c.upstreams["up-1"].cold_concurrency = 8; });
    f.warm_up();
    f.send(model_request("r-1", "seam"));
    f.send(model_request("r-2", "seam"));
    work_request alone = model_request("r-3", "seam");
    alone.run_alone = true;
    f.send(alone);
    f.send(model_request("r-4", "seam"));
    bool is_beside = false;
    REQUIRE(f.run_until(
        [&]
        {
            is_beside =
                is_beside || (f.state->is_alone && f.state->running != 1);
            return f.entry->answers["r-4"].is_over();
        }));
    CHECK_FALSE(is_beside);
    CHECK(f.entry->answers["r-3"].is_whole());
    CHECK(f.engine.counts().max_running == 2);
}

// Guards against an entry that waits for ever for an upstream that has gone
// silent, and against a stream that ends silently.
TEST_CASE("a silent upstream and a cut stream end with an error")
{
    agent_fixture f(
        {}, false, {.upstream_silence = std::chrono::milliseconds(60)});
    f.engine.set_faults({.cut_after_tokens = 3});
    seen_answer const& cut = f.ask(model_request("r-1", "seam"));
    REQUIRE(cut.failed);
    CHECK(cut.tokens == 3);
    CHECK(cut.failed->run == run_state::ran);
    f.engine.set_faults({.is_silent = true});
    f.state->is_upstream_suspect = false; // no report arrives any more
    seen_answer const& silent = f.ask(model_request("r-2", "seam"));
    REQUIRE(silent.failed);
    CHECK(silent.failed->kind == error_kind::upstream_silent);
    CHECK_FALSE(silent.failed->is_crash);
    CHECK(silent.failed->run == run_state::unknown);
}

// Guards against a deadline that leaves a request queued or running.
TEST_CASE("a request ends at its deadline")
{
    agent_fixture f({.token_interval = std::chrono::milliseconds(50)});
    f.allow_one_at_once();
    for (std::string const id : {"r-1", "r-2"})
    {
        work_request r = model_request(id, "seam");
        r.deadline_ms = 120;
        f.send(r);
    }
    CHECK(f.answer("r-1").failed->run == run_state::ran);
    CHECK(f.answer("r-2").failed->run == run_state::not_run);
    CHECK(f.engine.counts().started == 1);
}

// Guards against work that nobody waits for: a request that gets its place when
// a moment of its time is left, as the one before it ends at its own deadline.
TEST_CASE("a request that can't end before its deadline is not begun")
{
    agent_fixture f({.token_interval = std::chrono::milliseconds(50)});
    f.allow_one_at_once();
    int deadline_ms = 120;
    for (std::string const id : {"r-1", "r-2"})
    {
        work_request r = model_request(id, "seam");
        r.deadline_ms = deadline_ms;
        deadline_ms += 15;
        f.send(r);
    }
    CHECK(f.answer("r-1").failed->run == run_state::ran);
    CHECK(f.answer("r-2").failed->run == run_state::not_run);
    CHECK(f.engine.counts().started == 1);
}

// Guards against a charge that was executed and is reported as not run.
TEST_CASE("a lost answer of a call that must not repeat is unknown")
{
    once_recorder once;
    agent_fixture f({}, true, {}, once.hooks());
    f.service.set_faults({.cuts_answers = true});
    seen_answer const& a = f.ask(service_request("r-1", "key-1"));
    REQUIRE(a.failed);
    CHECK(a.failed->run == run_state::unknown);
    CHECK(f.service.executions("key-1") == 1);
    REQUIRE(once.outcomes.size() == 1);
    CHECK(once.outcomes[0].run == run_state::unknown);
    CHECK_FALSE(once.outcomes[0].has_response);
}

// Guards against a cancelled or abandoned charge whose outcome is lost.
TEST_CASE("a call that must not repeat outlives its entry")
{
    once_recorder once;
    agent_fixture f({}, true, {}, once.hooks());
    f.service.set_faults({.delay = std::chrono::milliseconds(60)});
    f.send(service_request("r-1", "key-1"));
    REQUIRE(f.run_until([&] { return f.service.total() == 1; }));
    f.entry->connection->send(cancel{.request_id = "r-1"});
    REQUIRE(f.run_until(
        [&] { return f.cluster.counters.counter("cancels_total") == 1; }));
    f.entry->connection->close();
    REQUIRE(f.run_until([&] { return once.outcomes.size() == 1; }));
    CHECK(once.outcomes[0].run == run_state::ran);
    CHECK(once.outcomes[0].response.body == "amount=3");
}

// Guards against a repeated charge, and against a refusal that names no owner.
TEST_CASE("a decision on a key is followed")
{
    once_recorder once;
    once.decision = {
        .action = once_action::replay, .response = {201, "text/plain", "done"}};
    agent_fixture f({}, true, {}, once.hooks());
    seen_answer const& replayed = f.ask(service_request("r-1", "key-1"));
    REQUIRE(replayed.is_whole());
    CHECK(replayed.end->is_replay);
    CHECK(replayed.end->status == 201);
    CHECK(replayed.bytes == "done");
    once.decision = {
        .action = once_action::refuse,
        .why = make_error(error_kind::not_keyspace_owner, "not here"),
        .owner = "up-2"};
    seen_answer const& refused = f.ask(service_request("r-2", "key-2"));
    REQUIRE(refused.refused);
    CHECK(refused.refused->owner == "up-2");
    CHECK(f.service.total() == 0);
}

// Guards against an upstream that works for an entry that is gone.
TEST_CASE("idempotent work ends with its entry's connection")
{
    agent_fixture f({.token_interval = std::chrono::milliseconds(10)});
    f.send(model_request("r-1", "seam"));
    REQUIRE(f.run_until([&] { return f.entry->answers["r-1"].chunks > 0; }));
    f.entry->connection->close();
    REQUIRE(f.run_until([&] { return f.engine.counts().cancelled == 1; }));
    CHECK(f.state->attempts.empty());
}

// Guards against a silent connection that holds work, and against heartbeats
// that are not answered.
TEST_CASE("heartbeats are answered and a silent connection is closed")
{
    agent_fixture f(
        {.token_interval = std::chrono::milliseconds(100)}, false,
        {.heartbeat_interval = std::chrono::milliseconds(10),
         .connection_silence = std::chrono::milliseconds(100)});
    f.entry->connection->send(heartbeat{.wants_reply = true});
    REQUIRE(f.run_until([&] { return f.entry->heartbeats == 1; }));
    f.send(model_request("r-1", "seam"));
    REQUIRE(f.run_until([&] { return f.entry->heartbeats > 2; }));
    REQUIRE(f.run_until([&] { return f.entry->closed.has_value(); }));
    CHECK(
        f.cluster.counters.counter(
            "connections_closed_total", "connection_silent") == 1);
    CHECK(f.state->attempts.empty());
}

// Guards against one bad connection that takes others or the process down.
TEST_CASE("a corrupt frame ends only its own connection")
{
    agent_fixture f({.token_interval = std::chrono::milliseconds(2)});
    f.send(model_request("r-1", "seam"));
    REQUIRE(f.run_until([&] { return f.entry->answers["r-1"].chunks > 0; }));
    send_garbage(f, f.agent->address());
    CHECK(
        f.cluster.counters.counter(
            "connections_closed_total", "frame_corrupt") == 1);
    CHECK(f.answer("r-1").is_whole());
}

// Guards against a planned stop that interrupts a request.
TEST_CASE("a shutdown finishes admitted work and refuses new work")
{
    agent_fixture f({.token_interval = std::chrono::milliseconds(2)});
    f.change_config([](config_snapshot& c)
                    { c.upstreams["up-1"].cold_concurrency = 1; });
    f.send(model_request("r-1", "seam"));
    f.send(model_request("r-2", "seam"));
    REQUIRE(f.run_until(
        [&] { return f.entry->answers["r-2"].accepted.has_value(); }));
    f.agent->begin_shutdown(steady_now());
    f.agent->begin_shutdown(steady_now());
    seen_answer const& late = f.ask(model_request("r-3", "seam"));
    CHECK(late.refused->kind == error_kind::shutting_down);
    CHECK_FALSE(f.agent->is_drained());
    CHECK(f.answer("r-1").is_whole());
    CHECK(f.answer("r-2").is_whole());
    CHECK(f.run_until([&] { return f.agent->is_drained(); }));
}

// Guards against a wait for the end of a shutdown that is not bounded, and
// against a stream that it ends silently.
TEST_CASE("the end of a shutdown's wait cuts work with an error")
{
    agent_fixture f;
    f.engine.set_faults({.is_silent = true});
    f.send(model_request("r-1", "seam"));
    REQUIRE(f.run_until([&] { return f.state->running == 1; }));
    f.agent->begin_shutdown(steady_now());
    CHECK(f.agent->cut_all(steady_now()) == 1);
    CHECK(f.answer("r-1").failed->kind == error_kind::shutting_down);
    CHECK(f.agent->is_drained());
}
