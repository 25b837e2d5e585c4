// The format of messages on the wire: a fixed header with type, length and
// checksum, then the body by cereal.
//
// Example:
//   std::string frame = encode_frame(heartbeat{});
//   frame_reader reader;
//   reader.append(frame);
//   while (result<std::optional<message>> m = reader.next(); m && *m)
//       handle(**m);
#pragma once

#include "error/error.hpp"
#include "wire/message.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace marjorambeam
{

// Header: magic (4 bytes), type (2), zero (2), length (4), zero (4),
// xxHash64 of the body (8); all little-endian.
constexpr std::size_t frame_header_bytes = 24;
constexpr std::size_t max_frame_body_bytes = std::size_t{8} << 20U;

// Returns header and body. Precondition: the body is within
// `max_frame_body_bytes`. Thread-safe.
std::string encode_frame(message const& m);

// Appends the frame to `out`. Thread-safe.
void append_frame(message const& m, std::string& out);

// Returns the message of one complete frame, such as a datagram. Errors:
// frame_too_large, frame_corrupt. Thread-safe.
result<message> decode_frame(std::string_view frame);

// Splits a byte stream into messages. After an error the stream is of no
// further use. Not thread-safe.
class frame_reader
{
public:
    // Adds received bytes.
    void append(std::string_view bytes);

    // Returns the next message, nothing when more bytes are needed, or an
    // error: frame_too_large or frame_corrupt.
    result<std::optional<message>> next();

    // Whether the stream stopped inside a frame.
    bool has_partial_frame() const
    {
        return start_ < buffer_.size();
    }

private:
    std::string buffer_;
    std::size_t start_ = 0;
};

} // namespace marjorambeam
