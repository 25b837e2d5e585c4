#include "bench/policy_model/model.hpp"

#include "routing/routing.hpp"

#include <algorithm>
#include <array>
#include <deque>
#include <queue>
#include <random>

namespace marjorambeam
{
namespace
{

constexpr std::size_t zone_count = 4;
constexpr std::size_t upstream_count = 12;
constexpr std::uint32_t batch_limit = 8;
// A full batch runs each response at half of its speed alone.
constexpr double batch_cost = 1.0;
// Tokens per second of one response alone.
constexpr std::array speeds{20.0, 40.0, 60.0};
// Processing a prompt takes as long as generating this many tokens.
constexpr double prompt_work = 5;
constexpr double one_way_near = 0.0002;
constexpr double one_way_far = 0.0005;
constexpr double heartbeat_seconds = 1;
// The part of the run that is not counted, while queues build up.
constexpr double warm_up_share = 0.1;
// The entry knows the length of a response only roughly.
constexpr double estimate_error = 0.3;

struct request_class
{
    double share;
    double tokens;
};
constexpr std::array classes{
    request_class{0.2, 400}, request_class{0.4, 60}, request_class{0.4, 5}};

struct job
{
    double arrival = 0;
    double work = 0; // tokens left, with the prompt
    std::size_t entry = 0;
    bool is_counted = false;
};

struct worker
{
    double speed = 0;
    std::vector<job> running;
    std::deque<job> queue;
    double updated = 0;
    std::uint64_t version = 0; // of the planned completion

    double rate(std::size_t n) const
    {
        return speed / (1 + batch_cost * static_cast<double>(n - 1) /
                                (batch_limit - 1));
    }

    void advance(double now)
    {
        if (!running.empty())
        {
            double const done = rate(running.size()) * (now - updated);
            for (job& it : running)
                it.work -= done;
        }
        updated = now;
    }

    void fill()
    {
        while (running.size() < batch_limit && !queue.empty())
        {
            running.push_back(queue.front());
            queue.pop_front();
        }
    }

    // Time until the next completion. Precondition: running is not empty.
    double next_completion() const
    {
        double least = running.front().work;
        for (job const& it : running)
            least = std::min(least, it.work);
        return std::max(0.0, least) / rate(running.size());
    }
};

enum class event_kind : std::uint8_t
{
    arrival,
    at_worker,
    completion,
    report,
    finished, // at the entry
    heartbeat
};

struct event
{
    double at = 0;
    std::uint64_t order = 0;
    event_kind kind = event_kind::arrival;
    std::size_t entry = 0;
    std::size_t worker = 0;
    std::uint64_t version = 0;
    job work{};
    upstream_load load{};

    bool operator<(event const& other) const
    {
        return at != other.at ? at > other.at : order > other.order;
    }
};

steady_time to_time(double t)
{
    return steady_time(from_seconds(t + 1000));
}

class simulation
{
public:
    simulation(model_settings const& settings, policy p)
        : settings_(settings)
        , policy_(p)
        , arrivals_(settings.seed)
        , decisions_(settings.seed + 1)
    {
        build();
    }

    model_result run()
    {
        plan({.at = 0, .kind = event_kind::arrival});
        plan({.at = heartbeat_seconds, .kind = event_kind::heartbeat});
        while (!events_.empty())
        {
            event const e = events_.top();
            events_.pop();
            now_ = e.at;
            handle(e);
        }
        return summary();
    }

private:
    void build()
    {
        auto config = std::make_shared<config_snapshot>();
        std::vector<agent_view> agents;
        std::vector<entry_view> entries;
        for (std::size_t i = 0; i < zone_count; ++i)
        {
            std::string const zone = "z" + std::to_string(i);
            config->zones[zone] = {zone, "r", service_state::in};
            entries.push_back({"e" + std::to_string(i), zone});
        }
        double capacity = 0;
        for (std::size_t i = 0; i < upstream_count; ++i)
        {
            // Each zone has one worker of each speed.
            std::string name = "w";
            name += static_cast<char>('a' + i);
            config->upstreams[name] = {
                name,
                upstream_kind::engine,
                "z" + std::to_string(i / speeds.size()),
                {"m@v1"}};
            agents.push_back({name, "i-" + name, false});
            workers_.push_back({.speed = speeds.at(i % speeds.size())});
            capacity += batch_limit * workers_.back().rate(batch_limit);
        }
        for (entry_view const& it : entries)
            tables_.push_back(build_routing_table(
                {config, agents, entries, it.instance, it.availability_zone},
                nullptr));
        turn_.resize(zone_count);
        double work = prompt_work;
        for (request_class const& it : classes)
            work += it.share * it.tokens;
        requests_per_second_ = settings_.load * capacity / work;
    }

