// Explicit-state check of the at-most-once protocol: two entries with one
// request each, both with the same key; two agents; the store. Agents run the
// real plan_keyspace() and decide_key_admission(). A pause needs no step of its
// own: any process may take no step for any time. One unit of time stands
// for the smallest bound of the protocol.
#include "at_most_once/deduplication_window.hpp"
#include "state_search/state_search.hpp"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <iostream>
#include <utility>

using namespace marjorambeam;

namespace
{

// Safeguards of the protocol that a check disables.
struct safeguards
{
    bool has_bound = true;          // keys before the last owner's end
    bool checks_lease = true;       // before each admission
    bool conditional_write = true;  // of the ownership object
    bool has_window = true;         // keys in the window
    bool keeps_min_key_time = true; // of evicted keys
    bool margin_for_clocks = true;  // of a new process on the same address
    bool unknown_on_loss = true;    // of a connection
};

struct fault_budget
{
    int crashes = 0;
    int losses = 0; // messages, and responses of the store
    int clock_changes = 0;
    int releases = 0;
    int attempts = 2; // of each entry
    std::int64_t last_time = 6;
    std::int64_t key_time = 2;
};

at_most_once_limits units(safeguards const& g)
{
    return {
        .lease_duration_ms = 3,
        .renew_interval_ms = 2,
        .window_ms = 2,
        .max_future_ms = 1,
        .max_clock_skew_ms = g.margin_for_clocks ? 1 : 0,
        .max_clock_drift_ms = 1,
        .rank_delay_ms = 0,
        .reservation_ms = 0};
}

struct store_op
{
    bool is_sent = false;
    keyspace_step step = keyspace_step::wait;
    keyspace_record record;
    int revision = 0; // expected
    clock_reading sent;
};

struct agent
{
    bool is_alive = true;
    int process = 1;
    std::int64_t offset = 0; // of its clock, 0 or 1
    partition_state state;
    std::optional<key_phase> known;
    std::int64_t floor = 0;
    store_op op;
    store_op late; // given up by its sender or by its killed process
};

enum class caller_view : std::uint8_t
{
    idle,
    waiting,
    not_run,
    unknown,
    ran
};

enum class message_state : std::uint8_t
{
    none,
    to_agent,
    running // admitted; the upstream has it
};

struct request
{
    caller_view seen = caller_view::idle;
    message_state where = message_state::none;
    std::size_t at = 0; // agent
    int process = 0;    // of the agent that admitted it
    int attempts = 0;
    bool has_run = false;
};

struct model
{
    std::int64_t time = 0;
    std::array<agent, 2> agents;
    std::array<request, 2> requests;
    std::optional<keyspace_record> stored;
    int revision = 1;
    fault_budget left;
};

void append(std::string& key, std::int64_t n)
{
    key += static_cast<char>(n + 64);
}

void append_record(
    std::string& key, keyspace_record const& r, std::uint64_t epoch)
{
    append(key, static_cast<std::int64_t>(r.process));
    append(key, static_cast<std::int64_t>(r.epoch - epoch));
    append(key, r.lease_end_ms);
    append(key, r.bound_ms);
}

// Revisions count only by being current or not, epochs by their difference.
void append_op(std::string& key, store_op const& op, model const& m)
{
    bool const is_current = op.revision == m.revision;
    append(key, op.is_sent ? 1 + static_cast<int>(is_current) : 0);
    if (!op.is_sent)
        return;
    append(key, static_cast<int>(op.step));
    append_record(key, op.record, m.stored.value_or(keyspace_record{}).epoch);
    append(key, op.sent.wall_ms);
    append(key, op.sent.steady_ms);
}

std::string key_of(model const& m)
{
    keyspace_record const stored = m.stored.value_or(keyspace_record{});
    std::string key;
    append(key, m.time);
    append_record(key, stored, 0);
    for (agent const& a : m.agents)
    {
        partition_state const& s = a.state;
        append(key, a.is_alive ? a.process : -1);
        append(key, a.offset);
        append(key, s.is_owner + s.is_releasing * 2);
        append(key, static_cast<std::int64_t>(s.epoch - stored.epoch));
        append(key, std::max(s.bound_ms, stored.bound_ms));
        append(key, s.max_admitted_ms);
        append(key, a.floor);
        append(key, a.known ? static_cast<int>(*a.known) : -1);
        // The rest has no effect without the lease.
        append(key, s.is_owner ? s.lease_end_ms : 0);
        append(key, s.is_owner ? s.lease_end_steady_ms : 0);
        append(key, s.is_owner ? s.clock_base_ms : 0);
        append(key, s.is_owner ? s.bound_ms : 0);
        append_op(key, a.op, m);
        append_op(key, a.late, m);
    }
    // The requests are symmetric: their order makes no difference.
    std::array<std::string, 2> requests;
    for (std::size_t n = 0; n < 2; ++n)
    {
        request const& r = m.requests[n];
        bool const is_here = r.where != message_state::none;
        append(
            requests[n],
            static_cast<int>(r.seen) * 8 + static_cast<int>(r.where));
        append(requests[n], is_here ? static_cast<std::int64_t>(r.at) : 0);
        append(requests[n], r.has_run);
        append(requests[n], is_here ? r.process : 0);
        append(requests[n], r.attempts);
    }
    key += std::min(requests[0], requests[1]);
    key += std::max(requests[0], requests[1]);
    append(key, m.left.crashes * 9 + m.left.losses * 3 + m.left.clock_changes);
    append(key, m.left.releases);
    return key;
}

clock_reading clock_of(model const& m, std::size_t i)
{
    return {m.time + m.agents[i].offset, m.time};
}

keyspace_candidate self_of(model const& m, std::size_t i)
{
    std::string const name = i == 0 ? "a" : "b";
    return {name, name, static_cast<incarnation>(m.agents[i].process) * 2 + i};
}

// The agent reads the object and starts to write what its plan says.
template <class Emit>
void plan_steps(
    model const& m, std::size_t i, safeguards const& g, Emit const& emit)
{
    agent const& a = m.agents[i];
    if (!a.is_alive || a.op.is_sent)
        return;
    clock_reading const now = clock_of(m, i);
    keyspace_plan plan =
        plan_keyspace(a.state, m.stored, self_of(m, i), now, units(g));
    if (plan.step == keyspace_step::wait)
        return;
    model s = m;
    if (plan.step == keyspace_step::drop)
    {
        drop_ownership(s.agents[i].state);
        emit("drop", std::move(s));
        return;
    }
    if (!g.has_bound)
        plan.record.bound_ms = 0;
    s.agents[i].op = {true, plan.step, plan.record, m.revision, now};
    emit("write ownership", std::move(s));
}

// The store accepts a write whenever it arrives. Returns whether it took
// effect.
bool apply_write(model& s, store_op const& op, safeguards const& g)
{
    if (op.revision != s.revision && g.conditional_write)
        return false;
    s.stored = op.record;
    ++s.revision;
    return true;
}

template <class Emit>
void store_steps(
    model const& m, std::size_t i, safeguards const& g, Emit const& emit)
{
    agent const& a = m.agents[i];
    if (a.late.is_sent)
    {
        model s = m;
        apply_write(s, a.late, g);
        s.agents[i].late = {};
        emit("late write applies", std::move(s));
    }
    if (!a.op.is_sent)
        return;
    model s = m;
    agent& to = s.agents[i];
    bool const is_written = apply_write(s, a.op, g);
    to.op = {};
    model lost = s;
    if (is_written && a.op.step == keyspace_step::release)
        drop_ownership(to.state);
    else if (is_written)
        on_lease_written(to.state, a.op.record, a.op.sent);
    emit("write applies", std::move(s));
    if (m.left.losses == 0)
        return;
    --lost.left.losses;
    model late = m;
    --late.left.losses;
    late.agents[i].late = a.op;
    late.agents[i].op = {};
    emit("write applies, response lost", std::move(lost));
    emit("write delayed", std::move(late));
}

// The response reaches the entry, unless the entry has given up.
void respond(request& r, run_state run, int attempts)
{
    r.where = message_state::none;
    if (r.seen != caller_view::waiting)
        return;
    if (run == run_state::not_run)
        r.seen =
            r.attempts < attempts ? caller_view::idle : caller_view::not_run;
    else
        r.seen =
            run == run_state::ran ? caller_view::ran : caller_view::unknown;
}

// The agent receives request `n` and decides.
model admitted(model s, std::size_t n, safeguards const& g)
{
    request& r = s.requests[n];
    agent& a = s.agents[r.at];
    clock_reading const now = clock_of(s, r.at);
    at_most_once_limits const limits = units(g);
    std::int64_t const key_time = s.left.key_time;
    partition_state state = a.state;
    if (!g.checks_lease)
        state.lease_end_ms = state.lease_end_steady_ms = 60;
    if (!g.has_window)
        a.known.reset();
    key_decision const v = decide_key_admission(
        state,
        {.known = a.known, .key_time_ms = key_time, .min_key_time_ms = a.floor},
        now, limits);
    if (v.step == key_step::run)
    {
        a.known = key_phase::running;
        a.state.max_admitted_ms = std::max(a.state.max_admitted_ms, key_time);
        r.where = message_state::running;
        r.has_run = true;
        r.process = a.process;
        return s;
    }
    respond(
        r,
        v.step == key_step::replay ? run_state::ran
                                   : make_error(v.kind, "").run,
        s.left.attempts);
    return s;
}

template <class Emit>
void request_steps(
    model const& m, std::size_t n, safeguards const& g, Emit const& emit)
{
    request const& r = m.requests[n];
    for (std::size_t i = 0; i < 2; ++i)
    {
        bool const may_send =
            r.seen == caller_view::idle && r.attempts < m.left.attempts &&
            r.where == message_state::none && m.agents[i].is_alive;
        if (!may_send)
            continue;
        model s = m;
        s.requests[n] = {
            .seen = caller_view::waiting,
            .where = message_state::to_agent,
            .at = i,
            .attempts = r.attempts + 1};
        emit("send", std::move(s));
    }
    if (r.where == message_state::to_agent && m.agents[r.at].is_alive)
        emit("admit", admitted(m, n, g));
    bool const is_served = r.where == message_state::running &&
                           m.agents[r.at].is_alive &&
                           m.agents[r.at].process == r.process;
    if (is_served)
    {
        model s = m;
        if (s.agents[r.at].known)
            s.agents[r.at].known = key_phase::completed;
        respond(s.requests[n], run_state::ran, s.left.attempts);
        emit("complete", std::move(s));
    }
    if (r.seen == caller_view::waiting && m.left.losses > 0)
    {
        model s = m; // the work may still arrive and run
        --s.left.losses;
        s.requests[n].seen =
            g.unknown_on_loss ? caller_view::unknown : caller_view::not_run;
        emit("connection lost", std::move(s));
    }
}

// Admission of another key evicts the keys that are older than the window.
template <class Emit>
void eviction_steps(
    model const& m, std::size_t i, safeguards const& g, Emit const& emit)
{
    agent const& a = m.agents[i];
    clock_reading const now = clock_of(m, i);
    at_most_once_limits const limits = units(g);
    if (!a.known || !may_admit(a.state, now, limits) ||
        m.left.key_time >= now.wall_ms - limits.window_ms)
        return;
    model s = m;
    s.agents[i].known.reset();
    if (g.keeps_min_key_time)
        s.agents[i].floor = m.left.key_time + 1;
    emit("evict", std::move(s));
}

template <class Emit>
void fault_steps(model const& m, std::size_t i, Emit const& emit)
{
    agent const& a = m.agents[i];
    if (a.is_alive && m.left.crashes > 0)
    {
        model s = m;
        --s.left.crashes;
        agent const fresh{
            .is_alive = false, .process = a.process + 1, .offset = a.offset};
        s.agents[i] = fresh;
        s.agents[i].late = a.op.is_sent ? a.op : a.late;
        for (request& r : s.requests)
        {
            bool const was_here = r.at == i && r.where != message_state::none;
            if (!was_here)
                continue;
            r.where = message_state::none;
            if (r.seen == caller_view::waiting)
                r.seen = caller_view::unknown;
        }
        emit("crash", std::move(s));
    }
    if (!a.is_alive)
    {
        for (std::int64_t const offset : {0, 1})
        {
            model s = m;
            s.agents[i].is_alive = true;
            s.agents[i].offset = offset;
            s.agents[i].state.clock_base_ms = offset;
            emit("restart", std::move(s));
        }
    }
    if (a.is_alive && m.left.clock_changes > 0)
    {
        model s = m;
        --s.left.clock_changes;
        s.agents[i].offset = 1 - a.offset;
        emit("clock change", std::move(s));
    }
    if (a.state.is_owner && !a.state.is_releasing && m.left.releases > 0)
    {
        model s = m;
        --s.left.releases;
        begin_release(s.agents[i].state);
        emit("begin release", std::move(s));
    }
}

std::string check_state(model const& m)
{
    int runs = 0;
    for (request const& r : m.requests)
        runs += r.has_run ? 1 : 0;
    if (runs > 1)
        return "ran twice";
    for (request const& r : m.requests)
    {
        if (r.seen == caller_view::not_run && r.has_run)
            return "not_run is false";
        if (r.seen == caller_view::ran && runs == 0)
            return "ran is false";
    }
    return "";
}

search_result check_once(safeguards const& g, fault_budget const& budget)
{
    model start;
    start.left = budget;
    start.agents[1].offset = 1;
    for (agent& a : start.agents)
        a.state.clock_base_ms = a.offset;
    auto const steps = [&](model const& m, auto const& emit)
    {
        if (m.time < budget.last_time)
        {
            model s = m;
            ++s.time;
            emit("time", std::move(s));
        }
        for (std::size_t i = 0; i < 2; ++i)
        {
            plan_steps(m, i, g, emit);
            store_steps(m, i, g, emit);
            request_steps(m, i, g, emit);
            eviction_steps(m, i, g, emit);
            fault_steps(m, i, emit);
        }
    };
    return search_states(start, key_of, steps, check_state, 2500000);
}

void report(char const* name, search_result const& r)
{
    std::cout << name << ": " << r.states << " states, " << r.transitions
              << " transitions" << (r.is_complete ? ", complete" : "");
    if (!r.fault.empty())
    {
        std::cout << ", " << r.fault << ":";
        for (std::string const& it : r.path)
            std::cout << " " << it << ";";
    }
    std::cout << std::endl;
}

// The agents are symmetric: one order of their clocks covers both.
void check_holds(char const* name, fault_budget const& budget)
{
    search_result const r = check_once({}, budget);
    report(name, r);
    CHECK(r.fault.empty());
    CHECK(r.is_complete);
}

void check_fails(
    char const* name, safeguards const& g, fault_budget const& budget,
    std::string const& fault)
{
    search_result const r = check_once(g, budget);
    report(name, r);
    CHECK(r.fault == fault);
}

} // namespace

