// Refusals: each reports that nothing was run, and nothing was.
#include "agent/agent_test_support.hpp"

using namespace marjorambeam;
using namespace marjorambeam::test;

namespace
{

void check_refused(agent_fixture& f, work_request r, error_kind kind)
{
    std::uint64_t const before = f.engine.counts().started + f.service.total();
    seen_answer const& a = f.ask(std::move(r));
    REQUIRE(a.refused);
    CHECK(to_string(a.refused->kind) == to_string(kind));
    CHECK(a.refused->run == run_state::not_run);
    CHECK(f.engine.counts().started + f.service.total() == before);
}

} // namespace

// Guards against new work on a version, upstream or availability zone that is
// out, and against a refusal that doesn't say that nothing was run.
TEST_CASE("work that the configuration excludes is refused as not run")
{
    agent_fixture f;
    auto ask = [&](std::string const& id) { return model_request(id, "seam"); };
    f.change_config([](config_snapshot& c)
                    { c.zones["hitra"].state = service_state::out; });
    check_refused(f, ask("r-1"), error_kind::availability_zone_out);
    f.change_config(
        [](config_snapshot& c)
        {
            c.zones["hitra"].state = service_state::in;
            c.upstreams["up-1"].state = service_state::out;
        });
    check_refused(f, ask("r-2"), error_kind::upstream_out);
    f.change_config(
        [](config_snapshot& c)
        {
            c.upstreams["up-1"].state = service_state::in;
            c.versions["tagger@v1"].state = version_state::withdrawn;
        });
    check_refused(f, ask("r-3"), error_kind::version_withdrawn);
    f.change_config(
        [](config_snapshot& c)
        {
            c.versions["tagger@v1"].state = version_state::active;
            c.contracts["havbris"].models[0].versions = {"v2"};
            c.contracts["havbris"].services = {};
        });
    check_refused(f, ask("r-4"), error_kind::model_not_allowed);
    check_refused(
        f, service_request("r-5", "key-1"), error_kind::service_not_allowed);
    work_request other = ask("r-6");
    other.customer = "nobody";
    check_refused(f, other, error_kind::unauthorized);
    f.change_config(
        [](config_snapshot& c)
        {
            c.contracts["havbris"].models[0].versions = {};
            c.upstreams["up-1"].serves = {"credits"};
        });
    check_refused(f, ask("r-7"), error_kind::no_upstream);
}

// Guards against work that a daemon takes while it can't know the rules or is
// about to leave, and against requests that would change the HTTP request.
TEST_CASE("work that the agent can't take now is refused as not run")
{
    agent_fixture f;
    auto ask = [&](std::string const& id) { return model_request(id, "seam"); };
    f.cluster.has_config = false;
    check_refused(f, ask("r-1"), error_kind::not_ready);
    f.cluster.has_config = true;
    f.cluster.is_isolated = true;
    check_refused(f, ask("r-2"), error_kind::isolated);
    f.cluster.is_isolated = false;
    work_request late = ask("r-3");
    late.deadline_ms = 0;
    check_refused(f, late, error_kind::deadline_exceeded);
    work_request keyless = service_request("r-4", "");
    check_refused(f, keyless, error_kind::idempotency_key_required);
    work_request host = ask("r-5");
    host.path = "@127.0.0.2/";
    check_refused(f, host, error_kind::bad_request);
    work_request header = service_request("r-6", "k\r\nX-Injected: 1");
    check_refused(f, header, error_kind::bad_request);
}

// Guards against a customer that fills the agent for all others.
TEST_CASE("a customer's full queue refuses only that customer")
{
    agent_fixture f({.token_interval = std::chrono::milliseconds(5)});
    f.change_config(
        [](config_snapshot& c)
        {
            c.contracts["havbris"].max_queued = 3;
            c.contracts["small"] = c.contracts["havbris"];
            c.contracts["small"].customer = "small";
            c.upstreams["up-1"].cold_concurrency = 1;
            c.upstreams["up-1"].warm_concurrency = 1;
        });
    f.warm_up();
    for (int i = 0; i < 4; ++i) // one runs and three wait
        f.send(model_request("r-" + std::to_string(i), "seam"));
    check_refused(f, model_request("r-4", "seam"), error_kind::queue_full);
    work_request small = model_request("s-1", "seam");
    small.customer = "small";
    f.send(small);
    CHECK(f.answer("s-1").is_whole());
    CHECK_FALSE(f.entry->answers["r-3"].is_over()); // served in turn
    CHECK(f.answer("r-3").is_whole());
}

// Guards against work admitted by an agent that has not learnt a withdrawal
// that the entry knows of.
TEST_CASE("a request of a newer generation waits for it, then is refused")
{
    std::uint64_t wanted = 0;
    agent_hooks hooks;
    hooks.on_generation = [&](std::string_view, std::uint64_t g)
    { wanted = g; };
    agent_fixture f(
        {}, false, {.park_time = std::chrono::milliseconds(100)},
        std::move(hooks));
    work_request r = model_request("r-1", "seam");
    r.generation = 2;
    f.send(r);
    REQUIRE(f.run_until([&] { return wanted == 2; }));
    f.change_config(
        [](config_snapshot& c)
        { c.versions["tagger@v1"].state = version_state::withdrawn; });
    seen_answer const& learnt = f.answer("r-1");
    REQUIRE(learnt.refused);
    CHECK(learnt.refused->kind == error_kind::version_withdrawn);
    work_request never = model_request("r-2", "seam");
    never.generation = 9;
    check_refused(f, never, error_kind::generation_stale);
}

// Guards against a withdrawn version that still receives what was queued.
TEST_CASE("a version withdrawn while a request waits is not run")
{
    agent_fixture f({.token_interval = std::chrono::milliseconds(5)});
    f.allow_one_at_once();
    f.send(model_request("r-1", "seam"));
    f.send(model_request("r-2", "seam"));
    REQUIRE(f.run_until(
        [&] { return f.entry->answers["r-2"].accepted.has_value(); }));
    f.change_config(
        [](config_snapshot& c)
        { c.versions["tagger@v1"].state = version_state::withdrawn; });
    CHECK(f.answer("r-1").is_whole());
    seen_answer const& waited = f.answer("r-2");
    REQUIRE(waited.failed);
    CHECK(waited.failed->kind == error_kind::version_withdrawn);
    CHECK(waited.failed->run == run_state::not_run);
    CHECK(f.engine.counts().started == 1);
}
