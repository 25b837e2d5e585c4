#include "entry/agent_links.hpp"

#include <algorithm>

namespace marjorambeam
{

agent_links::agent_links(
    ev::loop_ref loop, cluster_state& cluster, agent_link_settings settings,
    handlers on)
    : loop_(loop)
    , cluster_(cluster)
    , settings_(settings)
    , on_(std::move(on))
{
}

heartbeat agent_links::make_heartbeat(bool wants_reply) const
{
    return heartbeat{cluster_.config->number, wants_reply, {}};
}

agent_links::link& agent_links::open(std::string_view instance, steady_time now)
{
    peer const& p = cluster_.peers.find(instance)->second;
    auto it = links_.find(instance);
    if (it != links_.end() && it->second.address == p.address)
        return it->second;
    std::string const name(instance);
    if (it != links_.end())
    {
        close_link(
            name,
            make_error(
                error_kind::connection_lost, "the agent's address changed"));
    }
    link& l = links_[name];
    l.address = p.address;
    l.opened_at = now;
    l.used_at = now;
    l.connection = frame_connection::connect(loop_, p.address);
    l.connection->on_message([this, name](message&& m)
                             { on_message(name, std::move(m)); });
    l.connection->on_close([this, name](error const& why)
                           { close_link(name, why); });
    daemon_identity const& self = cluster_.identity;
    l.connection->send(hello{
        protocol_version, self.role, self.instance, self.self,
        self.availability_zone, self.upstream, cluster_.config->number});
    return l;
}

void agent_links::send(
    std::string_view instance, work_request work, steady_time now)
{
    link& l = open(instance, now);
    l.used_at = now;
    attempt_id id{work.request_id, work.attempt};
    bool const is_idle =
        now - l.connection->last_received() > settings_.acknowledgement_timeout;
    bool const waits =
        !l.has_hello || (!work.is_idempotent && is_idle && l.has_hello);
    l.attempts[id] = outstanding{now, false};
    if (!waits)
    {
        l.connection->send(work);
        return;
    }
    if (l.has_hello)
        l.connection->send(make_heartbeat(true));
    l.waiting.push_back(std::move(work));
}

void agent_links::send_waiting(link& l, steady_time now)
{
    for (work_request& it : l.waiting)
    {
        attempt_id const id{it.request_id, it.attempt};
        auto const at = l.attempts.find(id);
        if (at == l.attempts.end())
            continue;
        at->second.sent_at = now;
        l.connection->send(it);
    }
    l.waiting.clear();
}

void agent_links::send_cancel(
    std::string_view instance, attempt_id const& attempt)
{
    auto const it = links_.find(instance);
    if (it == links_.end())
        return;
    std::erase_if(
        it->second.waiting,
        [&](work_request const& w) {
            return w.request_id == attempt.first && w.attempt == attempt.second;
        });
    it->second.connection->send(cancel{attempt.first, attempt.second});
}

bool agent_links::send_other(std::string_view instance, message const& m)
{
    auto const it = links_.find(instance);
    if (it == links_.end() || !it->second.has_hello)
        return false;
    it->second.connection->send(m);
    return true;
}

void agent_links::finish(std::string_view instance, attempt_id const& attempt)
{
    auto const it = links_.find(instance);
    if (it != links_.end())
        it->second.attempts.erase(attempt);
}

void agent_links::on_message(std::string const& instance, message&& m)
{
    auto const it = links_.find(instance);
    if (it == links_.end())
        return;
    auto const peer_at = cluster_.peers.find(instance);
    if (peer_at != cluster_.peers.end())
        peer_at->second.last_heard = steady_now();
    cluster_.peer_seen = steady_now();
    if (auto const* h = std::get_if<hello>(&m))
    {
        if (h->protocol != protocol_version)
        {
            it->second.connection->close();
            close_link(
                instance, make_error(
                              error_kind::protocol_mismatch,
                              "the agent uses protocol version " +
                                  std::to_string(h->protocol)));
            return;
        }
        it->second.has_hello = true;
        on_.on_generation(instance, h->generation);
        send_waiting(it->second, steady_now());
        return;
    }
    if (auto const* h = std::get_if<heartbeat>(&m))
    {
        on_.on_generation(instance, h->generation);
        if (h->wants_reply)
            it->second.connection->send(make_heartbeat(false));
        send_waiting(it->second, steady_now());
    }
    dispatch(instance, m);
}

void agent_links::dispatch(std::string const& instance, message const& m)
{
    link& l = links_.find(instance)->second;
    auto acknowledge = [&](auto const& value)
    {
        auto const at = l.attempts.find({value.request_id, value.attempt});
        if (at != l.attempts.end())
            at->second.is_acknowledged = true;
    };
    if (auto const* v = std::get_if<work_accepted>(&m))
        acknowledge(*v);
    else if (auto const* v = std::get_if<answer_chunk>(&m))
        acknowledge(*v);
    bool const is_other = std::holds_alternative<config_pull>(m) ||
                          std::holds_alternative<config_generations>(m) ||
                          std::holds_alternative<peer_call>(m);
    if (is_other)
        on_.on_other(l.connection, m);
    else
        on_.on_message(instance, message(m));
}

void agent_links::close_link(std::string const& instance, error const& why)
{
    auto const it = links_.find(instance);
    if (it == links_.end())
        return;
    link lost = std::move(it->second);
    links_.erase(it);
    lost.connection->close();
    cluster_.counters.count(
        "agent_connections_lost_total", to_string(why.kind));
    for (auto const& [id, state] : lost.attempts)
    {
        bool const was_waiting = std::any_of(
            lost.waiting.begin(), lost.waiting.end(),
            [&, key = id](work_request const& w)
            { return w.request_id == key.first && w.attempt == key.second; });
        error e = why;
        e.run = was_waiting ? run_state::not_run : run_state::unknown;
        on_.on_attempt_lost(instance, id, e);
    }
}

bool agent_links::is_silent(link const& l, steady_time now) const
{
    if (!l.has_hello)
        return now - l.opened_at > settings_.connect_timeout;
    duration const quiet = now - l.connection->last_received();
    if (!l.attempts.empty() && quiet > settings_.silence_limit)
        return true;
    // On a connection that was idle, the agent must respond soon after new
    // work is sent.
    return quiet > settings_.acknowledgement_timeout &&
           std::any_of(
               l.attempts.begin(), l.attempts.end(),
               [&](auto const& it)
               {
                   return !it.second.is_acknowledged &&
                          now - it.second.sent_at >
                              settings_.acknowledgement_timeout;
               });
}

void agent_links::tick(steady_time now)
{
    std::vector<std::string> silent;
    std::vector<std::string> idle;
    for (auto& [instance, l] : links_)
    {
        if (is_silent(l, now))
            silent.push_back(instance);
        else if (l.attempts.empty() && now - l.used_at > settings_.idle_limit)
            idle.push_back(instance);
        else if (
            l.has_hello && !l.attempts.empty() &&
            now - l.heartbeat_at >= settings_.heartbeat_interval)
        {
            l.heartbeat_at = now;
            l.connection->send(make_heartbeat(true));
        }
    }
    for (std::string const& it : silent)
    {
        close_link(
            it, make_error(
                    error_kind::connection_silent,
                    "the agent did not respond in time"));
    }
    for (std::string const& it : idle)
        links_.erase(it);
}

std::pair<std::uint64_t, std::uint64_t> agent_links::bytes() const
{
    std::pair<std::uint64_t, std::uint64_t> total{0, 0};
    for (auto const& [instance, l] : links_)
    {
        total.first += l.connection->bytes_sent();
        total.second += l.connection->bytes_received();
    }
    return total;
}

} // namespace marjorambeam
