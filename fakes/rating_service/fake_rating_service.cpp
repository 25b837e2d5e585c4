#include "fakes/rating_service/fake_rating_service.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace marjorambeam
{
namespace
{

using nlohmann::json;

constexpr std::size_t max_kept = 100'000;
constexpr std::size_t page_size = 1000;
constexpr double noise = 0.1;
constexpr std::uint64_t noise_seed = 1;
constexpr std::uint64_t noise_steps = 1000;
constexpr std::int64_t max_delay_ms = 3'600'000;

void respond_json(http_exchange& ex, int status, json const& body)
{
    ex.respond(
        status, {{"Content-Type", "application/json"}}, body.dump() + "\n");
}

void refuse(http_exchange& ex, std::string text)
{
    respond_error(ex, make_error(error_kind::bad_request, std::move(text)), "");
}

bool has_text(json const& in, char const* field)
{
    return in.contains(field) && in[field].is_string();
}

} // namespace

fake_rating_service::fake_rating_service(
    ev::loop_ref loop, fake_rating_service_settings settings)
    : settings_(std::move(settings))
    , server_(
          loop, {.address = settings_.address},
          [this](std::shared_ptr<http_exchange> const& ex) { on_request(*ex); })
{
}

std::string fake_rating_service::address() const
{
    return server_.address();
}

std::string fake_rating_service::url() const
{
    return "http://" + address();
}

void fake_rating_service::set_quality(std::string_view version, double quality)
{
    qualities_.insert_or_assign(std::string(version), quality);
}

void fake_rating_service::set_faults(fake_rating_faults faults)
{
    faults_ = faults;
}

void fake_rating_service::on_request(http_exchange& ex)
{
    http_request const& in = ex.request();
    if (in.path == "/v1/ratings" && faults_.is_down)
        ex.respond(503, {}, "");
    else if (in.path == "/v1/ratings" && in.method == "POST")
        take(ex);
    else if (in.path == "/v1/ratings" && in.method == "GET")
        list(ex);
    else if (in.path == "/quality" && in.method == "PUT")
        change_quality(ex);
    else if (in.path == "/faults" && in.method == "PUT")
        change_faults(ex);
    else
    {
        respond_error(
            ex, make_error(error_kind::not_found, "no such resource"), "");
    }
}

void fake_rating_service::take(http_exchange& ex)
{
    json const in = json::parse(ex.request().body, nullptr, false);
    bool const is_valid =
        in.is_object() && has_text(in, "request_id") && has_text(in, "model") &&
        has_text(in, "version") && has_text(in, "answer") &&
        in.contains("prompt_bytes") && in["prompt_bytes"].is_number_unsigned();
    if (!is_valid)
    {
        refuse(
            ex, "expected request_id, model, version, prompt_bytes and answer");
        return;
    }
    ++taken_;
    std::string const id = in["request_id"];
    std::string const version =
        in["model"].get<std::string>() + "@" + in["version"].get<std::string>();
    auto const known = qualities_.find(version);
    double const quality =
        known == qualities_.end() ? settings_.quality : known->second;
    double const place =
        static_cast<double>(hash64(id, noise_seed) % noise_steps) / noise_steps;
    if (hash64(id) % 100 >= faults_.missing_percent)
    {
        double const value =
            std::clamp(quality + noise * (2 * place - 1), 0.0, 1.0);
        due_.emplace(steady_now() + faults_.delay, rating{0, id, value});
    }
    respond_json(ex, 202, json::object());
}

void fake_rating_service::finish_due(steady_time now)
{
    while (!due_.empty() && due_.begin()->first <= now)
    {
        rating r = std::move(due_.begin()->second);
        due_.erase(due_.begin());
        r.sequence = ++last_sequence_;
        finished_.push_back(std::move(r));
        if (finished_.size() > max_kept)
            finished_.pop_front();
    }
}

void fake_rating_service::list(http_exchange& ex)
{
    std::string_view const text = ex.request().parameter("after");
    std::uint64_t after = 0;
    auto const [end, ec] =
        std::from_chars(text.data(), text.data() + text.size(), after);
    if (ec != std::errc() || end != text.data() + text.size())
    {
        refuse(ex, "after must be a number");
        return;
    }
    finish_due(steady_now());
    auto it = std::upper_bound(
        finished_.begin(), finished_.end(), after,
        [](std::uint64_t n, rating const& r) { return n < r.sequence; });
    json ratings = json::array();
    for (; it != finished_.end() && ratings.size() < page_size; ++it)
    {
        ratings.push_back(
            {{"sequence", it->sequence},
             {"request_id", it->request_id},
             {"rating", it->value}});
    }
    respond_json(ex, 200, {{"ratings", std::move(ratings)}});
}

void fake_rating_service::change_quality(http_exchange& ex)
{
    json const in = json::parse(ex.request().body, nullptr, false);
    bool const is_valid = in.is_object() && has_text(in, "version") &&
                          in.contains("quality") && in["quality"].is_number();
    double const quality = is_valid ? in["quality"].get<double>() : -1;
    if (quality < 0 || quality > 1)
    {
        refuse(ex, "expected version and a quality from 0 to 1");
        return;
    }
    set_quality(in["version"].get<std::string>(), quality);
    respond_json(ex, 200, json::object());
}

void fake_rating_service::change_faults(http_exchange& ex)
{
    json const in = json::parse(ex.request().body, nullptr, false);
    auto const number = [&](char const* field)
    {
        return !in.contains(field)             ? 0
               : in[field].is_number_integer() ? in[field].get<std::int64_t>()
                                               : -1;
    };
    bool const is_object = in.is_object();
    std::int64_t const delay_ms = is_object ? number("delay_ms") : -1;
    std::int64_t const missing = is_object ? number("missing_percent") : -1;
    bool const is_valid = delay_ms >= 0 && delay_ms <= max_delay_ms &&
                          missing >= 0 && missing <= 100 &&
                          (!in.contains("down") || in["down"].is_boolean());
    if (!is_valid)
    {
        refuse(ex, "expected delay_ms, missing_percent (0 to 100) and down");
        return;
    }
    set_faults(
        {std::chrono::milliseconds(delay_ms),
         static_cast<std::uint64_t>(missing), in.value("down", false)});
    respond_json(ex, 200, json::object());
}

} // namespace marjorambeam
