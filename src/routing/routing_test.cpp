#include "routing/routing.hpp"

#include <catch2/catch.hpp>
#include <map>

using namespace marjorambeam;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

struct fixture
{
    std::shared_ptr<config_snapshot> config =
        std::make_shared<config_snapshot>();
    std::vector<agent_view> agents;
    std::vector<entry_view> entries{{"e1", "z1"}};
    routing_table t;
    contract c{.customer = "c", .models = {{"m", {}}}};
    steady_time now{seconds(1000)};
    std::mt19937_64 random{5};

    void
    add_version(std::string const& name, version_state state, double share = 0)
    {
        version v{"m", name, state, share};
        config->versions["m@" + name] = v;
    }

    void add_upstream(
        std::string const& name, std::string const& zone,
        std::string const& target = "m@v1")
    {
        config->zones[zone] = {zone, "r", service_state::in};
        config->upstreams[name] = {name, upstream_kind::engine, zone, {target}};
        agents.push_back({name, "i-" + name, false});
    }

    void build(entry_view const& self = {"e1", "z1"})
    {
        routing_table const previous = std::move(t);
        t = build_routing_table(
            {config, agents, entries, self.instance, self.availability_zone},
            &previous);
    }

    void report(
        std::string const& name, std::uint32_t running, double speed = 50,
        bool is_cold = false)
    {
        record_load(
            t, find_upstream(t, name),
            {.running = running,
             .limit = is_cold ? 1U : 8U,
             .tokens_per_second = speed,
             .first_token_seconds = 0.1,
             .is_cold = is_cold},
            now);
    }

    route_choice
    choose(std::uint64_t prefix = 0, std::span<upstream_index const> tried = {})
    {
        return choose_upstream(
            t, {find_pool(t, "m@v1"), prefix, 100, tried}, now, random);
    }

    // Counts how often each upstream is chosen. With `is_sent`, each choice is
    // recorded as sent.
    std::map<std::string, int> count_choices(int n, bool is_sent = false)
    {
        std::map<std::string, int> counts;
        for (int i = 0; i < n; ++i)
        {
            route_choice const c2 = choose();
            if (c2.upstream == no_index)
                continue;
            ++counts[t.slots[c2.upstream].name];
            if (is_sent)
                record_sent(t, c2.upstream);
        }
        return counts;
    }
};

} // namespace

// Guards against subsets that leave an upstream without any entry, or that
// include one upstream at most entries.
TEST_CASE("at design scale every upstream is in the subset of some entry")
{
    fixture f;
    f.entries.clear();
    for (int i = 0; i < 350; ++i)
        f.entries.push_back(
            {"e" + std::to_string(i), "z" + std::to_string(i % 8)});
    for (int i = 0; i < 2300; ++i)
        f.add_upstream(
            "w" + std::to_string(i), "z" + std::to_string(i / 12 % 8),
            "m@v" + std::to_string(i % 12));
    std::map<upstream_index, int> near;
    std::map<upstream_index, int> far;
    std::size_t largest = 0;
    for (entry_view const& self : f.entries)
    {
        f.build(self);
        std::size_t total = 0;
        for (route_pool const& p : f.t.pools)
        {
            REQUIRE(p.near.size() >= 12);
            REQUIRE(p.far.size() >= 6);
            total += p.near.size() + p.far.size();
            for (pool_member const& it : p.near)
                ++near[it.upstream];
            for (pool_member const& it : p.far)
                ++far[it.upstream];
        }
        largest = std::max(largest, total);
    }
    REQUIRE(near.size() == 2300);
    REQUIRE(far.size() == 2300);
    REQUIRE(largest < std::size_t{12} * 48); // connections of an entry
    for (auto const& [u, n] : far)
        REQUIRE(n <= 60);
}

// Guards against new work for upstreams that are out of service, draining or
// without a live agent, or whose zone is out of service (I6, I10).
TEST_CASE("only live upstreams in service are candidates")
{
    fixture f;
    for (char const* name : {"in", "out", "leaving", "dead"})
        f.add_upstream(name, "z1");
    f.add_upstream("zone", "z2");
    f.config->upstreams["out"].state = service_state::out;
    f.config->zones["z2"].state = service_state::out;
    f.agents[2].is_draining = true;
    f.agents.erase(f.agents.begin() + 3);
    f.build();
    REQUIRE(f.count_choices(100) == std::map<std::string, int>{{"in", 100}});
    f.agents[0].is_draining = true;
    f.build();
    REQUIRE(f.choose().upstream == no_index);
    REQUIRE(explain(f.t, f.choose()).find("no upstream") != std::string::npos);
}

