#include "gateway/peer_report.hpp"

#include "gateway/reader_election.hpp"
#include "wire/value.hpp"

#include <algorithm>
#include <span>
#include <utility>

namespace marjorambeam
{
namespace
{

// Adds a peer's reported load; `sign` is -1 to subtract it.
void add_load(
    upstream_table& b, std::uint32_t number, peer_load const& load, int sign)
{
    auto const it = b.by_number.find(number);
    if (it == b.by_number.end())
        return;
    peer_load& sum = it->second->peers;
    if (sign > 0)
        sum.requests += load.requests;
    else
        sum.requests -= std::min(sum.requests, load.requests);
    sum.work = std::max(sum.work + sign * load.work, 0.0);
}

// Replaces a peer's previous loads without visiting the other peers and
// upstreams: there are hundreds of them, and as many reports per second.
void replace_loads(
    upstream_table& b, gateway_peer& p, std::span<reported_load const> loads)
{
    for (auto const& [number, load] : p.loads)
        add_load(b, number, load, -1);
    p.loads.clear();
    for (reported_load const& it : loads)
    {
        peer_load const load{it.requests, it.work};
        p.loads[it.upstream] = load;
        add_load(b, it.upstream, load, 1);
    }
}

void sum_loads(gateway_state& s)
{
    for (auto const& [id, u] : s.upstreams.by_id)
        u->peers = {};
    for (auto const& [name, p] : s.peers)
    {
        for (auto const& [number, load] : p.loads)
            add_load(s.upstreams, number, load, 1);
    }
}

// Records which incarnation of the instance sent the report. Returns whether it
// is the latest known report.
bool record_incarnation(
    gateway_peer& p, gateway_report const& r, steady_time now)
{
    if (r.incarnation_id == p.incarnation_id)
    {
        if (r.sequence <= p.sequence)
            return false;
    }
    else
    {
        if (r.incarnation_id == p.previous_incarnation_id)
            return false;
        p.previous_incarnation_id =
            std::exchange(p.incarnation_id, r.incarnation_id);
        // The instance may be another machine by now.
        p.clock = {};
        p.last_store_response_at = {};
    }
    p.sequence = r.sequence;
    p.sequence_received_at = now;
    return true;
}

// The encoded report is the same for all addressees.
struct addressed_report
{
    report_echo echo;
    std::string report;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(echo, report);
    }
};

// Returns the reading of the sender's clock `age_ms` before the report's.
peer_reading reading_before(gateway_report const& r, std::int64_t age_ms)
{
    return duration(r.clock_us) - std::chrono::milliseconds(age_ms);
}

void observe_clock(
    gateway_state& s, gateway_peer& p, gateway_report const& r, steady_time now)
{
    observe_latest(p.clock, {duration(r.clock_us), now});
    std::optional<steady_time> const sent =
        r.echo.addressee == s.self ? send_time_of(s.reports, r.echo.sequence)
                                   : std::nullopt;
    if (sent)
        observe_earliest(
            p.clock, {duration(r.clock_us - r.echo.age_us), *sent});
    std::optional<steady_time> const lower =
        earliest(p.clock, duration(r.clock_us));
    if (!lower || *lower <= *latest(p.clock, duration(r.clock_us)))
        return;
    // One of the clocks was set, which the time since boot never is.
    s.counters.count("peer_clocks_contradictory_total");
    p.clock = {.latest = clock_observation{duration(r.clock_us), now}};
}

void record_reader_state(gateway_peer& p, gateway_report const& r)
{
    p.is_reader = r.is_reader && r.copies.size() == state_kind_count;
    p.has_store = r.store_available_ms >= 0;
    p.is_stopping = r.is_stopping;
    p.config_version = r.config_version;
    std::optional<steady_time> const responded =
        earliest(p.clock, reading_before(r, r.store_response_age_ms));
    if (responded && r.store_response_age_ms >= 0)
        p.last_store_response_at =
            std::max(p.last_store_response_at, *responded);
    for (std::size_t i = 0; p.is_reader && i < state_kind_count; ++i)
    {
        p.copies[i].digest = r.copies[i].digest;
        p.copies[i].position = {r.copies[i].era, r.copies[i].revision};
    }
}

// No clock shows more than this, and no age is longer.
constexpr std::int64_t max_reported_us = std::int64_t{1} << 52U;
constexpr std::int64_t max_reported_ms = max_reported_us / 1000;

bool is_in_range(std::int64_t n, std::int64_t least, std::int64_t most)
{
    return n >= least && n <= most;
}

// Whether the times in a report can be reckoned with.
bool has_valid_times(gateway_report const& r)
{
    return is_in_range(r.clock_us, 0, max_reported_us) &&
           is_in_range(r.echo.age_us, 0, max_reported_us) &&
           is_in_range(r.config_age_ms, -1, max_reported_ms) &&
           is_in_range(r.store_available_ms, -1, max_reported_ms) &&
           is_in_range(r.store_response_age_ms, -1, max_reported_ms) &&
           is_in_range(r.history_dropped_ms, -1, max_reported_ms) &&
           std::all_of(
               r.rollouts.begin(), r.rollouts.end(),
               [](reported_rollout const& it)
               { return is_in_range(it.elapsed_ms, 0, max_reported_ms); });
}

constexpr duration min_peer_load_ttl = std::chrono::milliseconds(2500);

} // namespace

