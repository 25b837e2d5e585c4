// Reads the configuration from the object API: the newest checkpoint when far
// behind, the generations after it, and a watch for new ones.
//
// Example:
//   config_store_reader reader(store, {
//       .current = [&] { return history.current->number; },
//       .on_data = [&](config_generations g) { apply(std::move(g)); },
//       .on_done = [&](bool ok) { on_store_done(sync, ok, steady_now()); }});
//   reader.read();
//
// Objects: generations/NNNNNNNNNNNN, checkpoints/NNNNNNNNNNNN, and
// checkpoints/latest with the number of the newest one, so that a reader need
// not list the earlier ones.
//
// Runs on the loop's thread; not thread-safe. May be destroyed at any time.
#pragma once

#include "base/time.hpp"
#include "object_store/object_store.hpp"
#include "wire/message.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace marjorambeam
{

class config_store_reader
{
public:
    struct handlers
    {
        std::function<std::uint64_t()> current; // generation in force
        std::function<void(config_generations)> on_data;
        std::function<void(bool ok)> on_done; // of each read or watch
        // Bytes of values that a call sent or received.
        std::function<void(std::uint64_t sent, std::uint64_t received)>
            on_bytes;
    };

    // `store` outlives the reader.
    config_store_reader(object_store& store, handlers h);

    // Reads everything after the generation in force. Ignored while busy.
    void read();

    // Waits up to `timeout` for new generations. Ignored while busy.
    // Precondition: a read has succeeded.
    void watch(duration timeout);

    bool is_busy() const
    {
        return is_busy_;
    }

    // Stores the checkpoint, or finds it stored, and then moves
    // checkpoints/latest forward. `done` receives false when it should be
    // tried again.
    void write_checkpoint(
        std::uint64_t number, std::string_view text,
        std::function<void(bool)> done);

private:
    void read_latest();
    void read_checkpoint(std::string_view name);
    void read_page();
    void take_objects(std::vector<stored_object> objects);
    void finish(bool ok);
    void move_latest(std::uint64_t number, std::function<void(bool)> done);

    // Wraps a handler so that it is ignored after destruction.
    template <class Function>
    auto guarded(Function f)
    {
        return [alive = std::weak_ptr<int>(alive_),
                f = std::move(f)](auto r) mutable
        {
            if (alive.lock())
                f(std::move(r));
        };
    }

    object_store& store_;
    handlers handlers_;
    bool is_busy_ = false;
    bool has_read_ = false; // a read has succeeded
    std::uint64_t revision_ = 0;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace marjorambeam
