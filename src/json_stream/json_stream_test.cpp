#include "json_stream/json_stream.hpp"

#include <array>
#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <string>
#include <vector>

using namespace marjorambeam;
using nlohmann::json;

namespace
{

constexpr std::array<std::string_view, 2> arrays{"items", "items/spec/routes"};

std::string nested(std::size_t levels)
{
    return std::string(levels, '[') + std::string(levels, ']');
}

} // namespace

// Guards against elements that are lost or joined when the document arrives in
// other pieces.
TEST_CASE("a document reads the same in all pieces")
{
    std::string const text =
        R"({"at":3,"items":[{"n":"a","spec":{"routes":[{"x":1},{"x":[2]}],)"
        R"("v":-1}},{"n":"b\u00e9","spec":{}}],"more":false,"e":[1.5,null]})";
    auto const read = [&](std::size_t piece)
    {
        json seen = json::array();
        json_stream s(
            arrays,
            [&](std::size_t array, json&& e) {
                seen.push_back({array, std::move(e)});
            });
        for (std::size_t i = 0; i < text.size(); i += piece)
            REQUIRE(s.put(std::string_view(text).substr(i, piece)));
        result<json> rest = s.finish();
        REQUIRE(rest);
        return json{{"rest", *rest}, {"seen", seen}};
    };
    json const whole = read(text.size());
    CHECK(
        whole["rest"].dump() ==
        R"({"at":3,"e":[1.5,null],"items":[],"more":false})");
    CHECK(
        whole["seen"].dump() ==
        R"([[1,{"x":1}],[1,{"x":[2]}],[0,{"n":"a","spec":)"
        R"({"routes":[],"v":-1}}],[0,{"n":"bé","spec":{}}]])");
    for (std::size_t piece = 1; piece < text.size(); ++piece)
        CHECK(read(piece) == whole);
}

// Guards against a document that ends halfway and is taken for a whole one.
TEST_CASE("an incomplete or broken document is an error")
{
    std::string const text = GENERATE(
        as<std::string>{}, "", "{", "[1,", R"({"a":)", "{]", "1 2", "tru");
    CAPTURE(text);
    CHECK(parse_json(text).is_discarded());
}

// Guards against a process that ends, or a list that can't be read, because of
// one odd value that another writer left in it.
TEST_CASE("a part that is too deep or a number that is too large is null")
{
    std::size_t const levels = GENERATE(100U, 10'000U, 1'000'000U);
    json const j = parse_json(
        R"({"deep":)" + nested(levels) + R"(,"large":1e999,"sound":"x"})");
    CHECK(j.dump().size() < 1'000);
    CHECK(j["large"].is_null());
    CHECK(j["sound"] == "x");
    CHECK(parse_json(nested(max_json_depth)).is_array());
}

// Guards against numbers that change on their way.
TEST_CASE("numbers keep their value and type")
{
    CHECK(
        parse_json("18446744073709551615").get<std::uint64_t>() ==
        18446744073709551615U);
    CHECK(parse_json("-9223372036854775808").is_number_integer());
    CHECK(parse_json("18446744073709551616").is_number_float());
    CHECK(parse_json("-0.5e1") == -5.0);
    CHECK(parse_json("7").is_number_unsigned());
}

// Guards against documents that other programs write and this one reads
// differently.
TEST_CASE("a document is read as it was written")
{
    rc::check(
        "any strings and numbers",
        [](std::vector<std::pair<std::string, std::int64_t>> const& all)
        {
            json j = json::array();
            for (auto const& [text, n] : all)
            {
                std::string ascii = text;
                for (char& it : ascii)
                    it = static_cast<char>(it & 0x7f);
                j.push_back({{ascii, n}});
            }
            RC_ASSERT(parse_json(j.dump()) == j);
        });
}
