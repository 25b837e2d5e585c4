#include "gateway/quarantine_controller.hpp"

#include "base/id.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace marjorambeam
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration write_retry_delay = milliseconds(500);
constexpr duration write_timeout = seconds(2);
constexpr int max_removal_tries = 20;
// An upstream whose accepted connection stays open for this long goes on.
constexpr duration min_open_time = milliseconds(500);
// Longest list of parts in a log line, in bytes; callers choose the ids.
constexpr std::size_t max_logged_parts = 200;

std::string organisation_text(quarantine_key const& key)
{
    return key.organisation == 0 ? "-" : to_hex(key.organisation);
}

std::string parts_text(gateway_request const& r)
{
    std::string text;
    for (std::size_t i = 0; i + 1 < r.prompt.size(); ++i)
        text.append(text.empty() ? "" : ",").append(r.prompt[i].id);
    return text.substr(0, max_logged_parts);
}

} // namespace

quarantine_controller::quarantine_controller(
    gateway_state& state, datagram_socket& peers, http_client& client,
    upstream_pool& pool, platform_store_protocol const& protocol,
    store_documents const& documents, std::function<void(steady_time)> on_added)
    : state_(state)
    , peers_(peers)
    , client_(client)
    , pool_(pool)
    , protocol_(protocol)
    , documents_(documents)
    , on_added_(std::move(on_added))
{
}

void quarantine_controller::record_broken_attempt(
    std::shared_ptr<upstream_state> const& upstream,
    crash_suspect const& suspect, gateway_request const& request,
    steady_time now)
{
    upstream_info const& u = upstream->info;
    log_.write(
        log_event::crash_suspected,
        {{"request_id", request.attempt_id},
         {"upstream", u.id},
         {"started_ms", std::to_string(u.started_unix_ms)},
         {"fingerprint", to_hex(suspect.traits.request)},
         {"parts", parts_text(request)},
         {"begun", suspect.has_begun ? "yes" : "no"}});
    record_suspicion(state_.crashes, {suspect, u.id, u.started_unix_ms, now});
    probe(upstream, u.started_unix_ms, now);
}

void quarantine_controller::probe(
    std::shared_ptr<upstream_state> const& upstream, std::int64_t started_ms,
    steady_time broken)
{
    pool_.probe(
        upstream,
        [this, u = upstream, started_ms,
         broken](std::shared_ptr<upstream_connection> const& accepted)
        {
            if (accepted)
            {
                accepted_probes_.push_back(
                    {u, started_ms, broken, boot_now(), accepted});
                return;
            }
            state_.counters.count("crash_probes_total", "crashed");
            record_crash_of(u->info.id, boot_now());
        });
}

// An upstream that ends may accept connections for a moment after it has broken
// others; the kernel does so for its process until the listener is closed.
void quarantine_controller::judge_probes(steady_time now)
{
    std::vector<accepted_probe> due;
    auto const first = std::stable_partition(
        accepted_probes_.begin(), accepted_probes_.end(),
        [&](accepted_probe const& it)
        { return now - it.accepted < min_open_time; });
    std::move(first, accepted_probes_.end(), std::back_inserter(due));
    accepted_probes_.erase(first, accepted_probes_.end());
    for (accepted_probe const& it : due)
    {
        auto const c = it.connection.lock();
        bool const is_open = c && c->is_connected();
        if (is_open)
        {
            state_.counters.count("crash_probes_total", "reachable");
            record_accepted_connection(
                state_.crashes, it.upstream->info.id, it.started_ms, it.broken);
        }
        else if (now - it.broken <= crash_suspicion_ttl)
            probe(it.upstream, it.started_ms, it.broken);
    }
}

void quarantine_controller::record_dropped_answer(
    upstream_info const& upstream, request_traits const& traits,
    steady_time now)
{
    record_suspicion(
        state_.crashes, {.suspect = {.traits = traits, .has_begun = true},
                         .upstream = upstream.id,
                         .upstream_started_ms = upstream.started_unix_ms,
                         .at = now,
                         .was_dropped = true});
}

void quarantine_controller::record_crash_of(
    std::string_view upstream, steady_time now)
{
    std::vector<crash_suspicion> const confirmed =
        confirm_crash(state_.crashes, upstream, now);
    if (confirmed.empty())
        return;
    log_confirmed(confirmed);
    send_reports(now);
    refresh(now);
}

void quarantine_controller::log_confirmed(
    std::span<crash_suspicion const> confirmed)
{
    for (crash_suspicion const& it : confirmed)
    {
        state_.counters.count("crash_suspects_total", "own");
        log_.write(
            log_event::crash_confirmed,
            {{"upstream", it.upstream},
             {"started_ms", std::to_string(it.upstream_started_ms)},
             {"fingerprint", to_hex(it.suspect.traits.request)},
             {"dropped", it.was_dropped ? "yes" : "no"}});
    }
}

