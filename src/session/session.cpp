#include "session/session.hpp"

#include "base/hash.hpp"
#include "wire/value.hpp"

#include <algorithm>
#include <cereal/types/string.hpp>
#include <sodium.h>

namespace marjorambeam
{
namespace
{

static_assert(std::tuple_size_v<session_key> == crypto_auth_KEYBYTES);

// Prefix of every token. The number is the version of the format.
constexpr std::string_view token_prefix = "mjs1.";
constexpr std::size_t max_token_bytes = 4096;
constexpr int base64_variant = sodium_base64_VARIANT_URLSAFE_NO_PADDING;

std::string to_base64(std::string_view bytes)
{
    std::string text(
        sodium_base64_encoded_len(bytes.size(), base64_variant), '\0');
    sodium_bin2base64(
        text.data(), text.size(),
        reinterpret_cast<unsigned char const*>(bytes.data()), bytes.size(),
        base64_variant);
    text.pop_back();
    return text;
}

// Returns nothing for a text that to_base64() does not produce.
std::optional<std::string> from_base64(std::string_view text)
{
    std::string bytes(text.size(), '\0');
    std::size_t n = 0;
    char const* end = nullptr;
    int const ec = sodium_base642bin(
        reinterpret_cast<unsigned char*>(bytes.data()), bytes.size(),
        text.data(), text.size(), nullptr, &n, &end, base64_variant);
    if (ec != 0 || end != text.data() + text.size())
        return std::nullopt;
    bytes.resize(n);
    return bytes;
}

std::string pin_key(std::string_view customer, std::string_view id)
{
    std::string key(customer);
    key += '\0';
    key += id;
    return key;
}

struct token_body
{
    session_token& token;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(token.customer, token.model, token.version, token.created_ms);
    }
};

} // namespace

session_key make_session_key(std::string_view secret)
{
    // A fixed context separates these keys from other uses of the secret.
    constexpr std::string_view context = "marjorambeam session token";
    session_key key{};
    crypto_generichash(
        key.data(), key.size(),
        reinterpret_cast<unsigned char const*>(secret.data()), secret.size(),
        reinterpret_cast<unsigned char const*>(context.data()), context.size());
    return key;
}

std::string
make_session_token(session_key const& key, session_token const& token)
{
    session_token copy = token;
    std::string const body = encode_value(token_body{copy});
    std::string signed_body(crypto_auth_BYTES, '\0');
    crypto_auth(
        reinterpret_cast<unsigned char*>(signed_body.data()),
        reinterpret_cast<unsigned char const*>(body.data()), body.size(),
        key.data());
    signed_body += body;
    return std::string(token_prefix) + to_base64(signed_body);
}

bool is_session_token(std::string_view text)
{
    return text.starts_with(token_prefix);
}

result<session_token> read_session_token(
    session_key const& key, std::string_view text, std::string_view customer,
    wall_time now, duration lifetime)
{
    if (!is_session_token(text) || text.size() > max_token_bytes)
        return fail(error_kind::session_invalid, "not a session token");
    auto const bytes = from_base64(text.substr(token_prefix.size()));
    if (!bytes || bytes->size() <= crypto_auth_BYTES)
        return fail(error_kind::session_invalid, "session token is damaged");
    std::string_view const body =
        std::string_view(*bytes).substr(crypto_auth_BYTES);
    int const ec = crypto_auth_verify(
        reinterpret_cast<unsigned char const*>(bytes->data()),
        reinterpret_cast<unsigned char const*>(body.data()), body.size(),
        key.data());
    if (ec != 0)
        return fail(error_kind::session_invalid, "signature does not match");
    session_token token;
    token_body view{token};
    if (!decode_into(view, body))
        return fail(error_kind::session_invalid, "session token is damaged");
    if (token.customer != customer)
        return fail(error_kind::session_invalid, "token of another customer");
    if (now - from_unix_ms(token.created_ms) >= lifetime)
        return fail(error_kind::session_invalid, "session has expired");
    return token;
}

