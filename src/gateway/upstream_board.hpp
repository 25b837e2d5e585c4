// What a gateway knows of the upstreams, and the choice of one for a request.
//
// Example:
//   choice_question q{.service = "pool", .version = "v2", .zone = "zone-1"};
//   upstream_choice c = choose_upstream(board, q, now);
//   if (c.chosen) send_to(*c.chosen);
//
// Plain data and free functions without I/O. Not thread-safe.
#pragma once

#include "base/time.hpp"
#include "gateway/rate_window.hpp"
#include "gateway/request_protocol.hpp"
#include "gateway/upstream_notice.hpp"

#include <cstdint>
#include <map>
#include <memory>
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
    bool is_leaving = false;
    duration cold_remaining{0};
    std::int64_t started_unix_ms = 0; // a restart under the same id changes it
};

// Load that other gateways have put on an upstream.
struct peer_load
{
    std::uint32_t requests = 0;
    double work = 0;
};

// How long first events took against the work that was to be done before them,
// as sums over samples that weigh less the older they are. Sums, because a
// mean of ratios is led by the samples with little work.
struct work_pace
{
    double took_us = 0;
    double work = 0;
    double samples = 0;
};

// How long one first event took against the work before it; gateways tell one
// another, because in a large fleet each has few samples of each upstream.
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

// Samples that are kept for the next report; more are dropped.
constexpr std::size_t max_untold_samples = 24;

struct upstream_state
{
    upstream_info info;
    std::uint32_t number = 0;  // its short name in reports
    steady_time cold_until{};  // bears few requests before
    steady_time avoid_until{}; // gets none before, after a failure
    bool is_missing = false;   // unlisted while the list was unsure
    std::uint32_t failures_in_row = 0;
    double failure_rate = 0; // of recent attempts, see note_outcome()
    steady_time outcome_at{};
    std::uint32_t requests = 0; // sent by this gateway and unfinished
    double work = 0;            // what is left of it, see request_work
    peer_load peers;
    upstream_load_report told;
    steady_time told_at{};
    steady_time heard_at{}; // last byte received on any connection
    work_pace pace;
    rate_window cold_sends{std::chrono::seconds(1)};
};

// Work of a request at an engine, in prompt tokens read by the smallest model.
struct request_work
{
    double prefill = 0; // until the first event
    double decode = 0;  // until the end
    double shared = 0;  // part of `prefill` that cached parts may save

    double total() const
    {
        return prefill + decode;
    }
};

// Work of one output token against that of a prompt token. The output tokens
// of all running requests are made together, beside the chunks of prompts that
// are read, so that one more stream hardly delays a prompt.
constexpr double output_token_work = 0.5;

// Pace that is assumed before the first samples: 100 prompt tokens per
// millisecond, as engines of this kind read them, with the weight of three
// long prompts.
constexpr work_pace usual_pace{.took_us = 3e5, .work = 3e4, .samples = 3};

using upstream_map =
    std::map<std::string, std::shared_ptr<upstream_state>, std::less<>>;

struct upstream_board
{
    upstream_map by_id;
    // By upstream_state::number. put_upstream() and erase_upstream() keep both.
    std::unordered_map<std::uint32_t, upstream_state*> by_number;
    std::set<std::string, std::less<>> zones_out; // get no new work
    upstream_notices notices;                     // what they say themselves
    work_pace pace = usual_pace;                  // of all engines
    std::vector<pace_sample> untold;              // since the last report
};

// Short name of an upstream in reports. Of two upstreams with one number the
// later one gets the loads that others tell, which is harmless. Thread-safe.
std::uint32_t upstream_number(std::string_view id);

// Puts an upstream on the board, in the place of one with its id, and sets its
// number. Precondition: `u` has its id.
void put_upstream(upstream_board& b, std::shared_ptr<upstream_state> u);

// Takes an upstream off the board; returns the next one. Precondition: `it` is
// one of the board's.
upstream_map::iterator
erase_upstream(upstream_board& b, upstream_map::iterator it);

// What the upstream has said of itself in this lifetime; null when nothing.
upstream_notice const*
find_notice(upstream_board const& b, upstream_state const& u);

// Whether the upstream may get new work at all: listed, not leaving by the
// store's word or its own, in a zone that is in service.
bool is_usable(upstream_board const& b, upstream_state const& u);

// How many requests this gateway may send to an upstream in a second while it
// is cold; a function, because it rests on the service and the other gateways.
using cold_share_function =
    std::size_t (*)(void const* context, upstream_state const& u);

struct choice_question
{
    std::string_view service;
    std::string_view only_version;      // empty: any
    std::string_view never_version;     // empty: none
    std::string_view zone;              // of this gateway
    std::string_view affinity;          // key of the prompt's shared parts
    std::span<std::string const> tried; // ids, not to be used again
    request_work work;
    std::uint64_t seed = 0;   // differs between requests
    bool prefers_few = false; // gather the requests on few upstreams
    bool is_engine = false;
    std::uint32_t max_requests = 0; // at one upstream, of all; 0: any number
    cold_share_function cold_share = nullptr;
    void const* context = nullptr;
};

// Why there is no upstream; the order is that of how soon it may change.
enum class choice_failure : std::uint8_t
{
    none,
    full,        // all are at their limit
    cold,        // those that are left bear no more for the moment
    paused,      // those that are left have asked for time
    unreachable, // all have failed just now
    leaving,     // all that are listed leave
    no_upstream  // none is listed for this service and version
};

struct upstream_choice
{
    std::shared_ptr<upstream_state> chosen;
    duration expected{0}; // until the first event; engines only
    duration queued{0};   // part of it for the work of other requests
    double work = 0;      // that is expected before it, see note_first_event()
    choice_failure failure = choice_failure::none;
    steady_time resumes_at{}; // of the first one; when all are paused
};

// Returns the best upstream: for an engine the one that is expected to begin
// the answer first, where the upstreams that rank first for the affinity key
// are expected to have its shared parts; else the least loaded one.
upstream_choice
choose_upstream(upstream_board& b, choice_question const& q, steady_time now);

// Requests at the upstream as far as known: this gateway's, the others', and
// what the upstream itself has told lately.
double known_requests(upstream_state const& u, steady_time now);

// Notes how long the first event took. `work` is what was to be done before
// it, at the time of sending.
void note_first_event(
    upstream_board& b, upstream_state& u, double work, duration took);

// Takes a sample of another gateway. The common pace is each gateway's own: it
// also holds how late the gateway knows of loads.
void take_peer_sample(upstream_state& u, pace_sample const& s);

// Time for which an upstream is avoided after `failures` failures in a row.
duration avoid_time(std::uint32_t failures);

// Notes a failure to reach the upstream, or a crash; it counts as cold when it
// is back.
void note_unreachable(upstream_state& u, duration cold_start, steady_time now);

// Notes how an attempt ended. Failures weigh more the more recent they are; an
// upstream that fails most of its attempts gets none while others are sound.
// One that fails at once looks idle, and would draw all requests otherwise.
void note_outcome(upstream_state& u, bool is_failure, steady_time now);

// Part of the recent attempts that failed, as of `now`.
double failure_rate(upstream_state const& u, steady_time now);

// Notes that the upstream has answered.
void note_answered(upstream_state& u, steady_time now);

} // namespace marjorambeam
