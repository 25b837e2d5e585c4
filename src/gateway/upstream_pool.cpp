#include "gateway/upstream_pool.hpp"

#include <algorithm>
#include <utility>

namespace marjorambeam
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

// An idle connection is closed this long before the upstream would close it.
constexpr duration idle_margin = milliseconds(1000);
// Idle timeout when the upstream announces none.
constexpr int default_idle_seconds = 30;
// A request that is not repeatable reuses a connection only if it was idle for
// at most this long.
constexpr duration max_idle_unrepeatable = milliseconds(1500);
// Limit on late responses to earlier requests that are skipped before the
// expected one.
constexpr std::size_t max_skipped_bytes = std::size_t{1} << 20U;
// Limits on the rest of a refusal whose connection is kept.
constexpr std::size_t max_refusal_bytes = 4 << 10;
constexpr duration max_recycle_time = milliseconds(500);
constexpr stream_limits upstream_stream_limits{
    .unacknowledged = milliseconds(1500),
    .probe_after_s = 1,
    .probes = 2,
    .receive_buffer_bytes = 32 << 10};

duration idle_limit(upstream_connection const& c)
{
    int const s =
        c.idle_seconds() > 0 ? c.idle_seconds() : default_idle_seconds;
    return std::max(
        duration(seconds(s)) - idle_margin, duration(seconds(1)) / 2);
}

} // namespace

upstream_connection::upstream_connection(
    std::shared_ptr<tcp_stream> stream,
    std::shared_ptr<upstream_state> upstream, std::uint64_t number)
    : stream_(std::move(stream))
    , upstream_(std::move(upstream))
    , number_(number)
{
}

upstream_connection::~upstream_connection()
{
    stream_->close();
}

void upstream_connection::send(
    std::string bytes, std::string attempt_id, bool is_head_request,
    upstream_response (*decode)(http_response_head const&),
    response_handlers handlers)
{
    // A response that ended while its reader held it back leaves the connection
    // paused.
    stream_->pause(false);
    stream_->report_end_after_delivery(false);
    attempt_id_ = std::move(attempt_id);
    decode_ = decode;
    handlers_ = std::move(handlers);
    is_head_request_ = is_head_request;
    is_busy_ = true;
    has_head_ = false;
    skipped_ = 0;
    was_connected_ = stream_->is_connected();
    reader_ = std::make_unique<response_reader>(is_head_request);
    std::weak_ptr<upstream_connection> const weak = weak_from_this();
    stream_->on_connected(
        [weak]
        {
            auto const self = weak.lock();
            if (!self)
                return;
            self->was_connected_ = true;
            // The callback may abort the connection.
            auto const callback = std::move(self->handlers_.on_connected);
            if (callback)
                callback();
        });
    stream_->on_data(
        [weak]
        {
            if (auto const self = weak.lock())
                self->on_data();
        });
    stream_->on_end(
        [weak](stream_end why)
        {
            if (auto const self = weak.lock())
                self->on_end(why);
        });
    stream_->send_owned(std::move(bytes));
}

void upstream_connection::abort()
{
    handlers_ = {};
    keep_alive_ = false;
    if (std::exchange(is_busy_, false))
        stream_->discard();
    else
        stream_->close();
}

void upstream_connection::skip_response(
    std::size_t max_bytes, std::function<void(bool is_whole)> done)
{
    auto const left = std::make_shared<std::size_t>(max_bytes);
    auto const shared =
        std::make_shared<std::function<void(bool)>>(std::move(done));
    auto const call = [shared](bool is_whole)
    {
        if (auto const f = std::exchange(*shared, {}))
            f(is_whole);
    };
    handlers_ = {
        .on_body =
            [left, call](std::string&& bytes)
        {
            if (bytes.size() > *left)
                call(false);
            else
                *left -= bytes.size();
        },
        .on_complete = [call] { call(true); },
        .on_response_failure = [call](response_failure const&)
        { call(false); }};
}

void upstream_connection::await_connection(
    std::function<void(bool is_connected)> done)
{
    auto const shared =
        std::make_shared<std::function<void(bool)>>(std::move(done));
    auto call = [shared](bool is_connected)
    {
        if (auto const f = std::exchange(*shared, {}))
            f(is_connected);
    };
    stream_->on_connected([call] { call(true); });
    stream_->on_end([call](stream_end) { call(false); });
}

bool upstream_connection::is_reusable() const
{
    return stream_->is_connected() && !is_busy_ && keep_alive_ &&
           stream_->input().empty() && stream_->unsent() == 0;
}

