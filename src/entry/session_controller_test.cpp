#include "entry/session_controller.hpp"

#include "entry/entry_test_support.hpp"

using namespace marjorambeam;
using namespace marjorambeam::test;

// Guards against a session that changes its version during a rollout, when its
// requests alternate between entries or the owner of its pin was lost.
TEST_CASE("a session with a caller-chosen id stays on its version")
{
    entry_fleet f(3);
    std::string const id = "photo-batch-7";
    CHECK(f.post_and_wait("e0", "havbris", id).version == "tagger@v1");
    f.change({entry_fleet::version_edit("v2", "rolling", 1.0, 5)});
    CHECK(f.post_and_wait("e1", "havbris", "another").version == "tagger@v2");
    for (int i = 0; i < 6; ++i)
    {
        caller_response const a =
            f.post_and_wait(f.names()[i % 3], "havbris", id);
        CHECK(a.status == 200);
        CHECK(a.version == "tagger@v1");
    }
    std::vector<std::string> const names = f.names();
    f.kill(pin_owners("havbris", id, names).front());
    for (int i = 0; i < 4; ++i)
    {
        caller_response const a =
            f.post_and_wait(f.names()[i % 2], "havbris", id);
        CHECK(a.status == 200);
        CHECK(a.version == "tagger@v1");
    }
}

// Guards against an owner that joins later without the pin and selects a new
// version for the session instead of receiving the existing pin.
TEST_CASE("a new owner of a session receives the existing pin")
{
    entry_fleet f(2);
    std::string const id = "s-1";
    CHECK(f.post_and_wait("e0", "havbris", id).version == "tagger@v1");
    for (auto const& it : f.entries)
        CHECK(it.second->sessions().pins().size() == 1);
    f.change({entry_fleet::version_edit("v2", "rolling", 1.0, 5)});
    f.add_entry("e2");
    f.kill(pin_owners("havbris", id, f.names()).front());
    REQUIRE(f.entries.count("e2") == 1);
    CHECK(f.post_and_wait("e2", "havbris", id).version == "tagger@v1");
    while (f.entries.size() > 1)
        f.kill(f.names().front());
    CHECK(f.post_and_wait("e2", "havbris", id).version == "tagger@v1");
}

// Guards against accepting a modified token, a token that changes the session's
// version, or one whose version is withdrawn or no longer allowed.
TEST_CASE("a token keeps its session's version or is refused")
{
    entry_fleet f(2);
    std::string const token = f.post_and_wait("e0", "havbris").session;
    REQUIRE(is_session_token(token));
    f.change({entry_fleet::version_edit("v2", "rolling", 1.0, 5)});
    caller_response const same = f.post_and_wait("e1", "havbris", token);
    CHECK(same.version == "tagger@v1");
    CHECK(same.session == token);

    std::string changed = token;
    changed[token.size() / 2] = token[token.size() / 2] == 'A' ? 'B' : 'A';
    caller_response const refused = f.post_and_wait("e1", "havbris", changed);
    CHECK(refused.status == 400);
    CHECK(refused.error_kind == "session_invalid");
    CHECK(f.post_and_wait("e1", "stor", token).error_kind == "session_invalid");

    CHECK(f.post_and_wait("e0", "havbris", "own-id").version == "tagger@v2");
    std::string const others = f.post_and_wait("e0", "stor", "own-id").session;
    f.change({entry_fleet::version_edit("v1", "withdrawn", 0, 10)});
    caller_response const withdrawn = f.post_and_wait("e0", "havbris", token);
    CHECK(withdrawn.status == 410);
    CHECK(withdrawn.error_kind == "version_withdrawn");
    CHECK(f.post_and_wait("e0", "havbris", "own-id").status == 200);

    f.change(
        {{document_kind::contract, "stor",
          R"({"customer":"stor","key_hashes":[")" + secret_hash("stor") +
              R"("],"models":[{"model":"tagger","versions":["v1"]}]})"}});
    caller_response const forbidden = f.post_and_wait("e1", "stor", others);
    CHECK(forbidden.status == 403);
    CHECK(forbidden.error_kind == "model_not_allowed");
}
