#include "gateway/room_cache.hpp"

#include <catch2/catch.hpp>

#include <memory>

using namespace marjorambeam;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr steady_time start{seconds(1000)};

// Upstreams of "orders" with 6 slots that take 60 ms, and one of another
// service, which must not count.
struct orders
{
    upstream_table table;
    room_cache cache;
    service_time prior;

    orders()
    {
        add("a", "orders");
        add("b", "orders");
        add("c", "notes")->requests = 0;
    }

    std::shared_ptr<upstream_state>
    add(std::string const& id, std::string const& service)
    {
        auto u = std::make_shared<upstream_state>();
        u->info = {.id = id, .service = service, .slots = 6};
        u->requests = 30; // 25 of 6 slots' ends before a start: 250 ms
        for (int i = 0; i < 3; ++i)
            record_service_time(
                u->room, prior, {.took = milliseconds(60), .slots = 6}, start);
        put_upstream(table, u);
        return u;
    }

    double start_ms(steady_time now)
    {
        return to_seconds(cached_room(cache, table, "orders", prior, now)
                              .until_start) *
               1000;
    }
};

} // namespace

// Guards against a crowd whose requests each pass over all upstreams, and
// against decisions by loads, or a list, that have changed.
TEST_CASE("The room of a service is computed again after 5 ms or a new list")
{
    orders o;
    CHECK(o.start_ms(start) == Approx(250).epsilon(0.01));
    o.table.by_id["a"]->requests = 0;
    CHECK(o.start_ms(start + milliseconds(5)) == Approx(250).epsilon(0.01));
    CHECK(o.start_ms(start + milliseconds(6)) == 0);
    erase_upstream(o.table, o.table.by_id.find("a"));
    CHECK(o.start_ms(start + milliseconds(6)) == Approx(250).epsilon(0.01));
    o.add("d", "orders")->requests = 0;
    CHECK(o.start_ms(start + milliseconds(6)) == 0);
}

// Guards against a refusal of a request by an estimate that is older than the
// report of a free slot.
TEST_CASE("A reported free slot shows in the room at once")
{
    orders o;
    record_free_slot(o.cache, "orders"); // nothing known yet
    CHECK_FALSE(
        cached_room(o.cache, o.table, "orders", o.prior, start).has_free_slot);
    record_free_slot(o.cache, "orders");
    CHECK(
        cached_room(o.cache, o.table, "orders", o.prior, start).has_free_slot);
}

// Guards against requests that find all upstreams idle and pass over the 2,300
// of the largest fleet for their service time alone, and against a small fleet
// whose service time is out of date.
TEST_CASE("The service time is kept longer the more upstreams there are")
{
    orders o;
    auto time_at = [&o](milliseconds later)
    {
        return cached_service_time(
            o.cache, o.table, "orders", o.prior, start + later);
    };
    CHECK(time_at(milliseconds(0)) == milliseconds(60));
    CHECK(time_at(milliseconds(6)) == milliseconds(60));
    CHECK(
        o.cache.services.find("orders")->second.at == start + milliseconds(6));
    for (int i = 0; i < 98; ++i)
        o.add("e" + std::to_string(i), "orders");
    time_at(milliseconds(7));
    time_at(milliseconds(17));
    CHECK(
        o.cache.services.find("orders")->second.at == start + milliseconds(7));
    time_at(milliseconds(18));
    CHECK(
        o.cache.services.find("orders")->second.at == start + milliseconds(18));
}
