#include "http_client/http_client.hpp"

#include "log/guarded_call.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <set>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace marjorambeam
{
namespace
{

// One call under way.
struct transfer
{
    http_client::call_id id = 0;
    CURL* easy = nullptr;
    curl_slist* header_list = nullptr;
    http_call call;
    http_reply reply;
    http_client::done_handler done;
    http_client::data_handler on_data;
    bool is_too_large = false;
    bool is_stopped = false;
    bool is_head_done = false;     // what follows is the body, or a trailer
    std::string_view invalid_part; // of the answer; static text

    transfer() = default;
    transfer(transfer const&) = delete;
    transfer& operator=(transfer const&) = delete;
    ~transfer()
    {
        curl_easy_cleanup(easy);
        curl_slist_free_all(header_list);
    }
};

// Watches one socket for libcurl.
struct socket_watch
{
    ev::io io;

    explicit socket_watch(ev::loop_ref loop)
        : io(loop)
    {
    }
};

// Returns how many bytes were taken.
std::size_t take_body_bytes(transfer& t, char const* data, std::size_t n)
{
    if (t.on_data)
    {
        long status = 0;
        curl_easy_getinfo(t.easy, CURLINFO_RESPONSE_CODE, &status);
        t.is_stopped =
            !t.on_data(static_cast<int>(status), std::string_view(data, n));
        return t.is_stopped ? 0 : n;
    }
    if (t.reply.body.size() + n > t.call.max_body_bytes)
    {
        t.is_too_large = true;
        return 0;
    }
    t.reply.body.append(data, n);
    return n;
}

// Range of valid statuses (RFC 9110, 15). libcurl takes any from 100 on.
constexpr int min_status = 100;
constexpr int max_status = 599;

// Whether a line of the head has a valid status, such as "HTTP/1.1 200 OK".
bool has_valid_status(std::string_view line)
{
    std::size_t const blank = line.find(' ');
    if (blank == std::string_view::npos)
        return false;
    int status = 0;
    std::from_chars(line.data() + blank + 1, line.data() + line.size(), status);
    return status >= min_status && status <= max_status;
}

// Whether it is a token, as names of fields are (RFC 9110, 5.6.2).
bool is_token(std::string_view text)
{
    static constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(
                                text.begin(), text.end(),
                                [](unsigned char c)
                                {
                                    return (c >= 'a' && c <= 'z') ||
                                           (c >= 'A' && c <= 'Z') ||
                                           (c >= '0' && c <= '9') ||
                                           marks.find(static_cast<char>(c)) !=
                                               std::string_view::npos;
                                });
}

std::string_view trimmed(std::string_view text)
{
    auto is_space = [](char c)
    { return std::isspace(static_cast<unsigned char>(c)) != 0; };
    while (!text.empty() && is_space(text.front()))
        text.remove_prefix(1);
    while (!text.empty() && is_space(text.back()))
        text.remove_suffix(1);
    return text;
}

// Takes a line of a head, of an interim answer's too, or of a trailer. Sets
// `invalid_part` if it is none by the protocol.
void take_header_line(transfer& t, std::string_view line)
{
    if (line.starts_with("HTTP/"))
    {
        t.reply.headers.clear(); // those of an interim answer
        t.is_head_done = false;
        if (!has_valid_status(line))
            t.invalid_part = "status";
        return;
    }
    if (t.is_head_done)
        return;
    if (trimmed(line).empty())
    {
        t.is_head_done = true;
        return;
    }
    std::size_t const colon = line.find(':');
    std::string name(line.substr(0, colon));
    if (colon == std::string_view::npos || !is_token(name))
    {
        t.invalid_part = "header";
        return;
    }
    std::transform(
        name.begin(), name.end(), name.begin(),
        [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    t.reply.headers[std::move(name)] = trimmed(line.substr(colon + 1));
}

// An exception must not pass through libcurl; the call ends with an error.
std::size_t take_body(char* data, std::size_t, std::size_t n, void* user)
{
    std::size_t taken = 0;
    auto& t = *static_cast<transfer*>(user);
    guarded_call("response body", [&] { taken = take_body_bytes(t, data, n); });
    return taken;
}

std::size_t take_header(char* data, std::size_t, std::size_t n, void* user)
{
    auto& t = *static_cast<transfer*>(user);
    bool const is_taken = guarded_call(
        "response header",
        [&] {
            take_header_line(t, {data, n});
        });
    return is_taken && t.invalid_part.empty() ? n : 0;
}

// Whether libcurl found the answer to be none by the protocol.
bool is_corrupt(CURLcode code)
{
    return code == CURLE_WEIRD_SERVER_REPLY ||
           code == CURLE_UNSUPPORTED_PROTOCOL ||
           code == CURLE_BAD_CONTENT_ENCODING;
}

// What is no answer does not tell whether the request has run.
tl::unexpected<error> corrupt(std::string message)
{
    error e = make_error(error_kind::answer_corrupt, std::move(message));
    e.run = run_state::unknown;
    return tl::unexpected<error>(std::move(e));
}

// Local ports of connections that were found reset when libcurl closed them in
// this turn.
using reset_ports = std::set<long>;

// Closes a socket of libcurl's. A reset behind the end of the peer's sending
// side is an error of the socket, which reading does not report.
int close_socket(void* user, curl_socket_t fd)
{
    auto& ports = *static_cast<reset_ports*>(user);
    int code = 0;
    socklen_t n = sizeof code;
    sockaddr_in local{};
    socklen_t address_size = sizeof local;
    bool const is_known =
        ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &code, &n) == 0 &&
        ::getsockname(fd, reinterpret_cast<sockaddr*>(&local), &address_size) ==
            0;
    if (is_known && code != 0)
        ports.insert(ntohs(local.sin_port));
    else if (is_known)
        ports.erase(ntohs(local.sin_port));
    return ::close(fd);
}

// Whether the answer has no body, so that it ends with its head (RFC
// 9112, 6.3).
bool has_no_body(transfer const& t)
{
    constexpr long no_content = 204;
    constexpr long not_modified = 304;
    long status = 0;
    curl_easy_getinfo(t.easy, CURLINFO_RESPONSE_CODE, &status);
    return t.call.method == "HEAD" || status == no_content ||
           status == not_modified;
}

// Whether the body ended with its connection, and that before all of the
// request was sent or with a reset. libcurl takes such a body to be whole. It
// has closed the connection before, as nothing follows such a body.
bool is_cut_by_end(transfer const& t, reset_ports const& ports)
{
    bool const has_end = has_no_body(t) ||
                         t.reply.headers.contains("content-length") ||
                         t.reply.headers.contains("transfer-encoding");
    curl_off_t sent = 0;
    curl_easy_getinfo(t.easy, CURLINFO_SIZE_UPLOAD_T, &sent);
    long port = 0;
    curl_easy_getinfo(t.easy, CURLINFO_LOCAL_PORT, &port);
    return !has_end &&
           (std::cmp_less(sent, t.call.body.size()) || ports.contains(port));
}

result<http_reply> outcome(transfer& t, CURLcode code, reset_ports const& ports)
{
    if (code == CURLE_OK && is_cut_by_end(t, ports))
        return fail(
            error_kind::connection_lost,
            "the connection was reset, or ended before all of the request was "
            "sent");
    if (code == CURLE_OK)
    {
        long status = 0;
        curl_easy_getinfo(t.easy, CURLINFO_RESPONSE_CODE, &status);
        t.reply.status = static_cast<int>(status);
        return std::move(t.reply);
    }
    if (!t.invalid_part.empty())
        return corrupt(
            "the response has an invalid " + std::string(t.invalid_part));
    if (is_corrupt(code))
        return corrupt(curl_easy_strerror(code));
    if (t.is_too_large)
        return fail(error_kind::body_too_large, "the response is too long");
    if (t.is_stopped)
        return fail(error_kind::cancelled, "the call was cancelled");
    double connect_seconds = 0;
    curl_easy_getinfo(t.easy, CURLINFO_CONNECT_TIME, &connect_seconds);
    bool const is_timeout = code == CURLE_OPERATION_TIMEDOUT;
    error e = make_error(
        is_timeout ? error_kind::upstream_silent : error_kind::connection_lost,
        curl_easy_strerror(code));
    long new_connections = 0;
    curl_easy_getinfo(t.easy, CURLINFO_NUM_CONNECTS, &new_connections);
    // Sums up the attempts of this call: libcurl repeats a request whose
    // reused connection closed, and only the repetition may be unconnected.
    long request_bytes = 0;
    curl_easy_getinfo(t.easy, CURLINFO_REQUEST_SIZE, &request_bytes);
    bool const is_unconnected =
        request_bytes == 0 &&
        (code == CURLE_COULDNT_CONNECT ||
         (is_timeout && new_connections > 0 && connect_seconds == 0));
    if (is_unconnected)
        e.run = run_state::not_run;
    return tl::unexpected<error>(std::move(e));
}

// A path that swallows packets ends a call that waits, and an idle connection,
// within about three seconds, without waiting for the call's own timeout.
int watch_path(void* /*user*/, curl_socket_t fd, curlsocktype /*purpose*/)
{
    constexpr int probes = 2;
    constexpr int unacknowledged_ms = 2000;
    bool const is_set =
        setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes) == 0 &&
        setsockopt(
            fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_ms,
            sizeof unacknowledged_ms) == 0;
    return is_set ? CURL_SOCKOPT_OK : CURL_SOCKOPT_ERROR;
}

void set_options(transfer& t, reset_ports& resets)
{
    CURL* easy = t.easy;
    curl_easy_setopt(easy, CURLOPT_URL, t.call.url.c_str());
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, t.call.method.c_str());
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_KEEPALIVE, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_KEEPIDLE, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_KEEPINTVL, 1L);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &watch_path);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &close_socket);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, &resets);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &t);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &take_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &t);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &take_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &t);
    auto to_ms = [](duration d) -> long {
        return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
    };
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, to_ms(t.call.timeout));
    curl_easy_setopt(
        easy, CURLOPT_CONNECTTIMEOUT_MS, to_ms(t.call.connect_timeout));
    if (t.call.use_fresh_connection)
    {
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
    if (t.call.method == "HEAD")
        curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    bool const has_body = !t.call.body.empty() || t.call.method == "POST" ||
                          t.call.method == "PUT" || t.call.method == "PATCH";
    if (has_body)
    {
        curl_easy_setopt(
            easy, CURLOPT_POSTFIELDSIZE_LARGE,
            static_cast<curl_off_t>(t.call.body.size()));
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, t.call.body.data());
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, t.call.method.c_str());
    }
    t.header_list = curl_slist_append(nullptr, "Expect:");
    for (auto const& [name, value] : t.call.headers)
    {
        std::string line = name;
        line.append(": ").append(value);
        t.header_list = curl_slist_append(t.header_list, line.c_str());
    }
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, t.header_list);
}

} // namespace

