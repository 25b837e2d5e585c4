#include "entry/peer_calls.hpp"

#include "wire/frame.hpp"

#include <algorithm>

namespace marjorambeam
{
namespace
{

// Frame of an empty peer_call: the header, the byte order, call_id, is_reply
// and the lengths of name and body.
constexpr std::size_t call_overhead_bytes = frame_header_bytes + 1 + 8 + 1 + 16;

double frame_bytes(peer_call const& c)
{
    return static_cast<double>(
        call_overhead_bytes + c.name.size() + c.body.size());
}

} // namespace

peer_calls::peer_calls(
    ev::loop_ref loop, cluster_state& cluster, peer_call_settings settings)
    : loop_(loop)
    , cluster_(cluster)
    , settings_(std::move(settings))
    , timer_(loop, [this] { expire(steady_now()); })
{
}

peer_calls::~peer_calls()
{
    for (auto const& [instance, l] : links_)
        l.connection->close();
}

peer_calls::link* peer_calls::open(std::string_view instance, steady_time now)
{
    auto const at = cluster_.peers.find(instance);
    if (at == cluster_.peers.end() || at->second.address.empty())
        return nullptr;
    peer const& p = at->second;
    std::string const name(instance);
    auto const it = links_.find(name);
    if (it != links_.end() && it->second.address == p.address)
        return &it->second;
    if (it != links_.end())
    {
        close_link(
            name, make_error(
                      error_kind::connection_lost,
                      "the address of " + name + " changed"));
    }
    link& l = links_[name];
    l.address = p.address;
    l.used_at = now;
    l.connection = frame_connection::connect(loop_, p.address);
    l.connection->on_message([this, name](message&& m)
                             { on_message(name, m); });
    l.connection->on_close([this, name](error const& why)
                           { close_link(name, why); });
    daemon_identity const& self = cluster_.identity;
    l.connection->send(hello{
        protocol_version, self.role, self.instance, self.self,
        self.availability_zone, self.upstream, cluster_.config->number});
    return &l;
}

void peer_calls::transmit(frame_connection& connection, peer_call const& call)
{
    cluster_.counters.count("peer_call_bytes_total", "sent", frame_bytes(call));
    connection.send(call);
}

void peer_calls::call(
    std::string_view instance, std::string_view name, std::string body,
    duration timeout, reply_handler on_reply)
{
    steady_time const now = steady_now();
    cluster_.counters.count("peer_calls_total", name);
    std::uint64_t const id = ++last_call_;
    pending p{
        std::string(instance), now + timeout,
        make_error(
            error_kind::upstream_silent,
            std::string(instance) + " did not reply in time"),
        std::move(on_reply)};
    link* const l = open(instance, now);
    if (l == nullptr)
    {
        p.deadline = now;
        p.on_timeout = make_error(
            error_kind::not_found,
            "no address is known for " + std::string(instance));
    }
    else
    {
        l->used_at = now;
        l->calls.insert(id);
        if (!l->awaiting_reply_since)
            l->awaiting_reply_since = now;
        transmit(
            *l->connection,
            peer_call{id, false, std::string(name), std::move(body)});
    }
    by_deadline_.emplace(p.deadline, id);
    calls_.emplace(id, std::move(p));
    schedule();
}

void peer_calls::send(
    std::string_view instance, std::string_view name, std::string body)
{
    steady_time const now = steady_now();
    cluster_.counters.count("peer_calls_total", name);
    link* const l = open(instance, now);
    if (l == nullptr)
        return;
    l->used_at = now;
    transmit(
        *l->connection,
        peer_call{0, false, std::string(name), std::move(body)});
}

void peer_calls::serve(std::string name, call_handler handler)
{
    servers_.insert_or_assign(std::move(name), std::move(handler));
}

void peer_calls::on_message(std::string const& instance, message const& m)
{
    auto const it = links_.find(instance);
    if (it == links_.end())
        return;
    it->second.awaiting_reply_since.reset();
    auto const peer_at = cluster_.peers.find(instance);
    if (peer_at != cluster_.peers.end())
        peer_at->second.last_heard = steady_now();
    cluster_.peer_seen = steady_now();
    if (auto const* c = std::get_if<peer_call>(&m))
    {
        std::shared_ptr<frame_connection> const connection =
            it->second.connection;
        handle(connection, *c);
    }
}

bool peer_calls::handle(
    std::shared_ptr<frame_connection> const& connection, message const& m)
{
    if (auto const* h = std::get_if<hello>(&m))
    {
        if (h->protocol == protocol_version)
        {
            callers_[connection.get()] = h->instance;
            return true;
        }
        cluster_.counters.count(
            "peer_calls_refused_total",
            to_string(error_kind::protocol_mismatch));
        connection->close();
        return true;
    }
    auto const* c = std::get_if<peer_call>(&m);
    if (c == nullptr)
        return false;
    cluster_.counters.count(
        "peer_call_bytes_total", "received", frame_bytes(*c));
    if (c->is_reply)
        on_reply(*c);
    else
        handle_call(connection, *c);
    return true;
}

void peer_calls::forget(frame_connection const& connection)
{
    callers_.erase(&connection);
}

void peer_calls::handle_call(
    std::shared_ptr<frame_connection> const& connection,
    peer_call const& request)
{
    auto const it = servers_.find(request.name);
    if (it == servers_.end())
    {
        cluster_.counters.count("peer_calls_refused_total", "unknown_name");
        return;
    }
    cluster_.counters.count("peer_calls_served_total", request.name);
    auto const caller = callers_.find(connection.get());
    std::optional<std::string> reply = it->second(
        caller == callers_.end() ? std::string_view() : caller->second,
        request.body);
    if (!reply || request.call_id == 0)
        return;
    transmit(
        *connection,
        peer_call{request.call_id, true, request.name, std::move(*reply)});
}

void peer_calls::on_reply(peer_call const& reply)
{
    if (calls_.count(reply.call_id) == 0)
    {
        cluster_.counters.count("peer_calls_refused_total", "late_reply");
        return;
    }
    finish(reply.call_id, reply.body);
}

void peer_calls::finish(std::uint64_t id, result<std::string> reply)
{
    auto const it = calls_.find(id);
    if (it == calls_.end())
        return;
    pending const p = std::move(it->second);
    calls_.erase(it);
    by_deadline_.erase({p.deadline, id});
    auto const at = links_.find(p.instance);
    if (at != links_.end())
        at->second.calls.erase(id);
    if (!reply)
    {
        cluster_.counters.count(
            "peer_calls_failed_total", to_string(reply.error().kind));
    }
    p.on_reply(std::move(reply));
}

void peer_calls::close_link(std::string const& instance, error const& why)
{
    auto const it = links_.find(instance);
    if (it == links_.end())
        return;
    link const lost = std::move(it->second);
    links_.erase(it);
    lost.connection->close();
    if (why.run == run_state::not_run && settings_.on_refused)
        settings_.on_refused(instance);
    for (std::uint64_t const id : lost.calls)
        finish(id, tl::unexpected<error>(why));
}

void peer_calls::expire(steady_time now)
{
    while (!by_deadline_.empty() && by_deadline_.begin()->first <= now)
    {
        std::uint64_t const id = by_deadline_.begin()->second;
        finish(id, tl::unexpected<error>(calls_.at(id).on_timeout));
    }
    schedule();
}

void peer_calls::schedule()
{
    if (by_deadline_.empty())
    {
        timer_.stop();
        return;
    }
    duration const left = by_deadline_.begin()->first - steady_now();
    timer_.start(std::max(left, duration(0)));
}

void peer_calls::tick(steady_time now)
{
    std::vector<std::string> silent;
    std::vector<std::string> idle;
    for (auto const& [instance, l] : links_)
    {
        if (l.awaiting_reply_since &&
            now - *l.awaiting_reply_since > settings_.silence_limit)
            silent.push_back(instance);
        else if (l.calls.empty() && now - l.used_at > settings_.idle_limit)
            idle.push_back(instance);
    }
    for (std::string const& it : silent)
    {
        close_link(
            it, make_error(
                    error_kind::connection_silent, it + " stopped responding"));
    }
    for (std::string const& it : idle)
        close_link(it, make_error(error_kind::connection_lost, "idle"));
}

} // namespace marjorambeam
