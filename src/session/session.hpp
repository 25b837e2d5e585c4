// Sessions: signed tokens that carry the version a session is pinned to, and
// the table of pins for session ids that callers choose.
//
// Example:
//   session_key key = make_session_key("the shared secret");
//   std::string token =
//       make_session_token(key, {"havbris", "m", "v3", to_unix_ms(now)});
//   result<session_token> t = read_session_token(key, token, "havbris", now);
//   if (!t)
//       refuse(t.error()); // session_invalid
#pragma once

#include "base/time.hpp"
#include "error/error.hpp"

#include <array>
#include <cstdint>
#include <list>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace marjorambeam
{

// Signing key of tokens; equal at all daemons with the same secret.
using session_key = std::array<unsigned char, 32>;

// Longest session id that a caller may choose. The shortest token is longer, so
// a damaged token is never accepted as such an id.
constexpr std::size_t max_client_session_id_bytes = 64;

// How long a token is valid after its creation.
constexpr duration session_lifetime = std::chrono::hours(24);

// Contents of a token.
struct session_token
{
    std::string customer;
    std::string model;
    std::string version;
    std::int64_t created_ms = 0; // Unix time
};

// Derives the signing key from the secret in the settings. Precondition: the
// secret isn't empty. Thread-safe.
session_key make_session_key(std::string_view secret);

// Returns `token` in text form with its signature, in characters that need no
// escaping in an HTTP header. Thread-safe.
std::string
make_session_token(session_key const& key, session_token const& token);

// Whether `text` starts like a token; the signature is not verified. Any other
// text is a session id chosen by the caller, see check_client_session_id().
// Thread-safe.
bool is_session_token(std::string_view text);

// Verifies a token and returns its contents. Error: session_invalid when the
// text was modified, signed with another key, issued to another customer, or is
// at least `lifetime` old. Thread-safe.
result<session_token> read_session_token(
    session_key const& key, std::string_view text, std::string_view customer,
    wall_time now, duration lifetime = session_lifetime);

// Validates a session id chosen by a caller: 1 to 64 visible ASCII characters.
// Error: session_invalid. Thread-safe.
result<void> check_client_session_id(std::string_view id);

// Name of the peer_call that carries an encoded session_pin.
constexpr std::string_view session_pin_call = "session_pin";

// The version that a session id chosen by a caller is pinned to. An empty
// `version` in a request means: look up, don't insert.
struct session_pin
{
    std::string customer;
    std::string id;
    std::string model;
    std::string version;
    std::int64_t created_ms = 0; // Unix time at the entry that chose
    std::int64_t used_ms = 0;    // Unix time of the latest use

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(customer, id, model, version, created_ms, used_ms);
    }

    bool operator==(session_pin const&) const = default;
};

// Returns the body of a session_pin call. Thread-safe.
std::string encode_session_pin(session_pin const& pin);

// Returns the pin in a call's body. Error: frame_corrupt. Thread-safe.
result<session_pin> decode_session_pin(std::string_view body);

// Returns the names of the two entries that own the pin of a session id, the
// preferred one first; fewer when fewer entries are live. Thread-safe.
std::vector<std::string> pin_owners(
    std::string_view customer, std::string_view id,
    std::span<std::string const> live_entries);

// Whether `a` takes precedence over `b` when two copies differ: the one created
// earlier, or by model and version for the same millisecond, so that all owners
// make the same choice. Thread-safe.
bool is_earlier_pin(session_pin const& a, session_pin const& b);

// The pins that one owner holds, bounded in number and age. An owner that
// receives an earlier pin for an id replaces its own. Not thread-safe.
class pin_table
{
public:
    // Holds at most `capacity` pins, each until `max_age` after its latest use.
    // Precondition: `capacity` is at least 1.
    explicit pin_table(
        std::size_t capacity = 100000, duration max_age = session_lifetime);

    // Returns the pin of the id and refreshes its time of use. If there is
    // none, inserts and returns `request` when it names a version, else returns
    // nothing.
    std::optional<session_pin>
    find_or_insert(session_pin const& request, wall_time now);

    // Merges another owner's copy; the earlier pin wins. Returns the pin that
    // is valid afterwards, to be sent back to the other owner if it differs.
    session_pin merge(session_pin const& copy, wall_time now);

    // Returns all unexpired pins, for example to copy them to a new owner.
    std::vector<session_pin> pins(wall_time now) const;

    // The number of pins held, expired ones included until the next insertion
    // or lookup.
    std::size_t size() const
    {
        return by_id_.size();
    }

    // The number of pins evicted at capacity, least recently used first.
    std::uint64_t evictions() const
    {
        return evictions_;
    }

private:
    using pin_list = std::list<session_pin>;

    bool is_expired(session_pin const& pin, wall_time now) const;
    void touch(pin_list::iterator it, std::int64_t used_ms);
    session_pin insert(session_pin const& pin);
    void remove_expired(wall_time now);

    std::size_t capacity_;
    duration max_age_;
    pin_list pins_; // most recently used first
    std::unordered_map<std::string, pin_list::iterator> by_id_;
    std::uint64_t evictions_ = 0;
};

} // namespace marjorambeam
