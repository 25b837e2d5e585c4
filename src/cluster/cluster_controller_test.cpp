#include "cluster/cluster_controller.hpp"

#include "fakes/instance_list/instance_list.hpp"
#include "fakes/object_api/fake_object_api.hpp"

#include <catch2/catch.hpp>
#include <deque>
#include <nlohmann/json.hpp>

using namespace marjorambeam;
using std::chrono::milliseconds;

namespace
{

// A few daemons, the store and the instance list on one loop.
class fleet
{
public:
    struct daemon
    {
        cluster_state state;
        std::unique_ptr<http_client> http;
        std::unique_ptr<object_store> store;
        std::unique_ptr<frame_listener> listener;
        std::vector<std::shared_ptr<frame_connection>> connections;
        std::unique_ptr<cluster_controller> controller;
        std::vector<std::uint64_t> generations; // as they came into force
    };

    ev::dynamic_loop loop;
    fake_object_api api{loop, {}};
    fake_instance_list list{loop, "127.0.0.1:0"};
    http_client http{loop};
    object_store store{http, api.url()};
    cluster_settings settings;
    std::deque<daemon> daemons;

    fleet()
    {
        settings.instance_list_url = list.url();
        settings.list_period = milliseconds(50);
        settings.watch_timeout = milliseconds(200);
        settings.tick_period = milliseconds(10);
        settings.sync.digest_period = milliseconds(50);
        settings.sync.first_read_retry = milliseconds(100);
    }

    daemon& start()
    {
        daemon& d = daemons.emplace_back();
        d.http = std::make_unique<http_client>(loop);
        d.store = std::make_unique<object_store>(*d.http, api.url());
        d.listener = std::make_unique<frame_listener>(
            loop, "127.0.0.1:0",
            [&d](std::shared_ptr<frame_connection> const& c)
            {
                d.connections.push_back(c);
                c->on_message([&d, weak = std::weak_ptr(c)](message&& m)
                              { d.controller->handle(weak.lock(), m); });
            });
        d.state.identity = {
            .instance = "d" + std::to_string(daemons.size()),
            .availability_zone = "hitra",
            .address = d.listener->address(),
            .self = daemons.size()};
        d.controller = std::make_unique<cluster_controller>(
            loop, d.state, *d.http, *d.store, settings);
        d.controller->on_config_change(
            [&d] { d.generations.push_back(d.state.config->number); });
        list.put(
            d.state.identity.instance,
            {.zone = "hitra", .address = d.state.identity.address});
        return d;
    }

    // Runs the loop until the condition holds, at most `limit`.
    bool run_until(std::function<bool()> const& condition, duration limit)
    {
        steady_time const end = steady_now() + limit;
        loop_timer check(
            loop,
            [&]
            {
                if (condition() || steady_now() >= end)
                    loop.break_loop(ev::ALL);
            });
        check.start_every(milliseconds(2));
        loop.run();
        return condition();
    }

    bool all(std::function<bool(daemon const&)> const& condition) const
    {
        return std::all_of(daemons.begin(), daemons.end(), condition);
    }

    static generation change(std::uint64_t number)
    {
        generation g{.number = number, .edit_id = "e", .author = "test"};
        g.edits.push_back(
            {document_kind::availability_zone, "hitra",
             number % 2 == 0 ? R"({"region":"north","state":"out"})"
                             : R"({"region":"north","state":"in"})"});
        return g;
    }

    // Creates a generation; runs `then` as soon as it is accepted.
    void accept(std::uint64_t number, std::function<void()> then)
    {
        store.create(
            "generations", generation_name(number), to_json(change(number)),
            [then = std::move(then)](result<stored_object> const& r)
            {
                REQUIRE(r);
                then();
            });
    }
};

// From the requirement: in force everywhere within 7 s of acceptance.
constexpr duration in_force_limit = std::chrono::seconds(7);

} // namespace

// Guards against a change that is accepted and then lost because the store
// went down before all daemons had it, and against a daemon that can't start
// without the store.
TEST_CASE("an accepted change reaches all daemons though the store goes down")
{
    fleet f;
    for (int i = 0; i < 6; ++i)
        f.start();
    REQUIRE(f.run_until(
        [&]
        {
            return f.all(
                [](auto const& d)
                { return d.state.is_ready() && d.state.peers.size() == 5; });
        },
        in_force_limit));
    REQUIRE(f.run_until(
        [&] { return f.api.counts().watches >= 3; }, in_force_limit));
    f.accept(1, [&] { f.api.set_faults({.down = true}); });
    bool const is_everywhere = f.run_until(
        [&] {
            return f.all([](auto const& d)
                         { return d.state.config->number == 1; });
        },
        in_force_limit);
    CHECK(is_everywhere);
    CHECK(f.api.faults().down);

    fleet::daemon& late = f.start();
    CHECK(f.run_until([&] { return late.state.is_ready(); }, in_force_limit));
    CHECK(late.state.config->number == 1);
    CHECK(late.state.config->zones.count("hitra") == 1);
    CHECK(late.state.store_seen == steady_time{});
}

