#include "fair_queue/fair_queue.hpp"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <rapidcheck.h>

using namespace marjorambeam;

namespace
{

// RapidCheck draws a seed at random unless this is set before its first use.
[[maybe_unused]] bool const has_fixed_seed =
    setenv("RC_PARAMS", "seed=1 max_success=500", 0) == 0;

constexpr steady_time start{std::chrono::hours(1)};

queue_entry entry_of(
    std::uint64_t id, std::string customer, std::uint64_t cost = 1,
    std::uint32_t weight = 1)
{
    return {
        id, std::move(customer), weight, cost,
        start + std::chrono::seconds(60)};
}

} // namespace

// Guards against a small customer that waits behind a large one's backlog.
TEST_CASE("a customer that was idle is served next")
{
    fair_queue q(1000);
    queue_limits const limits{.max_per_customer = 500};
    for (std::uint64_t i = 0; i < 400; ++i)
        REQUIRE(q.push(entry_of(i, "large", 100), limits, start));
    for (int i = 0; i < 10; ++i)
        q.pop();
    REQUIRE(q.push(entry_of(1000, "small", 100), limits, start));
    CHECK(q.pop()->id == 1000);
}

// Guards against shares that don't follow the weights.
TEST_CASE("customers with work waiting are served by weight and cost")
{
    fair_queue q(10000);
    queue_limits const limits{.max_per_customer = 3000};
    for (std::uint64_t i = 0; i < 3000; ++i)
    {
        REQUIRE(q.push(entry_of(i * 3, "a", 10, 1), limits, start));
        REQUIRE(q.push(entry_of(i * 3 + 1, "b", 10, 3), limits, start));
        REQUIRE(q.push(entry_of(i * 3 + 2, "c", 30, 3), limits, start));
    }
    std::map<std::string, double> served;
    for (int i = 0; i < 2500; ++i)
    {
        queue_entry const e = *q.pop();
        served[e.customer] += static_cast<double>(e.cost);
    }
    CHECK(served["b"] / served["a"] == Approx(3).epsilon(0.02));
    CHECK(served["c"] / served["a"] == Approx(3).epsilon(0.02));
}

// Guards against accepting requests beyond the limits of the queue, and against
// queueing a request that can't meet its deadline.
TEST_CASE("requests beyond a limit or their deadline are refused immediately")
{
    fair_queue q(3);
    queue_limits const limits{.max_per_customer = 2, .tokens_per_second = 100};
    REQUIRE(q.push(entry_of(1, "a", 1000), limits, start));
    REQUIRE(q.push(entry_of(2, "a", 1000), limits, start));
    CHECK(
        q.push(entry_of(3, "a"), limits, start).error().kind ==
        error_kind::queue_full);
    // Fair queueing serves b's 100 tokens beside 100 of a's: about a second.
    CHECK(q.estimated_wait("b", 1, 100, 100) == std::chrono::seconds(1));
    queue_entry hurried = entry_of(4, "b", 100);
    hurried.deadline = start + std::chrono::milliseconds(500);
    result<void> const late = q.push(hurried, limits, start);
    CHECK(late.error().kind == error_kind::deadline_unreachable);
    CHECK(late.error().retry_after == std::chrono::seconds(1));
    REQUIRE(q.push(entry_of(5, "b", 100), limits, start));
    CHECK(
        q.push(entry_of(6, "c"), limits, start).error().kind ==
        error_kind::queue_full);
}

// Guards against an overload that fills the queue with hours of work, and
// against refusing a small customer because of a large one's backlog.
TEST_CASE("the estimated wait of a customer is bounded")
{
    fair_queue q(1000);
    queue_limits const limits{
        .max_per_customer = 500, .tokens_per_second = 100};
    std::uint64_t id = 0;
    while (q.push(entry_of(++id, "large", 100), limits, start))
        REQUIRE(id < 100);
    CHECK(q.cost() == 1100); // 10 s wait before the last one
    error const e = q.push(entry_of(++id, "large"), limits, start).error();
    CHECK(e.kind == error_kind::queue_full);
    CHECK(e.retry_after > max_queue_wait);
    CHECK(q.push(entry_of(++id, "small", 100), limits, start));
}

// Guards against entries that are lost, served twice or served out of a
// customer's own order, and against wrong totals, in any sequence of
// operations.
TEST_CASE("every entry is removed once, in its customer's order")
{
    CHECK(rc::check(
        "push, pop, cancel and expiry",
        []
        {
            fair_queue q(64);
            std::map<std::uint64_t, queue_entry> waiting;
            std::uint64_t next = 0;
            steady_time now = start;
            int const steps = *rc::gen::inRange(1, 200);
            for (int i = 0; i < steps; ++i)
            {
                int const what = *rc::gen::inRange(0, 6);
                if (what <= 2)
                {
                    queue_entry e = entry_of(
                        ++next, std::string(1, *rc::gen::inRange('a', 'e')),
                        *rc::gen::inRange<std::uint64_t>(1, 50),
                        *rc::gen::inRange<std::uint32_t>(1, 5));
                    e.deadline = now + duration(*rc::gen::inRange<int>(1, 40));
                    if (q.push(e, {.max_per_customer = 16}, now))
                        waiting[e.id] = e;
                }
                else if (what == 3 && q.front() != nullptr)
                {
                    std::uint64_t const id = q.front()->id;
                    queue_entry const e = *q.pop();
                    RC_ASSERT(e.id == id);
                    RC_ASSERT(waiting.erase(id) == 1U);
                    for (auto const& [other, w] : waiting)
                        RC_ASSERT(w.customer != e.customer || other > id);
                }
                else if (what == 4)
                {
                    std::uint64_t const id =
                        *rc::gen::inRange<std::uint64_t>(1, next + 2);
                    RC_ASSERT(q.cancel(id) == (waiting.erase(id) == 1));
                }
                else if (what == 5)
                {
                    now += duration(*rc::gen::inRange(1, 10));
                    for (queue_entry const& e : q.drop_expired(now))
                        RC_ASSERT(
                            e.deadline <= now && waiting.erase(e.id) == 1U);
                }
                std::uint64_t cost = 0;
                for (auto const& [id, e] : waiting)
                    cost += e.cost;
                RC_ASSERT(q.size() == waiting.size());
                RC_ASSERT(q.cost() == cost);
            }
        }));
}
