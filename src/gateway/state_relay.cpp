#include "gateway/state_relay.hpp"

#include "base/hash.hpp"
#include "wire/value.hpp"

#include <iterator>

namespace marjorambeam
{
namespace
{

// Space for objects in a datagram of 1400 bytes, after the fields of the change
// and of the frame.
constexpr std::size_t max_objects_bytes = 1100;
// Encoded lengths and flags of an object, in bytes.
constexpr std::size_t object_overhead_bytes = 36;
// A change of every entry of the largest fleet takes fewer parts.
constexpr std::uint16_t max_parts = 4096;

std::size_t encoded_size(relayed_object const& o)
{
    return object_overhead_bytes + o.name.size() + o.specification.size() +
           o.status.size();
}

bool is_same_change(state_change const& a, state_change const& b)
{
    return a.incarnation_id == b.incarnation_id && a.era == b.era &&
           a.before == b.before && a.after == b.after && a.from == b.from &&
           a.revision == b.revision && a.parts == b.parts;
}

} // namespace

std::uint64_t object_digest(std::string_view name, std::uint64_t revision)
{
    return hash64(name, revision);
}

bool is_applicable(
    state_change const& change, std::uint64_t digest, store_position position)
{
    return position.era == change.era && position.revision < change.revision &&
           (change.before == digest || change.from <= position.revision);
}

std::vector<state_change> split_change(state_change const& change)
{
    state_change empty = change;
    empty.objects.clear();
    std::vector<state_change> parts{empty};
    std::size_t used = 0;
    for (relayed_object const& it : change.objects)
    {
        std::size_t const n = encoded_size(it);
        if (n > max_objects_bytes)
            return {};
        if (used + n > max_objects_bytes)
        {
            parts.push_back(empty);
            used = 0;
        }
        parts.back().objects.push_back(it);
        used += n;
    }
    if (parts.size() > max_parts)
        return {};
    for (std::size_t i = 0; i < parts.size(); ++i)
    {
        parts[i].part = static_cast<std::uint16_t>(i);
        parts[i].parts = static_cast<std::uint16_t>(parts.size());
    }
    return parts;
}

peer_call to_call(state_change const& part)
{
    return {.name = std::string(state_change_call), .body = encode_value(part)};
}

result<state_change> decode_change(peer_call const& call)
{
    result<state_change> c =
        decode_value<state_change>(call.body, trailing_bytes::ignored);
    if (c && (c->kind >= state_kind_count || c->parts == 0 ||
              c->parts > max_parts || c->part >= c->parts))
        return fail(
            error_kind::frame_corrupt, "invalid kind or part of a change");
    return c;
}

std::optional<state_change> change_assembler::put(state_change&& part)
{
    if (part.parts == 1)
        return std::move(part);
    auto const key = std::pair(part.sender, part.kind);
    pending& p = pending_[key];
    if (p.parts.empty() || !is_same_change(p.first, part))
    {
        p.parts.clear();
        p.first = part;
        p.first.objects.clear();
    }
    p.parts[part.part] = std::move(part.objects);
    if (p.parts.size() < p.first.parts)
        return std::nullopt;
    state_change complete = std::move(p.first);
    for (auto& [i, objects] : p.parts)
        std::move(
            objects.begin(), objects.end(),
            std::back_inserter(complete.objects));
    pending_.erase(key);
    complete.part = 0;
    complete.parts = 1;
    return complete;
}

} // namespace marjorambeam