    void plan(event e)
    {
        e.order = ++order_;
        events_.push(e);
    }

    bool is_far(std::size_t entry, std::size_t worker) const
    {
        return worker / speeds.size() != entry;
    }

    double delay(std::size_t entry, std::size_t worker) const
    {
        return is_far(entry, worker) ? one_way_far : one_way_near;
    }

    upstream_load load_of(std::size_t w) const
    {
        worker const& it = workers_[w];
        upstream_load load;
        load.running = static_cast<std::uint32_t>(it.running.size());
        load.queued = static_cast<std::uint32_t>(it.queue.size());
        load.limit = load.warm_limit = batch_limit;
        for (job const& j : it.queue)
            load.queued_tokens += static_cast<std::uint64_t>(j.work);
        load.tokens_per_second =
            it.rate(std::max<std::size_t>(1, it.running.size()));
        load.first_token_seconds = prompt_work / load.tokens_per_second;
        return load;
    }

    void report(std::size_t w, std::size_t entry, event_kind kind)
    {
        plan(
            {.at = now_ + delay(entry, w),
             .kind = kind,
             .entry = entry,
             .worker = w,
             .load = load_of(w)});
    }

    void plan_completion(std::size_t w)
    {
        worker& it = workers_[w];
        ++it.version;
        if (!it.running.empty())
            plan(
                {.at = now_ + it.next_completion(),
                 .kind = event_kind::completion,
                 .worker = w,
                 .version = it.version});
    }

    void handle(event const& e)
    {
        switch (e.kind)
        {
        case event_kind::arrival:
            arrive();
            break;
        case event_kind::at_worker:
            workers_[e.worker].advance(now_);
            workers_[e.worker].queue.push_back(e.work);
            workers_[e.worker].fill();
            plan_completion(e.worker);
            report(e.worker, e.entry, event_kind::report);
            break;
        case event_kind::completion:
            if (e.version == workers_[e.worker].version)
                complete(e.worker);
            break;
        case event_kind::finished:
            record_done(
                tables_[e.entry], static_cast<upstream_index>(e.worker));
            [[fallthrough]];
        case event_kind::report:
            record_load(
                tables_[e.entry], static_cast<upstream_index>(e.worker), e.load,
                to_time(now_));
            break;
        case event_kind::heartbeat:
            for (std::size_t w = 0; w < workers_.size(); ++w)
            {
                for (std::size_t i = 0; i < zone_count; ++i)
                    report(w, i, event_kind::report);
            }
            if (now_ < settings_.seconds)
                plan(
                    {.at = now_ + heartbeat_seconds,
                     .kind = event_kind::heartbeat});
            break;
        }
    }

    void arrive()
    {
        std::uniform_real_distribution<double> uniform(0, 1);
        double draw = uniform(arrivals_);
        std::size_t kind = 0;
        while (kind + 1 < classes.size() && draw >= classes.at(kind).share)
            draw -= classes.at(kind++).share;
        double const tokens =
            classes.at(kind).tokens * (0.5 + uniform(arrivals_));
        double const guess =
            tokens * (1 + estimate_error * (2 * uniform(arrivals_) - 1));
        std::size_t const entry = arrivals_() % zone_count;
        std::uint64_t const prefix =
            settings_.has_prefixes ? 1 + arrivals_() % 20 : 0;
        job j{now_, tokens + prompt_work, entry};
        j.is_counted = now_ > settings_.seconds * warm_up_share;
        std::size_t const w = choose(entry, guess, prefix, j);
        result_.far += j.is_counted && is_far(entry, w) ? 1 : 0;
        record_sent(tables_[entry], static_cast<upstream_index>(w));
        plan(
            {.at = now_ + delay(entry, w),
             .kind = event_kind::at_worker,
             .entry = entry,
             .worker = w,
             .work = j});
        std::exponential_distribution<double> gap(requests_per_second_);
        double const next = now_ + gap(arrivals_);
        if (next < settings_.seconds)
            plan({.at = next, .kind = event_kind::arrival});
    }

