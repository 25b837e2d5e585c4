// Answers that are none by the protocol, or not whole.
#include "event_loop/event_loop.hpp"
#include "http_client/http_client.hpp"
#include "http_client/http_client_test_support.hpp"

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>

using namespace marjorambeam;
using namespace marjorambeam::test;
using std::chrono::milliseconds;

namespace
{

struct call_result
{
    result<http_reply> reply;
    std::string streamed; // what a data handler was given
};

call_result call(ev::loop_ref loop, std::string const& url, std::string body)
{
    http_client client(loop);
    call_result r{.reply = fail(error_kind::internal, "no reply")};
    client.send(
        {.method = "POST",
         .url = url,
         .body = std::move(body),
         .timeout = std::chrono::seconds(3)},
        [&](result<http_reply> reply)
        {
            r.reply = std::move(reply);
            loop.break_loop(ev::ALL);
        },
        [&](int, std::string_view bytes)
        {
            r.streamed += bytes;
            return true;
        });
    loop.run();
    return r;
}

call_result
answer_to_call(std::string const& answer, std::string const& body = "b")
{
    ev::dynamic_loop loop;
    raw_server const server(loop, raw_server::answering(answer));
    return call(loop, server.url(), body);
}

} // namespace

// Guards against an answer whose status is none being taken for a success.
TEST_CASE("a call fails when the status of its answer is none")
{
    std::string const status =
        GENERATE(as<std::string>{}, "000", "001", "099", "600", "999");
    CAPTURE(status);
    call_result const r = answer_to_call(
        "HTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\nok");
    REQUIRE_FALSE(r.reply);
    CHECK(r.reply.error().kind == error_kind::answer_corrupt);
    CHECK(r.reply.error().run == run_state::unknown);
    CHECK(r.streamed.empty());
}

// Guards against a head that is taken with a line that names no field.
TEST_CASE("a call fails when the head of its answer has a malformed field")
{
    std::string const field = GENERATE(
        as<std::string>{}, "X Odd: 1", "X\tOdd: 1", "X\x01Odd: 1",
        "X\x7fOdd: 1", "X-Odd : 1", ": 1", "X-Odd", "Content Length: 1",
        "Content-Length : 1", "X(Odd): 1");
    CAPTURE(field);
    call_result const r = answer_to_call(
        "HTTP/1.1 200 OK\r\n" + field + "\r\nContent-Length: 2\r\n\r\nok");
    REQUIRE_FALSE(r.reply);
    CHECK(r.streamed.empty());
}

// Guards against a body that was never decoded.
TEST_CASE("a call fails when its answer has an unknown transfer coding")
{
    std::string const coding =
        GENERATE(as<std::string>{}, "gzip, chunked", "xchunked", "chunked, x");
    CAPTURE(coding);
    call_result const r = answer_to_call(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding +
        "\r\n\r\n2\r\nok\r\n0\r\n\r\n");
    CHECK_FALSE(r.reply);
    CHECK(r.streamed.empty());
}

