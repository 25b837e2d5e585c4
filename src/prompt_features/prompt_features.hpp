// Compact features of a prompt, used by routing and cascades.
//
// Example:
//   prompt_features f = extract_features("havbris", prompt, "tag");
//   request.prefix_hash = f.prefix_hash;   // routing
//   request_kind kind = kind_of(f);        // cascade
//
// Computed once per request from the text that the entry has already parsed.
// All functions are thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace marjorambeam
{

// Leading bytes of the prompt that are hashed for prefix affinity. Covers a
// typical system prompt and excludes the user message, which differs each time.
constexpr std::size_t prefix_bytes = 512;
// A shorter prompt costs less to compute than a prefix lookup saves.
constexpr std::size_t min_prefix_bytes = 128;
// Upper bound of the first length bucket in bytes. Each further bound is four
// times the previous one; the last bucket is unbounded.
constexpr std::size_t first_bucket_bytes = 256;
constexpr std::uint32_t length_bucket_count = 6;
// Task hints are free text from callers, so they are hashed to a bounded number
// of classes; class 0 is "no hint".
constexpr std::uint32_t hint_class_count = 16;

struct prompt_features
{
    std::uint64_t prefix_hash = 0;   // 0: no affinity
    std::uint32_t length_bucket = 0; // below `length_bucket_count`
    std::uint32_t hint_class = 0;    // below `hint_class_count`
    std::size_t prompt_bytes = 0;
};

// Class of similar requests by length and hint, below `request_kind_count`.
using request_kind = std::uint32_t;
constexpr std::uint32_t request_kind_count =
    length_bucket_count * hint_class_count;

// Extracts the features. `task_hint` may be empty. The prefix hash differs
// between customers, as engines don't share cached prefixes between them.
// Thread-safe.
prompt_features extract_features(
    std::string_view customer, std::string_view prompt,
    std::string_view task_hint = {});

// Returns the kind of a request. Precondition: `f` is from extract_features().
// Thread-safe.
request_kind kind_of(prompt_features const& f);

} // namespace marjorambeam
