#include "gateway/upstream_table.hpp"

#include "state_search/state_search.hpp"

#include <catch2/catch.hpp>
#include <memory>
#include <string>

using namespace marjorambeam;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr steady_time now{seconds(100)};
constexpr std::int64_t started_ms = 7;
upstream_query const query{.service = "pool", .zone = "z1"};

void add(
    upstream_table& b, std::string const& id, std::int64_t started = started_ms)
{
    auto u = std::make_shared<upstream_state>();
    u->info = {
        .id = id,
        .service = "pool",
        .zone = "z1",
        .slots = 8,
        .started_unix_ms = started};
    put_upstream(b, u);
}

std::string
chosen(upstream_table& b, steady_time at, upstream_query const& q = query)
{
    upstream_selection const c = select_upstream(b, q, at);
    return c.chosen ? c.chosen->info.id : "";
}

} // namespace

// Guards against requests to a draining upstream, from its first notice to its
// end, also if its entry expires and returns while the store is unavailable.
TEST_CASE("An upstream that reports draining gets nothing in this incarnation")
{
    upstream_table b;
    add(b, "a");
    CHECK(record_draining(b.notices, "a", started_ms, now));
    CHECK_FALSE(record_draining(b.notices, "a", started_ms, now));
    CHECK(
        select_upstream(b, query, now).failure == selection_failure::draining);
    erase_upstream(b, b.by_id.find("a"));
    add(b, "a");
    CHECK(chosen(b, now + seconds(3600)).empty());
    add(b, "a", started_ms + 1);
    CHECK(chosen(b, now) == "a");
    // A late notice of the earlier incarnation.
    CHECK(find_notice(b, *b.by_id["a"]) == nullptr);
}

// Guards against requests during a pause, and against a later notice that
// shortens it.
TEST_CASE("An upstream that requests a pause gets nothing until its end")
{
    upstream_table b;
    add(b, "a");
    CHECK(record_pause(b.notices, "a", started_ms, seconds(4), 0, now));
    CHECK_FALSE(record_pause(b.notices, "a", started_ms, seconds(1), 0, now));
    for (auto const passed : {0, 1000, 3999})
    {
        upstream_selection const c =
            select_upstream(b, query, now + milliseconds(passed));
        CHECK(c.failure == selection_failure::paused);
        CHECK(c.resumes_at == now + seconds(4));
    }
    CHECK(chosen(b, now + seconds(4)) == "a");
    add(b, "b");
    CHECK(chosen(b, now) == "b");
}

// Guards against finally refusing a non-idempotent call although the upstream
// that did not run it will accept it soon.
TEST_CASE("A request waits for a paused upstream that refused it")
{
    upstream_table b;
    add(b, "a");
    record_pause(b.notices, "a", started_ms, milliseconds(100), 0, now);
    std::vector<std::string> const tried{"a"};
    upstream_query q = query;
    q.tried = tried;
    CHECK(select_upstream(b, q, now).failure == selection_failure::paused);
}

// Guards against a thundering herd after a pause: all gateways send their held
// requests at the moment it ends.
TEST_CASE("After a pause, load ramps up and gateways resume one after another")
{
    steady_time first = steady_time::max();
    steady_time last = steady_time::min();
    constexpr std::uint64_t gateways = 68;
    for (std::uint64_t i = 0; i < gateways; ++i)
    {
        upstream_notices all;
        record_pause(all, "a", started_ms, seconds(1), i * 7919, now);
        steady_time const at = find_notice(all, "a", started_ms)->resumes_at;
        CHECK(at >= now + seconds(1));
        first = std::min(first, at);
        last = std::max(last, at);
    }
    CHECK(last - first > resume_spread / 2);
    CHECK(last <= now + seconds(1) + resume_spread);

    upstream_table b;
    add(b, "a");
    record_pause(b.notices, "a", started_ms, seconds(1), 0, now);
    steady_time const end = now + seconds(1);
    std::uint32_t sent = 0;
    for (; !chosen(b, end).empty(); ++sent)
        ++b.by_id["a"]->requests;
    CHECK(sent == 1);
    CHECK(chosen(b, end + resume_ramp / 2) == "a");
    b.by_id["a"]->requests = 5;
    CHECK(
        select_upstream(b, query, end + resume_ramp / 2).failure ==
        selection_failure::full);
    CHECK(chosen(b, end + resume_ramp) == "a");
}

