#include "gateway/peer_clock.hpp"

namespace marjorambeam
{
namespace
{

duration drift_over(duration distance)
{
    constexpr std::int64_t thousand = 1000;
    duration const d = distance < duration{0} ? -distance : distance;
    return d * max_drift_per_thousand / thousand + duration{1};
}

} // namespace

void observe_earliest(peer_clock& c, clock_observation const& o)
{
    std::optional<steady_time> const known = earliest(c, o.peer);
    if (!known || o.own >= *known)
        c.earliest = o;
}

void observe_latest(peer_clock& c, clock_observation const& o)
{
    std::optional<steady_time> const known = latest(c, o.peer);
    if (!known || o.own <= *known)
        c.latest = o;
}

std::optional<steady_time> earliest(peer_clock const& c, peer_reading r)
{
    if (!c.earliest)
        return std::nullopt;
    duration const since = r - c.earliest->peer;
    return c.earliest->own + since - drift_over(since);
}

std::optional<steady_time> latest(peer_clock const& c, peer_reading r)
{
    if (!c.latest)
        return std::nullopt;
    duration const since = r - c.latest->peer;
    return c.latest->own + since + drift_over(since);
}

std::uint64_t record_sent(sent_messages& m, steady_time now)
{
    ++m.count;
    m.at[m.count % m.at.size()] = now;
    return m.count;
}

std::optional<steady_time>
send_time_of(sent_messages const& m, std::uint64_t number)
{
    bool const is_known =
        number != 0 && number <= m.count && m.count - number < m.at.size();
    if (!is_known)
        return std::nullopt;
    return m.at[number % m.at.size()];
}

} // namespace marjorambeam
