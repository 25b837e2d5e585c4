#include "event_loop/event_loop.hpp"
#include "fakes/relay/fake_relay.hpp"
#include "http_client/http_client.hpp"

#include <catch2/catch.hpp>

using namespace marjorambeam;

namespace
{

// A server behind a relay, and a client that keeps its connections open.
struct relay_rig
{
    ev::dynamic_loop loop;
    http_server server{
        loop, {}, [](auto const& ex) { ex->respond(200, {}, "hello"); }};
    fake_relay relay{
        loop, {.target = "127.0.0.1:" + std::to_string(server.port())}};
    http_client client{loop};

    // Status of one request, 0 when there was no answer in `limit`.
    int get(duration limit = std::chrono::seconds(5))
    {
        int status = 0;
        client.send(
            {.url = "http://" + relay.address() + "/", .timeout = limit},
            [&](result<http_reply> const& r)
            {
                status = r ? r->status : 0;
                loop.break_loop(ev::ALL);
            });
        loop.run();
        return status;
    }
};

} // namespace

// Guards against a silence that closes connections or holds up new ones, which
// would test another failure than the one that is meant.
TEST_CASE("silence holds for open connections only")
{
    relay_rig rig;
    REQUIRE(rig.get() == 200);
    rig.relay.silence_existing();
    CHECK(rig.get(std::chrono::milliseconds(200)) == 0);
    CHECK(rig.relay.counts().accepted == 1); // the old one was used
    CHECK(rig.get() == 200);
    CHECK(rig.relay.counts().accepted == 2);
}

// Guards against switches without effect, with which every test that uses
// them would pass.
TEST_CASE("connections are cut, refused and delayed")
{
    relay_rig rig;
    REQUIRE(rig.get() == 200);
    rig.relay.refuse_new(true);
    rig.relay.cut_existing();
    CHECK(rig.relay.counts().cut == 1);
    CHECK(rig.get() == 0);
    rig.relay.refuse_new(false);
    rig.relay.set_delay(std::chrono::milliseconds(50));
    steady_time const start = steady_now();
    CHECK(rig.get() == 200);
    CHECK(steady_now() - start >= std::chrono::milliseconds(100));
}

// Guards against a relay that passes on in one piece what it is told to cut.
TEST_CASE("what the target sends is cut into pieces")
{
    relay_rig rig;
    REQUIRE(rig.get() == 200);
    rig.relay.set_piece_bytes(1);
    steady_time const start = steady_now();
    CHECK(rig.get() == 200);
    // The head alone has more bytes than that.
    CHECK(steady_now() - start >= std::chrono::milliseconds(50));
    rig.relay.set_piece_bytes(0);
    CHECK(rig.get() == 200);
    CHECK(rig.relay.counts().accepted == 1);
}
