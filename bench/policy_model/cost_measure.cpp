// Cost at the quality target at Nakhla's sizes: three entries, ten customers,
// three of them large with overnight batches, and three models.
#include "bench/policy_model/measure.hpp"

#include "cascade/cascade.hpp"

#include <array>
#include <queue>
#include <string>

namespace marjorambeam
{
namespace
{

using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::size_t entry_count = 3;
constexpr std::size_t large_customers = 3;
constexpr std::size_t customer_count = 10;
constexpr std::size_t kind_count = 4;
constexpr int days = 5;
constexpr int batch_hours = 8; // each night
constexpr int seconds_per_day = 24 * 3600;
// 510 of 2,650 instances are replaced a day, so each entry once in five days.
// Its successor knows no ratings.
constexpr int replaced_after = seconds_per_day + 2 * 3600; // and so on
constexpr double large_per_second = 0.5;  // each, during its batch
constexpr double small_per_second = 0.02; // each, all day
constexpr std::int64_t large_ratings_per_hour = 240;
// Of 1,800 requests an hour at three entries; uses less than the half of the
// ratings that is kept for exploration.
constexpr double large_explore_rate = 0.05;
constexpr double rating_noise = 0.1;
constexpr double missing_ratings = 0.05;
constexpr duration rating_delay = seconds(60);
constexpr duration down_from = minutes(40);
constexpr duration down_for = minutes(10);
constexpr double quality_target = 0.95; // of always-best
constexpr double cost_target = 0.5;     // of always-best

std::vector<cascade_stage> const stages{
    {"small", 1, 1, 0.6}, {"medium", 2, 4, 0.8}, {"large", 3, 12, 0.95}};

// Quality by kind and model, and the share of each kind. Cheap models suffice
// for many requests: the small one for tags and captions.
constexpr std::array<std::array<double, 3>, kind_count> quality{
    {{0.93, 0.94, 0.95},
     {0.92, 0.94, 0.95},
     {0.60, 0.93, 0.95},
     {0.40, 0.70, 0.95}}};
constexpr std::array<double, kind_count> kind_share{0.4, 0.3, 0.2, 0.1};

enum class chooser : std::uint8_t
{
    cascade,
    always_best,
    always_cheapest,
    exact // the cheapest model that suffices, by its true quality
};

struct outcome
{
    double cost = 0;
    double requests = 0;
    double ratings = 0;
    std::array<double, customer_count> quality{};
    std::array<double, customer_count> count{};

    double mean_quality() const
    {
        double sum = 0;
        for (double it : quality)
            sum += it;
        return sum / requests;
    }
    double least_quality() const
    {
        double least = 1;
        for (std::size_t i = 0; i < customer_count; ++i)
            least = std::min(least, quality.at(i) / count.at(i));
        return least;
    }
};

struct late_rating
{
    steady_time at;
    std::size_t cell = 0; // customer and entry
    request_kind kind = 0;
    std::size_t stage = 0;
    double rating = 0;
};

contract contract_of(std::size_t customer)
{
    contract c;
    c.quality_floor = quality_target * stages.back().declared_quality;
    if (customer < large_customers)
    {
        c.ratings_per_hour = large_ratings_per_hour;
        c.explore_rate = large_explore_rate;
    }
    return c;
}

class week
{
public:
    week(chooser by, std::uint64_t seed)
        : by_(by)
        , traffic_(seed)
        , ratings_(seed + 1)
        , decisions_(seed + 2)
    {
        for (std::size_t i = 0; i < customer_count; ++i)
            limits_.push_back(limits_of(contract_of(i), entry_count));
        states_.resize(customer_count * entry_count);
    }

    outcome run()
    {
        std::uniform_real_distribution<double> uniform(0, 1);
        for (int s = 0; s < days * seconds_per_day; ++s)
        {
            now_ += seconds(1);
            if (s > 0 && s % replaced_after == 0)
                replace(s / replaced_after - 1);
            deliver();
            for (std::size_t i = 0; i < customer_count; ++i)
            {
                bool const is_large = i < large_customers;
                if (is_large && s % seconds_per_day >= batch_hours * 3600)
                    continue;
                if (uniform(traffic_) <
                    (is_large ? large_per_second : small_per_second))
                    serve(i, uniform(traffic_), traffic_() % entry_count);
            }
        }
        return out_;
    }

private:
    void replace(std::size_t entry)
    {
        for (std::size_t i = 0; i < customer_count && entry < entry_count; ++i)
            states_[i * entry_count + entry] = {};
    }

