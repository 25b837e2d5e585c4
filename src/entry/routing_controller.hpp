// Keeps the routing table up to date and chooses versions and upstreams from
// it.
//
// Example:
//   routing_controller routing(state, is_live, random_incarnation());
//   routing.rebuild();
//   result<version_choice> v = routing.choose_version(c, "tagger", pin);
//   result<route> r = routing.choose(request, now);
//
// Used on the loop's thread only; not thread-safe.
#pragma once

#include "entry/entry_state.hpp"
#include "routing/routing.hpp"

#include <functional>
#include <map>
#include <random>
#include <string>
#include <string_view>

namespace marjorambeam
{

// Destination of an attempt, with a reason for the trace.
struct route
{
    std::string upstream;
    std::string instance; // the upstream's agent
    std::string reason;
};

class routing_controller
{
public:
    using liveness_check = std::function<bool(peer const&)>;

    // `state` outlives this. `is_live` returns whether new work may be sent to
    // a peer; `seed` initializes the random number generator.
    routing_controller(
        entry_state& state, liveness_check is_live, std::uint64_t seed);

    // Builds the table from the configuration and the set of live peers. Call
    // after each change of the configuration.
    void rebuild();

    // Rebuilds the table if the set of live peers changed. Call a few times a
    // second.
    void tick();

    // Chooses a version of `model`. `pin` is the session's "model@version" or
    // empty; `model` may be "auto" with a pin. Errors: those of routing's
    // choose_version.
    result<version_choice> choose_version(
        contract const& c, std::string_view model, std::string_view pin);

    // Chooses the upstream of the next attempt. For a request with an
    // idempotency key this is the known or likely owner of the key, if it is
    // routable. Error: no_upstream.
    result<route> choose(entry_request const& r, steady_time now);

    // Returns whether an upstream that was not tried yet is available.
    bool has_alternative(entry_request const& r, steady_time now);

    // Caches the owner of the partition that the request's key belongs to; an
    // empty `owner` removes the cached one. Precondition: the request has a
    // key.
    void record_owner(entry_request const& r, std::string_view owner);

    // Update the load and failure statistics of an upstream, which the choice
    // of upstreams is based on. Unknown instances and upstreams are ignored.
    void record_load(
        std::string_view instance, upstream_load const& load, steady_time now);
    void record_sent(std::string_view upstream);
    void record_done(std::string_view upstream);
    void record_failed(std::string_view upstream, steady_time now);

private:
    std::uint64_t live_set_hash() const;
    std::vector<upstream_index> tried_indexes(entry_request const& r) const;
    route_choice choose_index(entry_request const& r, steady_time now);
    bool is_routable(std::string_view upstream) const;
    std::string likely_owner(entry_request const& r) const;

    entry_state& state_;
    liveness_check is_live_;
    std::mt19937_64 random_;
    routing_table table_;
    std::uint64_t built_live_set_hash_ = 0;
    // Cached owners by partition name; 16 partitions for each service.
    document_map<std::string> owners_;
};

} // namespace marjorambeam
