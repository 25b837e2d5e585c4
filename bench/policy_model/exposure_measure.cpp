// Exposure to a bad version: rollouts whose evidence reaches the rollout
// evaluator late, from several entries, and without an operator.
#include "bench/policy_model/measure.hpp"

#include "rollout/rollout.hpp"

#include <array>
#include <deque>
#include <random>

namespace marjorambeam
{
namespace
{

using std::chrono::seconds;

constexpr std::size_t entry_count = 4;
constexpr int seconds_per_hour = 3600;
constexpr double requests_per_second = 50;
constexpr double good_quality = 0.8;
constexpr double rating_noise = 0.2;
constexpr double base_failures = 0.001;
// Ratings of a version in a rollout, once it has reached all, and of the
// active version, as parts of the requests.
constexpr double rated_rolling = 0.5;
constexpr double rated_at_all = 0.1;
constexpr double rated_active = 0.01;
constexpr int rating_delay = 2;   // seconds until a rating is known
constexpr int evidence_delay = 1; // seconds until the evaluator has a report
constexpr double exposure_target = 0.01;
constexpr double halted_target = 0.05;
constexpr int bad_runs = 10; // of each kind and seed
constexpr int good_runs = 40;

struct scenario
{
    double loss = 0;
    double failures = 0;
    int good_seconds_at_all = 0; // bad only after so long at all requests
    bool has_control = true;     // or else all requests go to the version
    int hours = 1;
    double rate = requests_per_second;
};

struct outcome
{
    bool is_halted = false;
    bool has_reached_all = false;
    double exposure = 0; // part of an hour's requests
};

// An entry with what it counts of both versions; ratings arrive late.
struct entry_counts
{
    version_counts active;
    version_counts candidate;
};

class rollout_run
{
public:
    rollout_run(scenario const& sc, std::uint64_t seed)
        : sc_(sc)
        , random_(seed)
    {
        // The active version has served and been rated before.
        for (int i = 0; i < 500; ++i)
            add_rating(entries_[0].active, good_quality + noise_(random_));
    }

    outcome run()
    {
        double share = sc_.has_control ? 0 : 1;
        for (int i = 0; i < sc_.hours * seconds_per_hour; ++i)
        {
            now_ += seconds(1);
            seconds_at_all_ += share >= 1 ? 1 : 0;
            serve_second(share);
            if (!sc_.has_control)
                continue;
            report();
            rollout_decision const d = evaluate(
                state_, total_counts(pool_, "m@v1"),
                total_counts(pool_, "m@v2"), now_);
            share = d.share;
            out_.has_reached_all |= share >= 1;
            out_.is_halted = d.action == rollout_action::halt;
            if (out_.is_halted)
                break;
        }
        out_.exposure = bad_ / (sc_.rate * seconds_per_hour);
        return out_;
    }

private:
    void serve_second(double share)
    {
        std::uniform_real_distribution<double> uniform(0, 1);
        // The active version's turn to bad does not come before its time.
        bool const is_bad = seconds_at_all_ >= sc_.good_seconds_at_all &&
                            (sc_.loss > 0 || sc_.failures > 0);
        for (int k = 0; k < static_cast<int>(sc_.rate); ++k)
        {
            entry_counts& e = entries_.at(random_() % entry_count);
            bool const is_new = uniform(random_) < share;
            bool const is_worse = is_new && is_bad;
            bad_ += is_worse ? 1 : 0;
            double const p = base_failures + (is_worse ? sc_.failures : 0);
            add_request(is_new ? e.candidate : e.active, uniform(random_) < p);
            double const wanted = share < 1 ? rated_rolling : rated_at_all;
            if (uniform(random_) >= (is_new ? wanted : rated_active))
                continue;
            double const q = good_quality - (is_worse ? sc_.loss : 0);
            late_.push_back(
                {now_ + seconds(rating_delay),
                 is_new ? &e.candidate : &e.active, q + noise_(random_)});
        }
        while (!late_.empty() && late_.front().at <= now_)
        {
            add_rating(*late_.front().counts, late_.front().rating);
            late_.pop_front();
        }
    }

    void report()
    {
        for (std::size_t i = 0; i < entry_count; ++i)
        {
            sent_.push_back({"m@v1", i + 1, entries_.at(i).active});
            sent_.push_back({"m@v2", i + 1, entries_.at(i).candidate});
        }
        while (sent_.size() > 2 * entry_count * evidence_delay)
        {
            record_evidence(pool_, sent_.front());
            sent_.pop_front();
        }
    }

    struct late_rating
    {
        steady_time at;
        version_counts* counts = nullptr;
        double rating = 0;
    };

    scenario sc_;
    std::mt19937_64 random_;
    std::normal_distribution<double> noise_{0, rating_noise};
    std::array<entry_counts, entry_count> entries_;
    evidence_pool pool_;
    rollout_state state_;
    std::deque<late_rating> late_;
    std::deque<rollout_evidence> sent_;
    steady_time now_{seconds(1000)};
    int seconds_at_all_ = 0;
    double bad_ = 0;
    outcome out_;
};

struct named_scenario
{
    std::string name;
    scenario sc;
};

} // namespace

measure measure_exposure(seed_list const& seeds)
{
    measure m("exposure");
    std::vector<named_scenario> const bad{
        {"loses 20 points", {.loss = 0.2}},
        {"crashes 2%", {.failures = 0.02}},
        {"loses 20 points late",
         {.loss = 0.2, .good_seconds_at_all = 600, .hours = 2}},
        {"crashes 2% late",
         {.failures = 0.02, .good_seconds_at_all = 600, .hours = 2}}};
    for (std::uint64_t seed : seeds)
    {
        std::string const label = "seed " + std::to_string(seed) + " ";
        for (named_scenario const& it : bad)
        {
            double worst = 0;
            double halted = 0;
            for (std::uint64_t i = 0; i < bad_runs; ++i)
            {
                outcome const o = rollout_run(it.sc, seed * 1000 + i).run();
                worst = std::max(worst, o.exposure);
                halted += o.is_halted ? 1 : 0;
            }
            scenario none = it.sc;
            none.has_control = false;
            none.good_seconds_at_all = 0;
            none.hours = 1;
            m.row(
                label + it.name,
                {{"exposure", worst},
                 {"halted", halted / bad_runs},
                 {"no control", rollout_run(none, seed).run().exposure}});
            m.at_most(seed, it.name + " exposure", worst, exposure_target);
            m.at_least(seed, it.name + " halted", halted / bad_runs, 1);
        }
        double halted = 0;
        double reached = 0;
        for (std::uint64_t i = 0; i < good_runs; ++i)
        {
            outcome const o =
                rollout_run({.hours = 2, .rate = 20}, seed * 1000 + i).run();
            halted += o.is_halted ? 1 : 0;
            reached += o.has_reached_all ? 1 : 0;
        }
        m.row(
            label + "good version", {{"halted", halted / good_runs},
                                     {"reached all", reached / good_runs}});
        m.at_most(
            seed, "good rollouts halted", halted / good_runs, halted_target);
    }
    return m;
}

} // namespace marjorambeam
