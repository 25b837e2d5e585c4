// Configuration over 350 entries: changes at a busy hour's rate, the store
// down for 10 min, datagrams and first packets lost, daemons replaced.
#include "bench/policy_model/measure.hpp"

#include "config_sync/config_history.hpp"
#include "config_sync/sync_decisions.hpp"
#include "wire/frame.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <tuple>

namespace marjorambeam
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t daemon_count = 350;
constexpr std::size_t region_count = 3;
constexpr double loss = 0.05;
// 3,000 changes a day are one every 28.8 s; operators work in bursts, so the
// changes come at ten times the mean rate.
constexpr duration change_gap = milliseconds(2880);
constexpr duration quiet_time = seconds(20); // before the first change
constexpr duration busy_time = seconds(60);  // of changes before the outage
constexpr duration outage = std::chrono::minutes(10);
constexpr duration after_outage = seconds(60);
constexpr duration restart_gap = seconds(60); // 510 a day are one in 169 s
constexpr duration watch_period = seconds(2);
constexpr duration store_time = milliseconds(5);
constexpr duration tick_period = milliseconds(250);
constexpr double in_force_target = 7; // seconds after acceptance

struct node
{
    document_map<peer> peers;
    sync_state sync;
    config_history history;
    bool is_watcher = false;
    bool is_reading = false;
    std::uint64_t life = 0; // events of an earlier life do nothing
    // In order not to check the past of a restarted daemon.
    std::uint64_t highest = 0;
};

struct outcome
{
    double slowest = 0;      // seconds from acceptance until in force
    double p50 = 0;          // the same
    double reverted = 0;     // times that an instance went back
    double stale_starts = 0; // ready without a change older than the target
    double isolated = 0;     // checks that found an isolated daemon
    double not_in_force = 0; // changes that did not reach a daemon
    double messages = 0;     // per daemon and second
    double bytes = 0;
    double store_reads = 0; // per second over the fleet, during the outage
};

class fleet
{
public:
    explicit fleet(std::uint64_t seed)
        : random_(seed)
    {
        document_map<peer> all;
        for (std::size_t i = 0; i < daemon_count; ++i)
        {
            std::string const name = "d" + std::to_string(i);
            all[name] = {
                .instance = name,
                .address = "10.100.100.100:17000",
                .is_listed = true};
        }
        for (auto const& [name, p] : all)
        {
            names_.push_back(name);
            node& n = nodes_[name];
            n.peers = all;
            n.peers.erase(name);
            start(name);
            n.sync.has_config = true;
        }
        for (std::size_t i = 0; i < region_count * 3; ++i)
        {
            nodes_[names_[i * 7]].is_watcher = true;
            watch(names_[i * 7], 0);
        }
    }

    outcome run()
    {
        steady_time const start = now_;
        down_from_ = start + quiet_time + busy_time;
        down_until_ = down_from_ + outage;
        for (duration t = quiet_time; t < quiet_time + busy_time;
             t += change_gap)
            at(t, [this] { accept(); });
        // A last change just before the store fails.
        at(quiet_time + busy_time - milliseconds(10), [this] { accept(); });
        duration const again = quiet_time + busy_time + outage;
        for (duration t = again; t < again + after_outage; t += change_gap)
            at(t + seconds(1), [this] { accept(); });
        for (duration t = restart_gap; t < again; t += restart_gap)
            at(t, [this] { restart(); });
        run_until(start + again + after_outage + seconds(10));
        return summary(to_seconds(now_ - start));
    }

private:
    struct event
    {
        steady_time at;
        std::uint64_t order = 0;
        std::function<void()> run;

        bool operator<(event const& other) const
        {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };

    void at(duration delay, std::function<void()> run)
    {
        events_.push({now_ + delay, ++order_, std::move(run)});
    }
    // Runs `f` later unless the daemon was restarted in between.
    void later(std::string const& name, duration delay, std::function<void()> f)
    {
        std::uint64_t const life = nodes_[name].life;
        at(delay,
           [this, name, life, f = std::move(f)]
           {
               if (nodes_[name].life == life)
                   f();
           });
    }
    void run_until(steady_time end)
    {
        while (!events_.empty() && events_.top().at <= end)
        {
            event const e = events_.top();
            events_.pop();
            now_ = e.at;
            e.run();
        }
    }
    duration below(duration limit)
    {
        return duration(std::uniform_int_distribution<duration::rep>(
            0, limit.count() - 1)(random_));
    }
    bool is_lost()
    {
        return std::uniform_real_distribution<>(0, 1)(random_) < loss;
    }
    bool is_store_up() const
    {
        return now_ < down_from_ || now_ >= down_until_;
    }
    sync_view view(std::string const& name)
    {
        node const& n = nodes_[name];
        return {name, n.history.current->number, n.peers, n.is_watcher};
    }

