#include "prompt_features/prompt_features.hpp"

#include "base/hash.hpp"

namespace marjorambeam
{

prompt_features extract_features(
    std::string_view customer, std::string_view prompt,
    std::string_view task_hint)
{
    prompt_features f;
    f.prompt_bytes = prompt.size();
    if (prompt.size() >= min_prefix_bytes)
        f.prefix_hash =
            hash64(prompt.substr(0, prefix_bytes), hash64(customer)) | 1U;
    std::size_t bound = first_bucket_bytes;
    while (prompt.size() >= bound && f.length_bucket + 1 < length_bucket_count)
    {
        ++f.length_bucket;
        bound *= 4;
    }
    if (!task_hint.empty())
        f.hint_class = 1 + static_cast<std::uint32_t>(
                               hash64(task_hint) % (hint_class_count - 1));
    return f;
}

request_kind kind_of(prompt_features const& f)
{
    return f.length_bucket * hint_class_count + f.hint_class;
}

} // namespace marjorambeam
