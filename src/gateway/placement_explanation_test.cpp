#include "gateway/placement_explanation.hpp"

#include "gateway/placement_page.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <string>

using namespace marjorambeam;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr steady_time now{std::chrono::hours(1)};

gateway_route make_route(std::string const& name, std::string const& prefix)
{
    gateway_route r;
    r.name = name;
    r.host = "h";
    r.prefix = prefix;
    r.kind = route_kind::idempotent;
    r.timeout = seconds(4);
    r.target = milliseconds(400);
    r.priority = 3;
    r.services = {{name, 1}};
    return r;
}

// A gateway with the plain service "read" and the engines "pool".
struct world
{
    world()
    {
        auto c = std::make_shared<gateway_config>();
        c->version = 7;
        add_route(*c, make_route("read", "/i/"));
        gateway_route pool = make_route("pool", "/s/");
        pool.models = {"small", "large"};
        add_route(*c, std::move(pool));
        c->services = {
            {.name = "read", .cold_per_second = 1},
            {.name = "pool", .is_engine = true}};
        c->requires_keys = true;
        c->organisations = {{.name = "o", .priority = 1}};
        c->organisation_by_key = {{"k", 0}};
        s.config = c;
    }

    upstream_state&
    add(std::string const& id, std::string const& service = "read",
        std::string const& version = "v1")
    {
        auto u = std::make_shared<upstream_state>();
        u->info = {
            .id = id,
            .service = service,
            .address = "10.0.0.1:80",
            .zone = "z1",
            .version = version,
            .slots = 8};
        put_upstream(s.upstreams, u);
        return *u;
    }
    // Makes the service time known: 60 ms.
    void learn(upstream_state& u)
    {
        s.settings.overload_control = overload_control_mode::on;
        for (int i = 0; i < 5; ++i)
            record_service_time(
                u.room, s.service_times_by_name["read"],
                {.took = milliseconds(60), .slots = 8}, now);
    }
    placement_explanation
    explain(std::string const& target = "/i/x", std::string const& key = "k")
    {
        gateway_request r;
        r.attempt_id = "where-1";
        r.target = target;
        r.host = "h";
        r.key = key;
        r.prompt_tokens = 2000;
        return explain_placement(s, queued, r, now, 0);
    }
    selection_verdict verdict_of(std::string const& id)
    {
        placement_explanation const e = explain();
        for (explained_upstream const& it : e.upstreams)
        {
            if (it.id == id)
                return it.verdict;
        }
        FAIL("not listed: " << id);
        return {};
    }

    gateway_state s{
        .settings = {.instance = "g1", .zone = "z1"},
        .has_upstreams = true,
        .gateways = {"g1"}};
    queued_by_service queued;
};

// All that a selection, a refusal or a dispatch changes.
std::string fingerprint(gateway_state& s)
{
    std::ostringstream out;
    std::istringstream counters(s.counters.render());
    for (std::string line; std::getline(counters, line);)
    {
        if (line.find("process_cpu_seconds") == std::string::npos)
            out << line << ' ';
    }
    out << s.limited_refusals.peek(now) << ' ' << s.attempts.size() << ' '
        << s.sessions.by_session.size() << ' ' << s.service_times_by_name.size()
        << ' ' << s.start_errors.size() << ' ' << s.prompt_mixes.size() << ' '
        << s.completions.updates << ' ' << s.admissions.refused << ' '
        << s.admissions.refused_with_room << ' '
        << s.overload.logged_services.size() << ' '
        << s.upstreams.pending_samples.size();
    for (auto const& [name, places] : s.returns.services)
    {
        out << ' ' << name;
        for (priority_places const& it : places)
            out << ' ' << it.next.time_since_epoch().count() << ' '
                << it.next_early.time_since_epoch().count();
    }
    for (auto const& [id, n] : s.upstreams.notices)
        out << ' ' << id << ' ' << has_token(n.gate, now) << ' '
            << next_token_at(n.gate, now).time_since_epoch().count();
    for (auto const& [id, u] : s.upstreams.by_id)
        out << ' ' << id << ' ' << u->requests << ' ' << u->work << ' '
            << u->cold_sends.peek(now - seconds(10)) << ' '
            << u->room.full_until.time_since_epoch().count() << ' '
            << u->room.sent_at.time_since_epoch().count();
    for (auto const& [service, it] : s.rollouts)
        out << ' ' << service << ' ' << it.canary.requests << ' '
            << it.canary.without_session;
    for (auto const& [key, it] : s.quarantine.entries)
        out << ' ' << key.part << ' ' << it.trial_until.has_value();
    return out.str();
}