    void deliver()
    {
        while (!late_.empty() && late_.front().at <= now_)
        {
            late_rating const& r = late_.front();
            record_rating(
                states_[r.cell], r.kind, r.stage, stages[r.stage].version_hash,
                r.rating);
            late_.pop();
        }
    }

    std::size_t choose(std::size_t customer, std::size_t cell, request_kind k)
    {
        switch (by_)
        {
        case chooser::always_best:
            return stages.size() - 1;
        case chooser::always_cheapest:
            return 0;
        case chooser::exact:
        {
            std::size_t i = 0;
            while (quality.at(k).at(i) < limits_[customer].quality_floor)
                ++i;
            return i;
        }
        case chooser::cascade:
            break;
        }
        cascade_choice const c = choose_stage(
            states_[cell], stages, limits_[customer], k, now_, decisions_);
        if (c.should_rate)
            rate(cell, k, c.stage);
        return c.stage;
    }

    // From a beta distribution: ratings lie between 0 and 1, and cutting normal
    // noise off there would lower the mean of the good ones.
    double draw_rating(double mean)
    {
        double const size =
            mean * (1 - mean) / (rating_noise * rating_noise) - 1;
        std::gamma_distribution<double> good(mean * size);
        std::gamma_distribution<double> bad((1 - mean) * size);
        double const x = good(ratings_);
        return x / (x + bad(ratings_));
    }

    void rate(std::size_t cell, request_kind k, std::size_t stage)
    {
        std::uniform_real_distribution<double> uniform(0, 1);
        ++out_.ratings;
        duration const t = now_ - start_;
        bool const is_down = t >= down_from && t < down_from + down_for;
        if (is_down || uniform(ratings_) < missing_ratings)
            return;
        late_.push(
            {now_ + rating_delay, cell, k, stage,
             draw_rating(quality.at(k).at(stage))});
    }

    void serve(std::size_t customer, double draw, std::size_t entry)
    {
        request_kind k = 0;
        while (k + 1 < kind_count && draw >= kind_share.at(k))
            draw -= kind_share.at(k++);
        std::size_t const stage =
            choose(customer, customer * entry_count + entry, k);
        out_.cost += stages[stage].price;
        ++out_.requests;
        ++out_.count.at(customer);
        out_.quality.at(customer) += quality.at(k).at(stage);
    }

    chooser by_;
    std::mt19937_64 traffic_; // the same for each chooser
    std::mt19937_64 ratings_;
    std::mt19937_64 decisions_;
    steady_time start_{seconds(10000)};
    steady_time now_ = start_;
    std::vector<cascade_limits> limits_;
    std::vector<cascade_state> states_; // by customer and entry
    std::queue<late_rating> late_;
    outcome out_;
};

} // namespace

measure measure_cost(seed_list const& seeds)
{
    measure m("cost");
    for (std::uint64_t seed : seeds)
    {
        outcome const best = week(chooser::always_best, seed).run();
        auto const add = [&](std::string const& name, outcome const& o)
        {
            m.row(
                "seed " + std::to_string(seed) + " " + name,
                {{"cost", o.cost / best.cost},
                 {"quality", o.mean_quality() / best.mean_quality()},
                 {"least", o.least_quality() / best.least_quality()},
                 {"ratings", o.ratings},
                 {"requests", o.requests}});
        };
        outcome const learnt = week(chooser::cascade, seed).run();
        add("cascade", learnt);
        add("always-best", best);
        add("always-cheapest", week(chooser::always_cheapest, seed).run());
        add("exact knowledge", week(chooser::exact, seed).run());
        m.at_most(
            seed, "cost to always-best", learnt.cost / best.cost, cost_target);
        m.at_least(
            seed, "quality to always-best",
            learnt.mean_quality() / best.mean_quality(), quality_target);
        m.at_least(
            seed, "least quality of a customer to always-best",
            learnt.least_quality() / best.least_quality(), quality_target);
    }
    return m;
}

} // namespace marjorambeam
