#include "entry/admission_controller.hpp"

#include "wire/value.hpp"

namespace marjorambeam
{
namespace
{

constexpr std::string_view allowance_call = "allowance";
constexpr duration report_interval = std::chrono::milliseconds(200);

// Price of one call to the request's service.
micro_credits call_price(entry_request const& r)
{
    auto const it = r.config->services.find(r.work.target);
    return it == r.config->services.end() ? 0 : it->second.price;
}

micro_credits tokens_price(entry_request const& r)
{
    auto const it = r.config->versions.find(r.version_id);
    if (it == r.config->versions.end())
        return 0;
    return static_cast<micro_credits>(r.tokens_in) * it->second.price_in +
           static_cast<micro_credits>(r.tokens_out) * it->second.price_out;
}

} // namespace

request_cost actual_cost(entry_request const& r, error const* why)
{
    if (r.is_replay || r.earlier_run == run_state::not_run)
        return {};
    bool const is_complete = why == nullptr;
    if (r.work.kind == work_kind::service)
        return {0, is_complete ? call_price(r) : 0};
    if (is_complete)
    {
        return {
            static_cast<double>(r.tokens_in + r.tokens_out), tokens_price(r)};
    }
    std::uint64_t const delivered =
        r.answer == nullptr ? 0 : r.answer->delivered().tokens;
    return {static_cast<double>(delivered), 0};
}

admission_controller::admission_controller(
    entry_state& state, live_entries& live, peer_calls& calls)
    : state_(state)
    , live_(live)
    , calls_(calls)
{
    calls_.serve(
        std::string(allowance_call),
        [this](std::string_view /*instance*/, std::string_view body)
        { return serve(body); });
}

void admission_controller::count(std::string_view name, std::string_view reason)
{
    state_.cluster.counters.count(name, reason);
}

admission_view admission_controller::view(steady_time now)
{
    return {now, wall_now(), live_.names().size()};
}

bool admission_controller::owns(std::string_view customer)
{
    return live_.is_self(
        live_.names()[allowance_owner(customer, live_.names())]);
}

std::size_t admission_controller::waiting() const
{
    std::size_t n = 0;
    for (auto const& [customer, s] : customers_)
        n += s.waiting.size();
    return n;
}

void admission_controller::admit(
    contract const& c, request_cost cost, admit_handler done)
{
    auto const it = customers_.try_emplace(c.customer).first;
    it->second.limits = allowance_of(c);
    decide(it->first, it->second, {cost, std::move(done)}, true);
}

void admission_controller::decide(
    std::string const& customer, customer_state& s, waiter w, bool is_new)
{
    steady_time const now = steady_now();
    admission_decision d =
        marjorambeam::admit(s.entry, s.limits, w.cost, view(now));
    if (d.should_request)
    {
        send_allowance_request(
            customer, s, make_request(s.entry, s.limits, w.cost, view(now)));
        // If this entry is the owner, the grant is already here.
        if (d.outcome == admission_outcome::waits && !s.entry.requested_at)
            d = marjorambeam::admit(s.entry, s.limits, w.cost, view(now));
    }
    if (d.outcome != admission_outcome::waits)
    {
        finish(customer, w, d);
        return;
    }
    if (is_new)
        count("admission_total", "waited");
    s.waiting.push_back(std::move(w));
}

void admission_controller::decide_waiting(
    std::string const& customer, customer_state& s)
{
    std::vector<waiter> waiting = std::move(s.waiting);
    s.waiting.clear();
    for (waiter& it : waiting)
        decide(customer, s, std::move(it), false);
}

void admission_controller::finish(
    std::string const& customer, waiter const& w, admission_decision const& d)
{
    if (d.outcome == admission_outcome::admitted)
    {
        count("admission_total", "admitted");
        w.done(admission_charge{customer, w.cost, true});
        return;
    }
    count("admission_total", to_string(d.refusal));
    error e = make_error(
        d.refusal, d.refusal == error_kind::spend_limit_reached
                       ? "the contract's daily spending limit is reached"
                       : "the contract's allowance is used up");
    e.retry_after = d.retry_after;
    w.done(tl::unexpected<error>(std::move(e)));
}

void admission_controller::settle(
    admission_charge const& ticket, request_cost actual)
{
    auto const it = customers_.find(ticket.customer);
    if (ticket.is_charged && it != customers_.end())
        marjorambeam::settle(it->second.entry, ticket.estimate, actual);
}

void admission_controller::send_allowance_request(
    std::string const& customer, customer_state& s, allowance_request r)
{
    r.customer = customer;
    r.entry = state_.cluster.identity.instance;
    std::string const& owner =
        live_.names()[allowance_owner(customer, live_.names())];
    if (!live_.is_self(owner))
    {
        count("admission_questions_total", "remote");
        calls_.call(
            owner, allowance_call, encode_value(r), grant_timeout,
            [this, customer](result<std::string> const& reply)
            { on_reply(customer, reply); });
        return;
    }
    count("admission_questions_total", "local");
    steady_time const now = steady_now();
    if (std::optional<allowance_grant> const g = make_grant(r))
        accept_grant(s.entry, *g, view(now));
    else
        record_owner_failure(s.entry, now);
}

void admission_controller::on_reply(
    std::string const& customer, result<std::string> const& reply)
{
    auto const it = customers_.find(customer);
    if (it == customers_.end())
        return;
    steady_time const now = steady_now();
    result<allowance_grant> const g =
        reply.and_then([](std::string const& body)
                       { return decode_value<allowance_grant>(body); });
    if (g && g->customer == customer)
        accept_grant(it->second.entry, *g, view(now));
    else
    {
        count("admission_questions_total", "lost");
        record_owner_failure(it->second.entry, now);
    }
    decide_waiting(it->first, it->second);
}

std::optional<allowance_grant>
admission_controller::make_grant(allowance_request const& r)
{
    config_snapshot const& config = *state_.cluster.config;
    auto const c = config.contracts.find(r.customer);
    if (c == config.contracts.end() || !owns(r.customer))
        return std::nullopt;
    return grant(
        owned_[r.customer], allowance_of(c->second), r, live_.last_removal_at(),
        steady_now(), wall_now());
}

std::optional<std::string> admission_controller::serve(std::string_view body)
{
    result<allowance_request> const r = decode_value<allowance_request>(body);
    if (!r)
    {
        count("peer_calls_refused_total", "allowance_malformed");
        return std::nullopt;
    }
    std::optional<allowance_grant> const g = make_grant(*r);
    if (g)
        return encode_value(*g);
    // An empty reply makes the sender keep its reported usage, which it then
    // reports to the actual owner.
    count("peer_calls_refused_total", "not_owner");
    return std::string();
}

void admission_controller::tick(steady_time now)
{
    for (auto& [customer, s] : customers_)
    {
        bool const has_timed_out = !s.entry.requested_at ||
                                   now - *s.entry.requested_at >= grant_timeout;
        if (has_timed_out && !s.waiting.empty())
            decide_waiting(customer, s);
    }
    if (now - reported_at_ < report_interval)
        return;
    reported_at_ = now;
    std::erase_if(owned_, [this](auto const& it) { return !owns(it.first); });
    std::erase_if(
        customers_,
        [this](auto const& it)
        {
            return it.second.waiting.empty() && !it.second.entry.requested_at &&
                   state_.cluster.config->contracts.count(it.first) == 0;
        });
    for (auto& [customer, s] : customers_)
    {
        if (auto report = make_report(s.entry, view(now)))
            send_allowance_request(customer, s, std::move(*report));
    }
}

} // namespace marjorambeam
