// Posts usage records to the ledger through the object API.
//
// Example:
//   ledger_poster poster(store, self, [&](auto const& request_ids)
//   {
//       notify_agents(usage_settled{request_ids});
//   });
//   poster.batcher().add(record);
//   poster.tick(steady_now()); // a few times a second
//
// Everything runs on the loop's thread; nothing is thread-safe.
#pragma once

#include "billing/usage_batcher.hpp"
#include "object_store/object_store.hpp"

#include <functional>
#include <memory>

namespace marjorambeam
{

class ledger_poster
{
public:
    using confirmed_handler =
        std::function<void(std::vector<std::string> const& request_ids)>;

    // `store` outlives the poster. `on_confirmed` is called from the loop for
    // each segment that is in the ledger; it must not destroy the poster.
    ledger_poster(
        object_store& store, incarnation self, confirmed_handler on_confirmed,
        batch_times times = {});
    ledger_poster(ledger_poster const&) = delete;
    ledger_poster& operator=(ledger_poster const&) = delete;
    // A post in flight may still take effect; its response is ignored.
    ~ledger_poster() = default;

    // Starts a post when one is due. Failed posts are repeated by later ticks.
    void tick(steady_time now);

    // The waiting records and their batches.
    usage_batcher& batcher()
    {
        return batcher_;
    }

private:
    void on_response(result<stored_object> const& response);

    object_store& store_;
    confirmed_handler on_confirmed_;
    usage_batcher batcher_;
    steady_time now_{}; // of the latest tick
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace marjorambeam
