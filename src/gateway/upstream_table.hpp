// A gateway's state of the upstreams, and the selection of one for a request.
//
// Example:
//   upstream_query q{.service = "pool", .only_version = "v2"};
//   upstream_selection c = select_upstream(table, q, now);
//   if (c.chosen) send_to(*c.chosen);
//
// Plain data and free functions without I/O. Not thread-safe, except where a
// function says so.
#pragma once

#include "base/time.hpp"
#include "gateway/engine_pace.hpp"
#include "gateway/prompt_separation.hpp"
#include "gateway/rate_window.hpp"
#include "gateway/request_protocol.hpp"
#include "gateway/service_room.hpp"
#include "gateway/upstream_notice.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace marjorambeam
{

// What an upstream registers about itself.
struct upstream_info
{
    std::string id;
    std::string service;
    std::string address;
    std::string zone;
    std::string version;
    std::uint32_t slots = 0;
    bool is_draining = false;
    duration cold_remaining{0};
    std::int64_t started_unix_ms = 0; // a restart under the same id changes it
};

// Load that other gateways put on an upstream.
struct peer_load
{
    std::uint32_t requests = 0;
    double work = 0;
};

// Time to first event relative to the work queued before it, as exponentially
// decayed sums over samples. Sums, because a mean of ratios is dominated by the
// samples with little work.
struct work_pace
{
    double took_us = 0;
    double work = 0;
    double samples = 0;
};

// One time to first event with the work before it. Gateways exchange samples,
// because in a large fleet each has few of each upstream.
struct pace_sample
{
    std::uint32_t upstream = 0; // upstream_state::number
    float work = 0;
    float took_us = 0;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(upstream, work, took_us);
    }
};

// Maximum number of samples for the next report; further ones are dropped.
constexpr std::size_t max_pending_samples = 24;

struct upstream_state
{
    upstream_info info;
    std::uint32_t number = 0;    // identifies it in reports
    steady_time cold_until{};    // rate-limited until then
    steady_time ejected_until{}; // no requests until then, after a failure
    bool is_missing = false;     // unlisted while the list was uncertain
    std::uint32_t consecutive_failures = 0;
    steady_time silence_noticed_at{}; // see record_silence()
    double failure_rate = 0; // of recent attempts, see record_outcome()
    steady_time last_outcome_at{};
    std::uint32_t requests = 0; // sent by this gateway and unfinished
    double work = 0;            // remaining, see request_work
    peer_load peers;
    upstream_load_report own_load;
    steady_time load_reported_at{};
    steady_time last_received_at{}; // last byte received on any connection
    work_pace pace;
    engine_event_pace event_pace; // of an engine under overload control
    upstream_room room;           // of a plain service under overload control
    rate_window cold_sends{std::chrono::seconds(1)};
};

// Work of a request at an engine, in prompt tokens of the smallest model.
struct request_work
{
    double prefill = 0; // until the first event
    double decode = 0;  // until the end
    double shared = 0;  // part of `prefill` that a prefix cache may save

    double total() const
    {
        return prefill + decode;
    }
};

// Work of one output token relative to a prompt token. The engine generates the
// output tokens of all running requests in one batch, along with chunks of
// prompts, so that one more stream hardly delays a prompt.
constexpr double output_token_work = 0.5;

// Prior for the pace: 100 prompt tokens per millisecond, as engines of this
// kind process them, with the weight of three long prompts.
constexpr work_pace prior_pace{.took_us = 3e5, .work = 3e4, .samples = 3};

using upstream_map =
    std::map<std::string, std::shared_ptr<upstream_state>, std::less<>>;

struct upstream_table
{
    upstream_map by_id;
    // By upstream_state::number. put_upstream() and erase_upstream() keep both.
    std::unordered_map<std::uint32_t, upstream_state*> by_number;
    // Changes of the list. Whoever changes an entry so that it serves another
    // service or is no longer usable raises it.
    std::uint64_t changes = 0;
    // Availability zones excluded from new work.
    std::set<std::string, std::less<>> evacuated_zones;
    upstream_notices notices;                 // received from upstreams
    work_pace pace = prior_pace;              // of all engines
    std::vector<pace_sample> pending_samples; // since the last report
};