// Guards against generations that go back or are skipped while the store
// comes and goes, and against watches by every daemon.
TEST_CASE("generations only advance through outages of the store")
{
    fleet f;
    for (int i = 0; i < 5; ++i)
        f.start();
    REQUIRE(f.run_until(
        [&]
        {
            return f.all(
                [](auto const& d)
                { return d.state.is_ready() && d.state.peers.size() == 4; });
        },
        in_force_limit));
    for (std::uint64_t n = 1; n <= 6; ++n)
    {
        bool is_accepted = false;
        f.api.set_faults({});
        f.accept(
            n,
            [&]
            {
                is_accepted = true;
                f.api.set_faults({.down = n % 2 == 0});
            });
        REQUIRE(f.run_until([&] { return is_accepted; }, in_force_limit));
    }
    // The last change was accepted while the watchers waited to retry, so
    // nobody can know of it before the store is back.
    f.api.set_faults({});
    CHECK(f.run_until(
        [&] {
            return f.all([](auto const& d)
                         { return d.state.config->number == 6; });
        },
        in_force_limit));
    for (fleet::daemon const& d : f.daemons)
    {
        CHECK(std::is_sorted(d.generations.begin(), d.generations.end()));
        CHECK(d.state.counters.counter("generations_applied_total") == 6);
        auto const status =
            nlohmann::json::parse(d.controller->status_json(steady_now()));
        CHECK(status["generation"] == 6);
        CHECK(status["peers"].size() == 4);
    }
    auto const is_watcher = [](fleet::daemon const& d)
    {
        return nlohmann::json::parse(d.controller->status_json(
                   steady_now()))["is_store_watcher"] == true;
    };
    // The region of the zone changed with generation 1, and with it the hash.
    CHECK(f.run_until(
        [&] {
            return std::count_if(
                       f.daemons.begin(), f.daemons.end(), is_watcher) == 3;
        },
        in_force_limit));
}

// Guards against a start that reads every generation ever made, and against a
// checkpoint that nobody writes.
TEST_CASE("a watcher stores the checkpoint and later daemons start from it")
{
    constexpr std::uint64_t count = 450;
    fleet f;
    for (std::uint64_t n = 1; n <= count; ++n)
    {
        REQUIRE(f.api.data().create(
            "generations", generation_name(n), to_json(fleet::change(n))));
    }
    f.start();
    auto const latest = [&]
    { return f.api.data().get("checkpoints", "latest"); };
    REQUIRE(f.run_until([&] { return latest().has_value(); }, in_force_limit));
    CHECK(latest()->value == generation_name(400));
    fleet::daemon& second = f.start();
    CHECK(f.run_until(
        [&] { return second.state.config->number == count; }, in_force_limit));
    CHECK(second.generations.front() == 400);
    CHECK(
        to_checkpoint(*second.state.config) ==
        to_checkpoint(*f.daemons.front().state.config));
}

// Guards against an isolated daemon that forgets its peers after a while and
// then takes work again as if it were alone.
TEST_CASE("an isolated daemon stays isolated until it hears from somebody")
{
    fleet f;
    f.settings.instance_list_url.clear();
    f.settings.sync.isolation_limit = milliseconds(200);
    f.settings.sync.members.unlisted_lifetime = milliseconds(400);
    fleet::daemon& d = f.start();
    REQUIRE(f.run_until([&] { return d.state.is_ready(); }, in_force_limit));
    f.api.set_faults({.down = true});
    digest const word{.sender = 9, .instance = "x", .address = "127.0.0.1:9"};
    CHECK(d.controller->handle(nullptr, word));
    steady_time const start = steady_now();
    REQUIRE(f.run_until([&] { return !d.state.is_ready(); }, in_force_limit));
    CHECK(steady_now() - start >= milliseconds(200));
    CHECK_FALSE(
        f.run_until([&] { return d.state.is_ready(); }, milliseconds(800)));
    CHECK(d.controller->handle(nullptr, word));
    CHECK(f.run_until([&] { return d.state.is_ready(); }, in_force_limit));
}

// Guards against an empty answer of a starting daemon being taken for "there
// is no configuration", so that a fleet restarted in an outage runs without
// contracts.
TEST_CASE("daemons that all start without the store do not become ready")
{
    fleet f;
    f.api.set_faults({.down = true});
    for (int i = 0; i < 3; ++i)
        f.start();
    CHECK_FALSE(f.run_until(
        [&]
        { return !f.all([](auto const& d) { return !d.state.is_ready(); }); },
        std::chrono::seconds(1)));
    f.api.set_faults({});
    CHECK(f.run_until(
        [&] { return f.all([](auto const& d) { return d.state.is_ready(); }); },
        in_force_limit));
}

// Guards against an entry that takes itself for the only one: it would grant
// itself whole allowances and pin sessions that others hold, or refuse with
// no_upstream what agents in the list could run.
TEST_CASE("a daemon is not ready before it has read the instance list")
{
    fleet f;
    f.list.set_faults(duration{0}, true);
    fleet::daemon& d = f.start();
    REQUIRE(f.run_until([&] { return d.state.has_config; }, in_force_limit));
    CHECK_FALSE(d.state.is_ready());
    f.list.set_faults(duration{0}, false);
    CHECK(f.run_until([&] { return d.state.is_ready(); }, in_force_limit));
}
