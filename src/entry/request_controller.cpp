#include "entry/request_controller.hpp"

#include <nlohmann/json.hpp>
#include <vector>

namespace marjorambeam
{
namespace
{

// How long a request waits for this entry to receive a withdrawal that the
// agent already has.
constexpr duration withdrawal_wait_limit = std::chrono::seconds(1);
constexpr int first_server_error = 500;
// Text of a stream past this size is not rated.
constexpr std::size_t max_rated_bytes = std::size_t{256} << 10U;

// Returns whether a refusal concerns the idempotency key. Its run state is
// then that of an earlier request with the key; this request has not run.
bool is_key_error(error_kind kind)
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

void request_controller::trace(entry_request const& r, std::string sentence)
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

bool request_controller::try_reselect_version(
    entry_request& r, error_kind kind, run_state run, steady_time now)
{
    bool const may_choose = kind == error_kind::version_withdrawn &&
                            reselect_version_ && run == run_state::not_run &&
                            r.work.attempt < max_attempts;
    version_reselection const choice =
        may_choose ? reselect_version_(r) : version_reselection::none;
    if (choice == version_reselection::none)
        return false;
    release_attempt(r);
    r.tried.clear();
    state_.cluster.counters.count("versions_chosen_again_total");
    trace(r, "The version was withdrawn; choosing another one.");
    if (choice == version_reselection::later)
        r.withdrawn_at = now;
    start_attempt(r, now);
    return true;
}

bool request_controller::can_start(entry_request& r, steady_time now)
{
    if (r.withdrawn_at)
    {
        version_reselection const choice = reselect_version_(r);
        bool const has_timed_out =
            now - *r.withdrawn_at >= withdrawal_wait_limit;
        r.is_waiting = choice == version_reselection::later && !has_timed_out;
        if (r.is_waiting)
            return false;
        if (choice != version_reselection::chosen)
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
    if (!can_start(r, now))
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
    trace(
        r, "Attempt " + std::to_string(r.work.attempt) + " for " +
               r.work.target + " goes to " + r.upstream + ": " + to->reason +
               ".");
    routing_.record_sent(r.upstream);
    links_.send(r.instance, r.work, now);
}

void request_controller::on_message(
    std::string_view instance, message&& m, steady_time now)
{
    auto record_load = [&](upstream_load const& load)
    { routing_.record_load(instance, load, now); };
    auto dispatch = [&](auto const& value, auto handler)
    {
        if (entry_request* r = find(value.request_id, value.attempt))
            (this->*handler)(*r, value, now);
    };
    if (auto const* v = std::get_if<work_accepted>(&m))
        record_load(v->load);
    else if (auto const* v = std::get_if<work_refused>(&m))
    {
        record_load(v->load);
        dispatch(*v, &request_controller::on_refused);
    }
    else if (auto const* v = std::get_if<answer_chunk>(&m))
        dispatch(*v, &request_controller::on_chunk);
    else if (auto const* v = std::get_if<answer_end>(&m))
    {
        record_load(v->load);
        dispatch(*v, &request_controller::on_end);
    }
    else if (auto const* v = std::get_if<answer_failed>(&m))
    {
        record_load(v->load);
        dispatch(*v, &request_controller::on_failed);
    }
    else if (auto const* v = std::get_if<heartbeat>(&m))
        record_load(v->load);
}

void request_controller::on_refused(
    entry_request& r, work_refused const& m, steady_time now)
{
    if (try_reselect_version(r, m.kind, m.run, now))
        return;
    error why = make_error(m.kind, m.text);
    why.run = m.run;
    why.retry_after = std::chrono::milliseconds(m.retry_after_ms);
    if (m.kind == error_kind::not_keyspace_owner)
    {
        routing_.record_owner(r, m.owner);
        r.owner = m.owner == r.upstream ? std::string() : m.owner;
    }
    // Agents detect the loss of an owner with a delay. Without this check, the
    // request would be redirected back and forth between them.
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
                "a part of the response is missing or changed"),
            now);
    }
    return verdict == frame_verdict::accepted;
}

void request_controller::begin_response(entry_request& r, incarnation sender)
{
    if (r.responder != 0)
        return;
    r.responder = sender;
    r.answer->begin_attempt(r.work.attempt, sender);
}