// Guards against a retry at the upstream that just failed, and against a
// refusal while a recently failed upstream might respond.
TEST_CASE("tried upstreams are excluded, failed ones are a last resort")
{
    fixture f;
    f.add_upstream("a", "z1");
    f.add_upstream("b", "z1");
    f.build();
    upstream_index const a = find_upstream(f.t, "a");
    std::vector<upstream_index> tried{a};
    for (int i = 0; i < 100; ++i)
        REQUIRE(f.t.slots[f.choose(0, tried).upstream].name == "b");
    record_failed(f.t, a, f.now);
    REQUIRE(f.count_choices(100).count("a") == 0);
    f.now += milliseconds(1);
    record_failed(f.t, find_upstream(f.t, "b"), f.now);
    route_choice const c = f.choose();
    REQUIRE(c.upstream == a);
    REQUIRE(c.reason == route_reason::last_resort);
    f.now += failure_backoff;
    REQUIRE(f.choose().reason == route_reason::least_time);
    tried.push_back(find_upstream(f.t, "b"));
    REQUIRE(f.choose(0, tried).upstream == no_index);
}

// Guards against overloading a cold upstream while warm ones are available
// (I5).
TEST_CASE("a cold upstream gets no more than its limit")
{
    fixture f;
    f.add_upstream("cold", "z1");
    f.add_upstream("warm", "z1");
    f.build();
    f.report("cold", 0, 500, true);
    f.report("warm", 8, 50);
    REQUIRE(f.count_choices(50, true)["cold"] == 1);
}

// Guards against herding: all requests between two reports going to the
// upstream that was idle in the first.
TEST_CASE("requests sent since the last report count as load")
{
    fixture f;
    for (char const* name : {"a", "b", "c", "d"})
        f.add_upstream(name, "z1");
    f.build();
    f.report("a", 0);
    for (char const* name : {"b", "c", "d"})
        f.report(name, 3);
    for (auto const& [name, n] : f.count_choices(23, true))
        REQUIRE(n <= 10);
}

// Guards against all entries sending their first requests to one upstream
// while no load is known.
TEST_CASE("upstreams of unknown load receive similar shares")
{
    fixture f;
    for (char const* name : {"a", "b", "c"})
        f.add_upstream(name, "z1");
    f.build();
    for (auto const& [name, n] : f.count_choices(300))
        REQUIRE(n >= 70);
    REQUIRE(f.count_choices(300).size() == 3);
}

// Guards against ignoring the reported speed, which would give upstreams of
// different speeds equal shares.
TEST_CASE("a fast upstream receives more requests than a slow one")
{
    fixture f;
    f.add_upstream("slow", "z1");
    f.add_upstream("fast", "z1");
    f.build();
    f.report("slow", 0, 20);
    f.report("fast", 0, 60);
    auto counts = f.count_choices(24, true);
    REQUIRE(counts["fast"] >= 16);
    REQUIRE(counts["slow"] >= 2);
}

// Guards against starving an upstream that returns without a load report while
// all others are warming up: the pool's assumed speed is far below theirs.
TEST_CASE("an upstream of unknown load counts as average while all are cold")
{
    fixture f;
    f.add_upstream("returned", "z1");
    f.add_upstream("steady", "z1");
    f.build();
    upstream_load load{
        .running = 1,
        .limit = 4,
        .tokens_per_second = 500,
        .first_token_seconds = 0.1,
        .is_cold = true};
    for (int i = 0; i < 50; ++i)
        record_load(f.t, find_upstream(f.t, "steady"), load, f.now);
    load.running = 2;
    record_load(f.t, find_upstream(f.t, "steady"), load, f.now);
    REQUIRE(f.count_choices(10)["returned"] > 0);
}

// Guards against an upstream that reported a low speed once and never receives
// the requests that would show its recovery.
TEST_CASE("a reported speed counts as unknown after a while")
{
    fixture f;
    f.add_upstream("recovered", "z1");
    f.add_upstream("steady", "z1");
    f.build();
    f.report("recovered", 0, 2);
    for (int i = 0; i < 200; ++i)
        f.report("steady", 4, 50);
    REQUIRE(f.count_choices(10)["recovered"] == 0);
    f.now += max_load_age + milliseconds(1);
    f.report("steady", 4, 50);
    REQUIRE(f.count_choices(10)["recovered"] > 0);
}

