#include "object_store/object_store.hpp"

#include "base/percent_encoding.hpp"

#include <charconv>
#include <nlohmann/json.hpp>

namespace marjorambeam
{
namespace
{

using nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_created = 201;
constexpr int status_not_found = 404;
constexpr int status_precondition_failed = 412;
constexpr int status_too_large = 413;
constexpr int status_too_many_requests = 429;
constexpr int status_unavailable = 503;

// A watch that gets no answer this long after its end is lost.
constexpr duration watch_grace = std::chrono::seconds(3);

// A page holds up to 4 MB of values; escaping in JSON can multiply that by 6.
constexpr std::size_t max_page_bytes = std::size_t{32} << 20U;

std::string object_url(
    std::string const& base, std::string_view kind, std::string_view name)
{
    return base + "/v1/objects/" + percent_encode(kind) + "/" +
           percent_encode(name);
}

std::uint64_t parse_revision(std::string_view text)
{
    if (text.size() >= 2 && text.front() == '"' && text.back() == '"')
        text = text.substr(1, text.size() - 2);
    std::uint64_t revision = 0;
    std::from_chars(text.data(), text.data() + text.size(), revision);
    return revision;
}

std::string etag(std::uint64_t revision)
{
    return "\"" + std::to_string(revision) + "\"";
}

std::string_view header(http_reply const& reply, std::string_view name)
{
    auto const it = reply.headers.find(name);
    return it == reply.headers.end() ? std::string_view() : it->second;
}

error unavailable(std::string message, run_state run)
{
    error e = make_error(error_kind::store_unavailable, std::move(message));
    e.run = run;
    return e;
}

// The error of a reply, by its status.
error status_error(http_reply const& reply)
{
    switch (reply.status)
    {
    case status_not_found:
        return make_error(error_kind::not_found, "the object does not exist");
    case status_precondition_failed:
        return make_error(error_kind::conflict, "the object was changed");
    case status_too_large:
        return make_error(error_kind::body_too_large, "the value is too long");
    case status_too_many_requests:
    {
        error e = make_error(
            error_kind::store_rate_limited,
            "the object API's rate is exceeded");
        std::uint64_t const seconds =
            parse_revision(header(reply, "retry-after"));
        if (seconds > 0)
            e.retry_after = std::chrono::seconds(seconds);
        return e;
    }
    case status_unavailable:
        // By the protocol an outage refuses a call before it has an effect.
        return unavailable("the object API is down", run_state::not_run);
    default:
        break;
    }
    return unavailable(
        "the object API answered with status " + std::to_string(reply.status),
        run_state::unknown);
}

// The reply if its status is a success.
result<http_reply> checked(result<http_reply> reply)
{
    if (!reply)
    {
        return tl::unexpected<error>(unavailable(
            "no answer from the object API: " + reply.error().message,
            reply.error().run));
    }
    if (reply->status != status_ok && reply->status != status_created)
        return tl::unexpected<error>(status_error(*reply));
    return reply;
}

// The revision and objects in the body of a list or watch.
result<object_list> parse_page(result<http_reply> reply)
{
    reply = checked(std::move(reply));
    if (!reply)
        return tl::unexpected<error>(reply.error());
    object_list page;
    try
    {
        json in = json::parse(reply->body);
        page.revision = in.at("revision").get<std::uint64_t>();
        page.has_more = in.at("more").get<bool>();
        for (json& it : in.at("objects"))
        {
            page.push_back(
                {it.at("name").get<std::string>(),
                 it.at("revision").get<std::uint64_t>(),
                 std::move(it.at("value").get_ref<std::string&>())});
        }
    }
    catch (json::exception const& e)
    {
        return tl::unexpected<error>(unavailable(
            std::string("the object API's answer is not valid: ") + e.what(),
            run_state::not_run));
    }
    return page;
}

} // namespace

object_store::object_store(
    http_client& client, std::string url, duration timeout)
    : client_(client)
    , url_(std::move(url))
    , timeout_(timeout)
{
}

void object_store::get(
    std::string_view kind, std::string_view name, object_handler done)
{
    ++reads_;
    http_call call{.url = object_url(url_, kind, name), .timeout = timeout_};
    client_.send(
        std::move(call),
        [name = std::string(name),
         done = std::move(done)](result<http_reply> reply)
        {
            reply = checked(std::move(reply));
            if (!reply)
            {
                done(tl::unexpected<error>(reply.error()));
                return;
            }
            done(stored_object{
                name, parse_revision(header(*reply, "etag")),
                std::move(reply->body)});
        });
}

// Sends a create or update. libcurl would repeat a write on a reused
// connection that closes without an answer, and the repetition would find the
// first one's effect and report a conflict; so writes use fresh connections.
void object_store::write(
    http_call call, std::string_view name, std::string_view value,
    object_handler done)
{
    ++writes_;
    call.method = "PUT";
    call.body = value;
    call.timeout = timeout_;
    call.use_fresh_connection = true;
    client_.send(
        std::move(call),
        [name = std::string(name), value = std::string(value),
         done = std::move(done)](result<http_reply> reply)
        {
            reply = checked(std::move(reply));
            if (!reply)
            {
                done(tl::unexpected<error>(reply.error()));
                return;
            }
            done(stored_object{
                name, parse_revision(header(*reply, "etag")), value});
        });
}

void object_store::create(
    std::string_view kind, std::string_view name, std::string_view value,
    object_handler done)
{
    write(
        {.url = object_url(url_, kind, name),
         .headers = {{"If-None-Match", "*"}}},
        name, value, std::move(done));
}

void object_store::update(
    std::string_view kind, std::string_view name, std::uint64_t revision,
    std::string_view value, object_handler done)
{
    write(
        {.url = object_url(url_, kind, name),
         .headers = {{"If-Match", etag(revision)}}},
        name, value, std::move(done));
}

void object_store::erase(
    std::string_view kind, std::string_view name, std::uint64_t revision,
    delete_handler done)
{
    ++writes_;
    http_call call{
        .method = "DELETE",
        .url = object_url(url_, kind, name),
        .headers = {{"If-Match", etag(revision)}},
        .timeout = timeout_,
        .use_fresh_connection = true};
    client_.send(
        std::move(call),
        [done = std::move(done)](result<http_reply> reply)
        {
            reply = checked(std::move(reply));
            if (!reply)
                done(tl::unexpected<error>(reply.error()));
            else
                done({});
        });
}

void object_store::list(
    std::string_view kind, std::string_view after, std::size_t limit,
    list_handler done)
{
    ++reads_;
    http_call call{
        .url = url_ + "/v1/objects/" + percent_encode(kind) + "?after=" +
               percent_encode(after) + "&limit=" + std::to_string(limit),
        .timeout = timeout_,
        .max_body_bytes = max_page_bytes};
    client_.send(
        std::move(call), [done = std::move(done)](result<http_reply> reply)
        { done(parse_page(std::move(reply))); });
}

http_client::call_id object_store::watch(
    std::string_view kind, std::uint64_t revision, duration timeout,
    watch_handler done)
{
    ++reads_;
    auto const ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count();
    http_call call{
        .url = url_ + "/v1/watch/" + percent_encode(kind) + "?after=" +
               std::to_string(revision) + "&timeout_ms=" + std::to_string(ms),
        .timeout = timeout + watch_grace,
        .max_body_bytes = max_page_bytes};
    return client_.send(
        std::move(call),
        [done = std::move(done)](result<http_reply> reply)
        {
            result<object_list> page = parse_page(std::move(reply));
            if (!page)
            {
                done(tl::unexpected<error>(page.error()));
                return;
            }
            watch_result found;
            found.revision = page->revision;
            found.changed = std::move(*page);
            done(std::move(found));
        });
}

} // namespace marjorambeam
