#include "instance_list.hpp"

#include "http_client/http_client.hpp"

#include <catch2/catch.hpp>

using namespace marjorambeam;

// Guards against a list without lag, which would hide that daemons depend on
// it being fresh.
TEST_CASE("the history returns instances as of an earlier time")
{
    instance_history h;
    steady_time const t0{std::chrono::seconds(1000)};
    auto const s = [](int n) { return std::chrono::seconds(n); };
    h.change("a", listed_instance{.address = "127.0.0.1:1"}, t0);
    h.change("a", listed_instance{.state = "leaving"}, t0 + s(5));
    h.change("a", std::nullopt, t0 + s(9));
    CHECK(h.as_of(t0 - s(1)).empty());
    CHECK(h.as_of(t0 + s(4)).at("a").state == "live");
    CHECK(h.as_of(t0 + s(8)).at("a").state == "leaving");
    CHECK(h.as_of(t0 + s(9)).empty());
}

// Guards against faults and changes over HTTP that have no effect.
TEST_CASE("instances are put, listed and hidden by faults over HTTP")
{
    ev::dynamic_loop loop;
    fake_instance_list list(loop, "127.0.0.1:0");
    http_client client(loop);
    auto call =
        [&](std::string method, std::string const& path, std::string body)
    {
        http_reply reply;
        client.send(
            {.method = std::move(method),
             .url = list.url() + path,
             .body = std::move(body)},
            [&](result<http_reply> r)
            {
                REQUIRE(r);
                reply = std::move(*r);
                loop.break_loop(ev::ALL);
            });
        loop.run();
        return reply;
    };
    std::string const agent =
        R"({"role":"agent","zone":"hitra","upstream":"gpu-1",)"
        R"("address":"127.0.0.1:7","admin":"","state":"leaving"})";
    CHECK(call("PUT", "/v1/instances/a", agent).status == 200);
    CHECK(call("PUT", "/v1/instances/b", R"({"role":"x"})").status == 400);
    CHECK(
        call("GET", "/v1/instances", "").body.find("\"leaving\"") !=
        std::string::npos);
    CHECK(call("PUT", "/faults", R"({"lag_ms":60000})").status == 200);
    CHECK(call("GET", "/v1/instances", "").body == R"({"instances":[]})");
    CHECK(call("PUT", "/faults", R"({"down":true})").status == 200);
    CHECK(call("GET", "/v1/instances", "").status == 503);
}
