#include "gateway/crash_blame.hpp"

#include <catch2/catch.hpp>

using namespace marjorambeam;
using std::chrono::seconds;

namespace
{

constexpr steady_time now{seconds(50)};

} // namespace

// Guards against a request that crashes one upstream after the other.
TEST_CASE("A request is blamed with its third crash")
{
    crash_blame b;
    for (char const* it : {"a", "b", "c"})
    {
        CHECK_FALSE(is_blamed(b, 1, now));
        suspect(b, {1, it, 5, now});
        confirm_crash(b, it, now + seconds(2));
    }
    CHECK(is_blamed(b, 1, now));
    CHECK(b.to_report.size() == 3);
    CHECK_FALSE(is_blamed(b, 1, now + blame_memory + seconds(10)));
}

// Guards against innocent requests that are refused because upstreams reset
// connections without a crash (nakhla-keyword-grown, scale-1: 173 refused).
TEST_CASE("A broken connection without a crash blames nobody")
{
    crash_blame b;
    for (char const* it : {"a", "b", "c", "d"})
        suspect(b, {1, it, 5, now});
    CHECK_FALSE(is_blamed(b, 1, now));
    confirm_crash(b, "a", now + suspicion_memory + seconds(1));
    CHECK(b.to_report.empty());
}

// Guards against one crash that several gateways report being counted twice,
// and against a request that stays under suspicion though it ran well.
TEST_CASE("A crash counts once and a whole answer clears")
{
    crash_blame b;
    CHECK(note_break(b, 1, "a/50", now));
    CHECK_FALSE(note_break(b, 1, "a/50", now));
    CHECK(note_break(b, 1, "b/50", now));
    CHECK(note_whole(b, 1));
    CHECK_FALSE(note_whole(b, 1));
    CHECK(note_break(b, 1, "c/51", now));
    CHECK_FALSE(is_blamed(b, 1, now));
}

// Guards against requests that share a fingerprint though they differ.
TEST_CASE("Path, organisation and body make the fingerprint")
{
    std::uint64_t const one = request_fingerprint("/a", "o", "body");
    CHECK(one == request_fingerprint("/a", "o", "body"));
    CHECK(one != request_fingerprint("/b", "o", "body"));
    CHECK(one != request_fingerprint("/a", "p", "body"));
    CHECK(one != request_fingerprint("/a", "o", "bodx"));
}

// Guards against unbounded memory when many requests are suspected.
TEST_CASE("The oldest suspect is forgotten when there are too many")
{
    crash_blame b;
    for (std::uint64_t i = 0; i <= blame_capacity; ++i)
        note_break(b, i, "a", now + std::chrono::microseconds(i));
    CHECK(b.by_fingerprint.size() == blame_capacity);
    CHECK_FALSE(b.by_fingerprint.contains(0));
}
