#include "gateway/peer_clock.hpp"

#include "gateway/peer_report.hpp"
#include "gateway/reader_election.hpp"
#include "state_search/state_search.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <sstream>
#include <vector>

using namespace marjorambeam;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr steady_time start{seconds(1000)};

// Gateways that report to one another in virtual time over links of any delay.
// Their clocks start at different times and run at different rates. Each reads
// what has arrived, in the order of arrival, when it runs.
struct delayed_fleet
{
    delayed_fleet(int n, duration min_delay, duration max_delay, unsigned seed)
        : shortest(min_delay)
        , longest(max_delay)
        , random(seed)
    {
        auto config = std::make_shared<gateway_config>();
        config->version = 1;
        for (int i = 0; i < n; ++i)
        {
            gateway_state s;
            s.settings.instance = "g" + std::to_string(i);
            s.settings.key_bound = seconds(5);
            s.self = static_cast<incarnation>(i) + 1;
            s.config = config;
            for (int k = 0; k < n; ++k)
            {
                if (k != i)
                    s.peers["g" + std::to_string(k)];
            }
            all.push_back(std::move(s));
        }
        last_confirmed = now;
        for (int i = 0; i < n; ++i)
            confirm_config(all[static_cast<std::size_t>(i)], clock(i, now));
    }

    // What the clock of a gateway shows at a time.
    static steady_time clock(int i, steady_time t)
    {
        // Up to 1000 millionths faster or slower than another one.
        std::int64_t const millionths = std::int64_t{i % 3 - 1} * 500;
        duration const passed = t - start;
        return start + passed + passed * millionths / 1000000 + seconds(37) * i;
    }

    duration delay(int from, int to)
    {
        // The way back is slower for some.
        duration const most = (from + to) % 2 == 0 || from < to
                                  ? longest
                                  : shortest + (longest - shortest) / 4;
        std::uniform_int_distribution<duration::rep> d(
            shortest.count(), std::max(shortest, most).count());
        return duration(d(random));
    }

    // Lets all gateways run for a time. `frozen` stands still, and reads what
    // has arrived since afterwards; `confirms` is confirmed by the store.
    void run(duration d, int frozen = -1, int confirms = -1)
    {
        int const n = static_cast<int>(all.size());
        for (steady_time const end = now + d; now < end;
             now += milliseconds(10))
        {
            for (int i = 0; i < n; ++i)
            {
                if (i != frozen)
                    step(i, confirms);
            }
        }
    }

    void step(int i, int confirms)
    {
        gateway_state& s = all[static_cast<std::size_t>(i)];
        steady_time const own = clock(i, now);
        auto& box = inbox[i];
        while (!box.empty() && box.begin()->first <= now)
        {
            apply_report(s, box.begin()->second, own);
            box.erase(box.begin());
        }
        if (i == confirms)
        {
            last_confirmed = now;
            confirm_config(s, own);
        }
        youngest =
            std::max(youngest, *s.config_confirmed - clock(i, last_confirmed));
        steady_time& next = next_report[i];
        if (now < next)
            return;
        next = now + report_period(all.size() - 1, false);
        gateway_report r = make_report(s, own);
        record_sent(s.reports, own);
        for (int k = 0; k < static_cast<int>(all.size()); ++k)
        {
            if (k == i)
                continue;
            r.echo = echo_for(s.peers["g" + std::to_string(k)], own);
            inbox[k].emplace(now + delay(i, k), r);
        }
    }

    duration shortest;
    duration longest;
    std::mt19937 random;
    steady_time now = start;
    steady_time last_confirmed{}; // by the store, to any gateway
    // By how much a gateway took the confirmation as younger than it was.
    duration youngest{-seconds(1)};
    std::vector<gateway_state> all;
    std::map<int, std::multimap<steady_time, gateway_report>> inbox;
    std::map<int, steady_time> next_report;
};

} // namespace

// Guards against a key that is served beyond its bound: gateways without the
// store pass a confirmation round and round, and delays make it look younger.
TEST_CASE("A confirmation grows no younger on its way between gateways")
{
    struct link
    {
        duration shortest;
        duration longest;
    };
    int const n = GENERATE(2, 4, 29);
    auto const l = GENERATE(
        link{milliseconds(2), milliseconds(2)},
        link{milliseconds(50), milliseconds(50)},
        link{milliseconds(2), milliseconds(300)},
        link{milliseconds(200), milliseconds(4000)});
    CAPTURE(n, l.shortest.count(), l.longest.count());
    delayed_fleet f(n, l.shortest, l.longest, 7);
    f.run(seconds(n > 4 ? 6 : 12));
    CHECK(f.youngest <= duration{0});
}

