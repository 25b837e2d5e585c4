#include "entry/session_controller.hpp"

#include <algorithm>

namespace marjorambeam
{
namespace
{

// One-way peer_call that sends a pin to an owner that doesn't have it.
constexpr std::string_view pin_copy_call = "session_pin_copy";

bool is_caller_chosen_id(std::string_view header)
{
    return !header.empty() && !is_session_token(header);
}

std::string version_id(session_pin const& pin)
{
    return pin.model + "@" + pin.version;
}

bool is_same_version(session_pin const& a, session_pin const& b)
{
    return a.model == b.model && a.version == b.version;
}

// Splits "model@version".
std::pair<std::string, std::string> split_version(std::string_view id)
{
    std::size_t const at = id.find('@');
    if (at == std::string_view::npos)
        return {std::string(id), ""};
    return {std::string(id.substr(0, at)), std::string(id.substr(at + 1))};
}

} // namespace

session_controller::session_controller(
    entry_state& state, live_entries& live, peer_calls& calls,
    std::string_view secret)
    : state_(state)
    , live_(live)
    , calls_(calls)
    , key_(make_session_key(secret))
{
    calls_.serve(
        std::string(session_pin_call),
        [this](std::string_view /*instance*/, std::string_view body)
            -> std::optional<std::string>
        {
            std::optional<session_pin> pin = parse_pin(body);
            if (!pin)
                return std::nullopt;
            auto const held = pins_.find_or_insert(*pin, wall_now());
            // An empty version in the reply means that there is no pin.
            return encode_session_pin(held ? *held : *pin);
        });
    calls_.serve(
        std::string(pin_copy_call),
        [this](std::string_view /*instance*/, std::string_view body)
            -> std::optional<std::string>
        {
            std::optional<session_pin> const pin = parse_pin(body);
            if (pin && !pin->version.empty())
                pins_.merge(*pin, wall_now());
            return std::nullopt;
        });
}

std::optional<session_pin> session_controller::parse_pin(std::string_view body)
{
    result<session_pin> pin = decode_session_pin(body);
    if (pin && check_client_session_id(pin->id))
        return *pin;
    state_.cluster.counters.count(
        "peer_calls_refused_total", "session_pin_malformed");
    return std::nullopt;
}

void session_controller::find_pin(
    std::string_view customer, std::string_view header, pin_handler done)
{
    if (header.empty())
    {
        done(std::string());
        return;
    }
    if (is_session_token(header))
    {
        result<session_token> const t =
            read_session_token(key_, header, customer, wall_now());
        done(t.map([](session_token const& it)
                   { return it.model + "@" + it.version; }));
        return;
    }
    if (result<void> ok = check_client_session_id(header); !ok)
    {
        done(tl::unexpected<error>(ok.error()));
        return;
    }
    query_owners(
        {.customer = std::string(customer), .id = std::string(header)},
        [done = std::move(done)](std::optional<session_pin> const& pin)
        { done(pin ? version_id(*pin) : std::string()); });
}

void session_controller::establish_pin(
    std::string_view customer, std::string_view header, std::string_view chosen,
    pin_established_handler done)
{
    if (!is_caller_chosen_id(header))
    {
        done(std::string(chosen));
        return;
    }
    std::int64_t const now_ms = to_unix_ms(wall_now());
    auto const [model, name] = split_version(chosen);
    query_owners(
        {std::string(customer), std::string(header), model, name, now_ms,
         now_ms},
        [done = std::move(done),
         fallback = std::string(chosen)](std::optional<session_pin> pin)
        { done(pin ? version_id(*pin) : fallback); });
}

std::string session_controller::token(
    std::string_view customer, std::string_view header,
    std::string_view pin) const
{
    wall_time const now = wall_now();
    auto const [model, name] = split_version(pin);
    if (is_session_token(header))
    {
        // Renewed once less than half of its lifetime is left, so that a
        // session in use does not expire.
        result<session_token> const t = read_session_token(
            key_, header, customer, now, session_lifetime / 2);
        if (t && t->model == model && t->version == name)
            return std::string(header);
    }
    return make_session_token(
        key_, {std::string(customer), model, name, to_unix_ms(now)});
}

void session_controller::query_owners(
    session_pin requested, lookup_handler done)
{
    std::vector<std::string> const owners =
        pin_owners(requested.customer, requested.id, live_.names());
    auto const q = std::make_shared<owner_query>(
        owner_query{std::move(requested), owners.size(), {}, std::move(done)});
    for (std::string const& it : owners)
    {
        if (live_.is_self(it))
        {
            q->replies.push_back(
                {it, pins_.find_or_insert(q->requested, wall_now())});
            --q->outstanding;
            continue;
        }
        calls_.call(
            it, session_pin_call, encode_session_pin(q->requested),
            session_pin_timeout,
            [this, q, it](result<std::string> const& body)
            { on_reply(*q, it, body); });
    }
    if (q->outstanding == 0)
        finish(*q);
}

void session_controller::on_reply(
    owner_query& q, std::string const& owner, result<std::string> const& body)
{
    --q.outstanding;
    std::optional<session_pin> pin = body ? parse_pin(*body) : std::nullopt;
    bool const is_valid = pin && pin->customer == q.requested.customer &&
                          pin->id == q.requested.id;
    if (is_valid)
    {
        if (pin->version.empty())
            pin.reset();
        q.replies.push_back({owner, std::move(pin)});
    }
    if (q.outstanding == 0)
        finish(q);
}

void session_controller::finish(owner_query& q)
{
    wall_time const now = wall_now();
    std::optional<session_pin> best;
    auto consider = [&](std::optional<session_pin> const& pin)
    {
        if (pin && (!best || is_earlier_pin(*pin, *best)))
            best = pin;
    };
    for (owner_reply const& it : q.replies)
        consider(it.pin);
    session_pin own = q.requested;
    bool const is_local_only = q.replies.empty();
    if (!is_local_only)
        own.version.clear(); // look up only
    else
        state_.cluster.counters.count("session_pins_total", "own_table");
    consider(pins_.find_or_insert(own, now));
    if (best)
    {
        bool const is_new = best->created_ms == q.requested.created_ms &&
                            is_same_version(*best, q.requested);
        state_.cluster.counters.count(
            "session_pins_total", is_new ? "adopted" : "found");
        propagate_pin(q, *best);
        pins_.merge(*best, now);
    }
    q.done(std::move(best));
}

void session_controller::propagate_pin(
    owner_query const& q, session_pin const& pin)
{
    for (owner_reply const& it : q.replies)
    {
        bool const has_pin = it.pin && is_same_version(*it.pin, pin);
        if (!has_pin && !live_.is_self(it.owner))
            calls_.send(it.owner, pin_copy_call, encode_session_pin(pin));
    }
}

} // namespace marjorambeam
