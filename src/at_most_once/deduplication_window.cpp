#include "at_most_once/deduplication_window.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace marjorambeam
{
namespace
{

using json = nlohmann::json;

std::string id_of(key_request const& r)
{
    std::string id;
    id.reserve(r.customer.size() + r.service.size() + r.key.size() + 2);
    id += r.customer;
    id += '\0';
    id += r.service;
    id += '\0';
    id += r.key;
    return id;
}

key_decision refuse(error_kind kind)
{
    return {key_step::refuse, kind};
}

key_decision decide_known_key(key_phase phase, bool is_same_request)
{
    if (!is_same_request)
        return refuse(error_kind::key_reused);
    switch (phase)
    {
    case key_phase::completed:
        return {key_step::replay};
    case key_phase::reserving:
    case key_phase::running:
        return refuse(error_kind::key_in_progress);
    case key_phase::completed_unrecorded:
    case key_phase::unknown:
    case key_phase::unreserved:
        break;
    }
    return refuse(error_kind::key_outcome_unknown);
}

char const* message_of(error_kind kind)
{
    switch (kind)
    {
    case error_kind::key_reused:
        return "the key was used for another request";
    case error_kind::key_in_progress:
        return "a request with this key is running";
    case error_kind::key_outcome_unknown:
        return "a request with this key may have run; its outcome is not known";
    case error_kind::key_expired:
        return "the key is older than the deduplication window";
    case error_kind::key_time_invalid:
        return "the key's time is in the future";
    case error_kind::not_keyspace_owner:
        return "another agent owns the key";
    default:
        return "the key can't be checked now";
    }
}

key_admission refusal(error_kind kind)
{
    key_admission a;
    a.refusal = make_error(kind, message_of(kind));
    return a;
}

} // namespace

key_decision decide_key_admission(
    partition_state const& s, key_admission_input const& q, clock_reading now,
    at_most_once_limits const& limits)
{
    // Outcomes in the window stay valid after the lease has ended.
    bool const is_retry = q.known == key_phase::unreserved && q.is_same_request;
    if (q.known && !is_retry)
        return decide_known_key(*q.known, q.is_same_request);
    if (!may_admit(s, now, limits))
        return refuse(error_kind::not_keyspace_owner);
    if (q.key_time_ms < 0)
    {
        if (!q.is_store_available)
            return refuse(error_kind::keyspace_unavailable);
        return {key_step::reserve};
    }
    if (q.key_time_ms > now.wall_ms + limits.max_future_ms)
        return refuse(error_kind::key_time_invalid);
    std::int64_t const oldest = std::max(
        {s.bound_ms, q.min_key_time_ms, now.wall_ms - limits.window_ms});
    if (q.key_time_ms < oldest)
        return refuse(error_kind::key_expired);
    return {key_step::run};
}

deduplication_window::deduplication_window(
    incarnation self, deduplication_window_limits limits)
    : self_(self)
    , limits_(limits)
{
}

deduplication_window::entry* deduplication_window::find(key_request const& r)
{
    auto const found = keys_.find(id_of(r));
    return found == keys_.end() ? nullptr : &found->second;
}

void deduplication_window::prune(std::int64_t wall_ms)
{
    std::int64_t const oldest = wall_ms - limits_.times.window_ms;
    while (!order_.empty())
    {
        auto const found = keys_.find(order_.front().id);
        bool const is_kept = found != keys_.end() &&
                             found->second.serial == order_.front().serial;
        if (is_kept)
        {
            if (found->second.time_ms >= oldest)
                return;
            min_key_time_ms_ =
                std::max(min_key_time_ms_, found->second.time_ms + 1);
            if (found->second.outcome)
                recorded_bytes_ -= found->second.outcome->body.size();
            keys_.erase(found);
        }
        order_.pop_front();
    }
}

std::string deduplication_window::reservation_token(entry const& e) const
{
    return to_hex(self_) + "-" + std::to_string(e.serial);
}

void deduplication_window::fill_reservation(
    key_admission& a, key_request const& r, entry const& e) const
{
    // The token distinguishes this reservation from an earlier one by this
    // process that has been removed from the window since.
    json const value = {
        {"token", reservation_token(e)},
        {"fingerprint", to_hex(e.fingerprint)},
        {"first_seen_ms", e.time_ms}};
    a.reservation_name = secret_hash(id_of(r));
    a.reservation_value = value.dump();
}

key_admission deduplication_window::start(
    partition_state& s, key_request const& r, key_decision v,
    std::int64_t key_time_ms, clock_reading now)
{
    key_admission a;
    a.step = v.step;
    std::string id = id_of(r);
    auto [it, is_new] = keys_.try_emplace(id);
    entry& e = it->second;
    if (is_new)
    {
        e.fingerprint = r.fingerprint;
        e.serial = ++last_serial_;
        e.time_ms = key_time_ms < 0 ? now.wall_ms : key_time_ms;
        order_.push_back({std::move(id), e.serial});
    }
    if (v.step == key_step::run)
    {
        e.phase = key_phase::running;
        s.max_admitted_ms = std::max(s.max_admitted_ms, key_time_ms);
        return a;
    }
    e.phase = key_phase::reserving;
    fill_reservation(a, r, e);
    return a;
}

key_admission deduplication_window::admit(
    partition_state& s, key_request const& r, bool is_store_available,
    clock_reading now)
{
    // Keys expire only by a clock that the lease has confirmed.
    if (may_admit(s, now, limits_.times))
        prune(now.wall_ms);
    entry const* e = find(r);
    // The key time matters only for keys that have not run.
    bool const is_decided = e != nullptr && e->phase != key_phase::unreserved;
    std::int64_t const key_time_ms = is_decided ? -1 : uuid7_unix_ms(r.key);
    key_admission_input q;
    if (e != nullptr)
    {
        q.known = e->phase;
        q.is_same_request = e->fingerprint == r.fingerprint;
    }
    q.key_time_ms = key_time_ms;
    q.min_key_time_ms = min_key_time_ms_;
    q.is_store_available = is_store_available;
    key_decision const v = decide_key_admission(s, q, now, limits_.times);
    if (v.step == key_step::replay && e != nullptr)
    {
        key_admission a;
        a.step = v.step;
        a.outcome = e->outcome;
        return a;
    }
    if (v.step == key_step::refuse)
    {
        key_admission a = refusal(v.kind);
        if (e != nullptr && e->phase == key_phase::completed_unrecorded &&
            v.kind == error_kind::key_outcome_unknown)
            a.refusal.run = run_state::ran;
        return a;
    }
    // Evicting a key early would let it run again.
    if (e == nullptr && keys_.size() >= limits_.keys)
    {
        key_admission a = refusal(error_kind::keyspace_unavailable);
        a.refusal.message = "the deduplication window is full";
        return a;
    }
    return start(s, r, v, key_time_ms, now);
}

key_admission deduplication_window::on_reservation_created(
    key_request const& r, result<void> const& created)
{
    entry* e = find(r);
    if (e == nullptr || e->phase != key_phase::reserving)
        return refusal(error_kind::keyspace_unavailable);
    key_admission a;
    if (created)
    {
        e->phase = key_phase::running;
        a.step = key_step::run;
        return a;
    }
    if (created.error().kind == error_kind::conflict)
    {
        a.step = key_step::read_reservation;
        fill_reservation(a, r, *e);
        return a;
    }
    // The reservation may be stored, but the request has not run.
    e->phase = key_phase::unreserved;
    return refusal(error_kind::keyspace_unavailable);
}

key_admission deduplication_window::on_reservation_read(
    key_request const& r, result<std::string> const& value)
{
    entry* e = find(r);
    if (e == nullptr || e->phase != key_phase::reserving)
        return refusal(error_kind::keyspace_unavailable);
    if (!value)
    {
        e->phase = key_phase::unreserved;
        return refusal(error_kind::keyspace_unavailable);
    }
    json const j = json::parse(*value, nullptr, false);
    auto const field = [&](char const* name)
    { return j.is_object() ? j.value(name, std::string()) : std::string(); };
    if (field("token") == reservation_token(*e))
    {
        e->phase = key_phase::running;
        key_admission a;
        a.step = key_step::run;
        return a;
    }
    bool const is_same = field("fingerprint") == to_hex(e->fingerprint);
    keys_.erase(id_of(r));
    return refusal(
        is_same ? error_kind::key_outcome_unknown : error_kind::key_reused);
}

void deduplication_window::evict_outcomes()
{
    while (recorded_bytes_ > limits_.total_bytes && !recorded_.empty())
    {
        auto const found = keys_.find(recorded_.front().id);
        bool const is_kept = found != keys_.end() &&
                             found->second.serial == recorded_.front().serial;
        if (is_kept && found->second.outcome)
        {
            recorded_bytes_ -= found->second.outcome->body.size();
            found->second.outcome.reset();
            found->second.phase = key_phase::completed_unrecorded;
        }
        recorded_.pop_front();
    }
}

void deduplication_window::complete(
    key_request const& r, recorded_outcome outcome)
{
    entry* e = find(r);
    if (e == nullptr || e->phase != key_phase::running)
        return;
    if (outcome.body.size() > limits_.body_bytes)
    {
        e->phase = key_phase::completed_unrecorded;
        return;
    }
    e->phase = key_phase::completed;
    recorded_bytes_ += outcome.body.size();
    e->outcome = std::make_shared<recorded_outcome const>(std::move(outcome));
    recorded_.push_back({id_of(r), e->serial});
    evict_outcomes();
}

void deduplication_window::complete_unknown(key_request const& r)
{
    entry* e = find(r);
    if (e != nullptr && e->phase == key_phase::running)
        e->phase = key_phase::unknown;
}

void deduplication_window::complete_not_run(key_request const& r)
{
    entry* e = find(r);
    if (e == nullptr || e->phase != key_phase::running)
        return;
    // A reserved key keeps its token, so that it can still run once.
    if (uuid7_unix_ms(r.key) < 0)
        e->phase = key_phase::unreserved;
    else
        keys_.erase(id_of(r));
}

} // namespace marjorambeam
