#include "object_store/object_store.hpp"

#include "event_loop/event_loop.hpp"
#include "fakes/object_api/fake_object_api.hpp"

#include <catch2/catch.hpp>

using namespace marjorambeam;

namespace
{

// A fake object API and a client on one loop.
struct fixture
{
    explicit fixture(
        object_api_settings s = {}, duration timeout = std::chrono::seconds(5))
        : api(loop, std::move(s))
        , client(loop)
        , store(client, api.url(), timeout)
    {
    }

    // Runs the loop until the call that `start` makes is done.
    template <class T, class Start>
    result<T> wait(Start start)
    {
        result<T> out = fail(error_kind::internal, "no answer");
        start(
            [&](result<T> r)
            {
                out = std::move(r);
                loop.break_loop(ev::ALL);
            });
        loop.run();
        return out;
    }
    result<stored_object> get(std::string const& name)
    {
        return wait<stored_object>([&](auto done)
                                   { store.get("k", name, done); });
    }
    result<stored_object>
    create(std::string const& name, std::string const& value)
    {
        return wait<stored_object>([&](auto done)
                                   { store.create("k", name, value, done); });
    }
    result<stored_object> update(
        std::string const& name, std::uint64_t revision,
        std::string const& value)
    {
        return wait<stored_object>(
            [&](auto done) { store.update("k", name, revision, value, done); });
    }
    result<void> erase(std::string const& name, std::uint64_t revision)
    {
        return wait<void>([&](auto done)
                          { store.erase("k", name, revision, done); });
    }

    ev::dynamic_loop loop;
    fake_object_api api;
    http_client client;
    object_store store;
};

} // namespace

// Guards against a write that overwrites another's, and against names that
// are damaged on their way into the path.
TEST_CASE("writes hold their condition and names arrive as given")
{
    fixture f;
    std::string const name = "tagger@v1/a b%?#ø";
    result<stored_object> first = f.create(name, "1");
    REQUIRE(first);
    CHECK(f.create(name, "2").error().kind == error_kind::conflict);
    result<stored_object> second = f.update(name, first->revision, "3");
    REQUIRE(second);
    CHECK(second->revision > first->revision);
    CHECK(
        f.update(name, first->revision, "4").error().kind ==
        error_kind::conflict);
    CHECK(f.get(name)->value == "3");
    CHECK(f.get(name)->revision == second->revision);
    CHECK(f.api.data().get("k", name)->value == "3");
    CHECK(f.erase(name, first->revision).error().kind == error_kind::conflict);
    CHECK(f.erase(name, second->revision));
    CHECK(f.get(name).error().kind == error_kind::not_found);
    CHECK(
        f.create("big", std::string(max_object_bytes + 1, 'x')).error().kind ==
        error_kind::body_too_large);
}

// Guards against a lost answer that is reported as not run, and against the
// HTTP library repeating a write on a connection it has used before: the
// repetition would be reported as a conflict with the caller's own write.
TEST_CASE("a write whose answer is lost took effect once and says unknown")
{
    fixture f;
    REQUIRE(f.create("warm", "1")); // leaves a connection to reuse
    REQUIRE(f.get("warm"));
    f.api.set_faults({.lose_answers = 2});
    std::uint64_t const before = f.api.counts().writes();
    result<stored_object> lost = f.create("a", "1");
    REQUIRE_FALSE(lost);
    CHECK(lost.error().kind == error_kind::store_unavailable);
    CHECK(lost.error().run == run_state::unknown);
    CHECK(f.api.counts().writes() == before + 1);
    CHECK(f.get("a")->value == "1");
    CHECK(f.erase("a", 2).error().run == run_state::unknown);
    CHECK(f.get("a").error().kind == error_kind::not_found);
}

// Guards against an outage or a slow store that looks like a missing object,
// or like a write that surely did not happen.
TEST_CASE("an outage and a timeout are told apart by their run state")
{
    fixture f({}, std::chrono::milliseconds(50));
    f.api.set_faults({.down = true});
    CHECK(f.get("a").error().kind == error_kind::store_unavailable);
    CHECK(f.create("a", "1").error().run == run_state::not_run);
    f.api.set_faults({.delay = std::chrono::seconds(60)});
    result<stored_object> slow = f.create("a", "1");
    CHECK(slow.error().kind == error_kind::store_unavailable);
    CHECK(slow.error().run == run_state::unknown);
    CHECK(f.api.data().get("k", "a"));
    object_store nobody(f.client, "http://127.0.0.1:1");
    result<stored_object> refused = f.wait<stored_object>(
        [&](auto done) { nobody.create("k", "a", "1", done); });
    CHECK(refused.error().run == run_state::not_run);
}

// Guards against a rate limit that is taken for an outage or without the time
// to come back.
TEST_CASE("a call over the rate is refused with the time to come back")
{
    steady_time now{std::chrono::seconds(100)};
    fixture f({.writes_per_second = 1, .now = [&] { return now; }});
    REQUIRE(f.create("a", "1"));
    result<stored_object> over = f.create("b", "1");
    REQUIRE_FALSE(over);
    CHECK(over.error().kind == error_kind::store_rate_limited);
    CHECK(over.error().retry_after == std::chrono::seconds(1));
    now += std::chrono::seconds(1);
    CHECK(f.create("b", "1"));
}

// Guards against objects that are skipped or returned twice between pages.
TEST_CASE("a list in pages returns each object once, in order")
{
    fixture f;
    for (int i = 0; i < 25; ++i)
        f.api.data().create("k", std::to_string(100 + i), "v");
    f.api.data().create("other", "x", "v");
    std::vector<std::string> names;
    bool has_more = true;
    while (has_more)
    {
        std::string const after = names.empty() ? "" : names.back();
        result<object_list> page = f.wait<object_list>(
            [&](auto done) { f.store.list("k", after, 10, done); });
        REQUIRE(page);
        CHECK(page->revision == 26);
        for (stored_object const& it : *page)
            names.push_back(it.name);
        has_more = page->has_more;
    }
    REQUIRE(names.size() == 25);
    CHECK(std::is_sorted(names.begin(), names.end()));
    CHECK(f.api.counts().lists == 3);
}

// Guards against a watch that misses a change made before it arrived, does
// not wake for one made later, or never ends.
TEST_CASE("a watch returns earlier and later changes, and ends")
{
    fixture f;
    auto watch = [&](std::uint64_t after, duration timeout)
    {
        return f.wait<watch_result>(
            [&](auto done) { f.store.watch("k", after, timeout, done); });
    };
    REQUIRE(f.create("a", "1"));
    result<watch_result> early = watch(0, std::chrono::seconds(30));
    REQUIRE(early);
    REQUIRE(early->changed.size() == 1);
    bool has_created = false;
    loop_timer later(
        f.loop,
        [&]
        {
            has_created = true;
            f.store.create("k", "b", "2", [](result<stored_object> const&) {});
        });
    later.start(std::chrono::milliseconds(20));
    result<watch_result> woken = watch(1, std::chrono::seconds(30));
    REQUIRE(woken);
    CHECK(has_created);
    CHECK(woken->changed.at(0).name == "b");
    CHECK(woken->revision == 2);
    result<watch_result> ended = watch(2, std::chrono::milliseconds(20));
    REQUIRE(ended);
    CHECK(ended->changed.empty());
    CHECK(f.api.counts().watches == 3);
}
