#include "agent/once_controller.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <utility>

namespace marjorambeam
{
namespace
{

// The live set of a service is read this often; it visits every known daemon.
constexpr std::int64_t follow_period_ms = 250;

bool serves(upstream const& u, std::string_view service)
{
    return std::find(u.serves.begin(), u.serves.end(), service) !=
           u.serves.end();
}

key_request to_key_request(work_request const& r)
{
    std::uint64_t const method = hash64(r.method);
    std::uint64_t const path = hash64(r.path, method);
    return {r.customer, r.target, r.key, hash64(r.body, path)};
}

// Two processes never have the same text at a time. An address such as
// 0.0.0.0:7000 names its instance only together with the advertised one.
std::string
process_address(std::string_view listening, daemon_identity const& self)
{
    std::string text(listening);
    if (self.address != listening)
        text += " " + self.address;
    return text;
}

} // namespace

once_controller::once_controller(
    cluster_state& cluster, object_store& store, std::string_view listening,
    live_test is_live, once_settings settings)
    : cluster_(cluster)
    , store_(store)
    , is_live_(std::move(is_live))
    , settings_(settings)
    , self_{
          .upstream = cluster.identity.upstream,
          .address = process_address(listening, cluster.identity),
          .process = cluster.identity.self}
    , window_(cluster.identity.self, settings.keys)
{
}

void once_controller::reserve(
    work_request const& r, once_handler decide, clock_reading now)
{
    if (r.key.empty())
    {
        return refuse(
            decide, make_error(
                        error_kind::idempotency_key_required,
                        "a call that may not repeat needs a key"));
    }
    key_request request = to_key_request(r);
    if (consider(request, decide, true, now))
        return;
    std::int64_t const wait_ms =
        std::chrono::ceil<std::chrono::milliseconds>(settings_.owner_wait)
            .count();
    waiting_.push_back(
        {std::move(request), std::move(decide),
         now.steady_ms + std::min(wait_ms, r.deadline_ms)});
}

void once_controller::complete(
    work_request const& r, once_outcome const& outcome)
{
    key_request const request{r.customer, r.target, r.key};
    if (outcome.run == run_state::not_run)
        return window_.complete_not_run(request);
    if (!outcome.has_response)
        return window_.complete_unknown(request);
    window_.complete(
        request, {outcome.response.status, outcome.response.content_type,
                  outcome.response.body});
}

void once_controller::tick(clock_reading now)
{
    bool const is_new = followed_ != cluster_.config->number;
    if (may_start(now) && (is_new || now.steady_ms >= next_follow_ms_))
    {
        next_follow_ms_ = now.steady_ms + follow_period_ms;
        followed_ = cluster_.config->number;
        follow_services();
    }
    for (auto& [service, space] : keyspaces_)
    {
        space.keeper->tick(now, space.live);
        space.was_store_up |= space.keeper->is_store_available();
    }
    std::list<waiting_call> calls = std::exchange(waiting_, {});
    while (!calls.empty())
    {
        waiting_call& it = calls.front();
        bool const may_wait = now.steady_ms < it.until_ms;
        if (consider(it.request, it.decide, may_wait, now))
            calls.pop_front();
        else
            waiting_.splice(waiting_.end(), calls, calls.begin());
    }
    cluster_.counters.set(
        "keyspace_partitions_owned", static_cast<double>(owned()));
    cluster_.counters.set("once_keys", static_cast<double>(keys()));
}

void once_controller::begin_release()
{
    is_releasing_ = true;
    for (auto& [service, space] : keyspaces_)
        space.keeper->begin_shutdown();
}

std::size_t once_controller::owned() const
{
    std::size_t n = 0;
    for (auto const& [service, space] : keyspaces_)
        n += space.keeper->owned();
    return n;
}

bool once_controller::may_start(clock_reading now)
{
    if (!cluster_.has_config || is_releasing_)
        return false;
    if (configured_at_ms_ < 0)
        configured_at_ms_ = now.steady_ms;
    std::int64_t const wait_ms =
        std::chrono::ceil<std::chrono::milliseconds>(settings_.alone_wait)
            .count();
    return !cluster_.peers.empty() ||
           now.steady_ms - configured_at_ms_ >= wait_ms;
}

std::vector<std::string> once_controller::own_services() const
{
    config_snapshot const& config = *cluster_.config;
    auto const own = config.upstreams.find(self_.upstream);
    // An upstream that is out of service could not run what it admits.
    if (own == config.upstreams.end() || !is_in_service(config, own->second))
        return {};
    std::vector<std::string> names;
    for (std::string const& it : own->second.serves)
    {
        if (config.services.contains(it))
            names.push_back(it);
    }
    return names;
}

std::vector<std::string>
once_controller::live_upstreams(std::string_view service) const
{
    config_snapshot const& config = *cluster_.config;
    std::vector<std::string> names{self_.upstream};
    for (auto const& [instance, p] : cluster_.peers)
    {
        if (p.role != process_role::agent || !is_live_(p))
            continue;
        auto const it = config.upstreams.find(p.upstream);
        if (it != config.upstreams.end() && serves(it->second, service) &&
            is_in_service(config, it->second))
            names.push_back(p.upstream);
    }
    std::sort(names.begin(), names.end());
    names.erase(std::unique(names.begin(), names.end()), names.end());
    return names;
}

peer_condition once_controller::owner_condition(std::string_view upstream) const
{
    peer_condition found = peer_condition::gone;
    for (auto const& [instance, p] : cluster_.peers)
    {
        if (p.upstream != upstream)
            continue;
        if (is_live_(p))
            return peer_condition::live;
        if (p.is_leaving)
            found = peer_condition::leaving;
    }
    return found;
}

void once_controller::follow_services()
{
    std::vector<std::string> const wanted = own_services();
    for (std::string const& it : wanted)
    {
        keyspace& space = keyspaces_[it];
        // A keeper that was told to stop is replaced when it holds nothing.
        bool const is_over = space.is_leaving && space.keeper->owned() == 0;
        if (!space.keeper || is_over)
        {
            space.keeper = std::make_unique<keyspace_lease_manager>(
                store_, it, self_, settings_.keys.times);
            space.is_leaving = false;
        }
    }
    for (auto& [service, space] : keyspaces_)
    {
        space.live = live_upstreams(service);
        bool const is_wanted =
            std::find(wanted.begin(), wanted.end(), service) != wanted.end();
        if (is_wanted || space.is_leaving)
            continue;
        space.is_leaving = true;
        space.keeper->begin_shutdown();
    }
}

bool once_controller::consider(
    key_request const& r, once_handler const& decide, bool may_wait,
    clock_reading now)
{
    auto const found = keyspaces_.find(r.service);
    if (found == keyspaces_.end())
    {
        if (may_wait && !is_releasing_)
            return false;
        refuse(
            decide, make_error(
                        error_kind::keyspace_unavailable,
                        "the agent has not joined the owners of the keys"));
        return true;
    }
    keyspace& space = found->second;
    std::uint32_t const p = partition_of(r.customer, r.service, r.key);
    key_admission const a = window_.admit(
        space.keeper->state(p), r, space.keeper->is_store_available(), now);
    bool const is_elsewhere = a.step == key_step::refuse &&
                              a.refusal.kind == error_kind::not_keyspace_owner;
    if (is_elsewhere)
        return redirect(space, p, decide, may_wait, now);
    act(r, a, decide);
    return true;
}

bool once_controller::redirect(
    keyspace& space, std::uint32_t partition, once_handler const& decide,
    bool may_wait, clock_reading now)
{
    std::string const& owner = space.keeper->owner(partition);
    bool const is_other = !owner.empty() && owner != self_.upstream;
    peer_condition const condition =
        is_other ? owner_condition(owner) : peer_condition::leaving;
    if (condition == peer_condition::live)
    {
        refuse(
            decide,
            make_error(
                error_kind::not_keyspace_owner, "another agent owns the key"),
            owner);
        return true;
    }
    // An owner that leaves releases the partition soon; after one that is gone
    // the rest of its lease has to pass. Nobody can become the owner while the
    // store is down.
    bool const is_store_down =
        space.was_store_up && !space.keeper->is_store_available();
    if (may_wait && condition == peer_condition::leaving && !is_store_down)
    {
        space.keeper->expedite_read(now);
        return false;
    }
    refuse(
        decide, make_error(
                    error_kind::keyspace_unavailable,
                    is_other ? "the owner of the key is gone"
                             : "nobody owns the key at present"));
    return true;
}

void once_controller::act(
    key_request const& r, key_admission const& a, once_handler const& decide)
{
    switch (a.step)
    {
    case key_step::run:
        cluster_.counters.count("once_decisions_total", "run");
        return decide({.action = once_action::run});
    case key_step::replay:
        cluster_.counters.count("once_decisions_total", "replay");
        return decide(
            {.action = once_action::replay,
             .response = {
                 a.outcome->status, a.outcome->content_type, a.outcome->body}});
    case key_step::reserve:
        return create_reservation(r, a, decide);
    case key_step::read_reservation:
        return read_reservation(r, a, decide);
    case key_step::refuse:
        return refuse(decide, a.refusal);
    }
}

void once_controller::create_reservation(
    key_request const& r, key_admission const& a, once_handler const& decide)
{
    store_.create(
        execution_kind, a.reservation_name, a.reservation_value,
        [this, alive = std::weak_ptr<bool>(alive_), r,
         decide](result<stored_object> const& created)
        {
            if (alive.expired())
                return;
            result<void> answer;
            if (!created)
                answer = tl::unexpected<error>(created.error());
            act(r, window_.on_reservation_created(r, answer), decide);
        });
}

void once_controller::read_reservation(
    key_request const& r, key_admission const& a, once_handler const& decide)
{
    store_.get(
        execution_kind, a.reservation_name,
        [this, alive = std::weak_ptr<bool>(alive_), r,
         decide](result<stored_object> const& read)
        {
            if (alive.expired())
                return;
            result<std::string> value;
            if (read)
                value = read->value;
            else
                value = tl::unexpected<error>(read.error());
            act(r, window_.on_reservation_read(r, value), decide);
        });
}

void once_controller::refuse(
    once_handler const& decide, error why, std::string owner) const
{
    cluster_.counters.count("once_decisions_total", to_string(why.kind));
    decide(
        {.action = once_action::refuse,
         .why = std::move(why),
         .owner = std::move(owner)});
}

} // namespace marjorambeam
