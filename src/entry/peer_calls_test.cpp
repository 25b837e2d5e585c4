#include "entry/peer_calls.hpp"

#include "wire/frame.hpp"

#include <catch2/catch.hpp>

using namespace marjorambeam;
using std::chrono::milliseconds;

namespace
{

// An entry that sends calls and one that replies.
struct two_entries
{
    two_entries()
    {
        a.identity = {.instance = "a", .self = 1};
        b.identity = {.instance = "b", .self = 2};
        a.peers["b"] = {.instance = "b", .address = listener->address()};
        server.serve(
            "echo", [](std::string_view from, std::string_view body)
            { return std::string(from) + ":" + std::string(body); });
        server.serve(
            "note",
            [this](std::string_view, std::string_view body)
                -> std::optional<std::string>
            {
                received = body;
                return std::nullopt;
            });
    }

    bool run_until(std::function<bool()> const& condition)
    {
        steady_time const end = steady_now() + std::chrono::seconds(10);
        while (!condition() && steady_now() < end)
            loop.run(ev::ONCE);
        return condition();
    }

    void call(std::string const& name, duration timeout)
    {
        client.call(
            "b", name, "hi", timeout,
            [this](result<std::string> r) { replies.push_back(std::move(r)); });
    }

    ev::dynamic_loop loop;
    cluster_state a;
    cluster_state b;
    peer_calls server{loop, b, {}};
    std::vector<std::shared_ptr<frame_connection>> accepted;
    std::optional<frame_listener> listener{
        std::in_place, loop, "127.0.0.1:0",
        [this](std::shared_ptr<frame_connection> const& c)
        {
            accepted.push_back(c);
            c->on_message([this, raw = c.get()](message&& m)
                          { server.handle(raw->shared_from_this(), m); });
        }};
    std::vector<std::string> refused;
    peer_calls client{
        loop, a, {.on_refused = [this](std::string_view instance) {
            refused.emplace_back(instance);
        }}};
    std::vector<result<std::string>> replies;
    std::string received;
};

} // namespace

// Guards against replies that are matched to the wrong call, replies to one-way
// calls, and bytes that are not counted.
TEST_CASE("peer calls share one connection")
{
    two_entries f;
    f.client.send("b", "note", "news");
    f.call("echo", std::chrono::seconds(5));
    f.call("echo", std::chrono::seconds(5));
    CHECK(f.replies.empty());
    REQUIRE(f.run_until([&] { return f.replies.size() == 2; }));
    CHECK(f.replies[0].value() == "a:hi");
    CHECK(f.received == "news");
    CHECK(f.client.outstanding() == 0);
    CHECK(f.client.connections() == 1);
    CHECK(f.accepted.size() == 1);
    std::size_t const bytes =
        encode_frame(peer_call{0, false, "note", "news"}).size() +
        2 * encode_frame(peer_call{1, false, "echo", "hi"}).size();
    CHECK(
        f.a.counters.counter("peer_call_bytes_total", "sent") ==
        static_cast<double>(bytes));
    CHECK(
        f.b.counters.counter("peer_call_bytes_total", "received") ==
        static_cast<double>(bytes));
    f.client.tick(steady_now() + std::chrono::minutes(2));
    CHECK(f.client.connections() == 0);
}

// Guards against calls that never complete when the entry is stopped, silent or
// unknown.
TEST_CASE("peer calls without a reply fail")
{
    two_entries f;
    f.call("note", milliseconds(5));
    REQUIRE(f.run_until([&] { return f.replies.size() == 1; }));
    CHECK(f.replies[0].error().kind == error_kind::upstream_silent);

    f.call("note", std::chrono::seconds(60));
    REQUIRE(f.run_until(
        [&] {
            return f.b.counters.counter("peer_calls_served_total", "note") == 2;
        }));
    f.accepted[0]->close();
    REQUIRE(f.run_until([&] { return f.replies.size() == 2; }));
    CHECK(f.replies[1].error().kind == error_kind::connection_lost);

    f.call("note", std::chrono::seconds(60));
    f.client.tick(steady_now() + std::chrono::seconds(2));
    REQUIRE(f.replies.size() == 3);
    CHECK(f.replies[2].error().kind == error_kind::connection_silent);

    f.listener.reset();
    CHECK(f.refused.empty());
    f.call("echo", std::chrono::seconds(60));
    REQUIRE(f.run_until([&] { return f.replies.size() == 4; }));
    CHECK(f.refused == std::vector<std::string>{"b"});

    f.a.peers.clear();
    f.call("echo", std::chrono::seconds(60));
    REQUIRE(f.run_until([&] { return f.replies.size() == 5; }));
    CHECK(f.replies[4].error().kind == error_kind::not_found);
}