    void start(std::string const& name)
    {
        sync_state s;
        s.started_at = s.last_peer_contact = s.last_fleet_store_contact = now_;
        s.next_digest = now_ + below(seconds(1));
        nodes_[name].sync = s;
        later(name, below(tick_period), [this, name] { tick(name); });
    }

    // A replaced daemon knows nothing but the instance list.
    void restart()
    {
        std::string const& name = names_[random_() % daemon_count];
        node& n = nodes_[name];
        if (n.is_watcher)
            return;
        ++n.life;
        n.highest = 0;
        n.history = {};
        for (auto& [other, p] : n.peers)
            p.generation = 0;
        start(name);
    }

    // One more generation is created in the store.
    void accept()
    {
        generation g{
            .number = texts_.size() + 1,
            .edit_id = "e" + std::to_string(texts_.size()),
            .author = "operator"};
        g.edits.push_back(
            {document_kind::availability_zone,
             "z" + std::to_string(g.number % 8),
             R"({"region":"north","state":"in"})"});
        texts_.push_back(to_json(g));
        accepted_.push_back(now_);
        reached_.emplace_back();
        for (std::string const& name : names_)
        {
            if (nodes_[name].is_watcher && !is_lost())
                later(
                    name, store_time + below(store_time),
                    [this, name] { read(name, true); });
        }
    }

    // Takes all from the store after what is in force.
    void read(std::string const& name, bool is_up)
    {
        node& n = nodes_[name];
        n.is_reading = false;
        on_store_done(n.sync, is_up, now_);
        if (!is_up)
            return;
        config_generations m;
        for (std::size_t i = n.history.current->number; i < texts_.size(); ++i)
            m.generations.emplace_back(i + 1, texts_[i]);
        take(name, std::move(m));
        if (!n.sync.has_config)
            check_start(name);
        n.sync.has_config = true;
    }

    void watch(std::string const& name, int)
    {
        read(name, is_store_up());
        later(name, watch_period, [this, name] { watch(name, 0); });
    }

    void take(std::string const& name, config_generations m)
    {
        node& n = nodes_[name];
        apply_received(n.history, std::move(m), {});
        std::uint64_t const current = n.history.current->number;
        if (current < n.highest)
            ++out_.reverted;
        if (current <= n.highest)
            return;
        for (std::uint64_t g = n.highest + 1; g <= current; ++g)
        {
            // The first life alone counts: a new daemon starts later.
            if (n.life == 0)
                reached_[g - 1].push_back(to_seconds(now_ - accepted_[g - 1]));
        }
        n.highest = current;
        run(name,
            on_generation_applied(n.sync, view(name), rules_, random_, now_));
    }

    // A daemon that becomes ready must know what is in force everywhere.
    void check_start(std::string const& name)
    {
        std::uint64_t due = 0;
        while (due < accepted_.size() &&
               to_seconds(now_ - accepted_[due]) > in_force_target)
            ++due;
        if (nodes_[name].history.current->number < due)
            ++out_.stale_starts;
    }

    void tick(std::string const& name)
    {
        node& n = nodes_[name];
        run(name, on_tick(n.sync, view(name), rules_, random_, now_));
        if (is_isolated(n.sync, view(name), rules_, now_))
            ++out_.isolated;
        later(name, tick_period, [this, name] { tick(name); });
    }

    void run(std::string const& name, sync_step const& step)
    {
        for (std::string const& to : step.notify)
            notify(name, to);
        if (!step.pull_from.empty())
            pull(name, step.pull_from);
        node& n = nodes_[name];
        if (!step.read_store || n.is_reading)
            return;
        n.is_reading = true;
        reads_in_outage_ += is_store_up() ? 0 : 1;
        bool const is_up = is_store_up();
        later(name, store_time, [this, name, is_up] { read(name, is_up); });
    }

