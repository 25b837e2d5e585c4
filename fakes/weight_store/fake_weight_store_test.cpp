#include "fakes/weight_store/fake_weight_store.hpp"
#include "http_client/http_client.hpp"

#include <catch2/catch.hpp>
#include <optional>

using namespace marjorambeam;

// Guards against a store that answers faster than its rate, or with other
// bytes for the same version.
TEST_CASE("weights are fetched at a limited rate")
{
    ev::dynamic_loop loop;
    http_client client(loop);
    fake_weight_store store(
        loop, {.weight_bytes = 100, .fetches_per_second = 1000000});
    auto const fetch = [&](fake_weight_store& from)
    {
        std::optional<result<http_reply>> out;
        client.send(
            {.url = from.url() + "/v1/weights/m@v1"},
            [&](result<http_reply> r) { out = std::move(r); });
        while (!out)
            loop.run(ev::ONCE);
        REQUIRE(*out);
        return **out;
    };
    http_reply const first = fetch(store);
    CHECK(first.status == 200);
    CHECK(first.body.size() == 100);
    CHECK(fetch(store).body == first.body);
    store.set_down(true);
    CHECK(fetch(store).status == 503);
    fake_weight_store slow(loop, {.fetches_per_second = 1});
    CHECK(fetch(slow).status == 200);
    CHECK(fetch(slow).status == 429);
    CHECK(slow.fetches() == 1);
}
