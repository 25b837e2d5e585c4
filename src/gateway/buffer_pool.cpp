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
// Of what the others leave.
constexpr std::size_t owner_share_divisor = 2;
constexpr std::size_t mmap_threshold_bytes = std::size_t{128} << 10U;

bool is_free(buffer_pool const& pool, std::size_t n)
{
    return n <= pool.capacity - pool.used;
}

} // namespace

buffer_claim::buffer_claim(
    buffer_pool& pool, std::size_t n, std::function<void()> on_granted,
    std::string owner)
    : pool_(pool)
    , bytes_(std::min(n, pool.capacity))
    , on_granted_(std::move(on_granted))
    , owner_(std::move(owner))
{
    bool const is_next = std::all_of(
        pool_.waiting.begin(), pool_.waiting.end(),
        [](buffer_claim const* it) { return it->exceeds_share(); });
    if (is_next && !exceeds_share() && is_free(pool_, bytes_))
    {
        grant();
        return;
    }
    ++pool_.waits;
    place_ = pool_.waiting.insert(pool_.waiting.end(), this);
}

buffer_claim::~buffer_claim()
{
    if (!is_granted_)
    {
        pool_.waiting.erase(place_);
    }
    else
    {
        pool_.used -= bytes_;
        auto const it = pool_.used_by_owner.find(owner_);
        if (it != pool_.used_by_owner.end() && (it->second -= bytes_) == 0)
            pool_.used_by_owner.erase(it);
    }
    grant_waiting(pool_);
}

// Whether the claim has to wait for others of its owner. An unused pool is
// anyone's, so that each claim is granted at last.
bool buffer_claim::exceeds_share() const
{
    if (owner_.empty() || pool_.used == 0)
        return false;
    auto const it = pool_.used_by_owner.find(owner_);
    std::size_t const own = it == pool_.used_by_owner.end() ? 0 : it->second;
    std::size_t const left_by_others = pool_.capacity - (pool_.used - own);
    return own + bytes_ > left_by_others / owner_share_divisor;
}

void buffer_claim::grant()
{
    pool_.used += bytes_;
    if (!owner_.empty() && bytes_ > 0)
        pool_.used_by_owner[owner_] += bytes_;
    is_granted_ = true;
}

void grant_waiting(buffer_pool& pool)
{
    for (auto it = pool.waiting.begin(); it != pool.waiting.end();)
    {
        buffer_claim& claim = **it;
        if (claim.exceeds_share())
        {
            ++it;
            continue;
        }
        if (!is_free(pool, claim.bytes_))
            return;
        it = pool.waiting.erase(it);
        claim.grant();
        if (claim.on_granted_)
            claim.on_granted_();
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
