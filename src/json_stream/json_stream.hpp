// Reads a JSON document in pieces, so that a large one can be read in slices,
// and passes on the elements of chosen arrays as soon as they are complete.
//
// Example:
//   constexpr std::array<std::string_view, 1> arrays{"items"};
//   json_stream s(arrays, [&](std::size_t, nlohmann::json&& item) { ... });
//   for (std::string_view piece : pieces)
//       if (auto ok = s.put(piece); !ok) return ok;
//   result<nlohmann::json> rest = s.finish();
//
// What a document may hold is bounded, whoever wrote it: containers nested
// deeper than `max_json_depth` and numbers that fit no type become null, so
// that one odd part does not spoil the rest. Strings are not checked to be
// UTF-8.
#pragma once

#include "error/error.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <span>
#include <string_view>

namespace marjorambeam
{

// Copying, dumping and freeing a value recurse once per level.
constexpr std::size_t max_json_depth = 64;

// Reads one document. Not thread-safe.
class json_stream
{
public:
    // Receives an element of array number `array` of those passed to the
    // constructor; the element is not part of the document that finish()
    // returns.
    using element_handler =
        std::function<void(std::size_t array, nlohmann::json&& element)>;

    // `arrays` are the paths of the chosen arrays: member names from the root,
    // joined by slashes, without array positions. Precondition: `arrays`
    // outlives the stream.
    json_stream(
        std::span<std::string_view const> arrays, element_handler on_element);
    ~json_stream();
    json_stream(json_stream const&) = delete;
    json_stream& operator=(json_stream const&) = delete;

    // Reads the next piece. Errors: bad_document. Precondition: no call has
    // failed.
    result<void> put(std::string_view piece);
    // Returns the document without the elements that were passed on. Errors:
    // bad_document if it is incomplete. Precondition: as above; called once.
    result<nlohmann::json> finish();

private:
    struct implementation;
    std::unique_ptr<implementation> impl_;
};

// Returns the document in `text`; a discarded value if it can't be read.
// Thread-safe.
nlohmann::json parse_json(std::string_view text);

} // namespace marjorambeam