// Full upstreams, so that a request is refused by the estimate.
void fill(world& w)
{
    for (char const* id : {"a", "b"})
    {
        upstream_state& u = w.add(id);
        w.learn(u);
        u.requests = 20'000;
    }
}

http_request query(std::map<std::string, std::string, std::less<>> parameters)
{
    return {.method = "GET", .path = "/where", .query = std::move(parameters)};
}

} // namespace

// Guards against an exclusion that has no name, or that of another reason.
TEST_CASE("Each reason for which an upstream is excluded is named")
{
    world w;
    w.add("a");
    upstream_state& u = w.add("b");
    auto notice = [&]() -> upstream_notice&
    { return w.s.upstreams.notices["b"]; };
    using verdict = selection_verdict;
    verdict expected = verdict::more_costly;
    SECTION("none")
    {
        u.requests = 3;
    }
    SECTION("draining by its entry")
    {
        u.info.is_draining = true;
        expected = verdict::draining;
    }
    SECTION("draining by its own notice")
    {
        notice().is_draining = true;
        expected = verdict::draining;
    }
    SECTION("evacuated zone")
    {
        u.info.zone = "z2";
        w.s.upstreams.evacuated_zones.insert("z2");
        expected = verdict::evacuated;
    }
    SECTION("paused")
    {
        notice().resumes_at = now + seconds(1);
        expected = verdict::paused;
    }
    SECTION("ramping after a pause")
    {
        u.requests = 8;
        notice().resumes_at = now - resume_ramp / 4;
        expected = verdict::ramping;
    }
    SECTION("request limit")
    {
        notice().limit.per_second = 5;
        expected = verdict::limited;
    }
    SECTION("cold")
    {
        u.cold_until = now + seconds(1);
        expected = verdict::cold;
    }
    SECTION("unreachable")
    {
        u.ejected_until = now + seconds(1);
        expected = verdict::unreachable;
    }
    SECTION("full")
    {
        w.learn(u);
        u.requests = 500;
        expected = verdict::full;
    }
    SECTION("unhealthy")
    {
        for (int i = 0; i < 5; ++i)
            record_outcome(u, true, now);
        expected = verdict::unhealthy;
    }
    SECTION("other version")
    {
        u.info.version = "v2";
        w.s.default_versions["read"] = "v1";
        expected = verdict::other_version;
    }
    CHECK(w.verdict_of("b") == expected);
    CHECK(w.verdict_of("a") == verdict::chosen);
    CHECK(w.explain().verdicts[to_string(expected)] == 1);
}