// Guards against reports that wait while the process stands still, however
// many they are, and are taken for new ones when it goes on.
TEST_CASE("Reports that are read after a pause make nothing younger")
{
    int const n = GENERATE(2, 10, 29);
    CAPTURE(n);
    delayed_fleet f(n, milliseconds(1), milliseconds(5), 11);
    f.run(seconds(2), -1, 1);
    f.run(milliseconds(3500), 0, 1);
    // The reports that wait tell of the time before, and nothing else comes.
    f.last_confirmed = f.now;
    std::erase_if(
        f.inbox[0],
        [&](auto const& it) { return it.first > f.now - milliseconds(500); });
    steady_time const newest = f.now - milliseconds(500);
    gateway_state& s = f.all[0];
    steady_time const own = delayed_fleet::clock(0, f.now);
    for (auto const& [at, r] : f.inbox[0])
        apply_report(s, r, own);
    CHECK(*s.config_confirmed <= delayed_fleet::clock(0, newest));
    CHECK(f.youngest <= duration{0});
}

// Guards against a bound that costs so much freshness that keys are refused
// although the store confirms them to another gateway.
TEST_CASE("A confirmation reaches the others almost as fresh as it is")
{
    int const n = GENERATE(2, 29, 90);
    CAPTURE(n);
    delayed_fleet f(n, milliseconds(1), milliseconds(20), 3);
    f.run(seconds(3), -1, 0);
    duration oldest{0};
    for (int i = 1; i < n; ++i)
        oldest = std::max(
            oldest, delayed_fleet::clock(i, f.now) -
                        *f.all[static_cast<std::size_t>(i)].config_confirmed);
    duration const period =
        report_period(static_cast<std::size_t>(n) - 1, false);
    CHECK(oldest < period + milliseconds(60));
}

// Guards against a bound that rests on how two clocks run: they may be adjusted
// against each other while no report comes.
TEST_CASE("Bounds of a clock hold while it drifts")
{
    peer_clock c;
    CHECK_FALSE(earliest(c, seconds(5)));
    CHECK_FALSE(latest(c, seconds(5)));
    observe_earliest(c, {seconds(5), start});
    observe_latest(c, {seconds(5), start + milliseconds(3)});
    for (int per_million : {-1000, 0, 1000})
    {
        for (int s : {-20, -1, 0, 1, 60, 3600})
        {
            duration const passed = seconds(s);
            duration const shown =
                seconds(5) + passed + passed * per_million / 1000000;
            CHECK(*earliest(c, shown) <= start + passed + milliseconds(3));
            CHECK(*latest(c, shown) >= start + passed);
        }
    }
    // A wider observation takes nothing away, a narrower one counts.
    observe_earliest(c, {seconds(6), start});
    CHECK(*earliest(c, seconds(5)) > start - milliseconds(5));
    observe_earliest(c, {seconds(6), start + seconds(1) + milliseconds(2)});
    CHECK(*earliest(c, seconds(6)) > start + seconds(1));
}

// Guards against the time of another message with the same place in the table.
TEST_CASE("Times of sending are known for the latest messages")
{
    sent_messages m;
    CHECK_FALSE(send_time_of(m, 0));
    CHECK_FALSE(send_time_of(m, 1));
    for (int i = 1; i <= 1000; ++i)
        record_sent(m, start + seconds(i));
    CHECK_FALSE(send_time_of(m, 1001));
    CHECK(*send_time_of(m, 1000) == start + seconds(1000));
    CHECK(*send_time_of(m, 745) == start + seconds(745));
    CHECK_FALSE(send_time_of(m, 744));
}

