// Acquires, renews and releases the leases on one service's key space
// partitions in the object API.
//
// Example:
//   keyspace_lease_manager manager(store, service, {"lc-1", address, self});
//   manager.tick(clock, live_upstreams); // several times a second
//   std::uint32_t p = partition_of(customer, service, key);
//   bool is_up = manager.is_store_available();
//   window.admit(manager.state(p), request, is_up, clock);
//
// Everything runs on the loop's thread; nothing is thread-safe.
#pragma once

#include "at_most_once/keyspace.hpp"
#include "object_store/object_store.hpp"

#include <array>
#include <memory>
#include <span>
#include <vector>

namespace marjorambeam
{

class keyspace_lease_manager
{
public:
    // `store` outlives the manager. The rank in `self` is ignored: it follows
    // from the live upstreams.
    keyspace_lease_manager(
        object_store& store, std::string service, keyspace_candidate self,
        at_most_once_limits limits = {});
    keyspace_lease_manager(keyspace_lease_manager const&) = delete;
    keyspace_lease_manager& operator=(keyspace_lease_manager const&) = delete;
    // A write in flight may still take effect; its response is ignored.
    ~keyspace_lease_manager() = default;

    // Reads the partitions every 2 s, and acquires, renews and releases leases.
    // `live_upstreams` are those of the service, this one included.
    void tick(clock_reading now, std::span<std::string const> live_upstreams);

    // Reads the partitions within 200 ms; call it while a request waits for an
    // owner.
    void expedite_read(clock_reading now);

    // Releases every partition for a planned stop and acquires no more.
    void begin_shutdown();

    // Returns this process's state of a partition. Precondition: `partition` is
    // below 16.
    partition_state& state(std::uint32_t partition)
    {
        return slots_[partition].state;
    }

    // The upstream whose agent owns the partition by the latest reading; empty
    // when none does.
    std::string const& owner(std::uint32_t partition) const;

    // Returns the number of partitions that this process owns.
    std::size_t owned() const;

    // Whether the latest call to the object API received a response.
    bool is_store_available() const
    {
        return is_store_available_;
    }

private:
    struct partition_slot
    {
        partition_state state;
        std::optional<keyspace_record> stored;
        std::uint64_t revision = 0; // 0: there is no object
        bool is_write_in_flight = false;
        bool is_current = false; // since the latest write that failed
        bool skips_stale_read =
            false; // the read in flight is older than the write
        std::string reserved_for;
        std::int64_t not_preferred_since_ms = -1;
    };

    void read_all(clock_reading now);
    void on_list(result<std::vector<stored_object>> const& objects);
    void step(std::uint32_t p, clock_reading now);
    void write(std::uint32_t p, keyspace_plan const& plan, clock_reading now);
    void on_write(
        std::uint32_t p, keyspace_plan const& plan, clock_reading sent,
        result<stored_object> const& response);
    void consider_handover(partition_slot& it, clock_reading now);

    object_store& store_;
    std::string service_;
    keyspace_candidate self_;
    at_most_once_limits limits_;
    std::array<partition_slot, keyspace_partitions> slots_;
    std::vector<std::string> live_;
    bool is_reading_ = false;
    bool is_store_available_ = false;
    bool is_stopping_ = false;
    std::int64_t next_read_ms_ = INT64_MIN; // by the steady clock
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace marjorambeam
