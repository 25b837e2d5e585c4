// Identifiers of processes and requests.
//
// Example:
//   id_source ids(random_incarnation());
//   std::string request_id = ids.next(); // "r-1f3a...-1"
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace marjorambeam
{

// Number drawn at random when a process starts; tells it from the process
// that had the same name or address before.
using incarnation = std::uint64_t;

// Returns a fresh non-zero incarnation from the system's random source.
// Thread-safe.
incarnation random_incarnation();

// Returns `value` as 16 hexadecimal digits. Thread-safe.
std::string to_hex(std::uint64_t value);

// Produces request ids that no other process produces. Not thread-safe.
class id_source
{
public:
    explicit id_source(incarnation self)
        : prefix_("r-" + to_hex(self) + "-")
    {
    }

    // Returns an id that this source has not returned before.
    std::string next()
    {
        return prefix_ + std::to_string(++last_);
    }

private:
    std::string prefix_;
    std::uint64_t last_ = 0;
};

// Returns a UUID of version 7 (RFC 9562) for `unix_ms`; `random` supplies the
// random bits. Thread-safe.
std::string make_uuid7(std::int64_t unix_ms, std::uint64_t random);

// Returns the time in milliseconds carried by a UUID of version 7, or -1 when
// `text` is not one. Thread-safe.
std::int64_t uuid7_unix_ms(std::string_view text);

} // namespace marjorambeam
