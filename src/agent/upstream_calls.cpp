#include "agent/upstream_calls.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace marjorambeam
{
namespace
{

constexpr int service_unavailable = 503;
constexpr duration load_timeout = std::chrono::milliseconds(500);
// An upstream that is down is asked more often, so that it serves again soon.
constexpr duration down_interval = std::chrono::milliseconds(100);

// Returns the body with "resume_from" set; the body itself if it is not JSON.
std::string with_resume(std::string const& body, std::uint64_t tokens)
{
    auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object())
        return body;
    json["resume_from"] = tokens;
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// Returns the path and query as the caller sent them, with the characters
// escaped that no URL may contain.
std::string escaped(std::string_view path)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    constexpr std::string_view unsafe = " \"#<>\\^`{|}";
    std::string out;
    for (char const c : path)
    {
        auto const byte = static_cast<unsigned char>(c);
        bool const is_safe = byte > 0x20U && byte < 0x7FU &&
                             unsafe.find(c) == std::string_view::npos;
        if (is_safe)
        {
            out += c;
            continue;
        }
        out += '%';
        out += digits[byte >> 4U];
        out += digits[byte & 0xFU];
    }
    return out;
}

} // namespace

upstream_calls::upstream_calls(
    http_client& client, agent_state& state, upstream_events events)
    : client_(client)
    , state_(state)
    , events_(std::move(events))
{
}

upstream_calls::~upstream_calls()
{
    client_.cancel(load_call_);
    for (auto const& [id, a] : state_.attempts)
        client_.cancel(a->call);
}

http_call upstream_calls::call_for(attempt const& a) const
{
    work_request const& r = a.request;
    http_call c;
    c.method = r.method;
    c.url = state_.settings.upstream_url + escaped(r.path);
    c.body = r.tokens_delivered > 0 ? with_resume(r.body, r.tokens_delivered)
                                    : r.body;
    if (!r.content_type.empty())
        c.headers.emplace_back("Content-Type", r.content_type);
    c.headers.emplace_back("X-Request-Id", r.request_id);
    if (!r.key.empty())
        c.headers.emplace_back("Idempotency-Key", r.key);
    c.timeout = duration(0); // the agent applies its own
    c.connect_timeout = state_.settings.upstream_connect;
    // libcurl would repeat a request whose reused connection closes, and hide
    // a crash from the agent.
    c.use_fresh_connection = true;
    return c;
}

void upstream_calls::start(attempt& a, steady_time now)
{
    a.phase = attempt_phase::running;
    a.started = now;
    a.last_bytes = now;
    a.answer =
        answer_meter(a.request.kind == work_kind::model && a.request.is_stream);
    std::uint64_t const id = a.id;
    a.call = client_.send(
        call_for(a),
        [this, id](result<http_reply> r)
        {
            attempt& ended = *state_.attempts.find(id)->second;
            ended.call = 0;
            events_.on_ended(ended, std::move(r));
        },
        [this, id](int status, std::string_view bytes)
        {
            attempt& running = *state_.attempts.find(id)->second;
            running.status = status;
            events_.on_bytes(running, bytes);
            return true;
        });
}

void upstream_calls::stop(attempt& a)
{
    client_.cancel(a.call);
    a.call = 0;
}

void upstream_calls::tick(steady_time now)
{
    duration interval = state_.settings.load_interval;
    if (state_.is_upstream_down || state_.is_upstream_suspect)
        interval = std::min(interval, down_interval);
    if (load_call_ == 0 && now - load_asked_ >= interval)
        ask_for_load(now);
}

void upstream_calls::ask_for_load(steady_time now)
{
    upstream const* const own = own_upstream(state_);
    if (own == nullptr)
        return;
    load_asked_ = now;
    // Plain services have no load report, and any other call could have an
    // effect: the next request finds out whether the service is back.
    if (own->kind == upstream_kind::service)
        return events_.on_report({});
    load_call_ = client_.send(
        {.url = state_.settings.upstream_url + "/load",
         .timeout = load_timeout,
         .connect_timeout = load_timeout},
        [this](result<http_reply> const& r)
        {
            load_call_ = 0;
            take_report(r);
        });
}

void upstream_calls::take_report(result<http_reply> const& r)
{
    if (!r)
    {
        // A report that is merely late doesn't mean that work fails.
        if (r.error().kind != error_kind::upstream_silent)
            events_.on_unreachable();
        return;
    }
    if (r->status == service_unavailable)
        return events_.on_unreachable();
    auto const body = nlohmann::json::parse(r->body, nullptr, false);
    bool const is_report = r->status == 200 && body.is_object() &&
                           body.contains("incarnation") &&
                           body["incarnation"].is_number_unsigned();
    upstream_report report;
    if (is_report)
    {
        report.sender = body["incarnation"].get<incarnation>();
        report.is_cold = body.contains("is_cold") &&
                         body["is_cold"].is_boolean() &&
                         body["is_cold"].get<bool>();
    }
    events_.on_report(report);
}

} // namespace marjorambeam