// Guards against a second run, or a false run state, when a process is killed
// and restarted on its address with any clock within the bound.
TEST_CASE("a key runs at most once in all states with crashes")
{
    check_holds("crash", {.crashes = 1, .last_time = 4});
}

// The same for a key whose time is after the end of the first lease.
TEST_CASE("a late key runs at most once in all states with crashes")
{
    check_holds(
        "crash, late key",
        {.crashes = 1, .attempts = 1, .last_time = 5, .key_time = 4});
    check_holds("late key", {.last_time = 7, .key_time = 4});
}

// Guards against a second run, or a false run state, when messages or responses
// of the store are lost, or writes arrive late.
TEST_CASE("a key runs at most once in all states with losses")
{
    check_holds("loss", {.losses = 1, .last_time = 4});
}

// The same when a process is killed as well.
TEST_CASE("a key runs at most once in all states with a crash and a loss")
{
    check_holds(
        "crash and loss",
        {.crashes = 1, .losses = 1, .attempts = 1, .last_time = 3});
}

// Guards against a second run, or a false run state, when a clock is set
// within the bound.
TEST_CASE("a key runs at most once in all states with clock changes")
{
    check_holds("clock change", {.clock_changes = 1, .last_time = 5});
}

// Guards against a second run, or a false run state, when a partition is
// handed over.
TEST_CASE("a key runs at most once in all states with handovers")
{
    check_holds("handover", {.releases = 1, .last_time = 5});
}

// Guards against a check that can't fail: disables each safeguard of the
// protocol in turn.
TEST_CASE("the at-most-once check fails without each guard")
{
    check_fails("no bound", {.has_bound = false}, {}, "ran twice");
    check_fails(
        "no lease check", {.checks_lease = false}, {.key_time = 4},
        "ran twice");
    check_fails(
        "unconditional write", {.conditional_write = false}, {}, "ran twice");
    check_fails("no window", {.has_window = false}, {}, "ran twice");
    check_fails(
        "no floor", {.keeps_min_key_time = false},
        {.clock_changes = 1, .last_time = 5}, "ran twice");
    check_fails(
        "no margin for clocks", {.margin_for_clocks = false},
        {.crashes = 1, .last_time = 4}, "ran twice");
    check_fails(
        "not_run after a loss", {.unknown_on_loss = false}, {.losses = 1},
        "not_run is false");
}
