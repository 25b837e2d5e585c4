#include "gateway/limit_sharing.hpp"

#include "limit_fleet/limit_fleet_model.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace marjorambeam;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr duration window = seconds(4);
// Time to the first use of a share in the largest fleet: twice its live window,
// as gateways that start together hear each other at different times.
constexpr duration settling = seconds(20);

// The operators' bound on the requests in a window.
std::size_t bound(double per_second)
{
    constexpr double factor = 1.5;
    constexpr double tolerance = 5;
    return static_cast<std::size_t>(
        per_second * factor * to_seconds(window) + tolerance);
}

// What the upstream names for a window, and a few requests that were saved up.
std::size_t named(double per_second)
{
    constexpr double saved_up = 2;
    return static_cast<std::size_t>(per_second * to_seconds(window) + saved_up);
}

// A fleet that has run for a while and then hears of a limit.
limit_fleet_model limited_fleet(limit_fleet_settings const& s, double limit)
{
    limit_fleet_model m(s);
    m.run_for(settling);
    m.set_limit(limit);
    m.run_for(seconds(3));
    return m;
}

} // namespace

// Guards against an upstream that gets the limit from each gateway, or from
// none of them, whatever the size of the fleet.
TEST_CASE("A limit is a total over all gateways and is used")
{
    auto const gateways = GENERATE(
        std::size_t{1}, std::size_t{4}, std::size_t{68}, std::size_t{350});
    auto const limit = GENERATE(1.0, 20.0);
    CAPTURE(gateways, limit);
    limit_fleet_model m = limited_fleet(
        {.gateways = gateways, .demand_per_second = 3 * limit + 20}, limit);
    CHECK(m.all_know());
    steady_time const from = m.now();
    m.run_for(seconds(20));
    CHECK(m.max_arrivals(window, from) <= bound(limit));
    CHECK(m.arrival_rate(from) <= limit * 1.05 + 0.1);
    CHECK(m.arrival_rate(from) >= limit * 0.8);
}

// Guards against a limit that goes unused because the gateway that has the
// share gets no requests for it.
TEST_CASE("Gateways without a share use the limit too")
{
    // One request in twelve seconds at each gateway.
    limit_fleet_model m =
        limited_fleet({.gateways = 350, .demand_per_second = 30}, 1);
    steady_time const from = m.now();
    std::size_t const messages = m.claim_messages();
    m.run_for(seconds(20));
    CHECK(m.arrival_rate(from) >= 0.8);
    CHECK(m.max_arrivals(window, from) <= bound(1));
    // Denied gateways do not ask for each of their requests.
    constexpr std::size_t most_messages = 1200; // of 600 requests
    CHECK(m.claim_messages() - messages <= most_messages);
}

// Guards against two gateways that both use a share around a restart of the
// one that has it.
TEST_CASE("Restarts of the sharer in series keep to the limit")
{
    auto const seed = GENERATE(range(std::uint64_t{1}, std::uint64_t{11}));
    limit_fleet_model m = limited_fleet(
        {.gateways = 4, .demand_per_second = 40, .loss = 0.03, .seed = seed},
        1);
    steady_time const from = m.now();
    for (int i = 0; i < 6; ++i)
    {
        m.restart_gateway(m.first_sharer(), milliseconds(200 + 700 * (i % 3)));
        m.run_for(milliseconds(500 + 900 * (i % 4)));
    }
    m.run_for(seconds(5));
    CAPTURE(seed);
    CHECK(m.max_arrivals(window, from) <= named(1));
    steady_time const after = m.now();
    m.run_for(seconds(15));
    CHECK(m.arrival_rate(after) >= 0.8);
}

