#include "entry/quarantine_controller.hpp"

#include "base/hash.hpp"
#include "base/id.hpp"
#include "wire/value.hpp"

#include <algorithm>
#include <cereal/types/string.hpp>
#include <sstream>

namespace marjorambeam
{
namespace
{

constexpr std::string_view trial_call = "crash_trial";
constexpr std::string_view trial_end_call = "crash_trial_end";
// An agent reports all failed attempts of a crash within a few milliseconds;
// the rest of the time allows for reports from other entries.
constexpr duration collection_time = std::chrono::milliseconds(30);
// Between two requests to the owner for a trial.
constexpr duration trial_request_interval = std::chrono::milliseconds(50);
constexpr duration owner_timeout = std::chrono::milliseconds(100);
// Upper bound of a trial requested by another entry.
constexpr duration max_trial_duration = std::chrono::minutes(10);
constexpr std::size_t max_first_upstreams = 10'000;

struct trial_request
{
    std::string request_id;
    std::uint64_t fingerprint = 0;
    std::int64_t remaining_ms = 0;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(request_id, fingerprint, remaining_ms);
    }
};

} // namespace

quarantine_controller::quarantine_controller(
    cluster_state& cluster, live_entries& live, peer_calls& calls)
    : cluster_(cluster)
    , live_(live)
    , calls_(calls)
{
    calls_.serve(
        std::string(crash_report_call),
        [this](std::string_view, std::string_view body)
        {
            serve_report(body, steady_now());
            return std::optional<std::string>();
        });
    calls_.serve(
        std::string(trial_call), [this](std::string_view, std::string_view body)
        { return serve_trial(body); });
    calls_.serve(
        std::string(trial_end_call),
        [this](std::string_view, std::string_view body)
        {
            serve_trial_end(body);
            return std::optional<std::string>();
        });
}

bool quarantine_controller::is_attribution_pending(
    std::uint64_t fingerprint) const
{
    return std::any_of(
        crashes_.begin(), crashes_.end(),
        [&](auto const& it)
        {
            auto const& all = it.second.fingerprints;
            return std::find(all.begin(), all.end(), fingerprint) != all.end();
        });
}

quarantine_decision
quarantine_controller::wait(std::string const& request_id, steady_time now)
{
    auto const since = waiting_.try_emplace(request_id, now).first->second;
    if (now - since < max_trial_wait)
        return {.must_wait = true};
    error e = make_error(
        error_kind::quarantined, "an identical request is suspected of "
                                 "crashing upstreams and not yet cleared");
    e.retry_after = max_trial_wait;
    return {.refusal = std::move(e)};
}

quarantine_decision quarantine_controller::evaluate(
    std::string const& request_id, std::uint64_t fingerprint,
    steady_time deadline, steady_time now)
{
    if (is_attribution_pending(fingerprint))
        return wait(request_id, now);
    run_permission p = table_.evaluate(fingerprint, now);
    if (p.refusal)
        return {.refusal = std::move(p.refusal)};
    if (p.run_alone)
    {
        own_trial& t =
            own_trials_.try_emplace(fingerprint, own_trial{request_id})
                .first->second;
        if (t.request_id != request_id)
            return wait(request_id, now);
        if (!t.is_granted && !t.is_requested && now >= t.request_after)
            request_trial(fingerprint, deadline, now);
        if (!t.is_granted)
            return wait(request_id, now);
    }
    waiting_.erase(request_id);
    return {.run_alone = p.run_alone};
}

std::string quarantine_controller::owner_of(std::uint64_t fingerprint)
{
    std::span<std::string const> const names = live_.names();
    return names[rendezvous_order(to_hex(fingerprint), names, 1).front()];
}

