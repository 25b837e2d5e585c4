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

// Bytes of the prompt that decide where its prefix is cached. Covers a usual
// system prompt and excludes the user message, which differs each time.
constexpr std::size_t prefix_bytes = 512;
// A shorter prompt costs less to compute than a prefix lookup saves.
constexpr std::size_t min_prefix_bytes = 128;
// Upper bounds of the length buckets in bytes, each four times the last; a
// longer prompt is in bucket `length_bucket_count - 1`.
constexpr std::size_t first_bucket_bytes = 256;
constexpr std::uint32_t length_bucket_count = 6;
// Task hints are chosen by callers, so they are folded into a bounded number
// of classes; class 0 is "no hint".
constexpr std::uint32_t hint_class_count = 16;

struct prompt_features
{
    std::uint64_t prefix_hash = 0; // 0: no affinity
    std::uint32_t length_bucket = 0;
    std::uint32_t hint_class = 0;
    std::size_t prompt_bytes = 0;
};

// A kind of request, below `request_kind_count`.
using request_kind = std::uint32_t;
constexpr std::uint32_t request_kind_count =
    length_bucket_count * hint_class_count;

// The prefix hash differs between customers, as engines don't share cached
// prefixes between them.
prompt_features extract_features(
    std::string_view customer, std::string_view prompt,
    std::string_view task_hint = {});

request_kind kind_of(prompt_features const& f);

} // namespace marjorambeam
