// Explicit-state check of the billing protocol: two requests, an entry, an
// agent and the store, with kills at every step, lost messages and lost
// responses of the store. Runs the real usage_batcher and unconfirmed_usage.
#include "billing/usage_batcher.hpp"
#include "state_search/state_search.hpp"

#include <array>
#include <catch2/catch.hpp>
#include <iostream>
#include <map>
#include <optional>
#include <utility>

using namespace marjorambeam;

namespace
{

constexpr std::size_t requests = 2;
constexpr incarnation entry_id = 1;
constexpr incarnation agent_id = 2;
// Every delay of the posters is over at each step.
constexpr batch_times at_once{
    duration{0}, duration{0}, 100, duration{0}, duration{0}};

// Safeguards of the protocol that a check disables.
struct safeguards
{
    bool agent_keeps_records = true; // until the entry confirms the record
    bool merges_by_id = true;        // in the bill
    bool waits_for_response = true;  // before a segment counts as posted
};

struct fault_budget
{
    int kills = 1;
    int lost_responses = 2; // of the store
    int lost_messages = 1;
};

enum class work_phase : std::uint8_t
{
    idle,
    at_agent,  // sent
    responded, // the agent has finished; its response is in transit
    ended,     // the entry has recorded it
    abandoned, // the entry was killed before it recorded anything
};

enum class post_phase : std::uint8_t
{
    none,
    sent,
    conflict, // responses in transit
    created
};

struct daemon
{
    bool is_alive = true;
    usage_batcher poster;
    std::optional<ledger_segment> segment;
    post_phase post = post_phase::none;
    // A post that the daemon gave up on and the store has not received yet.
    std::optional<ledger_segment> late;
    std::vector<std::string> confirmed; // to report to the agent
};

struct model
{
    std::array<work_phase, requests> work{};
    std::array<bool, requests> has_run{};      // at the agent, to its end
    std::array<bool, requests> is_truncated{}; // by the entry's record
    daemon entry{.poster = usage_batcher(entry_id, at_once)};
    daemon agent{.poster = usage_batcher(agent_id, at_once)};
    unconfirmed_usage holder{duration{0}};
    std::map<std::string, std::string> ledger;
    fault_budget left;
};

std::string id_of(std::size_t i)
{
    return "r" + std::to_string(i);
}

usage_record record_of(std::size_t i, process_role poster, bool is_whole)
{
    usage_record r;
    r.request_id = id_of(i);
    r.customer = "c";
    r.poster = poster;
    r.is_whole = is_whole;
    r.stages.push_back({.target = "m@v", .price_call = 1});
    return r;
}

void append_daemon(std::string& key, daemon const& d)
{
    batcher_status const s = d.poster.status();
    key += d.is_alive ? 'A' : 'D';
    key += static_cast<char>('0' + static_cast<int>(d.post));
    key += std::to_string(s.sequence);
    key += s.is_in_flight ? 'u' : '-';
    key += s.may_be_stored ? 'm' : '-';
    for (auto const* list : {&s.waiting, &s.posting, &d.confirmed})
    {
        for (std::string const& it : *list)
            key += it;
        key += '/';
    }
    // Merged records keep their id but may change between complete and
    // truncated.
    for (usage_record const& it : d.poster.unconfirmed())
        key += it.is_whole ? 'w' : 'c';
    if (d.segment)
        key += d.segment->name;
    if (d.late)
        key += "late" + d.late->name;
}

std::string key_of(model const& m)
{
    std::string key;
    for (std::size_t i = 0; i < requests; ++i)
    {
        key += static_cast<char>('0' + static_cast<int>(m.work[i]));
        key += m.has_run[i] ? 'r' : '-';
        key += m.is_truncated[i] ? 'c' : '-';
    }
    append_daemon(key, m.entry);
    append_daemon(key, m.agent);
    key += std::to_string(m.left.kills) + "," +
           std::to_string(m.left.lost_responses) + "," +
           std::to_string(m.left.lost_messages);
    for (auto const& [name, text] : m.ledger)
        key += name + text;
    return key;
}

error lost_response()
{
    error e = make_error(error_kind::store_unavailable, "lost");
    e.run = run_state::unknown;
    return e;
}

// Ends the post of a daemon with the response that arrived, or without one.
std::vector<std::string> end_post(daemon& d, bool is_lost)
{
    post_phase const was = std::exchange(d.post, post_phase::none);
    if (is_lost)
        return d.poster.on_failed(lost_response(), steady_time{});
    if (was == post_phase::conflict)
        return d.poster.on_failed(
            make_error(error_kind::conflict, "taken"), steady_time{});
    return d.poster.on_created();
}

// Steps of a daemon's poster; the same for entry and agent.
template <class Emit>
void post_steps(
    model const& m, daemon model::*who, safeguards const& g, Emit const& emit)
{
    daemon const& d = m.*who;
    if (d.late)
    {
        model s = m;
        s.ledger.emplace(d.late->name, d.late->text);
        (s.*who).late.reset();
        emit("delayed post applies", std::move(s));
    }
    if (d.is_alive && d.post == post_phase::none && d.poster.held() > 0)
    {
        model s = m;
        daemon& to = s.*who;
        to.segment = to.poster.next_segment(steady_time{});
        to.post = post_phase::sent;
        if (!g.waits_for_response)
        {
            for (auto& it : to.poster.on_created())
                to.confirmed.push_back(it);
        }
        emit("post", std::move(s));
    }
    if (d.post == post_phase::sent)
    {
        model s = m;
        bool const is_new =
            s.ledger.emplace(d.segment->name, d.segment->text).second;
        (s.*who).post = is_new ? post_phase::created : post_phase::conflict;
        emit("store applies", std::move(s));
    }
    bool const may_lose = m.left.lost_responses > 0 && d.is_alive;
    if (d.post != post_phase::none && may_lose)
    {
        model s = m;
        --s.left.lost_responses;
        if (g.waits_for_response)
            end_post(s.*who, true);
        (s.*who).post = post_phase::none;
        if (d.post == post_phase::sent)
        {
            model late = s;
            (late.*who).late = d.segment;
            emit("post delayed", std::move(late));
        }
        emit("response lost", std::move(s));
    }
    bool const has_response =
        d.post == post_phase::created || d.post == post_phase::conflict;
    if (d.is_alive && has_response)
    {
        model s = m;
        if (g.waits_for_response)
        {
            for (auto& it : end_post(s.*who, false))
                (s.*who).confirmed.push_back(it);
        }
        (s.*who).post = post_phase::none;
        emit("response arrives", std::move(s));
    }
}

// Steps of one request's work.
template <class Emit>
void work_steps(
    model const& m, std::size_t i, safeguards const& g, Emit const& emit)
{
    bool const entry = m.entry.is_alive;
    bool const agent = m.agent.is_alive;
    auto const end = [&](char const* label, bool is_truncated)
    {
        model s = m;
        s.work[i] = work_phase::ended;
        s.is_truncated[i] = is_truncated;
        s.entry.poster.add(record_of(i, process_role::entry, !is_truncated));
        emit(label, std::move(s));
    };
    if (m.work[i] == work_phase::idle && entry)
    {
        model s = m;
        s.work[i] = work_phase::at_agent;
        emit("send work", std::move(s));
    }
    if (m.work[i] == work_phase::at_agent && agent)
    {
        model s = m;
        s.work[i] = entry ? work_phase::responded : work_phase::abandoned;
        s.has_run[i] = true;
        if (g.agent_keeps_records)
        {
            s.holder.hold(
                record_of(i, process_role::agent, true), entry_id,
                steady_time{});
            if (!entry)
                s.holder.on_entry_lost(entry_id);
        }
        emit("agent finishes", std::move(s));
    }
    if (m.work[i] == work_phase::responded && entry)
    {
        end("response delivered", false);
        if (m.left.lost_messages > 0)
        {
            model s = m;
            --s.left.lost_messages;
            s.work[i] = work_phase::ended;
            s.is_truncated[i] = true;
            s.entry.poster.add(record_of(i, process_role::entry, false));
            emit("response lost in transit", std::move(s));
        }
    }
    if (m.work[i] == work_phase::at_agent && entry && !agent)
        end("connection lost", true);
}

// The agent receives the confirmed ids, or posts its unconfirmed records.
template <class Emit>
void unconfirmed_usage_steps(model const& m, Emit const& emit)
{
    if (m.entry.is_alive && !m.entry.confirmed.empty())
    {
        model s = m;
        if (s.agent.is_alive)
        {
            s.holder.confirmed(s.entry.confirmed);
            s.agent.poster.remove(s.entry.confirmed);
        }
        s.entry.confirmed.clear();
        emit("confirmation", std::move(s));
        if (m.left.lost_messages > 0)
        {
            model lost = m;
            --lost.left.lost_messages;
            lost.entry.confirmed.clear();
            emit("confirmation lost", std::move(lost));
        }
    }
    if (m.agent.is_alive && m.holder.held() > 0)
    {
        model s = m;
        for (usage_record& it : s.holder.remove_due(steady_time{}))
            s.agent.poster.add(std::move(it));
        emit("confirmation timeout", std::move(s));
    }
}

template <class Emit>
void kill_steps(model const& m, Emit const& emit)
{
    if (m.left.kills == 0)
        return;
    if (m.entry.is_alive)
    {
        model s = m;
        --s.left.kills;
        s.entry.is_alive = false;
        s.entry.poster = usage_batcher(entry_id, at_once);
        s.entry.confirmed.clear();
        s.holder.on_entry_lost(entry_id);
        for (work_phase& it : s.work)
        {
            if (it == work_phase::responded || it == work_phase::idle)
                it = work_phase::abandoned;
        }
        emit("entry killed", std::move(s));
    }
    if (m.agent.is_alive)
    {
        model s = m;
        --s.left.kills;
        s.agent.is_alive = false;
        s.agent.poster = usage_batcher(agent_id, at_once);
        s.holder = unconfirmed_usage(duration{0});
        emit("agent killed", std::move(s));
    }
}

// Steps that bring the protocol to its end, without faults.
template <class Emit>
void progress_steps(model const& m, safeguards const& g, Emit const& emit)
{
    for (std::size_t i = 0; i < requests; ++i)
        work_steps(m, i, g, emit);
    post_steps(m, &model::entry, g, emit);
    post_steps(m, &model::agent, g, emit);
    unconfirmed_usage_steps(m, emit);
}

std::string check_end(model const& m, safeguards const& g)
{
    std::map<std::string, int> lines;
    bill b;
    for (auto const& [name, text] : m.ledger)
    {
        auto const records = decode_records(text).value();
        for (usage_record const& it : records)
            ++lines[it.request_id];
        (void)b.add(text);
    }
    if (g.merges_by_id)
    {
        lines.clear();
        for (auto const& [id, record] : b.lines())
            lines[id] = 1;
    }
    for (std::size_t i = 0; i < requests; ++i)
    {
        int const n = lines[id_of(i)];
        if (n > 1)
            return "billed more than once";
        // At least one process with a record of the request is still alive.
        bool const is_known = m.entry.is_alive
                                  ? m.work[i] == work_phase::ended
                                  : m.agent.is_alive && m.has_run[i];
        if (n == 0 && is_known)
            return "not billed";
        bool const is_wrong =
            n == 1 && m.entry.is_alive &&
            b.lines().at(id_of(i)).is_whole == m.is_truncated[i];
        if (is_wrong)
            return "not billed by the entry's record";
    }
    return "";
}

search_result check_billing(safeguards const& g, fault_budget const& budget)
{
    model start;
    start.left = budget;
    auto const steps = [&](model const& m, auto const& emit)
    {
        progress_steps(m, g, emit);
        kill_steps(m, emit);
    };
    auto const check = [&](model const& m)
    {
        bool has_progress = false;
        progress_steps(
            m, g, [&](char const*, model const&) { has_progress = true; });
        // With both processes killed no process is left to post.
        bool const has_poster = m.entry.is_alive || m.agent.is_alive;
        return has_progress || !has_poster ? std::string() : check_end(m, g);
    };
    return search_states(start, key_of, steps, check, 400000);
}

void report(char const* name, search_result const& r)
{
    std::cout << name << ": " << r.states << " states, " << r.transitions
              << " transitions";
    if (!r.fault.empty())
    {
        std::cout << ", " << r.fault << ":";
        for (std::string const& it : r.path)
            std::cout << " " << it << ";";
    }
    std::cout << "\n";
}

} // namespace

// Guards against usage that is lost or billed twice when the entry or the
// agent is killed, or responses and messages are lost, at any step.
TEST_CASE("every request is billed exactly once in all states")
{
    search_result const r = check_billing({}, {});
    report("billing, one kill", r);
    CHECK(r.fault.empty());
    CHECK(r.is_complete);
    search_result const two =
        check_billing({}, {.kills = 2, .lost_responses = 1});
    report("billing, two kills", two);
    CHECK(two.fault.empty());
    CHECK(two.is_complete);
}

// Guards against a check that can't fail: disables each safeguard of the
// protocol in turn.
TEST_CASE("the billing check fails without each guard")
{
    search_result const no_hold =
        check_billing({.agent_keeps_records = false}, {});
    report("billing without the agent's records", no_hold);
    CHECK(no_hold.fault == "not billed");
    search_result const no_merge = check_billing({.merges_by_id = false}, {});
    report("billing without the merge by id", no_merge);
    CHECK(no_merge.fault == "billed more than once");
    search_result const no_wait =
        check_billing({.waits_for_response = false}, {});
    report("billing without waiting for the store", no_wait);
    CHECK_FALSE(no_wait.fault.empty());
}
