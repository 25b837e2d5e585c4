#include "load/load_tool.hpp"

#include "event_loop/event_loop.hpp"
#include "http_client/http_client.hpp"

#include <algorithm>
#include <boost/algorithm/string/split.hpp>
#include <cmath>
#include <memory>
#include <nlohmann/json.hpp>

namespace marjorambeam
{
namespace
{

constexpr duration pacing_interval = std::chrono::milliseconds(1);

// One request under way.
struct probe
{
    steady_time sent_at{};
    steady_time last_piece{};
    bool has_piece = false;
    std::uint64_t tokens = 0;
    std::string tail; // end of the stream, to see whether it is whole
};

class load_run
{
public:
    load_run(ev::loop_ref loop, load_settings const& settings)
        : loop_(loop)
        , settings_(settings)
        , client_(loop)
        , pacer_(loop, [this] { pace(); })
    {
        boost::split(urls_, settings_.urls, [](char c) { return c == ','; });
        body_ = settings_.body.empty() ? chat_body() : settings_.body;
    }

    load_report run()
    {
        started_at_ = steady_now();
        pacer_.start_every(pacing_interval);
        loop_.run();
        load_report& r = report_;
        r.seconds = to_seconds(steady_now() - started_at_);
        for (auto* it : {&r.total, &r.first_byte, &r.gaps})
            std::sort(it->begin(), it->end());
        return std::move(report_);
    }

private:
    std::string chat_body() const
    {
        return nlohmann::json{
            {"model", settings_.model},
            {"stream", settings_.is_stream},
            {"max_tokens", settings_.max_tokens},
            {"messages",
             {{{"role", "user"},
               {"content",
                std::string(
                    static_cast<std::size_t>(settings_.prompt_bytes), 'p')}}}}}
            .dump();
    }

    void pace()
    {
        steady_time const now = steady_now();
        double const elapsed = to_seconds(now - started_at_);
        if (elapsed >= to_seconds(settings_.time))
        {
            pacer_.stop();
            end_if_done();
            return;
        }
        auto const limit = static_cast<std::size_t>(settings_.concurrency);
        if (settings_.rate <= 0)
        {
            while (client_.active() < limit)
                send(now);
            return;
        }
        auto const due =
            static_cast<std::uint64_t>(std::floor(elapsed * settings_.rate));
        while (report_.sent + report_.dropped < due)
        {
            if (client_.active() >= limit)
                ++report_.dropped;
            else
                send(now);
        }
    }

    void send(steady_time now)
    {
        auto p = std::make_shared<probe>();
        p->sent_at = now;
        http_call call;
        call.method = settings_.method;
        call.url = urls_[report_.sent % urls_.size()] + settings_.path;
        call.headers = {{"Content-Type", "application/json"}};
        if (!settings_.key.empty())
        {
            call.headers.emplace_back(
                "Authorization", "Bearer " + settings_.key);
        }
        call.body = settings_.method == "GET" ? "" : body_;
        call.timeout = settings_.timeout;
        ++report_.sent;
        client_.send(
            std::move(call),
            [this, p](result<http_reply> const& r) { finish(*p, r); },
            [this, p](int, std::string_view piece)
            {
                take(*p, piece);
                return true;
            });
    }

    void take(probe& p, std::string_view piece)
    {
        steady_time const now = steady_now();
        if (!p.has_piece)
            report_.first_byte.push_back(to_seconds(now - p.sent_at));
        else if (settings_.is_stream)
            report_.gaps.push_back(to_seconds(now - p.last_piece));
        p.has_piece = true;
        p.last_piece = now;
        constexpr std::string_view delta = "\"content\":";
        for (std::size_t at = piece.find(delta); at != std::string_view::npos;
             at = piece.find(delta, at + delta.size()))
            ++p.tokens;
        constexpr std::size_t tail_bytes = 32;
        p.tail.append(piece.substr(
            piece.size() > tail_bytes ? piece.size() - tail_bytes : 0));
        if (p.tail.size() > tail_bytes)
            p.tail.erase(0, p.tail.size() - tail_bytes);
    }

    void finish(probe const& p, result<http_reply> const& r)
    {
        std::string failure;
        if (!r)
            failure = to_string(r.error().kind);
        else if (r->status != 200)
            failure = std::to_string(r->status);
        else if (
            settings_.is_stream &&
            p.tail.find("data: [DONE]") == std::string::npos)
            failure = "cut";
        if (failure.empty())
        {
            ++report_.answered;
            report_.tokens += p.tokens;
            report_.total.push_back(to_seconds(steady_now() - p.sent_at));
        }
        else
        {
            ++report_.failures[failure];
        }
        end_if_done();
    }

    void end_if_done()
    {
        if (!pacer_.is_active() && client_.active() == 0)
            loop_.break_loop(ev::ALL);
    }

    ev::loop_ref loop_;
    load_settings const& settings_;
    http_client client_;
    loop_timer pacer_;
    std::vector<std::string> urls_;
    std::string body_;
    steady_time started_at_{};
    load_report report_;
};

nlohmann::json quantiles(std::vector<double> const& sorted)
{
    auto ms = [&](double p) { return percentile(sorted, p) * 1000; };
    return {
        {"p50_ms", ms(0.5)},
        {"p95_ms", ms(0.95)},
        {"p99_ms", ms(0.99)},
        {"max_ms", ms(1)}};
}

} // namespace

std::vector<setting> settings_table(load_settings& s)
{
    return {
        text_setting(
            "urls", "", "Base URLs, separated by commas", s.urls, false),
        text_setting("key", "", "API key", s.key),
        text_setting(
            "path", "/v1/chat/completions", "Path of the request", s.path),
        text_setting("method", "POST", "Method of the request", s.method),
        text_setting("model", "auto", "Model to ask for", s.model),
        bool_setting("stream", false, "Ask for streams", s.is_stream),
        number_setting(
            "max-tokens", 16, 1, 100000, "Tokens to ask for", s.max_tokens),
        number_setting(
            "prompt-bytes", 64, 1, 1000000, "Length of the prompt",
            s.prompt_bytes),
        fraction_setting(
            "rate", 0, 0, 1000000, "Requests a second; 0 for back to back",
            s.rate),
        number_setting(
            "concurrency", 1000, 1, 100000, "Requests under way at most",
            s.concurrency),
        duration_setting(
            "time-ms", 5000, 10, 3600000, "Time to send for", s.time),
        duration_setting(
            "timeout-ms", 30000, 10, 3600000, "Timeout of one request",
            s.timeout),
        text_setting("body", "", "Body in place of the chat body", s.body),
    };
}

double percentile(std::vector<double> const& sorted, double p)
{
    if (sorted.empty())
        return 0;
    auto const rank = static_cast<std::size_t>(
        std::ceil(p * static_cast<double>(sorted.size())));
    return sorted[std::min(sorted.size() - 1, rank == 0 ? 0 : rank - 1)];
}

load_report run_load(ev::loop_ref loop, load_settings const& settings)
{
    return load_run(loop, settings).run();
}

std::string to_json(load_report const& r)
{
    return nlohmann::json{
        {"sent", r.sent},
        {"answered", r.answered},
        {"dropped", r.dropped},
        {"failures", r.failures},
        {"tokens", r.tokens},
        {"seconds", r.seconds},
        {"requests_per_second", static_cast<double>(r.answered) / r.seconds},
        {"tokens_per_second", static_cast<double>(r.tokens) / r.seconds},
        {"total", quantiles(r.total)},
        {"first_byte", quantiles(r.first_byte)},
        {"gap", quantiles(r.gaps)}}
        .dump(1);
}

} // namespace marjorambeam
