#include "at_most_once/keyspace_lease_manager.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <utility>

namespace marjorambeam
{
namespace
{

// One read for all partitions of a service: half a read a second per agent.
constexpr std::int64_t read_period_ms = 2000;
constexpr std::int64_t urgent_read_ms = 200;

} // namespace

keyspace_lease_manager::keyspace_lease_manager(
    object_store& store, std::string service, keyspace_candidate self,
    at_most_once_limits limits)
    : store_(store)
    , service_(std::move(service))
    , self_(std::move(self))
    , limits_(limits)
{
}

void keyspace_lease_manager::tick(
    clock_reading now, std::span<std::string const> live_upstreams)
{
    live_.assign(live_upstreams.begin(), live_upstreams.end());
    if (!is_reading_ && now.steady_ms >= next_read_ms_)
        read_all(now);
    for (std::uint32_t p = 0; p < keyspace_partitions; ++p)
        step(p, now);
}

void keyspace_lease_manager::expedite_read(clock_reading now)
{
    next_read_ms_ = std::min(next_read_ms_, now.steady_ms + urgent_read_ms);
}

void keyspace_lease_manager::begin_shutdown()
{
    is_stopping_ = true;
    for (partition_slot& it : slots_)
    {
        it.reserved_for.clear();
        begin_release(it.state);
    }
}

std::string const& keyspace_lease_manager::owner(std::uint32_t partition) const
{
    static std::string const none;
    partition_slot const& it = slots_[partition];
    return it.stored ? it.stored->owner : none;
}

std::size_t keyspace_lease_manager::owned() const
{
    return static_cast<std::size_t>(std::count_if(
        slots_.begin(), slots_.end(),
        [](partition_slot const& it) { return it.state.is_owner; }));
}

void keyspace_lease_manager::read_all(clock_reading now)
{
    is_reading_ = true;
    next_read_ms_ = now.steady_ms + read_period_ms;
    store_.list(
        keyspace_kind, service_ + ".", keyspace_partitions,
        [this, alive = std::weak_ptr<bool>(alive_)](
            result<std::vector<stored_object>> const& objects)
        {
            if (!alive.expired())
                on_list(objects);
        });
}

void keyspace_lease_manager::on_list(
    result<std::vector<stored_object>> const& objects)
{
    is_reading_ = false;
    is_store_available_ = objects.has_value();
    if (!objects)
        return;
    for (std::uint32_t p = 0; p < keyspace_partitions; ++p)
    {
        partition_slot& it = slots_[p];
        // The read may be older than the write in flight.
        if (std::exchange(it.skips_stale_read, false) || it.is_write_in_flight)
            continue;
        std::string const name = keyspace_name(service_, p);
        auto const found = std::find_if(
            objects->begin(), objects->end(),
            [&](stored_object const& o) { return o.name == name; });
        if (found == objects->end())
        {
            it.stored.reset();
            it.revision = 0;
            it.is_current = true;
            continue;
        }
        result<keyspace_record> record = parse_keyspace_record(found->value);
        it.is_current = record.has_value();
        if (!record)
            continue;
        it.stored = *std::move(record);
        it.revision = found->revision;
    }
}

void keyspace_lease_manager::consider_handover(
    partition_slot& it, clock_reading now)
{
    bool const is_preferred = self_.rank == 0 || !it.state.is_owner;
    if (is_preferred)
    {
        it.not_preferred_since_ms = -1;
        return;
    }
    if (it.not_preferred_since_ms < 0)
        it.not_preferred_since_ms = now.steady_ms;
    if (now.steady_ms - it.not_preferred_since_ms >= limits_.handover_delay_ms)
        begin_release(it.state);
}

void keyspace_lease_manager::step(std::uint32_t p, clock_reading now)
{
    partition_slot& it = slots_[p];
    // A clock step ends ownership even while a write is in flight.
    if (it.state.is_owner && has_clock_step(it.state, now, limits_))
        drop_ownership(it.state);
    if (it.is_write_in_flight || !it.is_current)
        return;
    auto const order = rendezvous_order(keyspace_name(service_, p), live_);
    auto const place = std::find_if(
        order.begin(), order.end(),
        [&](std::size_t i) { return live_[i] == self_.upstream; });
    if (place == order.end() && !it.state.is_owner)
        return;
    self_.rank = static_cast<std::size_t>(place - order.begin());
    if (!it.state.is_releasing && !is_stopping_ && !order.empty())
    {
        it.reserved_for = live_[order[0]];
        consider_handover(it, now);
    }
    update_vacancy(it.state, it.stored, now);
    keyspace_plan const plan = plan_keyspace(
        it.state, it.stored, self_, now, limits_, it.reserved_for);
    switch (plan.step)
    {
    case keyspace_step::wait:
        break;
    case keyspace_step::drop:
        drop_ownership(it.state);
        break;
    case keyspace_step::acquire:
        if (!is_stopping_)
            write(p, plan, now);
        break;
    case keyspace_step::renew:
    case keyspace_step::release:
        write(p, plan, now);
        break;
    }
}

void keyspace_lease_manager::write(
    std::uint32_t p, keyspace_plan const& plan, clock_reading now)
{
    partition_slot& it = slots_[p];
    it.is_write_in_flight = true;
    auto done = [this, alive = std::weak_ptr<bool>(alive_), p, plan,
                 now](result<stored_object> const& response)
    {
        if (!alive.expired())
            on_write(p, plan, now, response);
    };
    std::string const name = keyspace_name(service_, p);
    std::string const value = to_json(plan.record);
    if (it.revision == 0)
        store_.create(keyspace_kind, name, value, std::move(done));
    else
        store_.update(keyspace_kind, name, it.revision, value, std::move(done));
}

void keyspace_lease_manager::on_write(
    std::uint32_t p, keyspace_plan const& plan, clock_reading sent,
    result<stored_object> const& response)
{
    partition_slot& it = slots_[p];
    it.is_write_in_flight = false;
    it.skips_stale_read = is_reading_;
    is_store_available_ =
        response || response.error().kind == error_kind::conflict;
    if (!response)
    {
        // Read the object before the next step: the write may have succeeded,
        // or another process has written. After a conflict that is at once:
        // callers are redirected to the owner as soon as it is known.
        it.is_current = false;
        if (is_store_available_)
            next_read_ms_ = std::min(next_read_ms_, sent.steady_ms);
        return;
    }
    it.stored = plan.record;
    it.revision = response->revision;
    if (plan.step == keyspace_step::release)
        drop_ownership(it.state);
    else
        on_lease_written(it.state, plan.record, sent);
    if (is_stopping_)
        begin_release(it.state);
}

} // namespace marjorambeam
