#include "bench/policy_model/agent_model.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace marjorambeam
{
namespace
{

constexpr double least_work = 1e-9;
// Processing a prompt takes as long as generating this many tokens.
constexpr double prompt_work = 5;
constexpr double cold_speed = 0.25;
constexpr double crash_seconds = 10;
constexpr double poll_seconds = 0.25; // of the upstream's report
constexpr double average_weight = 0.1;
// Requests that wait at a cold upstream per unit of its limit, as src/agent.
constexpr std::size_t cold_queue_factor = 4;

void add_to_average(double& average, double sample)
{
    average =
        average == 0 ? sample : average + average_weight * (sample - average);
}

} // namespace

steady_time to_steady(double seconds)
{
    return steady_time(from_seconds(seconds + 1000));
}

agent_model::agent_model(agent_settings const& settings)
    : settings_(settings)
{
    warm_up_.limit = settings.batch_limit;
    warm_up_.reports_cold = false;
    warm_up_.upstream = engine_;
    set_bounds(
        warm_up_, {.cold = settings.cold_concurrency,
                   .warm = settings.batch_limit,
                   .has_reports = true});
    tokens_per_slot_second_ =
        capacity(settings) / static_cast<double>(settings.batch_limit);
    first_token_seconds_ = prompt_work / settings.speed;
}

double agent_model::capacity(agent_settings const& s)
{
    return s.speed * s.batch_limit / (1 + s.batch_cost);
}

double agent_model::rate() const
{
    double const full = static_cast<double>(running_.size() - 1) /
                        static_cast<double>(settings_.batch_limit - 1);
    double const speed = settings_.speed / (1 + settings_.batch_cost * full);
    return is_engine_cold() ? speed * cold_speed : speed;
}

std::uint32_t agent_model::limit() const
{
    return settings_.has_warm_up ? current_limit(warm_up_)
                                 : settings_.batch_limit;
}

bool agent_model::is_engine_cold() const
{
    return now_ < cold_until_;
}

std::optional<error> agent_model::offer(model_job job, double now)
{
    if (now < down_until_)
        return make_error(error_kind::no_upstream, "the upstream is down");
    bool const is_overloaded =
        settings_.has_warm_up && is_cold(warm_up_) &&
        running_.size() + waiting_.size() >= limit() * (1 + cold_queue_factor);
    if (is_overloaded)
        return make_error(error_kind::upstream_cold, "the upstream is cold");
    if (!settings_.has_fair_queue)
    {
        fifo_.push_back(job.id);
        waiting_.push_back(std::move(job));
        return std::nullopt;
    }
    auto const cost =
        static_cast<std::uint64_t>(std::max(1.0, std::round(job.estimate)));
    result<void> const queued = queue_.push(
        {.id = job.id,
         .customer = job.customer,
         .weight = job.weight,
         .cost = cost,
         .deadline = to_steady(job.deadline)},
        {.tokens_per_second = tokens_per_slot_second_ * limit()},
        to_steady(now));
    if (!queued)
        return queued.error();
    waiting_.push_back(std::move(job));
    return std::nullopt;
}

void agent_model::cancel(std::uint64_t id, double now)
{
    process(now);
    auto const is_it = [id](model_job const& j) { return j.id == id; };
    queue_.cancel(id);
    std::erase(fifo_, id);
    std::erase_if(waiting_, is_it);
    std::erase_if(running_, is_it);
}

void agent_model::process(double now)
{
    if (!running_.empty())
    {
        double const done = rate() * (now - now_);
        for (model_job& it : running_)
            it.work -= done;
    }
    now_ = now;
}

double agent_model::next_event() const
{
    if (!is_on_)
        return std::numeric_limits<double>::infinity();
    double next = next_poll_;
    if (now_ < cold_until_)
        next = std::min(next, cold_until_);
    for (model_job const& it : running_)
        next = std::min(next, now_ + std::max(0.0, it.work) / rate());
    return next;
}

std::vector<job_end> agent_model::advance(double now)
{
    std::vector<job_end> ended;
    if (!is_on_)
        return ended;
    process(now);
    if (now >= next_poll_)
        poll_engine(now);
    for (std::size_t i = running_.size(); i-- > 0;)
    {
        if (running_[i].work > least_work)
            continue;
        model_job const j = running_[i];
        running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(i));
        double const seconds = std::max(now - j.started, 1e-6);
        double const first = seconds * std::min(1.0, prompt_work / j.estimate);
        add_to_average(tokens_per_slot_second_, j.estimate / seconds);
        add_to_average(first_token_seconds_, first);
        record_success(warm_up_, from_seconds(first));
        ended.push_back({j, end_kind::done});
    }
    start_waiting(now, ended);
    return ended;
}

