#include "gateway/request_controller.hpp"

#include "base/hash.hpp"
#include "gateway/error_gauges.hpp"
#include "gateway/local_response.hpp"

#include <algorithm>

namespace marjorambeam
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration sweep_period = milliseconds(200);
constexpr duration waiting_period = milliseconds(20);
constexpr stream_limits caller_stream_limits{
    .unacknowledged = milliseconds(3000),
    .probe_after_s = 1,
    .probes = 3,
    .receive_buffer_bytes = 16 << 10};
// A request that waited longer before it was read has less time left.
constexpr duration max_prompt_read = milliseconds(10);
// Requests that hold the buffers end within a second or so.
constexpr duration retry_when_full = milliseconds(1000);
// Connections beyond the limit that are refused with a response, as a part of
// the limit. Any more are closed unread.
constexpr std::size_t surplus_connections_divisor = 16;
// A gateway that has just started is ready within 250 ms if the store responds;
// callers whose requests are held until then need no retry.
constexpr duration max_hold_time = milliseconds(1000);

} // namespace

request_controller::request_controller(
    ev::loop_ref loop, gateway_state& state, request_protocol const& protocol,
    upstream_pool& pool, limit_controller& limits,
    quarantine_controller& quarantine, loop_monitor const& monitor)
    : loop_(loop)
    , state_(state)
    , protocol_(protocol)
    , pool_(pool)
    , monitor_(monitor)
    , pools_(make_buffer_pools(state.settings.memory_bytes))
    , context_{loop,     state,  protocol,   pool,           log_,
               waiting_, limits, quarantine, limit_waiters_, pools_}
    , listener_(
          loop, state.settings.client_address, caller_stream_limits,
          [this](std::shared_ptr<tcp_stream> s)
          { on_connection(std::move(s)); })
    , sweep_timer_(loop, [this] { tick(); })
    , waiting_timer_(loop, [this] { dispatch_waiting(boot_now()); })
{
    sweep_timer_.start_every(sweep_period);
    waiting_timer_.start_every(waiting_period);
}

client_limits request_controller::limits() const
{
    return state_.config ? state_.config->limits : client_limits{};
}

void request_controller::on_connection(std::shared_ptr<tcp_stream> stream)
{
    std::size_t const most = state_.settings.max_connections;
    if (clients_.size() >= most + most / surplus_connections_divisor)
    {
        state_.counters.count("connections_dropped_total");
        return;
    }
    bool const is_surplus = clients_.size() >= most;
    auto const c = std::make_shared<client_connection>(
        std::move(stream), limits(), pools_, boot_now(),
        [this](
            std::shared_ptr<client_connection> const& client,
            result<http_request_message> message)
        { on_request(client, std::move(message)); });
    if (state_.drain_started)
        c->close_after_response();
    clients_.push_back(c);
    c->start();
    if (is_surplus)
        c->reject(error_kind::too_many_connections);
}

void request_controller::refuse(
    std::shared_ptr<client_connection> const& client,
    std::string_view attempt_id, error_kind kind, duration retry_after,
    steady_time now)
{
    error e = make_error(kind, "the request has not run");
    e.run = run_state::not_run;
    // Jitter spreads the retries of callers that were refused together.
    e.retry_after = spread(retry_after, hash64(attempt_id));
    state_.counters.count("refusals_total", to_string(kind));
    std::string const age =
        state_.config_confirmed ? in_ms(now - *state_.config_confirmed) : "-";
    log_.write(
        log_event::request_refused,
        {{"request_id", std::string(attempt_id)},
         {"kind", std::string(to_string(kind))},
         {"retry_after_ms", in_ms(e.retry_after)},
         {"config", std::to_string(state_.config ? state_.config->version : 0)},
         {"config_age_ms", age}});
    local_response const a = make_local_response(protocol_, e, attempt_id);
    client->respond(a.head, a.body);
}

