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
constexpr duration write_timeout = std::chrono::seconds(5);
// An accepted edit takes effect at all daemons within 7 s.
constexpr duration propagation_limit = std::chrono::seconds(7);
constexpr std::size_t max_versions = 1000;

std::string
document_text_of(config_snapshot const& config, std::string const& id)
{
    auto const it = config.texts.find(
        std::string(to_string(document_kind::version)) + "/" + id);
    return it == config.texts.end() ? "" : it->second;
}

version const*
find_active(config_snapshot const& config, std::string_view model)
{
    version const* out = nullptr;
    for (auto const& [id, v] : config.versions)
    {
        if (v.model == model && v.state == version_state::active)
            out = &v; // the last by name, as in routing
    }
    return out;
}

// Returns a rollout state at the largest step that does not exceed the current
// share.
rollout_state resume_at_share(
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
            collection_rounds_ = 0;
            progress_.clear();
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

void rollout_controller::merge_counts(std::string_view body)
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
    // The first evaluation needs the replies to a complete collection round.
    if (collection_rounds_ > 0 && !writer_.is_busy())
        evaluate_all(now);
    collect(now);
}

void rollout_controller::collect(steady_time /*now*/)
{
    ++collection_rounds_;
    std::erase_if(
        pool_.counts, [&](auto const& it)
        { return cluster_.config->versions.count(it.first.first) == 0; });
    // Copied: a refused connection changes the set during the loop.
    std::span<std::string const> const live = live_.names();
    std::vector<std::string> const names(live.begin(), live.end());
    for (std::string const& it : names)
    {
        if (live_.is_self(it))
        {
            merge_counts(encode_counts());
            continue;
        }
        calls_.call(
            it, evidence_call, "", settings_.period,
            [this, alive = std::weak_ptr<int>(alive_)](
                result<std::string> const& reply)
            {
                if (!alive.expired() && reply)
                    merge_counts(*reply);
            });
    }
}

void rollout_controller::evaluate_all(steady_time now)
{
    config_snapshot const& config = *cluster_.config;
    std::erase_if(
        progress_,
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
        version const* const active = find_active(config, v.model);
        if (active == nullptr)
            progress_[id].last.reason = "the model has no active version to "
                                        "compare with or fall back to";
        else if (!writer_.is_busy())
            evaluate_version(v, *active, now);
    }
}

bool rollout_controller::is_current(
    rollout_progress& r, version const& v, std::string const& document_text,
    version_counts const& counts, steady_time now)
{
    if (document_text == r.pending_text)
    {
        r.document_text = document_text;
        r.pending_text.clear();
    }
    if (document_text == r.document_text)
        return r.pending_text.empty() || now >= r.pending_until;
    // A rollout begun under an earlier lease holder continues with all counts.
    bool const is_taken_over =
        r.document_text.empty() && collection_rounds_ == 1;
    r.document_text = document_text;
    r.pending_text.clear();
    r.baseline = is_taken_over ? version_counts{} : counts;
    r.state = resume_at_share(
        v.share, difference(counts, r.baseline), settings_.step_time, now);
    return true;
}

void rollout_controller::evaluate_version(
    version const& v, version const& active, steady_time now)
{
    std::string const id = v.id();
    rollout_progress& r = progress_[id];
    version_counts const counts = total_counts(pool_, id);
    if (!is_current(r, v, document_text_of(*cluster_.config, id), counts, now))
        return;
    rollout_state const before = r.state;
    r.last = evaluate(
        r.state, total_counts(pool_, active.id()),
        difference(counts, r.baseline), now);
    if (r.last.action != rollout_action::hold)
        apply_decision(id, r, before, now);
}

void rollout_controller::apply_decision(
    std::string const& id, rollout_progress& r, rollout_state before,
    steady_time now)
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
    std::string const document_text = edits->front().json;
    r.pending_text = document_text;
    r.pending_until = now + write_timeout + propagation_limit;
    writer_.start(
        *cluster_.config, std::move(g), now + write_timeout,
        [this, id, document_text, before](edit_state const& end)
        { on_written(id, document_text, before, end); });
}

void rollout_controller::on_written(
    std::string const& id, std::string const& document_text,
    rollout_state const& before, edit_state const& end)
{
    auto const it = progress_.find(id);
    if (!end.outcome)
    {
        log_.write(
            log_event::rollout_not_written,
            {{"version", id},
             {"reason", std::string(to_string(end.outcome.error().kind))}});
        if (it != progress_.end() && it->second.pending_text == document_text)
        {
            it->second.state = before;
            it->second.pending_text.clear();
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
    for (auto const& [id, r] : progress_)
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
