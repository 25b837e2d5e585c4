#include "settings/settings.hpp"

#include <catch2/catch.hpp>
#include <sstream>

using namespace marjorambeam;

namespace
{

struct sample
{
    std::string listen;
    duration drain{};
    std::int64_t limit = 0;

    std::vector<setting> table()
    {
        return {
            address_setting("listen", "127.0.0.1:0", "Address", listen),
            duration_setting("drain-ms", 100, 0, 1000, "Wait", drain),
            number_setting("limit", 5, 1, 10, "Limit", limit)};
    }
};

environment no_environment()
{
    return [](std::string const&) { return std::nullopt; };
}

} // namespace

// Guards against settings that start a daemon with one error fixed and the
// next one hidden.
TEST_CASE("all bad settings are reported together")
{
    sample s;
    std::ostringstream out;
    std::ostringstream err;
    std::vector<std::string> args{"--listen", "localhost", "--limit", "11"};
    settings_outcome o =
        parse_settings("x", "X", s.table(), args, no_environment(), out, err);
    CHECK(o.exit_now);
    CHECK(o.exit_code == 2);
    CHECK(err.str().find("--listen: \"localhost\"") != std::string::npos);
    CHECK(
        err.str().find("--limit: \"11\" is not allowed; expected 1 to 10") !=
        std::string::npos);
}

// Guards against a variable that overrides a flag.
TEST_CASE("a flag goes before a variable and a variable before a default")
{
    sample s;
    std::ostringstream out;
    std::ostringstream err;
    std::vector<std::string> args{"--limit", "7"};
    environment env = [](std::string const& name) -> std::optional<std::string>
    {
        if (name == "MARJORAMBEAM_X_LIMIT")
            return "9";
        if (name == "MARJORAMBEAM_X_DRAIN_MS")
            return "250";
        return std::nullopt;
    };
    settings_outcome o =
        parse_settings("x", "X", s.table(), args, env, out, err);
    CHECK_FALSE(o.exit_now);
    CHECK(s.limit == 7);
    CHECK(s.drain == std::chrono::milliseconds(250));
    CHECK(s.listen == "127.0.0.1:0");
}

// Guards against a misspelt flag that is taken for an argument of a command.
TEST_CASE("words that are not flags are kept in order")
{
    sample s;
    std::ostringstream out;
    std::ostringstream err;
    positional_arguments line{"command", "what to do", {}};
    std::vector<std::string> args{"apply", "--limit", "7", "-"};
    settings_outcome o = parse_settings(
        "x", "X", s.table(), args, no_environment(), out, err, &line);
    CHECK_FALSE(o.exit_now);
    CHECK(line.words == std::vector<std::string>{"apply", "-"});
    CHECK(s.limit == 7);
    args = {"apply", "--limti", "7"};
    o = parse_settings(
        "x", "X", s.table(), args, no_environment(), out, err, &line);
    CHECK(o.exit_code == 2);
    CHECK(err.str().find("--limti is not a known flag") != std::string::npos);
}