// Guards against cross-zone requests while the local zone has capacity, and
// against queueing in the local zone while another has capacity.
TEST_CASE("the local zone is preferred and spills over when full")
{
    fixture f;
    f.add_upstream("near", "z1");
    f.add_upstream("far", "z2");
    f.build();
    f.report("near", 2, 50);
    f.report("far", 0, 60);
    REQUIRE(f.count_choices(50)["near"] == 50);
    f.report("near", 8, 50);
    route_choice const c = f.choose();
    REQUIRE(f.t.slots[c.upstream].name == "far");
    REQUIRE(c.reason == route_reason::spill_over);
    std::string const text = explain(f.t, c);
    REQUIRE(text.find("near (z1") != std::string::npos);
    REQUIRE(text.find("chosen: far, spill-over") != std::string::npos);
}

// Guards against routing prompts away from their cached prefix, and against a
// frequent prefix that overloads one upstream.
TEST_CASE("a prefix is routed to its preferred upstreams until they are loaded")
{
    fixture f;
    std::vector<std::string> const names{"a", "b", "c", "d", "e",
                                         "f", "g", "h", "i", "j"};
    for (std::string const& name : names)
        f.add_upstream(name, "z1");
    f.build();
    for (std::string const& name : names)
        f.report(name, 2);
    std::map<upstream_index, int> counts;
    for (int i = 0; i < 50; ++i)
        ++counts[f.choose(77).upstream];
    REQUIRE(counts.size() == 1);
    std::map<upstream_index, int> spread;
    for (int i = 0; i < 40; ++i)
    {
        route_choice const c = f.choose(77);
        record_sent(f.t, c.upstream);
        ++spread[c.upstream];
    }
    REQUIRE(spread.size() >= 4);
    std::map<upstream_index, int> others;
    for (std::uint64_t prefix = 1; prefix < 100; ++prefix)
        ++others[f.choose(prefix).upstream];
    REQUIRE(others.size() >= 5);
}

// Guards against losing reported loads and outstanding requests when the table
// is rebuilt, about 3,000 times a day.
TEST_CASE("a rebuilt table keeps the status of each upstream")
{
    fixture f;
    f.add_upstream("b", "z1");
    f.build();
    f.report("b", 5);
    record_sent(f.t, find_upstream(f.t, "b"));
    f.add_upstream("a", "z1");
    f.build();
    upstream_status const& s = f.t.status[find_upstream(f.t, "b")];
    REQUIRE(s.reported == 5);
    REQUIRE(s.outstanding == 1);
}

// Guards against a rolling version that receives more than its share, and
// against work on versions that are withdrawn or not permitted (I1, I2).
TEST_CASE("the version follows share, permission and state")
{
    fixture f;
    f.add_version("v1", version_state::active);
    f.add_version("v2", version_state::rolling, 0.01);
    f.add_version("v3", version_state::withdrawn);
    f.build();
    auto const name = [&](std::string_view model, double draw)
    { return choose_version(f.t, f.c, model, "", draw)->document->name; };
    auto const refusal = [&](std::string_view model, std::string_view pin = "")
    { return choose_version(f.t, f.c, model, pin, 0).error().kind; };
    REQUIRE(name("m", 0.0099) == "v2");
    REQUIRE(name("m", 0.0101) == "v1");
    REQUIRE(name("m@v2", 0.9) == "v2");
    REQUIRE(refusal("m@v3") == error_kind::version_withdrawn);
    REQUIRE(refusal("m@v9") == error_kind::not_found);
    REQUIRE(refusal("x") == error_kind::not_found);
    f.c.models = {{"m", {"v1", "v3"}}};
    REQUIRE(name("m", 0) == "v1");
    REQUIRE(refusal("m@v2") == error_kind::model_not_allowed);
    f.c.models = {{"m", {"v3"}}};
    REQUIRE(refusal("m") == error_kind::version_withdrawn);
    f.c.models.clear();
    REQUIRE(refusal("m") == error_kind::model_not_allowed);
}

// Guards against a session that changes its version without notice (I3).
TEST_CASE("a pin takes precedence and a withdrawn pin is refused")
{
    fixture f;
    f.add_version("v1", version_state::active);
    f.add_version("v2", version_state::rolling, 1);
    f.add_version("v3", version_state::withdrawn);
    f.build();
    auto const with_pin = [&](std::string_view pin)
    { return choose_version(f.t, f.c, "m", pin, 0); };
    REQUIRE(with_pin("m@v1")->document->name == "v1");
    REQUIRE(with_pin("m@v3").error().kind == error_kind::version_withdrawn);
    REQUIRE(with_pin("m@v0").error().kind == error_kind::version_withdrawn);
    REQUIRE(with_pin("x@v1").error().kind == error_kind::session_invalid);
    REQUIRE(with_pin("m").error().kind == error_kind::session_invalid);
}
