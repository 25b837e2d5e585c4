#include "entry/rating_controller.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace marjorambeam
{
namespace
{

using nlohmann::json;

constexpr std::size_t max_pending_ratings = 10'000;
// Equals the time for which the cascade counts a rating as outstanding.
constexpr duration rating_timeout = pending_timeout;
constexpr duration call_timeout = std::chrono::seconds(2);
// No responses are sent for rating for this long after a failure.
constexpr duration failure_backoff = std::chrono::seconds(1);
constexpr double burst_seconds = 2;
constexpr int http_accepted = 202;

} // namespace

rating_controller::rating_controller(
    cluster_state& cluster, http_client& client, rating_settings settings,
    rating_handler on_rating)
    : cluster_(cluster)
    , client_(client)
    , settings_(std::move(settings))
    , on_rating_(std::move(on_rating))
{
}

bool rating_controller::has_rolling_version(version const& v) const
{
    auto const& all = cluster_.config->versions;
    return std::any_of(
        all.begin(), all.end(),
        [&](auto const& it)
        {
            return it.second.model == v.model &&
                   it.second.state == version_state::rolling;
        });
}

bool rating_controller::take_token(
    std::string const& version_id, steady_time now)
{
    double const max_tokens =
        burst_seconds * settings_.rollout_ratings_per_second;
    auto const [it, is_new] = limits_.try_emplace(version_id);
    rate_limit& limit = it->second;
    double const refill =
        to_seconds(now - limit.updated) * settings_.rollout_ratings_per_second;
    limit.tokens =
        is_new ? max_tokens : std::min(max_tokens, limit.tokens + refill);
    limit.updated = now;
    if (limit.tokens < 1)
        return false;
    limit.tokens -= 1;
    return true;
}

bool rating_controller::should_rate(entry_request const& r, steady_time now)
{
    if (settings_.url.empty() || r.version_id.empty() ||
        pending_.size() >= max_pending_ratings)
        return false;
    if (failed_at_ != steady_time{} && now - failed_at_ < failure_backoff)
        return false;
    if (r.cascade && r.cascade->should_rate)
        return true;
    auto const it = cluster_.config->versions.find(r.version_id);
    return it != cluster_.config->versions.end() &&
           has_rolling_version(it->second) && take_token(r.version_id, now);
}

void rating_controller::on_response(entry_request const& r, steady_time now)
{
    std::string const& response_text =
        r.work.is_stream ? r.rated_text : r.answer->body();
    if (!r.is_rated || r.tokens_out == 0 || response_text.empty())
        return;
    json const body{
        {"request_id", r.id},
        {"model", r.model},
        {"version", r.version_id.substr(r.version_id.find('@') + 1)},
        {"prompt_bytes", r.work.body.size()},
        {"answer", response_text}};
    pending_[r.id] = {r.version_id, r.cascade, now};
    cluster_.counters.count("ratings_sent_total");
    client_.send(
        {.method = "POST",
         .url = settings_.url + "/v1/ratings",
         .headers = {{"Content-Type", "application/json"}},
         .body = body.dump(-1, ' ', false, json::error_handler_t::replace),
         .timeout = call_timeout},
        [this, id = r.id,
         alive = std::weak_ptr<int>(alive_)](result<http_reply> const& reply)
        {
            if (!alive.expired())
                on_sent(id, reply);
        });
}

void rating_controller::record_failure(error_kind kind)
{
    failed_at_ = steady_now();
    cluster_.counters.count("ratings_failed_total", to_string(kind));
}

void rating_controller::on_sent(
    std::string const& id, result<http_reply> const& reply)
{
    if (reply && reply->status == http_accepted)
        return;
    record_failure(reply ? error_kind::upstream_failed : reply.error().kind);
    // If only the reply was lost, the rating may still arrive.
    if (reply || reply.error().run == run_state::not_run)
        pending_.erase(id);
}

void rating_controller::tick(steady_time now)
{
    std::erase_if(
        pending_, [&](auto const& it)
        { return now - it.second.sent_at >= rating_timeout; });
    std::erase_if(
        limits_, [&](auto const& it)
        { return cluster_.config->versions.count(it.first) == 0; });
    if (settings_.url.empty() || is_polling_ || pending_.empty() ||
        now < next_poll_)
        return;
    is_polling_ = true;
    next_poll_ = now + settings_.poll_period;
    client_.send(
        {.url = settings_.url +
                "/v1/ratings?after=" + std::to_string(last_sequence_),
         .timeout = call_timeout},
        [this,
         alive = std::weak_ptr<int>(alive_)](result<http_reply> const& reply)
        {
            if (alive.expired())
                return;
            is_polling_ = false;
            on_page(reply);
        });
}

void rating_controller::on_page(result<http_reply> const& reply)
{
    if (!reply || reply->status != 200)
    {
        record_failure(
            reply ? error_kind::upstream_failed : reply.error().kind);
        return;
    }
    json const page = json::parse(reply->body, nullptr, false);
    if (!page.is_object() || !page.contains("ratings") ||
        !page["ratings"].is_array())
    {
        record_failure(error_kind::answer_corrupt);
        return;
    }
    for (json const& it : page["ratings"])
    {
        bool const is_valid = it.is_object() && it.contains("sequence") &&
                              it["sequence"].is_number_unsigned() &&
                              it.contains("request_id") &&
                              it["request_id"].is_string() &&
                              it.contains("rating") && it["rating"].is_number();
        if (!is_valid)
        {
            record_failure(error_kind::answer_corrupt);
            continue;
        }
        last_sequence_ =
            std::max(last_sequence_, it["sequence"].get<std::uint64_t>());
        auto const found =
            pending_.find(it["request_id"].get_ref<std::string const&>());
        if (found == pending_.end())
            continue; // sent by another entry
        pending_rating const rated = std::move(found->second);
        pending_.erase(found);
        cluster_.counters.count("ratings_received_total");
        on_rating_(rated, it["rating"].get<double>());
    }
    if (!page["ratings"].empty())
        next_poll_ = {}; // there may be another page
}

} // namespace marjorambeam
