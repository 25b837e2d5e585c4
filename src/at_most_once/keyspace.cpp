#include "at_most_once/keyspace.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>

namespace marjorambeam
{
namespace
{

using json = nlohmann::json;

// Returns the wall time from which a candidate may acquire a partition whose
// last lease belongs to another process.
std::int64_t acquirable_from_ms(
    keyspace_record const& r, keyspace_candidate const& self,
    at_most_once_limits const& limits)
{
    return r.lease_end_ms + limits.max_clock_skew_ms +
           static_cast<std::int64_t>(self.rank) * limits.rank_delay_ms;
}

// Whether the delay of the candidate's rank has passed for a partition without
// an owner.
bool is_rank_delay_over(
    partition_state const& s, keyspace_candidate const& self, clock_reading now,
    std::int64_t extra_ms, at_most_once_limits const& limits)
{
    std::int64_t const delay =
        extra_ms + static_cast<std::int64_t>(self.rank) * limits.rank_delay_ms;
    return delay == 0 || (s.vacant_since_ms >= 0 &&
                          now.steady_ms - s.vacant_since_ms >= delay);
}

keyspace_plan acquire(
    std::uint64_t epoch, std::int64_t bound_ms, keyspace_candidate const& self,
    clock_reading now, at_most_once_limits const& limits)
{
    return {
        keyspace_step::acquire,
        {.owner = self.upstream,
         .address = self.address,
         .process = self.process,
         .epoch = epoch,
         .lease_end_ms = now.wall_ms + limits.lease_duration_ms,
         .bound_ms = bound_ms}};
}

keyspace_plan plan_as_owner(
    partition_state const& s, std::optional<keyspace_record> const& stored,
    keyspace_candidate const& self, clock_reading now,
    at_most_once_limits const& limits, std::string_view reserved_for)
{
    if (!stored || stored->process != self.process || stored->epoch != s.epoch)
        return {keyspace_step::drop, {}};
    if (has_clock_step(s, now, limits))
        return {keyspace_step::drop, {}};
    keyspace_record next = *stored;
    if (s.is_releasing)
    {
        next.owner.clear();
        next.address.clear();
        next.process = 0;
        next.reserved_for = reserved_for;
        // Tighter than the end of the lease, so that new keys run at once.
        next.bound_ms = std::max(s.bound_ms, s.max_admitted_ms + 1);
        return {keyspace_step::release, next};
    }
    if (now.wall_ms <
        s.lease_end_ms - limits.lease_duration_ms + limits.renew_interval_ms)
        return {};
    // Also after the end of the lease: the write succeeds only when nobody
    // has taken the partition since.
    next.lease_end_ms =
        std::max(stored->lease_end_ms, now.wall_ms + limits.lease_duration_ms);
    return {keyspace_step::renew, next};
}

} // namespace

clock_reading make_clock_reading(wall_time wall, steady_time steady)
{
    return {
        to_unix_ms(wall), std::chrono::duration_cast<std::chrono::milliseconds>(
                              steady.time_since_epoch())
                              .count()};
}

std::uint32_t partition_of(
    std::string_view customer, std::string_view service, std::string_view key)
{
    std::uint64_t const seed = hash64(service, hash64(customer));
    return static_cast<std::uint32_t>(hash64(key, seed) % keyspace_partitions);
}

std::string keyspace_name(std::string_view service, std::uint32_t partition)
{
    std::string name(service);
    name += partition < 10 ? ".0" : ".";
    return name + std::to_string(partition);
}

std::string to_json(keyspace_record const& r)
{
    json const j = {
        {"owner", r.owner},
        {"address", r.address},
        {"process", to_hex(r.process)},
        {"reserved_for", r.reserved_for},
        {"epoch", r.epoch},
        {"lease_end_ms", r.lease_end_ms},
        {"bound_ms", r.bound_ms}};
    return j.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<keyspace_record> parse_keyspace_record(std::string_view text)
{
    try
    {
        json const j = json::parse(text);
        keyspace_record r;
        j.at("owner").get_to(r.owner);
        j.at("address").get_to(r.address);
        r.process =
            std::stoull(j.at("process").get<std::string>(), nullptr, 16);
        j.at("reserved_for").get_to(r.reserved_for);
        j.at("epoch").get_to(r.epoch);
        j.at("lease_end_ms").get_to(r.lease_end_ms);
        j.at("bound_ms").get_to(r.bound_ms);
        return r;
    }
    catch (std::exception const& e)
    {
        return fail(
            error_kind::bad_document, std::string("keyspace: ") + e.what());
    }
}

bool has_clock_step(
    partition_state const& s, clock_reading now,
    at_most_once_limits const& limits)
{
    return std::abs(now.wall_ms - now.steady_ms - s.clock_base_ms) >
           limits.max_clock_drift_ms;
}

bool may_admit(
    partition_state const& s, clock_reading now,
    at_most_once_limits const& limits)
{
    return s.is_owner && !s.is_releasing && now.wall_ms < s.lease_end_ms &&
           now.steady_ms < s.lease_end_steady_ms &&
           !has_clock_step(s, now, limits);
}

keyspace_plan plan_keyspace(
    partition_state const& s, std::optional<keyspace_record> const& stored,
    keyspace_candidate const& self, clock_reading now,
    at_most_once_limits const& limits, std::string_view reserved_for)
{
    if (s.is_owner)
        return plan_as_owner(s, stored, self, now, limits, reserved_for);
    if (!stored)
    {
        if (is_rank_delay_over(s, self, now, 0, limits))
            return acquire(
                s.epoch + 1, s.max_admitted_ms + 1, self, now, limits);
        return {};
    }
    std::uint64_t const epoch = stored->epoch + 1;
    std::int64_t const known = std::max(stored->bound_ms, s.bound_ms);
    if (stored->process == 0)
    {
        bool const is_for_other = !stored->reserved_for.empty() &&
                                  stored->reserved_for != self.upstream;
        std::int64_t const wait = is_for_other ? limits.reservation_ms : 0;
        if (is_rank_delay_over(s, self, now, wait, limits))
            return acquire(epoch, known, self, now, limits);
        return {};
    }
    // This process dropped the lease, or never received the confirmation of its
    // write.
    if (stored->process == self.process)
        return acquire(
            epoch, std::max(known, s.max_admitted_ms + 1), self, now, limits);
    std::int64_t const after_lease =
        stored->lease_end_ms + limits.max_future_ms;
    // Two processes can't listen on one address: the previous one has ended.
    // Its clock may have been ahead of this one, and it admitted keys of up to
    // and including `max_future_ms` ahead of that.
    if (stored->address == self.address)
    {
        std::int64_t const after_now =
            now.wall_ms + limits.max_future_ms + limits.max_clock_skew_ms + 1;
        return acquire(
            epoch, std::max(known, std::min(after_lease, after_now)), self, now,
            limits);
    }
    if (now.wall_ms < acquirable_from_ms(*stored, self, limits))
        return {};
    return acquire(epoch, std::max(known, after_lease), self, now, limits);
}

void update_vacancy(
    partition_state& s, std::optional<keyspace_record> const& stored,
    clock_reading now)
{
    bool const is_vacant = !stored || stored->process == 0;
    if (!is_vacant)
        s.vacant_since_ms = -1;
    else if (s.vacant_since_ms < 0)
        s.vacant_since_ms = now.steady_ms;
}

void on_lease_written(
    partition_state& s, keyspace_record const& written, clock_reading sent)
{
    bool const is_dropped = !s.is_owner && written.epoch == s.epoch;
    if (is_dropped || written.epoch < s.epoch)
        return;
    s.is_owner = true;
    s.epoch = written.epoch;
    s.lease_end_ms = written.lease_end_ms;
    s.lease_end_steady_ms =
        sent.steady_ms + written.lease_end_ms - sent.wall_ms;
    s.bound_ms = written.bound_ms;
    s.clock_base_ms = sent.wall_ms - sent.steady_ms;
    s.vacant_since_ms = -1;
}

void drop_ownership(partition_state& s)
{
    s.is_owner = false;
    s.is_releasing = false;
}

void begin_release(partition_state& s)
{
    s.is_releasing = s.is_owner;
}

} // namespace marjorambeam
