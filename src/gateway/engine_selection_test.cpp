#include "gateway/engine_pace.hpp"
#include "gateway/load_admission.hpp"
#include "gateway/upstream_table.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace marjorambeam;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

upstream_state& add(upstream_table& b, std::string const& id)
{
    auto u = std::make_shared<upstream_state>();
    u->info = {.id = id, .service = "pool", .slots = 16};
    put_upstream(b, u);
    return *u;
}

// 24 gateways before 40 engines, of which one half takes three times as long
// for twenty seconds of forty. Gateways learn each other's requests half a
// second late. Responses of 60 events end in time at an engine of the usual
// pace and not at a slow one.
struct slow_half_model
{
    struct gateway
    {
        upstream_table table;
        completion_estimates estimates;
    };
    struct stream
    {
        gateway* owner;
        std::size_t engine;
        std::shared_ptr<upstream_state> upstream;
        int length;
        int events;
        steady_time previous;
        steady_time next;
        steady_time deadline;
    };
    static constexpr std::size_t engines = 40;
    static constexpr duration step = milliseconds(10);
    static constexpr request_work work{.prefill = 2000, .decode = 50};

    bool uses_forecast;
    std::mt19937_64 random{7};
    std::vector<gateway> gateways{24};
    std::vector<stream> streams;
    std::vector<unsigned> requests = std::vector<unsigned>(engines);
    int sent = 0;
    int cut = 0; // at the deadline

    explicit slow_half_model(bool forecast)
        : uses_forecast(forecast)
    {
        for (gateway& g : gateways)
        {
            for (std::size_t i = 0; i < engines; ++i)
                add(g.table, std::to_string(i));
        }
    }

    double factor(double deviation)
    {
        return std::lognormal_distribution<double>(0, deviation)(random);
    }

    duration gap(std::size_t engine, steady_time now)
    {
        bool const is_slow = engine % 2 == 0 &&
                             now >= steady_time(seconds(10)) &&
                             now < steady_time(seconds(30));
        return from_seconds(
            (0.04 + 0.004 * requests[engine]) * (is_slow ? 3 : 1) *
            factor(0.4));
    }

    void send(gateway& g, steady_time now)
    {
        int const length = std::max(2, static_cast<int>(60 * factor(0.2)));
        upstream_query q{.service = "pool", .is_engine = true};
        q.work = work;
        q.seed = random();
        if (uses_forecast)
            q.forecast = forecast_response(
                g.estimates,
                {.service = "pool",
                 .route = "chat",
                 .models = 1,
                 .hinted_tokens = static_cast<double>(length),
                 .now = now},
                0, seconds(8));
        upstream_selection const c = select_upstream(g.table, q, now);
        ++c.chosen->requests;
        c.chosen->work += work.total();
        std::size_t const engine = std::stoul(c.chosen->info.id);
        ++requests[engine];
        streams.push_back(
            {&g, engine, c.chosen, length, 1, now, now + gap(engine, now),
             now + seconds(8)});
        ++sent;
    }

    // Returns whether the stream has ended.
    bool advance(stream& s, steady_time now)
    {
        completion_estimates& e = s.owner->estimates;
        double const n = s.upstream->requests + s.upstream->peers.requests;
        if (now >= s.next)
        {
            auto const line = expected_event_line(
                e, {.service = "pool", .models = 1, .now = now});
            if (line)
                record_event_pace(
                    s.upstream->event_pace, *line, n, now - s.previous, 1, now);
            record_event_time(e, "pool", 0, n, now - s.previous, now);
            s.previous = now;
            s.next = now + gap(s.engine, now);
            ++s.events;
        }
        bool const is_cut = now >= s.deadline;
        if (!is_cut && s.events < s.length)
            return false;
        if (is_cut)
            record_cut_length(e, "chat", s.length, s.events);
        else
            record_length(e, "chat", s.length, s.events);
        cut += is_cut ? 1 : 0;
        --s.upstream->requests;
        s.upstream->work -= work.total();
        --requests[s.engine];
        return true;
    }

    double run()
    {
        std::poisson_distribution<int> arrivals(0.4);
        for (steady_time t{}; t < steady_time(seconds(40)); t += step)
        {
            for (int i = arrivals(random); i > 0; --i)
                send(gateways[random() % gateways.size()], t);
            for (std::size_t i = 0; i < streams.size();)
            {
                if (!advance(streams[i], t))
                {
                    ++i;
                    continue;
                }
                streams[i] = streams.back();
                streams.pop_back();
            }
            if (t.time_since_epoch() % milliseconds(500) != duration{0})
                continue;
            for (gateway& g : gateways)
            {
                for (auto const& [id, u] : g.table.by_id)
                    u->peers.requests = requests[std::stoul(id)] - u->requests;
            }
        }
        return static_cast<double>(cut) / sent;
    }
};

} // namespace