// Guards against engines that were left out of the choice and are reported as
// considered.
TEST_CASE("Engines that were not considered are reported as such")
{
    world w;
    for (char c = 'a'; c <= 'z'; ++c)
        w.add(std::string(1, c), "pool");
    placement_explanation e = w.explain("/s/x");
    CHECK(e.verdicts["chosen"] == 1);
    CHECK(e.verdicts["more_costly"] == 3);
    CHECK(e.verdicts["not_sampled"] == 22);
    CHECK(e.upstreams.front().id == e.chosen);
    CHECK(e.upstreams.front().expected);
    CHECK_FALSE(e.upstreams.back().expected);
    CHECK(e.model == "small");
    w.s.settings.overload_control = overload_control_mode::on;
    for (int i = 0; i < 200; ++i)
        record_prompt(w.s.prompt_mixes["pool"], i % 2 ? 500 : 20'000, now);
    CHECK(w.explain("/s/x").verdicts["other_prompts"] > 0);
}

// Guards against an explanation of another decision than that about requests.
TEST_CASE("The explanation agrees with the selection of an upstream")
{
    std::mt19937_64 random(20261206);
    auto one_in = [&](unsigned n) { return random() % n == 0; };
    int sent = 0;
    for (int round = 0; round < 400; ++round)
    {
        world w;
        bool const is_engine = one_in(2);
        std::string const service = is_engine ? "pool" : "read";
        auto const n = 1 + random() % 12;
        for (std::size_t i = 0; i < n; ++i)
        {
            upstream_state& u = w.add("u" + std::to_string(i), service);
            u.requests = static_cast<std::uint32_t>(random() % 20);
            u.work = static_cast<double>(random() % 50'000);
            u.info.is_draining = one_in(4);
            if (one_in(4))
                u.ejected_until = now + seconds(1);
            if (one_in(4))
                u.cold_until = now + seconds(1);
            if (one_in(3))
                w.s.upstreams.notices[u.info.id].resumes_at = now + seconds(1);
            if (one_in(4))
                w.s.upstreams.notices[u.info.id].limit.per_second = 1;
            if (one_in(4))
                record_outcome(u, true, now);
        }
        gateway_request r;
        r.attempt_id = "where-1";
        upstream_query q;
        q.service = service;
        q.zone = "z1";
        q.work = {.prefill = 2000};
        q.seed = selection_seed(r, 0);
        q.is_engine = is_engine;
        q.cold_share = [](void const* s, upstream_state const& u)
        { return cold_share_of(*static_cast<gateway_state const*>(s), u); };
        q.context = &w.s;
        upstream_selection const c = select_upstream(w.s.upstreams, q, now);
        placement_explanation e = w.explain(is_engine ? "/s/x" : "/i/x");
        std::string const chosen = c.chosen ? c.chosen->info.id : "";
        REQUIRE(e.chosen == chosen);
        REQUIRE(e.verdicts["chosen"] == (c.chosen ? 1 : 0));
        REQUIRE(e.listed == n);
        REQUIRE(e.upstreams.size() == n);
        REQUIRE((e.outcome == placement_outcome::sent) == !chosen.empty());
        if (c.chosen)
            ++sent;
        else if (e.refusal)
            REQUIRE(*e.refusal == refusal_for(to_error_kind(c.failure)));
    }
    CHECK(sent > 100);
    CHECK(sent < 390);
}

// Guards against a query that uses up a place, a token, a count or a session.
TEST_CASE("An explanation changes nothing")
{
    world w;
    std::string target = "/i/x";
    SECTION("refused by the estimate")
    {
        fill(w);
        place_for(
            w.s.returns,
            {.service = "read", .rate = 10, .remaining = seconds(4)}, now);
    }
    SECTION("cold with sends that have expired")
    {
        upstream_state& u = w.add("a");
        u.cold_sends.add(now - seconds(10));
        u.cold_until = now + seconds(1);
    }
    SECTION("limited")
    {
        w.add("a");
        w.s.upstreams.notices["a"].limit.per_second = 5;
        w.queued["read"].limit_waiters = 3;
    }
    SECTION("an engine under overload control, with a rollout")
    {
        w.s.settings.overload_control = overload_control_mode::on;
        w.s.rollouts["pool"].order = {.service = "pool", .target = "v2"};
        w.add("a", "pool");
        w.add("b", "pool", "v2");
        target = "/s/x";
    }
    std::string const before = fingerprint(w.s);
    placement_explanation const first = w.explain(target);
    placement_explanation const second = w.explain(target);
    CHECK(fingerprint(w.s) == before);
    CHECK(to_json(first) == to_json(second));
}

// Guards against a refusal without its reason and its time to come back.
TEST_CASE("A refusal by the estimate states the time to come back")
{
    world w;
    fill(w);
    placement_explanation const e = w.explain();
    CHECK(e.outcome == placement_outcome::refused);
    CHECK(e.refusal == error_kind::queue_full);
    CHECK(e.reason == "cannot_end");
    CHECK(e.retry_after > milliseconds(500));
    CHECK(e.upstreams.front().service_time);
}

// Guards against a refusal where a real request would wait.
TEST_CASE("Where an upstream resumes in time, the request waits")
{
    world w;
    w.add("a");
    w.s.upstreams.notices["a"].resumes_at = now + milliseconds(100);
    CHECK(w.explain().outcome == placement_outcome::waits);
    CHECK(w.explain().max_wait == milliseconds(200));
    w.s.upstreams.notices["a"].resumes_at = now + seconds(2);
    CHECK(w.explain().refusal == error_kind::upstream_paused);
    CHECK(w.explain().retry_after > seconds(2));
}

// Guards against guesses about routes, keys and a gateway that starts.
TEST_CASE("Unknown routes and keys, and a gateway that starts, are reported")
{
    world w;
    w.add("a");
    CHECK(w.explain().organisation == "o");
    CHECK(w.explain().priority == 1);
    CHECK(w.explain("/nowhere/x").refusal == error_kind::not_found);
    CHECK(w.explain("/i/x", "wrong").refusal == error_kind::unauthorized);
    CHECK(w.explain("/i/x", "wrong").route == "read");
    CHECK(w.explain("/i/x", "wrong").service.empty());
    w.s.settings.key_bound = seconds(5);
    CHECK(w.explain().refusal == error_kind::isolated);
    w.s.config.reset();
    CHECK(w.explain().refusal == error_kind::not_ready);
    w.s.started = now - milliseconds(100);
    CHECK(w.explain().outcome == placement_outcome::held);
}

// Guards against a quarantined part that is reported as sent.
TEST_CASE("A quarantined part is refused, unless a trial is due")
{
    world w;
    w.add("a", "pool");
    quarantine_key const key{.part = part_key("deadly")};
    w.s.quarantine.entries[key].document.key = key;
    http_request const q = query(
        {{"route", "/s/x"},
         {"host", "h"},
         {"prompt-tokens", "90"},
         {"shared-part", "deadly:60"}});
    gateway_request r = *parse_placement_query(q, "where-1");
    REQUIRE(r.prompt.size() == 2);
    CHECK(r.prompt[0].tokens == 60);
    r.key = "k";
    CHECK(
        explain_placement(w.s, {}, r, now, 0).refusal ==
        error_kind::request_quarantined);
    w.s.quarantine.entries[key].trial_until = now + seconds(1);
    CHECK(explain_placement(w.s, {}, r, now, 0).chosen == "a");
}

// Guards against a query that is answered though it can't be meant, and a key
// in a URL, which proxies log.
TEST_CASE("The page refuses what it can't read, and repeats no key")
{
    world w;
    w.add("a");
    auto status = [&](http_request const& q)
    { return make_placement_page(w.s, {}, q, now, 0).status; };
    CHECK(status(query({{"route", "/i/x"}})) == 200);
    CHECK(status(query({})) == 400);
    CHECK(status(query({{"route", "x"}})) == 400);
    CHECK(status(query({{"route", "/i/x"}, {"color", "red"}})) == 400);
    CHECK(status(query({{"route", "/i/x"}, {"key", "k"}})) == 400);
    CHECK(status(query({{"route", "/i/x"}, {"prompt-tokens", "-1"}})) == 400);
    CHECK(status(query({{"route", "/i/x"}, {"output-tokens", "1e9"}})) == 400);

    http_request q = query({{"route", "/i/x"}});
    q.headers["authorization"] = "Bearer secret-81f";
    placement_page const page = make_placement_page(w.s, {}, q, now, 0);
    CHECK(page.body.find("secret-81f") == std::string::npos);
    CHECK(nlohmann::json::parse(page.body)["refusal"] == "unauthorized");
    q.headers["authorization"] = "Bearer k";
    CHECK(
        nlohmann::json::parse(
            make_placement_page(w.s, {}, q, now, 0).body)["chosen"] == "a");

    auto c = std::make_shared<gateway_config>(*w.s.config);
    gateway_route other = make_route("read", "/i/");
    other.host = "h2";
    add_route(*c, std::move(other));
    w.s.config = c;
    CHECK(status(query({{"route", "/i/x"}})) == 400);
    CHECK(status(query({{"route", "/i/x"}, {"host", "h2"}})) == 200);
}

// Guards against a page of megabytes, which holds up the loop.
TEST_CASE("A large service is listed in part")
{
    world w;
    for (int i = 0; i < 2300; ++i)
        w.add("u" + std::to_string(i), "pool");
    placement_explanation const e = w.explain("/s/x");
    CHECK(e.listed == 2300);
    CHECK(e.upstreams.size() == max_explained_upstreams);
    CHECK(e.upstreams.front().id == e.chosen);
    CHECK(to_json(e).size() < 32'000);
}
