#include "http_stream/http_reader.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <charconv>
#include <limits>
#include <optional>

namespace marjorambeam
{
namespace
{

namespace http = boost::beast::http;
using boost::beast::error_code;
using boost::beast::iequals;

// Interim answers before the final one; more come from a faulty upstream.
constexpr int max_interim_answers = 16;

// Range of valid statuses (RFC 9110, 15). The parser takes any three digits.
constexpr unsigned min_status = 100;
constexpr unsigned max_status = 599;

// Limit on the header fields of a response.
constexpr std::size_t max_response_header_bytes = std::size_t{8} << 10U;

// The parser's limit on the body of a response, whose reader bounds it. Not
// boost::none: Boost 1.74 compares a length with it, and none is less than any.
constexpr std::uint64_t no_body_limit =
    std::numeric_limits<std::uint64_t>::max();

// A body that grows with what arrives. The library's own reserves what a length
// announces.
struct growing_body
{
    using value_type = std::string;

    class reader
    {
    public:
        template <bool IsRequest, class Fields>
        reader(http::header<IsRequest, Fields>& /*head*/, value_type& body)
            : body_(body)
        {
        }
        static void
        init(boost::optional<std::uint64_t> const& /*length*/, error_code& ec)
        {
            ec = {};
        }
        template <class Buffers>
        std::size_t put(Buffers const& buffers, error_code& ec)
        {
            std::size_t n = 0;
            for (auto it = boost::asio::buffer_sequence_begin(buffers);
                 it != boost::asio::buffer_sequence_end(buffers); ++it)
            {
                body_.append(static_cast<char const*>(it->data()), it->size());
                n += it->size();
            }
            ec = {};
            return n;
        }
        static void finish(error_code& ec)
        {
            ec = {};
        }

