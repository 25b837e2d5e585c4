#include "ctl/ctl.hpp"

#include "base/hash.hpp"
#include "billing/ledger.hpp"
#include "ctl/entry_commands.hpp"
#include "fakes/object_api/fake_object_api.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <sstream>

using namespace marjorambeam;

namespace
{

std::string zone(std::string const& name, std::string const& state = "in")
{
    return R"({"kind":"zones","name":")" + name +
           R"(","document":{"region":"trondelag","state":")" + state + R"("}})";
}

// A fake object API and the tool on one loop.
struct fixture
{
    ev::dynamic_loop loop;
    http_client client{loop};
    fake_object_api api{loop, {.writes_per_second = 0, .reads_per_second = 0}};
    std::string out;
    std::string err;

    int run(std::vector<std::string> args, std::string const& input = "")
    {
        args.insert(
            args.begin(),
            {"--store", api.url(), "--output", "json", "--timeout-ms", "2000"});
        std::istringstream in(input);
        std::ostringstream o;
        std::ostringstream e;
        environment const env = [](std::string const&)
        { return std::optional<std::string>(); };
        int const code = run_ctl(loop, args, env, in, o, e);
        out = o.str();
        err = e.str();
        return code;
    }
    nlohmann::json json() const
    {
        return nlohmann::json::parse(out);
    }
    // Stores generations as other editors would.
    void store_generations(std::uint64_t first, std::uint64_t last)
    {
        for (std::uint64_t i = first; i <= last; ++i)
        {
            generation const g{
                i,
                "edit-" + std::to_string(i),
                "other",
                1,
                {{document_kind::availability_zone, "z" + std::to_string(i % 5),
                  R"({"region":"r)" + std::to_string(i) +
                      R"(","state":"in"})"}}};
            api.data().create(generations_kind, generation_name(i), to_json(g));
        }
    }
};

} // namespace

// Guards against exit codes that change under the operators' scripts.
TEST_CASE("each kind of failure has its exit code")
{
    fixture f;
    CHECK(f.run({"apply", "-"}, zone("hitra")) == 0);
    CHECK(f.json()["generation"] == 1);
    CHECK(f.run({"get", "zone", "hitra"}) == 0);
    CHECK(f.json()["document"]["region"] == "trondelag");
    CHECK(f.run({"get", "zones", "nowhere"}) == 6);
    CHECK(f.run({"zone", "out", "nowhere"}) == 6);
    CHECK(f.run({"apply", "-"}, "{}") == 3);
    CHECK(f.run({"apply", "/nonexistent/file"}) == 1);
    CHECK(f.run({"get", "fruits", "x"}) == 2);
    CHECK(f.run({"zone", "sideways", "hitra"}) == 2);
    CHECK(f.run({"zone", "out"}) == 2);
    CHECK(f.run({"version", "roll", "m@v1", "2"}) == 2);
    CHECK(f.run({"list", "zones", "--outptu", "json"}) == 2);
    CHECK(f.run({"explain", "r-1"}) == 2);
    f.api.set_faults({.down = true});
    CHECK(f.run({"zone", "out", "hitra"}) == 5);
    CHECK(f.run({"list", "zones"}) == 5);
}

// Guards against a change that is written again, or reported as failed, when
// the answer to its create is lost.
TEST_CASE("a change whose answer is lost is accepted once")
{
    fixture f;
    REQUIRE(f.run({"apply", "-"}, zone("hitra")) == 0);
    f.api.set_faults({.lose_answers = 1});
    CHECK(f.run({"zone", "out", "hitra"}) == 0);
    CHECK(f.json()["generation"] == 2);
    CHECK(f.run({"zone", "out", "hitra"}) == 0);
    CHECK(f.json()["changed"] == false);
    CHECK(f.run({"history", "zones", "hitra"}) == 0);
    CHECK(f.json().size() == 2);
    CHECK(f.json()[0]["edits"][0]["document"]["state"] == "out");
}

// Guards against an operator who overwrites a change made between reading and
// writing, and who does not see whose it was.
TEST_CASE("a conflict shows the other edit and an unrelated one is kept")
{
    fixture f;
    REQUIRE(f.run({"apply", "-"}, zone("a")) == 0);
    http_client client(f.loop);
    object_store store(client, f.api.url());
    config_client configs(f.loop, store);
    result<config_snapshot> const base = configs.load();
    REQUIRE(base);
    REQUIRE(f.run({"zone", "out", "a"}) == 0);
    generation mine{
        0,
        "mine",
        "ops",
        1,
        {{document_kind::availability_zone, "a",
          R"({"region":"x","state":"in"})"}}};
    steady_time const end = steady_now() + std::chrono::seconds(5);
    edit_state const lost = configs.commit(*base, mine, end);
    REQUIRE_FALSE(lost.outcome);
    CHECK(exit_code_for(lost.outcome.error().kind) == exit_code::conflict);
    CHECK(lost.other->author == "operator");
    mine.edits[0].name = "b";
    CHECK(configs.commit(*base, mine, end).outcome == 3U);
    CHECK(f.run({"list", "zones"}) == 0);
    CHECK(f.json().size() == 2);
    CHECK(f.json()[0]["document"]["state"] == "out");
}

