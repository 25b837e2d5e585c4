#include "answer/answer.hpp"
#include "base/hash.hpp"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <rapidcheck.h>

using namespace marjorambeam;

namespace
{

// RapidCheck draws a seed at random unless this is set before its first use.
[[maybe_unused]] bool const has_fixed_seed =
    setenv("RC_PARAMS", "seed=1", 0) == 0;

constexpr incarnation agent = 7;

answer_chunk
make_chunk(std::uint32_t attempt, std::uint64_t sequence, std::string bytes)
{
    answer_chunk c;
    c.request_id = "r-1";
    c.attempt = attempt;
    c.sender = agent;
    c.sequence = sequence;
    c.tokens = 1;
    c.bytes = std::move(bytes);
    return c;
}

answer_end
make_end(std::uint32_t attempt, std::uint64_t chunks, std::string_view whole)
{
    answer_end e;
    e.request_id = "r-1";
    e.attempt = attempt;
    e.sender = agent;
    e.sequence = chunks;
    e.length = whole.size();
    e.checksum = hash64(whole);
    return e;
}

answer_assembly begun(delivery mode)
{
    answer_assembly a("r-1", mode);
    a.begin_attempt(1, agent);
    return a;
}

} // namespace

// Guards against a checksum that depends on how the response was cut up.
TEST_CASE("the checksum over pieces equals the hash of the whole")
{
    CHECK(rc::check(
        [](std::vector<std::string> const& pieces)
        {
            answer_checksum sum;
            std::string whole;
            for (std::string const& it : pieces)
            {
                sum.append(it);
                whole += it;
            }
            RC_ASSERT(sum.value() == hash64(whole));
        }));
}

// Guards against delivering frames of another stream, attempt or process.
TEST_CASE("frames that are not of the current attempt are dropped and counted")
{
    answer_assembly a = begun(delivery::whole);
    answer_chunk other_request = make_chunk(1, 0, "x");
    other_request.request_id = "r-2";
    answer_chunk other_process = make_chunk(1, 0, "x");
    other_process.sender = 8;
    REQUIRE(a.accept(other_request) == frame_verdict::stale);
    REQUIRE(a.accept(other_process) == frame_verdict::stale);
    REQUIRE(a.accept(make_chunk(2, 0, "x")) == frame_verdict::stale);
    REQUIRE(a.accept(make_end(2, 0, "")) == frame_verdict::stale);
    REQUIRE_FALSE(a.is_current("r-1", 2, agent));
    REQUIRE(a.is_current("r-1", 1, agent));
    REQUIRE(a.stale_frames() == 5);
    REQUIRE(a.accept(make_chunk(1, 0, "ab")) == frame_verdict::accepted);
    REQUIRE(a.accept(make_end(1, 1, "ab")) == frame_verdict::accepted);
    REQUIRE(a.body() == "ab");
    REQUIRE(a.accept(make_end(1, 1, "ab")) == frame_verdict::stale);
}

// Guards against a response with a gap, a repeat or a changed byte that is
// reported as whole.
TEST_CASE("a response is whole only when nothing is missing or changed")
{
    CHECK(rc::check(
        [](std::vector<std::string> const& pieces)
        {
            auto const fault = *rc::gen::inRange(0, 5);
            auto const at = *rc::gen::inRange<std::size_t>(
                0, std::max<std::size_t>(pieces.size(), 1));
            answer_assembly a = begun(delivery::whole);
            std::string whole;
            bool is_rejected = false;
            for (std::size_t i = 0; i < pieces.size(); ++i)
            {
                whole += pieces[i];
                answer_chunk c = make_chunk(1, i, pieces[i]);
                if (fault == 1 && i == at)
                    continue;
                if (fault == 2 && i == at)
                    c.bytes += '!';
                is_rejected |= a.accept(c) == frame_verdict::corrupt;
                if (fault == 3 && i == at)
                    is_rejected |= a.accept(c) == frame_verdict::corrupt;
            }
            answer_end end = make_end(1, pieces.size(), whole);
            if (fault == 4)
                ++end.length;
            is_rejected |= a.accept(end) == frame_verdict::corrupt;
            bool const has_fault = fault == 4 || (fault > 0 && !pieces.empty());
            RC_ASSERT(is_rejected == has_fault);
            RC_ASSERT(a.is_whole() == !has_fault);
            if (!has_fault)
                RC_ASSERT(a.body() == whole);
        }));
}

// Guards against a resumed stream that repeats or skips tokens, and against
// late frames of the cut attempt mixed into the new one.
TEST_CASE("a cut stream is continued after what was delivered")
{
    CHECK(rc::check(
        []()
        {
            auto const total = *rc::gen::inRange<std::size_t>(1, 20);
            auto const cut = *rc::gen::inRange<std::size_t>(0, total);
            answer_assembly a = begun(delivery::stream);
            std::string caller;
            std::string whole;
            for (std::size_t i = 0; i < total; ++i)
                whole += static_cast<char>('a' + i);
            for (std::size_t i = 0; i < cut; ++i)
            {
                if (a.accept(make_chunk(1, i, whole.substr(i, 1))) ==
                    frame_verdict::accepted)
                    caller += whole[i];
            }
            a.end_attempt();
            RC_ASSERT(a.delivered().tokens == cut);
            a.begin_attempt(2, agent);
            std::size_t const from = a.delivered().tokens;
            for (std::size_t i = from; i < total; ++i)
            {
                RC_ASSERT(
                    a.accept(make_chunk(1, i, "late")) == frame_verdict::stale);
                RC_ASSERT(
                    a.accept(make_chunk(2, i - from, whole.substr(i, 1))) ==
                    frame_verdict::accepted);
                caller += whole[i];
            }
            RC_ASSERT(
                a.accept(make_end(2, total - from, whole.substr(from))) ==
                frame_verdict::accepted);
            RC_ASSERT(a.is_whole());
            RC_ASSERT(caller == whole);
            RC_ASSERT(a.delivered().tokens == total);
        }));
}

// Guards against repeating work that may have run, and against a stream that
// starts again or ends without a word.
TEST_CASE("an attempt that ended early is resumed, repeated or ended")
{
    delivered_part const none;
    delivered_part const some{3, 30};
    delivered_part const no_tokens{0, 30};
    repeatable_work const model;
    repeatable_work once{.is_idempotent = false, .can_resume = false};
    repeatable_work late{.may_retry = false};
    using act = end_action;
    REQUIRE(decide_after_end(none, model, run_state::ran) == act::retry_whole);
    REQUIRE(decide_after_end(some, model, run_state::ran) == act::resume);
    REQUIRE(
        decide_after_end(no_tokens, model, run_state::ran) ==
        act::end_with_error_event);
    REQUIRE(
        decide_after_end(none, late, run_state::not_run) ==
        act::end_with_error);
    REQUIRE(
        decide_after_end(some, late, run_state::ran) ==
        act::end_with_error_event);
    REQUIRE(
        decide_after_end(none, once, run_state::unknown) ==
        act::end_with_error);
    REQUIRE(
        decide_after_end(none, once, run_state::not_run) == act::retry_whole);
}
