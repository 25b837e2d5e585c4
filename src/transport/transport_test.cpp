#include "transport/transport.hpp"

#include "event_loop/event_loop.hpp"

#include <catch2/catch.hpp>

using namespace marjorambeam;

// Guards against frames lost or out of order on a busy connection.
TEST_CASE("many frames arrive in order and a close is reported")
{
    constexpr std::uint64_t count = 5000;
    ev::dynamic_loop loop;
    std::shared_ptr<frame_connection> server;
    std::uint64_t seen = 0;
    frame_listener listener(
        loop, "127.0.0.1:0",
        [&](std::shared_ptr<frame_connection> const& c)
        {
            server = c;
            server->on_message(
                [&](message&& m)
                {
                    REQUIRE(std::get<answer_chunk>(m).sequence == seen);
                    if (++seen == count)
                        server->close();
                });
        });
    auto client = frame_connection::connect(loop, listener.address());
    bool is_closed = false;
    client->on_close(
        [&](error const&)
        {
            is_closed = true;
            loop.break_loop(ev::ALL);
        });
    for (std::uint64_t i = 0; i < count; ++i)
    {
        client->send(
            answer_chunk{.sequence = i, .bytes = std::string(100, 'x')});
    }
    loop.run();
    CHECK(seen == count);
    CHECK(is_closed);
}

// Guards against a refused connection that is never reported.
TEST_CASE("a refused connection is reported as not run")
{
    ev::dynamic_loop loop;
    std::string address;
    {
        frame_listener listener(loop, "127.0.0.1:0", [](auto) {});
        address = listener.address();
    }
    auto client = frame_connection::connect(loop, address);
    run_state run = run_state::ran;
    client->on_close(
        [&](error const& e)
        {
            run = e.run;
            loop.break_loop(ev::ALL);
        });
    loop.run();
    CHECK(run == run_state::not_run);
}

// Guards against malformed datagrams that end the process or pass unseen.
TEST_CASE("datagrams are delivered and malformed ones are reported")
{
    ev::dynamic_loop loop;
    int delivered = 0;
    datagram_socket receiver(
        loop, "127.0.0.1:0",
        [&](message&& m)
        {
            delivered += std::get<digest>(m).generation == 9 ? 1 : 0;
            loop.break_loop(ev::ALL);
        },
        [](error const&) {});
    datagram_socket sender(
        loop, "127.0.0.1:0", [](message&&) {}, [](error const&) {});
    sender.send(receiver.address(), digest{.generation = 9});
    loop.run();
    CHECK(delivered == 1);
}

// Guards against a daemon that can't start because the kernel chose a TCP port
// whose number is taken for datagrams.
TEST_CASE("a chosen port is free for datagrams")
{
    ev::dynamic_loop loop;
    std::vector<std::unique_ptr<frame_listener>> listeners;
    std::vector<std::unique_ptr<datagram_socket>> sockets;
    constexpr int daemons = 300;
    for (int i = 0; i < daemons; ++i)
    {
        listeners.push_back(
            std::make_unique<frame_listener>(loop, "127.0.0.1:0", [](auto) {}));
        sockets.push_back(std::make_unique<datagram_socket>(
            loop, listeners.back()->address(), [](message&&) {},
            [](error const&) {}));
    }
    CHECK(sockets.size() == daemons);
}
