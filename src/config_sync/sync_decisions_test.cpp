#include "config_sync/sync_decisions.hpp"

#include "wire/frame.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <queue>

using namespace marjorambeam;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

sync_rules const rules;
steady_time const t0{seconds(1000)};

document_map<peer> make_peers(std::size_t count)
{
    document_map<peer> out;
    for (std::size_t i = 0; i < count; ++i)
    {
        std::string const name = "d" + std::to_string(i);
        out[name] = {
            .instance = name, .address = "127.0.0.1:1", .is_listed = true};
    }
    return out;
}

struct node
{
    document_map<peer> peers;
    sync_state sync;
    std::uint64_t current = 10;
    bool is_watcher = false;
};

// Runs the decisions of many daemons in virtual time over a lossy network
// while the store is down.
class simulation
{
public:
    simulation(std::size_t count, double loss, std::uint64_t seed)
        : loss_(loss)
        , random_(seed)
    {
        document_map<peer> const all = make_peers(count);
        for (auto const& it : all)
        {
            std::string const name = it.first;
            node& n = nodes_[name];
            n.peers = all;
            n.peers.erase(name);
            n.sync.started_at = n.sync.last_peer_contact =
                n.sync.last_fleet_store_contact = now_;
            n.sync.next_digest = now_ + microseconds_below(1000000);
            n.sync.has_config = true;
            at(microseconds_below(250000), [this, name] { tick(name); });
        }
    }

    void run_until(std::function<bool()> const& is_done, duration limit)
    {
        steady_time const end = now_ + limit;
        while (!is_done() && !events_.empty() && events_.top().at <= end)
        {
            event const e = events_.top();
            events_.pop();
            now_ = e.at;
            e.run();
        }
    }

    void learn(std::string const& name, std::uint64_t generation)
    {
        node& n = nodes_.at(name);
        if (generation <= n.current)
            return;
        n.current = generation;
        run(name,
            on_generation_applied(n.sync, view(name), rules, random_, now_));
    }

    bool all_know(std::uint64_t generation) const
    {
        return std::all_of(
            nodes_.begin(), nodes_.end(),
            [&](auto const& it) { return it.second.current >= generation; });
    }

    steady_time now() const
    {
        return now_;
    }

    std::size_t datagrams = 0;
    std::size_t pulls = 0;
    std::size_t store_reads = 0;

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

    duration microseconds_below(int limit)
    {
        return duration(std::uniform_int_distribution<>(0, limit - 1)(random_));
    }
    bool is_lost()
    {
        return std::uniform_real_distribution<>(0, 1)(random_) < loss_;
    }
    void at(duration delay, std::function<void()> run)
    {
        events_.push({now_ + delay, ++order_, std::move(run)});
    }
    sync_view view(std::string const& name)
    {
        node& n = nodes_.at(name);
        return {name, n.current, n.peers, n.is_watcher};
    }

    void tick(std::string const& name)
    {
        node& n = nodes_.at(name);
        run(name, on_tick(n.sync, view(name), rules, random_, now_));
        at(milliseconds(250), [this, name] { tick(name); });
    }

    void run(std::string const& name, sync_step const& step)
    {
        for (std::string const& to : step.notify)
            notify(name, to);
        if (!step.pull_from.empty())
            pull(name, step.pull_from);
        if (!step.read_store)
            return;
        ++store_reads;
        on_store_done(nodes_.at(name).sync, false, now_);
    }

    void notify(std::string const& from, std::string const& to)
    {
        ++datagrams;
        if (is_lost())
            return;
        std::uint64_t const generation = nodes_.at(from).current;
        at(milliseconds(1) + microseconds_below(1000),
           [this, from, to, generation]
           {
               node& n = nodes_.at(to);
               record_contact(n.peers, from, generation, now_);
               run(to,
                   on_announcement(
                       n.sync, view(to),
                       {.from = from, .generation = generation}, rules, now_));
           });
    }

    // A lost first packet is retransmitted after 1 s, later than the timeout of
    // a first pull; a lost later one after 200 ms.
    void pull(std::string const& name, std::string const& from)
    {
        ++pulls;
        bool const ok = !is_lost();
        duration const delay = ok ? milliseconds(is_lost() ? 203 : 3)
                                  : pull_timeout(nodes_.at(name).sync, rules);
        at(delay,
           [this, name, from, ok]
           {
               node& n = nodes_.at(name);
               if (ok)
                   learn(name, nodes_.at(from).current);
               run(name,
                   on_pull_done(n.sync, view(name), ok, rules, random_, now_));
           });
    }

    double loss_;
    random_source random_;
    steady_time now_ = t0;
    std::uint64_t order_ = 0;
    std::map<std::string, node> nodes_;
    std::priority_queue<event> events_;
};

} // namespace