    std::size_t
    choose(std::size_t entry, double guess, std::uint64_t prefix, job const& j)
    {
        routing_table const& t = tables_[entry];
        switch (policy_)
        {
        case policy::routed:
            return choose_upstream(
                       t, {.pool = 0, .prefix_hash = prefix, .tokens = guess},
                       to_time(now_), decisions_)
                .upstream;
        case policy::round_robin:
            return turn_[entry]++ % workers_.size();
        case policy::least_loaded:
            return least_by(
                [&](std::size_t w)
                {
                    upstream_status const& s = t.status[w];
                    return std::max(
                        s.reported + s.sent_since_report, s.outstanding);
                });
        case policy::oracle:
            break;
        }
        return least_by([&](std::size_t w)
                        { return finish_time(w, j) + 2 * delay(entry, w); });
    }

    // The worker with the least key; ties are broken at random.
    template <class Key>
    std::size_t least_by(Key const& key)
    {
        std::size_t const start = decisions_() % workers_.size();
        std::size_t best = start;
        for (std::size_t i = 1; i < workers_.size(); ++i)
        {
            std::size_t const w = (start + i) % workers_.size();
            if (key(w) < key(best))
                best = w;
        }
        return best;
    }

    // Seconds until `j` would finish at the worker if nothing else came.
    double finish_time(std::size_t w, job j) const
    {
        worker copy = workers_[w];
        copy.advance(now_);
        j.arrival = -1;
        copy.queue.push_back(j);
        copy.fill();
        double t = now_;
        while (true)
        {
            t += copy.next_completion();
            copy.advance(t);
            for (std::size_t i = copy.running.size(); i-- > 0;)
            {
                if (copy.running[i].work > 1e-9)
                    continue;
                if (copy.running[i].arrival < 0)
                    return t - now_;
                copy.running.erase(
                    copy.running.begin() + static_cast<std::ptrdiff_t>(i));
            }
            copy.fill();
        }
    }

    void complete(std::size_t w)
    {
        worker& it = workers_[w];
        it.advance(now_);
        std::vector<job> done;
        for (std::size_t i = it.running.size(); i-- > 0;)
        {
            if (it.running[i].work > 1e-9)
                continue;
            done.push_back(it.running[i]);
            it.running.erase(
                it.running.begin() + static_cast<std::ptrdiff_t>(i));
        }
        it.fill();
        plan_completion(w);
        for (job const& j : done)
        {
            report(w, j.entry, event_kind::finished);
            if (j.is_counted)
                latencies_.push_back(now_ + delay(j.entry, w) - j.arrival);
        }
    }

    model_result summary()
    {
        std::sort(latencies_.begin(), latencies_.end());
        auto const at = [&](double q)
        {
            return latencies_[static_cast<std::size_t>(
                q * static_cast<double>(latencies_.size() - 1))];
        };
        result_.requests = latencies_.size();
        result_.p50 = at(0.5);
        result_.p99 = at(0.99);
        for (double it : latencies_)
            result_.mean += it / static_cast<double>(latencies_.size());
        return result_;
    }

    model_settings settings_;
    policy policy_;
    std::mt19937_64 arrivals_;  // the same for each policy
    std::mt19937_64 decisions_; // of the policy
    double requests_per_second_ = 0;
    double now_ = 0;
    std::uint64_t order_ = 0;
    std::vector<worker> workers_;
    std::vector<routing_table> tables_; // by entry
    std::vector<std::size_t> turn_;
    std::priority_queue<event> events_;
    std::vector<double> latencies_;
    model_result result_;
};

} // namespace

std::string_view to_string(policy p)
{
    switch (p)
    {
    case policy::routed:
        return "routed";
    case policy::round_robin:
        return "round robin";
    case policy::least_loaded:
        return "least loaded";
    case policy::oracle:
        break;
    }
    return "oracle";
}

model_result run_latency(model_settings const& settings, policy p)
{
    return simulation(settings, p).run();
}

} // namespace marjorambeam
