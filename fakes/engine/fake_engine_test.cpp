#include "fakes/engine/fake_engine.hpp"

#include "http_client/http_client.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace marjorambeam;

namespace
{

struct fixture
{
    explicit fixture(fake_engine_settings settings)
        : engine(loop, std::move(settings))
        , client(loop)
    {
    }

    // Sends one call and runs the loop until it is done.
    result<http_reply>
    call(std::string method, std::string const& path, std::string body = {})
    {
        result<http_reply> reply = fail(error_kind::internal, "no reply");
        client.send(
            {.method = std::move(method),
             .url = engine.url() + path,
             .body = std::move(body),
             .use_fresh_connection = true},
            [&](result<http_reply> r)
            {
                reply = std::move(r);
                loop.break_loop(ev::ALL);
            });
        loop.run();
        return reply;
    }

    nlohmann::json json(std::string const& path)
    {
        result<http_reply> const r = call("GET", path);
        REQUIRE(r);
        return nlohmann::json::parse(r->body);
    }

    ev::dynamic_loop loop;
    fake_engine engine;
    http_client client;
};

} // namespace

// Guards against an agent that is trusted to check fencing numbers although
// the engine's own check hides its faults, or the reverse.
TEST_CASE("a stale command is refused only by an engine that checks")
{
    for (bool const checks : {true, false})
    {
        fixture f({.checks_fencing = checks});
        std::string const command = R"({"command":"load_model","model":"m",)";
        CHECK(
            f.call("POST", "/commands", command + "\"fencing\":7}")->status ==
            200);
        CHECK(f.engine.is_cold());
        CHECK(
            f.call("POST", "/commands", command + "\"fencing\":6}")->status ==
            (checks ? 409 : 200));
    }
}

// Guards against a stand-in whose crash can't be told from a restart that
// never was, so that failure tests pass by chance.
TEST_CASE("a crash drops connections, answers 503 and changes incarnation")
{
    fixture f(
        {.restart_time = std::chrono::milliseconds(20),
         .load_lag = duration(0)});
    auto const before = f.json("/load")["incarnation"];
    result<http_reply> const crashed = f.call(
        "POST", "/v1/chat/completions",
        R"({"messages":[{"content":"x CRASH-ENGINE"}]})");
    REQUIRE_FALSE(crashed);
    CHECK(crashed.error().run == run_state::unknown);
    CHECK(f.call("GET", "/load")->status == 503);
    steady_time const end = steady_now() + std::chrono::seconds(10);
    while (f.call("GET", "/load")->status == 503 && steady_now() < end)
        continue;
    CHECK(f.json("/load")["incarnation"] != before);
    CHECK(f.json("/counts")["crashed"] == 1);
}

// Guards against a cold engine that tolerates any load.
TEST_CASE("a cold engine crashes above its concurrency")
{
    fixture f(
        {.token_interval = std::chrono::milliseconds(5),
         .starts_cold = true,
         .cold_concurrency = 1});
    int ended = 0;
    for (int i = 0; i < 2; ++i)
    {
        f.client.send(
            {.method = "POST",
             .url = f.engine.url() + "/v1/chat/completions",
             .body = R"({"messages":[{"content":"x"}]})"},
            [&](result<http_reply> const& r)
            {
                CHECK_FALSE((r && r->status == 200));
                if (++ended == 2)
                    f.loop.break_loop(ev::ALL);
            });
    }
    f.loop.run();
    CHECK(f.engine.counts().crashed == 1);
    CHECK(f.engine.counts().max_running_cold == 2);
}