// Guards against a selection by the first event alone, which places responses
// at slow engines that answer early.
TEST_CASE(
    "A response goes to a busier engine if it ends too late at an idle one")
{
    constexpr steady_time now{seconds(100)};
    upstream_table b;
    upstream_state& slow = add(b, "slow");
    upstream_state& usual = add(b, "usual");
    slow.event_pace = {
        .seen_s = 30, .expected_s = 6, .events = 100, .updated = now};
    usual.work = 20'000;
    upstream_query q{.service = "pool", .is_engine = true};
    q.work = {.prefill = 1000, .decode = 50};
    CHECK(select_upstream(b, q, now).chosen->info.id == "slow");
    q.forecast =
        response_forecast{.events = 50, .line = {.idle = 0.04}, .left_s = 5};
    upstream_selection c = select_upstream(b, q, now);
    CHECK(c.chosen->info.id == "usual");
    CHECK(c.ends_in_time);
    // Nowhere in time: where it ends first.
    q.forecast->left_s = 1;
    c = select_upstream(b, q, now);
    CHECK(c.chosen->info.id == "usual");
    CHECK_FALSE(c.ends_in_time);
    q.forecast->events = 1;
    q.forecast->left_s = 0.001;
    CHECK(select_upstream(b, q, now).chosen->info.id == "slow");
    // The only one that is left is used.
    std::vector<std::string> const tried{"slow"};
    q.tried = tried;
    CHECK(select_upstream(b, q, now).chosen->info.id == "usual");
}

// Guards against responses that are cut off at their deadline while half of the
// engines take three times as long.
TEST_CASE("Half of the engines three times slower cut off fewer responses")
{
    double const before = slow_half_model(false).run();
    double const now = slow_half_model(true).run();
    CAPTURE(before, now);
    CHECK(before > 0.15);
    CHECK(now < 0.85 * before);
}

// Guards against a refusal of a request that one of the engines could serve,
// also where it may not be sent now, while all of them have long queues.
TEST_CASE("A request is refused only if it ends too late at each engine")
{
    constexpr steady_time now{seconds(100)};
    upstream_table b;
    upstream_query q{.service = "pool", .is_engine = true};
    q.work = {.prefill = 8000, .decode = 50, .shared = 3000};
    q.forecast =
        response_forecast{.events = 50, .line = {.idle = 0.04}, .left_s = 5};
    CHECK_FALSE(earliest_engine_end(b, q, now));
    for (int i = 0; i < 40; ++i)
        add(b, std::to_string(i)).work = 1e6;
    upstream_state& best = add(b, "best");
    best.work = 400'000;
    best.info.version = "v2";
    add(b, "gone").ejected_until = now + seconds(1);
    q.never_version = "v2";
    auto const e = earliest_engine_end(b, q, now);
    REQUIRE(e);
    CHECK(e->queued == seconds(4));
    CHECK(e->first_event == milliseconds(4050)); // the shared part is cached
    CHECK(e->pace == 1);
    completion_prediction end{
        .is_known = true,
        .likely = milliseconds(6050),
        .early = milliseconds(4900),
        .late = seconds(9)};
    admission_query a{
        .is_known = true,
        .times = engine_times(e->queued, end),
        .until_deadline = seconds(5)};
    CHECK(decide_admission(a).outcome == admission_outcome::wait);
    a.times.end.early = milliseconds(5100);
    CHECK(decide_admission(a).outcome == admission_outcome::refuse);
    CHECK(decide_admission(a).until_room == seconds(4));
    a.is_known = false;
    CHECK(decide_admission(a).outcome == admission_outcome::admit);
}

// Guards against a refusal beside an engine without a queue: reports of 24
// gateways are late, so that the engine's own report decides while it is fresh.
TEST_CASE("An engine has a queue by its report, or else by the requests there")
{
    constexpr steady_time now{seconds(100)};
    upstream_table b;
    upstream_state& u = add(b, "u");
    CHECK_FALSE(has_queue(u, now));
    u.peers.requests = 17;
    CHECK(has_queue(u, now));
    u.own_load = {.running = 12, .waiting = 0, .slots = 16};
    u.load_reported_at = now - milliseconds(300);
    CHECK_FALSE(has_queue(u, now));
    CHECK(has_queue(u, now + milliseconds(1)));
    u.own_load.waiting = 1;
    u.peers.requests = 0;
    CHECK(has_queue(u, now));
    u = {};
    u.peers.requests = 100; // it did not register its slots
    CHECK_FALSE(has_queue(u, now));
}
