#include "log/guarded_call.hpp"

#include <catch2/catch.hpp>
#include <new>

using namespace marjorambeam;

// Guards against a process that ends with an exception out of one callback,
// whatever its type.
TEST_CASE("A guarded call keeps exceptions of any type")
{
    std::uint64_t const before = failed_callbacks();
    CHECK(guarded_call("part", [] {}));
    CHECK(failed_callbacks() == before);
    CHECK_FALSE(guarded_call("part", [] { throw std::bad_alloc(); }));
    CHECK_FALSE(guarded_call("part", [] { throw 1; }));
    CHECK(failed_callbacks() == before + 2);
    CHECK(last_failed_callback() == "part: an exception of an unknown type");
}