namespace
{

// Two gateways and the messages between them, of which each may take any time.
struct clock_model
{
    struct side
    {
        sent_messages sent;
        peer_clock clock;
        int confirmed = -10; // by its own clock, in steps
        std::uint64_t had = 0;
        int had_at = 0;
    };
    struct message
    {
        int from = 0;
        std::uint64_t number = 0;
        int clock = 0;
        int confirmed = 0;
        std::uint64_t echo = 0;
        int echo_at = 0;
    };
    int time = 0;
    int store_time = -10; // of the latest confirmation
    std::array<side, 2> sides;
    std::vector<message> flying;
};

// The second clock is ahead.
int clock_of(int side, int time)
{
    return time + side * 100;
}

steady_time at_step(int step)
{
    return start + seconds(step);
}

std::string key_of(clock_model const& m)
{
    std::ostringstream out;
    out << m.time << ' ' << m.store_time;
    for (clock_model::side const& s : m.sides)
    {
        out << '|' << s.sent.count << ' ' << s.confirmed << ' ' << s.had << ' '
            << s.had_at;
        for (std::uint64_t i = 1; i <= s.sent.count; ++i)
            out << ' ' << s.sent.at[i].time_since_epoch().count();
        for (auto const& o : {s.clock.earliest, s.clock.latest})
            out << ' ' << (o ? o->peer.count() : -1) << ' '
                << (o ? o->own.time_since_epoch().count() : -1);
    }
    for (clock_model::message const& f : m.flying)
        out << '/' << f.from << ' ' << f.number << ' ' << f.clock << ' '
            << f.confirmed << ' ' << f.echo << ' ' << f.echo_at;
    return out.str();
}

clock_model sent_by(clock_model m, int from)
{
    clock_model::side& s = m.sides[static_cast<std::size_t>(from)];
    int const own = clock_of(from, m.time);
    m.flying.push_back(
        {from, record_sent(s.sent, at_step(own)), own, s.confirmed, s.had,
         s.had_at});
    return m;
}

clock_model delivered(clock_model m, std::size_t i)
{
    clock_model::message const f = m.flying[i];
    m.flying.erase(m.flying.begin() + static_cast<std::ptrdiff_t>(i));
    int const to = 1 - f.from;
    clock_model::side& s = m.sides[static_cast<std::size_t>(to)];
    steady_time const own = at_step(clock_of(to, m.time));
    observe_latest(s.clock, {seconds(f.clock), own});
    if (auto const sent = send_time_of(s.sent, f.echo))
        observe_earliest(s.clock, {seconds(f.echo_at), *sent});
    if (auto const as_of = earliest(s.clock, seconds(f.confirmed)))
    {
        auto const step = std::chrono::floor<seconds>(*as_of - start);
        s.confirmed = std::max(s.confirmed, static_cast<int>(step.count()));
    }
    if (f.number > s.had)
    {
        s.had = f.number;
        s.had_at = clock_of(to, m.time);
    }
    return m;
}

} // namespace

// Guards against an order of sending, delays and confirmations in which a
// gateway takes a confirmation as younger than it is.
TEST_CASE("No order of messages makes a confirmation younger")
{
    constexpr int last_step = 5;
    constexpr std::size_t max_flying = 2;
    constexpr std::uint64_t max_sent = 2;
    constexpr std::size_t max_states = 3000000;
    clock_model first;
    first.sides[1].confirmed = clock_of(1, -10);
    search_result const r = search_states(
        first, [](clock_model const& m) { return key_of(m); },
        [&](clock_model const& m, auto&& emit)
        {
            if (m.time < last_step)
            {
                clock_model later = m;
                ++later.time;
                emit("time passes", later);
            }
            if (m.store_time < 0)
            {
                clock_model c = m;
                c.store_time = m.time;
                c.sides[0].confirmed = clock_of(0, m.time);
                emit("the store confirms", c);
            }
            for (int from : {0, 1})
            {
                bool const may_send =
                    m.flying.size() < max_flying &&
                    m.sides[static_cast<std::size_t>(from)].sent.count <
                        max_sent;
                if (may_send)
                    emit("a report is sent", sent_by(m, from));
            }
            for (std::size_t i = 0; i < m.flying.size(); ++i)
                emit("a report arrives", delivered(m, i));
        },
        [](clock_model const& m) -> std::string
        {
            for (int i : {0, 1})
            {
                if (m.sides[static_cast<std::size_t>(i)].confirmed >
                    clock_of(i, m.store_time))
                    return "a confirmation is younger than it is";
            }
            return {};
        },
        max_states);
    INFO(r.fault);
    CHECK(r.fault.empty());
    CHECK(r.is_complete);
}
