// Reads HTTP/1.1 messages from bytes with the parser of Boost.Beast, without
// any I/O of its own. No memory is taken for bytes that have not arrived.
//
// Example:
//   request_reader r({.max_header_bytes = 16384, .max_body_bytes = 1 << 20});
//   result<std::size_t> n = r.put(stream.input());
//   if (n) stream.consume(*n);
//   if (r.is_done()) serve(r.take());
//
// Nothing is thread-safe.
#pragma once

#include "error/error.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace marjorambeam
{

using header_list = std::vector<std::pair<std::string, std::string>>;

// Whether two header names are equal. Thread-safe.
bool is_same_header(std::string_view a, std::string_view b);

// Returns the value of the first header `name`, or empty. Thread-safe.
std::string_view find_header(header_list const& headers, std::string_view name);

// Whether the header concerns one connection only and is not passed on.
// Thread-safe.
bool is_connection_header(std::string_view name);

// Whether the text, which is not empty, is the same once it is read from a
// header (RFC 9110, 5.5): it has no control characters but tabs, and no blank
// or tab at either end. Thread-safe.
bool is_header_value(std::string_view text);

// Returns the reason phrase of a status. Thread-safe.
std::string_view status_text(int status);

// A whole request as its sender wrote it.
struct http_request_message
{
    std::string method;
    std::string target;
    header_list headers; // without those of one connection
    std::string body;
    bool keep_alive = true;
};

// The head of a response.
struct http_response_head
{
    int status = 0;
    header_list headers; // without those of one connection and the length
    bool keep_alive = true;
    int keep_alive_seconds = 0; // announced idle timeout; 0 when there is none
    std::optional<std::uint64_t> length; // of the body, if announced
};

// Bytes of a message that is not done which its reader may leave; more are a
// line without an end.
constexpr std::size_t max_unparsed_bytes = std::size_t{64} << 10U;

struct message_limits
{
    std::size_t max_header_bytes = std::size_t{16} << 10U;
    std::size_t max_body_bytes = std::size_t{4} << 20U;

    bool operator==(message_limits const&) const = default;
};

// Reads one request.
class request_reader
{
public:
    explicit request_reader(message_limits limits);
    ~request_reader();
    request_reader(request_reader const&) = delete;
    request_reader& operator=(request_reader const&) = delete;

    // Takes bytes and returns how many were used. Errors: bad_request,
    // header_too_large, body_too_large; the connection can't be used then.
    result<std::size_t> put(std::string_view bytes);
    bool is_head_done() const;
    bool is_done() const;
    // Whether the sender waits for 100 (Continue) before it sends the body.
    // Precondition: is_head_done().
    bool expects_continue() const;
    // Length of the body that the sender announced, if it did. Precondition:
    // is_head_done().
    std::optional<std::uint64_t> announced_length() const;
    // Bytes of the body that are held.
    std::size_t body_bytes() const;
    // Precondition: is_done().
    http_request_message take();

private:
    struct implementation;
    std::unique_ptr<implementation> impl_;
};

// Reads one response; interim (1xx) ones are skipped.
class response_reader
{
public:
    // `has_no_body` is true for the response to a HEAD request.
    explicit response_reader(bool has_no_body);
    ~response_reader();
    response_reader(response_reader const&) = delete;
    response_reader& operator=(response_reader const&) = delete;

    // As in request_reader. Error: answer_corrupt.
    result<std::size_t> put(std::string_view bytes);
    // The connection was closed in order. Error: answer_cut when the
    // response is not complete by then.
    result<void> put_end();
    bool is_head_done() const;
    bool is_done() const;
    // Whether only the end of the connection ends the body. Precondition:
    // is_head_done().
    bool ends_with_connection() const;
    // Precondition: is_head_done().
    http_response_head head() const;
    // Body bytes received since the last call.
    std::string take_body();

private:
    struct implementation;
    std::unique_ptr<implementation> impl_;
    bool has_no_body_;
    int interim_ = 0; // answers before the final one
};

} // namespace marjorambeam
