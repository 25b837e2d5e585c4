#include "gateway/model_escalation.hpp"

#include <catch2/catch.hpp>

using namespace marjorambeam;
using std::chrono::milliseconds;

namespace
{

escalation_query unsure(int confidence)
{
    return {.models = 2, .current = 0, .confidence = confidence};
}

} // namespace

// Guards against escalating confident responses, and against keeping uncertain
// ones while there is time.
TEST_CASE("An uncertain response escalates while there is time")
{
    larger_model_delay const idle{
        .expected = milliseconds(600), .left = milliseconds(1900)};
    CHECK(escalation_target(unsure(30)) == std::size_t{1});
    CHECK_FALSE(escalation_target(unsure(min_confidence)));
    CHECK(is_worth_escalating(unsure(30), idle));
    CHECK_FALSE(is_worth_escalating(
        unsure(30),
        {.expected = milliseconds(6000), .left = milliseconds(1900)}));
}

// Guards against larger models that keep the engines overloaded for ten seconds
// after a burst, as when all gateways were killed and all callers reconnected
// at once (somfast-beam-grown, trouble-3).
TEST_CASE("Engines with a queue serve first responses only")
{
    auto asks = [](int confidence, int queued_ms)
    {
        return is_worth_escalating(
            unsure(confidence), {.expected = milliseconds(queued_ms + 600),
                                 .queued = milliseconds(queued_ms),
                                 .left = milliseconds(1900)});
    };
    CHECK(asks(50, 100));
    CHECK_FALSE(asks(50, 500));
    CHECK(asks(10, 500));
    CHECK_FALSE(asks(10, 800));
}
