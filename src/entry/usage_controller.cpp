#include "entry/usage_controller.hpp"

#include <map>

namespace marjorambeam
{
namespace
{

// Returns the stage with the prices at admission.
usage_stage priced_stage(entry_request const& r)
{
    usage_stage stage;
    if (r.work.kind == work_kind::model)
    {
        auto const it = r.config->versions.find(r.version_id);
        if (it != r.config->versions.end())
            stage = model_stage(it->second);
    }
    else
    {
        auto const it = r.config->services.find(r.work.target);
        if (it != r.config->services.end())
            stage = service_stage(it->second);
    }
    stage.target = r.work.target;
    stage.tokens_in = r.tokens_in;
    stage.tokens_out = r.tokens_out;
    return stage;
}

} // namespace

usage_controller::usage_controller(
    entry_state& state, object_store& store, agent_links& links)
    : state_(state)
    , links_(links)
    , poster_(
          store, state.cluster.identity.self,
          [this](std::vector<std::string> const& ids) { on_settled(ids); })
{
}

void usage_controller::on_request_end(entry_request const& r, error const* why)
{
    // A replayed response is billed with the request that ran.
    if (r.is_replay || r.earlier_run == run_state::not_run)
        return;
    usage_record record;
    record.request_id = r.id;
    record.customer = r.customer;
    record.kind = r.work.kind;
    record.target = r.work.target;
    record.attempts = r.work.attempt;
    record.stages.push_back(priced_stage(r));
    record.admitted_ms = r.admitted_wall_ms;
    record.poster = process_role::entry;
    record.is_whole = why == nullptr;
    poster_.batcher().add(std::move(record));
    holders_[r.id] = r.instances;
}

void usage_controller::accept_handover(usage_record record)
{
    poster_.batcher().add(std::move(record));
}

std::vector<usage_record> usage_controller::unconfirmed()
{
    return poster_.batcher().unconfirmed();
}

void usage_controller::on_settled(std::vector<std::string> const& request_ids)
{
    std::map<std::string, usage_settled> by_instance;
    for (std::string const& id : request_ids)
    {
        auto const it = holders_.find(id);
        if (it == holders_.end())
            continue;
        for (std::string const& instance : it->second)
            by_instance[instance].request_ids.push_back(id);
        holders_.erase(it);
    }
    // An agent that is not connected posts its own copy later; the ledger
    // merges copies by request id.
    for (auto const& [instance, settled] : by_instance)
        links_.send_other(instance, settled);
    state_.cluster.counters.count(
        "usage_records_settled_total", "",
        static_cast<double>(request_ids.size()));
}

void usage_controller::tick(steady_time now)
{
    poster_.tick(now);
    state_.cluster.counters.set(
        "usage_records_held", static_cast<double>(held()));
}

void usage_controller::flush()
{
    poster_.batcher().flush();
}

std::size_t usage_controller::held()
{
    return poster_.batcher().held();
}

} // namespace marjorambeam
