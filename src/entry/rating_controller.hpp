// Sends selected responses to the rating service and polls for their ratings.
//
// Example:
//   rating_controller ratings(cluster, client, {.url = "http://..."},
//       [&](pending_rating const& a, double rating) { ... });
//   request.is_rated = ratings.should_rate(request, now); // at admission
//   ratings.on_response(request, now); // when the response is complete
//   ratings.tick(now);                 // every 250 ms
//
// Responses are selected by the cascade and, for a model with a rolling
// version, at a bounded rate for each of its versions. A failed rating is
// dropped: the rating service never delays a request. Counters:
// ratings_sent_total, ratings_received_total, ratings_failed_total by error.
//
// Used on the loop's thread only; not thread-safe.
#pragma once

#include "base/time.hpp"
#include "cluster/cluster_state.hpp"
#include "entry/entry_state.hpp"
#include "http_client/http_client.hpp"
#include "log/log.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace marjorambeam
{

struct rating_settings
{
    std::string url; // of the rating service; empty disables ratings
    duration poll_period = std::chrono::milliseconds(500);
    // For each version of a model with a rolling version, at this entry.
    double rollout_ratings_per_second = 10;
};

// A response whose rating has not arrived yet.
struct pending_rating
{
    std::string version_id;
    std::optional<cascade_pick> cascade;
    steady_time sent_at{};
};

class rating_controller
{
public:
    using rating_handler =
        std::function<void(pending_rating const&, double rating)>;

    // The references must outlive this.
    rating_controller(
        cluster_state& cluster, http_client& client, rating_settings settings,
        rating_handler on_rating);

    // Returns whether the response is to be rated. Precondition: the request's
    // version has been chosen. May take a token of the version's rate limit.
    bool should_rate(entry_request const& r, steady_time now);

    // Sends the complete response for rating if `r.is_rated`.
    void on_response(entry_request const& r, steady_time now);

    // Polls for ratings and drops pending ones that timed out.
    void tick(steady_time now);

    // Returns the number of responses whose rating is pending.
    std::size_t pending() const
    {
        return pending_.size();
    }

private:
    struct rate_limit
    {
        double tokens = 0;
        steady_time updated{};
    };

    bool has_rolling_version(version const& v) const;
    bool take_token(std::string const& version_id, steady_time now);
    void on_sent(std::string const& id, result<http_reply> const& reply);
    void on_page(result<http_reply> const& reply);
    void record_failure(error_kind kind);

    cluster_state& cluster_;
    http_client& client_;
    rating_settings settings_;
    rating_handler on_rating_;
    std::unordered_map<std::string, pending_rating> pending_; // by request id
    std::map<std::string, rate_limit, std::less<>> limits_;   // by version
    std::uint64_t last_sequence_ = 0;
    bool is_polling_ = false;
    steady_time next_poll_{};
    steady_time failed_at_{}; // last failure of the rating service
    logger log_{"rating"};
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace marjorambeam
