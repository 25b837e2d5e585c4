#include "fakes/object_api/fake_object_api.hpp"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>

namespace marjorambeam
{
namespace
{

using nlohmann::json;

constexpr std::string_view objects_path = "/v1/objects/";
constexpr std::string_view watch_path = "/v1/watch/";
constexpr std::size_t max_list_limit = 1000;
constexpr std::uint64_t max_watch_ms = 60'000;
constexpr std::int64_t max_delay_ms = 600'000;
constexpr duration rate_window_length = std::chrono::seconds(1);

std::optional<std::uint64_t> parse_count(std::string_view text)
{
    std::uint64_t value = 0;
    char const* end = text.data() + text.size();
    auto const [at, ec] = std::from_chars(text.data(), end, value);
    if (text.empty() || ec != std::errc() || at != end)
        return std::nullopt;
    return value;
}

// The revision of an entity tag such as "17" in quotes.
std::optional<std::uint64_t> parse_etag(std::string_view text)
{
    if (text.size() >= 2 && text.front() == '"' && text.back() == '"')
        text = text.substr(1, text.size() - 2);
    return parse_count(text);
}

std::string etag(std::uint64_t revision)
{
    return "\"" + std::to_string(revision) + "\"";
}

std::string page_body(object_page const& page)
{
    json objects = json::array();
    for (object_row const& it : page.objects)
    {
        objects.push_back(
            {{"name", it.name},
             {"revision", it.revision},
             {"value", it.value}});
    }
    return json{
        {"revision", page.revision},
        {"more", page.has_more},
        {"objects", std::move(objects)}}
        .dump();
}

bool is_utf8(std::string const& text)
{
    try
    {
        (void)json(text).dump();
        return true;
    }
    catch (json::type_error const&)
    {
        return false;
    }
}

json faults_json(object_api_faults const& f)
{
    return {
        {"down", f.down},
        {"delay_ms",
         std::chrono::duration_cast<std::chrono::milliseconds>(f.delay)
             .count()},
        {"lose_answers", f.lose_answers},
        {"lose_every_nth", f.lose_every_nth}};
}

// Members that the body leaves out keep their value.
result<object_api_faults>
parse_faults(object_api_faults f, std::string const& body)
{
    try
    {
        json const in = json::parse(body);
        for (auto const& [name, value] : in.items())
        {
            if (name == "down")
            {
                f.down = value.get<bool>();
                continue;
            }
            auto const n = value.get<std::int64_t>();
            if (n < 0 || (name == "delay_ms" && n > max_delay_ms))
                return fail(error_kind::bad_request, name + " is out of range");
            if (name == "delay_ms")
                f.delay = std::chrono::milliseconds(n);
            else if (name == "lose_answers")
                f.lose_answers = n;
            else if (name == "lose_every_nth")
                f.lose_every_nth = n;
            else
                return fail(error_kind::bad_request, name + " is not a fault");
        }
    }
    catch (json::exception const& e)
    {
        return fail(error_kind::bad_request, e.what());
    }
    return f;
}

} // namespace

bool take_call(rate_window& window, steady_time now)
{
    if (window.limit == 0)
        return true;
    if (window.used == 0 || now - window.started_at >= rate_window_length)
    {
        window.started_at = now;
        window.used = 0;
    }
    if (window.used >= window.limit)
        return false;
    ++window.used;
    return true;
}

fake_object_api::fake_object_api(
    ev::loop_ref loop, object_api_settings settings)
    : settings_(std::move(settings))
    , reads_{.limit = settings_.reads_per_second}
    , writes_{.limit = settings_.writes_per_second}
    , watch_timer_(loop, [this] { end_watches(); })
    , delay_timer_(loop, [this] { send_delayed(); })
    // One byte more, so that the limit of one value is checked here.
    , server_(
          loop,
          {.address = settings_.listen,
           .max_body_bytes = max_object_bytes + 1,
           .idle_timeout = std::chrono::minutes(10)},
          [this](exchange_ptr const& ex) { on_request(ex); })
{
}

fake_object_api::~fake_object_api() = default;

std::string fake_object_api::address() const
{
    return server_.address();
}

std::string fake_object_api::url() const
{
    return "http://" + address();
}

void fake_object_api::set_faults(object_api_faults faults)
{
    faults_ = faults;
    if (faults_.down)
        end_watches();
}

void fake_object_api::on_request(exchange_ptr const& ex)
{
    http_request const& r = ex->request();
    if (r.path == "/faults")
        on_faults(*ex);
    else if (r.path == "/counts")
        on_counts(*ex);
    else
        on_call(ex);
}

void fake_object_api::on_faults(http_exchange& ex)
{
    http_request const& r = ex.request();
    if (r.method == "PUT")
    {
        result<object_api_faults> const f = parse_faults(faults_, r.body);
        if (!f)
        {
            respond_error(ex, f.error(), "");
            return;
        }
        set_faults(*f);
    }
    ex.respond(
        200, {{"Content-Type", "application/json"}},
        faults_json(faults_).dump() + "\n");
}

void fake_object_api::on_counts(http_exchange& ex)
{
    json const body = {
        {"get", counts_.gets},
        {"list", counts_.lists},
        {"watch", counts_.watches},
        {"create", counts_.creates},
        {"update", counts_.updates},
        {"delete", counts_.deletes},
        {"reads", counts_.reads()},
        {"writes", counts_.writes()},
        {"conflicts", counts_.conflicts},
        {"refused_rate", counts_.refused_rate},
        {"refused_down", counts_.refused_down},
        {"lost_answers", counts_.lost_answers},
        {"revision", data_.revision()}};
    ex.respond(200, {{"Content-Type", "application/json"}}, body.dump() + "\n");
}

void fake_object_api::on_call(exchange_ptr const& ex)
{
    std::string_view path = ex->request().path;
    if (path.starts_with(watch_path) && ex->request().method == "GET")
    {
        on_watch(ex, path.substr(watch_path.size()));
        return;
    }
    if (!path.starts_with(objects_path))
    {
        send(ex, failure(make_error(error_kind::not_found, "no such path")));
        return;
    }
    path.remove_prefix(objects_path.size());
    std::size_t const slash = path.find('/');
    if (slash == std::string_view::npos && ex->request().method == "GET")
        on_list(ex, path);
    else if (slash == std::string_view::npos || slash + 1 == path.size())
        send(ex, failure(make_error(error_kind::bad_request, "no name")));
    else
        on_object(ex, path.substr(0, slash), path.substr(slash + 1));
}

void fake_object_api::on_object(
    exchange_ptr const& ex, std::string_view kind, std::string_view name)
{
    http_request const& r = ex->request();
    bool const is_create =
        r.method == "PUT" && !r.header("if-none-match").empty();
    if (r.method == "GET")
        ++counts_.gets;
    else if (is_create)
        ++counts_.creates;
    else if (r.method == "PUT")
        ++counts_.updates;
    else if (r.method == "DELETE")
        ++counts_.deletes;
    if (refuses(ex, r.method != "GET"))
        return;
    answer content;
    if (r.method == "GET")
        content = on_get(kind, name);
    else if (r.method == "PUT")
        content = on_put(r, kind, name);
    else if (r.method == "DELETE")
        content = on_delete(r, kind, name);
    else
        content = failure(make_error(error_kind::method_not_allowed, ""));
    bool const is_write = r.method == "PUT" || r.method == "DELETE";
    if (content.status == 412)
        ++counts_.conflicts;
    content.is_lost = is_write && loses_answer();
    bool const has_changed = is_write && content.status < 300;
    std::string const changed(kind);
    send(ex, std::move(content));
    if (has_changed)
        wake_watches(changed);
}

fake_object_api::answer
fake_object_api::on_get(std::string_view kind, std::string_view name)
{
    result<object_row> row = data_.get(kind, name);
    if (!row)
        return failure(row.error());
    return {200, {{"ETag", etag(row->revision)}}, std::move(row->value)};
}

fake_object_api::answer fake_object_api::on_put(
    http_request const& r, std::string_view kind, std::string_view name)
{
    if (r.body.size() > max_object_bytes)
        return failure(make_error(error_kind::body_too_large, "over 1 MB"));
    if (!is_utf8(r.body))
        return failure(make_error(error_kind::bad_request, "not UTF-8"));
    std::optional<std::uint64_t> const expected =
        parse_etag(r.header("if-match"));
    bool const is_create = r.header("if-none-match") == "*";
    if (is_create == expected.has_value())
        return {428, {}, "If-None-Match: * or If-Match is required\n"};
    result<std::uint64_t> const revision =
        is_create ? data_.create(kind, name, r.body)
                  : data_.update(kind, name, *expected, r.body);
    if (!revision)
        return failure(revision.error());
    return {is_create ? 201 : 200, {{"ETag", etag(*revision)}}, ""};
}

fake_object_api::answer fake_object_api::on_delete(
    http_request const& r, std::string_view kind, std::string_view name)
{
    std::optional<std::uint64_t> const expected =
        parse_etag(r.header("if-match"));
    if (!expected)
        return {428, {}, "If-Match is required\n"};
    result<void> const done = data_.erase(kind, name, *expected);
    if (!done)
        return failure(done.error());
    return {200, {}, ""};
}

void fake_object_api::on_list(exchange_ptr const& ex, std::string_view kind)
{
    ++counts_.lists;
    if (refuses(ex, false))
        return;
    http_request const& r = ex->request();
    std::uint64_t const limit =
        parse_count(r.parameter("limit")).value_or(max_list_limit);
    object_page const page = data_.list(
        kind, r.parameter("after"),
        std::clamp<std::uint64_t>(limit, 1, max_list_limit));
    send(ex, {200, {{"Content-Type", "application/json"}}, page_body(page)});
}

void fake_object_api::on_watch(exchange_ptr const& ex, std::string_view kind)
{
    ++counts_.watches;
    if (refuses(ex, false))
        return;
    http_request const& r = ex->request();
    std::uint64_t const after = parse_count(r.parameter("after")).value_or(0);
    std::uint64_t const timeout_ms = std::min(
        parse_count(r.parameter("timeout_ms")).value_or(max_watch_ms),
        max_watch_ms);
    object_page const page = data_.changes(kind, after);
    if (!page.objects.empty() || timeout_ms == 0)
    {
        send(
            ex, {200, {{"Content-Type", "application/json"}}, page_body(page)});
        return;
    }
    watches_.push_back(
        {ex, std::string(kind), after,
         steady_now() + std::chrono::milliseconds(timeout_ms)});
    http_exchange const* gone = ex.get();
    ex->on_close(
        [this, gone]
        {
            watches_.remove_if([gone](waiting_watch const& it)
                               { return it.exchange.get() == gone; });
        });
    end_watches();
}

bool fake_object_api::refuses(exchange_ptr const& ex, bool is_write)
{
    if (faults_.down)
    {
        ++counts_.refused_down;
        send(ex, failure(make_error(error_kind::store_unavailable, "down")));
        return true;
    }
    if (take_call(is_write ? writes_ : reads_, settings_.now()))
        return false;
    ++counts_.refused_rate;
    send(ex, {429, {{"Retry-After", "1"}}, "the rate is exceeded\n"});
    return true;
}

bool fake_object_api::loses_answer()
{
    ++writes_seen_;
    bool is_lost = false;
    if (faults_.lose_answers > 0)
    {
        --faults_.lose_answers;
        is_lost = true;
    }
    if (faults_.lose_every_nth > 0 &&
        writes_seen_ % static_cast<std::uint64_t>(faults_.lose_every_nth) == 0)
        is_lost = true;
    counts_.lost_answers += is_lost ? 1 : 0;
    return is_lost;
}

void fake_object_api::wake_watches(std::string_view kind)
{
    for (auto it = watches_.begin(); it != watches_.end();)
    {
        object_page const page =
            it->kind == kind ? data_.changes(kind, it->after) : object_page();
        if (page.objects.empty())
        {
            ++it;
            continue;
        }
        exchange_ptr const ex = it->exchange;
        it = watches_.erase(it);
        send(
            ex, {200, {{"Content-Type", "application/json"}}, page_body(page)});
    }
}

// Answers the watches whose time is over, or all of them in an outage, and
// sets the timer for the next one.
void fake_object_api::end_watches()
{
    steady_time const now = steady_now();
    steady_time next = steady_time::max();
    for (auto it = watches_.begin(); it != watches_.end();)
    {
        if (!faults_.down && it->ends_at > now)
        {
            next = std::min(next, it->ends_at);
            ++it;
            continue;
        }
        waiting_watch const ended = *it;
        it = watches_.erase(it);
        if (faults_.down)
        {
            send(
                ended.exchange,
                failure(make_error(error_kind::store_unavailable, "down")));
            continue;
        }
        object_page const page = data_.changes(ended.kind, ended.after);
        send(
            ended.exchange,
            {200, {{"Content-Type", "application/json"}}, page_body(page)});
    }
    watch_timer_.stop();
    if (next != steady_time::max())
        watch_timer_.start(next - now);
}

void fake_object_api::send(exchange_ptr const& ex, answer content)
{
    if (faults_.delay == duration(0))
    {
        write(*ex, content);
        return;
    }
    delayed_.emplace(
        steady_now() + faults_.delay, delayed_answer{ex, std::move(content)});
    send_delayed();
}

void fake_object_api::send_delayed()
{
    steady_time const now = steady_now();
    while (!delayed_.empty() && delayed_.begin()->first <= now)
    {
        delayed_answer const due = std::move(delayed_.begin()->second);
        delayed_.erase(delayed_.begin());
        write(*due.exchange, due.content);
    }
    delay_timer_.stop();
    if (!delayed_.empty())
        delay_timer_.start(delayed_.begin()->first - now);
}

void fake_object_api::write(http_exchange& ex, answer const& content)
{
    if (content.is_lost)
        ex.drop();
    else
        ex.respond(content.status, content.headers, content.body);
}

fake_object_api::answer fake_object_api::failure(error const& e)
{
    bool const is_condition = e.kind == error_kind::conflict;
    return {
        is_condition ? 412 : answer_for(e.kind).http_status,
        {{"Content-Type", "application/json"}},
        error_body(e, "")};
}

} // namespace marjorambeam
