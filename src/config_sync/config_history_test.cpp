#include "config_sync/config_history.hpp"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <rapidcheck.h>

using namespace marjorambeam;

namespace
{

// RapidCheck reads its seed from the environment before its first property.
bool const has_seed =
    setenv("RC_PARAMS", "seed=20261204 max_success=300", 0) == 0;

// Returns the text of generation `n`; every seventh is invalid.
std::string text_of(std::uint64_t n)
{
    if (n % 14 == 0)
        return "{";
    generation g{.number = n, .edit_id = "e" + std::to_string(n)};
    g.edits.push_back(
        {document_kind::availability_zone, "z" + std::to_string(n % 5),
         n % 14 == 7
             ? R"({"region":"north","state":"sideways"})"
             : R"({"region":"r)" + std::to_string(n) + R"(","state":"in"})"});
    return to_json(g);
}

config_generations run_of(std::uint64_t first, std::uint64_t last)
{
    config_generations out;
    for (std::uint64_t n = first; n <= last; ++n)
        out.generations.emplace_back(n, text_of(n));
    return out;
}

// Returns the checkpoint texts of generations 0 to `count`, applied in order.
std::vector<std::string> reference(std::uint64_t count)
{
    config_history h;
    std::vector<std::string> out{to_checkpoint(*h.current)};
    for (std::uint64_t n = 1; n <= count; ++n)
    {
        apply_received(h, run_of(n, n), {});
        out.push_back(to_checkpoint(*h.current));
    }
    return out;
}

} // namespace

// Guards against a configuration that reverts, skips a generation or differs
// between daemons that received the same generations in another order (I12).
TEST_CASE("the generation in force never reverts in any order of arrival")
{
    constexpr std::uint64_t count = 40;
    std::vector<std::string> const expected = reference(count);
    REQUIRE(has_seed);
    auto const property = [&](std::vector<std::uint8_t> const& arrivals)
    {
        config_history h;
        for (std::uint8_t const it : arrivals)
        {
            std::uint64_t const before = h.current->number;
            std::uint64_t const first = 1 + it % count;
            config_generations m =
                run_of(first, std::min<std::uint64_t>(count, first + it / 64));
            if (it % 8 == 0)
            {
                m.checkpoint = first - 1;
                m.snapshot = it % 16 == 0 ? "{" : expected[first - 1];
            }
            apply_received(h, std::move(m), {.max_pending = 20});
            RC_ASSERT(h.current->number >= before);
            RC_ASSERT(to_checkpoint(*h.current) == expected[h.current->number]);
        }
        apply_received(h, run_of(1, count), {});
        RC_ASSERT(h.current->number == count);
        RC_ASSERT(to_checkpoint(*h.current) == expected[count]);
        RC_ASSERT(h.pending.empty());
        RC_ASSERT(h.pending_bytes == 0U);
    };
    CHECK(rc::check("the generation in force never reverts", property));
}

// Guards against memory use that grows with the number of generations, and
// against stale peers that can't catch up because the texts were removed.
TEST_CASE("texts since the last two checkpoints are kept and can be pulled")
{
    constexpr std::uint64_t count = 450;
    config_history source;
    apply_received(source, run_of(1, count), {});
    CHECK(source.base == 200);
    CHECK(source.newest == 400);
    CHECK(source.texts.size() == 250);

    history_limits const small{.max_response_bytes = 1000};
    std::uint64_t const after = GENERATE(0U, 150U, 200U, 449U);
    config_history h;
    apply_received(h, run_of(1, after), {});
    int pulls = 0;
    while (true)
    {
        config_generations const m =
            make_pull_response(source, h.current->number, small);
        if (m.checkpoint == 0 && m.generations.empty())
            break;
        CHECK((m.checkpoint != 0) == (pulls == 0 && after < 200));
        CHECK(m.generations.size() <= 10);
        REQUIRE(apply_received(h, m, small).applied > 0);
        REQUIRE(++pulls < 100);
    }
    CHECK(to_checkpoint(*h.current) == to_checkpoint(*source.current));
    CHECK(make_pull_response(source, count + 5, small).generations.empty());
}

// Guards against large documents that exhaust the memory for control data.
TEST_CASE("the bytes of retained and pending texts are bounded")
{
    history_limits const small{
        .max_text_bytes = 4000, .max_pending_bytes = 1000};
    config_history h;
    for (std::uint64_t n = 1; n <= 150; ++n)
    {
        apply_received(h, run_of(n, n), small);
        REQUIRE(h.text_bytes <= small.max_text_bytes);
    }
    CHECK(apply_received(h, run_of(160, 190), small).has_gap);
    CHECK(h.pending_bytes <= small.max_pending_bytes);
    CHECK(h.pending.count(160) == 1);
    apply_received(h, run_of(151, 190), small);
    CHECK(h.current->number == 190);
}
