// Searches random orders of cuts between gateways and the store, changes and
// lost datagrams for a copy that stays behind.
#include "gateway/copy_fetch.hpp"
#include "gateway/peer_report.hpp"
#include "gateway/reader_election.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace marjorambeam;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr steady_time start{seconds(100)};
constexpr duration step_time = milliseconds(100);
constexpr state_kind kind = state_kind::zones;
constexpr auto index_of_kind = static_cast<std::size_t>(kind);
// A gateway that could reach the store for this long has what the store held
// at the beginning of that time.
constexpr duration contact_time = seconds(3);
// A call without an answer fails after this time.
constexpr duration call_timeout = milliseconds(1500);
// A reader whose watch hears nothing takes the store for lost after this time.
constexpr duration watch_timeout = milliseconds(2100);

struct simulated_gateway
{
    gateway_state state;
    std::optional<steady_time> fetch_fails_at; // a call without an answer
    std::optional<steady_time> watch_fails_at;
    steady_time next_probe{};
    steady_time next_report{};
    steady_time reachable_since = start - seconds(60);
    bool is_cut = false;
    bool is_refused = false; // while cut, calls fail at once

    local_copy& copy()
    {
        return state.kinds[index_of_kind];
    }
};

// The store's objects of one kind are its revision; so is their digest.
struct simulated_store
{
    std::uint64_t revision = 1;
    std::deque<std::pair<steady_time, std::uint64_t>> history{{{}, 1}};

    void change(steady_time now)
    {
        history.emplace_back(now, ++revision);
    }

    std::uint64_t revision_at(steady_time t) const
    {
        std::uint64_t n = 0;
        for (auto const& [at, r] : history)
            n = at <= t ? r : n;
        return n;
    }
};

struct simulated_fleet
{
    simulated_fleet(int n, std::uint32_t seed)
        : random(seed)
    {
        for (int i = 0; i < n; ++i)
        {
            std::string const name = "g" + std::to_string(i);
            gateway_state& s = all[name].state;
            s.settings.instance = name;
            s.settings.key_bound = seconds(5);
            s.self = static_cast<incarnation>(i) + 1;
            s.started = start;
            s.config_confirmed = start;
            s.last_store_response_at = start;
            for (local_copy& it : s.kinds)
                it = {.is_listed = true, .digest = 1, .position = {1, 1}};
            for (int j = 0; j < n; ++j)
            {
                if (j != i)
                    s.peers["g" + std::to_string(j)].address =
                        "g" + std::to_string(j);
            }
        }
    }

    bool chance(double p)
    {
        return std::uniform_real_distribution<>()(random) < p;
    }

    void cut_or_mend(simulated_gateway& g)
    {
        if (g.is_cut ? chance(0.04) : chance(0.02))
        {
            g.is_cut = !g.is_cut;
            g.is_refused = chance(0.3);
            g.reachable_since = now;
        }
    }

    // An answer of the store that this gateway has sent a call to.
    void hear_store(simulated_gateway& g)
    {
        g.state.last_store_response_at = now;
        if (g.state.is_store_lost)
            g.next_probe = now;
    }

    void read(simulated_gateway& g)
    {
        gateway_state& s = g.state;
        if (s.is_store_lost && now >= g.next_probe)
        {
            g.next_probe = now + store_probe_interval(s, now);
            if (g.is_cut)
                return;
            s.is_store_lost = false;
            s.outage_ended_at = now;
            s.config_confirmed = now;
            s.last_store_response_at = now;
        }
        if (!s.is_reader || s.is_store_lost)
        {
            g.watch_fails_at.reset();
            return;
        }
        if (g.is_cut)
        {
            if (!g.watch_fails_at)
                g.watch_fails_at =
                    now + (g.is_refused ? duration{0} : watch_timeout);
            if (now >= *g.watch_fails_at)
            {
                s.is_store_lost = true;
                s.outage_started_at = now;
            }
            return;
        }
        g.watch_fails_at.reset();
        s.config_confirmed = now;
        s.last_store_response_at = now;
        state_change change{
            .era = 1,
            .before = g.copy().digest,
            .after = store.revision,
            .from = g.copy().position.revision,
            .revision = store.revision};
        g.copy().digest = store.revision;
        g.copy().position = {1, store.revision};
        if (change.before != change.after)
            relay(g, change);
    }

    void relay(simulated_gateway& from, state_change const& change)
    {
        for (std::string const& it : relay_targets(from.state, now))
        {
            simulated_gateway& to = all.at(it);
            bool const is_applied =
                !chance(0.3) && !is_reading(to.state) &&
                is_applicable(change, to.copy().digest, to.copy().position);
            if (!is_applied)
                continue;
            to.copy().digest = change.after;
            to.copy().position = {1, change.revision};
        }
    }

    void fetch(simulated_gateway& g)
    {
        if (g.fetch_fails_at && now >= *g.fetch_fails_at)
        {
            g.fetch_fails_at.reset();
            record_fetch_failed(g.state, kind, now);
        }
        if (is_reading(g.state))
        {
            clear_lag(g.state, kind);
            g.fetch_fails_at.reset();
            return;
        }
        update_lag(g.state, kind, now);
        if (g.fetch_fails_at || !is_fetch_due(g.state, kind, now))
            return;
        record_fetch_sent(g.state, kind, now);
        if (g.is_cut)
        {
            g.fetch_fails_at =
                now + (g.is_refused ? duration{0} : call_timeout);
            return;
        }
        g.copy().digest = store.revision;
        g.copy().position = {1, store.revision};
        record_read(g.state, kind, now);
        hear_store(g);
    }

    void report(std::string const& name, simulated_gateway& g)
    {
        if (now < g.next_report)
            return;
        g.next_report =
            now + report_period(g.state.peers.size(), g.state.is_reader);
        gateway_report r = make_report(g.state, now);
        record_sent(g.state.reports, now);
        for (auto& [other, to] : all)
        {
            if (other == name || chance(0.1))
                continue;
            r.echo = echo_for(g.state.peers[other], now);
            apply_report(to.state, r, now);
        }
    }

    void step()
    {
        now += step_time;
        if (chance(0.05))
            store.change(now);
        for (auto& [name, g] : all)
        {
            cut_or_mend(g);
            update_role(g.state, now);
            read(g);
            fetch(g);
            report(name, g);
        }
    }

    // Names a gateway whose copy lacks what it should have.
    std::string any_behind() const
    {
        std::uint64_t const owed = store.revision_at(now - contact_time);
        for (auto const& [name, g] : all)
        {
            bool const is_in_touch =
                !g.is_cut && now - g.reachable_since >= contact_time;
            std::uint64_t const has =
                g.state.kinds[index_of_kind].position.revision;
            if (is_in_touch && has < owed)
                return name;
        }
        return {};
    }

    std::mt19937 random;
    steady_time now = start;
    simulated_store store;
    std::map<std::string, simulated_gateway> all;
};

} // namespace

// Guards against a gateway whose copy stays behind although it has been able to
// reach the store, after cuts that overlap its role changes and its calls.
TEST_CASE("A gateway that reaches the store is not behind for long")
{
    for (int const n : {4, 7})
    {
        for (std::uint32_t seed = 1; seed <= 60; ++seed)
        {
            simulated_fleet f(n, seed);
            while (f.now < start + seconds(120))
            {
                f.step();
                CAPTURE(n, seed, (f.now - start).count());
                REQUIRE(f.any_behind().empty());
            }
        }
    }
}