void request_controller::on_chunk(
    entry_request& r, answer_chunk const& m, steady_time now)
{
    begin_response(r, m.sender);
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

void request_controller::record_attempt(entry_request const& r, bool has_failed)
{
    if (!r.version_id.empty())
        on_attempt_(r.version_id, has_failed);
}

void request_controller::on_end(
    entry_request& r, answer_end const& m, steady_time now)
{
    begin_response(r, m.sender);
    if (!check(r, r.answer->accept(m), now))
        return;
    r.tokens_in = m.tokens_in;
    r.earlier_run = run_state::ran;
    r.is_replay = m.is_replay;
    if (!r.work.key.empty())
        routing_.record_owner(r, r.upstream);
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
    record_attempt(r, m.status >= first_server_error);
    quarantine_.record_response(r.work.fingerprint);
    trace(
        r, "Responded with status " + std::to_string(m.status) + " and " +
               std::to_string(r.tokens_out) + " tokens.");
    finish(r, nullptr, now);
}

void request_controller::on_failed(
    entry_request& r, answer_failed const& m, steady_time now)
{
    // A withdrawal also removes requests from the agent's queue.
    if (try_reselect_version(r, m.kind, m.run, now))
        return;
    error why = make_error(m.kind, m.text);
    why.run = m.run;
    bool const is_fault = m.is_crash || m.kind == error_kind::upstream_failed ||
                          m.kind == error_kind::upstream_silent;
    if (is_fault)
        record_attempt(r, true);
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

void request_controller::release_attempt(entry_request& r)
{
    if (r.instance.empty())
        return;
    links_.finish(r.instance, {r.id, r.work.attempt});
    routing_.record_done(r.upstream);
    r.answer->end_attempt();
    r.tried.push_back(r.upstream);
    r.instance.clear();
    r.upstream.clear();
}

failed_attempt request_controller::make_retry_question(
    entry_request const& r, error const& why, steady_time now)
{
    failed_attempt q;
    q.kind = why.kind;
    q.run = why.run;
    q.earlier_run = r.earlier_run;
    q.is_idempotent = r.work.is_idempotent;
    q.has_delivered = r.exchange->is_started();
    q.can_resume = r.work.kind == work_kind::model;
    q.attempts = r.work.attempt;
    q.remaining = r.deadline - now;
    q.retry_after = why.retry_after;
    // A call with a key can only be queued at the owner, so a full queue there
    // leaves no alternative.
    bool const is_owner_busy =
        !r.work.is_idempotent && (why.kind == error_kind::queue_full ||
                                  why.kind == error_kind::deadline_unreachable);
    q.has_untried_upstream =
        !is_owner_busy &&
        (!r.owner.empty() || routing_.has_alternative(r, now));
    return q;
}

void request_controller::invalidate_owner(entry_request& r, error const& why)
{
    if (r.work.key.empty() || why.kind == error_kind::not_keyspace_owner)
        return;
    r.failed_owner = r.upstream;
    r.owner.clear();
    routing_.record_owner(r, {});
}

bool request_controller::replace_key(entry_request& r, error const& why)
{
    // The owner restarted and lost its records, or its clock differs. The key
    // is unique to this request, so it has not run if no attempt has.
    bool const is_refused = why.kind == error_kind::key_expired ||
                            why.kind == error_kind::key_time_invalid;
    if (!is_refused || !r.has_generated_key || r.is_key_replaced ||
        r.earlier_run != run_state::not_run || r.work.attempt >= max_attempts)
        return false;
    r.is_key_replaced = true;
    // The new key carries no timestamp, so it is reserved in the object API
    // and the owner's time bounds don't apply to it.
    r.work.key = r.id + "-" + to_hex(random_incarnation());
    r.tried.clear();
    r.failed_owner.clear();
    state_.cluster.counters.count("keys_replaced_total", to_string(why.kind));
    return true;
}

void request_controller::fail_attempt(
    entry_request& r, error const& why, steady_time now)
{
    trace(
        r, "Attempt " + std::to_string(r.work.attempt) + " failed: " +
               std::string(to_string(why.kind)) + ", " + why.message + ".");
    bool const may_have_run =
        why.run != run_state::not_run && !is_key_error(why.kind);
    if (may_have_run)
        routing_.record_failed(r.upstream, now);
    invalidate_owner(r, why);
    release_attempt(r);
    if (replace_key(r, why))
        return start_attempt(r, now);
    retry_decision const d =
        decide_retry(state_.retries, make_retry_question(r, why, now));
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
    trace(r, "Gave up: " + std::string(to_string(why.kind)) + ".");
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
    release_attempt(r);
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

void request_controller::abort_all(steady_time now)
{
    std::vector<entry_request*> all;
    for (auto const& [id, r] : state_.requests)
        all.push_back(r.get());
    for (entry_request* it : all)
    {
        error why = make_error(
            error_kind::shutting_down,
            "the entry is shutting down and its drain limit has passed");
        why.run = run_state::unknown;
        it->earlier_run = combine(it->earlier_run, why.run);
        give_up(*it, why, now);
    }
}

} // namespace marjorambeam
