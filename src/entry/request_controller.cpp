#include "entry/request_controller.hpp"

#include <nlohmann/json.hpp>
#include <vector>

namespace marjorambeam
{
namespace
{

// The agent may know of a withdrawal before this entry does.
constexpr duration version_wait = std::chrono::seconds(1);
constexpr int first_server_error = 500;
// The rest of a longer stream is not rated.
constexpr std::size_t max_rated_bytes = std::size_t{256} << 10U;

// Refusals that speak of the key: their run state is that of an earlier
// request with the key, while this one has not run.
bool is_about_key(error_kind kind)
{
    return kind == error_kind::key_expired ||
           kind == error_kind::key_in_progress ||
           kind == error_kind::key_reused ||
           kind == error_kind::key_outcome_unknown ||
           kind == error_kind::key_time_invalid;
}

} // namespace

request_controller::request_controller(
    entry_state& state, agent_links& links, routing_controller& routing,
    quarantine_controller& quarantine, attempt_handler on_attempt,
    end_handler on_end)
    : state_(state)
    , links_(links)
    , routing_(routing)
    , quarantine_(quarantine)
    , on_attempt_(std::move(on_attempt))
    , on_end_(std::move(on_end))
{
}

void request_controller::explain(entry_request const& r, std::string sentence)
{
    state_.traces.add(r.id, wall_now(), std::move(sentence));
}

http_headers request_controller::response_headers(entry_request const& r) const
{
    http_headers headers{
        {"X-Request-Id", r.id}, {"X-Attempts", std::to_string(r.work.attempt)}};
    if (!r.version_id.empty())
        headers.emplace_back("X-Model-Version", r.version_id);
    if (!r.session_token.empty())
        headers.emplace_back("X-Session-Id", r.session_token);
    return headers;
}

entry_request*
request_controller::find(std::string_view id, std::uint32_t attempt)
{
    auto const it = state_.requests.find(std::string(id));
    if (it == state_.requests.end() || it->second->work.attempt != attempt ||
        it->second->instance.empty())
    {
        state_.cluster.counters.count("frames_dropped_total", "frame_stale");
        return nullptr;
    }
    return it->second.get();
}

void request_controller::begin(
    std::unique_ptr<entry_request> request, steady_time now)
{
    entry_request& r = *request;
    state_.requests[r.id] = std::move(request);
    r.answer = std::make_unique<answer_assembly>(
        r.id, r.work.is_stream ? delivery::stream : delivery::whole);
    r.exchange->on_close(
        [this, id = r.id]
        {
            auto const it = state_.requests.find(id);
            if (it == state_.requests.end() || !it->second->work.is_idempotent)
                return;
            error const why =
                make_error(error_kind::cancelled, "the caller disconnected");
            it->second->earlier_run =
                combine(it->second->earlier_run, run_state::unknown);
            finish(*it->second, &why, steady_now());
        });
    start_attempt(r, now);
}

bool request_controller::wait_for_version(
    entry_request& r, error_kind kind, run_state run, steady_time now)
{
    bool const may_choose = kind == error_kind::version_withdrawn &&
                            choose_again_ && run == run_state::not_run &&
                            r.work.attempt < max_attempts;
    second_choice const choice =
        may_choose ? choose_again_(r) : second_choice::none;
    if (choice == second_choice::none)
        return false;
    leave_attempt(r);
    r.tried.clear();
    state_.cluster.counters.count("versions_chosen_again_total");
    explain(r, "The version was withdrawn; another one is chosen.");
    if (choice == second_choice::later)
        r.withdrawn_at = now;
    start_attempt(r, now);
    return true;
}

bool request_controller::may_start(entry_request& r, steady_time now)
{
    if (r.withdrawn_at)
    {
        second_choice const choice = choose_again_(r);
        bool const is_late = now - *r.withdrawn_at >= version_wait;
        r.is_waiting = choice == second_choice::later && !is_late;
        if (r.is_waiting)
            return false;
        if (choice != second_choice::chosen)
        {
            give_up(
                r,
                make_error(
                    error_kind::version_withdrawn,
                    "the version " + r.version_id + " is withdrawn"),
                now);
            return false;
        }
        r.withdrawn_at.reset();
    }
    quarantine_decision const ruling =
        quarantine_.evaluate(r.id, r.work.fingerprint, r.deadline, now);
    r.is_waiting = ruling.must_wait;
    r.work.run_alone = ruling.run_alone;
    if (!ruling.refusal)
        return !r.is_waiting;
    give_up(r, *ruling.refusal, now);
    return false;
}

void request_controller::start_attempt(entry_request& r, steady_time now)
{
    if (!may_start(r, now))
        return;
    result<route> const to = routing_.choose(r, now);
    if (!to)
    {
        give_up(r, to.error(), now);
        return;
    }
    ++r.work.attempt;
    r.upstream = to->upstream;
    r.instance = to->instance;
    r.instances.push_back(to->instance);
    r.responder = 0;
    r.work.sender = state_.cluster.identity.self;
    r.work.generation = state_.cluster.config->number;
    r.work.tokens_delivered = r.answer->delivered().tokens;
    r.work.deadline_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(r.deadline - now)
            .count();
    explain(
        r, "Attempt " + std::to_string(r.work.attempt) + " for " +
               r.work.target + " goes to " + r.upstream + ": " + to->reason +
               ".");
    routing_.note_sent(r.upstream);
    links_.send(r.instance, r.work, now);
}

void request_controller::on_message(
    std::string_view instance, message&& m, steady_time now)
{
    auto note_load = [&](upstream_load const& load)
    { routing_.note_load(instance, load, now); };
    auto dispatch = [&](auto const& value, auto handler)
    {
        if (entry_request* r = find(value.request_id, value.attempt))
            (this->*handler)(*r, value, now);
    };
    if (auto const* v = std::get_if<work_accepted>(&m))
        note_load(v->load);
    else if (auto const* v = std::get_if<work_refused>(&m))
    {
        note_load(v->load);
        dispatch(*v, &request_controller::on_refused);
    }
    else if (auto const* v = std::get_if<answer_chunk>(&m))
        dispatch(*v, &request_controller::on_chunk);
    else if (auto const* v = std::get_if<answer_end>(&m))
    {
        note_load(v->load);
        dispatch(*v, &request_controller::on_end);
    }
    else if (auto const* v = std::get_if<answer_failed>(&m))
    {
        note_load(v->load);
        dispatch(*v, &request_controller::on_failed);
    }
    else if (auto const* v = std::get_if<heartbeat>(&m))
        note_load(v->load);
}

void request_controller::on_refused(
    entry_request& r, work_refused const& m, steady_time now)
{
    if (wait_for_version(r, m.kind, m.run, now))
        return;
    error why = make_error(m.kind, m.text);
    why.run = m.run;
    why.retry_after = std::chrono::milliseconds(m.retry_after_ms);
    if (m.kind == error_kind::not_keyspace_owner)
    {
        routing_.note_owner(r, m.owner);
        r.owner = m.owner == r.upstream ? std::string() : m.owner;
    }
    // An agent learns late that the owner is gone; without this, the request
    // would go back and forth between them.
    if (!r.owner.empty() && r.owner == r.failed_owner)
    {
        why = make_error(
            error_kind::keyspace_unavailable,
            "the owner of the key can't be reached");
        why.run = m.run;
    }
    fail_attempt(r, why, now);
}

bool request_controller::check(
    entry_request& r, frame_verdict verdict, steady_time now)
{
    if (verdict == frame_verdict::stale)
        state_.cluster.counters.count("frames_dropped_total", "frame_stale");
    if (verdict == frame_verdict::corrupt)
    {
        fail_attempt(
            r,
            make_error(
                error_kind::answer_corrupt,
                "a part of the answer is missing or changed"),
            now);
    }
    return verdict == frame_verdict::accepted;
}

void request_controller::begin_answer(entry_request& r, incarnation sender)
{
    if (r.responder != 0)
        return;
    r.responder = sender;
    r.answer->begin_attempt(r.work.attempt, sender);
}

void request_controller::on_chunk(
    entry_request& r, answer_chunk const& m, steady_time now)
{
    begin_answer(r, m.sender);
    if (!check(r, r.answer->accept(m), now))
        return;
    if (!r.has_first_token)
    {
        r.has_first_token = true;
        state_.cluster.counters.observe(
            "first_token_seconds", "", to_seconds(now - r.admitted_at));
    }
    if (!r.work.is_stream)
        return;
    if (!r.exchange->is_started())
    {
        http_headers headers = response_headers(r);
        headers.emplace_back("Content-Type", "text/event-stream");
        headers.emplace_back("Cache-Control", "no-cache");
        r.exchange->start_stream(200, headers);
    }
    if (r.is_rated && r.rated_text.size() < max_rated_bytes)
        r.rated_text += m.bytes;
    r.exchange->write(m.bytes);
}

void request_controller::note_attempt(entry_request const& r, bool has_failed)
{
    if (!r.version_id.empty())
        on_attempt_(r.version_id, has_failed);
}

void request_controller::on_end(
    entry_request& r, answer_end const& m, steady_time now)
{
    begin_answer(r, m.sender);
    if (!check(r, r.answer->accept(m), now))
        return;
    r.tokens_in = m.tokens_in;
    r.earlier_run = run_state::ran;
    r.is_replay = m.is_replay;
    if (!r.work.key.empty())
        routing_.note_owner(r, r.upstream);
    r.tokens_out =
        r.work.is_stream ? r.answer->delivered().tokens : m.tokens_out;
    if (r.exchange->is_started())
        r.exchange->end_stream();
    else
    {
        http_headers headers = response_headers(r);
        if (!m.content_type.empty())
            headers.emplace_back("Content-Type", m.content_type);
        r.exchange->respond(
            m.status, headers, r.work.is_stream ? "" : r.answer->body());
    }
    note_attempt(r, m.status >= first_server_error);
    quarantine_.record_response(r.work.fingerprint);
    explain(
        r, "Answered with status " + std::to_string(m.status) + " and " +
               std::to_string(r.tokens_out) + " tokens.");
    finish(r, nullptr, now);
}

void request_controller::on_failed(
    entry_request& r, answer_failed const& m, steady_time now)
{
    // A withdrawal also reaches work that waits in the agent's queue.
    if (wait_for_version(r, m.kind, m.run, now))
        return;
    error why = make_error(m.kind, m.text);
    why.run = m.run;
    bool const is_fault = m.is_crash || m.kind == error_kind::upstream_failed ||
                          m.kind == error_kind::upstream_silent;
    if (is_fault)
        note_attempt(r, true);
    if (m.is_crash)
    {
        quarantine_.record_crash(
            r.upstream, r.work.fingerprint, r.work.run_alone, now);
    }
    fail_attempt(r, why, now);
}

void request_controller::on_attempt_lost(
    std::string_view /*instance*/, attempt_id const& attempt, error const& why,
    steady_time now)
{
    if (entry_request* r = find(attempt.first, attempt.second))
        fail_attempt(*r, why, now);
}

void request_controller::leave_attempt(entry_request& r)
{
    if (r.instance.empty())
        return;
    links_.finish(r.instance, {r.id, r.work.attempt});
    routing_.note_done(r.upstream);
    r.answer->end_attempt();
    r.tried.push_back(r.upstream);
    r.instance.clear();
    r.upstream.clear();
}

retry_question request_controller::question_after(
    entry_request const& r, error const& why, steady_time now)
{
    retry_question q;
    q.kind = why.kind;
    q.run = why.run;
    q.earlier_run = r.earlier_run;
    q.is_idempotent = r.work.is_idempotent;
    q.has_delivered = r.exchange->is_started();
    q.can_resume = r.work.kind == work_kind::model;
    q.attempts = r.work.attempt;
    q.remaining = r.deadline - now;
    q.retry_after = why.retry_after;
    // Only the owner queues a call with a key.
    bool const is_owner_busy =
        !r.work.is_idempotent && (why.kind == error_kind::queue_full ||
                                  why.kind == error_kind::deadline_unreachable);
    q.has_other =
        !is_owner_busy && (!r.owner.empty() || routing_.has_other(r, now));
    return q;
}

void request_controller::forget_owner(entry_request& r, error const& why)
{
    if (r.work.key.empty() || why.kind == error_kind::not_keyspace_owner)
        return;
    r.failed_owner = r.upstream;
    r.owner.clear();
    routing_.note_owner(r, {});
}

bool request_controller::replace_key(entry_request& r, error const& why)
{
    // The owner has lost its memory or its clock differs. Only this request
    // has the key, so it has not run if no attempt has.
    bool const is_refused = why.kind == error_kind::key_expired ||
                            why.kind == error_kind::key_time_invalid;
    if (!is_refused || !r.has_generated_key || r.is_key_replaced ||
        r.earlier_run != run_state::not_run || r.work.attempt >= max_attempts)
        return false;
    r.is_key_replaced = true;
    // Without a time, so that it is reserved in the object API and no bound
    // of the owner excludes it.
    r.work.key = r.id + "-" + to_hex(random_incarnation());
    r.tried.clear();
    r.failed_owner.clear();
    state_.cluster.counters.count("keys_replaced_total", to_string(why.kind));
    return true;
}

void request_controller::fail_attempt(
    entry_request& r, error const& why, steady_time now)
{
    explain(
        r, "Attempt " + std::to_string(r.work.attempt) + " failed: " +
               std::string(to_string(why.kind)) + ", " + why.message + ".");
    bool const may_have_run =
        why.run != run_state::not_run && !is_about_key(why.kind);
    if (may_have_run)
        routing_.note_failed(r.upstream, now);
    forget_owner(r, why);
    leave_attempt(r);
    if (replace_key(r, why))
        return start_attempt(r, now);
    retry_decision const d =
        decide_retry(state_.retries, question_after(r, why, now));
    if (may_have_run)
        r.earlier_run = combine(r.earlier_run, why.run);
    if (d.action == retry_action::give_up)
    {
        state_.cluster.counters.count("given_up_total", to_string(d.reason));
        error last = why;
        last.kind = d.kind;
        last.run = d.run;
        last.retry_after = d.retry_after;
        give_up(r, last, now);
        return;
    }
    state_.cluster.counters.count("retries_total", to_string(d.reason));
    start_attempt(r, now);
}

void request_controller::give_up(
    entry_request& r, error const& last, steady_time now)
{
    error why = last;
    why.run = combine(r.earlier_run, last.run);
    state_.cluster.counters.count("refusals_total", to_string(why.kind));
    explain(r, "Gave up: " + std::string(to_string(why.kind)) + ".");
    if (r.exchange->is_started())
    {
        std::string event = error_body(why, r.id);
        event.pop_back();
        r.exchange->write("data: " + event + "\n\n");
        r.exchange->end_stream();
    }
    else
    {
        respond_error(*r.exchange, why, r.id, response_headers(r));
    }
    finish(r, &why, now);
}

void request_controller::finish(
    entry_request& r, error const* why, steady_time now)
{
    if (!r.instance.empty() && why != nullptr)
        links_.send_cancel(r.instance, {r.id, r.work.attempt});
    leave_attempt(r);
    quarantine_.end_request(r.id, r.work.fingerprint);
    state_.cluster.counters.observe(
        "request_seconds",
        to_string(why == nullptr ? error_kind::internal : why->kind),
        to_seconds(now - r.admitted_at));
    log_.write(
        why == nullptr ? log_event::request_served : log_event::request_failed,
        {{"request_id", r.id},
         {"customer", r.customer},
         {"target", r.work.target},
         {"attempts", std::to_string(r.work.attempt)},
         {"outcome",
          why == nullptr ? "ok" : std::string(to_string(why->kind))}});
    auto const it = state_.requests.find(r.id);
    std::unique_ptr<entry_request> const owner = std::move(it->second);
    state_.requests.erase(it);
    on_end_(*owner, why);
}

void request_controller::tick(steady_time now)
{
    std::vector<entry_request*> expired;
    std::vector<entry_request*> waiting;
    for (auto const& [id, r] : state_.requests)
    {
        if (now >= r->deadline)
            expired.push_back(r.get());
        else if (r->is_waiting)
            waiting.push_back(r.get());
    }
    for (entry_request* it : waiting)
        start_attempt(*it, now);
    for (entry_request* it : expired)
    {
        error why = make_error(
            error_kind::deadline_exceeded, "the request's deadline passed");
        if (it->instance.empty())
            why.run = run_state::not_run;
        it->earlier_run = combine(it->earlier_run, why.run);
        give_up(*it, why, now);
    }
}

void request_controller::cut_all(steady_time now)
{
    std::vector<entry_request*> all;
    for (auto const& [id, r] : state_.requests)
        all.push_back(r.get());
    for (entry_request* it : all)
    {
        error why = make_error(
            error_kind::shutting_down, "the entry stops and can't wait longer");
        why.run = run_state::unknown;
        it->earlier_run = combine(it->earlier_run, why.run);
        give_up(*it, why, now);
    }
}

} // namespace marjorambeam
