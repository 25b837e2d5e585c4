#include "fakes/object_api/fake_object_api.hpp"

#include "http_client/http_client.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace marjorambeam;

namespace
{

// Sends one call and runs the loop until it is done.
result<http_reply> call(ev::loop_ref loop, http_client& client, http_call c)
{
    result<http_reply> reply = fail(error_kind::internal, "no reply");
    client.send(
        std::move(c),
        [&](result<http_reply> r)
        {
            reply = std::move(r);
            loop.break_loop(ev::ALL);
        });
    loop.run();
    return reply;
}

} // namespace

// Guards against a fake that lets unconditional writes or large values
// through and so hides faults of its clients.
TEST_CASE("writes need a condition and a value of at most 1 MB")
{
    ev::dynamic_loop loop;
    fake_object_api api(loop, {});
    http_client client(loop);
    http_call put{.method = "PUT", .url = api.url() + "/v1/objects/k/a"};
    CHECK(call(loop, client, put)->status == 428);
    put.headers = {{"If-None-Match", "*"}};
    put.body = std::string(max_object_bytes, 'x');
    result<http_reply> created = call(loop, client, put);
    REQUIRE(created);
    CHECK(created->status == 201);
    CHECK(created->headers["etag"] == "\"1\"");
    put.url += "b";
    put.body += 'x';
    CHECK(call(loop, client, put)->status == 413);
    put.body = "\xff";
    CHECK(call(loop, client, put)->status == 400);
}

// Guards against rates that are counted wrongly at the edge of a second.
TEST_CASE("a window lets its limit of calls through in each second")
{
    steady_time const start{std::chrono::seconds(5)};
    rate_window w{.limit = 2};
    CHECK(take_call(w, start));
    CHECK(take_call(w, start + std::chrono::milliseconds(999)));
    CHECK_FALSE(take_call(w, start + std::chrono::milliseconds(999)));
    CHECK(take_call(w, start + std::chrono::seconds(1)));
}

// Guards against switches that the failure tests of other processes set over
// HTTP without effect, and against a misspelt switch that is accepted.
TEST_CASE("faults are switched and counts are read over HTTP")
{
    ev::dynamic_loop loop;
    fake_object_api api(loop, {});
    http_client client(loop);
    http_call faults{
        .method = "PUT", .url = api.url() + "/faults", .body = "{\"donw\":1}"};
    CHECK(call(loop, client, faults)->status == 400);
    faults.body = R"({"down":true,"delay_ms":1})";
    CHECK(call(loop, client, faults)->status == 200);
    http_call const get{.url = api.url() + "/v1/objects/k/a"};
    CHECK(call(loop, client, get)->status == 503);
    result<http_reply> const counts =
        call(loop, client, {.url = api.url() + "/counts"});
    REQUIRE(counts);
    nlohmann::json const body = nlohmann::json::parse(counts->body);
    CHECK(body["get"] == 1);
    CHECK(body["refused_down"] == 1);
}

// Guards against a page that exceeds what clients can take, and against a
// watch that skips the changes which did not fit.
TEST_CASE("large values are split over pages without a gap")
{
    object_data data;
    for (char name = 'a'; name < 'i'; ++name)
        data.create("k", std::string(1, name), std::string(900'000, 'x'));
    object_page const first = data.list("k", "", 1000);
    CHECK(first.has_more);
    object_page const rest = data.list("k", first.objects.back().name, 1000);
    CHECK(first.objects.size() + rest.objects.size() == 8);
    object_page const changes = data.changes("k", 0);
    CHECK(changes.has_more);
    CHECK(
        changes.objects.size() +
            data.changes("k", changes.revision).objects.size() ==
        8);
}
