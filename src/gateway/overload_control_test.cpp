#include "gateway/overload_control.hpp"

#include <catch2/catch.hpp>

using namespace marjorambeam;

namespace
{

constexpr upstream_load_report paced{
    .running = 3, .waiting = 1, .slots = 8, .machine_pace = 250};
constexpr upstream_load_report unpaced{.running = 3, .waiting = 1, .slots = 8};

} // namespace

// Guards against a change of behaviour for deployments that do not call for
// overload control, and for services beside one that does.
TEST_CASE("by default only services whose upstreams report a pace are "
          "controlled")
{
    gateway_state s;
    record_machine_pace(s, "orders", unpaced);
    CHECK_FALSE(is_overload_controlled(s, "orders"));
    record_machine_pace(s, "notes", paced);
    CHECK(
        overload_control_reason_of(s, "notes") ==
        overload_control_reason::upstream);
    CHECK_FALSE(is_overload_controlled(s, "orders"));
    CHECK_FALSE(is_overload_controlled(s, "note"));
    CHECK_FALSE(is_overload_controlled(s, ""));
    // Another of its upstreams reports none.
    record_machine_pace(s, "notes", unpaced);
    CHECK(is_overload_controlled(s, "notes"));
}

// Guards against a deployment whose wish is not heard before its upstreams have
// answered, and against one that stays after a reload without it.
TEST_CASE("a deployment that asks for overload control has it everywhere")
{
    gateway_state s;
    s.settings.wants_overload_control = true;
    CHECK(
        overload_control_reason_of(s, "orders") ==
        overload_control_reason::contracts);
    s.settings.wants_overload_control = false;
    CHECK_FALSE(is_overload_controlled(s, "orders"));
}

// Guards against an operator's setting that the deployment or an upstream
// overrules.
TEST_CASE("the setting of the gateway goes before all else")
{
    gateway_state s;
    s.settings.overload_control = overload_control_mode::on;
    CHECK(
        overload_control_reason_of(s, "orders") ==
        overload_control_reason::setting);
    s.settings.overload_control = overload_control_mode::off;
    s.settings.wants_overload_control = true;
    record_machine_pace(s, "orders", paced);
    CHECK_FALSE(is_overload_controlled(s, "orders"));
    CHECK_FALSE(overload_control_to_log(s, "orders"));
}

// Guards against a log line for each request.
TEST_CASE("overload control is logged once per service")
{
    gateway_state s;
    CHECK_FALSE(overload_control_to_log(s, "notes"));
    record_machine_pace(s, "notes", paced);
    CHECK(
        overload_control_to_log(s, "notes") ==
        overload_control_reason::upstream);
    CHECK_FALSE(overload_control_to_log(s, "notes"));
    s.settings.wants_overload_control = true;
    CHECK_FALSE(overload_control_to_log(s, "notes"));
    CHECK(
        overload_control_to_log(s, "orders") ==
        overload_control_reason::contracts);
}

// Guards against a mode that is read as another than it was written.
TEST_CASE("modes of overload control are read as they are written")
{
    for (overload_control_mode const it :
         {overload_control_mode::automatic, overload_control_mode::on,
          overload_control_mode::off})
        CHECK(parse_overload_control_mode(to_string(it)) == it);
    CHECK(
        parse_overload_control_mode("ON") == overload_control_mode::automatic);
}

// Guards against gateways whose refused callers all come back at the same
// places.
TEST_CASE("the places of registered gateways are spread")
{
    gateway_state s;
    s.settings.instance = "g2";
    CHECK(return_phase(s) == 0);
    s.gateways = {"g3", "g1", "g2", "g4"};
    CHECK(return_phase(s) == 0.25);
    s.settings.instance = "g5";
    CHECK(return_phase(s) == 0);
}