void request_controller::on_request(
    std::shared_ptr<client_connection> const& client,
    result<http_request_message> message)
{
    if (!message)
    {
        refuse(client, {}, message.error().kind, seconds(1), boot_now());
        return;
    }
    steady_time const now = boot_now();
    duration unread = monitor_.input_wait(now);
    unread = unread > max_prompt_read ? std::min(unread, client->input_age())
                                      : duration{0};
    result<gateway_request> request =
        protocol_.decode_request(std::move(*message));
    if (!request)
    {
        refuse(client, {}, request.error().kind, duration{0}, now);
        return;
    }
    std::unique_ptr<buffer_claim> claim = try_claim(
        pools_.requests,
        request_buffer_bytes + 2 * limits().message.max_header_bytes);
    if (!claim)
    {
        refuse(
            client, request->attempt_id, error_kind::buffers_full,
            retry_when_full, now);
        return;
    }
    client->hold(std::move(claim));
    if (is_starting(state_, now))
        hold(client, std::move(*request), unread, now);
    else
        serve(client, std::move(*request), unread, now);
}

void request_controller::hold(
    std::shared_ptr<client_connection> const& client, gateway_request&& request,
    duration unread, steady_time now)
{
    state_.counters.count("requests_held_total");
    duration const max_hold =
        request.remaining ? *request.remaining / 4 : max_hold_time;
    held_.push_back(
        {client, std::move(request),
         now - unread + std::min(max_hold, max_hold_time), unread});
    auto const it = std::prev(held_.end());
    client->on_disconnect(
        [this, it]
        {
            state_.counters.count("requests_total", "caller_left");
            log_.write(
                log_event::request_left,
                {{"request_id", it->request.attempt_id},
                 {"kind", "caller_left"}});
            held_.erase(it);
        });
}

void request_controller::serve_held(steady_time now)
{
    bool const has_started = !is_starting(state_, now);
    for (auto it = held_.begin(); it != held_.end();)
    {
        if (!has_started && now < it->until)
        {
            ++it;
            continue;
        }
        held_request r = std::move(*it);
        it = held_.erase(it);
        r.client->on_disconnect({});
        serve(r.client, std::move(r.request), r.unread, now);
    }
}

void request_controller::serve(
    std::shared_ptr<client_connection> const& client, gateway_request&& request,
    duration unread, steady_time now)
{
    std::string const id = request.attempt_id;
    arrival_decision const d = decide_arrival(state_, request, now);
    if (d.refusal)
    {
        refuse(client, id, *d.refusal, d.retry_after, now);
        return;
    }
    auto const run = std::make_shared<proxied_request>(
        context_, client, state_.config, *d.route, d.owner, std::move(request),
        unread, now);
    active_requests_.push_back(run);
    run->start(now);
}

void request_controller::tick()
{
    steady_time const now = boot_now();
    client_limits const l = limits();
    std::erase_if(
        active_requests_, [](auto const& it) { return it->is_done(); });
    std::optional<stop_plan> const stop = stop_plan_of(state_);
    bool const closes_idle = stop && now > stop->serve_until;
    std::vector<std::shared_ptr<client_connection>> const all(
        clients_.begin(), clients_.end());
    for (auto const& it : all)
    {
        it->check(l, now);
        if (closes_idle && it->is_idle())
            it->close_idle(now);
    }
    std::erase_if(clients_, [](auto const& it) { return !it->is_open(); });
    pool_.sweep(state_.upstreams, now);
}

void request_controller::dispatch_waiting(steady_time now)
{
    serve_held(now);
    // Requests that still wait, by service under overload control.
    std::map<std::string_view, std::size_t> kept;
    if (waiting_.empty())
    {
        record_turns(kept, now);
        return;
    }
    std::vector<std::shared_ptr<proxied_request>> all(
        waiting_.begin(), waiting_.end());
    waiting_.clear();
    std::stable_sort(
        all.begin(), all.end(),
        [](auto const& a, auto const& b)
        { return a->priority() < b->priority(); });
    order_controlled(all, now);
    for (auto const& it : all)
    {
        bool const is_controlled = it->is_overload_controlled();
        std::size_t const before = is_controlled ? kept[it->service_name()] : 0;
        if (!it->retry_selection(before, now))
            continue;
        waiting_.push_back(it);
        if (is_controlled)
            ++kept[it->service_name()];
    }
    record_turns(kept, now);
}

