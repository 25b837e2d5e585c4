// Encodes single values by cereal: bodies of calls between daemons, and tokens.
//
// Example:
//   peer_call call{.name = "allowance", .body = encode_value(request)};
//   result<allowance_request> r = decode_value<allowance_request>(call.body);
//
// Thread-safe.
#pragma once

#include "error/error.hpp"
#include "wire/bounded_archive.hpp"

#include <cstdint>
#include <exception>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>

namespace marjorambeam
{

template <class T>
std::string encode_value(T const& value)
{
    std::ostringstream out;
    cereal::PortableBinaryOutputArchive archive(out);
    archive(value);
    return std::move(out).str();
}

// What to do with bytes behind the value.
enum class trailing_bytes : std::uint8_t
{
    refused,
    ignored
};

// Reads into `value`, which may have changed when it fails. Errors:
// frame_corrupt when bytes are missing, or left over and refused.
template <class T>
result<void> decode_into(
    T& value, std::string_view bytes,
    trailing_bytes rest = trailing_bytes::refused)
{
    try
    {
        bounded_input_archive archive(bytes);
        archive(value);
        if (rest == trailing_bytes::refused && archive.remaining() > 0)
            return fail(error_kind::frame_corrupt, "bytes behind the value");
        return {};
    }
    catch (std::exception const& e)
    {
        return fail(error_kind::frame_corrupt, e.what());
    }
}

// Errors: as above.
template <class T>
result<T> decode_value(
    std::string_view bytes, trailing_bytes rest = trailing_bytes::refused)
{
    T value;
    if (result<void> const read = decode_into(value, bytes, rest); !read)
        return tl::unexpected<error>(read.error());
    return value;
}

} // namespace marjorambeam