void agent_model::start_waiting(double now, std::vector<job_end>& ended)
{
    for (queue_entry const& it : queue_.drop_expired(to_steady(now)))
    {
        auto const found = std::find_if(
            waiting_.begin(), waiting_.end(),
            [&](model_job const& j) { return j.id == it.id; });
        ended.push_back({*found, end_kind::expired});
        waiting_.erase(found);
    }
    if (now < down_until_)
        return;
    while (running_.size() < limit() && start_next(now))
    {
    }
    if (!is_engine_cold() || running_.size() <= settings_.cold_concurrency)
        return;
    ++cold_overloads;
    crash(now, ended);
}

bool agent_model::start_next(double now)
{
    std::uint64_t id = 0;
    if (std::optional<queue_entry> const next = queue_.pop())
    {
        id = next->id;
    }
    else if (!fifo_.empty())
    {
        id = fifo_.front();
        fifo_.pop_front();
    }
    if (id == 0)
        return false;
    auto const it = std::find_if(
        waiting_.begin(), waiting_.end(),
        [id](model_job const& j) { return j.id == id; });
    it->started = now;
    it->was_run = true;
    started_.push_back(id);
    running_.push_back(*it);
    waiting_.erase(it);
    return true;
}

void agent_model::crash(double now, std::vector<job_end>& ended)
{
    for (model_job const& it : running_)
        ended.push_back({it, end_kind::crashed});
    for (model_job const& it : waiting_)
    {
        queue_.cancel(it.id);
        ended.push_back({it, end_kind::refused});
    }
    running_.clear();
    waiting_.clear();
    fifo_.clear();
    down_until_ = now + crash_seconds;
    cold_until_ = down_until_ + settings_.cold_seconds;
    ++engine_;
    reset_to_cold(warm_up_);
}

void agent_model::poll_engine(double now)
{
    next_poll_ = now + poll_seconds;
    if (now >= down_until_)
        record_report(
            warm_up_, {.sender = engine_, .is_cold = is_engine_cold()});
}

void agent_model::power_off(double now)
{
    now_ = now;
    is_on_ = false;
    for (model_job const& it : waiting_)
        queue_.cancel(it.id);
    running_.clear();
    waiting_.clear();
    fifo_.clear();
}

void agent_model::power_on(double now)
{
    is_on_ = true;
    now_ = now;
    cold_until_ = now + settings_.cold_seconds;
    next_poll_ = now + poll_seconds;
    ++engine_;
    warm_up_bounds const bounds = warm_up_.bounds;
    warm_up_ = {};
    set_bounds(warm_up_, bounds);
    tokens_per_slot_second_ = 0;
    first_token_seconds_ = 0;
}

upstream_load agent_model::load() const
{
    return {
        .running = static_cast<std::uint32_t>(running_.size()),
        .queued = static_cast<std::uint32_t>(waiting_.size()),
        .limit = limit(),
        .warm_limit = settings_.batch_limit,
        .queued_tokens = queue_.cost(),
        .tokens_per_second = tokens_per_slot_second_,
        .first_token_seconds = first_token_seconds_,
        .is_cold = settings_.has_warm_up && is_cold(warm_up_)};
}

std::vector<std::uint64_t> agent_model::take_started()
{
    return std::exchange(started_, {});
}

} // namespace marjorambeam
