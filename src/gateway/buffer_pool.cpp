#include "gateway/buffer_pool.hpp"

#include <algorithm>
#include <malloc.h>
#include <utility>

namespace marjorambeam
{
namespace
{

// Parts of the memory; together five eighths.
constexpr std::size_t partial_requests_divisor = 8;
constexpr std::size_t requests_divisor = 4;
constexpr std::size_t prompts_divisor = 8;
constexpr std::size_t responses_divisor = 8;
constexpr std::size_t mmap_threshold_bytes = std::size_t{128} << 10U;

bool is_free(buffer_pool const& pool, std::size_t n)
{
    return n <= pool.capacity - pool.used;
}

} // namespace

buffer_claim::buffer_claim(
    buffer_pool& pool, std::size_t n, std::function<void()> on_granted)
    : pool_(pool)
    , bytes_(std::min(n, pool.capacity))
    , on_granted_(std::move(on_granted))
{
    if (pool_.waiting.empty() && is_free(pool_, bytes_))
    {
        grant();
        return;
    }
    ++pool_.waits;
    place_ = pool_.waiting.insert(pool_.waiting.end(), this);
}

buffer_claim::~buffer_claim()
{
    if (is_granted_)
        pool_.used -= bytes_;
    else
        pool_.waiting.erase(place_);
    grant_waiting(pool_);
}

void buffer_claim::grant()
{
    pool_.used += bytes_;
    is_granted_ = true;
}

void grant_waiting(buffer_pool& pool)
{
    while (!pool.waiting.empty() && is_free(pool, pool.waiting.front()->bytes_))
    {
        buffer_claim& first = *pool.waiting.front();
        pool.waiting.pop_front();
        first.grant();
        if (first.on_granted_)
            first.on_granted_();
    }
}

std::unique_ptr<buffer_claim> try_claim(buffer_pool& pool, std::size_t n)
{
    if (!pool.waiting.empty() || !is_free(pool, std::min(n, pool.capacity)))
    {
        ++pool.refusals;
        return nullptr;
    }
    return std::make_unique<buffer_claim>(pool, n, std::function<void()>());
}

buffer_pools make_buffer_pools(std::size_t memory_bytes)
{
    buffer_pools p;
    p.partial_requests.capacity = std::max(
        memory_bytes / partial_requests_divisor, partial_request_bytes);
    p.requests.capacity =
        std::max(memory_bytes / requests_divisor, request_buffer_bytes);
    p.prompts.capacity =
        std::max(memory_bytes / prompts_divisor, small_body_bytes);
    // Each response must fit.
    p.responses.capacity =
        std::max(memory_bytes / responses_divisor, max_response_bytes);
    return p;
}

void return_large_buffers()
{
    // Fixes the threshold, which otherwise grows with what is freed.
    mallopt(M_MMAP_THRESHOLD, static_cast<int>(mmap_threshold_bytes));
}

} // namespace marjorambeam