void request_controller::record_turns(
    std::map<std::string_view, std::size_t> const& waiting, steady_time now)
{
    for (auto& [service, i] : state_.intervals)
    {
        auto const it = waiting.find(service);
        record_turn(i, it != waiting.end() && it->second > 0, now);
    }
}

// Puts the requests of services under overload control first, in their order;
// no request competes with those of other services.
void request_controller::order_controlled(
    std::vector<std::shared_ptr<proxied_request>>& all, steady_time now) const
{
    auto const end = std::stable_partition(
        all.begin(), all.end(),
        [](auto const& it) { return it->is_overload_controlled(); });
    if (end - all.begin() < 2)
        return;
    std::vector<waiting_request> inputs;
    for (auto it = all.begin(); it != end; ++it)
        inputs.push_back((*it)->waiting_inputs(now));
    std::vector<std::shared_ptr<proxied_request>> ordered;
    for (std::uint32_t const i : order_waiting(inputs, state_.shares, now))
        ordered.push_back(all[i]);
    std::move(ordered.begin(), ordered.end(), all.begin());
}

void request_controller::begin_drain(steady_time)
{
    for (auto const& it : clients_)
        it->close_after_response();
}

bool request_controller::is_drained(steady_time now) const
{
    bool const is_busy = std::any_of(
        active_requests_.begin(), active_requests_.end(),
        [](auto const& it) { return !it->is_done(); });
    std::optional<stop_plan> const stop = stop_plan_of(state_);
    return !is_busy && !has_callers() && stop &&
           now > stop->serve_until + sweep_period;
}

bool request_controller::has_callers() const
{
    return std::any_of(
        clients_.begin(), clients_.end(),
        [](auto const& it) { return !it->has_ended(); });
}

queued_by_service request_controller::queued() const
{
    queued_by_service all;
    steady_time const now = boot_now();
    for (auto const& it : waiting_)
    {
        queued_requests& q = all[it->service_name()];
        ++q.waiting;
        if (it->is_overload_controlled())
            q.requests.push_back(it->waiting_inputs(now));
    }
    for (auto const& [service, n] : limit_waiters_)
        all[service].limit_waiters = n;
    return all;
}

void request_controller::set_gauges()
{
    metrics& m = state_.counters;
    auto const set = [&](std::string const& name, buffer_pool const& p)
    {
        m.set("buffer_bytes_" + name, static_cast<double>(p.used));
        m.set("buffer_capacity_bytes_" + name, static_cast<double>(p.capacity));
        m.set("buffer_waits_" + name, static_cast<double>(p.waits));
        m.set("buffer_refusals_" + name, static_cast<double>(p.refusals));
    };
    set("partial_requests", pools_.partial_requests);
    set("requests", pools_.requests);
    set("prompts", pools_.prompts);
    set("responses", pools_.responses);
    auto const slow = std::count_if(
        clients_.begin(), clients_.end(),
        [](auto const& it) { return it->is_extended(); });
    m.set("callers_reading_slowly", static_cast<double>(slow));
    set_error_gauges(state_, boot_now());
}

void request_controller::abort_quarantined(steady_time now)
{
    std::vector<std::shared_ptr<proxied_request>> const all(
        active_requests_.begin(), active_requests_.end());
    for (auto const& it : all)
        it->abort_if_quarantined(now);
}

void request_controller::abort_all(steady_time now)
{
    std::vector<std::shared_ptr<proxied_request>> const all(
        active_requests_.begin(), active_requests_.end());
    for (auto const& it : all)
        it->abort_request(now);
}

} // namespace marjorambeam
