#include "gateway/reader_election.hpp"

#include "base/hash.hpp"
#include "gateway/local_response.hpp"

#include <algorithm>

namespace marjorambeam
{
namespace
{

using std::chrono::milliseconds;

constexpr std::string_view reader_rank_key = "config";
constexpr std::string_view relay_rank_key = "relay/";
// Each gateway receives at most 125 reports per second.
constexpr duration report_period_per_peer = milliseconds(8);
constexpr duration min_report_period = milliseconds(150);
constexpr duration max_reader_period = milliseconds(500);
// Reports that may be lost or late before a gateway counts as dead.
constexpr int max_missed_reports = 3;
// A reader's watch of the configuration returns every two seconds; including
// the time of a call and of a report, its confirmation is not older than this.
constexpr duration max_reader_staleness = milliseconds(2800);
// Without a reader's report for this long, a gateway reads the store itself.
// Shorter than the drain bounds minus the time of a read.
constexpr duration max_reader_silence = milliseconds(700);
// The same while several others report an outage: the store is most likely
// unavailable, and those with the next ranks detect its return. Gateways wait
// for different parts of the spread.
constexpr duration max_reader_silence_in_outage = milliseconds(2500);
constexpr std::ptrdiff_t min_outage_reports = 2;

// Without keys, the configuration's age is bounded by this alone.
constexpr duration unkeyed_staleness_bound = std::chrono::seconds(20);
// Part of the time for which unconfirmed keys may be served after
// which this gateway fetches the configuration itself; the rest is for the
// call. A reader's confirmation is up to three seconds old when the next one
// arrives.
constexpr double fetch_threshold = 0.7;
// A working watch reports a change within half a second of the peers'.
constexpr duration max_watch_lag = milliseconds(400);
// Readers renew the confirmation of the configuration at this age, so that most
// of the key bound is left when the store becomes unavailable.
constexpr duration min_confirmation_age = milliseconds(600);
constexpr duration min_confirmation_spread = milliseconds(400);
// Without a watch, stale gateways spread their fetches over this time.
constexpr duration fetch_spread = milliseconds(200);
// Steps of a spread, assigned to gateways by the hash of their names.
constexpr int spread_steps = 64;
// While another reader is alive, a gateway must be elected for this long before
// it becomes a reader; meanwhile it learns which others regained the store.
constexpr duration min_elected_time = milliseconds(1500);

// Intervals between probes of a lost store: usually, of a prober that hears no
// reader, and of the other gateways in an outage.
constexpr duration probe_interval = milliseconds(1000);
constexpr duration short_probe_interval = milliseconds(250);
constexpr duration outage_probe_interval = milliseconds(2000);

// Names of this gateway and of the live ones for which `matches` holds.
template <class Predicate>
std::vector<std::string>
live_names(gateway_state const& s, steady_time now, Predicate matches)
{
    std::vector<std::string> names{s.settings.instance};
    for (auto const& [name, p] : s.peers)
    {
        if (is_live(s, p, now) && matches(p))
            names.push_back(name);
    }
    return names;
}

bool is_among_first(
    std::string_view rank_key, std::span<std::string const> names,
    std::string_view self, std::size_t n)
{
    auto const order = rendezvous_order(rank_key, names, n);
    return std::any_of(
        order.begin(), order.end(),
        [&](std::size_t it) { return names[it] == self; });
}

// Whether several others report an outage, so that the store is most likely
// unavailable.
bool is_in_outage(gateway_state const& s, steady_time now)
{
    auto const reports = std::count_if(
        s.peers.begin(), s.peers.end(),
        [&](auto const& it)
        { return !it.second.has_store && is_live(s, it.second, now); });
    return reports >= min_outage_reports;
}

bool has_live_reader(gateway_state const& s, steady_time now)
{
    return std::any_of(
        s.peers.begin(), s.peers.end(),
        [&](auto const& it) { return is_live_reader(s, it.second, now); });
}

// Returns a part of `longest` that differs between gateways.
duration jitter_of(gateway_state const& s, duration longest)
{
    auto const step =
        static_cast<duration::rep>(hash64(s.settings.instance) % spread_steps);
    return longest * step / spread_steps;
}

// Returns the age at which this reader renews the confirmation. The reader with
// the shortest one does so for all, and the others learn of it within two
// reports.
duration confirmation_age_limit(gateway_state const& s)
{
    duration const spread = std::max(
        min_confirmation_spread, 2 * report_period(s.peers.size(), true));
    return min_confirmation_age + jitter_of(s, spread);
}

duration reader_silence_limit(gateway_state const& s, steady_time now)
{
    if (!is_in_outage(s, now))
        return max_reader_silence;
    return max_reader_silence_in_outage +
           jitter_of(s, max_reader_silence_in_outage);
}

} // namespace

duration report_period(std::size_t peers, bool is_reader)
{
    duration const usual = std::max(
        min_report_period,
        report_period_per_peer * static_cast<duration::rep>(peers));
    return is_reader ? std::min(usual, max_reader_period) : usual;
}

duration live_window(std::size_t peers, bool is_reader)
{
    return std::max(
        live_peer_window, report_period(peers, is_reader) * max_missed_reports);
}

bool is_live(gateway_state const& s, gateway_peer const& p, steady_time now)
{
    return now - p.last_received_at < live_window(s.peers.size(), p.is_reader);
}

bool is_live_reader(
    gateway_state const& s, gateway_peer const& p, steady_time now)
{
    return p.is_reader && p.has_store && is_live(s, p, now) &&
           now - p.last_store_response_at < max_reader_staleness;
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
        reader_rank_key, names, s.settings.instance, store_readers);
}

