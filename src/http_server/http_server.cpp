#include "http_server/http_server.hpp"

#include "log/guarded_call.hpp"

#include "settings/settings.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cstring>
#include <microhttpd.h>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <unistd.h>

namespace marjorambeam
{
namespace
{

constexpr std::size_t stream_block_bytes = 32U << 10U;
// Connections over the limit that are answered with a named refusal. Beyond
// them libmicrohttpd closes new connections without an answer.
constexpr unsigned refused_connections = 256;
// Headers up to this multiple of the limit are read, so that the refusal can
// be named and counted; libmicrohttpd refuses longer ones by itself.
constexpr std::size_t header_memory_factor = 4;

std::string lower(std::string_view text)
{
    std::string out(text);
    std::transform(
        out.begin(), out.end(), out.begin(),
        [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return out;
}

MHD_Result add_header(void* cls, MHD_ValueKind, char const* k, char const* v)
{
    auto* headers =
        static_cast<std::map<std::string, std::string, std::less<>>*>(cls);
    (*headers)[lower(k)] = v == nullptr ? "" : v;
    return MHD_YES;
}

MHD_Result add_parameter(void* cls, MHD_ValueKind, char const* k, char const* v)
{
    auto* query =
        static_cast<std::map<std::string, std::string, std::less<>>*>(cls);
    (*query)[k] = v == nullptr ? "" : v;
    return MHD_YES;
}

} // namespace

// Callbacks for libmicrohttpd.
struct http_server_callbacks
{
    static void
    begin(http_server& server, http_exchange& ex, std::size_t content_length)
    {
        http_server_settings const& limits = server.settings_;
        std::size_t header_bytes = ex.request_.target.size();
        for (auto const& [name, value] : ex.request_.headers)
            header_bytes += name.size() + value.size();
        unsigned const connections =
            MHD_get_daemon_info(
                server.daemon_, MHD_DAEMON_INFO_CURRENT_CONNECTIONS)
                ->num_connections;
        if (connections > limits.max_connections)
            refuse(server, ex, error_kind::too_many_connections);
        else if (header_bytes > limits.max_header_bytes)
            refuse(server, ex, error_kind::header_too_large);
        else if (content_length > limits.max_body_bytes)
            refuse(server, ex, error_kind::body_too_large);
    }

    static void refuse(http_server& server, http_exchange& ex, error_kind kind)
    {
        if (ex.is_refused_)
            return;
        ex.is_refused_ = true;
        ex.refusal_ = kind;
        if (server.on_refusal_)
            server.on_refusal_(kind);
    }

    static void take_body(
        http_server& server, http_exchange& ex, char const* data, std::size_t n)
    {
        if (ex.request_.body.size() + n > server.settings_.max_body_bytes)
            refuse(server, ex, error_kind::body_too_large);
        if (steady_now() - ex.started_at_ > server.settings_.body_timeout)
            refuse(server, ex, error_kind::sender_too_slow);
        if (!ex.is_refused_)
            ex.request_.body.append(data, n);
    }

    // Called first for each request, with the target as it was sent. The result
    // is the context of the calls that follow.
    static void*
    open_request(void* cls, char const* target, MHD_Connection* /*connection*/)
    {
        auto& server = *static_cast<http_server*>(cls);
        auto ex = std::make_shared<http_exchange>();
        ex->request_.target = target;
        server.open_[ex.get()] = ex;
        return ex.get();
    }

    static MHD_Result access(
        void* cls, MHD_Connection* connection, char const* url,
        char const* method, char const* /*version*/, char const* data,
        std::size_t* size, void** context)
    {
        auto& server = *static_cast<http_server*>(cls);
        auto ex = static_cast<http_exchange*>(*context)->shared_from_this();
        if (!ex->is_begun_)
        {
            ex->is_begun_ = true;
            ex->connection_ = connection;
            ex->server_ = &server;
            ex->request_.method = method;
            ex->request_.path = url;
            ex->started_at_ = steady_now();
            MHD_get_connection_values(
                connection, MHD_HEADER_KIND, add_header, &ex->request_.headers);
            MHD_get_connection_values(
                connection, MHD_GET_ARGUMENT_KIND, add_parameter,
                &ex->request_.query);
            std::string const length(ex->request_.header("content-length"));
            begin(server, *ex, std::strtoull(length.c_str(), nullptr, 10));
            return MHD_YES;
        }
        if (*size > 0)
        {
            take_body(server, *ex, data, *size);
            *size = 0;
            return MHD_YES;
        }
        if (!ex->is_dispatched_)
        {
            ex->is_dispatched_ = true;
            if (ex->is_refused_)
            {
                respond_error(
                    *ex,
                    make_error(ex->refusal_, "the request is over a limit"), "",
                    {{"Connection", "close"}});
            }
            else if (!guarded_call("request", [&] { server.on_request_(ex); }))
            {
                respond_error(
                    *ex, make_error(error_kind::internal, "the request failed"),
                    "", {});
            }
        }
        if (ex->is_dropped_)
            return MHD_NO;
        if (ex->is_started_)
            ex->queue_response();
        else
            ex->suspend();
        return MHD_YES;
    }

    static void completed(
        void* cls, MHD_Connection* /*connection*/, void** context,
        MHD_RequestTerminationCode /*code*/)
    {
        auto& server = *static_cast<http_server*>(cls);
        if (*context == nullptr)
            return;
        auto it = server.open_.find(static_cast<http_exchange*>(*context));
        *context = nullptr;
        if (it == server.open_.end())
            return;
        std::shared_ptr<http_exchange> const ex = it->second;
        server.open_.erase(it);
        ex->connection_ = nullptr;
        std::function<void()> callback = std::move(ex->on_close_);
        ex->on_close_ = nullptr;
        if (callback && !ex->is_ended_)
            callback();
    }

    static ssize_t
    read_stream(void* cls, std::uint64_t /*pos*/, char* buf, std::size_t max)
    {
        auto& ex = **static_cast<std::shared_ptr<http_exchange>*>(cls);
        std::size_t const n = std::min(max, ex.pending_bytes());
        if (n > 0)
        {
            std::memcpy(buf, ex.buffer_.data() + ex.buffer_start_, n);
            ex.buffer_start_ += n;
            if (ex.pending_bytes() == 0)
            {
                ex.buffer_.clear();
                ex.buffer_start_ = 0;
            }
            return static_cast<ssize_t>(n);
        }
        if (!ex.is_ended_)
        {
            ex.suspend();
            return 0;
        }
        return ex.is_whole_ ? MHD_CONTENT_READER_END_OF_STREAM
                            : MHD_CONTENT_READER_END_WITH_ERROR;
    }

    static void free_stream(void* cls)
    {
        delete static_cast<std::shared_ptr<http_exchange>*>(cls);
    }
};

std::string_view http_request::header(std::string_view name) const
{
    auto const it = headers.find(name);
    return it == headers.end() ? std::string_view() : it->second;
}

std::string_view http_request::parameter(std::string_view name) const
{
    auto const it = query.find(name);
    return it == query.end() ? std::string_view() : it->second;
}

void http_exchange::respond(
    int status, http_headers const& headers, std::string_view body)
{
    if (is_started_)
        return;
    status_ = status;
    headers_ = headers;
    buffer_ = body;
    is_started_ = true;
    is_ended_ = true;
    resume();
}

void http_exchange::start_stream(int status, http_headers const& headers)
{
    if (is_started_)
        return;
    status_ = status;
    headers_ = headers;
    is_started_ = true;
    is_stream_ = true;
    resume();
}

bool http_exchange::write(std::string_view bytes)
{
    if (connection_ == nullptr)
        return false;
    buffer_.append(bytes);
    resume();
    return true;
}

void http_exchange::end_stream(bool is_whole)
{
    is_ended_ = true;
    is_whole_ = is_whole;
    resume();
}

void http_exchange::drop()
{
    if (is_started_)
        return;
    is_started_ = true;
    is_ended_ = true;
    is_dropped_ = true;
    resume();
}

void http_exchange::on_close(std::function<void()> callback)
{
    on_close_ = std::move(callback);
}

void http_exchange::suspend()
{
    if (is_suspended_)
        return;
    is_suspended_ = true;
    MHD_suspend_connection(connection_);
}

void http_exchange::resume()
{
    if (!is_suspended_ || connection_ == nullptr)
        return;
    is_suspended_ = false;
    MHD_resume_connection(connection_);
    server_->run_soon();
}

void http_exchange::queue_response()
{
    if (is_queued_)
        return;
    is_queued_ = true;
    MHD_Response* response = nullptr;
    if (is_stream_)
    {
        response = MHD_create_response_from_callback(
            MHD_SIZE_UNKNOWN, stream_block_bytes,
            &http_server_callbacks::read_stream,
            new std::shared_ptr<http_exchange>(shared_from_this()),
            &http_server_callbacks::free_stream);
    }
    else
    {
        response = MHD_create_response_from_buffer(
            buffer_.size(), buffer_.data(), MHD_RESPMEM_MUST_COPY);
    }
    for (auto const& [name, value] : headers_)
        MHD_add_response_header(response, name.c_str(), value.c_str());
    MHD_queue_response(connection_, static_cast<unsigned>(status_), response);
    MHD_destroy_response(response);
}

http_server::http_server(
    ev::loop_ref loop, http_server_settings settings, handler on_request,
    refusal_handler on_refusal)
    : settings_(std::move(settings))
    , on_request_(std::move(on_request))
    , on_refusal_(std::move(on_refusal))
    , readable_(loop)
    , timeout_(loop)
{
    auto const address = split_address(settings_.address);
    if (!address)
        throw std::runtime_error(address.error().message);
    sockaddr_in socket_address{};
    socket_address.sin_family = AF_INET;
    socket_address.sin_port = htons(address->second);
    inet_pton(AF_INET, address->first.c_str(), &socket_address.sin_addr);
    auto const timeout = static_cast<unsigned>(
        std::chrono::ceil<std::chrono::seconds>(settings_.idle_timeout)
            .count());
    daemon_ = MHD_start_daemon(
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, address->second, nullptr,
        nullptr, &http_server_callbacks::access, this, MHD_OPTION_SOCK_ADDR,
        &socket_address, MHD_OPTION_NOTIFY_COMPLETED,
        &http_server_callbacks::completed, this, MHD_OPTION_CONNECTION_TIMEOUT,
        timeout, MHD_OPTION_CONNECTION_LIMIT,
        settings_.max_connections + refused_connections,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT,
        settings_.max_header_bytes * header_memory_factor,
        MHD_OPTION_URI_LOG_CALLBACK, &http_server_callbacks::open_request, this,
        MHD_OPTION_LISTEN_BACKLOG_SIZE, 1024U, MHD_OPTION_END);
    if (daemon_ == nullptr)
    {
        throw std::runtime_error(
            "can't listen on " + settings_.address + ": " +
            std::strerror(errno));
    }
    port_ = MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_BIND_PORT)->port;
    readable_.set<http_server, &http_server::run>(this);
    readable_.start(
        MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd,
        ev::READ);
    timeout_.set<http_server, &http_server::run>(this);
}

http_server::~http_server()
{
    readable_.stop();
    timeout_.stop();
    for (auto const& [raw, ex] : open_)
    {
        ex->on_close_ = nullptr;
        ex->resume();
    }
    MHD_stop_daemon(daemon_);
}

std::string http_server::address() const
{
    std::string const& given = settings_.address;
    return given.substr(0, given.find(':') + 1) + std::to_string(port_);
}

void http_server::stop_listening()
{
    if (!is_listening_)
        return;
    is_listening_ = false;
    MHD_socket const fd = MHD_quiesce_daemon(daemon_);
    if (fd != MHD_INVALID_SOCKET)
        ::close(fd);
}

void http_server::run_soon()
{
    has_resumed_ = true;
    timeout_.stop();
    timeout_.start(0);
}

void http_server::run()
{
    has_resumed_ = false;
    MHD_run(daemon_);
    timeout_.stop();
    MHD_UNSIGNED_LONG_LONG ms = 0;
    if (has_resumed_)
        timeout_.start(0);
    else if (MHD_get_timeout(daemon_, &ms) == MHD_YES)
        timeout_.start(static_cast<double>(ms) / 1000.0);
}

std::string error_body(error const& e, std::string_view request_id)
{
    nlohmann::json body;
    body["error"] = {
        {"kind", to_string(e.kind)},
        {"message", e.message},
        {"request_id", request_id},
        {"run", to_string(e.run)},
        {"retry_after_ms",
         std::chrono::ceil<std::chrono::milliseconds>(e.retry_after).count()}};
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
           "\n";
}

void respond_error(
    http_exchange& exchange, error const& e, std::string_view request_id,
    http_headers headers)
{
    headers.emplace_back("Content-Type", "application/json");
    bool const has_id = std::any_of(
        headers.begin(), headers.end(),
        [](auto const& it) { return it.first == "X-Request-Id"; });
    if (!request_id.empty() && !has_id)
        headers.emplace_back("X-Request-Id", request_id);
    if (e.retry_after > duration(0))
    {
        headers.emplace_back(
            "Retry-After",
            std::to_string(
                std::chrono::ceil<std::chrono::seconds>(e.retry_after)
                    .count()));
    }
    exchange.respond(
        answer_for(e.kind).http_status, headers, error_body(e, request_id));
}

} // namespace marjorambeam