// Guards against reads that stop at the first page, and against checkpoints
// that are not written or are read without the generations after them.
TEST_CASE("hundreds of generations are read and checkpointed")
{
    fixture f;
    f.store_generations(1, 399);
    CHECK(f.run({"apply", "-"}, zone("late")) == 0);
    CHECK(f.api.data().get(checkpoints_kind, generation_name(400)));
    f.store_generations(401, 650);
    CHECK(f.run({"get", "zones", "z0"}) == 0);
    CHECK(f.json()["document"]["region"] == "r650");
    CHECK(f.run({"list", "zones"}) == 0);
    CHECK(f.json().size() == 6);
    CHECK(f.run({"--limit", "450", "history"}) == 0);
    CHECK(f.json().size() == 450);
    CHECK(f.json()[0]["generation"] == 650);
    CHECK(f.run({"history", "zones", "late"}) == 0);
    CHECK(f.json().size() == 1);
}

// Guards against an accepted change that is reported as failed because its
// checkpoint is not confirmed, and against a checkpoint that is then missing.
TEST_CASE("a checkpoint whose answer is lost does not fail the change")
{
    fixture f;
    f.store_generations(1, 199);
    f.api.set_faults({.lose_answers = 2});
    CHECK(f.run({"apply", "-"}, zone("late")) == 0);
    CHECK(f.json()["generation"] == 200);
    CHECK(f.err.find("checkpoint is not confirmed") != std::string::npos);
    CHECK(f.api.data().get(checkpoints_kind, generation_name(200)));
    CHECK(f.run({"zone", "out", "late"}) == 0);
    CHECK(f.err.empty());
    CHECK(f.run({"get", "zones", "late"}) == 0);
    CHECK(f.json()["document"]["state"] == "out");
}

// Guards against a request that is reported as unknown although an entry that
// might know it did not answer.
TEST_CASE("explain and status ask every entry")
{
    fixture f;
    std::string const id = "r-00000000000000ab-7";
    http_server knows(
        f.loop, {},
        [&](std::shared_ptr<http_exchange> const& ex)
        {
            bool const is_known =
                ex->request().path == "/admin/explain/" + id ||
                ex->request().path == "/admin/status";
            ex->respond(is_known ? 200 : 404, {}, R"({"served":true})");
        });
    std::string const url = "http://127.0.0.1:" + std::to_string(knows.port());
    std::string const both = "http://127.0.0.1:1," + url;
    CHECK(f.run({"--entries", both, "explain", id}) == 0);
    CHECK(f.json()["served"] == true);
    std::string const other = "r-00000000000000ab-8";
    CHECK(f.run({"--entries", url, "explain", other}) == 6);
    CHECK(f.run({"--entries", both, "explain", other}) == 1);
    CHECK(f.run({"--entries", both, "status"}) == 1);
    CHECK(f.json()["entries"][1]["status"]["served"] == true);
    CHECK(f.run({"--entries", url, "status"}) == 0);
    CHECK(f.json()["store"]["generation"] == 0);
}

// Guards against a key that reaches the list of processes or is hashed with
// its line end.
TEST_CASE("a key is hashed from standard input as from an argument")
{
    fixture f;
    CHECK(f.run({"hash-key", "-"}, "secret\n") == 0);
    CHECK(f.json()["key_hash"] == secret_hash("secret"));
    CHECK(f.run({"hash-key", "secret"}) == 0);
    CHECK(f.json()["key_hash"] == secret_hash("secret"));
}

// Guards against a bill that counts a request twice when two daemons posted
// it, or that leaves out segments behind the first page.
TEST_CASE("a bill has each request once over all segments")
{
    fixture f;
    constexpr std::uint64_t segments = 250;
    for (std::uint64_t i = 0; i < segments; ++i)
    {
        usage_record r;
        r.request_id = "r-" + std::to_string(i / 2);
        r.customer = "havbris";
        r.stages.push_back({"tag@v1", 3, 5, 1, 2, 0});
        r.poster = i % 2 == 0 ? process_role::entry : process_role::agent;
        ledger_segment const s = make_segment(7, i + 1, {&r, 1});
        REQUIRE(wait_for<stored_object>(
            f.loop,
            [&, store = object_store(f.client, f.api.url())](auto done) mutable
            { store.create(ledger_kind, s.name, s.text, done); }));
    }
    REQUIRE(f.run({"bill", "havbris"}) == 0);
    CHECK(f.json().at("requests") == segments / 2);
    CHECK(f.json().at("cost_micro_credits") == segments / 2 * 13);
    CHECK(f.json().at("lines").size() == segments / 2);
    CHECK(f.run({"bill", "nobody"}) == 6);
}