    void notify(std::string const& from, std::string const& to)
    {
        node const& n = nodes_[from];
        digest const d{
            .instance = from,
            .availability_zone = "orkanger",
            .address = "10.100.100.100:17000",
            .generation = n.history.current->number};
        duration const age = store_age(n.sync, now_);
        count(
            digest_bytes_ == 0 ? digest_bytes_ = encode_frame(d).size()
                               : digest_bytes_);
        if (is_lost())
            return;
        later(
            to, milliseconds(1) + below(milliseconds(1)),
            [this, from, to, g = d.generation, age]
            {
                node& n = nodes_[to];
                record_contact(n.peers, from, g, now_);
                run(to, on_announcement(
                            n.sync, view(to),
                            {.from = from, .generation = g, .store_age = age},
                            rules_, now_));
            });
    }

    // A lost first packet is sent again after 1 s, later than the time limit
    // of a first pull; a later one after 200 ms.
    void pull(std::string const& name, std::string const& from)
    {
        bool const ok = !is_lost();
        duration const delay = ok ? milliseconds(is_lost() ? 203 : 3)
                                  : pull_timeout(nodes_[name].sync, rules_);
        count(encode_frame(config_pull{}).size());
        later(
            name, delay,
            [this, name, from, ok]
            {
                node& n = nodes_[name];
                bool const had_config = n.sync.has_config;
                // A daemon that is itself starting closes the connection.
                bool const is_answered = ok && nodes_[from].sync.has_config;
                if (is_answered)
                {
                    config_generations m = make_pull_response(
                        nodes_[from].history, n.history.current->number, {});
                    count(encode_frame(m).size());
                    record_contact(
                        n.peers, from, nodes_[from].history.current->number,
                        now_);
                    take(name, std::move(m));
                }
                run(name, on_pull_done(
                              n.sync, view(name), is_answered, rules_, random_,
                              now_));
                if (!had_config && n.sync.has_config)
                    check_start(name);
            });
    }

    void count(std::size_t bytes)
    {
        out_.messages += 1;
        out_.bytes += static_cast<double>(bytes);
    }

    outcome summary(double elapsed)
    {
        std::vector<double> all;
        std::size_t first_lives = 0;
        for (auto const& [name, n] : nodes_)
            first_lives += n.life == 0 ? 1 : 0;
        for (std::vector<double> const& it : reached_)
        {
            all.insert(all.end(), it.begin(), it.end());
            if (it.size() < first_lives)
                out_.not_in_force +=
                    static_cast<double>(first_lives - it.size());
        }
        out_.slowest = quantile(all, 1);
        out_.p50 = quantile(all, 0.5);
        out_.messages /= elapsed * daemon_count;
        out_.bytes /= elapsed * daemon_count;
        out_.store_reads = reads_in_outage_ / to_seconds(outage);
        return out_;
    }

    sync_rules const rules_;
    random_source random_;
    steady_time now_{seconds(1000)};
    steady_time down_from_ = now_ + std::chrono::hours(1);
    steady_time down_until_ = down_from_;
    std::uint64_t order_ = 0;
    std::size_t digest_bytes_ = 0;
    double reads_in_outage_ = 0;
    std::vector<std::string> names_;
    std::map<std::string, node> nodes_;
    std::priority_queue<event> events_;
    std::vector<std::string> texts_; // of all accepted generations
    std::vector<steady_time> accepted_;
    std::vector<std::vector<double>> reached_; // seconds, by generation
    outcome out_;
};

} // namespace

measure measure_config(seed_list const& seeds)
{
    measure m("config");
    for (std::uint64_t seed : seeds)
    {
        outcome const o = fleet(seed).run();
        m.row(
            "seed " + std::to_string(seed), {{"p50 s", o.p50},
                                             {"slowest s", o.slowest},
                                             {"reverted", o.reverted},
                                             {"stale starts", o.stale_starts},
                                             {"isolated", o.isolated},
                                             {"messages/s", o.messages},
                                             {"bytes/s", o.bytes},
                                             {"reads/s down", o.store_reads}});
        m.at_most(
            seed, "seconds until in force everywhere", o.slowest,
            in_force_target);
        m.at_most(seed, "changes not in force somewhere", o.not_in_force, 0);
        m.at_most(seed, "instances that went back", o.reverted, 0);
        m.at_most(seed, "starts without what is in force", o.stale_starts, 0);
    }
    return m;
}

} // namespace marjorambeam