struct http_client::implementation
{
    ev::loop_ref loop;
    CURLM* multi;
    ev::timer timer;
    std::map<call_id, std::unique_ptr<transfer>> transfers;
    std::map<curl_socket_t, std::unique_ptr<socket_watch>> sockets;
    reset_ports resets;
    call_id last_id = 0;

    explicit implementation(ev::loop_ref l)
        : loop(l)
        , multi(curl_multi_init())
        , timer(l)
    {
        timer.set<implementation, &implementation::on_timer>(this);
        curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, &watch_socket);
        curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, &set_timer);
        curl_multi_setopt(multi, CURLMOPT_TIMERDATA, this);
    }

    implementation(implementation const&) = delete;
    implementation& operator=(implementation const&) = delete;

    ~implementation()
    {
        for (auto const& [id, t] : transfers)
            curl_multi_remove_handle(multi, t->easy);
        transfers.clear();
        curl_multi_cleanup(multi);
    }

    static int watch_socket(
        CURL* /*easy*/, curl_socket_t fd, int what, void* user,
        void* /*socket_data*/)
    {
        auto& self = *static_cast<implementation*>(user);
        if (what == CURL_POLL_REMOVE)
        {
            self.sockets.erase(fd);
            return 0;
        }
        int events = 0;
        if ((what & CURL_POLL_IN) != 0)
            events |= ev::READ;
        if ((what & CURL_POLL_OUT) != 0)
            events |= ev::WRITE;
        std::unique_ptr<socket_watch>& watch = self.sockets[fd];
        if (!watch)
        {
            watch = std::make_unique<socket_watch>(self.loop);
            watch->io.set<implementation, &implementation::on_socket>(&self);
        }
        watch->io.stop();
        watch->io.start(fd, events);
        return 0;
    }

    static int set_timer(CURLM* /*multi*/, long timeout_ms, void* user)
    {
        auto& self = *static_cast<implementation*>(user);
        self.timer.stop();
        if (timeout_ms >= 0)
            self.timer.start(static_cast<double>(timeout_ms) / 1000.0);
        return 0;
    }

    void on_socket(ev::io& io, int events)
    {
        int mask = 0;
        if ((events & ev::READ) != 0)
            mask |= CURL_CSELECT_IN;
        if ((events & ev::WRITE) != 0)
            mask |= CURL_CSELECT_OUT;
        act(io.fd, mask);
    }

    void on_timer(ev::timer&, int)
    {
        act(CURL_SOCKET_TIMEOUT, 0);
    }

    void act(curl_socket_t fd, int mask)
    {
        resets.clear();
        int running = 0;
        curl_multi_socket_action(multi, fd, mask, &running);
        finish_transfers();
    }

    void finish_transfers()
    {
        int left = 0;
        while (CURLMsg* message = curl_multi_info_read(multi, &left))
        {
            if (message->msg != CURLMSG_DONE)
                continue;
            CURLcode const code = message->data.result;
            transfer* t = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &t);
            std::unique_ptr<transfer> const owner = std::move(transfers[t->id]);
            transfers.erase(t->id);
            curl_multi_remove_handle(multi, t->easy);
            if (t->done)
                guarded_call(
                    "response", [&] { t->done(outcome(*t, code, resets)); });
        }
    }
};

http_client::http_client(ev::loop_ref loop)
    : impl_(std::make_unique<implementation>(loop))
{
}

http_client::~http_client() = default;

http_client::call_id
http_client::send(http_call call, done_handler done, data_handler on_data)
{
    auto t = std::make_unique<transfer>();
    t->id = ++impl_->last_id;
    t->easy = curl_easy_init();
    t->call = std::move(call);
    t->done = std::move(done);
    t->on_data = std::move(on_data);
    set_options(*t, impl_->resets);
    call_id const id = t->id;
    CURL* easy = t->easy;
    impl_->transfers[id] = std::move(t);
    curl_multi_add_handle(impl_->multi, easy);
    return id;
}

void http_client::cancel(call_id id)
{
    auto const it = impl_->transfers.find(id);
    if (it == impl_->transfers.end())
        return;
    curl_multi_remove_handle(impl_->multi, it->second->easy);
    impl_->transfers.erase(it);
}

std::size_t http_client::active() const
{
    return impl_->transfers.size();
}

} // namespace marjorambeam