// Returns the number of an upstream in reports. If two upstreams collide, the
// later one gets the loads that peers report, which is harmless. Thread-safe.
std::uint32_t upstream_number(std::string_view id);

// Inserts an upstream, replacing one with the same id, and sets its number.
// Precondition: `u` is not null and has its id. Not thread-safe.
void put_upstream(upstream_table& b, std::shared_ptr<upstream_state> u);

// Removes an upstream and returns the next one. Precondition: `it` refers to an
// entry of `b`. Not thread-safe.
upstream_map::iterator
erase_upstream(upstream_table& b, upstream_map::iterator it);

// Returns the notice of this incarnation of the upstream, or null. Not
// thread-safe.
upstream_notice const*
find_notice(upstream_table const& b, upstream_state const& u);

// Uses a token of the upstream's request limit for a request that is sent now.
// Returns whether it names a limit. Precondition: select_upstream() returned it
// at `now`. Not thread-safe.
bool take_token(upstream_table& b, upstream_state const& u, steady_time now);

// Returns whether the upstream may get new work: neither the store nor its own
// notice says that it is draining, and its zone is not evacuated. Not
// thread-safe.
bool is_usable(upstream_table const& b, upstream_state const& u);

// Returns how many requests per second this gateway may send to a cold
// upstream; a function, because it depends on the service and the other
// gateways.
using cold_share_function =
    std::size_t (*)(void const* context, upstream_state const& u);

struct upstream_query
{
    std::string_view service;
    std::string_view only_version;      // empty: any
    std::string_view never_version;     // empty: none
    std::string_view zone;              // of this gateway
    std::string_view affinity;          // key of the prompt's shared parts
    std::span<std::string const> tried; // ids that are excluded
    request_work work;
    std::uint64_t seed = 0;             // differs between requests
    bool prefers_consolidation = false; // concentrate requests on few upstreams
    bool is_engine = false;
    // Keeps long prompts from short ones by this mix; null: does not.
    prompt_mix const* mix = nullptr;
    // Prefers engines at which the response ends in time; empty: does not.
    std::optional<response_forecast> forecast;
    // Keeps requests from upstreams without room, by the service time of the
    // service; null: does not. `affordable_wait` is until the request starts.
    service_time const* room_prior = nullptr;
    duration affordable_wait{0};
    std::span<std::string const> refused_by; // full upstreams, see may_send()
    std::uint32_t max_requests = 0; // at one upstream, of all; 0: any number
    cold_share_function cold_share = nullptr;
    void const* context = nullptr;
};

// Why no upstream is available, ordered by how soon that may change.
enum class selection_failure : std::uint8_t
{
    none,
    full,        // all are at their limit
    cold,        // the remaining ones are cold and at their rate
    limited,     // the remaining ones are at the request limit they name
    paused,      // the remaining ones have requested a pause
    unreachable, // the remaining ones failed recently
    draining,    // all listed ones are draining
    no_upstream  // none is listed for this service and version
};

struct upstream_selection
{
    std::shared_ptr<upstream_state> chosen;
    duration expected{0};     // until the first event; engines only
    duration queued{0};       // part of it due to other requests
    double work = 0;          // expected before it, see record_first_event()
    bool ends_in_time = true; // likely, by the forecast
    selection_failure failure = selection_failure::none;
    steady_time resumes_at{}; // the earliest one, if all are paused or limited
    // If all are limited: the sums of their limits and of the shares of this
    // gateway, and an upstream for which it may claim a token now.
    double limit_per_second = 0;
    double share_per_second = 0;
    std::string claimable;
    bool is_contended = false; // other gateways compete for a share
};

