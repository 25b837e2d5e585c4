// Splits a text/event-stream body into whole events.
//
// Example:
//   event_splitter s;
//   std::string whole = s.put(bytes); // ends at the end of an event
//   if (s.last_id()) resume_after(*s.last_id());
//
// Nothing is thread-safe.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace marjorambeam
{

// Longer events are taken for bytes that belong to none.
constexpr std::size_t max_event_bytes = std::size_t{1} << 20U;

// Holds back an event until its end has arrived, so that a stream that breaks
// off can continue at a whole event.
class event_splitter
{
public:
    // Takes bytes; returns all events that are whole now. Events whose id is
    // not greater than last_id() are left out.
    std::string put(std::string_view bytes);

    // The id of the last event returned; nothing before the first.
    std::optional<std::uint64_t> last_id() const
    {
        return last_id_;
    }
    // Events returned, comments not counted.
    std::uint64_t events() const
    {
        return events_;
    }
    // Bytes of an event that are held back.
    std::size_t held_bytes() const
    {
        return held_.size();
    }
    // Whether a part of an event is held back.
    bool has_partial() const
    {
        return !held_.empty();
    }
    // Whether an event was skipped over: the next one does not follow the
    // last one returned.
    bool has_gap() const
    {
        return has_gap_;
    }

    // Whether a part of an event is so long that no event will come of it.
    bool is_too_long() const
    {
        return held_.size() > max_event_bytes;
    }

    // Forgets the partial event; the next bytes come from another source that
    // continues after last_id().
    void restart()
    {
        held_.clear();
    }
    // The caller already has the events up to `id`.
    void start_after(std::uint64_t id)
    {
        last_id_ = id;
    }

private:
    void take(std::string_view event, std::string& out);

    std::string held_;
    std::optional<std::uint64_t> last_id_;
    std::uint64_t events_ = 0;
    bool has_gap_ = false;
};

} // namespace marjorambeam
