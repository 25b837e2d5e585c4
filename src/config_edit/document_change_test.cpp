#include "config_edit/document_change.hpp"

#include <catch2/catch.hpp>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

using namespace marjorambeam;

namespace
{

// The JSON blocks of the schema page.
std::vector<std::string> page_examples()
{
    std::ifstream page("documents.md"); // copied by CMakeLists.txt
    std::vector<std::string> blocks;
    std::string line;
    bool is_inside = false;
    while (std::getline(page, line))
    {
        if (line == "```json")
            blocks.emplace_back();
        else if (is_inside && line != "```")
            blocks.back() += line + "\n";
        is_inside = line == "```json" || (is_inside && line != "```");
    }
    return blocks;
}

} // namespace

// Guards against examples on the schema page that no longer parse or that
// don't form a valid configuration together.
TEST_CASE("the examples of the schema page are a valid configuration")
{
    generation g{1, "e", "ops", 1, {}};
    std::set<document_kind> kinds;
    for (std::string const& it : page_examples())
    {
        result<std::vector<document_edit>> edits = parse_documents(it);
        INFO(it);
        REQUIRE(edits);
        for (document_edit& edit : *edits)
        {
            kinds.insert(edit.kind);
            g.edits.push_back(std::move(edit));
        }
    }
    CHECK(kinds.size() == 5);
    result<config_snapshot> const config = apply(config_snapshot(), g);
    REQUIRE(config);
    CHECK(config->contracts.size() == 1);
}

// Guards against a file of which a part is applied silently.
TEST_CASE("every fault of a file is reported")
{
    result<std::vector<document_edit>> const edits = parse_documents(
        R"([{"kind":"zones","name":"a","document":{"region":"r","state":"in"}},
            {"kind":"zones","name":"a","document":{"region":"r","state":"in"}},
            {"kind":"zone","name":"b","document":{"state":"in"}},
            {"kind":"zones","name":"c"}])");
    REQUIRE_FALSE(edits);
    std::string const& text = edits.error().message;
    CHECK(text.find("document 2: zones/a is there twice") != std::string::npos);
    CHECK(text.find("document 3: zones/b: region") != std::string::npos);
    CHECK(text.find("document 4: expected") != std::string::npos);
    CHECK_FALSE(parse_documents("{"));
}

// Guards against a change of one field that loses the others, and against
// generations without a change.
TEST_CASE("a change of state keeps the other fields")
{
    config_snapshot const config = apply_or_refuse(
        config_snapshot(),
        {1,
         "e",
         "ops",
         1,
         {{document_kind::version, "m@v1",
           R"({"model":"m","version":"v1","state":"active","quality":0.7})"}}});
    auto rolled = change_version(config, "m@v1", "rolling", 0.2);
    REQUIRE(rolled);
    result<version> const v = parse_version("m@v1", rolled->at(0).json);
    REQUIRE(v);
    CHECK(v->quality == 0.7);
    CHECK(v->share == 0.2);
    auto const diff = nlohmann::json::parse(diff_documents(config, *rolled));
    CHECK(diff[0]["change"] == "change");
    CHECK(diff[0]["patch"].size() == 2);
    drop_unchanged(config, *rolled);
    CHECK(rolled->size() == 1);
    std::vector<document_edit> same{
        {document_kind::version, "m@v1", config.texts.at("versions/m@v1")}};
    drop_unchanged(config, same);
    CHECK(same.empty());
    CHECK(
        change_version(config, "m@v2", "active", 0).error().kind ==
        error_kind::not_found);
}
