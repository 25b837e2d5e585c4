#include "billing/ledger_poster.hpp"

#include <utility>

namespace marjorambeam
{

ledger_poster::ledger_poster(
    object_store& store, incarnation self, confirmed_handler on_confirmed,
    batch_times times)
    : store_(store)
    , on_confirmed_(std::move(on_confirmed))
    , batcher_(self, times)
{
}

void ledger_poster::tick(steady_time now)
{
    now_ = now;
    std::optional<ledger_segment> const segment = batcher_.next_segment(now);
    if (!segment)
        return;
    store_.create(
        ledger_kind, segment->name, segment->text,
        [this, alive = std::weak_ptr<bool>(alive_)](
            result<stored_object> const& response)
        {
            if (!alive.expired())
                on_response(response);
        });
}

void ledger_poster::on_response(result<stored_object> const& response)
{
    std::vector<std::string> const ids =
        response ? batcher_.on_created()
                 : batcher_.on_failed(response.error(), now_);
    if (!ids.empty())
        on_confirmed_(ids);
}

} // namespace marjorambeam