// Guards against new generations that do not reach every daemon in time (I12),
// and against a number of messages that grows faster than the fleet.
TEST_CASE(
    "a generation reaches 350 daemons with 5% loss and no store within 7 s")
{
    constexpr std::size_t count = 350;
    constexpr duration limit = seconds(7);
    std::uint64_t const seed = GENERATE(range(1, 11));
    simulation s(count, 0.05, seed);
    auto const never = [] { return false; };
    s.run_until(never, seconds(3));
    std::size_t const before = s.datagrams;
    s.run_until(never, seconds(2));
    std::size_t const idle_datagrams = (s.datagrams - before) / 2;
    CHECK(idle_datagrams <= 2 * count * 11 / 10);
    CHECK(s.pulls == 0);

    s.datagrams = 0;
    s.store_reads = 0;
    steady_time const start = s.now();
    s.learn("d17", 11);
    s.run_until([&] { return s.all_know(11); }, limit);
    double const elapsed = to_seconds(s.now() - start);
    std::size_t const in_time = s.datagrams;
    std::size_t const bytes =
        encode_frame(digest{
                         .instance = "entry-127",
                         .availability_zone = "orkanger",
                         .upstream = "engine-127",
                         .address = "10.100.100.100:17000"})
            .size();
    CAPTURE(seed, elapsed, idle_datagrams, in_time, s.pulls, bytes);
    CHECK(s.all_know(11));
    // All daemons must know within 3 s that a zone is out of service (I6).
    CHECK(elapsed <= 3);
    // Each daemon sends 4 digests at once, 2 per second, and one to each peer
    // that it finds behind; these are at most as many as that peer sends.
    double const rounds = elapsed + 1;
    double const bound = static_cast<double>(count) * (4 + 2 * 2 * rounds);
    CHECK(static_cast<double>(in_time) <= bound);
    CHECK(s.pulls <= 2 * count);
    // By now no daemon has contact with the store. Permits twice the three
    // reads per second of the fleet, over at most 17 s.
    s.run_until(never, seconds(10));
    CHECK(s.store_reads <= 102);
}

// Guards against a daemon that starts during an outage of the store and accepts
// the first response as the newest generation, or never becomes ready.
TEST_CASE("a start without the store waits for responses of three peers")
{
    random_source random(1);
    document_map<peer> peers = make_peers(5);
    sync_state s{.started_at = t0};
    sync_view v{"self", 0, peers, false};
    CHECK(on_tick(s, v, rules, random, t0).read_store);
    CHECK_FALSE(on_tick(s, v, rules, random, t0).read_store);
    on_store_done(s, false, t0);
    std::string from = on_tick(s, v, rules, random, t0).pull_from;
    REQUIRE_FALSE(from.empty());
    std::string second = on_pull_done(s, v, true, rules, random, t0).pull_from;
    CHECK(second != from);
    peers[second].generation = s.newest_known = 7;
    v.current = 7;
    CHECK_FALSE(on_pull_done(s, v, true, rules, random, t0).pull_from.empty());
    CHECK_FALSE(s.has_config);
    on_pull_done(s, v, true, rules, random, t0);
    CHECK(s.has_config);
}

// Guards against pulling in a loop from a peer that does not have the
// generation that it announces, and against notifying a stale peer on each
// frame that it sends.
TEST_CASE(
    "failed sources back off and stale peers are notified once in a period")
{
    random_source random(1);
    document_map<peer> peers = make_peers(1);
    peers["d0"].generation = 9;
    sync_state s{.started_at = t0, .has_config = true};
    sync_view v{"self", 5, peers, false};
    CHECK(on_announcement(s, v, {"d0", 9}, rules, t0).pull_from == "d0");
    CHECK(on_announcement(s, v, {"d0", 9}, rules, t0).pull_from.empty());
    CHECK(on_pull_done(s, v, true, rules, random, t0).pull_from.empty());
    CHECK(on_tick(s, v, rules, random, t0 + seconds(4)).pull_from.empty());
    CHECK(on_tick(s, v, rules, random, t0 + seconds(5)).pull_from == "d0");
    CHECK(on_announcement(s, v, {"d0", 3}, rules, t0).notify.size() == 1);
    CHECK(on_announcement(s, v, {"d0", 3}, rules, t0 + milliseconds(9))
              .notify.empty());
    CHECK(on_announcement(s, v, {"nobody", 12}, rules, t0).pull_from.empty());
    CHECK(s.newest_known == 12);
}

// Guards against a fleet that reads the store at a constant rate because one
// daemon announces a generation that does not exist.
TEST_CASE("reads for an announced generation that does not exist back off")
{
    random_source random(1);
    document_map<peer> const peers = make_peers(1);
    sync_state s{.started_at = t0};
    on_store_done(s, true, t0);
    sync_view const v{"self", 5, peers, false};
    int reads = 0;
    for (int second = 1; second <= 300; ++second)
    {
        steady_time const now = t0 + seconds(second);
        on_announcement(s, v, {"d0", 999, duration{0}}, rules, now);
        on_pull_done(s, v, false, rules, random, now);
        if (!on_tick(s, v, rules, random, now).read_store)
            continue;
        on_store_done(s, true, now);
        ++reads;
    }
    CHECK(reads >= 5);
    CHECK(reads <= 10);
}

// Guards against a partitioned daemon that waits for its peers instead of
// reading the store, or that does not detect that it is isolated.
TEST_CASE(
    "without peer contact a daemon reads the store and then becomes isolated")
{
    random_source random(1);
    document_map<peer> peers = make_peers(3);
    sync_state s{.started_at = t0};
    on_store_done(s, true, t0);
    sync_view const v{"self", 5, peers, false};
    on_announcement(s, v, {"d0", 5, duration{0}}, rules, t0 + seconds(1));
    CHECK_FALSE(on_tick(s, v, rules, random, t0 + seconds(5)).read_store);
    CHECK(on_tick(s, v, rules, random, t0 + seconds(6)).read_store);
    CHECK_FALSE(on_tick(s, v, rules, random, t0 + seconds(6)).read_store);
    on_store_done(s, false, t0 + seconds(6));
    CHECK_FALSE(is_isolated(s, v, rules, t0 + seconds(10)));
    CHECK(is_isolated(s, v, rules, t0 + seconds(11)));
    on_store_done(s, true, t0 + seconds(12));
    CHECK_FALSE(is_isolated(s, v, rules, t0 + seconds(13)));
}