// What a selection made of one upstream of the service.
enum class selection_verdict : std::uint8_t
{
    chosen,
    more_costly,   // considered, another one costs less
    not_sampled,   // usable, but not among the engines that were considered
    other_prompts, // keeps to prompts of another length
    ends_late,     // the response would likely end after its deadline
    consolidated,  // usable, but requests are concentrated on others
    unhealthy,     // fails most of its attempts while others are healthy
    full,          // no room by the estimate, or at the limit of the query
    ramping,       // resumes gradually after a pause
    limited,       // at the request limit that it names
    cold,          // at its rate while it is cold
    unreachable,   // failed recently
    tried,         // the request was sent there before
    paused,        // has requested a pause
    evacuated,     // its zone is not used
    draining,
    other_version // the query does not allow its version
};

struct traced_upstream
{
    upstream_state const* upstream = nullptr; // not null
    selection_verdict verdict = selection_verdict::more_costly;
    double cost = 0;      // of a considered one; the least is chosen
    duration expected{0}; // until the first event; considered engines only
};

// All upstreams of the service, ordered by id. Valid as long as the table.
using selection_trace = std::vector<traced_upstream>;

// Returns the best upstream: for engines the one expected to begin its response
// first, assuming that the upstreams ranked first for the affinity key have its
// shared prefix cached; otherwise the least loaded one. With a forecast,
// engines at which the response likely ends after its deadline are selected
// only if there is no other, and then the one at which it ends first. `trace`,
// unless null, is replaced by what was decided about each upstream. Changes
// nothing in the table. Not thread-safe.
upstream_selection select_upstream(
    upstream_table const& b, upstream_query const& q, steady_time now,
    selection_trace* trace = nullptr);

// Returns what the estimates of service_room.hpp use of the upstream. Valid as
// long as `u`. Not thread-safe.
upstream_view view_of(upstream_state const& u, steady_time now);

// An engine at which a response would end.
struct engine_end
{
    duration first_event{0}; // until then
    duration queued{0};      // part of it due to other requests
    double requests = 0;     // there, this one included
    double pace = 1;         // see event_pace_of()
};

// Returns the engine of the service at which the response likely ends first, or
// nothing without one. It counts all usable engines that can be reached, also
// those that this request may not be sent to now, and takes the shared parts of
// its prompt as cached, so that the end is not later than at any of them.
// Precondition: the query has a forecast. Not thread-safe.
std::optional<engine_end> earliest_engine_end(
    upstream_table const& b, upstream_query const& q, steady_time now);

// Returns whether requests wait at the engine, by its own report of at most
// max_room_report_age ago, otherwise by the requests that are counted there. An
// engine without either has none. Not thread-safe.
bool has_queue(upstream_state const& u, steady_time now);

// Estimates the requests at the upstream from this gateway's count, those of
// its peers, and the upstream's own recent report. Not thread-safe.
double estimated_requests(upstream_state const& u, steady_time now);

// Records the time to first event. `work` is the work queued before it when the
// request was sent. Not thread-safe.
void record_first_event(
    upstream_table& b, upstream_state& u, double work, duration took);

// Adds a sample of another gateway. It does not affect the common pace, which
// also reflects how stale this gateway's view of loads is. Not thread-safe.
void add_peer_sample(upstream_state& u, pace_sample const& s);

// Returns how long an upstream is ejected after `failures` consecutive
// failures. Thread-safe.
duration ejection_time(std::uint32_t failures);

// Records a failure to reach the upstream, or a crash. It counts as cold when
// it returns. Not thread-safe.
void record_unreachable(
    upstream_state& u, duration cold_start, steady_time now);

// Records that an attempt sent at `sent` finds the upstream silent. A silence
// that several attempts notice counts once: those that were under way, or had
// heard from the upstream, before it was noticed. Returns whether it is a new
// one. Not thread-safe.
bool record_silence(upstream_state& u, steady_time sent, steady_time now);

// Records how an attempt ended. Recent failures weigh more; an upstream that
// fails most of its attempts gets none while others are healthy. Otherwise, one
// that fails immediately would look idle and attract all requests. Not
// thread-safe.
void record_outcome(upstream_state& u, bool is_failure, steady_time now);

// Returns the decayed rate of failed attempts as of `now`. Not thread-safe.
double failure_rate(upstream_state const& u, steady_time now);

// Records a response of the upstream. Not thread-safe.
void record_response(upstream_state& u, steady_time now);

} // namespace marjorambeam
