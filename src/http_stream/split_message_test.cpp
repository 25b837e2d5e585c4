// Messages that arrive in other pieces than their sender wrote: cut in two at
// each byte, and byte by byte.
#include "http_stream/event_stream.hpp"
#include "http_stream/http_reader.hpp"

#include <array>
#include <catch2/catch.hpp>
#include <functional>
#include <limits>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

using namespace marjorambeam;

namespace
{

// What a reader makes of a message.
struct outcome
{
    std::optional<error_kind> failure;
    bool is_done = false;
    std::size_t used = 0; // bytes of the message, not of what is behind it
    std::string first_line;
    header_list headers;
    std::string body;
    bool keep_alive = false;
    std::optional<std::uint64_t> length;

    bool operator==(outcome const&) const = default;
};

std::ostream& operator<<(std::ostream& out, outcome const& o)
{
    if (o.failure)
        return out << "error " << to_string(*o.failure);
    return out << (o.is_done ? "done" : "not done") << " after " << o.used
               << " bytes: " << o.first_line << ", " << o.headers.size()
               << " headers, body \"" << o.body << "\"";
}

using pieces = std::vector<std::string_view>;

// Gives a reader the pieces one after another, each with what is not used yet,
// as a connection does, until the message is done or has failed.
template <class Reader>
outcome feed(Reader& r, pieces const& all)
{
    outcome o;
    std::string unused;
    for (std::string_view it : all)
    {
        unused.append(it);
        while (!unused.empty() && !r.is_done())
        {
            result<std::size_t> const n = r.put(unused);
            if (!n)
                return {.failure = n.error().kind};
            unused.erase(0, *n);
            o.used += *n;
            if constexpr (requires { r.take_body(); })
            {
                if (r.is_head_done())
                    o.body += r.take_body();
            }
            if (*n == 0)
                break;
        }
    }
    o.is_done = r.is_done();
    return o;
}

outcome read_response(pieces const& all, bool has_no_body, bool ends)
{
    response_reader r(has_no_body);
    outcome o = feed(r, all);
    if (o.failure)
        return o;
    if (ends && !r.put_end())
        o.failure = error_kind::answer_cut;
    o.is_done = r.is_done();
    if (!r.is_head_done())
        return o;
    http_response_head const head = r.head();
    o.first_line = std::to_string(head.status);
    o.headers = head.headers;
    o.keep_alive = head.keep_alive;
    o.length = head.length;
    return o;
}

outcome read_request(pieces const& all)
{
    request_reader r({.max_header_bytes = 512, .max_body_bytes = 64});
    outcome o = feed(r, all);
    if (!o.is_done)
        return o;
    o.length = r.announced_length();
    http_request_message m = r.take();
    o.first_line = m.method + " " + m.target;
    o.headers = std::move(m.headers);
    o.body = std::move(m.body);
    o.keep_alive = m.keep_alive;
    return o;
}

// Checks that the message is read the same in all pieces.
void check_all_pieces(
    std::string_view message, std::function<outcome(pieces const&)> const& read)
{
    outcome const whole = read({message});
    for (std::size_t cut = 1; cut < message.size(); ++cut)
    {
        INFO("cut at " << cut);
        CHECK(read({message.substr(0, cut), message.substr(cut)}) == whole);
    }
    pieces bytes;
    for (std::size_t i = 0; i < message.size(); ++i)
        bytes.push_back(message.substr(i, 1));
    INFO("byte by byte");
    CHECK(read(bytes) == whole);
}

struct response_case
{
    char const* name;
    std::string message;
    std::string body{}; // expected
    bool has_no_body = false;
    bool ends_with_connection = false;
};

std::vector<response_case> response_cases()
{
    std::string const ok = "HTTP/1.1 200 OK\r\nX-One: 1\r\n";
    return {
        {"length", ok + "Content-Length: 5\r\n\r\nhello", "hello"},
        {"length of one byte", ok + "Content-Length: 1\r\n\r\nh", "h"},
        {"length of zero", ok + "Content-Length: 0\r\n\r\n"},
        {"no body by its status",
         "HTTP/1.1 204 No Content\r\nX-One: 1\r\n\r\n"},
        {"length of what did not change",
         "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n"},
        {"answer to HEAD", ok + "Content-Length: 5\r\n\r\n", "", true},
        {"chunks",
         ok + "Transfer-Encoding: chunked\r\n\r\n"
              "3\r\nhel\r\n2;name=value\r\nlo\r\n0\r\n\r\n",
         "hello"},
        {"chunks and a trailer",
         ok + "Transfer-Encoding: chunked\r\n\r\n"
              "a\r\nhello worl\r\n0\r\nX-Sum: 1\r\n\r\n",
         "hello worl"},
        {"end of the connection", ok + "\r\nhello", "hello", false, true},
        {"interim answers",
         "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
         "HTTP/1.1 100 Continue\r\n\r\n" +
             ok + "Content-Length: 5\r\n\r\nhello",
         "hello"},
        {"refusal",
         "HTTP/1.1 503 Busy\r\nX-Refused: 1\r\nRetry-After: 0.5\r\n"
         "Content-Length: 4\r\n\r\nbusy",
         "busy"},
        {"failure", "HTTP/1.0 500 X\r\nContent-Length: 3\r\n\r\nbad", "bad"}};
}

struct failing_case
{
    char const* name;
    std::string message;
};

std::vector<failing_case> failing_responses()
{
    std::string const ok = "HTTP/1.1 200 OK\r\n";
    return {
        {"no response", "this is no response\r\n\r\n"},
        {"status", "HTTP/1.1 000 X\r\nContent-Length: 1\r\n\r\nx"},
        {"length twice",
         ok + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab"},
        {"length and chunks",
         ok + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
              "0\r\n\r\n"},
        {"transfer coding", ok + "Transfer-Encoding: gzip\r\n\r\nabc"},
        {"size of a chunk",
         ok + "Transfer-Encoding: chunked\r\n\r\nxyz\r\nabc\r\n"}};
}

} // namespace

// Guards against an answer that is lost because its head arrives before its
// body (240 of 240 requests had run and were answered with 502).
TEST_CASE("A response is the same in all pieces")
{
    for (response_case const& it : response_cases())
    {
        INFO(it.name);
        auto const read = [&](pieces const& all)
        { return read_response(all, it.has_no_body, it.ends_with_connection); };
        outcome const whole = read({it.message});
        CHECK(whole.is_done);
        CHECK(whole.used == it.message.size());
        CHECK(whole.body == it.body);
        check_all_pieces(it.message, read);
    }
}

// Guards against bytes behind a response that count as a part of it if they
// arrive with it.
TEST_CASE("A response ends at its end in all pieces")
{
    for (response_case const& it : response_cases())
    {
        if (it.ends_with_connection)
            continue;
        INFO(it.name);
        std::string const behind = "HTTP/1.1 200 OK\r\n\r\n";
        auto const read = [&](pieces const& all)
        { return read_response(all, it.has_no_body, false); };
        CHECK(read({it.message + behind}).used == it.message.size());
        check_all_pieces(it.message + behind, read);
    }
}

// Guards against bytes that are an error as a whole and an answer in pieces.
TEST_CASE("A broken response is an error in all pieces")
{
    for (failing_case const& it : failing_responses())
    {
        INFO(it.name);
        auto const read = [](pieces const& all)
        { return read_response(all, false, false); };
        CHECK(read({it.message}).failure == error_kind::answer_corrupt);
        check_all_pieces(it.message, read);
    }
}

// Guards against a length that is compared with a limit that is none, in
// versions of the library that take none for the smallest one.
TEST_CASE("No length of a response is too long for its reader")
{
    std::uint64_t const length = GENERATE(
        std::uint64_t{1}, std::uint64_t{1} << 32U,
        std::numeric_limits<std::uint64_t>::max());
    response_reader r(false);
    std::string const head =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(length) +
        "\r\n\r\n";
    REQUIRE(r.put(head) == head.size());
    REQUIRE(r.is_head_done());
    CHECK(r.head().length == length);
    CHECK_FALSE(r.is_done());
    CHECK(r.put("a") == 1U);
    CHECK(r.take_body() == "a");
}

// Guards against a request that depends on how the network cuts its bytes.
TEST_CASE("A request is the same in all pieces")
{
    std::string const post = "POST /a?b=1 HTTP/1.1\r\nHost: h\r\nX-One: 1\r\n";
    std::array const messages{
        std::string("GET /a?b=1 HTTP/1.1\r\nHost: h\r\n\r\n"),
        std::string("HEAD /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"),
        post + "Content-Length: 5\r\n\r\nhello",
        post + "Content-Length: 0\r\n\r\n",
        post + "Expect: 100-continue\r\nContent-Length: 5\r\n\r\nhello",
        post + "Transfer-Encoding: chunked\r\n\r\n"
               "3\r\nhel\r\n2;name=value\r\nlo\r\n0\r\n\r\n",
        post + "Transfer-Encoding: chunked\r\n\r\n"
               "a\r\nhello worl\r\n0\r\nX-Sum: 1\r\n\r\n"};
    for (std::string const& it : messages)
    {
        INFO(it);
        outcome const whole = read_request({it});
        CHECK(whole.is_done);
        CHECK(whole.used == it.size());
        check_all_pieces(it, read_request);
        // The start of a pipelined request is no part of this one.
        std::string const behind = "GET /next HTTP/1.1\r\nHo";
        CHECK(read_request({it + behind}) == whole);
        check_all_pieces(it + behind, read_request);
    }
}

// Guards against a request that is refused as a whole and read in pieces, or
// the other way round.
TEST_CASE("A broken request is an error in all pieces")
{
    std::string const post = "POST / HTTP/1.1\r\nHost: h\r\n";
    std::array const messages{
        std::pair(
            post + "Content-Length: 65\r\n\r\n" + std::string(65, 'a'),
            error_kind::body_too_large),
        std::pair(
            post + "Transfer-Encoding: chunked\r\n\r\n41\r\n" +
                std::string(65, 'a') + "\r\n0\r\n\r\n",
            error_kind::body_too_large),
        std::pair(
            post + "X: " + std::string(600, 'a') + "\r\n\r\n",
            error_kind::header_too_large),
        std::pair(
            post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
            error_kind::bad_request),
        std::pair(
            post + "Transfer-Encoding: gzip\r\n\r\nabc",
            error_kind::bad_request),
        std::pair(
            std::string("GET / HTTP/1.1\r\n\r\n"), error_kind::bad_request)};
    for (auto const& [message, kind] : messages)
    {
        INFO(message);
        CHECK(read_request({message}).failure == kind);
        check_all_pieces(message, read_request);
    }
}

// Guards against a head that is within its limit in some pieces only.
TEST_CASE("A head near its limit is the same in all pieces")
{
    constexpr std::size_t request_limit = 512;
    constexpr std::size_t response_limit = 8192;
    std::size_t const below = GENERATE(1, 0);
    bool const is_over = GENERATE(false, true);
    auto const message = [&](std::string const& start, std::size_t limit)
    {
        std::size_t const size = is_over ? limit + 1 + below : limit - below;
        std::string fields = "Host: h\r\nContent-Length: 1\r\nX: ";
        std::string const end = "\r\n\r\n";
        fields += std::string(size - fields.size() - end.size(), 'a') + end;
        return start + fields + "b";
    };
    CAPTURE(below, is_over);
    std::string const request = message("POST /a HTTP/1.1\r\n", request_limit);
    CHECK(read_request({request}).is_done == !is_over);
    check_all_pieces(request, read_request);
    std::string const response = message("HTTP/1.1 200 OK\r\n", response_limit);
    auto const read = [](pieces const& all)
    { return read_response(all, false, false); };
    CHECK(read({response}).is_done == !is_over);
    check_all_pieces(response, read);
}

// Guards against a head of any size: the parser consumes whole lines if the
// first byte of the next one is there, and its limit holds for the rest only.
TEST_CASE("A head of many lines in pieces keeps to its limit")
{
    std::string const line = "X-Line: " + std::string(100, 'a') + "\r\n";
    constexpr std::size_t lines = 200;
    auto const feed_lines = [&](auto& r, std::string const& start)
    {
        std::string unused = start + line.substr(0, 1);
        for (std::size_t i = 0; i < lines; ++i)
        {
            result<std::size_t> const n = r.put(unused);
            if (!n)
                return i;
            unused.erase(0, *n);
            unused += line.substr(1) + line.substr(0, 1);
        }
        return lines;
    };
    request_reader q({.max_header_bytes = 512, .max_body_bytes = 64});
    CHECK(feed_lines(q, "GET / HTTP/1.1\r\nHost: h\r\n") <= 5);
    response_reader r(false);
    CHECK(feed_lines(r, "HTTP/1.1 200 OK\r\n") <= 80);
}

// Guards against an event that is passed on in part, or ends elsewhere, because
// of how the network cuts it.
TEST_CASE("Events are the same in all pieces")
{
    std::string const stream = "id: 1\ndata: a\n\n"
                               ": comment\n\n"
                               "weight-versions: 2\r\nid: 2\r\ndata: b\r\n\r\n"
                               "id: 3\ndata: c\ndata: d\n\n"
                               "id: 4\nda";
    auto const read = [](pieces const& all)
    {
        event_splitter s;
        outcome o;
        for (std::string_view it : all)
            o.body += s.put(it);
        o.is_done = s.has_partial();
        o.used = s.events();
        o.length = s.last_id();
        return o;
    };
    outcome const whole = read({stream});
    CHECK(whole.body == stream.substr(0, stream.size() - 8));
    CHECK(whole.used == 3);
    check_all_pieces(stream, read);
}
