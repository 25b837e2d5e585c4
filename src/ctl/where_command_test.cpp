#include "ctl/where_command.hpp"

#include "http_server/http_server.hpp"

#include <catch2/catch.hpp>
#include <sstream>

using namespace marjorambeam;

namespace
{

constexpr char const* sent = R"({"outcome":"sent","refusal":null,"config":7,
"route":"read","service":"read","organisation":"o","priority":1,
"model":"small","models":["small","large"],"is_overload_controlled":true,
"waiting":2,"chosen":"u1","until_deadline_ms":4000.0,
"end_ms":{"early":10.0,"likely":60.5,"late":90.0},"upstreams_listed":2,
"verdicts":{"chosen":1,"full":1},"upstreams":[
{"id":"u1","zone":"z1","version":"v1","verdict":"chosen","requests":3.0,
"slots":8,"expected_ms":1.5,"failure_rate":0.0,"report_age_ms":null,
"has_free_slot":true},
{"id":"u2","zone":"z1","version":"v1","verdict":"full","requests":30.0,
"slots":8,"expected_ms":null,"failure_rate":0.0,"report_age_ms":5.0,
"has_free_slot":false}]})";

// A gateway's operators' port that answers all queries alike, and the tool.
struct fixture
{
    ev::dynamic_loop loop;
    int status = 200;
    std::string body = sent;
    std::vector<http_request> queries;
    http_server server{
        loop,
        {},
        [this](std::shared_ptr<http_exchange> const& ex)
        {
            queries.push_back(ex->request());
            ex->respond(status, {}, body);
        }};
    std::string out;
    std::string err;

    int run(std::vector<std::string> args, std::string const& input = "")
    {
        args.insert(args.begin(), {"where", "--gateway", server.address()});
        std::istringstream in(input);
        std::ostringstream o;
        std::ostringstream e;
        environment const env = [](std::string const&)
        { return std::optional<std::string>(); };
        int const code = run_ctl(loop, args, env, in, o, e);
        out = o.str();
        err = e.str();
        return code;
    }
};

} // namespace

// Guards against values that end the query or change it, and against a key in
// the URL, which servers log.
TEST_CASE("where sends its values encoded and the key in a header")
{
    fixture f;
    CHECK(
        f.run(
            {"--route", "/i/x&y", "--host", "h", "--key", "-", "--model", "a b",
             "--prompt-tokens", "900", "--shared-part", "p:80",
             "--output-tokens", "70", "--session", "s+1"},
            "secret-81f\n") == 0);
    http_request const& q = f.queries.at(0);
    CHECK(q.path == "/where");
    CHECK(q.parameter("route") == "/i/x&y");
    CHECK(q.parameter("host") == "h");
    CHECK(q.parameter("model") == "a b");
    CHECK(q.parameter("prompt-tokens") == "900");
    CHECK(q.parameter("shared-part") == "p:80");
    CHECK(q.parameter("output-tokens") == "70");
    CHECK(q.parameter("session") == "s+1");
    CHECK(q.query.size() == 7);
    CHECK(q.target.find("secret-81f") == std::string::npos);
    CHECK(q.header("authorization") == "Bearer secret-81f");
    CHECK((f.out + f.err).find("secret-81f") == std::string::npos);
}

// Guards against a table that leaves out the choice, the reasons or the end.
TEST_CASE("where prints the choice, the reasons and the predicted end")
{
    fixture f;
    REQUIRE(f.run({"--route", "/i/x"}) == 0);
    auto const has = [&](char const* text)
    {
        INFO(f.out);
        CHECK(f.out.find(text) != std::string::npos);
    };
    has("sent to u1\n");
    has("model small (of small large), overload control yes, waiting 2\n");
    has("u1        z1    v1       3         8      1.5 ms    free  0");
    has("none  0         5 ms    full\n");
    has("2 of 2 upstreams: chosen 1 full 1\n");
    has("ends: likely in 60.5 ms (10 to 90 ms), deadline in 4000 ms\n");
    REQUIRE(f.run({"--route", "/i/x", "--output", "json"}) == 0);
    CHECK(f.out.starts_with("{"));
}

// Guards against exit codes that tell a script nothing, and against a crash on
// the answer of another program.
TEST_CASE("where has an exit code for each kind of answer")
{
    fixture f;
    CHECK(f.run({}) == 2);
    CHECK(f.run({"--route", "/i/x", "--key", "a\nb"}) == 2);
    CHECK(f.queries.empty());
    auto code = [&](std::string body, int status = 200)
    {
        f.body = std::move(body);
        f.status = status;
        return f.run({"--route", "/i/x"});
    };
    CHECK(code(R"({"outcome":"refused","refusal":"not_found"})") == 6);
    CHECK(code(R"({"outcome":"refused","refusal":"unauthorized"})") == 6);
    CHECK(code(R"({"outcome":"refused","refusal":"not_ready"})") == 1);
    CHECK(code(R"({"outcome":"held","reason":"starting"})") == 1);
    CHECK(code(R"({"outcome":"waits","reason":"queue_full"})") == 0);
    CHECK(code(R"({"outcome":"refused","refusal":"queue_full",
                 "reason":"cannot_end","retry_after_ms":310.0})") == 0);
    CHECK(f.out.starts_with(
        "refused: queue_full (cannot_end), retry after 310 ms\n"));
    CHECK(code(R"({"error":{"kind":"bad_request","message":"no"}})", 400) == 2);
    CHECK(code("", 404) == 1);
    CHECK(code("[1]") == 1);
    CHECK(code(R"({"outcome":5,"models":[1,2],"upstreams":[3]})") == 0);
}
