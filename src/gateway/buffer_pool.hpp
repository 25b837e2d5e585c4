// Bounds the bytes that a gateway holds for requests and responses, so that no
// caller and no upstream can use up its memory.
//
// Example:
//   buffer_pools pools = make_buffer_pools(settings.memory_bytes);
//   auto claim = try_claim(pools.prompts, announced_bytes);
//   if (!claim)
//       refuse(error_kind::buffers_full);
//
//   // Flow control: nothing is read until the bytes are free.
//   claim_ = std::make_unique<buffer_claim>(
//       pools.responses, max_bytes, [this] { resume(); });
//   pause(!claim_->is_granted());
//
// What each request and connection may hold in any case is covered by claims
// of a fixed size, and what is larger by claims of the most that it can become.
// A claim is made before the bytes are read, so that a sum of claims is never
// exceeded. Claims that wait are granted in their order; a response never waits
// for one that waits for it, because each of them makes one claim at most.
//
// Claims may name an owner, the upstream that sends the bytes. An owner gets no
// more than half of what the others leave, so that there is room for others
// however long it keeps its own, and its claims hold up none of theirs.
//
// Not thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace marjorambeam
{

class buffer_claim;
struct buffer_pool;

// Grants free bytes to the claims that wait for them.
void grant_waiting(buffer_pool& pool);

// Bytes that may be held for one purpose.
struct buffer_pool
{
    std::size_t capacity = 0;
    std::size_t used = 0;
    std::map<std::string, std::size_t, std::less<>> used_by_owner;
    std::list<buffer_claim*> waiting;
    std::uint64_t waits = 0;    // claims that had to wait
    std::uint64_t refusals = 0; // claims that could not wait
};

// A part of a pool, or a place among those that wait for one.
class buffer_claim
{
public:
    // Claims `n` bytes, or all of the pool if that is less. If they are not
    // free, `on_granted` is called once when they are; it must not destroy a
    // claim. An empty `owner` has no share of its own. Precondition: `pool`
    // outlives the claim.
    buffer_claim(
        buffer_pool& pool, std::size_t n, std::function<void()> on_granted,
        std::string owner = {});
    // Returns the bytes and grants them to those that wait.
    ~buffer_claim();
    buffer_claim(buffer_claim const&) = delete;
    buffer_claim& operator=(buffer_claim const&) = delete;

    bool is_granted() const
    {
        return is_granted_;
    }

private:
    friend void grant_waiting(buffer_pool& pool);
    bool exceeds_share() const;
    void grant();

    buffer_pool& pool_;
    std::size_t bytes_;
    std::function<void()> on_granted_;
    std::string owner_;
    bool is_granted_ = false;
    std::list<buffer_claim*>::iterator place_;
};

// Returns a claim of `n` bytes, or of all of the pool if that is less; null if
// they are not free or others wait for them. Precondition: as above.
std::unique_ptr<buffer_claim> try_claim(buffer_pool& pool, std::size_t n);

// What a request holds in any case, from its arrival to the end of its
// response, besides its head twice: a small body twice, pipelined bytes, a
// small response or the part of a stream that its caller has not taken.
constexpr std::size_t request_buffer_bytes = std::size_t{96} << 10U;
// What a connection holds whose request is not complete, besides its head.
constexpr std::size_t partial_request_bytes = std::size_t{32} << 10U;
// Bodies up to this size are covered by the above.
constexpr std::size_t small_body_bytes = std::size_t{16} << 10U;
// A plain response is held until it is complete, so that the request can be
// retried; services respond with a few kilobytes. A longer one is given up.
constexpr std::size_t max_response_bytes = std::size_t{8} << 20U;

struct buffer_pools
{
    buffer_pool partial_requests;
    buffer_pool requests;  // request_buffer_bytes and two heads each
    buffer_pool prompts;   // bodies of requests that are not small
    buffer_pool responses; // bodies of responses that are not small
};

// Returns the pools of a process that may use `memory_bytes`. The rest is for
// sockets, the configuration and the process itself.
buffer_pools make_buffer_pools(std::size_t memory_bytes);

// Makes the allocator return large buffers to the system when they are freed,
// so that the memory of the process follows what it holds. Call once at the
// start of a process.
void return_large_buffers();

} // namespace marjorambeam
