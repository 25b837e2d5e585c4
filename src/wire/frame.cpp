#include "wire/frame.hpp"

#include "base/hash.hpp"
#include "wire/bounded_archive.hpp"

#include <array>
#include <boost/endian/conversion.hpp>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/vector.hpp>
#include <ostream>
#include <streambuf>

namespace marjorambeam
{
namespace
{

constexpr std::uint32_t frame_magic = 0x31424a4dU; // "MJB1"

// Writes to the end of a string.
class string_sink : public std::streambuf
{
public:
    explicit string_sink(std::string& out)
        : out_(out)
    {
    }

protected:
    std::streamsize xsputn(char const* data, std::streamsize n) override
    {
        out_.append(data, static_cast<std::size_t>(n));
        return n;
    }
    int_type overflow(int_type c) override
    {
        out_.push_back(static_cast<char>(c));
        return c;
    }

private:
    std::string& out_;
};

struct frame_header
{
    std::uint32_t magic = 0;
    std::uint16_t type = 0;
    std::uint32_t length = 0;
    std::uint64_t checksum = 0;
};

void store_header(frame_header const& h, char* to)
{
    auto* out = reinterpret_cast<unsigned char*>(to);
    boost::endian::store_little_u32(out, h.magic);
    boost::endian::store_little_u16(out + 4, h.type);
    boost::endian::store_little_u16(out + 6, 0);
    boost::endian::store_little_u32(out + 8, h.length);
    boost::endian::store_little_u32(out + 12, 0);
    boost::endian::store_little_u64(out + 16, h.checksum);
}

frame_header load_header(char const* from)
{
    auto const* in = reinterpret_cast<unsigned char const*>(from);
    frame_header h;
    h.magic = boost::endian::load_little_u32(in);
    h.type = boost::endian::load_little_u16(in + 4);
    h.length = boost::endian::load_little_u32(in + 8);
    h.checksum = boost::endian::load_little_u64(in + 16);
    return h;
}

result<frame_header> check_header(std::string_view bytes)
{
    frame_header const h = load_header(bytes.data());
    if (h.magic != frame_magic || h.type >= std::variant_size_v<message>)
    {
        return fail(
            error_kind::frame_corrupt, "the frame has an unknown header");
    }
    if (h.length > max_frame_body_bytes)
    {
        return fail(
            error_kind::frame_too_large,
            "a frame of " + std::to_string(h.length) +
                " bytes is over the limit of " +
                std::to_string(max_frame_body_bytes));
    }
    return h;
}

template <std::size_t Index = 0>
message decode_body(std::size_t type, std::string_view body)
{
    if constexpr (Index + 1 < std::variant_size_v<message>)
    {
        if (type != Index)
            return decode_body<Index + 1>(type, body);
    }
    std::variant_alternative_t<Index, message> value;
    bounded_input_archive archive(body);
    archive(value);
    if (archive.remaining() > 0)
        throw cereal::Exception("bytes after the message");
    return value;
}

result<message> decode_checked(frame_header const& h, std::string_view body)
{
    if (hash64(body) != h.checksum)
    {
        return fail(
            error_kind::frame_corrupt, "the frame has a wrong checksum");
    }
    // cereal reports malformed input by exceptions.
    try
    {
        return decode_body(h.type, body);
    }
    catch (std::exception const& e)
    {
        return fail(
            error_kind::frame_corrupt,
            std::string("the frame's body can't be read: ") + e.what());
    }
}

} // namespace

void append_frame(message const& m, std::string& out)
{
    std::size_t const start = out.size();
    out.resize(start + frame_header_bytes);
    string_sink sink(out);
    std::ostream stream(&sink);
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        std::visit([&](auto const& value) { archive(value); }, m);
    }
    std::string_view const body =
        std::string_view(out).substr(start + frame_header_bytes);
    frame_header const h{
        frame_magic, static_cast<std::uint16_t>(m.index()),
        static_cast<std::uint32_t>(body.size()), hash64(body)};
    store_header(h, out.data() + start);
}

std::string encode_frame(message const& m)
{
    std::string out;
    append_frame(m, out);
    return out;
}

result<message> decode_frame(std::string_view frame)
{
    if (frame.size() < frame_header_bytes)
        return fail(error_kind::frame_corrupt, "the frame is cut short");
    result<frame_header> const h = check_header(frame);
    if (!h)
        return tl::unexpected<error>(h.error());
    std::string_view const body = frame.substr(frame_header_bytes);
    if (body.size() != h->length)
        return fail(error_kind::frame_corrupt, "the frame is cut short");
    return decode_checked(*h, body);
}

void frame_reader::append(std::string_view bytes)
{
    if (start_ > 0 && start_ == buffer_.size())
    {
        buffer_.clear();
        start_ = 0;
    }
    buffer_.append(bytes);
}

result<std::optional<message>> frame_reader::next()
{
    std::string_view const bytes = std::string_view(buffer_).substr(start_);
    if (bytes.size() < frame_header_bytes)
        return std::optional<message>();
    result<frame_header> const h = check_header(bytes);
    if (!h)
        return tl::unexpected<error>(h.error());
    std::size_t const frame_bytes = frame_header_bytes + h->length;
    if (bytes.size() < frame_bytes)
    {
        // Move the rest to the front once, not for each frame.
        buffer_.erase(0, start_);
        start_ = 0;
        return std::optional<message>();
    }
    result<message> m =
        decode_checked(*h, bytes.substr(frame_header_bytes, h->length));
    if (!m)
        return tl::unexpected<error>(m.error());
    start_ += frame_bytes;
    return std::optional<message>(std::move(*m));
}

} // namespace marjorambeam
