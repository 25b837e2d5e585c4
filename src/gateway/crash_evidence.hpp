// Evidence of which requests, and which parts of prompts, crash the upstreams
// that begin to answer them.
//
// Example:
//   record_suspicion(e, {traits, upstream, started_ms, now});
//   confirm_crash(e, upstream, now); // it is unreachable or has restarted
//   record_survival(e, traits, now); // an upstream answers such a request
//   crash_baseline const b = baseline_of(e, gateways, now);
//   for (part_finding const& it : judge_parts(e, b, now).guilty)
//       quarantine(it);
//
// An upstream that crashes takes down every request it holds, so one crash
// proves nothing. A request that is being answered did not crash it. Suspects
// are those whose answer had just begun, with a head and nothing behind it, or,
// if there is none, those that were still waiting. Parts are judged by a
// sequential likelihood ratio: each crash with the part speaks against it by
// how rarely a sound request is lost in a crash, each answered request with the
// part speaks for it, and a crash that another part explains does not count. A
// repeated request adds nothing, because its own part may be the deadly one.
// Gateways exchange their evidence, see crash_sharing.hpp.
//
// No I/O. Functions that take a crash_evidence are not thread-safe.
#pragma once

#include "base/time.hpp"
#include "gateway/rate_window.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace marjorambeam
{

// What a request has in common with others, as hashes.
struct request_traits
{
    std::uint64_t request = 0;        // of the same contents
    std::uint64_t organisation = 0;   // 0: none
    std::vector<std::uint64_t> parts; // shared parts of its prompt, in order
};

// Shared parts of a prompt that count; of more, the last ones, which fewer
// requests have.
constexpr std::size_t max_judged_parts = 16;

// Crashes after which a request is not repeated, and after which it is refused.
// Few sound requests are in two crashes before they are answered.
constexpr std::size_t crashes_without_repeat = 2;
constexpr std::size_t crash_limit = 3;
// A crash is detected within this time: the upstream is unreachable, no longer
// listed, or has restarted.
constexpr duration crash_suspicion_ttl = std::chrono::seconds(6);
// Answers that an upstream sent before it crashed may be read so long after a
// connection that broke with the crash.
constexpr duration read_delay = std::chrono::milliseconds(100);
// A dropped answer is suspected of a crash so soon after it. The difference may
// be negative by the error of reported ages.
constexpr duration dropped_answer_window = std::chrono::milliseconds(300);
constexpr duration crash_time_error = std::chrono::milliseconds(50);
// The same if it is not known when the upstream crashed.
constexpr duration dropped_suspicion_ttl = std::chrono::seconds(1);
// Parts that crash upstreams rarely must not be forgotten in between.
constexpr duration crash_record_ttl = std::chrono::hours(1);
// Bounds of the memory, also against callers that make up parts.
constexpr std::size_t max_crash_records = 64;
constexpr std::size_t max_suspicions = 4096;
constexpr std::size_t max_suspects = 128; // of one crash
constexpr std::size_t max_part_records = 16'384;
constexpr std::size_t max_request_records = 8192;
// Crashes within this time may have one cause, such as a power failure.
constexpr duration common_cause_window = std::chrono::milliseconds(200);
// Requests of this time are the baseline for how often sound ones are lost, and
// the shortest time over which crashes are compared with it.
constexpr duration crash_share_window = std::chrono::seconds(10);
constexpr duration min_crash_share_time = std::chrono::seconds(1);
// A part that was answered before, for up to twice this time, is judged when
// its crashes are so far apart that answers of other gateways had time to come.
constexpr duration recent_answer_period = std::chrono::seconds(15);
constexpr duration answered_part_delay = std::chrono::seconds(2);
constexpr std::size_t max_recent_parts = 8192;

// A request on an upstream that crashed.
struct crash_suspect
{
    request_traits traits;
    bool has_begun = false; // the head of its answer had arrived
};

// An upstream's connection broke before the request had been answered for long,
// or the gateway dropped an answer that had just begun.
struct crash_suspicion
{
    crash_suspect suspect;
    std::string upstream;
    std::int64_t upstream_started_ms = 0; // identifies the incarnation
    steady_time at{};
    // By the gateway, as when it asks a larger model. The upstream may go on
    // with the answer, and crash on it unseen.
    bool was_dropped = false;
};

struct upstream_crash
{
    std::uint64_t id = 0; // see crash_id()
    steady_time at{};
    std::vector<crash_suspect> suspects;
    bool has_begun = false; // any of them; the others do not count then
};

// A crash of a request, or of requests with one part.
struct crash_entry
{
    std::uint64_t crash = 0;
    bool has_begun = false; // the request, or one with the part
    // The request, or one with the part: the least, so that the order of
    // reports does not matter.
    std::uint64_t request = 0;
    // Answers to requests with the part since the entry before.
    std::uint32_t survivals = 0;
};

// The crashes of one request. They outlive the records of the crashes, as a
// request that comes seldom still counts among many that crash upstreams.
struct request_record
{
    std::vector<crash_entry> crashes;
    steady_time latest{};
};

// The crashes of requests with one part, in the order in which they became
// known, and the answers in between.
struct part_record
{
    std::vector<crash_entry> crashes;
    std::uint32_t survivals = 0; // since the last crash
    std::size_t position = 0;    // greatest position in a prompt
    bool was_answered = false;   // lately, before its first crash
};

struct crash_evidence
{
    std::deque<upstream_crash> crashes; // in the order in which they were known
    std::unordered_map<std::uint64_t, part_record> parts;
    // Crashes of each request, by its `request_traits::request`.
    std::unordered_map<std::uint64_t, request_record> requests;
    std::vector<crash_suspicion> suspicions;
    // Drained by the sender of reports.
    std::vector<upstream_crash> unreported_crashes;
    std::map<std::uint64_t, std::uint32_t> unreported_survivals; // by part
    rate_window answered{crash_share_window}; // requests of this gateway
    // Parts of requests that this gateway had answered lately, in two periods.
    std::unordered_set<std::uint64_t> recent_parts;
    std::unordered_set<std::uint64_t> earlier_parts;
    steady_time recent_since{};
    bool has_changed = false; // since the parts were judged
};

// A part that crashes upstreams.
struct part_finding
{
    std::uint64_t part = 0;
    std::uint64_t organisation = 0; // whose requests crashed; 0: of several
    std::size_t crashes = 0;        // that no other part explains
    std::size_t requests = 0;       // different ones among them
    double score = 0;               // logarithm of the likelihood ratio
};

// The result of judging all parts.
struct part_findings
{
    std::vector<part_finding> guilty;
    // Requests with these are not repeated until more is known.
    std::vector<std::uint64_t> suspected;
    // Nothing is left against these: guilty parts explain their crashes, or
    // requests with them have been answered since.
    std::vector<std::uint64_t> explained;
    std::vector<std::uint64_t> answered;
};

// Logarithm of the odds for a part before there is evidence: few parts of many
// thousands are deadly, and each crash puts several to the test.
constexpr double conviction_score = 12;
// The same for a part that was in crashes with a guilty one and was never
// answered without it.
constexpr double companion_conviction_score = 3;
constexpr std::size_t min_companion_crashes = 3;
// Weight of one answered request: a deadly part survives one in fifty at most.
constexpr double survival_score = 3.9;
// A part with this many crashes in a row, of different requests and apart from
// each other, is guilty however common crashes are.
constexpr std::size_t crashes_until_guilty = 5;
constexpr std::size_t crashes_until_suspected = 2;
// Bounds of the share of requests that are lost in crashes.
constexpr double min_crash_share = 0.005;
constexpr double max_crash_share = 0.5;

// What makes a request the same as another one.
struct request_contents
{
    std::string_view target;
    std::string_view organisation;
    std::string_view body;
    std::span<std::string_view const> prompt; // ids of all its parts
};

// Returns a hash that identifies a request's contents. Thread-safe.
std::uint64_t request_fingerprint(request_contents const& r);

// Returns the key of a prompt's part in traits, which is not 0. Thread-safe.
std::uint64_t part_key(std::string_view id);

// Returns the id of the crash of an upstream's incarnation. Thread-safe.
std::uint64_t crash_id(std::string_view upstream, std::int64_t started_ms);

// Records that the upstream's connection broke before the request had been
// answered for long. Drops expired suspicions and, beyond the maximum, the
// oldest. Not thread-safe.
void record_suspicion(crash_evidence& e, crash_suspicion&& s);

// Drops suspicions of the incarnation from before it sent an answer at `now`:
// it has not crashed since. Not thread-safe.
void record_sign_of_life(
    crash_evidence& e, std::string_view upstream, std::int64_t started_ms,
    steady_time now);

// Drops suspicions from before `begun`, when a connection was begun that the
// incarnation has accepted and kept open: what broke their connections was no
// crash. Without this, a later crash, as of a whole zone, would count against
// each of them at the time of its own break, so that it would look like several
// crashes. An upstream that restarts at its address before the connection is
// begun is not suspected either. Not thread-safe.
void record_accepted_connection(
    crash_evidence& e, std::string_view upstream, std::int64_t started_ms,
    steady_time begun);

// Attributes the crash of the upstream to the requests recently suspected
// there, and adds it to `unreported_crashes`. Returns the suspicions that it
// confirmed. Not thread-safe.
std::vector<crash_suspicion>
confirm_crash(crash_evidence& e, std::string_view upstream, steady_time now);

// The same for the incarnation that another gateway reports.
std::vector<crash_suspicion>
confirm_crash(crash_evidence& e, std::uint64_t crash, steady_time now);

// Records suspects of a crash; those that are known already have no effect. Not
// thread-safe.
void record_crash(
    crash_evidence& e, std::uint64_t crash, steady_time at,
    std::span<crash_suspect const> suspects);

// Records that an upstream answers the request: it and its parts did not crash
// it. Clears the record of the request. Not thread-safe.
void record_survival(
    crash_evidence& e, request_traits const& traits, steady_time now);

// Records answers that another gateway reports. Parts that are in no crash are
// ignored. Not thread-safe.
void record_reported_survivals(
    crash_evidence& e, std::uint64_t part, std::uint32_t n);

// Whether the request crashed so many upstreams that it is not repeated, or
// refused. Not thread-safe.
bool may_repeat(crash_evidence const& e, request_traits const& traits);
bool reaches_crash_limit(crash_evidence const& e, std::uint64_t request);

// A request that is refused because of its crashes.
struct refused_request
{
    std::uint64_t request = 0;
    std::vector<std::uint64_t> crashes; // ids of those that count
    steady_time latest{};               // of the last one
};

// Returns the refused requests, those with the latest crashes first, `max` at
// most. Not thread-safe.
std::vector<refused_request>
refused_requests(crash_evidence const& e, std::size_t max);

// Records a refused request that another gateway knows of. Not thread-safe.
void record_refused_request(crash_evidence& e, refused_request const& r);

// Drops all evidence against the part, because it has been proven sound or is
// to be tried anew. Not thread-safe.
void forget_part(crash_evidence& e, std::uint64_t part);

// Drops crashes, and records of requests, that are older than
// `crash_record_ttl`. Not thread-safe.
void expire_crashes(crash_evidence& e, steady_time now);

// How often requests were lately lost in crashes. A deadly part's own crashes
// say nothing of how often sound requests are lost.
struct crash_baseline
{
    double lost = 0;                                     // in crashes
    double answered = 0;                                 // in the same time
    std::unordered_map<std::uint64_t, double> lost_with; // those with a part
};

// Returns the baseline of all gateways. `gateways` is the number that serve
// requests: each knows the crashes of all but only its own answers. Not
// thread-safe.
crash_baseline
baseline_of(crash_evidence& e, std::size_t gateways, steady_time now);

// Returns the share of the requests without the part that were lost in crashes,
// within its bounds, counting one more than were seen. Thread-safe.
double crash_share(crash_baseline const& b, std::uint64_t part);

// Judges all parts with crashes. Of parts with the same evidence the one
// furthest back is guilty, which the fewest requests have. Not thread-safe.
part_findings
judge_parts(crash_evidence const& e, crash_baseline const& b, steady_time now);

} // namespace marjorambeam