// Guards against a gateway that wakes up and goes on with a share that another
// one has taken over.
TEST_CASE("A frozen sharer does not use its old share")
{
    auto const time = GENERATE(300, 700, 1600, 2500, 5000);
    limit_fleet_model m =
        limited_fleet({.gateways = 4, .demand_per_second = 40}, 1);
    steady_time const from = m.now();
    for (int i = 0; i < 4; ++i)
    {
        m.freeze_gateway(m.first_sharer(), milliseconds(time));
        m.run_for(milliseconds(time) + seconds(i));
    }
    CAPTURE(time);
    CHECK(m.max_arrivals(window, from) <= named(1));
}

// Guards against both sides of a partition using the whole limit.
TEST_CASE("The two sides of a partition add up to the limit")
{
    auto const limit = GENERATE(1.0, 12.0);
    limit_fleet_model m =
        limited_fleet({.gateways = 8, .demand_per_second = 120}, limit);
    m.set_partition({0, 1, 2});
    m.run_for(seconds(5));
    steady_time const from = m.now();
    m.run_for(seconds(20));
    CHECK(m.max_arrivals(window, from) <= bound(limit));
    CHECK(m.arrival_rate(from) <= limit * 1.05 + 0.1);
    m.set_partition({});
    m.run_for(seconds(10));
    CHECK(m.max_arrivals(window, from) <= bound(limit));
}

// Guards against gateways that join and use a share before the others have
// given it up.
TEST_CASE("Gateways that join keep to the limit")
{
    limit_fleet_model m =
        limited_fleet({.gateways = 2, .demand_per_second = 60}, 2);
    steady_time const from = m.now();
    for (int i = 0; i < 6; ++i)
    {
        m.add_gateway();
        m.run_for(milliseconds(700 + 300 * i));
    }
    m.run_for(seconds(5));
    CHECK(m.max_arrivals(window, from) <= named(2));
    CHECK(m.all_know());
}

// Guards against a change of the limit that some gateways do not follow, and
// against reports that arrive late and restore what held before.
TEST_CASE("Limits that change and end are followed whatever the delays")
{
    auto const max_delay = GENERATE(2, 50, 300, 2000);
    limit_fleet_model m = limited_fleet(
        {.gateways = 6,
         .demand_per_second = 60,
         .max_delay = milliseconds(max_delay),
         .loss = 0.03},
        8);
    CAPTURE(max_delay);
    for (std::optional<double> const next :
         {std::optional(1.0), std::optional(5.5), std::optional<double>(),
          std::optional(2.0), std::optional<double>()})
    {
        m.set_limit(next);
        m.run_for(seconds(8));
        CHECK(m.all_know());
        steady_time const from = m.now();
        m.run_for(seconds(6));
        if (next)
            CHECK(m.max_arrivals(window, from) <= bound(*next));
        else
            CHECK(m.arrival_rate(from) >= 50);
    }
}

// Guards against an upstream that names zero for a while and never gets a
// request again.
TEST_CASE("A limit of zero lets requests through that find its end")
{
    limit_fleet_model m =
        limited_fleet({.gateways = 4, .demand_per_second = 40}, 0);
    steady_time const from = m.now();
    m.run_for(seconds(40));
    CHECK(m.max_arrivals(window, from) <= bound(0));
    m.set_limit(std::nullopt);
    m.run_for(seconds(15));
    CHECK(m.all_know());
}

// Guards against a limit that binds the next incarnation of an upstream.
TEST_CASE("An upstream that has restarted is not limited")
{
    limit_fleet_model m =
        limited_fleet({.gateways = 4, .demand_per_second = 40}, 1);
    m.restart_upstream();
    m.run_for(seconds(1));
    steady_time const from = m.now();
    m.run_for(seconds(5));
    CHECK(m.arrival_rate(from) >= 35);
}

