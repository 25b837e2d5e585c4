#include "entry/rollout_controller.hpp"

#include "base/id.hpp"
#include "config_edit/document_change.hpp"
#include "wire/value.hpp"

#include <cereal/types/vector.hpp>
#include <nlohmann/json.hpp>
#include <sstream>
#include <vector>

namespace marjorambeam
{
namespace
{

constexpr std::string_view evidence_call = "rollout_evidence";
constexpr std::string_view lease_name = "rollout";
constexpr duration write_limit = std::chrono::seconds(5);
// An accepted edit is in force everywhere within 7 s.
constexpr duration force_limit = std::chrono::seconds(7);
constexpr std::size_t max_versions = 1000;

std::string text_of(config_snapshot const& config, std::string const& id)
{
    auto const it = config.texts.find(
        std::string(to_string(document_kind::version)) + "/" + id);
    return it == config.texts.end() ? "" : it->second;
}

version const* active_of(config_snapshot const& config, std::string_view model)
{
    version const* out = nullptr;
    for (auto const& [id, v] : config.versions)
    {
        if (v.model == model && v.state == version_state::active)
            out = &v; // the last by name, like routing
    }
    return out;
}

// A rollout state at the largest step that is not above the share in force.
rollout_state start_at(
    double share, version_counts const& counts, duration min_step_time,
    steady_time now)
{
    rollout_state s;
    if (share >= canary_share)
    {
        s = resume_rollout(share, counts, now);
        if (s.step > 0 && rollout_shares.at(s.step) > share)
            --s.step;
    }
    s.min_step_time = min_step_time;
    return s;
}

std::string_view to_text(rollout_action a)
{
    switch (a)
    {
    case rollout_action::advance:
        return "advance";
    case rollout_action::halt:
        return "halt";
    case rollout_action::hold:
        break;
    }
    return "hold";
}

} // namespace

rollout_controller::rollout_controller(
    ev::loop_ref loop, cluster_state& cluster, object_store& store,
    live_entries& live, peer_calls& calls, rollout_settings settings)
    : cluster_(cluster)
    , live_(live)
    , calls_(calls)
    , settings_(settings)
    , lease_(
          loop, store, std::string(lease_name),
          cluster.identity.instance + "/" + to_hex(cluster.identity.self),
          settings_.lease)
    , writer_(loop, store, [this] { return lease_.may_act(); })
    , timer_(loop, [this] { tick(); })
{
    lease_.on_change(
        [this](bool is_held)
        {
            rounds_ = 0;
            rows_.clear();
            log_.write(
                is_held ? log_event::rollout_judge_began
                        : log_event::rollout_judge_ended,
                {{"fencing", std::to_string(lease_.fencing())}});
        });
    calls_.serve(
        std::string(evidence_call), [this](std::string_view, std::string_view)
        { return std::optional(encode_counts()); });
    timer_.start_every(settings_.period);
}

void rollout_controller::record_attempt(
    std::string_view version_id, bool has_failed)
{
    auto const it = counts_.find(version_id);
    if (it != counts_.end())
        add_request(it->second, has_failed);
    else if (counts_.size() < max_versions)
        add_request(counts_[std::string(version_id)], has_failed);
}

void rollout_controller::record_rating(
    std::string_view version_id, double rating)
{
    auto const it = counts_.find(version_id);
    if (it != counts_.end())
        add_rating(it->second, rating);
    else if (counts_.size() < max_versions)
        add_rating(counts_[std::string(version_id)], rating);
}

void rollout_controller::release()
{
    lease_.release([] {});
}

std::string rollout_controller::encode_counts() const
{
    std::vector<rollout_evidence> all;
    for (auto const& [id, v] : cluster_.config->versions)
    {
        auto const it = counts_.find(id);
        if (it != counts_.end())
            all.push_back({id, cluster_.identity.self, it->second});
    }
    return encode_value(all);
}

void rollout_controller::take_counts(std::string_view body)
{
    auto const all = decode_value<std::vector<rollout_evidence>>(
        body, trailing_bytes::ignored);
    if (!all)
    {
        cluster_.counters.count(
            "peer_calls_refused_total", to_string(error_kind::frame_corrupt));
        return;
    }
    for (rollout_evidence const& it : *all)
    {
        if (cluster_.config->versions.count(it.version) != 0)
            record_evidence(pool_, it);
    }
}

void rollout_controller::tick()
{
    steady_time const now = steady_now();
    if (!lease_.may_act())
        return;
    // The first judgement needs the answers to a whole round.
    if (rounds_ > 0 && !writer_.is_busy())
        judge_all(now);
    collect(now);
}

void rollout_controller::collect(steady_time /*now*/)
{
    ++rounds_;
    std::erase_if(
        pool_.counts, [&](auto const& it)
        { return cluster_.config->versions.count(it.first.first) == 0; });
    // A refused connection changes the set.
    std::span<std::string const> const live = live_.names();
    std::vector<std::string> const names(live.begin(), live.end());
    for (std::string const& it : names)
    {
        if (live_.is_self(it))
        {
            take_counts(encode_counts());
            continue;
        }
        calls_.call(
            it, evidence_call, "", settings_.period,
            [this, alive = std::weak_ptr<int>(alive_)](
                result<std::string> const& reply)
            {
                if (!alive.expired() && reply)
                    take_counts(*reply);
            });
    }
}

void rollout_controller::judge_all(steady_time now)
{
    config_snapshot const& config = *cluster_.config;
    std::erase_if(
        rows_,
        [&](auto const& it)
        {
            auto const v = config.versions.find(it.first);
            return v == config.versions.end() ||
                   v->second.state != version_state::rolling;
        });
    for (auto const& [id, v] : config.versions)
    {
        if (v.state != version_state::rolling)
            continue;
        version const* const active = active_of(config, v.model);
        if (active == nullptr)
            rows_[id].last.reason = "no active version could take over";
        else if (!writer_.is_busy())
            judge_one(v, *active, now);
    }
}

bool rollout_controller::is_current(
    row& r, version const& v, std::string const& text,
    version_counts const& counts, steady_time now)
{
    if (text == r.written)
    {
        r.text = text;
        r.written.clear();
    }
    if (text == r.text)
        return r.written.empty() || now >= r.wait_until;
    // What the last holder began goes on with all counts.
    bool const is_taken_over = r.text.empty() && rounds_ == 1;
    r.text = text;
    r.written.clear();
    r.base = is_taken_over ? version_counts{} : counts;
    r.state =
        start_at(v.share, difference(counts, r.base), settings_.step_time, now);
    return true;
}

void rollout_controller::judge_one(
    version const& v, version const& active, steady_time now)
{
    std::string const id = v.id();
    row& r = rows_[id];
    version_counts const counts = total_counts(pool_, id);
    if (!is_current(r, v, text_of(*cluster_.config, id), counts, now))
        return;
    rollout_state const before = r.state;
    r.last = evaluate(
        r.state, total_counts(pool_, active.id()), difference(counts, r.base),
        now);
    if (r.last.action != rollout_action::hold)
        act(id, r, before, now);
}

void rollout_controller::act(
    std::string const& id, row& r, rollout_state before, steady_time now)
{
    bool const is_halt = r.last.action == rollout_action::halt;
    result<std::vector<document_edit>> const edits = change_version(
        *cluster_.config, id, is_halt ? "withdrawn" : "rolling", r.last.share);
    if (!edits || edits->empty())
    {
        r.state = before;
        return;
    }
    generation g;
    g.edit_id = "rollout-" + to_hex(cluster_.identity.self) + "-" +
                std::to_string(++last_edit_);
    g.author = "rollout, fencing " + std::to_string(lease_.fencing()) + ": " +
               std::string(to_text(r.last.action)) + ", " + r.last.reason;
    g.time_ms = to_unix_ms(wall_now());
    g.edits = *edits;
    std::string const text = edits->front().json;
    r.written = text;
    r.wait_until = now + write_limit + force_limit;
    writer_.start(
        *cluster_.config, std::move(g), now + write_limit,
        [this, id, text, before](edit_state const& end)
        { on_written(id, text, before, end); });
}

void rollout_controller::on_written(
    std::string const& id, std::string const& text, rollout_state const& before,
    edit_state const& end)
{
    auto const it = rows_.find(id);
    if (!end.outcome)
    {
        log_.write(
            log_event::rollout_not_written,
            {{"version", id},
             {"reason", std::string(to_string(end.outcome.error().kind))}});
        if (it != rows_.end() && it->second.written == text)
        {
            it->second.state = before;
            it->second.written.clear();
        }
        return;
    }
    cluster_.counters.count("rollout_decisions_total");
    log_.write(
        log_event::rollout_written,
        {{"version", id},
         {"generation", std::to_string(*end.outcome)},
         {"decision", end.proposal.author}});
}

std::string rollout_controller::status_json()
{
    nlohmann::json versions = nlohmann::json::object();
    for (auto const& [id, r] : rows_)
    {
        auto const v = cluster_.config->versions.find(id);
        if (v == cluster_.config->versions.end())
            continue;
        version_counts const c = total_counts(pool_, id);
        versions[id] = {
            {"share", v->second.share},
            {"requests", c.requests},
            {"failures", c.failures},
            {"ratings", c.ratings},
            {"mean_rating",
             c.ratings == 0 ? 0
                            : c.rating_sum / static_cast<double>(c.ratings)},
            {"decision", to_text(r.last.action)},
            {"reason", r.last.reason}};
    }
    return nlohmann::json{
        {"is_holder", lease_.may_act()},
        {"fencing", lease_.fencing()},
        {"versions", std::move(versions)}}
        .dump();
}

} // namespace marjorambeam
