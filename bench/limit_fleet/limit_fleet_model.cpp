#include "limit_fleet/limit_fleet_model.hpp"

#include "gateway/reader_election.hpp"

#include <algorithm>
#include <utility>

namespace marjorambeam
{
namespace
{

using std::chrono::milliseconds;

constexpr duration step = milliseconds(20);
constexpr duration tick_period = milliseconds(100);
constexpr duration response_time = milliseconds(30);
constexpr std::string_view upstream_id = "upstream";
constexpr std::string_view service = "pool";

} // namespace

limit_fleet_model::limit_fleet_model(limit_fleet_settings const& settings)
    : settings_(settings)
    , random_(settings.seed)
    , gateways_(settings.gateways)
{
    for (std::size_t i = 0; i < gateways_.size(); ++i)
        start_gateway(i);
}

std::string limit_fleet_model::name_of(std::size_t i) const
{
    return "gateway-" + std::to_string(i);
}

std::size_t limit_fleet_model::index_of(std::string const& name) const
{
    return std::stoul(name.substr(name.find('-') + 1));
}

void limit_fleet_model::start_gateway(std::size_t i)
{
    gateway& g = gateways_[i];
    ++g.life;
    g.state = std::make_unique<gateway_state>();
    gateway_state& s = *g.state;
    s.settings.instance = name_of(i);
    s.started = std::max(now_, g.down_until);
    for (std::size_t k = 0; k < gateways_.size(); ++k)
    {
        if (k != i)
            s.peers[name_of(k)];
    }
    auto u = std::make_shared<upstream_state>();
    u->info = {
        .id = std::string(upstream_id),
        .service = std::string(service),
        .slots = 64,
        .started_unix_ms = started_unix_ms_};
    put_upstream(s.upstreams, u);
    duration const phase =
        tick_period * static_cast<int>(random_() % 100) / 100;
    g.next_tick = s.started + phase;
    g.next_report = g.next_tick;
}

void limit_fleet_model::set_limit(std::optional<double> per_second)
{
    limit_ = per_second;
}

void limit_fleet_model::restart_upstream()
{
    limit_.reset();
    ++started_unix_ms_;
    for (gateway& g : gateways_)
        g.state->upstreams.by_id.begin()->second->info.started_unix_ms =
            started_unix_ms_;
}

void limit_fleet_model::restart_gateway(std::size_t i, duration down)
{
    gateways_[i].down_until = now_ + down;
    start_gateway(i);
}

void limit_fleet_model::freeze_gateway(std::size_t i, duration time)
{
    gateways_[i].frozen_until = now_ + time;
}

void limit_fleet_model::add_gateway()
{
    for (gateway& g : gateways_)
        g.state->peers[name_of(gateways_.size())];
    gateways_.emplace_back();
    start_gateway(gateways_.size() - 1);
}

void limit_fleet_model::set_partition(std::set<std::size_t> group)
{
    partition_ = std::move(group);
}

bool limit_fleet_model::is_connected(std::size_t a, std::size_t b) const
{
    return partition_.contains(a) == partition_.contains(b);
}

duration limit_fleet_model::draw_delay()
{
    auto const range = settings_.max_delay - settings_.min_delay;
    return settings_.min_delay +
           duration(static_cast<duration::rep>(
               random_() % static_cast<std::uint64_t>(range.count() + 1)));
}

void limit_fleet_model::at(
    steady_time when, std::size_t target, std::function<void(gateway&)> act)
{
    actions_.push({when, next_order_++, target, std::move(act)});
}

void limit_fleet_model::send(
    std::size_t from, std::size_t to, std::function<void(gateway&)> act)
{
    constexpr std::uint64_t steps = 10'000;
    bool const is_lost =
        random_() % steps < static_cast<std::uint64_t>(settings_.loss * steps);
    if (is_lost || !is_connected(from, to))
        return;
    at(now_ + draw_delay(), to, std::move(act));
}

void limit_fleet_model::deliver()
{
    while (!actions_.empty() && actions_.top().at <= now_)
    {
        timed_action a = actions_.top();
        actions_.pop();
        gateway& g = gateways_[a.target];
        if (now_ < g.frozen_until)
        {
            a.at = g.frozen_until;
            actions_.push(std::move(a));
            continue;
        }
        if (now_ >= g.down_until)
            a.act(g);
    }
}

void limit_fleet_model::tick(std::size_t i)
{
    gateway& g = gateways_[i];
    g.next_tick = now_ + tick_period;
    refresh_limit_shares(*g.state, now_);
    if (now_ >= g.next_report || g.state->is_report_due)
        report(i);
}

void limit_fleet_model::report(std::size_t i)
{
    gateway& g = gateways_[i];
    gateway_state& s = *g.state;
    s.is_report_due = false;
    g.next_report = now_ + report_period(s.peers.size(), false);
    auto const reports = std::make_shared<std::vector<limit_report>>(
        make_limit_reports(s, now_));
    std::string const sender = name_of(i);
    for (std::size_t k = 0; k < gateways_.size(); ++k)
    {
        if (k == i)
            continue;
        send(
            i, k,
            [this, reports, sender](gateway& to)
            {
                to.state->peers[sender].last_received_at = now_;
                for (limit_report const& it : *reports)
                    apply_limit_report(*to.state, it, now_);
            });
    }
}

void limit_fleet_model::request(std::size_t i)
{
    ++requests_;
    gateway_state& s = *gateways_[i].state;
    upstream_selection const c =
        select_upstream(s.upstreams, {.service = service}, now_);
    if (c.chosen)
        dispatch(i);
    else if (!c.claimable.empty())
        claim(i);
}

void limit_fleet_model::dispatch(std::size_t i)
{
    gateway& g = gateways_[i];
    gateway_state& s = *g.state;
    upstream_state const& u = *s.upstreams.by_id.begin()->second;
    take_token(s.upstreams, u, now_);
    arrivals_.push_back(now_);
    std::optional<double> const limit = limit_;
    std::int64_t const incarnation = started_unix_ms_;
    at(now_ + response_time, i,
       [this, limit, incarnation, sent = now_, life = g.life](gateway& to)
       {
           if (to.life != life)
               return;
           known_limit const* const changed = record_limit(
               to.state->upstreams.notices, upstream_id, incarnation, limit,
               sent, now_);
           to.state->is_report_due =
               to.state->is_report_due || changed != nullptr;
       });
}

void limit_fleet_model::claim(std::size_t i)
{
    upstream_notice& n = gateways_[i].state->upstreams.notices.begin()->second;
    std::size_t const sharer = index_of(n.gate.sharer);
    std::uint64_t const number = begin_claim(n.gate, now_);
    std::uint64_t const hash = random_();
    claim_messages_ += 2;
    send(
        i, sharer,
        [this, i, sharer, number, hash](gateway& to)
        {
            auto const it = to.state->upstreams.notices.find(upstream_id);
            claim_answer const a =
                it == to.state->upstreams.notices.end()
                    ? claim_answer{.retry_after = claim_retry}
                    : answer_claim(it->second.gate, hash, now_);
            send(
                sharer, i,
                [this, i, number, a](gateway& from)
                {
                    auto const own =
                        from.state->upstreams.notices.find(upstream_id);
                    if (own == from.state->upstreams.notices.end())
                        return;
                    limit_gate& gate = own->second.gate;
                    if (record_claim_answer(gate, number, a, now_) &&
                        has_token(gate, now_))
                        dispatch(i);
                });
        });
}

void limit_fleet_model::run_for(duration time)
{
    steady_time const end = now_ + time;
    std::uniform_real_distribution<double> uniform(0, 1);
    while (now_ < end)
    {
        now_ += step;
        deliver();
        for (std::size_t i = 0; i < gateways_.size(); ++i)
        {
            gateway const& g = gateways_[i];
            bool const is_up = now_ >= g.down_until && now_ >= g.frozen_until;
            if (is_up && now_ >= g.next_tick)
                tick(i);
        }
        double due = settings_.demand_per_second * to_seconds(step);
        for (; due > uniform(random_); due -= 1)
        {
            std::size_t const i = random_() % gateways_.size();
            gateway const& g = gateways_[i];
            if (now_ >= g.down_until && now_ >= g.frozen_until)
                request(i);
        }
    }
}

std::size_t limit_fleet_model::first_sharer() const
{
    std::vector<std::string> names;
    for (std::size_t i = 0; i < gateways_.size(); ++i)
    {
        if (now_ >= gateways_[i].down_until)
            names.push_back(name_of(i));
    }
    sharer_view const view{.live = names};
    return index_of(names[limit_sharers(1, upstream_id, view).front()]);
}

std::size_t
limit_fleet_model::max_arrivals(duration length, steady_time from) const
{
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < arrivals_.size(); ++last)
    {
        while (arrivals_[first] < from ||
               arrivals_[first] + length <= arrivals_[last])
        {
            if (first == last)
                break;
            ++first;
        }
        if (arrivals_[first] >= from)
            most = std::max(most, last - first + 1);
    }
    return most;
}

double limit_fleet_model::arrival_rate(steady_time from) const
{
    auto const n = std::count_if(
        arrivals_.begin(), arrivals_.end(),
        [&](steady_time it) { return it >= from; });
    return static_cast<double>(n) / to_seconds(now_ - from);
}

bool limit_fleet_model::all_know() const
{
    return std::all_of(
        gateways_.begin(), gateways_.end(),
        [&](gateway const& g)
        {
            upstream_notices const& all = g.state->upstreams.notices;
            upstream_notice const* const n =
                find_notice(all, upstream_id, started_unix_ms_);
            std::optional<double> const known =
                n == nullptr ? std::nullopt : n->limit.per_second;
            return known == limit_;
        });
}

} // namespace marjorambeam