namespace
{

// One upstream's actual state, and a gateway's upstream table.
struct notice_model
{
    int second = 0;
    std::int64_t incarnation_number = 1;
    bool is_draining = false; // reported in this incarnation
    int paused_until = 0;     // by its notices in this incarnation
    upstream_table table;
    std::string violation;
};

std::string state_key(notice_model const& w)
{
    auto const listed = w.table.by_id.find("a");
    auto const noticed = w.table.notices.find("a");
    upstream_notice const n =
        noticed == w.table.notices.end() ? upstream_notice{} : noticed->second;
    std::string out = w.violation;
    for (std::int64_t const it :
         {std::int64_t{w.second}, w.incarnation_number,
          std::int64_t{w.is_draining}, std::int64_t{w.paused_until},
          listed == w.table.by_id.end() ? 0
                                        : listed->second->info.started_unix_ms,
          n.started_unix_ms, std::int64_t{n.is_draining},
          n.paused_until.time_since_epoch().count()})
        out += std::to_string(it) + ",";
    return out;
}

steady_time at(int second)
{
    return now + seconds(second);
}

// Copies the table with its own upstreams.
notice_model clone_model(notice_model const& w)
{
    notice_model c = w;
    c.table.by_id.clear();
    c.table.by_number.clear();
    for (auto const& [id, u] : w.table.by_id)
        put_upstream(c.table, std::make_shared<upstream_state>(*u));
    return c;
}

void send_request(notice_model& w)
{
    upstream_selection const c = select_upstream(w.table, query, at(w.second));
    if (!c.chosen || c.chosen->info.started_unix_ms != w.incarnation_number)
        return; // refused, since it names another incarnation
    if (w.is_draining)
        w.violation = "sent to a draining upstream";
    if (w.second < w.paused_until)
        w.violation = "sent to an upstream within its pause";
}

template <class Emit>
void emit_transitions(notice_model const& w, Emit emit)
{
    auto step = [&](char const* label, auto change)
    {
        notice_model c = clone_model(w);
        change(c);
        emit(label, std::move(c));
    };
    constexpr int last_second = 5;
    if (w.second < last_second)
        step("time", [](notice_model& c) { ++c.second; });
    step("send", send_request);
    step(
        "drain",
        [](notice_model& c)
        {
            c.is_draining = true;
            record_draining(
                c.table.notices, "a", c.incarnation_number, at(c.second));
        });
    for (int const pause : {1, 3})
        step(
            "pause",
            [pause](notice_model& c)
            {
                c.paused_until = std::max(c.paused_until, c.second + pause);
                record_pause(
                    c.table.notices, "a", c.incarnation_number, seconds(pause),
                    0, at(c.second));
            });
    if (w.table.by_id.contains("a"))
        step(
            "expire", [](notice_model& c)
            { erase_upstream(c.table, c.table.by_id.find("a")); });
    step(
        "list",
        [](notice_model& c) { add(c.table, "a", c.incarnation_number); });
    if (w.incarnation_number == 2)
        step(
            "late notice", [](notice_model& c)
            { record_draining(c.table.notices, "a", 1, at(c.second)); });
    if (w.incarnation_number == 1)
        step(
            "restart",
            [](notice_model& c)
            {
                c.incarnation_number = 2;
                c.is_draining = false;
                c.paused_until = 0;
            });
}

} // namespace

// Guards against orders of responses, expiries, listings and restarts after
// which an upstream gets a request while it is draining or paused.
TEST_CASE("No order of events loses or misattributes a notice")
{
    notice_model start;
    add(start.table, "a", 1);
    search_result const r = search_states(
        start, state_key,
        [](notice_model const& w, auto&& emit) { emit_transitions(w, emit); },
        [](notice_model const& w) { return w.violation; }, 100000);
    CAPTURE(r.path);
    CHECK(r.fault.empty());
    CHECK(r.is_complete);
    CHECK(r.states > 300);
}

// Guards against memory that grows with every upstream that ever drained.
TEST_CASE("Only the newest notices are kept, up to the maximum")
{
    upstream_notices all;
    for (std::size_t i = 0; i <= max_notices; ++i)
        record_draining(
            all, std::to_string(i), started_ms, now + milliseconds(i));
    CHECK(all.size() == max_notices);
    CHECK(find_notice(all, "0", started_ms) == nullptr);
    CHECK(find_notice(all, std::to_string(max_notices), started_ms) != nullptr);
}