void quarantine_controller::log_entry(
    log_event event, quarantine_entry const& entry, std::string_view reason)
{
    part_finding const& f = entry.finding;
    log_.write(
        event, {{"part", to_hex(entry.document.key.part)},
                {"organisation", organisation_text(entry.document.key)},
                {"reason", std::string(reason)},
                {"crashes", std::to_string(f.crashes)},
                {"requests", std::to_string(f.requests)},
                {"score", std::to_string(f.score)},
                {"trials", std::to_string(entry.document.trials)}});
}

void quarantine_controller::refresh(steady_time now)
{
    quarantine_changes const c =
        judge_crashes(state_, now, to_unix_ms(wall_now()));
    for (quarantine_entry const& it : c.withdrawn)
    {
        state_.counters.count("parts_released_total", "evidence");
        log_entry(log_event::part_released, it, "evidence");
    }
    for (quarantine_entry const& it : c.cleared)
    {
        if (is_turn_to_remove(state_, now))
            remove(it, now);
    }
    for (quarantine_key const& it : c.added)
    {
        state_.counters.count("parts_quarantined_total", "evidence");
        log_entry(
            log_event::part_quarantined, state_.quarantine.entries.at(it),
            "evidence");
    }
    if (!c.added.empty())
        on_added_(now);
}

void quarantine_controller::send_reports(steady_time now)
{
    for (crash_report const& it : due_crash_reports(state_, now))
    {
        message const m = to_call(it);
        for (auto const& [name, p] : state_.peers)
            peers_.send(p.address, m);
    }
    for (auto& [name, p] : state_.peers)
    {
        for (refusal_report const& it : due_refusal_reports(state_, p, now))
            peers_.send(p.address, to_call(it));
    }
}

void quarantine_controller::on_refusal_report(
    peer_call const& call, steady_time now)
{
    result<refusal_report> const r = decode_refusal_report(call);
    if (r && apply_refusal_report(state_, *r, now))
        state_.counters.count("refusal_reports_total");
    else
        state_.counters.count("bad_datagrams_total", "refusal report");
}

bool quarantine_controller::on_message(peer_call const& call, steady_time now)
{
    if (call.name == refusal_report_call)
    {
        on_refusal_report(call, now);
        return true;
    }
    if (call.name != crash_report_call)
        return false;
    result<crash_report> const r = decode_crash_report(call);
    if (!r)
    {
        state_.counters.count("bad_datagrams_total", "crash report");
        return true;
    }
    applied_crash_report const applied = apply_crash_report(state_, *r, now);
    if (!applied.is_known_sender)
    {
        state_.counters.count("bad_datagrams_total", "crash report");
        return true;
    }
    state_.counters.count("crash_reports_total");
    log_confirmed(applied.confirmed);
    if (!applied.confirmed.empty())
        send_reports(now);
    // Answers alone can wait for the next tick.
    if (!r->crashes.empty())
        refresh(now);
    return true;
}

void quarantine_controller::tick(steady_time now)
{
    expire_crashes(state_.crashes, now);
    judge_probes(now);
    refresh(now);
    send_reports(now);
    write_entries(now);
    retry_removals(now);
}

// Gateways write an entry in the order of their names, so that mostly one of
// them does; the store refuses a second one.
void quarantine_controller::write_entries(steady_time now)
{
    for (auto& [key, it] : state_.quarantine.entries)
    {
        if (now < it.next_write || !is_turn_to_store(state_, it, now))
            continue;
        it.next_write = now + write_retry_delay;
        http_call call = protocol_.create(
            state_.settings.store_address, documents_.quarantine_kind,
            name_of(key), documents_.encode_quarantine(it.document));
        call.timeout = write_timeout;
        client_.send(
            std::move(call), [this](result<http_reply> const& reply)
            { count_write(decode(reply)); });
    }
}

result<platform_objects>
quarantine_controller::decode(result<http_reply> const& reply) const
{
    return read_page(protocol_, reply);
}

// The watch tells what the store holds; a conflict means that another gateway
// has written it.
void quarantine_controller::count_write(result<platform_objects> const& reply)
{
    state_.counters.count(
        "quarantine_writes_total",
        reply ? "done" : to_string(reply.error().kind));
}

