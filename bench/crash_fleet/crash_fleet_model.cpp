#include "crash_fleet/crash_fleet_model.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace marjorambeam
{
namespace
{

using std::chrono::milliseconds;

constexpr duration tick_period = milliseconds(100);
// Between an engine's end and the report of its broken connections.
constexpr duration max_detection = milliseconds(5);
constexpr duration survival_time = milliseconds(200);
constexpr std::int64_t unix_start = 1'700'000'000'000;

// Parts of sound prompts: a few that many requests share, and many that few do.
constexpr std::uint64_t first_parts = 12;
constexpr std::uint64_t second_parts = 400;

std::string name_of_gateway(std::size_t i)
{
    std::string const digits = std::to_string(i);
    return "gateway-" + std::string(4 - digits.size(), '0') + digits;
}

std::string name_of_engine(std::size_t i)
{
    return "engine-" + std::to_string(i);
}

} // namespace

crash_fleet_model::crash_fleet_model(crash_fleet_settings const& settings)
    : settings_(settings)
    , random_(settings.seed)
    , gateways_(settings.gateways)
    , engines_(settings.engines)
    , next_request_(now_)
{
    for (std::size_t i = 0; i < gateways_.size(); ++i)
        start_gateway(i);
}

void crash_fleet_model::start_gateway(std::size_t i)
{
    gateway& g = gateways_[i];
    ++g.life;
    g.state = std::make_unique<gateway_state>();
    gateway_state& s = *g.state;
    s.settings.instance = name_of_gateway(i);
    s.self = g.life;
    s.started = std::max(now_, g.down_until);
    for (std::size_t k = 0; k < gateways_.size(); ++k)
    {
        if (k != i)
            s.peers[name_of_gateway(k)].last_received_at = steady_time::max();
    }
    std::uint64_t const life = g.life;
    at_gateway(
        s.started + milliseconds(50) + draw(settings_.max_store_delay), i, life,
        [this, i]
        {
            for (auto const& [key, it] : stored_)
                apply_stored(
                    gateways_[i].state->quarantine, it, ++revision_, now_);
        });
    at_gateway(s.started + draw(tick_period), i, life, [this, i] { tick(i); });
}

void crash_fleet_model::set_deadly(
    std::vector<std::uint64_t> parts, bool are_together)
{
    deadly_ = std::move(parts);
    are_together_ = are_together;
}

void crash_fleet_model::mend()
{
    is_mended_ = true;
}

void crash_fleet_model::crash_engines(std::size_t first, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i)
        crash((first + i) % engines_.size());
}

void crash_fleet_model::restart_gateway(std::size_t i, duration down)
{
    gateways_[i].down_until = now_ + down;
    gateways_[i].disturbed_until = now_ + down;
    start_gateway(i);
}

void crash_fleet_model::freeze_gateway(std::size_t i, duration time)
{
    gateways_[i].frozen_until = now_ + time;
    gateways_[i].disturbed_until = now_ + time;
}

void crash_fleet_model::add_gateway()
{
    std::string const name = name_of_gateway(gateways_.size());
    for (gateway& it : gateways_)
        it.state->peers[name].last_received_at = steady_time::max();
    gateways_.emplace_back();
    gateways_.back().disturbed_until = now_;
    start_gateway(gateways_.size() - 1);
}

void crash_fleet_model::set_partition(std::set<std::size_t> group)
{
    partition_ = std::move(group);
}

bool crash_fleet_model::is_connected(std::size_t a, std::size_t b) const
{
    return partition_.contains(a) == partition_.contains(b);
}

bool crash_fleet_model::draw_share(double share)
{
    constexpr std::uint64_t steps = 10'000;
    return random_() % steps < static_cast<std::uint64_t>(share * steps);
}

duration crash_fleet_model::draw(duration most)
{
    return duration(static_cast<duration::rep>(
        random_() % static_cast<std::uint64_t>(most.count() + 1)));
}

void crash_fleet_model::at(steady_time when, std::function<void()> act)
{
    actions_.push({when, next_order_++, std::move(act)});
}

