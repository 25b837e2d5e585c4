#include "gateway/client_connection.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <iterator>

namespace marjorambeam
{
namespace
{

// Bytes of pipelined requests that are buffered behind the current one.
constexpr std::size_t max_pipelined_bytes = std::size_t{16} << 10U;
// An idle connection is kept this much longer than announced, so that a
// request sent just before the timeout does not race with the close.
constexpr duration idle_grace = std::chrono::seconds(2);
// Time limit for a request body, as a multiple of the header timeout.
constexpr int body_timeout_factor = 4;
// A body is copied once, into the request to the upstream, and a buffer that
// grows holds twice of what is in it.
constexpr std::size_t body_copies = 2;
// Time for a caller to read the last response and to end its connection.
constexpr duration linger_time = std::chrono::seconds(1);

// A body that the pool can't hold is too large, whatever the configuration
// allows.
client_limits within(client_limits limits, buffer_pools const& pools)
{
    std::size_t& most = limits.message.max_body_bytes;
    most = std::min(most, pools.prompts.capacity / body_copies);
    return limits;
}

std::string chunk_header(std::size_t n)
{
    std::array<char, 20> buf;
    auto const [end, ec] =
        std::to_chars(buf.data(), buf.data() + buf.size(), n, 16);
    std::string out(buf.data(), end);
    out.append("\r\n");
    return out;
}

} // namespace

client_connection::client_connection(
    std::shared_ptr<tcp_stream> stream, client_limits limits,
    buffer_pools& pools, steady_time now, request_handler on_request)
    : stream_(std::move(stream))
    , limits_(within(limits, pools))
    , pools_(pools)
    , on_request_(std::move(on_request))
    , reader_(std::make_unique<request_reader>(limits_.message))
    , last_active_(now)
{
}

void client_connection::start()
{
    std::weak_ptr<client_connection> const weak = weak_from_this();
    stream_->on_data(
        [weak]
        {
            if (auto const self = weak.lock())
                self->read();
        });
    stream_->on_end(
        [weak](stream_end)
        {
            if (auto const self = weak.lock())
                self->on_end();
        });
}

void client_connection::on_end()
{
    if (!on_disconnect_)
        return;
    auto const callback = std::move(on_disconnect_);
    on_disconnect_ = nullptr;
    callback();
}

void client_connection::read()
{
    if (is_reading_)
        return;
    if (is_last_ && !is_busy_)
    {
        // The rest of a request that has been answered.
        stream_->consume(stream_->input().size());
        return;
    }
    is_reading_ = true;
    auto const self = shared_from_this();
    last_active_ = boot_now();
    while (!is_busy_ && !is_last_ && stream_->is_open() &&
           !stream_->input().empty())
    {
        if (!has_bytes_)
            first_byte_ = last_active_;
        has_bytes_ = true;
        result<std::size_t> const n = reader_->put(stream_->input());
        if (!n)
        {
            refuse_input(n.error());
            break;
        }
        stream_->consume(*n);
        if (!reader_->is_done() && stream_->input().size() > max_unparsed_bytes)
        {
            refuse_input(make_error(
                error_kind::bad_request, "a line exceeds the length limit"));
            break;
        }
        if (!reader_->is_done())
        {
            if (!claim_input())
            {
                refuse_input(make_error(
                    error_kind::buffers_full, "no room for the request"));
                break;
            }
            if (reader_->is_head_done() && !has_continued_ &&
                reader_->expects_continue())
            {
                has_continued_ = true;
                stream_->send("HTTP/1.1 100 Continue\r\n\r\n");
            }
            break;
        }
        is_busy_ = true;
        has_bytes_ = false;
        has_continued_ = false;
        partial_claim_.reset();
        if (prompt_claim_)
            claims_.push_back(std::move(prompt_claim_));
        http_request_message message = reader_->take();
        is_last_ = is_last_ || !message.keep_alive;
        reader_ = std::make_unique<request_reader>(limits_.message);
        on_request_(self, std::move(message));
    }
    is_reading_ = false;
    if (stream_->is_open() && !lingers_since_)
        stream_->pause(
            is_busy_ && stream_->input().size() > max_pipelined_bytes);
}

// Claims what the request that is being received may hold. Returns false if
// there is no room for it.
bool client_connection::claim_input()
{
    if (!partial_claim_)
        partial_claim_ = try_claim(
            pools_.partial_requests,
            partial_request_bytes + limits_.message.max_header_bytes);
    if (!partial_claim_)
        return false;
    if (!reader_->is_head_done() || prompt_claim_)
        return true;
    std::size_t const announced = static_cast<std::size_t>(
        reader_->announced_length().value_or(reader_->body_bytes()));
    if (announced <= small_body_bytes)
        return true;
    std::size_t const most = reader_->announced_length()
                                 ? announced
                                 : limits_.message.max_body_bytes;
    prompt_claim_ = try_claim(pools_.prompts, most * body_copies);
    return prompt_claim_ != nullptr;
}

void client_connection::hold(std::unique_ptr<buffer_claim> claim)
{
    if (claim)
        claims_.push_back(std::move(claim));
}

// Returns the claims of the response that has been written when it has left.
void client_connection::release_claims()
{
    std::move(
        claims_.begin(), claims_.end(), std::back_inserter(unsent_claims_));
    claims_.clear();
    if (unsent() == 0)
    {
        unsent_claims_.clear();
        return;
    }
    std::weak_ptr<client_connection> const weak = weak_from_this();
    stream_->on_drained(
        [weak]
        {
            if (auto const self = weak.lock())
                self->unsent_claims_.clear();
        });
}

// Ends the connection with the error, whose response is the last one.
void client_connection::refuse_input(error const& why)
{
    partial_claim_.reset();
    prompt_claim_.reset();
    reader_ = std::make_unique<request_reader>(limits_.message);
    is_busy_ = true;
    is_last_ = true;
    has_failed_input_ = true;
    on_request_(shared_from_this(), tl::unexpected<error>(why));
}

std::string client_connection::head_text(
    response_head const& head, std::string_view framing)
{
    // A caller that has sent a request may still expect its response.
    is_last_ = is_last_ || (announces_close_ && stream_->input().empty());
    std::string out = "HTTP/1.1 ";
    out.append(std::to_string(head.status)).append(" ");
    out.append(status_text(head.status)).append("\r\n");
    for (auto const& [name, value] : head.headers)
        out.append(name).append(": ").append(value).append("\r\n");
    out.append(framing);
    if (is_last_)
    {
        out.append("Connection: close\r\n");
    }
    else
    {
        auto const idle = std::chrono::duration_cast<std::chrono::seconds>(
            limits_.idle_timeout);
        out.append("Keep-Alive: timeout=")
            .append(std::to_string(idle.count()))
            .append("\r\n");
    }
    out.append("\r\n");
    return out;
}

void client_connection::respond(response_head const& head, std::string body)
{
    std::string framing;
    bool const has_length = head.status != 204 && head.status != 304;
    if (has_length)
        framing = "Content-Length: " + std::to_string(body.size()) + "\r\n";
    std::string out = head_text(head, framing);
    if (body.size() <= small_body_bytes)
    {
        stream_->send_owned(out.append(body));
    }
    else
    {
        stream_->send(out);
        stream_->send_owned(std::move(body));
    }
    finish_response();
}

void client_connection::start_stream(response_head const& head)
{
    stream_->send(head_text(head, "Transfer-Encoding: chunked\r\n"));
}

void client_connection::write(std::string_view bytes)
{
    if (bytes.empty())
        return;
    std::string out = chunk_header(bytes.size());
    out.append(bytes).append("\r\n");
    stream_->send(out);
}

void client_connection::end_stream()
{
    stream_->send("0\r\n\r\n");
    finish_response();
}

void client_connection::abort()
{
    on_disconnect_ = nullptr;
    stream_->close();
}

void client_connection::finish_response()
{
    on_disconnect_ = nullptr;
    is_busy_ = false;
    last_active_ = boot_now();
    stream_->on_drained({});
    release_claims();
    if (is_last_)
    {
        linger(last_active_);
        return;
    }
    if (stream_->is_paused())
        stream_->pause(false);
    if (!is_reading_ && !stream_->input().empty())
        read();
}

// Ends the sending side after the last response. What a caller sends behind
// it is left in the kernel; only the rest of a request that was answered before
// it was complete is read, as its caller may send all of it before it reads.
void client_connection::linger(steady_time now)
{
    lingers_since_ = now;
    stream_->consume(stream_->input().size());
    stream_->pause(!has_failed_input_);
    stream_->close_after_output();
}

void client_connection::close_idle(steady_time now)
{
    if (stream_->has_unread())
        return;
    is_last_ = true;
    linger(now);
}

void client_connection::reject(error_kind kind)
{
    refuse_input(make_error(kind, "the request was not read"));
}

// The next request is read by the limits in force, also on a connection that
// was kept before they changed.
void client_connection::take_limits(client_limits const& limits)
{
    client_limits const bounded = within(limits, pools_);
    if (limits_ == bounded)
        return;
    limits_ = bounded;
    if (!has_bytes_)
        reader_ = std::make_unique<request_reader>(limits_.message);
}

bool client_connection::check(client_limits const& limits, steady_time now)
{
    if (!stream_->is_open())
        return false;
    take_limits(limits);
    stream_->extend_for_full_window(limits_.idle_timeout);
    if (is_busy_)
        return true;
    if (lingers_since_)
    {
        if (!stream_->has_delivered_output())
            lingers_since_ = now; // the caller has not received all of it
        if (has_ended() || now - *lingers_since_ > linger_time)
            stream_->close();
        return stream_->is_open();
    }
    bool const is_slow =
        has_bytes_ &&
        now - first_byte_ >
            limits_.header_timeout *
                (reader_->is_head_done() ? body_timeout_factor : 1);
    if (is_slow)
    {
        refuse_input(make_error(
            error_kind::sender_too_slow, "the request was not sent in time"));
        return stream_->is_open();
    }
    if (now - last_active_ > limits_.idle_timeout + idle_grace)
        close_idle(now);
    return true;
}

} // namespace marjorambeam
