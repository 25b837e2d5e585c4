// The evidence of crashes over whole fleets, in virtual time.
#include "crash_fleet/crash_fleet_model.hpp"

#include <catch2/catch.hpp>

using namespace marjorambeam;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

// The operators' bounds: this long after the fifth crash at most three more
// requests may reach an engine.
constexpr duration contact_time = seconds(3);
constexpr std::size_t most_late = 3;

crash_fleet_settings fleet_of(std::size_t gateways)
{
    crash_fleet_settings s{.gateways = gateways};
    if (gateways > 4)
    {
        s.engines = 80;
        s.requests_per_second = 350;
    }
    if (gateways > 100)
    {
        s.engines = 400;
        s.requests_per_second = 1500;
    }
    return s;
}

// No sound part is refused, and nearly all sound requests are sent once.
void check_sound(crash_fleet_model const& m, steady_time from)
{
    CHECK(m.falsely_quarantined().empty());
    crash_fleet_model::sound_requests const n = m.sound_since(from);
    CAPTURE(n.asked, n.refused, n.given_up, n.repeated);
    CHECK(n.asked > 0);
    CHECK(n.refused == 0);
    CHECK(n.repeated * 10 < n.asked);
}

} // namespace

// Guards against a part that crashes one engine after the other in a fleet of
// which each gateway has seen one crash or none.
TEST_CASE("A fleet of any size finds a deadly part")
{
    auto const gateways = GENERATE(
        std::size_t{1}, std::size_t{4}, std::size_t{68}, std::size_t{350});
    auto const share = GENERATE(0.005, 0.05);
    auto const loss = GENERATE(0.0, 0.05);
    CAPTURE(gateways, share, loss);
    // The largest fleet takes long to model: its hardest case is enough.
    if (gateways > 100 && (share < 0.05 || loss == 0))
        return;
    crash_fleet_settings s = fleet_of(gateways);
    s.deadly_share = share;
    s.loss = loss;
    crash_fleet_model m(s);
    m.run_for(seconds(5));
    steady_time const from = m.now();
    m.set_deadly({deadly_part});
    m.run_for(gateways > 100 ? seconds(8) : seconds(20));
    CAPTURE(m.caused_crashes());
    CHECK(m.caused_crashes() >= 2);
    CHECK(m.late_arrivals(contact_time) <= most_late);
    check_sound(m, from);
}

// Guards against a verdict that is lost with the gateways that reached it, and
// against gateways that are not there when the evidence comes.
TEST_CASE("Gateways that restart, join, stand still or are cut off refuse too")
{
    auto const gateways =
        GENERATE(std::size_t{4}, std::size_t{68}, std::size_t{350});
    auto const seed = GENERATE(1, 2, 3);
    CAPTURE(gateways, seed);
    if (gateways > 100 && seed > 1)
        return;
    crash_fleet_settings s = fleet_of(gateways);
    s.deadly_share = 0.03;
    s.seed = static_cast<std::uint64_t>(seed);
    crash_fleet_model m(s);
    m.run_for(seconds(3));
    m.set_deadly({deadly_part});
    m.run_for(seconds(1));
    m.freeze_gateway(0, seconds(4));
    m.set_partition({1, 2});
    m.run_for(seconds(2));
    m.restart_gateway(2, seconds(1));
    m.add_gateway();
    m.run_for(seconds(4));
    m.set_partition({});
    m.run_for(seconds(2));
    // All of them at the same moment.
    for (std::size_t i = 0; i <= gateways; ++i)
        m.restart_gateway(i, milliseconds(500));
    m.run_for(seconds(15));
    CAPTURE(m.caused_crashes());
    CHECK(m.late_arrivals(contact_time) <= most_late);
    CHECK(m.falsely_quarantined().empty());
}

// Guards against a second deadly part that hides behind the first one, in other
// requests or in the same ones.
TEST_CASE("A fleet finds several deadly parts")
{
    auto const gateways = GENERATE(std::size_t{4}, std::size_t{68});
    bool const are_together = GENERATE(false, true);
    CAPTURE(gateways, are_together);
    crash_fleet_settings s = fleet_of(gateways);
    s.deadly_share = 0.03;
    crash_fleet_model m(s);
    m.run_for(seconds(3));
    steady_time const from = m.now();
    m.set_deadly({deadly_part, deadly_part + 1, deadly_part + 2}, are_together);
    m.run_for(seconds(20));
    std::size_t const crashes = m.caused_crashes();
    m.run_for(seconds(10));
    CHECK(m.caused_crashes() == crashes);
    check_sound(m, from);
}

// Guards against callers whose requests are refused for the crashes of another
// one's, and against a part that is deadly for all and is tried by each.
TEST_CASE("A part that crashes engines for several callers is refused to all")
{
    auto const gateways = GENERATE(std::size_t{4}, std::size_t{68});
    auto const callers = GENERATE(std::size_t{1}, std::size_t{10});
    CAPTURE(gateways, callers);
    crash_fleet_settings s = fleet_of(gateways);
    s.deadly_share = 0.04;
    s.deadly_organisations = callers;
    crash_fleet_model m(s);
    m.set_deadly({deadly_part});
    m.run_for(seconds(25));
    CHECK(m.late_arrivals(contact_time) <= most_late);
    quarantine_key const for_all{deadly_part, 0};
    CHECK(m.state(0).quarantine.entries.contains(for_all) == (callers > 1));
}

// Guards against sound parts that are refused because engines end for other
// reasons: one by one, by turns, or many at the same moment.
TEST_CASE("Crashes without a deadly part hold no part guilty")
{
    auto const gateways =
        GENERATE(std::size_t{1}, std::size_t{4}, std::size_t{68});
    auto const seed = GENERATE(1, 2, 3);
    CAPTURE(gateways, seed);
    crash_fleet_settings s = fleet_of(gateways);
    s.seed = static_cast<std::uint64_t>(seed);
    crash_fleet_model m(s);
    m.run_for(seconds(5));
    for (std::size_t i = 0; i < 12; ++i)
    {
        m.crash_engines(i * 3, 1);
        m.run_for(milliseconds(700));
    }
    for (std::size_t i = 0; i < 4; ++i)
    {
        m.crash_engines(i * 5, s.engines / 3);
        m.run_for(seconds(4));
    }
    CHECK(m.caused_crashes() == 0);
    CHECK(m.falsely_quarantined().empty());
    CHECK(m.sound_since({}).refused == 0);
}

// Guards against a deadly part that hides in the crashes of other causes.
TEST_CASE("A deadly part is found among other crashes")
{
    auto const gateways =
        GENERATE(std::size_t{1}, std::size_t{4}, std::size_t{68});
    auto const seed = GENERATE(1, 2, 3);
    CAPTURE(gateways, seed);
    crash_fleet_settings s = fleet_of(gateways);
    s.deadly_share = 0.03;
    s.seed = static_cast<std::uint64_t>(seed);
    crash_fleet_model m(s);
    m.run_for(seconds(5));
    m.set_deadly({deadly_part});
    for (std::size_t i = 0; i < 10; ++i)
    {
        m.crash_engines(i * 3, i % 5 == 4 ? s.engines / 4 : 1);
        m.run_for(seconds(1));
    }
    m.run_for(seconds(10));
    CAPTURE(m.caused_crashes());
    CHECK(m.late_arrivals(contact_time) <= most_late);
    CHECK(m.falsely_quarantined().empty());
}
