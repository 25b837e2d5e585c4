// One run of run_fleet(): events in virtual time over entries and agents.
//
// Example:
//   fleet_result r = internal::fleet_simulation(settings).run();
#pragma once

#include "bench/policy_model/fleet_model.hpp"

#include "retry/retry.hpp"
#include "routing/routing.hpp"

#include <array>
#include <deque>
#include <memory>
#include <queue>
#include <random>
#include <tuple>

namespace marjorambeam::internal
{

constexpr double one_way_near = 0.0002;
constexpr double one_way_far = 0.0005;
constexpr double heartbeat_seconds = 1;
// The entry knows the length of a response only roughly.
constexpr double estimate_error = 0.3;
constexpr double prompt_tokens = 5;
// A connection is silent after 3 s, or after 1 s without a word on new work.
constexpr double silent_seconds = 3;
constexpr double unaccepted_seconds = 1;
// The instance list and the callers' load balancer notice a lost instance.
constexpr double list_lag_seconds = 10;
constexpr double balancer_lag_seconds = 2;
constexpr double report_seconds = 0.2; // of unused allowances to the owner
constexpr unsigned plain_attempts = 3;

// Sømfast's sizes: full assessments, short questions, quick tags.
struct request_class
{
    double share;
    double tokens;
    double deadline; // seconds
};
constexpr std::array classes{
    request_class{0.2, 400, 120}, request_class{0.4, 60, 30},
    request_class{0.4, 5, 15}};

struct request
{
    fleet_answer answer;
    double work = 0;
    double estimate = 0;
    // Admission charges at least the true cost: no engine generates more than
    // the `max_tokens` by which the entry estimates.
    double charged = 0;
    double deadline = 0;
    std::size_t entry = 0;
    std::size_t worker = 0;
    bool is_at_worker = false;
    bool is_accepted = false; // the attempt
    bool is_done = false;
    bool was_admitted = false;
    std::uint32_t attempt = 0;  // changes with each attempt, also of callers
    std::uint32_t attempts = 0; // of this entry
    run_state earlier = run_state::not_run;
    std::vector<upstream_index> tried;
    int resends = 0;
};

struct customer_state
{
    entry_allowance allowance;
    owner_allowance owned;
    std::vector<std::uint64_t> waiters;
};

struct entry
{
    bool is_on = true;
    std::string zone;
    routing_table table;
    retry_budget budget;
    std::vector<customer_state> customers;
    std::size_t turn = 0;
};

class fleet_simulation
{
public:
    explicit fleet_simulation(fleet_settings const& settings)
        : settings_(settings)
        , decisions_(settings.seed + 1)
    {
        build();
    }

    fleet_result run()
    {
        for (std::size_t i = 0; i < settings_.customers.size(); ++i)
            plan_arrival(i);
        at(heartbeat_seconds, [this] { send_heartbeats(); });
        if (settings_.has_allowances)
            at(report_seconds, [this] { send_reports(); });
        if (settings_.fault)
            plan_fault(*settings_.fault);
        // After the end of arrivals, the requests in flight finish.
        while (!events_.empty())
        {
            event const e = events_.top();
            events_.pop();
            now_ = e.at;
            e.run();
        }
        for (request const& it : requests_)
            result_.answers.push_back(it.answer);
        result_.requests = requests_.size();
        for (agent_model const& it : agents_)
            result_.cold_overloads += it.cold_overloads;
        return std::move(result_);
    }

private:
    struct event
    {
        double at = 0;
        std::uint64_t order = 0;
        std::function<void()> run;

        bool operator<(event const& other) const
        {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };

    void at(double delay, std::function<void()> run)
    {
        events_.push({now_ + delay, ++order_, std::move(run)});
    }
    double uniform(std::mt19937_64& random)
    {
        return std::uniform_real_distribution<double>(0, 1)(random);
    }
    std::size_t zone_of(std::size_t worker) const
    {
        return worker / settings_.speeds.size();
    }
    double delay(std::size_t e, std::size_t w) const
    {
        return zone_of(w) == e ? one_way_near : one_way_far;
    }

    void build();

    // `is_zone_gone`: the instance list leaves out the failed zone.
    void rebuild(std::size_t e, bool is_zone_gone);

    // Callers.

    void plan_arrival(std::size_t c);
    void send_new(std::size_t c);

    // Whether a customer that keeps to its limits sends the request.
    bool conforms(std::size_t c, double tokens);
    void start(request r, std::uint64_t draw_entry);
    request& of(std::uint64_t id)
    {
        return requests_[id - 1];
    }

    void send_to_entry(std::uint64_t id, std::uint64_t draw);
    void
    finish(std::uint64_t id, answer_kind kind, error_kind why, run_state s);
    void expire(std::uint64_t id);

    // Entries.

    admission_view view() const
    {
        return {
            to_steady(now_), wall_time(to_steady(now_).time_since_epoch()),
            entries_.size()};
    }

    void consider(std::uint64_t id);
    void ask(std::size_t e, std::size_t c, allowance_request q);
    void send_reports();
    void admit_request(std::uint64_t id);
    upstream_index choose(request const& r);
    void attempt(std::uint64_t id);
    bool is_current(std::uint64_t id, std::uint32_t number);
    void leave_worker(request& r);
    void
    fail(std::uint64_t id, error_kind kind, run_state run, duration wait = {});
    void send_heartbeats();
    void report(std::size_t w, std::size_t e);

    // Agents.

    void arrive(std::uint64_t id, std::uint32_t number);

    // Lets the agent process until now and answers what has ended.
    void work(std::size_t w);
    void take_end(std::uint64_t id, std::uint32_t number, end_kind kind);
    void plan_agent(std::size_t w);

    // The fault.

    void plan_fault(zone_fault const& f);
    void rebuild_all(bool is_zone_gone);
    void leave(zone_fault const& f);

    // The caller lost its connection to an entry.
    void resend(std::uint64_t id);
    void come_back(zone_fault const& f);
    struct shaper
    {
        double requests = 0;
        double tokens = 0;
        double at = -100;
    };

    fleet_settings const& settings_;
    std::vector<std::mt19937_64> arrivals_; // of each customer
    std::mt19937_64 decisions_;
    double now_ = 0;
    std::uint64_t order_ = 0;
    std::shared_ptr<config_snapshot const> config_;
    std::vector<entry> entries_;
    std::vector<std::string> entry_names_;
    std::vector<std::string> worker_names_;
    std::vector<agent_model> agents_;
    std::vector<std::uint64_t> agent_plans_;
    std::deque<request> requests_; // by id - 1
    std::vector<shaper> shapers_;
    double balancer_until_ = 0;
    std::priority_queue<event> events_;
    fleet_result result_;
};

} // namespace marjorambeam::internal
