#include "agent/agent_test_support.hpp"

#include <nlohmann/json.hpp>

using namespace marjorambeam;
using namespace marjorambeam::test;

namespace
{

// The text in the events of a stream.
std::string text_of(std::string_view events)
{
    std::string out;
    while (!events.empty())
    {
        std::size_t const end = events.find("\n\n");
        REQUIRE(end != std::string_view::npos);
        auto const json = nlohmann::json::parse(
            events.substr(6, end - 6), nullptr, false); // after "data: "
        events.remove_prefix(end + 2);
        if (json.is_object() && json["choices"][0]["delta"].contains("content"))
            out += json["choices"][0]["delta"]["content"].get<std::string>();
    }
    return out;
}

} // namespace

// Guards against bytes that are lost, changed or counted wrongly between the
// engine and the entry.
TEST_CASE("a stream arrives whole with its tokens and usage")
{
    agent_fixture f;
    seen_answer const& a = f.ask(model_request("r-1", "seam"));
    REQUIRE(a.accepted);
    REQUIRE(a.is_whole());
    CHECK(text_of(a.bytes) == expected_text(0, 16));
    CHECK(a.bytes.ends_with("data: [DONE]\n\n"));
    CHECK(a.tokens == 16);
    CHECK(a.end->tokens_out == 16);
    CHECK(a.end->tokens_in == 1);
    CHECK(a.end->status == 200);
    CHECK(a.end->sender == 99);
    CHECK(f.entry->peer->upstream == "up-1");
}

// Guards against a plain answer whose usage is not billed.
TEST_CASE("a plain model answer arrives whole with its usage")
{
    std::uint64_t reported = 0;
    agent_hooks hooks;
    hooks.on_usage = [&](usage_report const& u) { reported = u.tokens_out; };
    agent_fixture f({}, false, {}, std::move(hooks));
    work_request r = model_request("r-1", "seam");
    r.is_stream = false;
    r.body = R"({"model":"tagger@v1","messages":[{"content":"seam"}]})";
    seen_answer const& a = f.ask(r);
    REQUIRE(a.is_whole());
    auto const body = nlohmann::json::parse(a.bytes);
    CHECK(body["choices"][0]["message"]["content"] == expected_text(0, 16));
    CHECK(a.end->tokens_out == 16);
    CHECK(a.end->content_type == "application/json");
    CHECK(reported == 16);
}

// Guards against a resumed stream that starts again from the first token.
TEST_CASE("a stream resumes after the tokens that were delivered")
{
    agent_fixture f;
    work_request r = model_request("r-1", "seam");
    r.tokens_delivered = 5;
    seen_answer const& a = f.ask(r);
    REQUIRE(a.is_whole());
    CHECK(text_of(a.bytes) == expected_text(5, 16));
}

// Guards against a key that is lost, and a charge that runs twice.
TEST_CASE("a service call runs once, with its key and its answer")
{
    agent_fixture f({}, true);
    seen_answer const& a = f.ask(service_request("r-1", "key-1"));
    REQUIRE(a.is_whole());
    CHECK(a.bytes == "amount=3");
    CHECK(f.service.executions("key-1") == 1);
}
