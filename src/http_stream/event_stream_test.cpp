#include "http_stream/event_stream.hpp"

#include <catch2/catch.hpp>

using namespace marjorambeam;

// Guards against half an event reaching a caller before its upstream breaks
// off, which no other upstream could complete.
TEST_CASE("Only whole events are passed on")
{
    event_splitter s;
    CHECK(s.put("id: 0\ndata: a\n").empty());
    CHECK(s.has_partial());
    CHECK(s.put("\nid: 1\nda") == "id: 0\ndata: a\n\n");
    CHECK(s.last_id() == 0U);
    s.restart();
    CHECK_FALSE(s.has_partial());
    CHECK(s.put("id: 1\ndata: b\n\n") == "id: 1\ndata: b\n\n");
    CHECK(s.events() == 2);
}

// Guards against a resumed stream that repeats what the caller has.
TEST_CASE("Events that the caller has are left out")
{
    event_splitter s;
    s.start_after(4);
    CHECK(
        s.put("id: 4\ndata: x\n\nid: 5\ndata: y\n\n") == "id: 5\ndata: y\n\n");
    CHECK_FALSE(s.has_gap());
}

// Guards against a resumed stream in which a piece is missing.
TEST_CASE("A gap between events is noticed and nothing behind it passed on")
{
    event_splitter s;
    s.put("id: 1\ndata: a\n\n");
    CHECK(s.put("id: 3\ndata: c\n\nid: 4\ndata: d\n\n").empty());
    CHECK(s.has_gap());
    CHECK(s.last_id() == 1U);
}

// Guards against line ends with a carriage return, and ids behind a first line
// of another field.
TEST_CASE("Events are found with either line end")
{
    event_splitter s;
    std::string const event = "weight: 2\r\nid: 7\r\ndata: a\r\n\r\n";
    CHECK(s.put(event) == event);
    CHECK(s.last_id() == 7U);
}