duration peer_load_ttl(std::size_t peers)
{
    return std::max(min_peer_load_ttl, live_window(peers, false));
}

gateway_report make_report(gateway_state const& s, steady_time now)
{
    gateway_report r;
    r.sender = s.settings.instance;
    r.incarnation_id = s.self;
    r.sequence = s.reports.count + 1;
    r.clock_us = now.time_since_epoch().count();
    bool const has_copies = std::all_of(
        s.kinds.begin(), s.kinds.end(),
        [](local_copy const& it) { return it.is_listed; });
    r.is_reader = is_reading(s) && has_copies;
    r.is_stopping = s.drain_started.has_value();
    if (r.is_reader)
    {
        for (local_copy const& it : s.kinds)
            r.copies.push_back(
                {it.digest, it.position.era, it.position.revision});
    }
    if (s.config && s.config_confirmed)
    {
        r.config_version = s.config->version;
        r.config_age_ms = (now - *s.config_confirmed).count() / 1000 + 1;
    }
    if (auto const available = store_available_for(s, now))
        r.store_available_ms = available->count() / 1000;
    if (s.last_store_response_at)
        r.store_response_age_ms =
            (now - *s.last_store_response_at).count() / 1000 + 1;
    if (s.history_dropped)
        r.history_dropped_ms = (now - *s.history_dropped).count() / 1000;
    for (auto const& [id, u] : s.upstreams.by_id)
    {
        if (u->requests > 0)
            r.loads.push_back(
                {u->number, static_cast<std::uint16_t>(u->requests),
                 static_cast<float>(u->work)});
    }
    r.samples = s.upstreams.pending_samples;
    for (auto const& [service, t] : s.rollouts)
    {
        duration const elapsed = elapsed_of(t, now);
        r.rollouts.push_back(
            {service, t.order.target, elapsed.count() / 1000, t.own});
    }
    return r;
}

report_outcome
apply_report(gateway_state& s, gateway_report const& r, steady_time now)
{
    auto const peer = s.peers.find(r.sender);
    if (peer == s.peers.end())
        return report_outcome::unknown_sender;
    gateway_peer& p = peer->second;
    if (!record_incarnation(p, r, now))
        return report_outcome::outdated;
    observe_clock(s, p, r, now);
    record_reader_state(p, r);
    std::optional<steady_time> const confirmed =
        earliest(p.clock, reading_before(r, r.config_age_ms));
    if (confirmed && r.config_age_ms >= 0 && s.config &&
        s.config->version == r.config_version)
        confirm_config(s, *confirmed);
    std::optional<steady_time> const responded =
        earliest(p.clock, reading_before(r, r.store_response_age_ms));
    if (responded && r.store_available_ms >= 0 && r.store_response_age_ms >= 0)
        record_peer_store(
            s, {.available_since =
                    *latest(p.clock, reading_before(r, r.store_available_ms)),
                .last_response_at = *responded});
    if (r.history_dropped_ms >= 0)
        record_history_dropped(
            s, *latest(p.clock, reading_before(r, r.history_dropped_ms)));
    std::int64_t const own_version = s.config ? s.config->version : 0;
    if (r.config_version > own_version && !s.config_behind_since)
        s.config_behind_since = now;
    p.last_received_at = now;
    replace_loads(s.upstreams, p, r.loads);
    for (pace_sample const& it : r.samples)
    {
        auto const u = s.upstreams.by_number.find(it.upstream);
        if (u != s.upstreams.by_number.end())
            add_peer_sample(*u->second, it);
    }
    for (reported_rollout const& it : r.rollouts)
    {
        auto const t = s.rollouts.find(it.service);
        if (t == s.rollouts.end() || t->second.order.target != it.target)
            continue;
        t->second.peers[r.sender] = it.evidence;
        duration const elapsed = std::chrono::milliseconds(it.elapsed_ms);
        if (elapsed > now - t->second.first_seen)
            t->second.first_seen = now - elapsed;
    }
    return report_outcome::applied;
}

void expire_reports(gateway_state& s, steady_time now)
{
    bool has_expired = false;
    for (auto& [name, p] : s.peers)
    {
        if (p.loads.empty() ||
            now - p.last_received_at < peer_load_ttl(s.peers.size()))
            continue;
        p.loads.clear();
        has_expired = true;
    }
    if (has_expired)
        sum_loads(s);
}

report_echo echo_for(gateway_peer const& p, steady_time now)
{
    if (p.sequence == 0)
        return {};
    return {
        .addressee = p.incarnation_id,
        .sequence = p.sequence,
        .age_us = (now - p.sequence_received_at).count()};
}

std::string encode_report(gateway_report const& r)
{
    return encode_value(r);
}

peer_call to_call(std::string_view report, report_echo const& echo)
{
    return {
        .name = std::string(gateway_report_call),
        .body = encode_value(addressed_report{echo, std::string(report)})};
}

result<gateway_report> decode_report(peer_call const& call)
{
    auto const a =
        decode_value<addressed_report>(call.body, trailing_bytes::ignored);
    if (!a)
        return tl::unexpected<error>(a.error());
    auto r = decode_value<gateway_report>(a->report, trailing_bytes::ignored);
    if (!r)
        return r;
    r->echo = a->echo;
    if (!has_valid_times(*r))
        return fail(error_kind::frame_corrupt, "a time is out of range");
    return r;
}

} // namespace marjorambeam
