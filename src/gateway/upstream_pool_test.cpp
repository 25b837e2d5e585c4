#include "gateway/upstream_pool.hpp"

#include "event_loop/event_loop.hpp"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

using namespace marjorambeam;
using std::chrono::seconds;

namespace
{

// A pool with idle connections to one upstream.
struct pool_world
{
    pool_world()
        : listener(
              loop, "127.0.0.1:0", {},
              [this](std::shared_ptr<tcp_stream> s)
              { accepted.push_back(std::move(s)); })
        , pool(loop, counters)
        , upstream(std::make_shared<upstream_state>())
    {
        upstream->info.id = "u1";
        upstream->info.address = "127.0.0.1:" + std::to_string(listener.port());
    }

    // Opens one more connection that is kept idle, and returns its number.
    std::uint64_t open_idle()
    {
        std::shared_ptr<upstream_connection> opened;
        pool.probe(
            upstream,
            [&](std::shared_ptr<upstream_connection> const& c)
            {
                opened = c;
                loop.break_loop(ev::ONE);
            });
        loop.run();
        return opened->number();
    }

    ev::dynamic_loop loop;
    std::vector<std::shared_ptr<tcp_stream>> accepted;
    tcp_listener listener;
    metrics counters;
    upstream_pool pool;
    std::shared_ptr<upstream_state> upstream;
};

} // namespace

// Guards against a request that returns on the connection of its refusal, whose
// second copy would be taken for the answer; and against one that closes sound
// connections for it, as a full upstream resets new ones.
TEST_CASE("A request takes another idle connection than those that carried it")
{
    pool_world w;
    std::uint64_t const older = w.open_idle();
    std::array const newer{w.open_idle()};
    bool const is_repeatable = GENERATE(true, false);
    steady_time const now = boot_now();
    double const opened = w.counters.counter("upstream_connections_total");

    auto const c = w.pool.take(
        w.upstream, {.is_repeatable = is_repeatable, .carried_by = newer}, now);
    REQUIRE(c);
    CHECK((*c)->number() == older);
    CHECK(
        w.counters.counter(
            "connections_passed_over_total", "carried_attempt") == 1);
    // The one that was passed over serves other requests.
    auto const other =
        w.pool.take(w.upstream, {.is_repeatable = is_repeatable}, now);
    REQUIRE(other);
    CHECK((*other)->number() == newer[0]);
    CHECK(w.counters.counter("upstream_connections_total") == opened);
}

// Guards against a request that can't be sent because all idle connections have
// carried it.
TEST_CASE("A connection is opened if all idle ones have carried the request")
{
    pool_world w;
    std::array const all{w.open_idle(), w.open_idle()};
    auto const c = w.pool.take(w.upstream, {.carried_by = all}, boot_now());
    REQUIRE(c);
    CHECK(std::find(all.begin(), all.end(), (*c)->number()) == all.end());
    CHECK(w.pool.idle() == all.size());
}

// Guards against work that is sent on a connection that its upstream may be
// closing, because newer ones were passed over.
TEST_CASE("Passing over a connection keeps to the limits on idle time")
{
    pool_world w;
    w.open_idle();
    std::array const newer{w.open_idle()};
    auto const c =
        w.pool.take(w.upstream, {.carried_by = newer}, boot_now() + seconds(2));
    REQUIRE(c);
    CHECK_FALSE((*c)->is_connected()); // a new one
    CHECK(w.pool.idle() == 2);
}
