#include "cascade/cascade.hpp"

#include <array>
#include <catch2/catch.hpp>
#include <deque>

using namespace marjorambeam;
using std::chrono::minutes;
using std::chrono::seconds;

namespace
{

std::vector<cascade_stage> const three{
    {"small", 1, 1, 0.6}, {"medium", 2, 4, 0.8}, {"large", 3, 12, 0.95}};

struct fixture
{
    cascade_state s;
    cascade_limits limits{0.85, 0.05, 240};
    steady_time now{seconds(10000)};
    std::mt19937_64 random{9};

    cascade_choice choose(request_kind kind = 0)
    {
        return choose_stage(s, three, limits, kind, now, random);
    }

    void rate(std::size_t stage, double rating, int n)
    {
        for (int i = 0; i < n; ++i)
            record_rating(s, 0, stage, three[stage].version_hash, rating);
    }
};

struct totals
{
    double cost = 0;
    double quality = 0;
    double best_quality = 0;
    int ratings = 0;
    int requests = 0;
};

// Simulates four kinds; the small model is sufficient for two, the medium one
// for a third. Ratings are delayed, 5% are missing, and the rating service is
// down for 10 min.
totals simulate(fixture& f, int hours)
{
    constexpr std::array<std::array<double, 3>, 4> quality{
        {{0.92, 0.93, 0.95},
         {0.91, 0.94, 0.95},
         {0.6, 0.92, 0.95},
         {0.4, 0.7, 0.95}}};
    struct late
    {
        steady_time at;
        request_kind kind;
        std::size_t stage;
        double rating;
    };
    std::deque<late> queue;
    std::normal_distribution<double> noise(0, 0.05);
    std::uniform_real_distribution<double> uniform(0, 1);
    steady_time const start = f.now;
    totals t;
    for (int i = 0; i < hours * 3600; ++i)
    {
        f.now += seconds(1);
        while (!queue.empty() && queue.front().at <= f.now)
        {
            late const r = queue.front();
            queue.pop_front();
            record_rating(
                f.s, r.kind, r.stage, three[r.stage].version_hash, r.rating);
        }
        request_kind const kind = f.random() % 4;
        cascade_choice const c = f.choose(kind);
        double const q = quality[kind][c.stage];
        ++t.requests;
        t.cost += three[c.stage].price;
        t.quality += q;
        t.best_quality += quality[kind][2];
        t.ratings += c.should_rate ? 1 : 0;
        bool const is_down =
            f.now - start > minutes(40) && f.now - start < minutes(50);
        if (c.should_rate && !is_down && uniform(f.random) >= 0.05)
            queue.push_back(
                {f.now + seconds(60), kind, c.stage, q + noise(f.random)});
    }
    return t;
}

} // namespace

// Guards against serving a kind without ratings by a model whose declared
// quality is below the floor.
TEST_CASE("an unknown kind starts at a model of sufficient declared quality")
{
    fixture f;
    f.limits.explore_rate = 0;
    cascade_choice const c = f.choose();
    REQUIRE(three[c.stage].model == "large");
    REQUIRE(c.reason == cascade_reason::declared);
    f.limits.quality_floor = 0.8;
    REQUIRE(three[f.choose().stage].model == "medium");
}

// Guards against choosing or exploring a model whose ratings are below the
// floor because its declared quality is high.
TEST_CASE("a stage that ratings show to be insufficient is never chosen")
{
    fixture f;
    f.limits = {0.8, 1, 1e6};
    f.choose();
    f.rate(1, 0.5, 20);
    f.rate(0, 0.3, 20);
    for (int i = 0; i < 1000; ++i)
    {
        f.now += seconds(1);
        REQUIRE(f.choose().stage == 2);
    }
    f.rate(2, 0.4, 50);
    REQUIRE(f.choose().is_below_floor);
}

// Guards against using the large model when ratings show that the small one is
// sufficient, and against detecting too late that it no longer is.
TEST_CASE("ratings move a kind to a cheaper model and back")
{
    fixture f;
    f.limits.explore_rate = 0;
    f.choose();
    f.rate(0, 0.95, 40);
    cascade_choice const c = f.choose();
    REQUIRE(c.stage == 0);
    REQUIRE(c.reason == cascade_reason::by_ratings);
    REQUIRE(explain(c, three).find("small, sufficient") != std::string::npos);
    REQUIRE(f.choose(1).stage == 2); // other kinds are not affected
    f.rate(0, 0.2, 10);
    REQUIRE(f.choose().stage == 2);
}