bool upstream_connection::process_head()
{
    http_response_head head = reader_->head();
    upstream_response const answer = decode_(head);
    bool const is_refusal = answer.has_not_run || answer.is_other_instance;
    is_late_response_ = answer.attempt_id != attempt_id_ &&
                        !(answer.attempt_id.empty() && is_refusal);
    if (is_late_response_)
    {
        // A connection that carries surplus responses is not reused.
        keep_alive_ = false;
        if (handlers_.on_late_response)
            handlers_.on_late_response(answer.attempt_id);
        return true;
    }
    has_head_ = true;
    // Such an answer is whole if the upstream ends it in order and takes all of
    // the request; one that resets the connection instead has cut it.
    stream_->report_end_after_delivery(reader_->ends_with_connection());
    // Without ids, a second copy could be taken for the next response. A
    // refusal without an id is kept, as a full upstream resets new connections.
    bool const is_told_apart = !answer.attempt_id.empty() || is_refusal;
    keep_alive_ = keep_alive_ && head.keep_alive && is_told_apart;
    idle_seconds_ = head.keep_alive_seconds;
    if (handlers_.on_head)
        handlers_.on_head(std::move(head));
    return stream_->is_open();
}

void upstream_connection::on_data()
{
    auto const self = shared_from_this();
    upstream_->last_received_at = boot_now();
    if (!is_busy_)
    {
        abort(); // unsolicited bytes
        return;
    }
    while (is_busy_ && stream_->is_open() && !stream_->input().empty())
    {
        result<std::size_t> const n = reader_->put(stream_->input());
        if (!n)
        {
            fail_with({n.error().kind, false, n.error().message});
            return;
        }
        stream_->consume(*n);
        skipped_ += has_head_ ? 0 : *n;
        bool const exceeds_limit =
            skipped_ > max_skipped_bytes ||
            (!reader_->is_done() &&
             stream_->input().size() > max_unparsed_bytes);
        if (exceeds_limit)
        {
            fail_with(
                {error_kind::answer_corrupt, false,
                 "unparsable or unrelated response bytes"});
            return;
        }
        if (!reader_->is_head_done())
            return;
        if (!has_head_ && !is_late_response_ && !process_head())
            return;
        std::string body = reader_->take_body();
        if (!is_late_response_ && !body.empty() && handlers_.on_body)
            handlers_.on_body(std::move(body));
        if (!stream_->is_open() || !is_busy_ || !reader_->is_done())
            return;
        if (is_late_response_)
        {
            is_late_response_ = false;
            reader_ = std::make_unique<response_reader>(is_head_request_);
            continue;
        }
        finish();
    }
}

void upstream_connection::finish()
{
    is_busy_ = false;
    // All of the request has left, so that this ends an extension.
    stream_->extend_for_full_window(duration{0});
    // Bytes after the response, or a request that the upstream has not fully
    // read, make the connection unusable for another request.
    if (!stream_->input().empty() || stream_->unsent() > 0)
        keep_alive_ = false;
    auto const callback = std::move(handlers_.on_complete);
    handlers_ = {};
    if (callback)
        callback();
}

void upstream_connection::fail_with(response_failure const& why)
{
    is_busy_ = false;
    keep_alive_ = false;
    stream_->close();
    auto const callback = std::move(handlers_.on_response_failure);
    handlers_ = {};
    if (callback)
        callback(why);
}

void upstream_connection::on_end(stream_end why)
{
    auto const self = shared_from_this();
    keep_alive_ = false;
    if (!is_busy_)
        return;
    if (why == stream_end::not_reached || !was_connected_)
    {
        fail_with(
            {error_kind::connection_lost, true,
             "connection could not be established"});
        return;
    }
    // A reset may have discarded bytes, so only an orderly close can end a
    // response without a length.
    if (why == stream_end::closed && has_head_ && reader_->put_end())
    {
        finish();
        return;
    }
    fail_with(
        {has_head_ ? error_kind::answer_cut : error_kind::connection_lost,
         false, why == stream_end::reset ? "reset" : "closed"});
}

upstream_pool::upstream_pool(ev::loop_ref loop, metrics& counters)
    : loop_(loop)
    , counters_(counters)
{
}

result<std::shared_ptr<upstream_connection>> upstream_pool::take(
    std::shared_ptr<upstream_state> const& upstream, connection_query const& q,
    steady_time now)
{
    if (auto c = take_idle(upstream, q, now))
        return c;
    return open(upstream);
}

