#include "gateway/crash_attribution.hpp"

#include <catch2/catch.hpp>

using namespace marjorambeam;
using std::chrono::seconds;

namespace
{

constexpr steady_time now{seconds(50)};

} // namespace

// Guards against a request that crashes one upstream after another.
TEST_CASE("A request reaches the crash limit at its third crash")
{
    crash_attribution b;
    for (char const* it : {"a", "b", "c"})
    {
        CHECK_FALSE(reaches_crash_limit(b, 1, now));
        record_suspicion(b, {1, it, 5, now});
        confirm_crash(b, it, now + seconds(2));
    }
    CHECK(reaches_crash_limit(b, 1, now));
    CHECK(b.to_report.size() == 3);
    CHECK_FALSE(
        reaches_crash_limit(b, 1, now + crash_record_ttl + seconds(10)));
}

// Guards against refusing harmless requests because upstreams reset connections
// without a crash (nakhla-keyword-grown, scale-1: 173 refused).
TEST_CASE("A broken connection without a crash is not attributed")
{
    crash_attribution b;
    for (char const* it : {"a", "b", "c", "d"})
        record_suspicion(b, {1, it, 5, now});
    CHECK_FALSE(reaches_crash_limit(b, 1, now));
    confirm_crash(b, "a", now + crash_suspicion_ttl + seconds(1));
    CHECK(b.to_report.empty());
}

// Guards against counting a crash twice when several gateways report it, and
// against keeping the record of a request that later completed.
TEST_CASE("A crash counts once and a complete response clears the record")
{
    crash_attribution b;
    CHECK(record_crash(b, 1, "a/50", now));
    CHECK_FALSE(record_crash(b, 1, "a/50", now));
    CHECK(record_crash(b, 1, "b/50", now));
    CHECK(record_complete_response(b, 1));
    CHECK_FALSE(record_complete_response(b, 1));
    CHECK(record_crash(b, 1, "c/51", now));
    CHECK_FALSE(reaches_crash_limit(b, 1, now));
}

// Guards against different requests that share a fingerprint.
TEST_CASE("The fingerprint covers path, organisation and body")
{
    std::uint64_t const one = request_fingerprint("/a", "o", "body");
    CHECK(one == request_fingerprint("/a", "o", "body"));
    CHECK(one != request_fingerprint("/b", "o", "body"));
    CHECK(one != request_fingerprint("/a", "p", "body"));
    CHECK(one != request_fingerprint("/a", "o", "bodx"));
}

// Guards against unbounded memory use when many requests have records.
TEST_CASE("The oldest record is evicted beyond the maximum")
{
    crash_attribution b;
    for (std::uint64_t i = 0; i <= max_crash_records; ++i)
        record_crash(b, i, "a", now + std::chrono::microseconds(i));
    CHECK(b.by_fingerprint.size() == max_crash_records);
    CHECK_FALSE(b.by_fingerprint.contains(0));
}
