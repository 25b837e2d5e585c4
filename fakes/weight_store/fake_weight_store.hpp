// Stand-in for the rate-limited store of model weights.
//
// Example:
//   fake_weight_store weights(loop, {.fetches_per_second = 5});
//   // GET /v1/weights/tagger@v2 returns the bytes, or 429 with Retry-After
//
// `PUT /faults` with {down} switches 503 for all fetches.
//
// Everything here runs on the loop's thread; nothing is thread-safe.
#pragma once

#include "base/time.hpp"
#include "event_loop/event_loop.hpp"
#include "http_server/http_server.hpp"

#include <cstdint>
#include <string>

namespace marjorambeam
{

struct fake_weight_store_settings
{
    std::string address = "127.0.0.1:0";
    std::int64_t weight_bytes = 65536;
    std::int64_t fetches_per_second = 2;
};

class fake_weight_store
{
public:
    // Throws std::runtime_error when the address can't be bound.
    fake_weight_store(ev::loop_ref loop, fake_weight_store_settings settings);
    fake_weight_store(fake_weight_store const&) = delete;
    fake_weight_store& operator=(fake_weight_store const&) = delete;
    ~fake_weight_store() = default;

    std::string url() const;
    // Address and port.
    std::string address() const;

    void set_down(bool is_down);

    // Fetches that returned weights.
    std::uint64_t fetches() const
    {
        return fetches_;
    }

private:
    void on_request(http_exchange& ex);
    void fetch(http_exchange& ex, std::string const& version, steady_time now);
    void change_faults(http_exchange& ex);

    fake_weight_store_settings settings_;
    steady_time next_fetch_{};
    std::uint64_t fetches_ = 0;
    bool is_down_ = false;
    http_server server_;
};

} // namespace marjorambeam