    private:
        value_type& body_;
    };
};

template <class Parser>
std::optional<std::uint64_t> length_of(Parser const& parser)
{
    auto const n = parser.content_length();
    return n ? std::optional<std::uint64_t>(*n) : std::nullopt;
}

boost::beast::string_view view(std::string_view s)
{
    return {s.data(), s.size()};
}

std::string text(boost::beast::string_view s)
{
    return {s.data(), s.size()};
}

// Whether the Connection header lists `name`.
template <class Fields>
bool is_named_by_connection(Fields const& fields, std::string_view name)
{
    for (auto it : http::token_list(fields[http::field::connection]))
    {
        if (iequals(it, view(name)))
            return true;
    }
    return false;
}

template <class Fields>
header_list copy_headers(Fields const& fields)
{
    header_list all;
    bool const has_connection = fields.count(http::field::connection) > 0;
    for (auto const& it : fields)
    {
        std::string const name = text(it.name_string());
        if (is_connection_header(name) || iequals(view(name), "content-length"))
            continue;
        if (has_connection && is_named_by_connection(fields, name))
            continue;
        all.emplace_back(name, text(it.value()));
    }
    return all;
}

// Whether the body is framed by its length or by chunks. The library takes a
// request with any other coding for one without a body, and what follows for
// the next request, and leaves the body of such an answer as it is.
template <class Fields>
bool has_known_coding(Fields const& fields)
{
    std::size_t const n = fields.count(http::field::transfer_encoding);
    return n == 0 ||
           (n == 1 &&
            iequals(fields[http::field::transfer_encoding], "chunked"));
}

error_kind request_error(error_code const& ec)
{
    if (ec == http::error::header_limit)
        return error_kind::header_too_large;
    if (ec == http::error::body_limit)
        return error_kind::body_too_large;
    return error_kind::bad_request;
}

// Feeds a parser until it needs more or is done. Returns the bytes used.
template <class Parser>
std::size_t feed(Parser& parser, std::string_view bytes, error_code& ec)
{
    std::size_t used = 0;
    while (used < bytes.size() && !parser.is_done())
    {
        std::size_t const n = parser.put(
            boost::asio::const_buffer(bytes.data() + used, bytes.size() - used),
            ec);
        used += n;
        if (ec == http::error::need_more)
        {
            ec = {};
            return used;
        }
        if (ec || n == 0)
            return used;
    }
    return used;
}

// Bytes of a head so far. The parser's own limit holds only for what it has not
// consumed, so that a head in pieces could be of any size.
struct head_size
{
    std::size_t start_line = 0; // with its end
    std::size_t consumed = 0;   // with the start line
};

// Keeps the parser's limit out of the way: a start line and header fields that
// are within `max_bytes` each are together within the limit.
template <class Parser>
void set_header_limit(Parser& parser, std::size_t max_bytes)
{
    constexpr std::size_t most = std::numeric_limits<std::uint32_t>::max();
    parser.header_limit(
        static_cast<std::uint32_t>(std::min(max_bytes, most / 2) * 2));
}

// Feeds a parser until the head is done or needs more. Neither the start line
// nor the header fields may have more than `max_bytes`. Returns the bytes used.
template <class Parser>
std::size_t feed_head(
    Parser& parser, head_size& size, std::size_t max_bytes,
    std::string_view bytes, error_code& ec)
{
    if (size.consumed == 0)
        size.start_line = std::min(bytes.find('\n'), bytes.size() - 1) + 1;
    parser.eager(false); // so that it stops behind the head
    std::size_t used = 0;
    while (used < bytes.size() && !parser.is_header_done() && !ec)
    {
        std::size_t const n = parser.put(
            boost::asio::const_buffer(bytes.data() + used, bytes.size() - used),
            ec);
        used += n;
        if (n == 0)
            break;
    }
    parser.eager(true);
    if (ec == http::error::need_more)
        ec = {};
    size.consumed += used;
    std::size_t const unused =
        parser.is_header_done() ? 0 : bytes.size() - used;
    std::size_t const fields = size.consumed + unused - size.start_line;
    if (!ec && std::max(size.start_line, fields) > max_bytes)
        ec = http::error::header_limit;
    return used;
}

int keep_alive_seconds(std::string_view value)
{
    std::string lower(value);
    std::transform(
        lower.begin(), lower.end(), lower.begin(),
        [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    constexpr std::string_view key = "timeout=";
    std::size_t const at = lower.find(key);
    int seconds = 0;
    if (at != std::string::npos)
        std::from_chars(
            lower.data() + at + key.size(), lower.data() + lower.size(),
            seconds);
    return std::max(seconds, 0);
}

} // namespace

bool is_same_header(std::string_view a, std::string_view b)
{
    return iequals(view(a), view(b));
}

std::string_view find_header(header_list const& headers, std::string_view name)
{
    for (auto const& it : headers)
    {
        if (is_same_header(it.first, name))
            return it.second;
    }
    return {};
}

bool is_connection_header(std::string_view name)
{
    constexpr std::array<std::string_view, 9> names{
        "connection",          "keep-alive", "proxy-authenticate",
        "proxy-authorization", "te",         "trailer",
        "transfer-encoding",   "upgrade",    "proxy-connection"};
    return std::any_of(
        names.begin(), names.end(),
        [&](std::string_view it) { return is_same_header(it, name); });
}

bool is_header_value(std::string_view text)
{
    auto is_blank = [](char c) { return c == ' ' || c == '\t'; };
    auto is_control = [](char c)
    {
        auto const byte = static_cast<unsigned char>(c);
        return (byte < 0x20U && c != '\t') || byte == 0x7FU;
    };
    return !text.empty() && !is_blank(text.front()) && !is_blank(text.back()) &&
           std::none_of(text.begin(), text.end(), is_control);
}

std::string_view status_text(int status)
{
    auto const s = http::obsolete_reason(
        http::int_to_status(static_cast<unsigned>(status)));
    return {s.data(), s.size()};
}

struct request_reader::implementation
{
    http::request_parser<growing_body> parser;
    std::size_t max_header_bytes = 0;
    head_size head;
};

request_reader::request_reader(message_limits limits)
    : impl_(std::make_unique<implementation>())
{
    impl_->parser.eager(true);
    impl_->max_header_bytes = limits.max_header_bytes;
    set_header_limit(impl_->parser, limits.max_header_bytes);
    impl_->parser.body_limit(limits.max_body_bytes);
}

request_reader::~request_reader() = default;

result<std::size_t> request_reader::put(std::string_view bytes)
{
    error_code ec;
    std::size_t used = 0;
    if (!impl_->parser.is_header_done() && !bytes.empty())
        used = feed_head(
            impl_->parser, impl_->head, impl_->max_header_bytes, bytes, ec);
    if (!ec && impl_->parser.is_header_done())
        used += feed(impl_->parser, bytes.substr(used), ec);
    if (ec)
        return fail(request_error(ec), ec.message());
    if (!impl_->parser.is_header_done())
        return used;
    if (impl_->parser.get().count(http::field::host) != 1)
        return fail(error_kind::bad_request, "one Host header is required");
    if (!has_known_coding(impl_->parser.get()))
        return fail(error_kind::bad_request, "unknown transfer coding");
    return used;
}

bool request_reader::is_head_done() const
{
    return impl_->parser.is_header_done();
}

bool request_reader::is_done() const
{
    return impl_->parser.is_done();
}

bool request_reader::expects_continue() const
{
    return iequals(impl_->parser.get()[http::field::expect], "100-continue");
}

std::optional<std::uint64_t> request_reader::announced_length() const
{
    return length_of(impl_->parser);
}

std::size_t request_reader::body_bytes() const
{
    return impl_->parser.get().body().size();
}

http_request_message request_reader::take()
{
    auto& message = impl_->parser.get();
    http_request_message out;
    out.method = text(message.method_string());
    out.target = text(message.target());
    out.headers = copy_headers(message);
    out.keep_alive = message.keep_alive();
    out.body = std::move(message.body());
    return out;
}

struct response_reader::implementation
{
    std::optional<http::response_parser<growing_body>> parser;
    head_size head;

    void restart(bool has_no_body)
    {
        head = {};
        parser.emplace();
        set_header_limit(*parser, max_response_header_bytes);
        parser->eager(true);
        parser->skip(has_no_body);
        parser->body_limit(no_body_limit);
    }
};

response_reader::response_reader(bool has_no_body)
    : impl_(std::make_unique<implementation>())
    , has_no_body_(has_no_body)
{
    impl_->restart(has_no_body);
}

response_reader::~response_reader() = default;

result<std::size_t> response_reader::put(std::string_view bytes)
{
    std::size_t used = 0;
    while (true)
    {
        error_code ec;
        if (!impl_->parser->is_header_done() && used < bytes.size())
            used += feed_head(
                *impl_->parser, impl_->head, max_response_header_bytes,
                bytes.substr(used), ec);
        if (!ec && impl_->parser->is_header_done())
            used += feed(*impl_->parser, bytes.substr(used), ec);
        if (ec)
            return fail(error_kind::answer_corrupt, ec.message());
        if (!impl_->parser->is_header_done())
            return used;
        unsigned const status = impl_->parser->get().result_int();
        if (status < min_status || status > max_status)
            return fail(
                error_kind::answer_corrupt,
                "invalid status " + std::to_string(status));
        if (!has_known_coding(impl_->parser->get()))
            return fail(error_kind::answer_corrupt, "unknown transfer coding");
        if (status / 100 != 1)
            return used;
        if (++interim_ > max_interim_answers)
            return fail(
                error_kind::answer_corrupt, "interim answers without end");
        impl_->restart(has_no_body_);
    }
}

result<void> response_reader::put_end()
{
    error_code ec;
    if (impl_->parser->is_done())
        return {};
    impl_->parser->put_eof(ec);
    if (ec || !impl_->parser->is_done())
        return fail(error_kind::answer_cut, "the connection was closed early");
    return {};
}

bool response_reader::is_head_done() const
{
    return impl_->parser->is_header_done();
}

bool response_reader::is_done() const
{
    return impl_->parser->is_done();
}

bool response_reader::ends_with_connection() const
{
    return !impl_->parser->is_done() && impl_->parser->need_eof();
}

http_response_head response_reader::head() const
{
    auto const& message = impl_->parser->get();
    http_response_head out;
    out.status = static_cast<int>(message.result_int());
    out.headers = copy_headers(message);
    out.keep_alive = message.keep_alive() && !impl_->parser->need_eof();
    auto const value = message[http::field::keep_alive];
    out.keep_alive_seconds = keep_alive_seconds({value.data(), value.size()});
    out.length = length_of(*impl_->parser);
    return out;
}

std::string response_reader::take_body()
{
    std::string out;
    out.swap(impl_->parser->get().body());
    return out;
}

} // namespace marjorambeam
