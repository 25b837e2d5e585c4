#include "gateway/reader_election.hpp"

#include "base/hash.hpp"

#include <algorithm>

namespace marjorambeam
{
namespace
{

using std::chrono::milliseconds;

constexpr std::string_view reader_duty = "config";
constexpr std::string_view relay_duty = "relay/";
// Each gateway hears at most 125 reports a second.
constexpr duration report_period_per_peer = milliseconds(8);
constexpr duration shortest_report_period = milliseconds(150);
constexpr duration longest_reader_period = milliseconds(500);
// Reports that may be lost or late before a gateway is taken to be gone.
constexpr int reports_missed = 3;
// A reader's watch of the configuration is answered every two seconds; with
// the time of a call and of a report its word is not older than this.
constexpr duration longest_word = milliseconds(2800);
// Without a reader's word for this long, a gateway reads by itself. Shorter
// than the bounds of drains less the time of a read.
constexpr duration longest_unheard = milliseconds(700);
// The same while several others say that they have lost the store: it is most
// likely away, and those with the next ranks find out when it is back. Each
// gateway waits for another part of the spread.
constexpr duration longest_unheard_in_outage = milliseconds(2500);
constexpr std::ptrdiff_t outage_witnesses = 2;
// A relayed change comes within this time after the report that tells of it.
constexpr duration relay_patience = milliseconds(400);

// Without keys, the configuration's age is bounded by this alone.
constexpr duration unkeyed_bound = std::chrono::seconds(20);
// Part of the time for which keys may be served without a word that passes
// before this gateway asks by itself; the rest is left for the call. A
// watcher's word is up to three seconds old when the next one comes.
constexpr double unvouched_part = 0.7;
// A watch that is well tells of a change within half a second of the peers'.
constexpr duration longest_behind = milliseconds(400);
// Readers renew the word on the configuration at this age, so that most of the
// key bound is left when the store goes away.
constexpr duration first_vouch = milliseconds(600);
constexpr duration shortest_vouch_spread = milliseconds(400);
// Without a watch, gateways that are behind ask within this time, not all at
// the same moment.
constexpr duration ask_spread = milliseconds(200);
// Parts of a time over which gateways are spread by their names.
constexpr int spread_steps = 64;
// A gateway that hears a reader takes the duty when it has been chosen for this
// long, in which it hears of others that have regained the store with it.
constexpr duration settled_choice = milliseconds(1500);

// Names of this gateway and of the live ones for which `is_applicable` holds.
template <class Fit>
std::vector<std::string>
live_names(gateway_state const& s, steady_time now, Fit is_applicable)
{
    std::vector<std::string> names{s.settings.instance};
    for (auto const& [name, p] : s.peers)
    {
        if (is_live(s, p, now) && is_applicable(p))
            names.push_back(name);
    }
    return names;
}

bool is_among_first(
    std::string_view duty, std::span<std::string const> names,
    std::string_view self, std::size_t n)
{
    auto const order = rendezvous_order(duty, names, n);
    return std::any_of(
        order.begin(), order.end(),
        [&](std::size_t it) { return names[it] == self; });
}

// Whether several others have lost the store, so that it is most likely away.
bool is_in_outage(gateway_state const& s, steady_time now)
{
    auto const witnesses = std::count_if(
        s.peers.begin(), s.peers.end(),
        [&](auto const& it)
        { return !it.second.has_store && is_live(s, it.second, now); });
    return witnesses >= outage_witnesses;
}

bool hears_reader(gateway_state const& s, steady_time now)
{
    return std::any_of(
        s.peers.begin(), s.peers.end(),
        [&](auto const& it) { return is_live_reader(s, it.second, now); });
}

// A part of `longest` that differs between gateways.
duration own_part(gateway_state const& s, duration longest)
{
    auto const step =
        static_cast<duration::rep>(hash64(s.settings.instance) % spread_steps);
    return longest * step / spread_steps;
}

// Age of the fleet's word at which this reader renews it. The first one by this
// time does so for all, and the others hear of it within two reports.
duration vouch_patience(gateway_state const& s)
{
    duration const spread = std::max(
        shortest_vouch_spread, 2 * report_period(s.peers.size(), true));
    return first_vouch + own_part(s, spread);
}

duration unheard_patience(gateway_state const& s, steady_time now)
{
    if (!is_in_outage(s, now))
        return longest_unheard;
    return longest_unheard_in_outage + own_part(s, longest_unheard_in_outage);
}

} // namespace

duration report_period(std::size_t peers, bool is_reader)
{
    duration const usual = std::max(
        shortest_report_period,
        report_period_per_peer * static_cast<duration::rep>(peers));
    return is_reader ? std::min(usual, longest_reader_period) : usual;
}

duration live_window(std::size_t peers, bool is_reader)
{
    return std::max(
        live_peer_window, report_period(peers, is_reader) * reports_missed);
}

bool is_live(gateway_state const& s, gateway_peer const& p, steady_time now)
{
    return now - p.heard_at < live_window(s.peers.size(), p.is_reader);
}

bool is_live_reader(
    gateway_state const& s, gateway_peer const& p, steady_time now)
{
    return p.is_reader && p.has_store && is_live(s, p, now) &&
           now - p.store_heard < longest_word;
}

bool is_elected_reader(gateway_state const& s, steady_time now)
{
    if (s.is_store_lost || s.drain_started)
        return false;
    auto const names = live_names(
        s, now,
        [&](gateway_peer const& p)
        {
            return p.has_store && !p.is_stopping &&
                   (!p.is_reader || is_live_reader(s, p, now));
        });
    return is_among_first(
        reader_duty, names, s.settings.instance, store_readers);
}

void update_role(gateway_state& s, steady_time now)
{
    bool const has_reader = hears_reader(s, now);
    if (has_reader)
        s.reader_heard = now;
    if (!is_elected_reader(s, now))
        s.chosen_since.reset();
    else if (!s.chosen_since)
        s.chosen_since = now;
    bool const is_chosen =
        s.chosen_since &&
        (s.is_reader || !has_reader || now - *s.chosen_since >= settled_choice);
    s.is_reader = is_chosen || !s.reader_heard ||
                  now - *s.reader_heard > unheard_patience(s, now);
}

bool must_fetch_config(gateway_state const& s, steady_time now)
{
    if (s.is_store_lost || !s.config_confirmed)
        return false; // it is being asked for
    duration const patience =
        s.is_reader ? longest_behind : own_part(s, ask_spread);
    bool const is_behind = s.config_behind && now - *s.config_behind > patience;
    if (is_behind)
        return true;
    if (s.is_reader && now - *s.config_confirmed > vouch_patience(s))
        return true;
    if (is_in_outage(s, now) && !hears_reader(s, now))
        return false;
    double const served =
        to_seconds(s.settings.key_bound.value_or(unkeyed_bound)) *
        key_bound_safety_factor;
    return to_seconds(now - *s.config_confirmed) > served * unvouched_part;
}

bool is_prober(gateway_state const& s, steady_time now)
{
    auto const names =
        live_names(s, now, [](gateway_peer const&) { return true; });
    return is_among_first(
        reader_duty, names, s.settings.instance, store_readers);
}

std::vector<std::string> relay_targets(gateway_state const& s, steady_time now)
{
    auto const readers = live_names(
        s, now,
        [&](gateway_peer const& p) { return is_live_reader(s, p, now); });
    std::vector<std::string> addresses;
    for (auto const& [name, p] : s.peers)
    {
        bool const is_target =
            !p.is_reader && is_among_first(
                                std::string(relay_duty) + name, readers,
                                s.settings.instance, relays_per_gateway);
        if (is_target)
            addresses.push_back(p.address);
    }
    return addresses;
}

bool is_behind(gateway_state& s, state_kind kind, steady_time now)
{
    auto const i = static_cast<std::size_t>(kind);
    local_copy& v = s.kinds[i];
    bool const differs = std::any_of(
        s.peers.begin(), s.peers.end(),
        [&](auto const& it)
        {
            gateway_peer const& p = it.second;
            peer_copy const& c = p.copies[i];
            return is_live_reader(s, p, now) && c.revision > v.revision &&
                   c.digest != v.digest && c.digest != c.settled;
        });
    if (!differs)
        v.differs_since.reset();
    else if (!v.differs_since)
        v.differs_since = now;
    return v.differs_since && now - *v.differs_since > relay_patience;
}

void record_fetch(gateway_state& s, state_kind kind)
{
    auto const i = static_cast<std::size_t>(kind);
    s.kinds[i].differs_since.reset();
    for (auto& [name, p] : s.peers)
        p.copies[i].settled = p.copies[i].digest;
}

} // namespace marjorambeam
