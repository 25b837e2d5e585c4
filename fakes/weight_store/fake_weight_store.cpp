#include "fakes/weight_store/fake_weight_store.hpp"

#include "base/hash.hpp"
#include "base/id.hpp"

#include <nlohmann/json.hpp>

namespace marjorambeam
{
namespace
{

constexpr std::string_view weights_path = "/v1/weights/";

} // namespace

fake_weight_store::fake_weight_store(
    ev::loop_ref loop, fake_weight_store_settings settings)
    : settings_(std::move(settings))
    , server_(
          loop, {.address = settings_.address},
          [this](std::shared_ptr<http_exchange> const& ex) { on_request(*ex); })
{
}

std::string fake_weight_store::address() const
{
    return server_.address();
}

std::string fake_weight_store::url() const
{
    return "http://" + address();
}

void fake_weight_store::set_down(bool is_down)
{
    is_down_ = is_down;
}

void fake_weight_store::on_request(http_exchange& ex)
{
    http_request const& in = ex.request();
    bool const is_fetch = in.path.starts_with(weights_path) &&
                          in.path.size() > weights_path.size() &&
                          in.method == "GET";
    if (is_fetch && is_down_)
        ex.respond(503, {}, "");
    else if (is_fetch)
        fetch(ex, in.path.substr(weights_path.size()), steady_now());
    else if (in.path == "/faults" && in.method == "PUT")
        change_faults(ex);
    else
    {
        respond_error(
            ex, make_error(error_kind::not_found, "no such resource"), "");
    }
}

void fake_weight_store::fetch(
    http_exchange& ex, std::string const& version, steady_time now)
{
    if (now < next_fetch_)
    {
        ex.respond(429, {{"Retry-After", "1"}}, "");
        return;
    }
    next_fetch_ =
        now + duration(std::chrono::seconds(1)) / settings_.fetches_per_second;
    ++fetches_;
    // The same bytes for each fetch of a version.
    std::string const pattern = to_hex(hash64(version));
    auto const size = static_cast<std::size_t>(settings_.weight_bytes);
    std::string body;
    body.reserve(size + pattern.size());
    while (body.size() < size)
        body += pattern;
    body.resize(size);
    ex.respond(
        200, {{"Content-Type", "application/octet-stream"}}, std::move(body));
}

void fake_weight_store::change_faults(http_exchange& ex)
{
    nlohmann::json const in =
        nlohmann::json::parse(ex.request().body, nullptr, false);
    if (!in.is_object() || !in.contains("down") || !in["down"].is_boolean())
    {
        respond_error(
            ex,
            make_error(error_kind::bad_request, "down must be true or false"),
            "");
        return;
    }
    set_down(in["down"].get<bool>());
    ex.respond(200, {}, "{}\n");
}

} // namespace marjorambeam
