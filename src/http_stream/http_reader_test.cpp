#include "http_stream/http_reader.hpp"

#include <catch2/catch.hpp>

using namespace marjorambeam;

namespace
{

result<std::size_t> read_request(std::string_view bytes)
{
    request_reader r({.max_header_bytes = 1024, .max_body_bytes = 64});
    return r.put(bytes);
}

} // namespace

// Guards against a request that depends on how the network cuts its bytes.
TEST_CASE("A request is the same whether it comes whole or byte by byte")
{
    std::string const bytes =
        "POST /a/b?c=1 HTTP/1.1\r\nHost: h\r\nX-One: 1\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
        "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    request_reader whole({});
    REQUIRE(whole.put(bytes) == bytes.size());
    request_reader slow({});
    std::string held;
    for (char c : bytes)
    {
        held.push_back(c);
        result<std::size_t> const n = slow.put(held);
        REQUIRE(n);
        held.erase(0, *n);
    }
    REQUIRE(whole.is_done());
    REQUIRE(slow.is_done());
    http_request_message const a = whole.take();
    http_request_message const b = slow.take();
    CHECK(a.target == "/a/b?c=1");
    CHECK(a.body == "abcde");
    CHECK(b.body == a.body);
    CHECK(b.headers == a.headers);
    CHECK(find_header(a.headers, "x-one") == "1");
}

// Guards against one caller's bytes becoming two requests at an upstream.
TEST_CASE("Ambiguous framing is refused")
{
    std::string const head = "POST / HTTP/1.1\r\nHost: h\r\n";
    CHECK_FALSE(read_request(
        head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
               "0\r\n\r\n"));
    CHECK_FALSE(read_request(
        head + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n"
               "0\r\n\r\n"));
    CHECK_FALSE(read_request(
        head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"));
    CHECK_FALSE(read_request(head + "Content-Length: +3\r\n\r\nabc"));
    CHECK_FALSE(read_request(head + "Content-Length : 3\r\n\r\nabc"));
    CHECK_FALSE(
        read_request(head + "Transfer-Encoding: chunked\r\n\r\nxx\r\nabc"));
    CHECK_FALSE(read_request("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n"));
    CHECK_FALSE(read_request("GET / HTTP/1.1\r\n\r\n"));
    CHECK_FALSE(read_request("GET / HTTP/1.1\nHost: a\n\n"));
}

// Guards against a request behind another one being taken for its body.
TEST_CASE("A reader stops at the end of its request")
{
    std::string const first =
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab";
    request_reader r({});
    REQUIRE(r.put(first + "GET /x HTTP/1.1\r\n") == first.size());
    CHECK(r.is_done());
    CHECK(r.take().body == "ab");
}

// Guards against a sender that makes a gateway hold more than its limits.
TEST_CASE("Limits of head and body are kept")
{
    std::string const head = "POST / HTTP/1.1\r\nHost: h\r\n";
    auto const long_head =
        read_request(head + "X: " + std::string(2000, 'a') + "\r\n\r\n");
    REQUIRE_FALSE(long_head);
    CHECK(long_head.error().kind == error_kind::header_too_large);
    auto const long_body = read_request(
        head + "Content-Length: 65\r\n\r\n" + std::string(65, 'a'));
    REQUIRE_FALSE(long_body);
    CHECK(long_body.error().kind == error_kind::body_too_large);
}

// Guards against headers of one connection being passed on to the next.
TEST_CASE("Headers that concern one connection are left out")
{
    request_reader r({});
    REQUIRE(r.put("GET / HTTP/1.1\r\nHost: h\r\nConnection: close, X-Hop\r\n"
                  "X-Hop: 1\r\nKeep-Alive: timeout=3\r\nX-Kept: 2\r\n\r\n"));
    http_request_message const m = r.take();
    CHECK_FALSE(m.keep_alive);
    CHECK(find_header(m.headers, "X-Hop").empty());
    CHECK(find_header(m.headers, "Keep-Alive").empty());
    CHECK(find_header(m.headers, "X-Kept") == "2");
}

// Guards against an answer that was cut being taken for a whole one.
TEST_CASE("Only a complete response counts as done")
{
    response_reader cut(false);
    REQUIRE(cut.put("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc"));
    CHECK_FALSE(cut.is_done());
    CHECK_FALSE(cut.put_end());

    response_reader chunks(false);
    REQUIRE(chunks.put("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                       "3\r\nabc\r\n"));
    CHECK(chunks.take_body() == "abc");
    CHECK_FALSE(chunks.put_end());

    response_reader open(false);
    REQUIRE(open.put("HTTP/1.1 200 OK\r\n\r\nabc"));
    CHECK_FALSE(open.is_done());
    CHECK_FALSE(open.head().keep_alive);
    CHECK(open.put_end());
    CHECK(open.is_done());
}

// Guards against bytes that are no answer reaching a caller.
TEST_CASE("Bytes that are no response are an error")
{
    response_reader r(false);
    result<std::size_t> const n = r.put("this is no response\r\n\r\n");
    REQUIRE_FALSE(n);
    CHECK(n.error().kind == error_kind::answer_corrupt);
}

// Guards against an interim response being taken for the answer.
TEST_CASE("Interim responses are skipped")
{
    response_reader r(false);
    std::string const bytes = "HTTP/1.1 100 Continue\r\n\r\n"
                              "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                              "Keep-Alive: timeout=7\r\n\r\nok";
    REQUIRE(r.put(bytes) == bytes.size());
    CHECK(r.is_done());
    CHECK(r.head().status == 200);
    CHECK(r.head().keep_alive_seconds == 7);
    CHECK(r.take_body() == "ok");
}

// Guards against memory that is taken for bytes that never come: a length is
// only an announcement, and one of 100 GB ended a process.
TEST_CASE("An announced length takes no memory")
{
    response_reader r(false);
    REQUIRE(r.put("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\nabc"));
    REQUIRE(r.is_head_done());
    CHECK(r.head().length == 99999999999);
    CHECK(r.take_body() == "abc");
    response_reader chunked(false);
    REQUIRE(chunked.put("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                        "fffffffff\r\nabc"));
    CHECK_FALSE(chunked.head().length);
    CHECK(chunked.take_body() == "abc");
    request_reader q({.max_body_bytes = std::size_t{1} << 40U});
    REQUIRE(q.put("POST / HTTP/1.1\r\nHost: h\r\n"
                  "Content-Length: 999999999999\r\n\r\nabc"));
    CHECK(q.announced_length() == 999999999999);
    CHECK(q.body_bytes() == 3);
}

// Guards against a request inside the body of another one: with a coding that
// is not known, the body would be read as the next request.
TEST_CASE("A request with another coding than chunks is refused")
{
    std::string const head = "POST / HTTP/1.1\r\nHost: h\r\n";
    for (char const* coding :
         {"identity", "xchunked", "chunked, chunked", "chunked, identity",
          "gzip, chunked", "gzip", ""})
    {
        INFO(coding);
        CHECK_FALSE(read_request(
            head + "Transfer-Encoding: " + coding +
            "\r\n\r\n5\r\nabcde\r\n0\r\n\r\n"));
    }
    CHECK_FALSE(read_request(
        head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n"
               "\r\n0\r\n\r\n"));
    CHECK(read_request(
        head + "Transfer-Encoding: Chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n"));
}