// Returns the connection that was in use last of those that may carry the
// request, or null. Closes those that can't be used any more.
std::shared_ptr<upstream_connection> upstream_pool::take_idle(
    std::shared_ptr<upstream_state> const& upstream, connection_query const& q,
    steady_time now)
{
    auto const it = idle_.find(upstream->info.id);
    if (it == idle_.end())
        return nullptr;
    std::vector<std::shared_ptr<upstream_connection>>& all = it->second;
    for (std::size_t i = all.size(); i-- > 0;)
    {
        std::shared_ptr<upstream_connection> c = all[i];
        duration const idle = now - c->idle_since;
        bool const is_usable = c->upstream() == upstream && c->is_reusable() &&
                               idle < idle_limit(*c);
        if (is_usable && !q.is_repeatable && idle > max_idle_unrepeatable)
            return nullptr; // the others have been idle for longer
        bool const has_carried =
            std::find(q.carried_by.begin(), q.carried_by.end(), c->number()) !=
            q.carried_by.end();
        if (is_usable && has_carried)
        {
            counters_.count("connections_passed_over_total", "carried_attempt");
            continue;
        }
        all.erase(all.begin() + static_cast<std::ptrdiff_t>(i));
        if (is_usable)
            return c;
        c->abort();
    }
    return nullptr;
}

result<std::shared_ptr<upstream_connection>>
upstream_pool::open(std::shared_ptr<upstream_state> const& upstream)
{
    counters_.count("upstream_connections_total");
    result<std::shared_ptr<tcp_stream>> stream = tcp_stream::connect(
        loop_, upstream->info.address, upstream_stream_limits);
    if (!stream)
        return tl::unexpected<error>(stream.error());
    return std::make_shared<upstream_connection>(
        std::move(*stream), upstream, ++last_number_);
}

void upstream_pool::put_back(
    std::shared_ptr<upstream_connection> const& c, steady_time now)
{
    if (!c->is_reusable())
    {
        c->abort();
        return;
    }
    c->idle_since = now;
    idle_[c->upstream()->info.id].push_back(c);
}

void upstream_pool::recycle(
    std::shared_ptr<upstream_connection> const& c, steady_time now)
{
    recycled_[c] = now + max_recycle_time;
    std::weak_ptr<upstream_connection> const weak = c;
    c->skip_response(
        max_refusal_bytes,
        [this, weak](bool is_whole)
        {
            auto const self = weak.lock();
            if (!self || recycled_.erase(self) == 0)
                return;
            if (is_whole)
                put_back(self, boot_now());
            else
                self->abort();
        });
}

void upstream_pool::probe(
    std::shared_ptr<upstream_state> const& upstream,
    std::function<void(std::shared_ptr<upstream_connection> const&)> done)
{
    std::string const id = upstream->info.id;
    if (probes_.contains(id))
        return;
    result<std::shared_ptr<upstream_connection>> const opened = open(upstream);
    if (!opened)
    {
        // Lack of a descriptor says nothing about the upstream.
        if (opened.error().kind != error_kind::queue_full)
            done(nullptr);
        return;
    }
    std::shared_ptr<upstream_connection> const& c = *opened;
    probes_[id] = c;
    c->await_connection(
        [this, id, done = std::move(done)](bool is_connected)
        {
            auto const it = probes_.find(id);
            std::shared_ptr<upstream_connection> const self =
                std::move(it->second);
            probes_.erase(it);
            if (is_connected)
                put_back(self, boot_now());
            done(is_connected ? self : nullptr);
        });
}

void upstream_pool::sweep(upstream_table const& upstreams, steady_time now)
{
    for (auto it = recycled_.begin(); it != recycled_.end();)
    {
        if (now < it->second)
        {
            ++it;
            continue;
        }
        it->first->abort();
        it = recycled_.erase(it);
    }
    for (auto it = idle_.begin(); it != idle_.end();)
    {
        bool const is_listed = upstreams.by_id.contains(it->first);
        std::erase_if(
            it->second,
            [&](std::shared_ptr<upstream_connection> const& c)
            {
                return !is_listed || !c->is_reusable() ||
                       now - c->idle_since > idle_limit(*c);
            });
        it = it->second.empty() ? idle_.erase(it) : std::next(it);
    }
}

std::size_t upstream_pool::idle() const
{
    std::size_t n = 0;
    for (auto const& [id, all] : idle_)
        n += all.size();
    return n;
}

} // namespace marjorambeam
