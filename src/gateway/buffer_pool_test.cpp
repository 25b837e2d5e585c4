#include "gateway/buffer_pool.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <list>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace marjorambeam;

// Guards against more bytes being held than a pool has, and against claims that
// are overtaken or forgotten.
TEST_CASE("Claims that wait are granted in their order")
{
    buffer_pool pool{.capacity = 100};
    auto first = try_claim(pool, 60);
    REQUIRE(first);
    std::vector<int> granted;
    buffer_claim const large(pool, 70, [&] { granted.push_back(1); });
    auto small =
        std::make_unique<buffer_claim>(pool, 10, [&] { granted.push_back(2); });
    auto const whole = std::make_unique<buffer_claim>(
        pool, 1000, [&] { granted.push_back(3); });
    CHECK_FALSE(large.is_granted());
    CHECK_FALSE(small->is_granted()); // though there is room for it
    CHECK_FALSE(try_claim(pool, 1));
    first.reset();
    CHECK(granted == std::vector<int>{1, 2});
    CHECK(pool.used == 80);
    small.reset();
    CHECK_FALSE(whole->is_granted());
    CHECK(pool.waits == 3);
    CHECK(pool.refusals == 1);
}

// Guards against bytes that are lost when a claim that waits is given up.
TEST_CASE("A claim that is given up makes room for those behind it")
{
    buffer_pool pool{.capacity = 100};
    auto const first = try_claim(pool, 60);
    auto large =
        std::make_unique<buffer_claim>(pool, 70, std::function<void()>());
    buffer_claim const small(pool, 40, {});
    large.reset();
    CHECK(small.is_granted());
    CHECK(pool.used == 100);
}

// Guards against an owner whose claims keep others waiting: those that it holds
// by their size, and those that wait by their place.
TEST_CASE("An owner gets no more than half of what others leave")
{
    buffer_pool pool{.capacity = 320};
    std::list<buffer_claim> faulty;
    for (int i = 0; i < 6; ++i)
        faulty.emplace_back(pool, 80, std::function<void()>(), "f");
    CHECK(pool.used == 160);
    buffer_claim const second(pool, 80, {}, "g");
    CHECK(second.is_granted());
    buffer_claim const third(pool, 80, {}, "h");
    CHECK_FALSE(third.is_granted());
    std::list<buffer_claim> small;
    for (char const* owner : {"i", "j", "k"})
        CHECK(small.emplace_back(pool, 8, std::function<void()>(), owner)
                  .is_granted());
    faulty.pop_front(); // what is left is more than half of what is free
    CHECK(pool.used == 184);
    faulty.clear();
    CHECK(third.is_granted());
    CHECK(pool.used_by_owner.size() == 5);
}

// Guards against a claim that no owner's share can ever hold.
TEST_CASE("An unused pool is granted to a claim of any size")
{
    buffer_pool pool{.capacity = 100};
    auto first =
        std::make_unique<buffer_claim>(pool, 100, std::function<void()>(), "f");
    CHECK(first->is_granted());
    buffer_claim const second(pool, 100, {}, "f");
    CHECK_FALSE(second.is_granted());
    first.reset();
    CHECK(second.is_granted());
}

// Guards against a sum that exceeds the pool after any order of claims.
TEST_CASE("A pool is never exceeded and never forgets a claim")
{
    std::mt19937 random(5);
    auto const has_owners = GENERATE(false, true);
    buffer_pool pool{.capacity = 1000};
    std::map<int, std::unique_ptr<buffer_claim>> all;
    for (int i = 0; i < 20000; ++i)
    {
        if (random() % 2 == 0 || all.empty())
            all[i] = std::make_unique<buffer_claim>(
                pool, random() % 600, std::function<void()>(),
                has_owners ? std::to_string(random() % 4) : std::string());
        else
            all.erase(std::next(
                all.begin(),
                static_cast<std::ptrdiff_t>(random() % all.size())));
        REQUIRE(pool.used <= pool.capacity);
        auto const granted = std::count_if(
            all.begin(), all.end(),
            [](auto const& it) { return it.second->is_granted(); });
        REQUIRE(
            pool.waiting.size() ==
            all.size() - static_cast<std::size_t>(granted));
        REQUIRE((granted > 0 || all.empty()));
    }
    all.clear();
    CHECK(pool.used == 0);
    CHECK(pool.used_by_owner.empty());
    CHECK(pool.waiting.empty());
}

// Guards against pools that take more than the process may use, and against
// ones in which a response never finds room.
TEST_CASE("The pools fit into the memory of the process")
{
    for (std::size_t const mib : {64U, 260U, 1000U})
    {
        std::size_t const memory = mib << 20U;
        buffer_pools const p = make_buffer_pools(memory);
        std::size_t const sum = p.partial_requests.capacity +
                                p.requests.capacity + p.prompts.capacity +
                                p.responses.capacity;
        CHECK(sum <= memory * 5 / 8);
        CHECK(p.responses.capacity >= max_response_bytes);
    }
}
