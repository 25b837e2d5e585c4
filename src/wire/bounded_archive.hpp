// Reads what cereal's PortableBinaryOutputArchive has written, and never
// believes a length that is larger than what is left of the input.
//
// Example:
//   bounded_input_archive archive(bytes);
//   archive(value);              // throws cereal::Exception
//   if (archive.remaining() > 0) ...
//
// cereal's own archive resizes a container to the length that it reads before
// it finds the input too short, so that a damaged message could take all
// memory. Not thread-safe.
#pragma once

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
#include <cereal/types/common.hpp>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <memory>
#include <string_view>
#include <type_traits>

namespace marjorambeam
{
class bounded_input_archive;
}

// Names the archive that writes what this one reads.
template <>
struct cereal::traits::detail::get_output_from_input<
    marjorambeam::bounded_input_archive>
{
    using type = cereal::PortableBinaryOutputArchive;
};

namespace marjorambeam
{

class bounded_input_archive
    : public cereal::InputArchive<
          bounded_input_archive, cereal::AllowEmptyClassElision>
{
public:
    // `bytes` outlives the archive. Throws cereal::Exception when it is empty.
    explicit bounded_input_archive(std::string_view bytes)
        : InputArchive(this)
        , rest_(bytes)
    {
        std::uint8_t is_little_endian = 0;
        load_binary<1>(&is_little_endian, 1);
        is_swapped_ = (is_little_endian ^
                       cereal::portable_binary_detail::is_little_endian()) != 0;
    }

    // Copies `size` bytes of values of `ValueSize` bytes. Throws
    // cereal::Exception when fewer are left.
    template <std::size_t ValueSize>
    void load_binary(void* to, std::size_t size)
    {
        if (size > rest_.size())
            throw cereal::Exception("the input is cut short");
        std::memcpy(to, rest_.data(), size);
        rest_.remove_prefix(size);
        if constexpr (ValueSize > 1)
        {
            auto* const bytes = static_cast<std::byte*>(to);
            for (std::size_t i = 0; is_swapped_ && i < size; i += ValueSize)
                std::reverse(bytes + i, bytes + i + ValueSize);
        }
    }

    std::size_t remaining() const
    {
        return rest_.size();
    }

private:
    std::string_view rest_;
    bool is_swapped_ = false;
};

// What cereal calls for the types that it does not take apart further.
template <class T>
requires std::is_arithmetic_v<T>
void CEREAL_LOAD_FUNCTION_NAME(bounded_input_archive& archive, T& value)
{
    archive.load_binary<sizeof(T)>(std::addressof(value), sizeof(T));
}

template <class T>
void CEREAL_LOAD_FUNCTION_NAME(
    bounded_input_archive& archive, cereal::BinaryData<T>& data)
{
    using value_type = std::remove_pointer_t<T>;
    archive.load_binary<sizeof(value_type)>(
        data.data, static_cast<std::size_t>(data.size));
}

template <class T>
void CEREAL_SERIALIZE_FUNCTION_NAME(
    bounded_input_archive& archive, cereal::NameValuePair<T>& pair)
{
    archive(pair.value);
}

// Each element of a container takes a byte at least.
template <class T>
void CEREAL_SERIALIZE_FUNCTION_NAME(
    bounded_input_archive& archive, cereal::SizeTag<T>& tag)
{
    archive(tag.size);
    if (tag.size > archive.remaining())
        throw cereal::Exception("a length is larger than the input");
}

} // namespace marjorambeam
