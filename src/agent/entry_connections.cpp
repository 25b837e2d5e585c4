#include "agent/entry_connections.hpp"

#include <algorithm>

namespace marjorambeam
{

entry_connections::entry_connections(
    ev::loop_ref loop, agent_state& state, connection_events events)
    : state_(state)
    , events_(std::move(events))
    , log_("connections")
    , listener_(
          loop, state.settings.listen,
          [this](std::shared_ptr<frame_connection> const& c)
          { on_connection(c); })
{
}

void entry_connections::send(std::uint64_t connection, message const& m)
{
    auto const it = links_.find(connection);
    if (it != links_.end())
        it->second.connection->send(m);
}

std::size_t entry_connections::unsent_bytes() const
{
    std::size_t n = 0;
    for (auto const& [id, l] : links_)
        n += l.connection->unsent_bytes();
    return n;
}

void entry_connections::tick(steady_time now)
{
    std::vector<std::uint64_t> silent;
    for (auto& [id, l] : links_)
    {
        if (!events_.has_work(id))
        {
            l.work_since = steady_time{};
            continue;
        }
        if (l.work_since == steady_time{})
            l.work_since = now;
        // An idle connection may have been silent before the work arrived.
        steady_time const heard =
            std::max(l.work_since, l.connection->last_received());
        if (now - heard > state_.settings.connection_silence)
            silent.push_back(id);
        if (now - l.heartbeat_sent < state_.settings.heartbeat_interval)
            continue;
        l.heartbeat_sent = now;
        l.connection->send(heartbeat{
            .generation = state_.cluster.config->number,
            .wants_reply = true,
            .load = current_load(state_)});
    }
    for (std::uint64_t const id : silent)
    {
        drop(
            id,
            make_error(error_kind::connection_silent, "no frame has arrived"));
    }
}

void entry_connections::on_connection(
    std::shared_ptr<frame_connection> const& c)
{
    std::uint64_t const id = ++last_id_;
    links_[id].connection = c;
    c->on_message([this, id](message&& m) { on_message(id, std::move(m)); });
    c->on_close([this, id](error const& why) { on_closed(id, why); });
    state_.cluster.counters.count("connections_total");
}

void entry_connections::on_message(std::uint64_t id, message&& m)
{
    auto const it = links_.find(id);
    if (it == links_.end())
        return;
    link& l = it->second;
    if (auto* h = std::get_if<hello>(&m))
        return on_hello(id, l, std::move(*h));
    if (!l.has_hello)
    {
        return drop(
            id,
            make_error(error_kind::protocol_mismatch, "no hello was received"));
    }
    if (auto* r = std::get_if<work_request>(&m))
    {
        events_.on_generation(l.peer.instance, r->generation);
        return events_.on_work(id, std::move(*r));
    }
    if (auto const* c = std::get_if<cancel>(&m))
        return events_.on_cancel(id, *c);
    if (auto const* h = std::get_if<heartbeat>(&m))
        return on_heartbeat(l, *h);
    events_.on_other(l.connection, m);
}

void entry_connections::on_hello(std::uint64_t id, link& l, hello&& h)
{
    if (h.protocol != protocol_version)
    {
        return drop(
            id, make_error(
                    error_kind::protocol_mismatch,
                    "protocol " + std::to_string(h.protocol)));
    }
    l.has_hello = true;
    l.peer = std::move(h);
    l.connection->send(own_hello());
    events_.on_generation(l.peer.instance, l.peer.generation);
}

void entry_connections::on_heartbeat(link& l, heartbeat const& h)
{
    events_.on_generation(l.peer.instance, h.generation);
    if (!h.wants_reply)
        return;
    l.connection->send(heartbeat{
        .generation = state_.cluster.config->number,
        .load = current_load(state_)});
}

void entry_connections::drop(std::uint64_t id, error const& why)
{
    auto const it = links_.find(id);
    if (it == links_.end())
        return;
    it->second.connection->close();
    on_closed(id, why);
}

void entry_connections::on_closed(std::uint64_t id, error const& why)
{
    auto const it = links_.find(id);
    if (it == links_.end())
        return;
    state_.cluster.counters.count(
        "connections_closed_total", to_string(why.kind));
    log_.write(
        log_event::connection_closed,
        {{"instance", it->second.peer.instance},
         {"reason", std::string(to_string(why.kind))},
         {"message", why.message}});
    incarnation const process = it->second.peer.sender;
    links_.erase(it);
    events_.on_closed(id);
    bool const has_other = std::any_of(
        links_.begin(), links_.end(),
        [process](auto const& l) { return l.second.peer.sender == process; });
    if (process != 0 && !has_other)
        events_.on_process_gone(process);
}

hello entry_connections::own_hello() const
{
    daemon_identity const& self = state_.cluster.identity;
    return {
        .role = process_role::agent,
        .instance = self.instance,
        .sender = self.self,
        .availability_zone = self.availability_zone,
        .upstream = self.upstream,
        .generation = state_.cluster.config->number};
}

} // namespace marjorambeam