// Guards against a low declared quality that outweighs the first ratings, so
// that a sufficient model is never explored again.
TEST_CASE("good ratings outweigh a low declared quality")
{
    fixture f;
    f.limits.quality_floor = 0.9;
    f.choose();
    f.rate(0, 0.93, static_cast<int>(min_ratings) + 1);
    f.choose();
    CHECK(
        classify_stage(f.s.stats_by_stage[0], three[0], 0.9) !=
        stage_state::insufficient);
    f.rate(0, 0.93, 12);
    f.limits.explore_rate = 0;
    CHECK(f.choose().stage == 0);
}

// Guards against requests that alternate between two models because single
// ratings move the estimate across the bound.
TEST_CASE("a sufficient stage stays so until its mean is below the floor")
{
    fixture f;
    f.limits.explore_rate = 0;
    f.choose();
    f.rate(0, 0.95, 20);
    REQUIRE(f.choose().stage == 0);
    f.rate(0, 0.7, 6); // mean about 0.89
    CHECK(f.choose().stage == 0);
    f.rate(0, 0.7, 12); // mean about 0.83
    CHECK(f.choose().stage == 2);
}

// Guards against counting a late rating of an old version for the new one.
TEST_CASE("a new version starts without ratings")
{
    fixture f;
    f.limits.explore_rate = 0;
    f.choose();
    f.rate(0, 0.95, 40);
    std::vector<cascade_stage> stages = three;
    stages[0].version_hash = 77;
    auto const choose = [&]
    { return choose_stage(f.s, stages, f.limits, 0, f.now, f.random).stage; };
    REQUIRE(choose() == 2);
    f.rate(0, 0.95, 40); // of the old version
    REQUIRE(choose() == 2);
}

// Guards against unlimited exploration during an outage of the rating service.
TEST_CASE("exploration stops while ratings don't arrive")
{
    fixture f;
    f.limits = {0.85, 1, 1e6};
    int explored = 0;
    for (int i = 0; i < 1000; ++i)
    {
        f.now += std::chrono::milliseconds(10);
        explored += f.choose().reason == cascade_reason::exploring ? 1 : 0;
    }
    REQUIRE(explored == 2 * max_pending); // two stages below the chosen one
}

// Guards against missing the cost or quality target or exceeding the rating
// budget, with late and missing ratings and an outage of the rating service.
TEST_CASE("half the cost at 95% of the quality within the budget of ratings")
{
    fixture f;
    simulate(f, 1);
    totals const t = simulate(f, 4);
    double const cost = t.cost / (three[2].price * t.requests);
    double const quality = t.quality / t.best_quality;
    CAPTURE(cost, quality, t.ratings);
    REQUIRE(cost <= 0.5);
    REQUIRE(quality >= 0.95);
    REQUIRE(t.ratings <= f.limits.ratings_per_hour * (4 + max_budget_hours));
}

// Guards against stages that the contract does not permit or that have no
// active version, and against each entry spending the full rating budget.
TEST_CASE("stages follow the contract and the configuration")
{
    config_snapshot config;
    config.versions["a@1"] = {"a", "1", version_state::active, 0, 9, 9, 0.9};
    config.versions["b@1"] = {"b", "1", version_state::active, 0, 1, 1, 0.6};
    config.versions["b@2"] = {"b", "2", version_state::rolling, 0, 1, 1, 0.6};
    config.versions["c@1"] = {"c", "1", version_state::withdrawn, 0, 1, 1, 0.6};
    contract c;
    c.models = {{"a", {}}, {"b", {}}, {"c", {}}};
    c.ratings_per_hour = 60;
    std::vector<cascade_stage> stages = stages_of(config, c);
    REQUIRE(stages.size() == 2);
    REQUIRE(stages[0].model == "b");
    c.cascade = {"a"};
    REQUIRE(stages_of(config, c).size() == 1);
    REQUIRE(limits_of(c, 4).ratings_per_hour == 15);
}
