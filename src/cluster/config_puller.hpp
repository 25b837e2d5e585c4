// Asks one daemon for generations over a connection of its own.
//
// Example:
//   config_puller puller(loop);
//   puller.start(address, own_hello, current, timeout,
//       {.on_answer = [&](config_generations g) { return apply(g); },
//        .on_done = [&](pull_end end) { ... }});
//
// Runs on the loop's thread; not thread-safe.
#pragma once

#include "base/time.hpp"
#include "event_loop/event_loop.hpp"
#include "transport/transport.hpp"
#include "wire/message.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace marjorambeam
{

enum class pull_end
{
    answered,
    refused, // no process listens at the address
    failed
};

class config_puller
{
public:
    struct handlers
    {
        // Takes an answer; returns the generation to continue after, or
        // nothing to end the pull.
        std::function<std::optional<std::uint64_t>(config_generations)>
            on_answer;
        std::function<void(pull_end)> on_done;
        std::function<void(std::uint64_t sent, std::uint64_t received)>
            on_bytes;
    };

    explicit config_puller(ev::loop_ref loop);
    ~config_puller();
    config_puller(config_puller const&) = delete;
    config_puller& operator=(config_puller const&) = delete;

    // `timeout` bounds the wait for each answer. Precondition: no pull is
    // under way.
    void start(
        std::string_view address, hello const& own, std::uint64_t after,
        duration timeout, handlers h);

    bool is_busy() const
    {
        return connection_ != nullptr;
    }

private:
    void on_message(message&& m);
    void finish(pull_end end);

    ev::loop_ref loop_;
    duration timeout_{0};
    loop_timer timer_;
    std::shared_ptr<frame_connection> connection_;
    handlers handlers_;
};

} // namespace marjorambeam
