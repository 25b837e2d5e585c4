#include "fakes/rating_service/fake_rating_service.hpp"
#include "http_client/http_client.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <optional>

using namespace marjorambeam;

namespace
{

struct fixture
{
    http_reply call(char const* method, char const* path, std::string body = "")
    {
        std::optional<result<http_reply>> out;
        client.send(
            {.method = method,
             .url = service.url() + path,
             .body = std::move(body)},
            [&](result<http_reply> r) { out = std::move(r); });
        while (!out)
            loop.run(ev::ONCE);
        REQUIRE(*out);
        return **out;
    }
    int rate(std::string const& id, std::string const& version)
    {
        return call(
                   "POST", "/v1/ratings",
                   R"({"model":"m","prompt_bytes":3,"answer":"x",)"
                   R"("request_id":")" +
                       id + R"(","version":")" + version + "\"}")
            .status;
    }
    nlohmann::json list(char const* path)
    {
        return nlohmann::json::parse(call("GET", path).body)["ratings"];
    }

    ev::dynamic_loop loop;
    http_client client{loop};
    fake_rating_service service{loop, {}};
};

} // namespace

// Guards against ratings that ignore the version's quality, that are listed
// twice, and against faults that do nothing.
TEST_CASE("ratings follow the version's quality, late or never")
{
    fixture f;
    CHECK(
        f.call("PUT", "/quality", R"({"version":"m@v2","quality":0.3})")
            .status == 200);
    CHECK(f.rate("r-1", "v2") == 202);
    CHECK(f.rate("r-2", "v1") == 202);
    nlohmann::json const all = f.list("/v1/ratings?after=0");
    REQUIRE(all.size() == 2);
    CHECK(std::abs(all[0]["rating"].get<double>() - 0.3) <= 0.1);
    CHECK(std::abs(all[1]["rating"].get<double>() - 0.8) <= 0.1);
    CHECK(f.list("/v1/ratings?after=2").empty());
    f.call("PUT", "/faults", R"({"missing_percent":100})");
    CHECK(f.rate("r-3", "v1") == 202);
    f.call("PUT", "/faults", R"({"delay_ms":60000})");
    CHECK(f.rate("r-4", "v1") == 202);
    CHECK(f.list("/v1/ratings?after=2").empty());
    f.call("PUT", "/faults", R"({"down":true})");
    CHECK(f.rate("r-5", "v1") == 503);
    CHECK(f.call("GET", "/v1/ratings?after=0").status == 503);
    CHECK(f.call("PUT", "/faults", R"({"missing_percent":101})").status == 400);
}
