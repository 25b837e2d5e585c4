#include "lease/lease_keeper.hpp"

namespace marjorambeam
{
namespace
{

constexpr std::string_view leases_kind = "leases";

// Number of checks for due calls per retry interval.
constexpr int ticks_per_retry = 4;

clock_pair read_clocks()
{
    return {wall_now(), steady_now()};
}

} // namespace

lease_keeper::lease_keeper(
    ev::loop_ref loop, object_store& store, std::string name,
    std::string holder, lease_rules const& rules)
    : store_(store)
    , name_(std::move(name))
    , state_(make_lease(std::move(holder), rules))
    , timer_(loop, [this] { tick(); })
{
    timer_.start(duration{0});
}

bool lease_keeper::may_act()
{
    return marjorambeam::may_act(state_, read_clocks());
}

void lease_keeper::on_change(std::function<void(bool)> callback)
{
    on_change_ = std::move(callback);
}

void lease_keeper::release(std::function<void()> done)
{
    on_released_ = std::move(done);
    marjorambeam::release(state_, read_clocks());
    timer_.start(duration{0});
}

void lease_keeper::tick()
{
    timer_.start(state_.rules.retry_after / ticks_per_retry);
    send(next_call(state_, read_clocks()));
    notify_change();
}

void lease_keeper::send(lease_call const& call)
{
    auto done = [this, alive = std::weak_ptr<int>(alive_)](
                    result<stored_object> const& reply)
    {
        if (alive.lock())
            handle_reply(reply);
    };
    switch (call.kind)
    {
    case lease_call_kind::none:
        break;
    case lease_call_kind::read:
        store_.get(leases_kind, name_, done);
        break;
    case lease_call_kind::create:
        store_.create(leases_kind, name_, to_json(call.record), done);
        break;
    case lease_call_kind::update:
        store_.update(
            leases_kind, name_, call.revision, to_json(call.record), done);
        break;
    }
}

void lease_keeper::handle_reply(result<stored_object> const& reply)
{
    lease_reply r;
    r.is_ok = reply.has_value();
    if (reply)
    {
        r.revision = reply->revision;
        r.value = reply->value;
    }
    else
    {
        r.kind = reply.error().kind;
    }
    on_reply(state_, r, read_clocks());
    send(next_call(state_, read_clocks()));
    notify_change();
}

void lease_keeper::notify_change()
{
    bool const is_held = may_act();
    if (is_held != was_held_)
    {
        was_held_ = is_held;
        if (on_change_)
            on_change_(is_held);
    }
    if (!is_released(state_))
        return;
    timer_.stop();
    std::function<void()> const done = std::move(on_released_);
    on_released_ = nullptr;
    if (done)
        done();
}

} // namespace marjorambeam