void quarantine_controller::claim_trial_if_due(
    quarantine_key const& key, std::string_view version, steady_time now)
{
    auto const it = state_.quarantine.entries.find(key);
    if (it == state_.quarantine.entries.end())
        return;
    quarantine_entry& e = it->second;
    if (e.version.empty())
        e.version = version;
    if (now < e.next_write || !is_trial_due(e, to_unix_ms(wall_now()), version))
        return;
    e.next_write = now + write_retry_delay;
    e.version = version;
    http_call call = protocol_.replace(
        state_.settings.store_address, documents_.quarantine_kind, name_of(key),
        e.revision,
        documents_.encode_quarantine(claim_trial(e, to_unix_ms(wall_now()))));
    call.timeout = write_timeout;
    client_.send(
        std::move(call),
        [this, key](result<http_reply> const& reply)
        {
            result<platform_objects> const o = decode(reply);
            count_write(o);
            auto const entry = state_.quarantine.entries.find(key);
            if (!o || entry == state_.quarantine.entries.end())
                return;
            entry->second.trial_until = boot_now() + trial_ttl;
            state_.counters.count("quarantine_trials_total", "claimed");
            log_entry(
                log_event::quarantine_trial_claimed, entry->second, "due");
        });
}

void quarantine_controller::record_passed_trial(
    quarantine_key const& key, steady_time now)
{
    auto const it = state_.quarantine.entries.find(key);
    if (it == state_.quarantine.entries.end())
        return;
    state_.counters.count("quarantine_trials_total", "passed");
    quarantine_entry const e = it->second;
    release(key, "trial");
    remove(e, now);
}

void quarantine_controller::release(
    quarantine_key const& key, std::string_view reason)
{
    auto const it = state_.quarantine.entries.find(key);
    if (it == state_.quarantine.entries.end())
        return;
    log_entry(log_event::part_released, it->second, reason);
    state_.counters.count("parts_released_total", reason);
    remove_stored(state_.quarantine, key);
    forget_part(state_.crashes, key.part);
}

void quarantine_controller::remove(
    quarantine_entry const& entry, steady_time now)
{
    if (!entry.is_stored || removals_.contains(entry.document.key))
        return;
    removals_[entry.document.key] = {.revision = entry.revision};
    retry_removals(now);
}

void quarantine_controller::retry_removals(steady_time now)
{
    for (auto it = removals_.begin(); it != removals_.end();)
    {
        auto& [key, r] = *it;
        if (r.is_done || r.tries >= max_removal_tries)
        {
            it = removals_.erase(it);
            continue;
        }
        ++it;
        if (now < r.next)
            continue;
        r.next = now + write_retry_delay;
        ++r.tries;
        http_call call = protocol_.remove(
            state_.settings.store_address, documents_.quarantine_kind,
            name_of(key), r.revision);
        call.timeout = write_timeout;
        client_.send(
            std::move(call),
            [this, key = key](result<http_reply> const& reply)
            {
                result<platform_objects> const o = decode(reply);
                count_write(o);
                auto const pending = removals_.find(key);
                if (o && pending != removals_.end())
                    pending->second.is_done = true;
            });
    }
}

void quarantine_controller::apply_object(
    platform_object const& o, steady_time now)
{
    if (o.is_deleted)
    {
        auto const it = std::find_if(
            state_.quarantine.entries.begin(), state_.quarantine.entries.end(),
            [&](auto const& e) { return name_of(e.first) == o.name; });
        if (it != state_.quarantine.entries.end() && it->second.is_stored)
            release(quarantine_key(it->first), "removed");
        return;
    }
    result<stored_quarantine> const q = documents_.decode_quarantine(o);
    if (!q || name_of(q->key) != o.name)
    {
        state_.counters.count("bad_documents_total", "quarantine");
        return;
    }
    auto const removal = removals_.find(q->key);
    if (removal != removals_.end())
    {
        removal->second.revision = o.revision;
        return;
    }
    if (!apply_stored(state_.quarantine, *q, o.revision, now))
        return;
    state_.counters.count("parts_quarantined_total", "stored");
    log_entry(
        log_event::part_quarantined, state_.quarantine.entries.at(q->key),
        "stored");
    on_added_(now);
}

void quarantine_controller::replace_objects(
    std::span<platform_object const> all, steady_time now)
{
    std::vector<quarantine_key> missing;
    for (auto const& [key, it] : state_.quarantine.entries)
    {
        std::string const name = name_of(key);
        bool const is_listed = std::any_of(
            all.begin(), all.end(),
            [&](platform_object const& o) { return o.name == name; });
        if (it.is_stored && !is_listed)
            missing.push_back(key);
    }
    for (quarantine_key const& it : missing)
        release(it, "removed");
    for (platform_object const& it : all)
        apply_object(it, now);
}

void quarantine_controller::set_gauges()
{
    metrics& m = state_.counters;
    m.set(
        "quarantined_parts",
        static_cast<double>(state_.quarantine.entries.size()));
    m.set(
        "suspected_parts",
        static_cast<double>(state_.quarantine.suspected.size()));
    m.set("known_crashes", static_cast<double>(state_.crashes.crashes.size()));
}

} // namespace marjorambeam
