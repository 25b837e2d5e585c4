#include "http_client/http_client.hpp"

#include "event_loop/event_loop.hpp"
#include "http_server/http_server.hpp"

#include <catch2/catch.hpp>
#include <new>
#include <optional>

using namespace marjorambeam;

namespace
{

std::string url_of(http_server const& server, std::string const& path)
{
    return "http://127.0.0.1:" + std::to_string(server.port()) + path;
}

// Sends one call and runs the loop until it is done.
result<http_reply> call(ev::loop_ref loop, http_call c)
{
    http_client client(loop);
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

// Guards against a body or header that is lost between client and server.
TEST_CASE("a request and its response arrive whole")
{
    ev::dynamic_loop loop;
    http_server server(
        loop, {},
        [](std::shared_ptr<http_exchange> const& ex)
        {
            http_request const& r = ex->request();
            ex->respond(
                201, {{"X-Seen", std::string(r.header("x-sent"))}},
                r.method + r.path + std::string(r.parameter("q")) + r.body);
        });
    std::string const body(100000, 'x');
    result<http_reply> reply = call(
        loop, {.method = "PUT",
               .url = url_of(server, "/a?q=1"),
               .headers = {{"X-Sent", "7"}},
               .body = body});
    REQUIRE(reply);
    CHECK(reply->status == 201);
    CHECK(reply->headers["x-seen"] == "7");
    CHECK(reply->body == "PUT/a1" + body);
}

// Guards against a path or query that is decoded or shortened on its way to a
// plain service.
TEST_CASE("the target of a request arrives as it was sent")
{
    ev::dynamic_loop loop;
    http_server server(
        loop, {},
        [](std::shared_ptr<http_exchange> const& ex)
        { ex->respond(200, {}, ex->request().target); });
    std::string const target = "/a%2Fb/../c?x=1&y=%20z";
    result<http_reply> reply = call(loop, {.url = url_of(server, target)});
    REQUIRE(reply);
    CHECK(reply->body == target);
}

// Guards against a response that is sent from a later turn of the loop and
// never reaches the caller, and against a stream that ends silently.
TEST_CASE("a stream written later arrives whole, and a cut is an error")
{
    ev::dynamic_loop loop;
    std::shared_ptr<http_exchange> held;
    int step = 0;
    bool is_whole = true;
    loop_timer* next = nullptr;
    loop_timer timer(
        loop,
        [&]
        {
            if (step == 0)
                held->start_stream(200, {});
            else if (step <= 3)
                held->write("part " + std::to_string(step) + "\n");
            else
                held->end_stream(is_whole);
            if (++step < 5)
                next->start(std::chrono::milliseconds(1));
        });
    next = &timer;
    http_server server(
        loop, {},
        [&](std::shared_ptr<http_exchange> const& ex)
        {
            held = ex;
            timer.start(std::chrono::milliseconds(1));
        });
    result<http_reply> whole = call(loop, {.url = url_of(server, "/")});
    REQUIRE(whole);
    CHECK(whole->body == "part 1\npart 2\npart 3\n");
    step = 0;
    is_whole = false;
    result<http_reply> cut = call(loop, {.url = url_of(server, "/")});
    REQUIRE_FALSE(cut);
    CHECK(cut.error().run == run_state::unknown);
}

// Guards against a body over the limit that is taken into memory.
TEST_CASE("a body over the limit is refused by name")
{
    ev::dynamic_loop loop;
    int refusals = 0;
    http_server server(
        loop, {.max_body_bytes = 1000},
        [](std::shared_ptr<http_exchange> const& ex)
        { ex->respond(200, {}, ""); },
        [&](error_kind kind)
        { refusals += kind == error_kind::body_too_large ? 1 : 0; });
    result<http_reply> reply = call(
        loop, {.method = "POST",
               .url = url_of(server, "/"),
               .body = std::string(5000, 'x')});
    REQUIRE(reply);
    CHECK(reply->status == 413);
    CHECK(refusals == 1);
}

// Guards against long headers and too many connections that are refused
// without a name and a counter.
TEST_CASE("headers and connections over their limits are refused by name")
{
    ev::dynamic_loop loop;
    std::vector<error_kind> refusals;
    auto const answer = [](std::shared_ptr<http_exchange> const& ex)
    { ex->respond(200, {}, ""); };
    auto const note = [&](error_kind kind) { refusals.push_back(kind); };
    http_server server(loop, {.max_header_bytes = 4096}, answer, note);
    result<http_reply> reply = call(
        loop, {.url = url_of(server, "/"),
               .headers = {{"X-Long", std::string(6000, 'x')}}});
    REQUIRE(reply);
    CHECK(reply->status == 431);
    http_server full(loop, {.max_connections = 0}, answer, note);
    reply = call(loop, {.url = url_of(full, "/")});
    REQUIRE(reply);
    CHECK(reply->status == 503);
    CHECK(
        refusals ==
        std::vector{
            error_kind::header_too_large, error_kind::too_many_connections});
}

// Guards against a refused connection that is reported as work that may have
// run.
TEST_CASE("a call without a connection did not run")
{
    ev::dynamic_loop loop;
    result<http_reply> reply = call(loop, {.url = "http://127.0.0.1:1/"});
    REQUIRE_FALSE(reply);
    CHECK(reply.error().run == run_state::not_run);
}

// Guards against a request that is reported as not run although it was sent:
// libcurl repeats it when a reused connection closes, and the repetition finds
// nobody listening.
TEST_CASE("a lost request whose repetition is refused is unknown")
{
    ev::dynamic_loop loop;
    int requests = 0;
    http_server* listener = nullptr;
    http_server server(
        loop, {},
        [&](std::shared_ptr<http_exchange> const& ex)
        {
            if (++requests == 1)
                return ex->respond(200, {}, "first");
            listener->stop_listening();
            ex->drop();
        });
    listener = &server;
    http_client client(loop);
    std::optional<error> failure;
    http_call const second{
        .method = "POST", .url = url_of(server, "/"), .body = "x"};
    client.send(
        {.url = url_of(server, "/")},
        [&](result<http_reply> const& first)
        {
            REQUIRE(first);
            client.send(
                second,
                [&](result<http_reply> const& r)
                {
                    failure = r.error();
                    loop.break_loop(ev::ALL);
                });
        });
    loop.run();
    REQUIRE(requests == 2);
    CHECK(failure->run == run_state::unknown);
}

// Guards against a process that ends with an exception out of one request or
// one response.
TEST_CASE("an exception ends the request or the response that threw it")
{
    ev::dynamic_loop loop;
    http_server server(
        loop, {},
        [](std::shared_ptr<http_exchange> const& ex)
        {
            if (ex->request().path == "/odd")
                throw std::bad_alloc();
            ex->respond(200, {}, "whole");
        });
    result<http_reply> reply = call(loop, {.url = url_of(server, "/odd")});
    REQUIRE(reply);
    CHECK(reply->status == 500);

    http_client client(loop);
    loop_timer limit(loop, [&] { loop.break_loop(ev::ALL); });
    limit.start(std::chrono::seconds(5));
    std::optional<result<http_reply>> cut;
    client.send(
        {.url = url_of(server, "/")},
        [](result<http_reply> const&) { throw std::bad_alloc(); });
    client.send(
        {.url = url_of(server, "/")},
        [&](result<http_reply> r) { cut = std::move(r); },
        [](int, std::string_view) -> bool { throw std::bad_alloc(); });
    client.send(
        {.url = url_of(server, "/")},
        [&](result<http_reply> r) { reply = std::move(r); });
    loop_timer poll(
        loop,
        [&]
        {
            if (client.active() == 0)
                loop.break_loop(ev::ALL);
        });
    poll.start_every(std::chrono::milliseconds(2));
    loop.run();
    REQUIRE(cut);
    CHECK_FALSE(*cut);
    REQUIRE(reply);
    CHECK(reply->body == "whole");
}
