#include "billing/ledger_poster.hpp"

#include <utility>

namespace marjorambeam
{

ledger_poster::ledger_poster(
    object_store& store, incarnation self, settled_handler on_settled,
    posting_times times)
    : store_(store)
    , on_settled_(std::move(on_settled))
    , decisions_(self, times)
{
}

void ledger_poster::tick(steady_time now)
{
    now_ = now;
    std::optional<ledger_segment> const segment = decisions_.next_post(now);
    if (!segment)
        return;
    store_.create(
        ledger_kind, segment->name, segment->text,
        [this, alive = std::weak_ptr<bool>(alive_)](
            result<stored_object> const& answer)
        {
            if (!alive.expired())
                on_answer(answer);
        });
}

void ledger_poster::on_answer(result<stored_object> const& answer)
{
    std::vector<std::string> const ids =
        answer ? decisions_.on_created()
               : decisions_.on_failed(answer.error(), now_);
    if (!ids.empty())
        on_settled_(ids);
}

} // namespace marjorambeam