void update_role(gateway_state& s, steady_time now)
{
    bool const has_reader = has_live_reader(s, now);
    if (has_reader)
        s.last_reader_report_at = now;
    if (!is_elected_reader(s, now))
        s.elected_since.reset();
    else if (!s.elected_since)
        s.elected_since = now;
    bool const is_elected =
        s.elected_since && (s.is_reader || !has_reader ||
                            now - *s.elected_since >= min_elected_time);
    bool const was_reader = s.is_reader;
    s.is_reader = is_elected || !s.last_reader_report_at ||
                  now - *s.last_reader_report_at > reader_silence_limit(s, now);
    if (s.is_reader && !was_reader)
        s.reading_since = now;
}

bool has_store_responded(gateway_state const& s)
{
    return !s.is_store_lost && s.last_store_response_at &&
           *s.last_store_response_at >= s.reading_since;
}

bool is_reading(gateway_state const& s)
{
    return s.is_reader && has_store_responded(s);
}

bool must_fetch_config(gateway_state const& s, steady_time now)
{
    if (s.is_store_lost || !s.config_confirmed)
        return false; // it is already being fetched
    duration const limit =
        s.is_reader ? max_watch_lag : jitter_of(s, fetch_spread);
    bool const is_behind =
        s.config_behind_since && now - *s.config_behind_since > limit;
    if (is_behind)
        return true;
    if (s.is_reader && now - *s.config_confirmed > confirmation_age_limit(s))
        return true;
    if (is_in_outage(s, now) && !has_live_reader(s, now))
        return false;
    double const confirmation_ttl =
        to_seconds(s.settings.key_bound.value_or(unkeyed_staleness_bound)) *
        key_bound_safety_factor;
    return to_seconds(now - *s.config_confirmed) >
           confirmation_ttl * fetch_threshold;
}

bool is_prober(gateway_state const& s, steady_time now)
{
    auto const names =
        live_names(s, now, [](gateway_peer const&) { return true; });
    return is_among_first(
        reader_rank_key, names, s.settings.instance, store_readers);
}

duration store_probe_interval(gateway_state const& s, steady_time now)
{
    if (is_prober(s, now))
        return has_live_reader(s, now) ? probe_interval : short_probe_interval;
    if (!is_in_outage(s, now))
        return probe_interval;
    return spread(
        outage_probe_interval,
        hash64(s.settings.instance) +
            static_cast<std::uint64_t>(now.time_since_epoch().count()));
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
                                std::string(relay_rank_key) + name, readers,
                                s.settings.instance, relays_per_gateway);
        if (is_target)
            addresses.push_back(p.address);
    }
    return addresses;
}

} // namespace marjorambeam