// Guards against a limit of which a part goes unused for an hour after a
// planned stop, as if the gateway were beyond a partition.
TEST_CASE("A gateway that has stopped leaves its part of a limit to the others")
{
    steady_time now{seconds(1000)};
    gateway_state s;
    s.settings.instance = "gateway-0";
    s.started = now;
    gateway_peer& peer = s.peers["gateway-1"];
    peer.last_received_at = now;
    record_limit(s.upstreams.notices, "upstream", 1, 1, now, now);
    refresh_limit_shares(s, now);
    CHECK(s.limit_view.possible == 2);
    peer.is_stopping = true;
    now += seconds(1);
    refresh_limit_shares(s, now);
    CHECK(s.limit_view.possible == 1);
    now += seconds(60);
    refresh_limit_shares(s, now);
    CHECK(s.limit_view.possible == 1);
    CHECK(s.upstreams.notices.at("upstream").gate.share_per_second == 1);
    peer.is_stopping = false; // ended without notice
    refresh_limit_shares(s, now);
    CHECK(s.limit_view.possible == 2);
}

// Guards against limits that are never reported because others come first.
TEST_CASE("All limits are reported, in as many messages as they need")
{
    constexpr std::size_t upstreams = 2 * max_reported_limits + 1;
    constexpr steady_time now{seconds(1000)};
    gateway_state s;
    for (std::size_t i = 0; i < upstreams; ++i)
        record_limit(
            s.upstreams.notices, "engine-" + std::to_string(i), 1, 1, now, now);
    std::size_t n = 0;
    for (limit_report const& it : make_limit_reports(s, now))
        n += it.limits.size();
    CHECK(n == upstreams);
}

// Guards against a log line for each limited upstream when one share changes.
TEST_CASE("Only the upstreams whose share changed are named")
{
    constexpr steady_time now{seconds(1000)};
    gateway_state s;
    s.settings.instance = "gateway-0";
    record_limit(s.upstreams.notices, "a", 1, 1, now, now);
    CHECK(refresh_limit_shares(s, now) == std::vector<std::string>{"a"});
    record_limit(s.upstreams.notices, "b", 1, 1, now, now);
    CHECK(refresh_limit_shares(s, now) == std::vector<std::string>{"b"});
    CHECK(refresh_limit_shares(s, now).empty());
}

// Guards against shares that add up to more than the limit, or to far less.
TEST_CASE("Shares add up to the limit")
{
    bool const holds = rc::check(
        []
        {
            auto const n = *rc::gen::inRange<std::size_t>(1, 60);
            auto const lost = *rc::gen::inRange<std::size_t>(0, 20);
            double const limit = *rc::gen::inRange(1, 2000) / 10.0;
            std::vector<std::string> names;
            for (std::size_t i = 0; i < n; ++i)
                names.push_back("gateway-" + std::to_string(i));
            sharer_view const view{.live = names, .possible = n + lost};
            auto const sharers = limit_sharers(limit, "upstream", view);
            RC_ASSERT(!sharers.empty());
            double const sum = static_cast<double>(sharers.size()) *
                               limit_share(limit, sharers.size(), view);
            double const part =
                static_cast<double>(n) / static_cast<double>(n + lost);
            RC_ASSERT(std::abs(sum - limit * part) < 1e-6);
        });
    CHECK(holds);
}

// Guards against a report that ends the process or brings a limit that no
// upstream can name.
TEST_CASE("Damaged limit reports are refused")
{
    for (double const bad : {-2.0, std::nan(""), HUGE_VAL})
    {
        limit_report const r{"gateway-1", {{"upstream", 1, 1, bad}}};
        CHECK_FALSE(decode_limit_report(to_call(r)));
    }
    peer_call cut = to_call(limit_claim{"gateway-1", "upstream", 1, 1});
    for (std::size_t n = cut.body.size(); n-- > 0;)
    {
        cut.body.resize(n);
        CHECK_FALSE(decode_limit_claim(cut));
    }
    gateway_state s;
    CHECK(apply_limit_report(s, {"stranger", {{"u", 1, 1, 1.0}}}, {}).empty());
    s.peers["gateway-1"];
    CHECK(apply_limit_report(s, {"gateway-1", {{"u", 1, 1, 1.0}}}, {}).empty());
    CHECK(s.upstreams.notices.empty());
}