void quarantine_controller::request_trial(
    std::uint64_t fingerprint, steady_time deadline, steady_time now)
{
    own_trial& t = own_trials_.at(fingerprint);
    t.request_after = now + trial_request_interval;
    std::string const owner = owner_of(fingerprint);
    if (live_.is_self(owner))
    {
        t.is_granted = grant(fingerprint, t.request_id, deadline, now);
        return;
    }
    t.is_requested = true;
    auto const remaining =
        std::chrono::ceil<std::chrono::milliseconds>(deadline - now);
    calls_.call(
        owner, trial_call,
        encode_value(
            trial_request{t.request_id, fingerprint, remaining.count()}),
        owner_timeout,
        [this, id = t.request_id, fingerprint,
         alive = std::weak_ptr<int>(alive_)](result<std::string> const& reply)
        {
            if (!alive.expired())
                on_trial_reply(id, fingerprint, reply, steady_now());
        });
}

void quarantine_controller::on_trial_reply(
    std::string const& request_id, std::uint64_t fingerprint,
    result<std::string> const& reply, steady_time now)
{
    bool const is_granted = reply && reply->empty();
    if (reply && !is_granted)
        serve_report(*reply, now);
    auto const it = own_trials_.find(fingerprint);
    if (it != own_trials_.end() && it->second.request_id == request_id)
    {
        it->second.is_requested = false;
        it->second.is_granted = is_granted;
    }
    else if (is_granted)
    {
        end_trial(request_id, fingerprint);
    }
}

bool quarantine_controller::grant(
    std::uint64_t fingerprint, std::string const& request_id, steady_time until,
    steady_time now)
{
    auto const it = granted_trials_.find(fingerprint);
    bool const is_taken = it != granted_trials_.end() &&
                          now < it->second.until &&
                          it->second.request_id != request_id;
    if (!is_taken)
        granted_trials_[fingerprint] = {request_id, until};
    return !is_taken;
}

// The reply is empty when the trial is granted, a report with standing
// `quarantined` when the owner has quarantined the fingerprint, and one with
// standing `suspect` when the requesting entry has to wait.
std::optional<std::string>
quarantine_controller::serve_trial(std::string_view body)
{
    auto const q = decode_value<trial_request>(body, trailing_bytes::ignored);
    if (!q)
    {
        cluster_.counters.count(
            "peer_calls_refused_total", to_string(error_kind::frame_corrupt));
        return std::nullopt;
    }
    steady_time const now = steady_now();
    crash_report known{.fingerprint = q->fingerprint};
    if (std::optional<error> const e =
            table_.evaluate(q->fingerprint, now).refusal)
    {
        known.state = fingerprint_state::quarantined;
        known.remaining_ms =
            std::chrono::ceil<std::chrono::milliseconds>(e->retry_after)
                .count();
        return encode_crash_report(known);
    }
    duration const length = std::min<duration>(
        std::chrono::milliseconds(std::clamp<std::int64_t>(
            q->remaining_ms, 0,
            max_trial_duration / std::chrono::milliseconds(1))),
        max_trial_duration);
    if (grant(q->fingerprint, q->request_id, now + length, now))
        return std::string();
    return encode_crash_report(known);
}

void quarantine_controller::serve_trial_end(std::string_view body)
{
    auto const q = decode_value<trial_request>(body, trailing_bytes::ignored);
    if (!q)
        return;
    auto const it = granted_trials_.find(q->fingerprint);
    if (it != granted_trials_.end() && it->second.request_id == q->request_id)
        granted_trials_.erase(it);
}

void quarantine_controller::end_trial(
    std::string const& request_id, std::uint64_t fingerprint)
{
    std::string const body =
        encode_value(trial_request{request_id, fingerprint, 0});
    std::string const owner = owner_of(fingerprint);
    if (live_.is_self(owner))
        serve_trial_end(body);
    else
        calls_.send(owner, trial_end_call, body);
}

void quarantine_controller::end_request(
    std::string const& request_id, std::uint64_t fingerprint)
{
    waiting_.erase(request_id);
    auto const it = own_trials_.find(fingerprint);
    if (it == own_trials_.end() || it->second.request_id != request_id)
        return;
    bool const is_granted = it->second.is_granted;
    own_trials_.erase(it);
    if (!is_granted)
        return;
    // The owner must receive the report of a crash before it grants the next
    // trial.
    if (is_attribution_pending(fingerprint))
        trials_to_end_.emplace_back(request_id, fingerprint);
    else
        end_trial(request_id, fingerprint);
}

