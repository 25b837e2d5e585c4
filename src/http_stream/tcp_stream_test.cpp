#include "http_stream/tcp_stream.hpp"

#include "event_loop/event_loop.hpp"

#include <catch2/catch.hpp>
#include <new>
#include <string>

using namespace marjorambeam;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

// Both ends of a connection.
struct connected_pair
{
    connected_pair()
        : listener(
              loop, "127.0.0.1:0", {},
              [this](std::shared_ptr<tcp_stream> s)
              { accepted = std::move(s); })
    {
        caller = tcp_stream::connect(
                     loop, "127.0.0.1:" + std::to_string(listener.port()), {})
                     .value();
        run_until([&] { return accepted != nullptr; });
    }
    bool run_until(std::function<bool()> const& done)
    {
        steady_time const end = boot_now() + seconds(5);
        loop_timer poll(
            loop,
            [&]
            {
                if (done() || boot_now() > end)
                    loop.break_loop(ev::ONE);
            });
        poll.start_every(milliseconds(1));
        loop.run();
        return done();
    }

    ev::dynamic_loop loop;
    std::shared_ptr<tcp_stream> accepted;
    tcp_listener listener;
    std::shared_ptr<tcp_stream> caller;
};

} // namespace

// Guards against a process that ends with an exception of one connection, such
// as a lack of memory.
TEST_CASE("An exception ends the connection whose callback threw it")
{
    connected_pair p;
    REQUIRE(p.accepted);
    std::uint64_t const before = failed_callbacks();
    stream_end why = stream_end::not_reached;
    p.accepted->on_data([] { throw std::bad_alloc(); });
    p.accepted->on_end([&](stream_end e) { why = e; });
    p.caller->send("x");
    CHECK(p.run_until([&] { return !p.accepted->is_open(); }));
    CHECK(why == stream_end::reset);
    CHECK(failed_callbacks() == before + 1);
    // The end is reported although its callback throws as well.
    std::shared_ptr<tcp_stream> const first = std::move(p.accepted);
    p.caller = tcp_stream::connect(
                   p.loop, "127.0.0.1:" + std::to_string(p.listener.port()), {})
                   .value();
    REQUIRE(p.run_until([&] { return p.accepted != nullptr; }));
    p.accepted->on_data([] { throw std::length_error("too long"); });
    p.accepted->on_end([](stream_end) { throw std::bad_alloc(); });
    p.caller->send("x");
    CHECK(p.run_until([&] { return !p.accepted->is_open(); }));
}

// Guards against a buffer that grows for ever because it is never empty: its
// reader leaves the beginning of a line, and its sender is always a little
// behind.
TEST_CASE("What was taken from a buffer is given back")
{
    connected_pair p;
    REQUIRE(p.accepted);
    constexpr std::size_t all = std::size_t{8} << 20U;
    std::size_t received = 0;
    std::size_t largest = 0;
    p.accepted->on_data(
        [&]
        {
            std::size_t const n = p.accepted->input().size();
            received += n - 1;
            largest = std::max(largest, p.accepted->buffer_memory());
            p.accepted->consume(n - 1); // one byte is left each time
        });
    std::string const piece(std::size_t{64} << 10U, 'x');
    loop_timer sender(
        p.loop,
        [&]
        {
            // Never lets the output become empty.
            while (received < all && p.caller->unsent() < piece.size())
                p.caller->send(piece);
            largest = std::max(largest, p.caller->buffer_memory());
        });
    sender.start_every(milliseconds(1));
    CHECK(p.run_until([&] { return received >= all; }));
    CHECK(largest < std::size_t{1} << 20U);
}

// Guards against a copy of a large body, and against bytes out of order.
TEST_CASE("Owned output is sent in order and without a copy")
{
    connected_pair p;
    REQUIRE(p.accepted);
    std::string received;
    p.accepted->on_data(
        [&]
        {
            received.append(p.accepted->input());
            p.accepted->consume(p.accepted->input().size());
        });
    std::string const body(std::size_t{6} << 20U, 'x');
    p.caller->send("head ");
    p.caller->send_owned(std::string(body));
    CHECK(p.caller->buffer_memory() < body.size() + (std::size_t{64} << 10U));
    p.caller->send_owned(" tail");
    CHECK(p.run_until([&] { return received.size() == body.size() + 10; }));
    CHECK(received.substr(0, 6) == "head x");
    CHECK(received.substr(received.size() - 6) == "x tail");
}
