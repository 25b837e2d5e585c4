#include "gateway/model_choice.hpp"

#include <array>
#include <catch2/catch.hpp>
#include <utility>
#include <vector>

using namespace marjorambeam;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr steady_time start{seconds(1000)};
constexpr larger_model_delay soon{
    .expected = milliseconds(300), .left = milliseconds(2000)};

completion_prediction around(duration likely)
{
    return {true, likely, likely / 2, likely * 2};
}

// An unsure response of the smallest of three models.
model_choice
choose(std::span<model_candidate const> candidates, int confidence = 20)
{
    return choose_model(
        {.escalation = {.models = 3, .confidence = confidence},
         .candidates = candidates,
         .until_deadline = seconds(15),
         .target = seconds(3)});
}

} // namespace

// Guards against a change for deployments without load or samples.
TEST_CASE("Without load and predictions the choice is that of the escalation")
{
    int chosen = 0;
    // Each point of a grid, by its number.
    for (int i = 0; i < 5 * 5 * 34 * 32 * 5 * 4; ++i)
    {
        int rest = i;
        auto next = [&](int n) { return std::exchange(rest, rest / n) % n; };
        escalation_query e{.has_attempts = i % 7 != 0};
        e.models = static_cast<std::size_t>(next(5));
        e.current = static_cast<std::size_t>(next(5));
        if (int const confidence = 3 * next(34) - 1; confidence >= 0)
            e.confidence = confidence;
        larger_model_delay const t{
            .expected = milliseconds(190 * next(32)),
            .queued = milliseconds(200 * next(5)),
            .left = milliseconds(700 * next(4) - 100)};
        std::vector<model_candidate> candidates;
        for (std::size_t m = e.models; m > 0; --m)
            candidates.push_back({.model = m - 1, .delay = t});
        auto wanted = escalation_target(e);
        if (wanted && !is_worth_escalating(e, t))
            wanted.reset();
        model_choice const c = choose_model(
            {.escalation = e,
             .candidates = candidates,
             .until_deadline = seconds(15)});
        bool const is_chosen = c.reason == model_choice_reason::chosen;
        if (c.model != wanted || is_chosen != wanted.has_value())
            FAIL("differs at point " << i);
        chosen += is_chosen ? 1 : 0;
    }
    CHECK(chosen > 1000);
}

// Guards against what ended 172 of 172 streams at the deadline: 40 engines with
// 43 requests each, 470 ms per event at the largest model.
TEST_CASE(
    "Long answers at a full batch are not asked of a model that cannot end "
    "them in time")
{
    completion_estimates all;
    for (int engine = 0; engine < 40; ++engine)
    {
        for (int event = 0; event < 5; ++event)
        {
            record_event_time(all, "pool", 2, 43, milliseconds(470), start);
            record_event_time(all, "pool", 1, 43, milliseconds(110), start);
        }
        record_length(all, "chat", 900, 106);
    }
    auto ask = [&](double hint)
    {
        std::array<model_candidate, 2> both;
        for (std::size_t i : {0, 1})
        {
            completion_query const q{
                .service = "pool",
                .route = "chat",
                .model = 2 - i,
                .models = 3,
                .hinted_tokens = hint,
                .requests = 43,
                .now = start};
            both.at(i) = {2 - i, soon, predict_completion(all, q)};
        }
        return choose(both);
    };
    CHECK(ask(900).model == std::size_t{1});
    CHECK(ask(100).model == std::size_t{2});
    model_choice const longest = ask(3000);
    CHECK_FALSE(longest.model);
    CHECK(name_of(longest.reason) == "cannot_end");
}

// Guards against reports of 12,000 tokens that the largest model reads for
// 750 ms while many streams run beside them (a surge over slow engines), and
// against no larger model at all where few do: stopping all escalations cost
// 0.058 of the score.
TEST_CASE("A larger model is not asked where it holds up many others")
{
    auto ask = [](duration own_time, double requests, int confidence = 20)
    {
        model_candidate const c{
            .model = 2,
            .delay = soon,
            .completion = around(seconds(3)),
            .own_time = own_time,
            .requests = requests};
        return choose(std::span(&c, 1), confidence);
    };
    constexpr duration report = milliseconds(750);
    constexpr duration question = milliseconds(52);
    CHECK(ask(report, 4).model);
    CHECK_FALSE(ask(report, 20).model);
    CHECK(ask(report, 20).reason == model_choice_reason::queue);
    CHECK(ask(question, 60).model);
    // Between the bounds, the least confident responses are replaced.
    CHECK(ask(report, 12, 20).model);
    CHECK_FALSE(ask(report, 12, 50).model);
    // Unknown or wrong inputs hold up nobody.
    CHECK(ask(duration{-1}, 20).model);
    CHECK(ask(report, -3).model);
}

// Guards against no larger model at all where the largest holds up others: a
// report that the largest model reads for 750 ms and the middle one for 237 ms,
// beside 20 streams; and against any where the largest would begin late.
TEST_CASE("The middle model is asked where the largest holds up others")
{
    auto ask = [](larger_model_delay const& largest, double requests)
    {
        std::array const both{
            model_candidate{
                .model = 2,
                .delay = largest,
                .completion = around(seconds(3)),
                .own_time = milliseconds(750),
                .requests = requests},
            model_candidate{
                .model = 1,
                .delay = soon,
                .completion = around(seconds(1)),
                .own_time = milliseconds(237),
                .requests = requests}};
        return choose(both);
    };
    CHECK(ask(soon, 4).model == std::size_t{2});
    CHECK(ask(soon, 20).model == std::size_t{1});
    CHECK(ask(soon, 80).reason == model_choice_reason::queue);
    constexpr larger_model_delay late{
        .expected = seconds(5), .left = seconds(2)};
    CHECK(ask(late, 4).reason == model_choice_reason::late_to_target);
    CHECK_FALSE(ask(late, 4).model);
}

// Guards against answers that are begun and cut off at the deadline.
TEST_CASE("A larger model is not asked if its answer ends after the deadline")
{
    auto ask = [](completion_prediction const& p)
    {
        model_candidate const c{2, soon, p};
        return choose(std::span(&c, 1)).model.has_value();
    };
    CHECK(ask(around(seconds(13))));
    CHECK_FALSE(ask(around(seconds(14)))); // with the margin
    CHECK(ask({}));
    completion_prediction unknown = around(seconds(40));
    unknown.is_known = false;
    CHECK(ask(unknown));
}
