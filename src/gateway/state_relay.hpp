// Changes of the store's objects, which readers relay to the gateways that do
// not read the store.
//
// Example:
//   for (state_change const& part : split_change(change))
//       send(to_call(part));
//   ...
//   if (auto complete = assembler.put(std::move(part))) watch.apply(*complete);
//
// A change holds the latest state of each object that changed between two
// revisions of the store. A copy that is complete as of a revision in between,
// or equals the state that the change starts from, is complete as of the later
// revision once it applies the change; other copies reject it. Lost, late and
// repeated changes are therefore harmless. No I/O. Not thread-safe.
#pragma once

#include "base/id.hpp"
#include "error/error.hpp"
#include "wire/message.hpp"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace marjorambeam
{

// Name of the peer_call that carries a part of a change.
constexpr std::string_view state_change_call = "state_change_2";

// Kinds of objects that are relayed. The configuration is not: it may be
// larger than datagrams can carry, and its version shows which gateways lack
// it.
enum class state_kind : std::uint8_t
{
    upstreams,
    rollouts,
    zones,
    gateways,
    quarantines
};
constexpr std::size_t state_kind_count = 5;

struct relayed_object
{
    std::string name;
    std::uint64_t revision = 0;
    bool is_deleted = false;
    std::string specification; // JSON
    std::string status;        // JSON

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(name, revision, is_deleted, specification, status);
    }
};

// A moment in the history of the store. Revisions are given out again when it
// comes back from an older copy, in another era; positions never go back.
struct store_position
{
    std::uint64_t era = 0; // 0: the store names none
    std::uint64_t revision = 0;

    auto operator<=>(store_position const&) const = default;
};

// Returns the digest of one object; that of a state is the XOR over its
// objects. Thread-safe.
std::uint64_t object_digest(std::string_view name, std::uint64_t revision);

struct state_change
{
    std::string sender;
    incarnation incarnation_id = 0; // of the sender
    std::uint8_t kind = 0;
    std::uint64_t era = 0;    // of both revisions
    std::uint64_t before = 0; // digest of the state that it starts from
    std::uint64_t after = 0;  // digest of the state that it leads to
    // Revision of the store from which on it tells of all changes.
    std::uint64_t from = 0;
    std::uint64_t revision = 0; // of the store of `after`
    // For how much longer missing entries may have expired due to an outage.
    std::int64_t uncertain_ms = 0;
    std::uint16_t part = 0;
    std::uint16_t parts = 1;
    std::vector<relayed_object> objects; // the last state of each that changed

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(sender, incarnation_id, kind, era, before, after, from, revision,
           uncertain_ms, part, parts, objects);
    }
};

// Returns whether the change makes a copy with this digest, complete as of
// `position`, complete as of the change's revision. Thread-safe.
bool is_applicable(
    state_change const& change, std::uint64_t digest, store_position position);

// Splits the change into parts that fit into datagrams. Returns none if an
// object is too large for one, or there are too many parts. Thread-safe.
std::vector<state_change> split_change(state_change const& change);

// Encodes a part of a change for a datagram. Precondition: it fits into one, as
// the parts from split_change() do. Thread-safe.
peer_call to_call(state_change const& part);
// Errors: frame_corrupt, also for an invalid kind or part number.
// Precondition: the call is a state_change_call. Thread-safe.
result<state_change> decode_change(peer_call const& call);

// Assembles changes from their parts. Not thread-safe.
class change_assembler
{
public:
    // Returns the complete change if `part` was the last missing one. Drops the
    // sender's earlier incomplete change of the same kind. Precondition: its
    // part number is valid, as decode_change() ensures.
    std::optional<state_change> put(state_change&& part);

private:
    struct pending
    {
        state_change first;
        std::map<std::uint16_t, std::vector<relayed_object>> parts;
    };
    std::map<std::pair<std::string, std::uint8_t>, pending> pending_;
};

} // namespace marjorambeam
