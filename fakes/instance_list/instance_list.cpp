#include "instance_list.hpp"

#include "settings/settings.hpp"

#include <nlohmann/json.hpp>

namespace marjorambeam
{
namespace
{

using nlohmann::json;

constexpr std::string_view list_path = "/v1/instances";

result<listed_instance> parse_instance(std::string_view text)
{
    listed_instance out;
    try
    {
        json const in = json::parse(text);
        out.role = in.at("role").get<std::string>();
        out.zone = in.value("zone", "");
        out.upstream = in.value("upstream", "");
        out.address = in.at("address").get<std::string>();
        out.admin = in.value("admin", "");
        out.state = in.value("state", "live");
    }
    catch (json::exception const& e)
    {
        return fail(error_kind::bad_request, e.what());
    }
    if (out.role != "entry" && out.role != "agent")
        return fail(error_kind::bad_request, "role must be entry or agent");
    if (out.state != "live" && out.state != "leaving")
        return fail(error_kind::bad_request, "state must be live or leaving");
    return out;
}

json to_json(std::string const& name, listed_instance const& i)
{
    return json{{"name", name},         {"role", i.role},
                {"zone", i.zone},       {"upstream", i.upstream},
                {"address", i.address}, {"admin", i.admin},
                {"state", i.state}};
}

void respond_json(http_exchange& ex, json const& body)
{
    ex.respond(200, {{"Content-Type", "application/json"}}, body.dump());
}

} // namespace

void instance_history::change(
    std::string_view name, std::optional<listed_instance> value,
    steady_time now)
{
    auto it = entries_.find(name);
    if (it == entries_.end())
        it = entries_.emplace(std::string(name), std::vector<entry>()).first;
    std::vector<entry>& changes = it->second;
    while (changes.size() >= 2 && changes[1].at < now - max_lag)
        changes.erase(changes.begin());
    changes.push_back({now, std::move(value)});
}

std::map<std::string, listed_instance>
instance_history::as_of(steady_time at) const
{
    std::map<std::string, listed_instance> out;
    for (auto const& [name, changes] : entries_)
    {
        for (auto it = changes.rbegin(); it != changes.rend(); ++it)
        {
            if (it->at > at)
                continue;
            if (it->value)
                out.emplace(name, *it->value);
            break;
        }
    }
    return out;
}

fake_instance_list::fake_instance_list(ev::loop_ref loop, std::string address)
    : host_(address.substr(0, address.find(':')))
    , server_(
          loop, {.address = std::move(address)},
          [this](std::shared_ptr<http_exchange> const& ex) { on_request(*ex); })
{
}

std::string fake_instance_list::url() const
{
    return "http://" + host_ + ":" + std::to_string(server_.port());
}

void fake_instance_list::put(std::string_view name, listed_instance value)
{
    history_.change(name, std::move(value), steady_now());
}

void fake_instance_list::erase(std::string_view name)
{
    history_.change(name, std::nullopt, steady_now());
}

void fake_instance_list::set_faults(duration lag, bool is_down)
{
    lag_ = lag;
    is_down_ = is_down;
}

void fake_instance_list::on_request(http_exchange& ex)
{
    std::string_view const path = ex.request().path;
    std::string const prefix = std::string(list_path) + "/";
    if (path == list_path && ex.request().method == "GET")
        on_list(ex);
    else if (path.starts_with(prefix) && path.size() > prefix.size())
        on_instance(ex, path.substr(prefix.size()));
    else if (path == "/faults" && ex.request().method == "PUT")
        on_faults(ex);
    else
        respond_error(
            ex, make_error(error_kind::not_found, "no such resource"), "");
}

void fake_instance_list::on_list(http_exchange& ex)
{
    ++reads_;
    if (is_down_)
    {
        ex.respond(503, {}, "");
        return;
    }
    json instances = json::array();
    for (auto const& [name, it] : history_.as_of(steady_now() - lag_))
        instances.push_back(to_json(name, it));
    respond_json(ex, json{{"instances", std::move(instances)}});
}

void fake_instance_list::on_instance(http_exchange& ex, std::string_view name)
{
    if (ex.request().method == "DELETE")
    {
        erase(name);
        respond_json(ex, json::object());
        return;
    }
    if (ex.request().method != "PUT")
    {
        respond_error(
            ex, make_error(error_kind::method_not_allowed, "use PUT or DELETE"),
            "");
        return;
    }
    result<listed_instance> value = parse_instance(ex.request().body);
    if (!value)
    {
        respond_error(ex, value.error(), "");
        return;
    }
    put(name, std::move(*value));
    respond_json(ex, json::object());
}

void fake_instance_list::on_faults(http_exchange& ex)
{
    json const in = json::parse(ex.request().body, nullptr, false);
    std::int64_t const max_ms =
        std::chrono::milliseconds(
            std::chrono::duration_cast<std::chrono::milliseconds>(
                instance_history::max_lag))
            .count();
    bool const is_valid =
        in.is_object() &&
        (!in.contains("lag_ms") || in["lag_ms"].is_number_integer()) &&
        (!in.contains("down") || in["down"].is_boolean());
    std::int64_t const lag_ms = is_valid ? in.value("lag_ms", 0) : -1;
    if (lag_ms < 0 || lag_ms > max_ms)
    {
        respond_error(
            ex,
            make_error(
                error_kind::bad_request,
                "lag_ms must be 0 to 600000 and down true or false"),
            "");
        return;
    }
    set_faults(std::chrono::milliseconds(lag_ms), in.value("down", false));
    respond_json(ex, json::object());
}

} // namespace marjorambeam
