#include "fakes/service/fake_service.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace marjorambeam
{
namespace
{

using nlohmann::json;

void respond_json(http_exchange& ex, int status, json const& body)
{
    ex.respond(
        status, {{"Content-Type", "application/json"}}, body.dump() + "\n");
}

void echo(http_exchange& ex)
{
    http_request const& r = ex.request();
    std::string type(r.header("content-type"));
    if (type.empty())
        type = "application/octet-stream";
    ex.respond(
        200,
        {{"Content-Type", type},
         {"X-Echo-Method", r.method},
         {"X-Echo-Path", r.path}},
        r.body.empty() ? r.method + " " + r.target + "\n" : r.body);
}

} // namespace

fake_service::fake_service(ev::loop_ref loop, fake_service_settings settings)
    : settings_(std::move(settings))
    , due_timer_(loop, [this] { answer_due(); })
    , restart_timer_(loop, [this] { is_down_ = false; })
    , server_(
          loop, {.address = settings_.address},
          [this](std::shared_ptr<http_exchange> const& ex) { on_request(ex); })
{
}

std::string fake_service::address() const
{
    return server_.address();
}

std::string fake_service::url() const
{
    return "http://" + address();
}

void fake_service::set_faults(fake_service_faults faults)
{
    faults_ = faults;
    if (!faults_.is_silent)
        unanswered_.clear();
}

void fake_service::crash()
{
    is_down_ = true;
    due_timer_.stop();
    for (auto const& [when, ex] : due_)
        ex->drop();
    due_.clear();
    for (auto const& ex : unanswered_)
        ex->drop();
    unanswered_.clear();
    restart_timer_.start(settings_.restart_time);
}

std::uint64_t fake_service::executions(std::string_view key) const
{
    auto const it = executions_.find(key);
    return it == executions_.end() ? 0 : it->second;
}

void fake_service::on_request(std::shared_ptr<http_exchange> const& ex)
{
    http_request const& r = ex->request();
    if (r.method == "PUT" && r.path == "/faults")
        return change_faults(*ex);
    if (r.method == "GET" && r.path == "/counts")
        return report_counts(*ex);
    if (faults_.is_silent)
    {
        unanswered_.push_back(ex);
        return;
    }
    if (is_down_)
        return respond_json(*ex, 503, {{"error", "restarting"}});
    execute(ex);
}

void fake_service::execute(std::shared_ptr<http_exchange> const& ex)
{
    ++total_;
    std::string_view const key = ex->request().header("idempotency-key");
    if (!key.empty())
        ++executions_[std::string(key)];
    if (faults_.cuts_answers)
        return ex->drop();
    if (faults_.delay == duration(0))
        return echo(*ex);
    due_.emplace(steady_now() + faults_.delay, ex);
    due_timer_.start(std::max(duration(0), due_.begin()->first - steady_now()));
}

void fake_service::answer_due()
{
    steady_time const now = steady_now();
    while (!due_.empty() && due_.begin()->first <= now)
    {
        echo(*due_.begin()->second);
        due_.erase(due_.begin());
    }
    if (!due_.empty())
        due_timer_.start(due_.begin()->first - now);
}

void fake_service::change_faults(http_exchange& ex)
{
    json const body = json::parse(ex.request().body, nullptr, false);
    if (!body.is_object())
        return respond_json(ex, 400, {{"error", "the body is not JSON"}});
    fake_service_faults next = faults_;
    next.is_silent = body.value("silent", next.is_silent);
    next.cuts_answers = body.value("cut_answers", next.cuts_answers);
    if (body.contains("delay_ms"))
        next.delay = std::chrono::milliseconds(body["delay_ms"].get<int>());
    set_faults(next);
    if (body.value("crash_now", false))
        crash();
    respond_json(ex, 200, json::object());
}

void fake_service::report_counts(http_exchange& ex)
{
    respond_json(ex, 200, {{"executions", executions_}, {"total", total_}});
}

} // namespace marjorambeam
