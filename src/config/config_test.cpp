#include "config/generation.hpp"

#include "base/hash.hpp"

#include <catch2/catch.hpp>

using namespace marjorambeam;

namespace
{

generation make_generation(std::uint64_t number, std::vector<document_edit> e)
{
    return {number, "edit-" + std::to_string(number), "ops", 1, std::move(e)};
}

document_edit zone_edit(std::string const& state)
{
    return {
        document_kind::availability_zone, "hitra",
        R"({"region":"trondelag","state":")" + state + R"("})"};
}

document_edit contract_edit(std::string const& key)
{
    return {
        document_kind::contract, "havbris",
        R"({"customer":"havbris","key_hashes":[")" + secret_hash(key) +
            R"("],"models":[{"model":"tagger","versions":["v1"]}]})"};
}

} // namespace

// Guards against a misspelt limit that is silently no limit, and against
// faults that are reported one at a time.
TEST_CASE("a bad document is refused with every field and reason")
{
    result<contract> c = parse_contract(
        "havbris", R"({"customer":"x","key_hashes":[],"weight":0,"wieght":2})");
    REQUIRE_FALSE(c);
    std::string const& text = c.error().message;
    CHECK(
        text.find("contracts/havbris: customer: must equal") !=
        std::string::npos);
    CHECK(
        text.find("weight: must be a whole number from 1 to 1000") !=
        std::string::npos);
    CHECK(text.find("wieght: is not a known field") != std::string::npos);
    CHECK_FALSE(parse_version("m@v1", "not json"));
}

// Guards against a bad generation that removes what was in force, or that
// blocks the generations after it.
TEST_CASE("an invalid generation leaves the contents in force")
{
    config_snapshot s;
    s = apply_or_refuse(s, make_generation(1, {zone_edit("in")}));
    s = apply_or_refuse(s, make_generation(2, {zone_edit("sideways")}));
    CHECK(s.number == 2);
    CHECK(s.zones.at("hitra").state == service_state::in);
    CHECK(s.refused.count(2) == 1);
    s = apply_or_refuse(s, make_generation(3, {zone_edit("out")}));
    CHECK(s.zones.at("hitra").state == service_state::out);
}

// Guards against a checkpoint that loses documents or permissions.
TEST_CASE("a checkpoint gives the same configuration back")
{
    config_snapshot s;
    s = apply_or_refuse(
        s, make_generation(1, {zone_edit("in"), contract_edit("key-1")}));
    result<config_snapshot> back = parse_checkpoint(to_checkpoint(s));
    REQUIRE(back);
    CHECK(back->number == 1);
    CHECK(back->texts == s.texts);
    contract const* c = find_contract(*back, "key-1");
    REQUIRE(c != nullptr);
    CHECK(is_permitted(*c, version{.model = "tagger", .name = "v1"}));
    CHECK_FALSE(is_permitted(*c, version{.model = "tagger", .name = "v2"}));
    CHECK(find_contract(*back, "key-2") == nullptr);
}

// Guards against upstreams that point to an availability zone nobody can
// take out.
TEST_CASE("an upstream in an unknown availability zone is refused")
{
    result<config_snapshot> s = apply(
        config_snapshot(),
        make_generation(
            1, {{document_kind::upstream, "u1",
                 R"({"kind":"engine","zone":"nowhere","serves":[],)"
                 R"("state":"in"})"}}));
    REQUIRE_FALSE(s);
    CHECK(
        s.error().message.find("nowhere does not exist") != std::string::npos);
}

// Guards against an edit whose lost answer can't be found again.
TEST_CASE("a generation survives its text form")
{
    generation const g = make_generation(7, {zone_edit("out")});
    result<generation> back = parse_generation(7, to_json(g));
    REQUIRE(back);
    CHECK(back->edit_id == "edit-7");
    CHECK(back->edits.at(0).name == "hitra");
    CHECK(generation_number(generation_name(7)) == 7);
    CHECK(generation_number("7") == 0);
}
