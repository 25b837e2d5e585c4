#include "error/error.hpp"

#include <catch2/catch.hpp>
#include <fstream>
#include <set>
#include <sstream>

using namespace marjorambeam;

// Guards against two kinds that share a counter, and against a refusal worth
// repeating that does not say when to come back.
TEST_CASE("each error kind has its own name and a time to come back")
{
    std::set<std::string_view> names;
    for (error_answer const& it : all_error_answers())
    {
        INFO(it.name);
        CHECK(names.insert(it.name).second);
        CHECK(it.http_status >= 400);
        CHECK(
            (it.advice == retry_advice::never) ==
            (it.retry_after == duration(0)));
    }
}

// Guards against a refusal that operators can't look up.
TEST_CASE("the operations page explains each error kind with its status")
{
    std::ifstream in("OPERATIONS.md"); // copied by CMakeLists.txt
    std::stringstream page;
    page << in.rdbuf();
    for (error_answer const& it : all_error_answers())
    {
        std::string const row = "| `" + std::string(it.name) + "` | " +
                                std::to_string(it.http_status) + " |";
        INFO(row);
        CHECK(page.str().find(row) != std::string::npos);
    }
}