void quarantine_controller::serve_report(std::string_view body, steady_time now)
{
    result<crash_report> const r = decode_crash_report(body);
    if (!r)
    {
        cluster_.counters.count(
            "peer_calls_refused_total", to_string(r.error().kind));
        return;
    }
    // Two entries saw the same fingerprint crash different upstreams before
    // either received the other's report.
    auto const first = first_upstream_.find(r->fingerprint);
    bool const is_second =
        r->state == fingerprint_state::suspect && !r->upstream.empty() &&
        first != first_upstream_.end() && first->second != r->upstream &&
        table_.evaluate(r->fingerprint, now).run_alone;
    if (is_second)
    {
        attribute(r->upstream, {{r->fingerprint}, true, now}, now);
        return;
    }
    if (r->state == fingerprint_state::suspect && !r->upstream.empty() &&
        first_upstream_.size() < max_first_upstreams)
        first_upstream_.emplace(r->fingerprint, r->upstream);
    if (r->state != fingerprint_state::suspect)
        first_upstream_.erase(r->fingerprint);
    table_.merge(*r, now);
}

void quarantine_controller::record_crash(
    std::string_view upstream, std::uint64_t fingerprint, bool was_alone,
    steady_time now)
{
    auto it = crashes_.find(upstream);
    if (it == crashes_.end())
    {
        it = crashes_.emplace(std::string(upstream), crash{}).first;
        it->second.began = now;
    }
    it->second.fingerprints.push_back(fingerprint);
    it->second.was_alone &= was_alone;
}

void quarantine_controller::record_response(std::uint64_t fingerprint)
{
    if (auto const r = table_.on_finished(fingerprint))
    {
        first_upstream_.erase(fingerprint);
        broadcast_report(*r);
    }
}

void quarantine_controller::tick(steady_time now)
{
    for (auto it = crashes_.begin(); it != crashes_.end();)
    {
        if (now - it->second.began < collection_time)
        {
            ++it;
            continue;
        }
        attribute(it->first, it->second, now);
        it = crashes_.erase(it);
    }
    std::erase_if(
        trials_to_end_,
        [&](auto const& it)
        {
            if (is_attribution_pending(it.second))
                return false;
            end_trial(it.first, it.second);
            return true;
        });
    std::erase_if(
        granted_trials_,
        [&](auto const& it) { return now >= it.second.until; });
}

void quarantine_controller::attribute(
    std::string const& upstream, crash const& c, steady_time now)
{
    // Another entry may already have reported this same crash and made these
    // fingerprints suspects; it must not count as a second crash.
    std::vector<std::uint64_t> unattributed;
    for (std::uint64_t const it : c.fingerprints)
    {
        auto const first = first_upstream_.find(it);
        bool const is_same = first != first_upstream_.end() &&
                             first->second == upstream && !c.was_alone;
        if (!is_same)
            unattributed.push_back(it);
    }
    for (crash_report& it : table_.on_crash(unattributed, c.was_alone, now))
    {
        it.upstream = upstream;
        if (it.state == fingerprint_state::quarantined)
        {
            first_upstream_.erase(it.fingerprint);
            cluster_.counters.count("quarantined_total");
            log_.write(
                log_event::request_quarantined,
                {{"fingerprint", to_hex(it.fingerprint)},
                 {"upstream", upstream}});
        }
        else if (first_upstream_.size() < max_first_upstreams)
        {
            first_upstream_[it.fingerprint] = upstream;
            cluster_.counters.count("crash_suspects_total");
        }
        broadcast_report(it);
    }
}

void quarantine_controller::broadcast_report(crash_report const& r)
{
    std::string const body = encode_crash_report(r);
    // Copied: a refused connection changes the set during the loop.
    std::span<std::string const> const live = live_.names();
    std::vector<std::string> const names(live.begin(), live.end());
    for (std::string const& it : names)
    {
        if (!live_.is_self(it))
            calls_.send(it, crash_report_call, body);
    }
}

} // namespace marjorambeam
