// Encodes the bodies of messages between gateways by cereal.
//
// Example:
//   peer_call call = encode_body("gateway_report_3", report);
//   result<gateway_report> r = decode_body<gateway_report>(call);
//
// Thread-safe.
#pragma once

#include "error/error.hpp"
#include "wire/bounded_archive.hpp"
#include "wire/message.hpp"

#include <cereal/archives/portable_binary.hpp>
#include <exception>
#include <sstream>
#include <string>
#include <string_view>

namespace marjorambeam
{

template <class T>
peer_call encode_body(std::string_view name, T const& body)
{
    std::ostringstream out;
    cereal::PortableBinaryOutputArchive archive(out);
    archive(body);
    return {.name = std::string(name), .body = out.str()};
}

// Errors: frame_corrupt.
template <class T>
result<T> decode_body(peer_call const& call)
{
    try
    {
        bounded_input_archive archive(call.body);
        T body;
        archive(body);
        return body;
    }
    catch (std::exception const& e)
    {
        return fail(error_kind::frame_corrupt, e.what());
    }
}

} // namespace marjorambeam
