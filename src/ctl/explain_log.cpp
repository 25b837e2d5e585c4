#include "ctl/explain_log.hpp"

#include "error/error.hpp"
#include "log/log_events.hpp"

#include <algorithm>
#include <array>
#include <istream>
#include <map>
#include <set>

namespace marjorambeam
{
namespace
{

using std::chrono::seconds;

// What an instance came to believe in this time before the first line of a
// request may have decided it; a lost upstream is forgotten within it.
constexpr duration looked_back = seconds(10);
// Crashes are confirmed up to six seconds after the attempt has failed.
constexpr duration looked_ahead = seconds(6);
constexpr std::size_t max_context = 40;

// Why a request ends with a kind of error.
struct kind_reason
{
    error_kind kind;
    std::string_view text;
};

constexpr std::array reasons{
    kind_reason{
        error_kind::isolated,
        "the gateway could not vouch for keys, because nobody had confirmed "
        "the configuration for too long"},
    kind_reason{
        error_kind::not_ready,
        "the gateway had not read the configuration or the upstreams yet"},
    kind_reason{error_kind::shutting_down, "the gateway was shutting down"},
    kind_reason{
        error_kind::not_found,
        "no route of the configuration in force matched"},
    kind_reason{
        error_kind::unauthorized, "the configuration in force had no such key"},
    kind_reason{
        error_kind::no_upstream,
        "no upstream of its service and version was listed and in service"},
    kind_reason{
        error_kind::queue_full,
        "every upstream that was left refused it as full"},
    kind_reason{
        error_kind::buffers_full,
        "the gateway held as many bytes of requests and responses as it may"},
    kind_reason{
        error_kind::upstream_cold,
        "the upstreams that were left were cold and bore no more requests"},
    kind_reason{
        error_kind::upstream_paused,
        "every upstream that was left had asked for time"},
    kind_reason{
        error_kind::upstream_limited,
        "every upstream that was left was at the request limit that it names"},
    kind_reason{
        error_kind::upstream_out,
        "another instance answered at the upstream's address"},
    kind_reason{
        error_kind::upstream_crashed,
        "requests like it had crashed several upstreams"},
    kind_reason{
        error_kind::request_quarantined,
        "it, or a part of its prompt, had crashed several upstreams"},
    kind_reason{
        error_kind::deadline_unreachable,
        "no upstream was free before its deadline"},
    kind_reason{error_kind::deadline_exceeded, "its deadline passed"},
    kind_reason{
        error_kind::connection_lost, "the connection to the upstream broke"},
    kind_reason{error_kind::answer_cut, "the upstream broke off its answer"},
    kind_reason{
        error_kind::answer_corrupt,
        "the upstream's answer was incomplete or not its own"},
    kind_reason{
        error_kind::upstream_silent, "the upstream was silent for too long"},
    kind_reason{
        error_kind::upstream_failed,
        "the upstream failed after it had received the request"},
};

std::string reason_of(std::string_view kind)
{
    auto const it = std::find_if(
        reasons.begin(), reasons.end(),
        [&](kind_reason const& r) { return to_string(r.kind) == kind; });
    return it == reasons.end() ? std::string(kind) : std::string(it->text);
}

bool is_event(log_line const& line, log_event e)
{
    return line.event == row_of(e).name;
}

bool is_end(log_line const& line)
{
    return is_event(line, log_event::request_refused) ||
           is_event(line, log_event::request_failed) ||
           is_event(line, log_event::request_served) ||
           is_event(line, log_event::request_left);
}

std::string attempts_text(std::vector<log_line> const& lines)
{
    std::string text;
    for (log_line const& it : lines)
    {
        if (!is_event(it, log_event::attempt_failed))
            continue;
        text.append(text.empty() ? " Failed attempts: " : "; ")
            .append(it.field("upstream"))
            .append(" after ")
            .append(it.field("after_ms"))
            .append(" ms: ")
            .append(reason_of(it.field("kind")))
            .append(" (")
            .append(it.field("why"))
            .append(
                it.field("may_have_run") == "yes" ? "; it may have run)"
                                                  : "; it has not run)");
    }
    return text.empty() ? text : text + ".";
}

// Why attempts went on although their upstreams were late.
std::string delays_text(std::vector<log_line> const& lines)
{
    std::string text;
    for (log_line const& it : lines)
    {
        if (!is_event(it, log_event::attempt_kept))
            continue;
        text.append(text.empty() ? " Attempts that went on: " : "; ")
            .append(it.field("upstream"))
            .append(" was ")
            .append(it.field("delay"))
            .append(" after ")
            .append(it.field("after_ms"))
            .append(" ms, and no other took over (")
            .append(it.field("why"))
            .append(")");
    }
    return text.empty() ? text : text + ".";
}

// The estimate by which overload control refused the request, or nothing.
std::string overload_text(std::vector<log_line> const& lines)
{
    auto const it = std::find_if(
        lines.rbegin(), lines.rend(),
        [](log_line const& line)
        { return is_event(line, log_event::overload_refused); });
    if (it == lines.rend())
        return {};
    std::string text = "its gateway had no room for it before its deadline: ";
    text.append("at best it would have ended after ")
        .append(it->field("early_ms"))
        .append(" ms, likely after ")
        .append(it->field("likely_ms"))
        .append(" ms, with ")
        .append(it->field("left_ms"))
        .append(" ms left");
    return text;
}

std::string end_text(log_line const& end, std::string const& overload)
{
    if (is_event(end, log_event::request_served))
        return "The caller has its whole answer.";
    if (is_event(end, log_event::request_left))
        return "The caller left before its answer was complete.";
    std::string const reason = reason_of(end.field("kind"));
    if (is_event(end, log_event::request_refused))
        return "Refused before an upstream was chosen: " + reason +
               ". It has not run.";
    if (end.field("run") == "not_run")
        return "Refused with status " + std::string(end.field("status")) +
               ": " + (overload.empty() ? reason : overload) +
               ". It has not run.";
    if (end.field("status") == "0")
        return "Its stream was cut and could not be resumed: " + reason + ".";
    return "Answered with status " + std::string(end.field("status")) + ": " +
           reason + ". It may have run, so that it was not sent again.";
}

std::string cause_of(std::vector<log_line> const& lines)
{
    auto const end = std::find_if(lines.rbegin(), lines.rend(), is_end);
    std::string const text =
        end == lines.rend()
            ? "No end was logged: it is at work, its gateway ended first, or "
              "the line was held back."
            : end_text(*end, overload_text(lines));
    return text + attempts_text(lines) + delays_text(lines);
}

void sort_by_time(std::vector<log_line>& lines)
{
    std::stable_sort(
        lines.begin(), lines.end(),
        [](log_line const& a, log_line const& b) { return a.time < b.time; });
}

// Chooses what explains `lines` from the lines that belong to no request.
std::vector<log_line> context_of(
    std::vector<log_line> const& lines, std::vector<log_line> const& beliefs)
{
    std::set<std::string, std::less<>> instances;
    std::set<std::string, std::less<>> upstreams;
    for (log_line const& it : lines)
    {
        instances.insert(it.instance);
        for (std::string_view const name : {"upstream", "next_upstream"})
        {
            if (!it.field(name).empty())
                upstreams.emplace(it.field(name));
        }
    }
    wall_time const from = lines.front().time - looked_back;
    wall_time const to = lines.back().time + looked_ahead;
    std::vector<log_line> chosen;
    // The last word before the window counts as well: it is still believed.
    std::map<std::pair<std::string, std::string>, log_line> last_before;
    for (log_line const& it : beliefs)
    {
        bool const is_upstream = !it.field("upstream").empty();
        bool const is_near = is_upstream
                                 ? upstreams.contains(it.field("upstream"))
                                 : instances.contains(it.instance);
        if (!is_near || it.time > to)
            continue;
        if (it.time >= from)
            chosen.push_back(it);
        else if (!is_upstream)
            last_before[{it.instance, it.event}] = it;
    }
    for (auto const& [key, it] : last_before)
        chosen.push_back(it);
    sort_by_time(chosen);
    if (chosen.size() > max_context)
        chosen.erase(chosen.begin(), chosen.end() - max_context);
    return chosen;
}

} // namespace

log_explanation explain_from_log(std::istream& log, std::string_view request_id)
{
    log_explanation x;
    std::vector<log_line> beliefs;
    std::string text;
    while (std::getline(log, text))
    {
        std::optional<log_line> line = parse_log_line(text);
        if (!line)
        {
            x.skipped += text.empty() ? 0 : 1;
            continue;
        }
        std::string_view const id = line->field("request_id");
        if (id == request_id)
            x.lines.push_back(std::move(*line));
        else if (id.empty())
            beliefs.push_back(std::move(*line));
    }
    if (x.lines.empty())
        return x;
    sort_by_time(x.lines);
    sort_by_time(beliefs);
    x.context = context_of(x.lines, beliefs);
    x.cause = cause_of(x.lines);
    return x;
}

} // namespace marjorambeam