// Guards against the headers of an interim answer, or of a trailer, being taken
// for those of the answer.
TEST_CASE("only the final head gives an answer its headers")
{
    call_result const r = answer_to_call(
        "HTTP/1.1 103 X\r\nX-Early: 1\r\nContent-Type: a\r\n\r\n"
        "HTTP/1.1 200 OK\r\nX-Own: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        "2\r\nok\r\n0\r\nX-Own: 2\r\nX-Late: 1\r\n\r\n");
    REQUIRE(r.reply);
    CHECK(r.streamed == "ok");
    CHECK_FALSE(r.reply->headers.contains("x-early"));
    CHECK_FALSE(r.reply->headers.contains("content-type"));
    CHECK_FALSE(r.reply->headers.contains("x-late"));
    CHECK(r.reply->headers.at("x-own") == "1");
}

// Guards against an answer that depends on how the network cuts its bytes.
TEST_CASE("an answer to a call is the same in all pieces")
{
    constexpr duration between_pieces = milliseconds(3);
    std::string const head = "HTTP/1.1 200 OK\r\nX-Own: 1\r\n";
    std::string const answer = GENERATE_COPY(
        head + "Content-Length: 5\r\n\r\nhello",
        head + "Transfer-Encoding: chunked\r\n\r\n"
               "3\r\nhel\r\n2;a=b\r\nlo\r\n0\r\nX-Late: 1\r\n\r\n",
        "HTTP/1.1 103 X\r\nX-Early: 1\r\n\r\n" + head + "\r\nhello");
    for (std::size_t cut = 1; cut < answer.size(); ++cut)
    {
        INFO("cut at " << cut << " of " << answer);
        ev::dynamic_loop loop;
        std::unique_ptr<loop_timer> rest;
        raw_server const server(
            loop,
            [&](tcp_stream& s)
            {
                s.send(answer.substr(0, cut));
                rest = std::make_unique<loop_timer>(
                    loop,
                    [&]
                    {
                        s.send(answer.substr(cut));
                        s.close_after_output();
                    });
                rest->start(between_pieces);
            });
        call_result const r = call(loop, server.url(), "b");
        REQUIRE(r.reply);
        CHECK(r.streamed == "hello");
        CHECK(r.reply->headers.at("x-own") == "1");
        CHECK_FALSE(r.reply->headers.contains("x-early"));
        CHECK_FALSE(r.reply->headers.contains("x-late"));
    }
}

// Guards against a part of an answer that looks whole: the server ends the
// connection while the request is being sent.
TEST_CASE("an answer without a length fails when the upload is cut")
{
    std::size_t const bytes = GENERATE(400'000U, 1'000'000U, 16'000'000U);
    bool const ends_first = GENERATE(true, false);
    CAPTURE(bytes, ends_first);
    ev::dynamic_loop loop;
    std::optional<loop_timer> timer;
    raw_server server(
        loop,
        [&](tcp_stream& s)
        {
            s.send("HTTP/1.1 200 OK\r\n\r\npart");
            if (ends_first)
                s.close_after_output();
            timer.emplace(loop, [&s] { s.close(); });
            timer->start(milliseconds(100));
        });
    call_result const r = call(loop, server.url(), std::string(bytes, 'b'));
    REQUIRE_FALSE(r.reply);
    CHECK(r.reply.error().run == run_state::unknown);
}

// Guards against a part of an answer that looks whole: all of the request has
// left, but the server resets the connection with a part of it unread, right
// behind the end of its sending side.
TEST_CASE("an answer without a length fails when a reset follows its end")
{
    std::size_t const bytes = GENERATE(60'000U, 400'000U);
    CAPTURE(bytes);
    ev::dynamic_loop loop;
    raw_server server(
        loop,
        [](tcp_stream& s)
        {
            s.send("HTTP/1.1 200 OK\r\n\r\npart");
            s.close_after_output();
            s.close(); // resets it, as a part of the request is unread
        });
    call_result const r = call(loop, server.url(), std::string(bytes, 'b'));
    REQUIRE_FALSE(r.reply);
    CHECK(r.reply.error().run == run_state::unknown);
}

// Guards against an answer that fails for the reset of an earlier connection.
TEST_CASE("an answer without a length is whole on a sound connection")
{
    ev::dynamic_loop loop;
    bool is_reset = true;
    raw_server server(
        loop,
        [&](tcp_stream& s)
        {
            s.send("HTTP/1.1 200 OK\r\n\r\nwhole");
            s.close_after_output();
            if (is_reset)
                s.close();
        });
    CHECK_FALSE(call(loop, server.url(), std::string(60'000, 'b')).reply);
    is_reset = false;
    call_result const r = call(loop, server.url(), "b");
    REQUIRE(r.reply);
    CHECK(r.streamed == "whole");
}

// Guards against an answer that is refused for what follows it: it ends with
// its head, so that a reset behind it cuts nothing.
TEST_CASE("an answer that has no body is whole before a reset")
{
    std::string const head = GENERATE(
        as<std::string>{}, "HTTP/1.1 204 No Content\r\n",
        "HTTP/1.1 304 Not Modified\r\n");
    std::string const field =
        GENERATE(as<std::string>{}, "", "Connection: close\r\n");
    CAPTURE(head, field);
    ev::dynamic_loop loop;
    raw_server server(
        loop,
        [&](tcp_stream& s)
        {
            s.send(head + field + "\r\n");
            s.close_after_output();
            s.close(); // resets it, as a part of the request is unread
        });
    call_result const r = call(loop, server.url(), std::string(60'000, 'b'));
    REQUIRE(r.reply);
    CHECK(r.reply->body.empty());
}
