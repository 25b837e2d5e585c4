#include "base/hash.hpp"
#include "base/id.hpp"
#include "base/percent_encoding.hpp"
#include "base/time.hpp"

#include <catch2/catch.hpp>

using namespace marjorambeam;

// Guards against a rendezvous order that moves keys between surviving nodes.
TEST_CASE("removing a node moves only the keys that it owned")
{
    std::vector<std::string> nodes{"a", "b", "c", "d"};
    std::vector<std::string> fewer{"a", "b", "d"};
    for (int i = 0; i < 1000; ++i)
    {
        std::string const key = "key" + std::to_string(i);
        std::string const before = nodes[rendezvous_order(key, nodes)[0]];
        std::string const after = fewer[rendezvous_order(key, fewer)[0]];
        if (before != "c")
            REQUIRE(before == after);
    }
}

// Guards against a key time that is read back wrongly, which would let a key
// older than the bound run.
TEST_CASE("a version 7 UUID carries its time")
{
    std::int64_t const ms = to_unix_ms(wall_now());
    REQUIRE(uuid7_unix_ms(make_uuid7(ms, 0x123456789abcdef0U)) == ms);
    REQUIRE(
        uuid7_unix_ms("0190163d-8694-739b-aea5-966c26f8ad91") == 1718360049300);
    REQUIRE(uuid7_unix_ms("0190163d-8694-439b-aea5-966c26f8ad91") == -1);
    REQUIRE(uuid7_unix_ms("order-17") == -1);
    REQUIRE(uuid7_unix_ms("0190163d-8694-739b-aea5-966c26f8ad9x") == -1);
}

// Guards against contracts that hold a hash the entry can't compute again.
TEST_CASE("the hash of a secret is stable and 64 digits long")
{
    REQUIRE(secret_hash("key-1") == secret_hash("key-1"));
    REQUIRE(secret_hash("key-1") != secret_hash("key-2"));
    REQUIRE(secret_hash("key-1").size() == 64);
}

// Guards against text that ends a part of a URL, or is another text to the
// reader of the URL.
TEST_CASE("text is one part of a URL")
{
    CHECK(percent_encode("Az09-._~") == "Az09-._~");
    CHECK(percent_encode("a b&c+d#e%f") == "a%20b%26c%2Bd%23e%25f");
    CHECK(percent_encode("/?;=\r\n\x7f") == "%2F%3F%3B%3D%0D%0A%7F");
    CHECK(percent_encode("\xc3\xbc\xff") == "%C3%BC%FF");
    CHECK(percent_encode(std::string_view("a\0b", 3)) == "a%00b");
}