void crash_fleet_model::at_gateway(
    steady_time when, std::size_t i, std::uint64_t life,
    std::function<void()> act)
{
    at(when,
       [this, i, life, act = std::move(act)]() mutable
       {
           gateway const& g = gateways_[i];
           if (g.life != life)
               return;
           if (now_ < g.frozen_until)
               at_gateway(g.frozen_until, i, life, std::move(act));
           else
               act();
       });
}

std::uint64_t
crash_fleet_model::draw_part(std::uint64_t first, std::uint64_t count)
{
    // The square makes some parts far more common than others.
    double const x = static_cast<double>(random_() % 10'000) / 10'000;
    return first +
           static_cast<std::uint64_t>(x * x * static_cast<double>(count));
}

// A caller asks a random gateway.
void crash_fleet_model::ask()
{
    std::uint64_t const number = requests_.size() + 1;
    request r;
    r.asked = now_;
    r.gateway = random_() % gateways_.size();
    r.gateway_life = gateways_[r.gateway].life;
    constexpr std::uint64_t steps = 10'000;
    r.is_deadly = !deadly_.empty() &&
                  random_() % steps < static_cast<std::uint64_t>(
                                          settings_.deadly_share * steps);
    std::size_t const organisations =
        r.is_deadly ? settings_.deadly_organisations : settings_.organisations;
    r.traits.request = number;
    r.traits.organisation = 1 + random_() % organisations;
    r.traits.parts = {draw_part(1, first_parts), draw_part(100, second_parts)};
    if (r.is_deadly && are_together_)
        r.traits.parts.insert(
            r.traits.parts.end(), deadly_.begin(), deadly_.end());
    else if (r.is_deadly)
        r.traits.parts.push_back(deadly_[random_() % deadly_.size()]);
    requests_[number] = r;
    gateway const& g = gateways_[r.gateway];
    if (now_ < g.down_until)
        return;
    at_gateway(
        now_, r.gateway, r.gateway_life, [this, number] { send(number); });
}

void crash_fleet_model::send(std::uint64_t number)
{
    request& r = requests_.at(number);
    gateway_state& s = *gateways_[r.gateway].state;
    if (reaches_crash_limit(s.crashes, r.traits.request) ||
        find_quarantine(s.quarantine, r.traits) != nullptr)
    {
        r.is_refused = true;
        return;
    }
    std::vector<std::size_t> up;
    for (std::size_t i = 0; i < engines_.size(); ++i)
    {
        if (now_ >= engines_[i].up_at)
            up.push_back(i);
    }
    if (up.empty())
        return;
    ++r.sends;
    r.has_begun = false;
    r.engine = up[random_() % up.size()];
    engines_[r.engine].requests.insert(number);
    if (r.is_deadly)
        deadly_arrivals_.push_back(
            {.at = now_,
             .gateway = r.gateway,
             .undisturbed_since = gateways_[r.gateway].disturbed_until});
    std::exponential_distribution<double> prefill(
        1 / to_seconds(settings_.mean_prefill));
    std::uint64_t const attempt = ++r.attempt;
    at(now_ + from_seconds(prefill(random_)),
       [this, number, attempt] { begin_answer(number, attempt); });
}

void crash_fleet_model::begin_answer(
    std::uint64_t number, std::uint64_t attempt)
{
    request& r = requests_.at(number);
    engine& e = engines_[r.engine];
    if (r.attempt != attempt || !e.requests.contains(number))
        return; // it was sent elsewhere or ended
    // Now and then the end comes before the head.
    constexpr std::uint64_t lost_head_one_in = 20;
    r.has_begun = random_() % lost_head_one_in != 0;
    if (r.has_begun && escalate(number))
        return;
    if (r.is_deadly && !is_mended_)
    {
        caused_.push_back(now_);
        crash(r.engine);
        return;
    }
    at_gateway(
        now_ + survival_time, r.gateway, r.gateway_life,
        [this, number, attempt]
        {
            request& answered = requests_.at(number);
            if (answered.attempt != attempt ||
                engines_[answered.engine].requests.erase(number) == 0)
                return;
            record_survival(
                gateways_[answered.gateway].state->crashes, answered.traits,
                now_);
        });
}

// Drops an answer at its head and asks another engine. The first one goes on
// for a moment.
bool crash_fleet_model::escalate(std::uint64_t number)
{
    constexpr duration cancel_delay = milliseconds(30);
    request& r = requests_.at(number);
    if (r.is_escalated || !draw_share(settings_.escalated_share))
        return false;
    r.is_escalated = true;
    ++r.attempt;
    engine& e = engines_[r.engine];
    e.requests.erase(number);
    std::uint64_t const incarnation = e.incarnation;
    at_gateway(
        now_, r.gateway, r.gateway_life,
        [this, number, i = r.engine, incarnation]
        {
            request const& again = requests_.at(number);
            record_suspicion(
                gateways_[again.gateway].state->crashes,
                {.suspect = {.traits = again.traits, .has_begun = true},
                 .upstream = name_of_engine(i),
                 .upstream_started_ms = static_cast<std::int64_t>(incarnation),
                 .at = now_,
                 .was_dropped = true});
            send(number);
        });
    if (!r.is_deadly || is_mended_)
        return true;
    at(now_ + cancel_delay,
       [this, i = r.engine, incarnation]
       {
           if (engines_[i].incarnation != incarnation)
               return;
           caused_.push_back(now_);
           crash(i);
       });
    return true;
}

void crash_fleet_model::crash(std::size_t i)
{
    engine& e = engines_[i];
    if (now_ < e.up_at)
        return;
    e.up_at = now_ + settings_.engine_restart;
    auto const incarnation = static_cast<std::int64_t>(e.incarnation++);
    for (std::uint64_t const number : std::exchange(e.requests, {}))
    {
        request& r = requests_.at(number);
        ++r.attempt;
        at_gateway(
            now_ + draw(max_detection), r.gateway, r.gateway_life,
            [this, number, i, incarnation, has_begun = r.has_begun] {
                break_attempt(
                    number, has_begun, name_of_engine(i), incarnation);
            });
    }
}

void crash_fleet_model::break_attempt(
    std::uint64_t number, bool has_begun, std::string const& upstream,
    std::int64_t incarnation)
{
    request& r = requests_.at(number);
    gateway_state& s = *gateways_[r.gateway].state;
    record_suspicion(
        s.crashes, {{r.traits, has_begun}, upstream, incarnation, now_});
    confirm_crash(s.crashes, upstream, now_);
    judge(r.gateway);
    send_reports(r.gateway);
    constexpr duration evidence_delay = milliseconds(25);
    at_gateway(
        now_ + evidence_delay, r.gateway, r.gateway_life,
        [this, number]
        {
            request& again = requests_.at(number);
            gateway_state& state = *gateways_[again.gateway].state;
            bool const repeats =
                again.sends < settings_.attempts &&
                may_repeat(state.crashes, again.traits) &&
                !has_suspected_part(state.quarantine, again.traits);
            again.is_given_up = !repeats;
            if (repeats)
                send(number);
        });
}

// Ends the unanswered requests that must not be sent any more.
void crash_fleet_model::judge(std::size_t i)
{
    gateway_state& s = *gateways_[i].state;
    std::int64_t const unix_ms =
        unix_start +
        std::chrono::duration_cast<milliseconds>(now_.time_since_epoch())
            .count();
    quarantine_changes const c = judge_crashes(s, now_, unix_ms);
    for (quarantine_entry const& it : c.cleared)
    {
        if (is_turn_to_remove(s, now_))
            unstore(it.document.key);
    }
    if (c.added.empty())
        return;
    for (engine& e : engines_)
        std::erase_if(
            e.requests,
            [&](std::uint64_t number)
            {
                request const& r = requests_.at(number);
                return r.gateway == i &&
                       find_quarantine(s.quarantine, r.traits) != nullptr;
            });
}

void crash_fleet_model::send_reports(std::size_t i)
{
    for (crash_report const& it : due_crash_reports(*gateways_[i].state, now_))
    {
        auto const r = std::make_shared<crash_report const>(it);
        for (std::size_t k = 0; k < gateways_.size(); ++k)
        {
            if (k == i)
                continue;
            ++messages_;
            if (draw_share(settings_.loss) || !is_connected(i, k) ||
                now_ < gateways_[k].down_until)
                continue;
            at_gateway(
                now_ + draw(settings_.max_delay), k, gateways_[k].life,
                [this, k, r]
                {
                    apply_crash_report(*gateways_[k].state, *r, now_);
                    if (!r->crashes.empty())
                        judge(k);
                });
        }
    }
}

void crash_fleet_model::tick(std::size_t i)
{
    gateway_state& s = *gateways_[i].state;
    judge(i);
    send_reports(i);
    for (auto const& [key, it] : s.quarantine.entries)
    {
        if (is_turn_to_store(s, it, now_))
            store(it.document);
    }
    at_gateway(
        now_ + tick_period, i, gateways_[i].life, [this, i] { tick(i); });
}

// The store takes an entry, of which gateways hear at different times.
void crash_fleet_model::store(stored_quarantine const& entry)
{
    if (!stored_.emplace(entry.key, entry).second)
        return;
    for (std::size_t k = 0; k < gateways_.size(); ++k)
        at_gateway(
            now_ + draw(settings_.max_store_delay), k, gateways_[k].life,
            [this, k, entry]
            {
                if (stored_.contains(entry.key))
                    apply_stored(
                        gateways_[k].state->quarantine, entry, ++revision_,
                        now_);
            });
}

void crash_fleet_model::unstore(quarantine_key const& key)
{
    if (stored_.erase(key) == 0)
        return;
    for (std::size_t k = 0; k < gateways_.size(); ++k)
        at_gateway(
            now_ + draw(settings_.max_store_delay), k, gateways_[k].life,
            [this, k, key]
            {
                remove_stored(gateways_[k].state->quarantine, key);
                forget_part(gateways_[k].state->crashes, key.part);
            });
}

void crash_fleet_model::run_for(duration time)
{
    steady_time const end = now_ + time;
    duration const pause = from_seconds(1 / settings_.requests_per_second);
    while (now_ < end)
    {
        bool const is_action_next =
            !actions_.empty() && actions_.top().at <= next_request_;
        steady_time const next =
            is_action_next ? actions_.top().at : next_request_;
        now_ = std::min(std::max(now_, next), end);
        if (now_ < next)
            return;
        if (is_action_next)
        {
            auto const act = actions_.top().act;
            actions_.pop();
            act();
            continue;
        }
        ask();
        next_request_ += pause;
    }
}

std::size_t crash_fleet_model::late_arrivals(duration settling) const
{
    constexpr std::size_t crashes_until_bound = 5;
    if (caused_.size() < crashes_until_bound)
        return 0;
    steady_time const bound = caused_[crashes_until_bound - 1] + settling;
    return static_cast<std::size_t>(std::count_if(
        deadly_arrivals_.begin(), deadly_arrivals_.end(),
        [&](arrival const& it)
        { return it.at > bound && it.is_in_touch_after(settling); }));
}

crash_fleet_model::sound_requests
crash_fleet_model::sound_since(steady_time from) const
{
    sound_requests n;
    for (auto const& [number, r] : requests_)
    {
        if (r.is_deadly || r.asked < from)
            continue;
        ++n.asked;
        n.refused += r.is_refused ? 1 : 0;
        n.given_up += r.is_given_up ? 1 : 0;
        n.repeated += r.sends > (r.is_escalated ? 2U : 1U) ? 1 : 0;
    }
    return n;
}

std::set<std::uint64_t> crash_fleet_model::falsely_quarantined() const
{
    std::set<std::uint64_t> parts;
    for (gateway const& g : gateways_)
    {
        for (auto const& [key, it] : g.state->quarantine.entries)
        {
            if (std::find(deadly_.begin(), deadly_.end(), key.part) ==
                deadly_.end())
                parts.insert(key.part);
        }
    }
    return parts;
}

} // namespace marjorambeam