result<void> check_client_session_id(std::string_view id)
{
    if (id.empty() || id.size() > max_client_session_id_bytes)
        return fail(
            error_kind::session_invalid, "session id is not 1 to 64 long");
    for (char const c : id)
    {
        if (c <= ' ' || c > '~')
            return fail(
                error_kind::session_invalid,
                "session id has a character that is not visible ASCII");
    }
    return {};
}

std::string encode_session_pin(session_pin const& pin)
{
    return encode_value(pin);
}

result<session_pin> decode_session_pin(std::string_view body)
{
    session_pin pin;
    if (!decode_into(pin, body))
        return fail(error_kind::frame_corrupt, "session_pin is damaged");
    return pin;
}

std::vector<std::string> pin_owners(
    std::string_view customer, std::string_view id,
    std::span<std::string const> live_entries)
{
    constexpr std::size_t copies = 2;
    std::vector<std::string> owners;
    for (std::size_t const i :
         rendezvous_order(pin_key(customer, id), live_entries, copies))
        owners.push_back(live_entries[i]);
    return owners;
}

bool is_earlier_pin(session_pin const& a, session_pin const& b)
{
    if (a.created_ms != b.created_ms)
        return a.created_ms < b.created_ms;
    if (a.model != b.model)
        return a.model < b.model;
    return a.version < b.version;
}

pin_table::pin_table(std::size_t capacity, duration max_age)
    : capacity_(capacity)
    , max_age_(max_age)
{
}

bool pin_table::is_expired(session_pin const& pin, wall_time now) const
{
    return now - from_unix_ms(pin.used_ms) >= max_age_;
}

void pin_table::touch(pin_list::iterator it, std::int64_t used_ms)
{
    it->used_ms = std::max(it->used_ms, used_ms);
    pins_.splice(pins_.begin(), pins_, it);
}

session_pin pin_table::insert(session_pin const& pin)
{
    if (by_id_.size() >= capacity_)
    {
        by_id_.erase(pin_key(pins_.back().customer, pins_.back().id));
        pins_.pop_back();
        ++evictions_;
    }
    pins_.push_front(pin);
    by_id_[pin_key(pin.customer, pin.id)] = pins_.begin();
    return pin;
}

void pin_table::remove_expired(wall_time now)
{
    while (!pins_.empty() && is_expired(pins_.back(), now))
    {
        by_id_.erase(pin_key(pins_.back().customer, pins_.back().id));
        pins_.pop_back();
    }
}

std::optional<session_pin>
pin_table::find_or_insert(session_pin const& request, wall_time now)
{
    remove_expired(now);
    auto const found = by_id_.find(pin_key(request.customer, request.id));
    if (found != by_id_.end())
    {
        touch(found->second, to_unix_ms(now));
        return *found->second;
    }
    if (request.version.empty())
        return std::nullopt;
    session_pin inserted = request;
    inserted.used_ms = to_unix_ms(now);
    return insert(inserted);
}

session_pin pin_table::merge(session_pin const& copy, wall_time now)
{
    remove_expired(now);
    auto const found = by_id_.find(pin_key(copy.customer, copy.id));
    if (found == by_id_.end())
    {
        // An expired copy is not stored but is still returned to its sender.
        return is_expired(copy, now) ? copy : insert(copy);
    }
    auto const it = found->second;
    std::int64_t const used_ms = std::max(it->used_ms, copy.used_ms);
    if (is_earlier_pin(copy, *it))
        *it = copy;
    touch(it, used_ms);
    return *it;
}

std::vector<session_pin> pin_table::pins(wall_time now) const
{
    std::vector<session_pin> kept;
    for (session_pin const& it : pins_)
    {
        if (!is_expired(it, now))
            kept.push_back(it);
    }
    return kept;
}

} // namespace marjorambeam
