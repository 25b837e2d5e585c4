#include "lease/lease.hpp"

#include <nlohmann/json.hpp>

namespace marjorambeam
{
namespace
{

using nlohmann::json;

void drop_lease(lease_state& s)
{
    s.lost += s.is_held ? 1 : 0;
    s.is_held = false;
    s.fencing = 0;
}

// Whether the clocks advanced by the same time since `from`.
bool clocks_agree(clock_pair from, clock_pair now, duration max_drift)
{
    duration const drift = (now.wall - from.wall) - (now.steady - from.steady);
    return drift <= max_drift && drift >= -max_drift;
}

// Whether the observed lease is free: no other process can hold it any longer.
bool is_free(lease_state const& s, clock_pair now)
{
    if (s.observed.until_ms == 0 || s.observed.holder == s.holder)
        return true;
    duration const wait = s.rules.lifetime + s.rules.clock_difference;
    if (now.steady - s.observed_at.steady >= wait)
        return true;
    return clocks_agree(s.observed_at, now, s.rules.max_drift) &&
           from_unix_ms(s.observed.until_ms) + s.rules.clock_difference <=
               now.wall;
}

void record_observation(
    lease_state& s, std::uint64_t revision, lease_record record, clock_pair now)
{
    if (s.revision != revision)
        s.observed_at = now;
    s.revision = revision;
    s.observed = std::move(record);
}

lease_call start_read()
{
    return {.kind = lease_call_kind::read};
}

lease_call start_write(lease_state const& s, lease_record record)
{
    return {
        .kind =
            s.revision == 0 ? lease_call_kind::create : lease_call_kind::update,
        .record = std::move(record),
        .revision = s.revision};
}

// The record that this process would write to hold the lease.
lease_record record_to_write(lease_state const& s, clock_pair now)
{
    bool const is_renewal = s.is_held && s.observed.holder == s.holder;
    return {
        .holder = s.holder,
        .fencing = is_renewal ? s.fencing : s.observed.fencing + 1,
        .until_ms = to_unix_ms(now.wall + s.rules.lifetime)};
}

// Updates the state after a write of this process stored `record`.
void apply_own_write(
    lease_state& s, lease_record const& record, clock_pair sent_at)
{
    bool const is_own =
        s.is_wanted && record.holder == s.holder && record.until_ms > 0;
    if (!is_own)
    {
        drop_lease(s);
        return;
    }
    if (s.is_held && s.fencing != record.fencing)
        drop_lease(s);
    s.is_held = true;
    s.fencing = record.fencing;
    s.granted_at = sent_at;
    s.next_try = sent_at.steady + s.rules.renew_after;
}

void handle_read(lease_state& s, lease_reply const& reply, clock_pair now)
{
    if (!reply.is_ok)
    {
        record_observation(s, 0, {}, now);
        s.is_observation_fresh = true;
        drop_lease(s);
        s.unconfirmed.reset();
        return;
    }
    result<lease_record> const record = parse_lease(reply.value);
    if (!record)
    {
        // No process can hold an unreadable lease. Its fencing number is
        // unknown, so it is not acquired either.
        drop_lease(s);
        s.is_observation_fresh = false;
        s.next_try = now.steady + s.rules.poll_after;
        return;
    }
    record_observation(s, reply.revision, *record, now);
    s.is_observation_fresh = true;
    if (s.unconfirmed && *s.unconfirmed == *record)
    {
        apply_own_write(s, *record, s.unconfirmed_sent_at);
    }
    else
    {
        bool const is_still_own = s.is_held && record->holder == s.holder &&
                                  record->fencing == s.fencing;
        if (!is_still_own)
            drop_lease(s);
    }
    s.unconfirmed.reset();
}

} // namespace

std::string to_json(lease_record const& r)
{
    return json{
        {"holder", r.holder}, {"fencing", r.fencing}, {"until_ms", r.until_ms}}
        .dump();
}

result<lease_record> parse_lease(std::string_view text)
{
    lease_record r;
    try
    {
        json const in = json::parse(text);
        r.holder = in.at("holder").get<std::string>();
        r.fencing = in.at("fencing").get<std::uint64_t>();
        r.until_ms = in.at("until_ms").get<std::int64_t>();
    }
    catch (json::exception const& e)
    {
        return fail(
            error_kind::bad_document, std::string("lease: ") + e.what());
    }
    return r;
}

lease_state make_lease(std::string holder, lease_rules const& rules)
{
    lease_state s;
    s.rules = rules;
    s.holder = std::move(holder);
    return s;
}

lease_call next_call(lease_state& s, clock_pair now)
{
    may_act(s, now);
    if (s.in_flight || now.steady < s.next_try)
        return {};
    if (!s.is_wanted && is_released(s))
        return {};
    lease_call call = start_read();
    if (s.is_observation_fresh && !s.is_wanted)
        call =
            start_write(s, {.holder = s.holder, .fencing = s.observed.fencing});
    else if (s.is_observation_fresh && (s.is_held || is_free(s, now)))
        call = start_write(s, record_to_write(s, now));
    s.in_flight = call;
    s.sent_at = now;
    return call;
}

void on_reply(lease_state& s, lease_reply const& reply, clock_pair now)
{
    lease_call const call = std::move(*s.in_flight);
    s.in_flight.reset();
    bool const is_read = call.kind == lease_call_kind::read;
    if (is_read && (reply.is_ok || reply.kind == error_kind::not_found))
    {
        handle_read(s, reply, now);
        bool const is_taken = !s.is_held && !is_free(s, now);
        if (is_taken)
            s.next_try = now.steady + s.rules.poll_after;
    }
    else if (!is_read && reply.is_ok)
    {
        record_observation(s, reply.revision, call.record, now);
        s.unconfirmed.reset();
        apply_own_write(s, call.record, s.sent_at);
    }
    else if (!is_read)
    {
        // A conflict may also be caused by an earlier write of this process
        // whose response was lost, so a read has to determine the holder.
        if (reply.kind != error_kind::conflict)
        {
            s.unconfirmed = call.record;
            s.unconfirmed_sent_at = s.sent_at;
            s.next_try = now.steady + s.rules.retry_after;
        }
        s.is_observation_fresh = false;
    }
    else
    {
        s.next_try = now.steady + s.rules.retry_after;
    }
    may_act(s, now);
}

bool may_act(lease_state& s, clock_pair now)
{
    if (!s.is_held)
        return false;
    bool const is_over = now.steady >= s.granted_at.steady + s.rules.lifetime ||
                         now.wall >= s.granted_at.wall + s.rules.lifetime ||
                         !clocks_agree(s.granted_at, now, s.rules.max_drift);
    if (is_over)
        drop_lease(s);
    return s.is_held && s.is_wanted;
}

void release(lease_state& s, clock_pair now)
{
    s.is_wanted = false;
    s.is_held = false;
    s.next_try = now.steady;
}

bool is_released(lease_state const& s)
{
    bool const may_be_own =
        s.observed.holder == s.holder && s.observed.until_ms > 0;
    return !s.is_wanted && !s.in_flight && !s.unconfirmed && !may_be_own;
}

} // namespace marjorambeam
